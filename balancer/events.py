"""The events that the balancer handles: what has happened. All times are in milliseconds."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from balancer.endpoints import ServerEntry


class ListKind(IntEnum):
    """The contents of an update of the endpoint list.

    CACHED: the list that the process had saved before it started. FAILED: nothing, since the call has failed.
    DELTA: the entries that have changed. FULL: all entries.
    """

    CACHED = 0
    FAILED = 1
    DELTA = 2
    FULL = 3


class Status(Enum):
    """The outcome of an attempt.

    FULL: the server refused it, since its queue was full. ABANDONED: the caller did not send it, since the
    request was over or the caller's machine was at fault, so the outcome is no evidence about the server.
    """

    OK = "ok"
    MISS = "miss"
    FULL = "full"
    ERROR = "error"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"


# Outcomes that show that the server is working.
ANSWERS = (Status.OK, Status.MISS, Status.FULL, Status.ERROR)

# Outcomes after which the attempt may still be running at the server.
IN_DOUBT = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)

# Outcomes that prove that the attempt never ran.
NEVER_RAN = (Status.MISS, Status.FULL, Status.CONNECT_FAILED, Status.ABANDONED)


@dataclass(slots=True)
class EndpointListChanged:
    """The endpoint list has changed, or a call for it has failed."""

    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True)
class Request:
    """A request has arrived; `time_left_ms` is the time until its deadline."""

    request_id: str
    class_number: int
    time_left_ms: float
    key: str | None = None
    tenant: int = 0
    write: bool = False


@dataclass(slots=True)
class StreamStarted:
    """The first bytes of a streamed response have been passed to the client."""

    request_id: str
    server: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; `request_over` says that this or an earlier outcome has ended its request."""

    request_id: str
    server: str
    attempt: int
    status: Status
    latency_ms: float = 0.0
    request_over: bool = False


@dataclass(slots=True)
class ProbeEnded:
    """A probe of a server's health has ended."""

    server: str
    status: Status
    latency_ms: float = 0.0


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected, so its request needs no response any more."""

    request_id: str


@dataclass(slots=True)
class TimerDue:
    """A timer that was set by the action `SetTimer` has fired."""

    token: int


Event = EndpointListChanged | Request | StreamStarted | AttemptEnded | ProbeEnded | ClientGone | TimerDue
