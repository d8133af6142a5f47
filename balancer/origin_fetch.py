"""The queue for slots at the origin, and single flight: one fetch for all requests of a key."""

import math
from bisect import bisect
from random import Random

from balancer import hot_keys
from balancer.admission import should_drop
from balancer.latency import LatencyEstimate
from balancer.request_state import RequestState
from balancer.settings_types import Settings

# The time between the end of a wait and the last use of the response, since timers come late.
WAIT_MARGIN_MS = 50.0
# A request with more requests ahead of it in the queue is rejected.
MAX_QUEUED_AHEAD = 100


class OriginQueue:
    """Requests that wait for a slot at the origin, in the order of priority and then of arrival."""

    def __init__(self) -> None:
        """The queue is empty."""
        self._entries: list[tuple[float, float, str, RequestState]] = []

    def __bool__(self) -> bool:
        """Whether requests wait."""
        return bool(self._entries)

    def push(self, now: float, request: RequestState, priority: float) -> int:
        """Enqueues the request; returns how many are ahead of it. Requests that are over leave the queue."""
        entry = (-priority, now, request.id, request)
        self._entries = [waiting for waiting in self._entries if not waiting[3].done]
        ahead = bisect(self._entries, entry)
        self._entries.insert(ahead, entry)
        return ahead

    def pop(self) -> RequestState:
        """The request of the highest priority; it may be over."""
        return self._entries.pop(0)[3]


class SingleFlight:
    """The fetches in flight, with the requests of the same key that wait for each."""

    def __init__(self) -> None:
        """No fetch is in flight."""
        self.waiting: dict[str, list[RequestState]] = {}  # by key

    def begin(self, key: str, request: RequestState) -> None:
        """The request fetches the key for all."""
        self.waiting[key] = []
        request.fetching = True

    def end(self, key: str, request: RequestState) -> list[RequestState]:
        """The request's fetch is over; returns the requests that waited for it."""
        request.fetching = False
        return self.waiting.pop(key, [])


class OriginAdmission:
    """Says which requests may wait for the origin, how long, and with which priority."""

    def __init__(
        self, settings: Settings, random: Random, latency: LatencyEstimate, objective_ms: float
    ) -> None:
        """`latency` is the origin's, `objective_ms` the shortest latency objective."""
        self._over_quota_weight = settings.over_quota_importance
        self._random = random
        self._latency = latency
        self._objective_ms = objective_ms

    def should_drop(self, now: float, request: RequestState) -> bool:
        """Whether to drop a read that would be useful until its deadline: the queue alone would keep it."""
        if not request.request_class.late_value or request.write:
            return False
        return should_drop(self._random, now, self._latency, self._objective_ms, request.over_quota)

    def priority(self, request: RequestState) -> float:
        """The request's weight; a fetch of a hot key weighs more, since it serves the reads after it."""
        weight = request.request_class.importance * (self._over_quota_weight if request.over_quota else 1.0)
        return weight * (1.0 + hot_keys.FETCH_PRIORITY * request.key_load)

    def is_too_late(self, now: float, request: RequestState) -> bool:
        """Whether a response would come too late, so that a slot is better used for another request."""
        objective_ms = (
            math.inf if request.request_class.late_value else request.request_class.latency_objective_ms
        )
        return min(request.useful_until_ms - now, objective_ms) < self._latency.fading_ms(now)

    def waits_until(self, now: float, request: RequestState, ahead: float) -> float | None:
        """How long the request may wait with so many requests ahead of it; None where that is too long."""
        until = request.useful_until_ms - self._latency.mean_ms - WAIT_MARGIN_MS
        if ahead > MAX_QUEUED_AHEAD or until <= now + ahead * self._latency.mean_ms:
            return None
        return until
