"""What two processes tell each other when one takes over: JSON, a message a line. No I/O.

    successor -> predecessor   {"version":1,"listen":"HOST:PORT"}
    predecessor -> successor   {"version":1,"sockets":N,"table":{...}} and the listening socket's descriptor
    successor -> predecessor   {"serves":true}

The conversation stays open from then on: its end tells each that the other process has gone.
"""

from typing import Any, TypeVar

import msgspec

from cloverwell.membership.listing import Listing, ServerListError, split_address
from cloverwell.membership.server_list import MAX_LIST

VERSION = 1
MAX_HELLO = 1024
MAX_ESTATE = MAX_LIST
END = b"\n"

T = TypeVar("T")


class HandoverError(Exception):
    """What is wrong with a message."""


class Hello(msgspec.Struct):
    version: int
    listen: str


class HandoverState(msgspec.Struct):
    """`sockets`: descriptors that the successor may hold until its predecessor has gone; `table`: the list as
    it was told last."""

    version: int
    sockets: int
    table: Listing


class Serves(msgspec.Struct):
    serves: bool


def encode(message: Any) -> bytes:
    return msgspec.json.encode(message) + END


def decode(line: bytes, kind: type[T]) -> T:
    try:
        message = msgspec.json.decode(line, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise HandoverError(f"malformed: {error}") from None
    if (version := getattr(message, "version", VERSION)) != VERSION:
        raise HandoverError(f"version {version}, not {VERSION}")
    if isinstance(message, HandoverState):
        try:
            for member in message.table.members:
                split_address(member.host_port)
        except ServerListError as error:
            raise HandoverError(str(error)) from None
    return message


def place(folder: str, listen: tuple[str, int]) -> str:
    """Where the process that serves at `listen` waits for a successor."""
    return f"{folder}/cloverwell-{listen[0]}-{listen[1]}.sock"
