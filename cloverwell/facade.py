"""The balancer behind three calls that return decisions: `decide`, `report` and `tick`.

No other module of this package sees the balancer's events and actions. `decide` and `report` return the
decision for the request that they are called with. What the balancer decides at the same time for other
requests is kept for the next `tick`, which the dispatcher calls after each of them.
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
    # Its request had ended, or this machine was at fault: the outcome tells nothing about the server.
    NOT_SENT = Status.ABANDONED


# The outcomes after which the request has certainly not run at the node.
NEVER_RAN = tuple(AttemptOutcome(status) for status in api.NEVER_RAN)


class RoutableRequest(Protocol):
    """The fields of a request that the balancer decides by."""

    id: str
    class_number: int
    tenant: int
    is_write: bool
    deadline_ms: float  # the clock's reading at the deadline, in ms
    is_over: bool

    @property
    def key(self) -> str | None:
        """The key that is read or written; None for a request without one."""


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send an attempt of the request to the node now."""

    request_id: str
    node: str
    number: int  # 0 for the first attempt of the request
    timeout_ms: float
    # The time of the decision. The timeout counts from it, even if the attempt is sent later.
    decided_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Undecided:
    """Do nothing now: the request waits, and a later `tick` returns its next decision."""


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Reject the request, which its client may safely retry, best after `retry_after_ms`."""

    request_id: str
    retry_after_ms: float
    reason: str = ""  # counted as `refused.REASON`


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Fail the request: an attempt of it may have run, so a retry could run it twice."""

    request_id: str
    reason: str = ""  # counted as `failed.REASON`


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
    """Watch the endpoint list from now on, and pass each update or failed call to `report`."""


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Log a line in which the balancer describes an event."""

    text: str


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An update of the endpoint list: a complete list, or only the entries that have changed."""

    revision: int
    complete: bool
    entries: tuple[ServerEntry, ...]
    is_cached: bool = False  # the list was known before this process started, and may be out of date


@dataclass(slots=True, frozen=True)
class EndpointUpdateFailed:
    """A call to discovery has failed, and the endpoint list stays as it is."""


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
    """The number of attempts that a request has had so far, and how many of them are in flight."""

    started: int = 0  # also the number of the next attempt
    in_flight: int = 0


class Facade:
    """One balancer with its clock and its timers, behind calls that return decisions."""

    def __init__(self, settings: api.Settings, seed: int, now: Callable[[], float]) -> None:
        """Sets up the balancer with these settings and this seed of its random numbers.

        `now` returns the reading in ms of the clock whose readings `tick` is called with.
        """
        self.settings = settings
        # This proxy sends no probes. A balancer that relied on them would wait for answers that never come,
        # and keep an ejected node out until the endpoint list changed. Without probes it readmits a node by
        # sending it a client's request.
        self._balancer = Balancer(replace(settings, may_probe=False), seed)
        self._now = now
        self._timers: list[tuple[float, int]] = []
        self._pending: deque[Decision] = deque()
        # By request id, for the requests that have had an attempt and have not ended.
        self._attempts: dict[str, AttemptCount] = {}

    def decide(self, request: RoutableRequest) -> Decision:
        """Returns the decision for a new request, or for one whose attempt could not be sent."""
        now = self._now()
        # The time left counts from this reading of the clock: since an earlier one the process may have
        # stalled.
        event = api.Request(
            request.id,
            request.class_number,
            request.deadline_ms - now,
            request.key,
            request.tenant,
            request.is_write,
        )
        return self._handle_event(now, event, request.id)

    def report(
        self,
        subject: SendAttempt | RoutableRequest | WatchEndpoints,
        outcome: AttemptOutcome | ClientDisconnected | EndpointUpdate | EndpointUpdateFailed,
        is_over: bool = False,
    ) -> Decision:
        """Reports an outcome to the balancer, and returns the next decision for the request.

        `subject` is the attempt that has ended, the request whose client has disconnected, or the watch of
        the endpoint list. `is_over` says that the attempt's request has ended.
        """
        now = self._now()
        match outcome:
            case AttemptOutcome():
                assert isinstance(subject, SendAttempt)
                subject_request_id = subject.request_id
                is_request_over = is_over or outcome is AttemptOutcome.SERVED
                self._attempts[subject_request_id].in_flight -= 1
                if is_request_over:
                    self._forget(subject_request_id)
                event = api.AttemptEnded(
                    subject_request_id, subject.node, subject.number, outcome.value, 0.0, is_request_over
                )
                return self._handle_event(now, event, subject_request_id)
            case ClientDisconnected():
                request = cast(RoutableRequest, subject)
                self._forget(request.id)
                return self._handle_event(now, api.ClientGone(request.id), request.id)
            case EndpointUpdate():
                kind = ListKind.FULL if outcome.complete else ListKind.DELTA
                kind = ListKind.CACHED if outcome.is_cached else kind
                return self._handle_event(
                    now, api.EndpointListChanged(kind, outcome.revision, outcome.entries), None
                )
            case EndpointUpdateFailed():
                return self._handle_event(now, api.EndpointListChanged(ListKind.FAILED), None)

    def tick(self, now: float) -> list[Decision]:
        """Returns the decisions that are due: those that the last calls kept, and those of expired timers."""
        while self._timers and self._timers[0][0] <= now:
            _, token = heapq.heappop(self._timers)
            self._handle_event(now, api.TimerDue(token), None)
        due, self._pending = list(self._pending), deque()
        return due

    def resize(self, peers_total: int) -> None:
        """Changes the number of proxies that share the servers, by which the balancer divides limits."""
        self.settings = replace(self.settings, peers_total=peers_total)
        self._balancer.resize(peers_total)

    def _forget(self, request_id: str) -> None:
        """Drops the attempt count of a request that has ended, unless attempts are still in flight."""
        if (count := self._attempts.get(request_id)) is not None and not count.in_flight:
            del self._attempts[request_id]

    def _handle_event(self, now: float, event: api.Event, current_request_id: str | None) -> Decision:
        current_decision: Decision = UNDECIDED
        for action in self._balancer.handle(now, event):
            if type(action) is api.SetTimer:
                heapq.heappush(self._timers, (now + action.delay_ms, action.token))
                continue
            decision = self._decision_from(action, now)
            if (
                isinstance(decision, SendAttempt | RejectRequest | FailRequest)
                and current_decision is UNDECIDED
                and decision.request_id == current_request_id
            ):
                current_decision = decision
            else:
                self._pending.append(decision)
        return current_decision

    def _decision_from(self, action: api.Action, now: float) -> Decision:
        match action:
            case api.Send(request_id, node, timeout_ms):
                count = self._attempts.setdefault(request_id, AttemptCount())
                count.started += 1
                count.in_flight += 1
                return SendAttempt(request_id, node, count.started - 1, timeout_ms, now)
            case api.Reject(request_id, retry_after_ms, reason):
                self._forget(request_id)
                return RejectRequest(request_id, retry_after_ms, reason)
            case api.Fail(request_id, reason):
                self._forget(request_id)
                return FailRequest(request_id, reason)
            case api.Cancel(request_id, number):
                return CancelAttempt(request_id, number)
            case api.CloseConnections(node):
                return CloseConnections(node)
            case api.Subscribe():
                return WatchEndpoints()
            case api.Log(text):
                return LogEvent(text)
        # A probe would get here, but the settings forbid the balancer to send any (see `__init__`).
        return LogEvent(f"not carried out: {action}")


def resend_window_ms(settings: api.Settings, class_number: int) -> float | None:
    """Returns for how many ms after an attempt that may have run another one may be sent.

    That is how long the nodes recognise a repeated write. It is None if the class sets no limit.
    """
    request_class = settings.classes[class_number]
    return request_class.dedup_window_ms if request_class.idempotency is Idempotency.KEYED else None


def is_idempotent(settings: api.Settings, class_number: int) -> bool:
    """Returns whether a request of the class may be sent again at any time, also if it has run."""
    return settings.classes[class_number].idempotency is Idempotency.SAFE


def forbids_retry(settings: api.Settings, class_number: int) -> bool:
    """Returns whether a request of the class must not be sent again after an attempt that may have run."""
    return settings.classes[class_number].idempotency is Idempotency.UNSAFE
