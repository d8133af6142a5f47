"""What two processes tell each other when one takes over: JSON, a message a line. No I/O.

    successor -> predecessor   {"version":1,"listen":"HOST:PORT"}
    predecessor -> successor   {"version":1,"sockets":N,"table":{...},"node_starts":{...}} and the listening
                               socket's descriptor
    successor -> predecessor   {"serves":true}

Fields that a process does not know are passed over, and `node_starts` may be missing: an older process
beside a newer one is understood either way. The conversation stays open from then on: its end tells each
that the other process has gone.
"""

from typing import Any, TypeVar

import msgspec

from cloverwell.membership.endpoint_list import MAX_LIST, EndpointList, EndpointListError, split_address
from cloverwell.membership.node_starts import KnownStarts

VERSION = 1
MAX_HELLO = 1024
MAX_ESTATE = 2 * MAX_LIST  # the list, and the starts of its nodes
END = b"\n"

T = TypeVar("T")


class HandoverError(Exception):
    """What is wrong with a message."""


class Hello(msgspec.Struct):
    version: int
    listen: str


class HandoverState(msgspec.Struct):
    """`sockets`: descriptors that the successor may hold until its predecessor has gone; `table`: the list as
    it was told last; `node_starts`: when its nodes started, by the clock that both processes read."""

    version: int
    sockets: int
    table: EndpointList
    node_starts: KnownStarts | None = None

    def keep_starts_of(self, asked_ms: float, received_ms: float) -> bool:
        """Drops the starts, and returns False, unless they were written between these two moments.

        A Unix socket joins processes of one running kernel, whose monotonic clock is one clock. A time
        namespace, or a process that was restored from an image, may show it with an offset all the same.
        """
        if self.node_starts is None or asked_ms <= self.node_starts.clock_ms <= received_ms:
            return True
        self.node_starts = None
        return False


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
        except EndpointListError as error:
            raise HandoverError(str(error)) from None
    return message


def place(folder: str, listen: tuple[str, int]) -> str:
    """Where the process that serves at `listen` waits for a successor."""
    return f"{folder}/cloverwell-{listen[0]}-{listen[1]}.sock"
