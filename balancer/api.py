"""The interface of the decision module: settings, server entries, events in, actions out.

All times are floats in milliseconds. Nothing here decides anything; see balancer.py.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(IntEnum):
    """CACHED: the list as last held; FAILED: a call failed; DELTA: changed entries; FULL: all entries."""

    CACHED = 0
    FAILED = 1
    DELTA = 2
    FULL = 3


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    MISS = "miss"
    FULL = "full"
    ERROR = "error"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


# Outcomes that show the server at work.
ANSWERS = (Status.OK, Status.MISS, Status.FULL, Status.ERROR)

# Outcomes after which the attempt may still be running.
IN_DOUBT = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)

# Outcomes that prove that the attempt never ran.
NEVER_RAN = (Status.MISS, Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


@dataclass(slots=True, frozen=True)
class RequestClass:
    aim_ms: float
    deadline_ms: float
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False
    in_turn: bool = False  # its requests with one key run one at a time, in the order taken
    name: str = ""

    def __post_init__(self) -> None:
        _positive("aim_ms", self.aim_ms)
        _positive("deadline_ms", self.deadline_ms)
        _not_negative("window_ms", self.window_ms)
        _not_negative("worth", self.worth)
        _not_negative("late_worth", self.late_worth)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's quota counts over all balancers together; 0 means that none was stated."""

    quota_per_s: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _not_negative("quota_per_s", self.quota_per_s)


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    peers_total: int = 1
    origin_kind: int = -1
    zone: int = 0  # this balancer's own
    cross_price: float = 0.0  # of an attempt that goes to another zone, in requests' worth
    sizes_fixed: bool = False
    list_pushed: bool = False
    over_share_worth: float = 1.0
    max_attempts: int = 3
    may_cancel: bool = True
    may_probe: bool = False
    may_copy: bool = False  # a request may have two attempts out together
    max_retry_after_ms: float = 0.0
    granularity_ms: float = 1.0
    start_capacity: float = 1.0
    warm_up_ms: float = 0.0
    ask_within_ms: float = 10_000.0
    # Attempts beyond the first in any such window: so many and this share of the requests; 0: no bound.
    resend_window_ms: float = 0.0
    free_resends: float = 0.0
    resend_share: float = 0.0
    idle_close_ms: float = 15_000.0  # unused so long, a connection is closed
    hang_up_within_ms: float = 0.0  # idle connections to a draining server are closed by then; 0: no matter
    drain_grace_ms: float = 1000.0  # no attempt to a draining or gone server later than this after being told
    settle_ms: float = 0.0  # how long a key of in-turn requests rests after an attempt that may still run
    # For whoever carries the decisions out; the decisions themselves do not read these.
    zones: tuple[str, ...] = ()
    machine_types: tuple[str, ...] = ()
    connect_timeout_ms: float = 1000.0  # a connection not made by then has failed
    attempts_per_connection: int = 1  # attempts that one connection carries together
    max_open: int = 0  # requests held at once; 0: no bound

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.peers_total < 1:
            raise ValueError("peers_total: must be at least 1")
        if not 0 <= self.zone < max(1, len(self.zones)):
            raise ValueError("zone: must be the place of one of zones")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be at least 1")
        if not 0.0 < self.start_capacity <= 1.0:
            raise ValueError("start_capacity: must be over 0 and at most 1")
        _not_negative("cross_price", self.cross_price)
        _not_negative("over_share_worth", self.over_share_worth)
        _not_negative("warm_up_ms", self.warm_up_ms)
        _not_negative("drain_grace_ms", self.drain_grace_ms)
        _not_negative("granularity_ms", self.granularity_ms)
        _not_negative("max_retry_after_ms", self.max_retry_after_ms)
        _not_negative("ask_within_ms", self.ask_within_ms)
        _not_negative("resend_window_ms", self.resend_window_ms)
        _not_negative("free_resends", self.free_resends)
        _not_negative("resend_share", self.resend_share)
        _not_negative("settle_ms", self.settle_ms)
        _positive("idle_close_ms", self.idle_close_ms)
        _positive("connect_timeout_ms", self.connect_timeout_ms)
        _not_negative("hang_up_within_ms", self.hang_up_within_ms)


def _number(name: str, value: float) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name}: must be a number")


def _positive(name: str, value: float) -> None:
    _number(name, value)
    if not 0.0 < value < float("inf"):
        raise ValueError(f"{name}: must be over 0")


def _not_negative(name: str, value: float) -> None:
    _number(name, value)
    if not 0.0 <= value < float("inf"):
        raise ValueError(f"{name}: must not be negative")


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of the list; `started_ms` is the clock time of the last start, 0 or -inf if long ago."""

    server: str
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started_ms: float = 0.0
    kind: int = 0
    zone: int = 0
    cell: int = 0

    def member_of(self, group: Group) -> int:
        """Servers with the same number are of one group."""
        return 0 if group is Group.ALL else getattr(self, group.value)


# Events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class ServerList:
    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True)
class Request:
    request: str
    request_class: int
    left_ms: float
    key: str | None = None
    tenant: int = 0
    write: bool = False


@dataclass(slots=True)
class StreamBegun:
    request: str
    server: str
    attempt: int


@dataclass(slots=True)
class Outcome:
    """`closed`: the request is over, by this outcome or earlier."""

    request: str
    server: str
    attempt: int
    status: Status
    latency_ms: float = 0.0
    closed: bool = False


@dataclass(slots=True)
class Probed:
    """How a probe ended."""

    server: str
    status: Status
    latency_ms: float = 0.0


@dataclass(slots=True)
class ClientGone:
    request: str


@dataclass(slots=True)
class TimerDue:
    token: int


Event = ServerList | Request | StreamBegun | Outcome | Probed | ClientGone | TimerDue

# Actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    request: str
    server: str
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True)
class Probe:
    server: str


@dataclass(slots=True)
class Close:
    """Closes this balancer's idle connections to the server."""

    server: str


@dataclass(slots=True)
class Refuse:
    """Final answer: a retry is harmless."""

    request: str
    retry_after_ms: float = 0.0
    reason: str = ""  # a word for the counts


@dataclass(slots=True)
class Fail:
    """Final answer that promises nothing of the effect."""

    request: str
    reason: str = ""


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Follow the list's changes from now; one ServerList event answers."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Cancel | Probe | Close | Refuse | Fail | SetTimer | Subscribe | Log
