"""The types of the balancer's settings, which check the ranges of their fields; settings.py fills them."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The idempotency of a request, which decides if an attempt that may have run can be retried.

    SAFE: idempotent. KEYED: carries an idempotency key that servers remember for the deduplication window of
    its class. UNSAFE: not idempotent.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The servers that share their memory of idempotency keys, and so recognise a repeated request.

    ALL: all servers. ZONE: the servers of one zone. CELL: the servers of one cell.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The rules for one class of requests: latency objective, deadline, idempotency and importance."""

    latency_objective_ms: float  # the time in which a response is to reach the client
    deadline_ms: float  # the time after which a client gives up
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0  # the time for which servers remember the idempotency key
    importance: float = 1.0  # the weight of a request against those of other classes
    late_value: float = 0.0  # the value of a response after the objective, as a part of its value in time
    is_stream: bool = False  # responses are streams, whose beginning may reach the client before their end
    is_ordered: bool = False  # requests with the same key run one at a time, in the order of their arrival
    name: str = ""

    def __post_init__(self) -> None:
        """Checks the ranges of all fields; raises ValueError for the first bad one."""
        _check_positive("latency_objective_ms", self.latency_objective_ms)
        _check_positive("deadline_ms", self.deadline_ms)
        _check_not_negative("dedup_window_ms", self.dedup_window_ms)
        _check_not_negative("importance", self.importance)
        _check_not_negative("late_value", self.late_value)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota."""

    quota_per_s: float = 0.0  # requests per second at all balancers together; 0: there is no quota
    name: str = ""

    def __post_init__(self) -> None:
        """Checks the ranges of all fields; raises ValueError for the first bad one."""
        _check_not_negative("quota_per_s", self.quota_per_s)


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one balancer; durations are in milliseconds."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    peers_total: int = 1  # the number of balancers that share the servers, this one included
    origin_machine_type: int = -1  # the index in `machine_types` of the origin's type; -1: there is no origin
    zone: int = 0  # the index in `zones` of this balancer's zone
    cross_zone_cost: float = 0.0  # the cost of an attempt in another zone, in units of importance; 0: none
    weighted_tokens: bool = False  # a server's tokens on the ring are in proportion to its weight
    is_list_pushed: bool = False  # the endpoint list is sent without a call; otherwise it is polled
    over_quota_importance: float = 1.0  # the factor on the importance of requests beyond their tenant's quota
    max_attempts: int = 3  # the most attempts of one request, the first one included
    may_cancel: bool = True  # attempts may be cancelled
    may_probe: bool = False  # the balancer may send health checks to servers
    may_hedge: bool = False  # a request may have two attempts in flight at the same time
    max_retry_after_ms: float = 0.0  # the longest wait that a rejection asks the client for; 0: none
    granularity_ms: float = 1.0  # the granularity of timers, and the shortest timeout of an attempt
    start_capacity: float = 1.0  # the part of its full capacity that a server has when it has just started
    warm_up_ms: float = 0.0  # the time after its start until a server has its full capacity
    max_poll_interval_ms: float = 10_000.0  # the longest time between two calls for the endpoint list
    # In each window of `retry_window_ms`, the retries are at most `free_retries` plus `retry_share` times the
    # requests. If the window is 0, retries are not limited.
    retry_window_ms: float = 0.0
    free_retries: float = 0.0
    retry_share: float = 0.0
    idle_timeout_ms: float = 15_000.0  # a connection that has been idle for this long is closed
    drain_close_ms: float = 0.0  # idle connections to a draining server are closed in this time; 0: no limit
    drain_grace_ms: float = 1000.0  # a draining or removed server may still get attempts for this time
    in_doubt_hold_ms: float = 0.0  # the wait of ordered requests after an attempt that may still run
    zones: tuple[str, ...] = ()  # the names of all zones
    machine_types: tuple[str, ...] = ()  # the names of all machine types
    # The balancer itself does not use the following: they are for the program that sends its attempts.
    connect_timeout_ms: float = 1000.0  # a connection that is not open by then has failed
    attempts_per_connection: int = 1  # the most attempts in flight on one connection
    max_open_requests: int = 0  # the most requests held at once; 0: no limit

    def __post_init__(self) -> None:
        """Checks the ranges of all fields; raises ValueError for the first bad one."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.peers_total < 1:
            raise ValueError("peers_total: must be at least 1")
        if not 0 <= self.zone < max(1, len(self.zones)):
            raise ValueError("zone: must be the index of one of zones")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be at least 1")
        if not 0.0 < self.start_capacity <= 1.0:
            raise ValueError("start_capacity: must be greater than 0 and at most 1")
        _check_not_negative("cross_zone_cost", self.cross_zone_cost)
        _check_not_negative("over_quota_importance", self.over_quota_importance)
        _check_not_negative("warm_up_ms", self.warm_up_ms)
        _check_not_negative("drain_grace_ms", self.drain_grace_ms)
        _check_not_negative("granularity_ms", self.granularity_ms)
        _check_not_negative("max_retry_after_ms", self.max_retry_after_ms)
        _check_not_negative("max_poll_interval_ms", self.max_poll_interval_ms)
        _check_not_negative("retry_window_ms", self.retry_window_ms)
        _check_not_negative("free_retries", self.free_retries)
        _check_not_negative("retry_share", self.retry_share)
        _check_not_negative("in_doubt_hold_ms", self.in_doubt_hold_ms)
        _check_positive("idle_timeout_ms", self.idle_timeout_ms)
        _check_positive("connect_timeout_ms", self.connect_timeout_ms)
        _check_not_negative("drain_close_ms", self.drain_close_ms)

    @property
    def is_cache_aside(self) -> bool:
        """Whether writes, and reads after a miss, are sent to the origin; otherwise servers forward them."""
        return self.origin_machine_type >= 0


def _check_number(name: str, value: float) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name}: must be a number")


def _check_positive(name: str, value: float) -> None:
    _check_number(name, value)
    if not 0.0 < value < float("inf"):
        raise ValueError(f"{name}: must be greater than 0")


def _check_not_negative(name: str, value: float) -> None:
    _check_number(name, value)
    if not 0.0 <= value < float("inf"):
        raise ValueError(f"{name}: must not be negative")
