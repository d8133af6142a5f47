"""The messages between the two processes of a handover, and where they meet; without I/O.

Each message is one line of JSON, sent over a Unix socket:

    successor -> predecessor   {"version":1,"listen":"HOST:PORT","claims":true}
    predecessor -> successor   {"version":1,"sockets":N,"table":{...},"node_starts":{...},"held_ids":{...},
                               "memory_mb":N} and the listening socket's descriptor
    successor -> predecessor   {"serves":true}
    each to the other          {"held":"ID","for_ms":N}, {"released":"ID"}, {"confirm":N}, {"confirmed":N}

Unknown fields are ignored, and the fields behind `table` may be missing, so that processes of an older and a
newer release understand each other either way. Claims (`cloverwell.id_claims`) are sent only to a process
that has sent `claims` or `held_ids`. The connection stays open: its end tells each process that the other one
has exited.
"""

from typing import TypeVar

import msgspec

from cloverwell.id_claims import ClaimMessage
from cloverwell.membership.endpoint_list import MAX_LIST_BYTES, EndpointList, EndpointListError, split_address
from cloverwell.membership.node_starts import KnownStarts

PROTOCOL_VERSION = 1
MAX_HELLO_BYTES = 1024
MAX_STATE_BYTES = 2 * MAX_LIST_BYTES  # Enough for the endpoint list and the starts of its nodes.
MESSAGE_END = b"\n"

MessageT = TypeVar("MessageT", bound=msgspec.Struct)


class HandoverError(Exception):
    """An error that ends the handover; its text is written to the log."""


class MalformedMessageError(HandoverError):
    """A line is not a message of the expected type; `problem` is the decoder's description."""

    def __init__(self, problem: str) -> None:
        """`problem` describes what is wrong with the line that was received."""
        super().__init__(f"malformed: {problem}")
        self.problem = problem


class UnsupportedVersionError(HandoverError):
    """The other process speaks another `version` of the protocol."""

    def __init__(self, version: int) -> None:
        """`version` is what the other process has sent."""
        super().__init__(f"version {version} is not supported, only version {PROTOCOL_VERSION}")
        self.version = version


class InvalidEndpointError(HandoverError):
    """The endpoint list has an address that can't be used; `problem` says which."""

    def __init__(self, problem: str) -> None:
        """`problem` is the error text of the endpoint list's own check."""
        super().__init__(problem)
        self.problem = problem


class Hello(msgspec.Struct):
    """The successor's request for the address `listen`, as `HOST:PORT`.

    `claims`: it understands claims of ids.
    """

    version: int
    listen: str
    claims: bool | msgspec.UnsetType = msgspec.UNSET


class HandoverState(msgspec.Struct):
    """The state that the predecessor hands over to its successor.

    `sockets` is the number of descriptors that the successor may use until its predecessor has exited;
    `table` is the endpoint list as it was received last; `node_starts` is when its nodes started, by the
    monotonic clock that both processes read. `held_ids` has for each id that the predecessor holds the ms for
    which it does; `memory_mb` is the memory that the successor may use until its predecessor has exited.
    """

    version: int
    sockets: int
    table: EndpointList
    node_starts: KnownStarts | None = None
    held_ids: dict[str, float] | msgspec.UnsetType = msgspec.UNSET
    memory_mb: float | msgspec.UnsetType = msgspec.UNSET

    def check_clock(self, requested_ms: float, received_ms: float) -> bool:
        """Return False, and drop `node_starts`, if it was not written between these two moments.

        A Unix socket connects processes on one running kernel, whose monotonic clock is the same for both. A
        process in another time namespace, or one restored from an image, may still read it with an offset.
        """
        if self.node_starts is None or requested_ms <= self.node_starts.clock_ms <= received_ms:
            return True
        self.node_starts = None
        return False


class Serves(msgspec.Struct):
    """The successor's notice that it accepts connections from now on."""

    serves: bool


class SuccessorMessage(ClaimMessage, omit_defaults=True):
    """A message of the successor behind its hello: that it serves, or one on the claim of an id."""

    serves: bool = False


def encode(message: msgspec.Struct) -> bytes:
    """Return the message as a line of JSON, with its end."""
    return msgspec.json.encode(message) + MESSAGE_END


def decode(line: bytes, message_type: type[MessageT]) -> MessageT:
    """Return the message that a line without its end holds; raise `HandoverError` if it can't be used."""
    try:
        message = msgspec.json.decode(line, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from None
    if isinstance(message, Hello | HandoverState) and message.version != PROTOCOL_VERSION:
        raise UnsupportedVersionError(message.version)
    if isinstance(message, HandoverState):
        _check_addresses(message.table)
    return message


def _check_addresses(endpoint_list: EndpointList) -> None:
    try:
        for member in endpoint_list.members:
            split_address(member.host_port)
    except EndpointListError as error:
        raise InvalidEndpointError(str(error)) from None


def handover_socket_path(folder: str, listen: tuple[str, int]) -> str:
    """Return the path of the Unix socket at which the process that serves `listen` waits for a successor."""
    return f"{folder}/cloverwell-{listen[0]}-{listen[1]}.sock"
