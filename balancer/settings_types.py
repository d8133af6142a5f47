"""The types of the balancer's settings and the checks of their ranges; settings.py reads them."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request is idempotent, and so whether an attempt that may have run can be retried.

    SAFE: idempotent. KEYED: carries an idempotency key that servers remember for the class's window.
    UNSAFE: not idempotent.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which servers share their memory of idempotency keys, and so recognise a repeated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The rules for one class of requests: latency objective, deadline and idempotency."""

    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    importance: float = 1.0
    late_value: float = 0.0
    is_stream: bool = False
    is_ordered: bool = False  # its requests with one key run one at a time, in the order taken
    name: str = ""

    def __post_init__(self) -> None:
        """Checks the ranges of all fields."""
        _positive("latency_objective_ms", self.latency_objective_ms)
        _positive("deadline_ms", self.deadline_ms)
        _not_negative("dedup_window_ms", self.dedup_window_ms)
        _not_negative("importance", self.importance)
        _not_negative("late_value", self.late_value)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's quota counts over all balancers together; 0 means that none was stated."""

    quota_per_s: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        """Checks the ranges of all fields."""
        _not_negative("quota_per_s", self.quota_per_s)


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one balancer; durations are in milliseconds."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    peers_total: int = 1
    origin_machine_type: int = -1
    zone: int = 0  # this balancer's own
    cross_zone_cost: float = 0.0  # of an attempt that goes to another zone, in requests' worth
    weighted_tokens: bool = False
    is_list_pushed: bool = False
    over_quota_importance: float = 1.0
    max_attempts: int = 3
    may_cancel: bool = True
    may_probe: bool = False
    may_hedge: bool = False  # a request may have two attempts out together
    max_retry_after_ms: float = 0.0
    granularity_ms: float = 1.0
    start_capacity: float = 1.0
    warm_up_ms: float = 0.0
    max_poll_interval_ms: float = 10_000.0
    # Attempts beyond the first in any such window: so many and this share of the requests; 0: no bound.
    retry_window_ms: float = 0.0
    free_retries: float = 0.0
    retry_share: float = 0.0
    idle_timeout_ms: float = 15_000.0  # unused so long, a connection is closed
    drain_close_ms: float = 0.0  # idle connections to a draining server are closed by then; 0: no matter
    drain_grace_ms: float = 1000.0  # no attempt to a draining or gone server later than this after being told
    in_doubt_hold_ms: float = (
        0.0  # how long a key of in-turn requests rests after an attempt that may still run
    )
    # For whoever carries the decisions out; the decisions themselves do not read these.
    zones: tuple[str, ...] = ()
    machine_types: tuple[str, ...] = ()
    connect_timeout_ms: float = 1000.0  # a connection not made by then has failed
    attempts_per_connection: int = 1  # attempts that one connection carries together
    max_open_requests: int = 0  # requests held at once; 0: no bound

    def __post_init__(self) -> None:
        """Checks the ranges of all fields."""
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
        _not_negative("cross_zone_cost", self.cross_zone_cost)
        _not_negative("over_quota_importance", self.over_quota_importance)
        _not_negative("warm_up_ms", self.warm_up_ms)
        _not_negative("drain_grace_ms", self.drain_grace_ms)
        _not_negative("granularity_ms", self.granularity_ms)
        _not_negative("max_retry_after_ms", self.max_retry_after_ms)
        _not_negative("max_poll_interval_ms", self.max_poll_interval_ms)
        _not_negative("retry_window_ms", self.retry_window_ms)
        _not_negative("free_retries", self.free_retries)
        _not_negative("retry_share", self.retry_share)
        _not_negative("in_doubt_hold_ms", self.in_doubt_hold_ms)
        _positive("idle_timeout_ms", self.idle_timeout_ms)
        _positive("connect_timeout_ms", self.connect_timeout_ms)
        _not_negative("drain_close_ms", self.drain_close_ms)


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
