"""The balancer as calls that return decisions: decide, report, tick. Its events and actions end here.

`decide` and `report` return the choice for the request in hand; whatever the module decides on the way
for others is kept for the next `tick`, which the loop calls after each of them.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol, cast

from balancer import Balancer, api
from balancer.api import Idempotency, ListKind, ServerEntry, Status


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = Status.OK
    MISS = Status.MISS
    BUSY = Status.FULL
    ERROR = Status.ERROR
    TIMED_OUT = Status.TIMEOUT
    NOT_CONNECTED = Status.CONNECT_FAILED
    RESET = Status.RESET
    CANCELLED = Status.CANCELLED
    # Its request was over, or this machine at fault: it says nothing of the server.
    NOT_SENT = Status.ABANDONED


NEVER_RAN = tuple(AttemptOutcome(status) for status in api.NEVER_RAN)


class RoutableRequest(Protocol):
    """The fields of a request by which it is routed."""

    id: str
    class_number: int
    tenant: int
    is_write: bool
    deadline_ms: float  # by the facade's clock
    is_over: bool

    @property
    def key(self) -> str | None:
        """The key that is read or written; None for a request without one."""


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send one attempt of the request to the node, now."""

    request_id: str
    node: str
    number: int
    timeout_ms: float
    decided_ms: float = 0.0  # the timeout counts from then, however much later this is carried out


@dataclass(slots=True, frozen=True)
class Undecided:
    """There is nothing to do now; a later `tick` returns the next decision."""


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Reject the request: the client may safely retry, best after that time."""

    request_id: str
    retry_after_ms: float
    reason: str = ""  # counted as `refused.REASON`


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Fail the request: an attempt of it may have run."""

    request_id: str
    reason: str = ""


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: str
    number: int


@dataclass(slots=True, frozen=True)
class CloseConnections:
    """Close the idle connections to a node."""

    node: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Watch the endpoint list from now on; `report` each update, or the failure."""


@dataclass(slots=True, frozen=True)
class LogEvent:
    """A line for the log."""

    text: str


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An update of the endpoint list: the complete list, or the entries that changed."""

    revision: int
    complete: bool
    entries: tuple[ServerEntry, ...]
    is_cached: bool = False  # the list as this proxy had it before it started


@dataclass(slots=True, frozen=True)
class EndpointUpdateFailed:
    """A call to discovery has failed; the list stays as it is."""


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of the request has disconnected."""


Decision = (
    SendAttempt
    | Undecided
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | CloseConnections
    | WatchEndpoints
    | LogEvent
)
UNDECIDED = Undecided()


@dataclass(slots=True)
class AttemptCount:
    """The attempts of a request: all of them, which numbers the next, and those in flight."""

    chosen: int = 0
    out: int = 0


class Facade:
    """One balancer, its clock and its timers, behind calls that return the decision for their request."""

    def __init__(self, settings: api.Settings, seed: int, now: Callable[[], float]) -> None:
        """`now` returns the time in milliseconds, of the clock that `tick` is called with."""
        self.settings = settings
        # This proxy carries out no probes: a module that counted on them would keep a marked node out until
        # the list changed, waiting for an answer that never comes. Without them it sends trial requests.
        self._balancer = Balancer(replace(settings, may_probe=False), seed)
        self._now = now
        self._timers: list[tuple[float, int]] = []
        self._pending: deque[Decision] = deque()
        self._attempts: dict[str, AttemptCount] = {}  # of the requests that had an attempt and are not over

    def decide(self, request: RoutableRequest) -> Decision:
        """Returns the first decision for a new request."""
        now = self._now()
        event = api.Request(
            request.id,
            request.class_number,
            request.deadline_ms - now,  # by this reading: the process may have been held up since any other
            request.key,
            request.tenant,
            request.is_write,
        )
        return self._hand_over(now, event, request.id)

    def report(
        self,
        subject: SendAttempt | RoutableRequest | WatchEndpoints,
        outcome: AttemptOutcome | ClientDisconnected | EndpointUpdate | EndpointUpdateFailed,
        is_over: bool = False,
    ) -> Decision:
        """How an attempt or a watch ended, or that the client left; `is_over`: its answer has been given."""
        now = self._now()
        match outcome:
            case AttemptOutcome():
                assert isinstance(subject, SendAttempt)
                name = subject.request_id
                ended = is_over or outcome is AttemptOutcome.SERVED
                self._attempts[name].out -= 1
                if ended:
                    self._forget(name)
                event = api.AttemptEnded(name, subject.node, subject.number, outcome.value, 0.0, ended)
                return self._hand_over(now, event, name)
            case ClientDisconnected():
                request = cast(RoutableRequest, subject)
                self._forget(request.id)
                return self._hand_over(now, api.ClientGone(request.id), request.id)
            case EndpointUpdate():
                kind = ListKind.FULL if outcome.complete else ListKind.DELTA
                kind = ListKind.CACHED if outcome.is_cached else kind
                return self._hand_over(
                    now, api.EndpointListChanged(kind, outcome.revision, outcome.entries), None
                )
            case EndpointUpdateFailed():
                return self._hand_over(now, api.EndpointListChanged(ListKind.FAILED), None)

    def tick(self, now: float) -> list[Decision]:
        """The choices that are due for others: what the last calls left, and what timers bring."""
        while self._timers and self._timers[0][0] <= now:
            _, token = heapq.heappop(self._timers)
            self._hand_over(now, api.TimerDue(token), None)
        due, self._pending = list(self._pending), deque()
        return due

    def resize(self, peers_total: int) -> None:
        """Adapts the decisions to the number of proxies that share the servers."""
        self.settings = replace(self.settings, peers_total=peers_total)
        self._balancer.resize(peers_total)

    def _forget(self, request: str) -> None:
        """The request is over: its count is dropped with its last attempt."""
        if (count := self._attempts.get(request)) is not None and not count.out:
            del self._attempts[request]

    def _hand_over(self, now: float, event: api.Event, mine: str | None) -> Decision:
        choice: Decision = UNDECIDED
        for action in self._balancer.handle(now, event):
            if type(action) is api.SetTimer:
                heapq.heappush(self._timers, (now + action.delay_ms, action.token))
                continue
            meant = self._read(action, now)
            if (
                isinstance(meant, SendAttempt | RejectRequest | FailRequest)
                and choice is UNDECIDED
                and meant.request_id == mine
            ):
                choice = meant
            else:
                self._pending.append(meant)
        return choice

    def _read(self, action: api.Action, now: float) -> Decision:
        match action:
            case api.Send(name, node, timeout_ms):
                count = self._attempts.setdefault(name, AttemptCount())
                count.chosen += 1
                count.out += 1
                return SendAttempt(name, node, count.chosen - 1, timeout_ms, now)
            case api.Reject(name, retry_after_ms, reason):
                self._forget(name)
                return RejectRequest(name, retry_after_ms, reason)
            case api.Fail(name, reason):
                self._forget(name)
                return FailRequest(name, reason)
            case api.Cancel(name, number):
                return CancelAttempt(name, number)
            case api.CloseConnections(node):
                return CloseConnections(node)
            case api.Subscribe():
                return WatchEndpoints()
            case api.Log(text):
                return LogEvent(text)
        # Probes are never carried out, and the module is told that they may not be (see __init__).
        return LogEvent(f"not carried out: {action}")


def resend_window_ms(settings: api.Settings, class_number: int) -> float | None:
    """How long after an attempt that may have run a further one may leave; None where the class sets no
    limit."""
    cls = settings.classes[class_number]
    return cls.dedup_window_ms if cls.idempotency is Idempotency.KEYED else None


def forbids_retry(settings: api.Settings, class_number: int) -> bool:
    """Whether an attempt that may have run forbids any other."""
    return settings.classes[class_number].idempotency is Idempotency.UNSAFE
