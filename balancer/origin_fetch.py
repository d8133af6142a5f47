"""Fetches from the origin: the queue for its slots, and single flight, one fetch for all reads of a key."""

import math
from bisect import bisect
from random import Random

from balancer import hot_keys
from balancer.admission import should_drop
from balancer.latency import LatencyEstimate
from balancer.request_state import RequestState
from balancer.settings_types import Settings

# A request stops waiting this long before the last moment at which its fetch would be in time, since timers
# fire late.
WAIT_MARGIN_MS = 50.0
# The maximum number of requests ahead of a request in the queue; with more ahead of it, it is rejected.
MAX_QUEUED_AHEAD = 100


class OriginQueue:
    """The requests that wait for a slot at the origin, by priority and then by arrival."""

    def __init__(self) -> None:
        """Starts empty."""
        # The entries are (negative priority, time of arrival here, request id, request), the next one first.
        self._entries: list[tuple[float, float, str, RequestState]] = []

    def __bool__(self) -> bool:
        """Returns whether any requests wait."""
        return bool(self._entries)

    def push(self, now: float, request: RequestState, priority: float) -> int:
        """Enqueues the request, and returns the number of requests ahead of it.

        Requests that have ended are removed from the queue first.
        """
        entry = (-priority, now, request.id, request)
        self._entries = [queued for queued in self._entries if not queued[3].done]
        ahead_count = bisect(self._entries, entry)
        self._entries.insert(ahead_count, entry)
        return ahead_count

    def pop(self) -> RequestState:
        """Removes and returns the request of the highest priority, which may have ended."""
        return self._entries.pop(0)[3]


class SingleFlight:
    """The fetches in flight, and for each the requests for the same key that wait for it."""

    def __init__(self) -> None:
        """Starts without fetches."""
        self.waiting_by_key: dict[str, list[RequestState]] = {}

    def begin(self, key: str, request: RequestState) -> None:
        """Records that the request fetches the key on behalf of all requests for it."""
        self.waiting_by_key[key] = []
        request.is_fetching = True

    def end(self, key: str, request: RequestState) -> list[RequestState]:
        """Records that the request's fetch has ended; returns the requests that waited for it."""
        request.is_fetching = False
        return self.waiting_by_key.pop(key, [])


class OriginAdmission:
    """Decides which requests may wait for a slot at the origin, for how long, and with which priority."""

    def __init__(
        self, settings: Settings, random: Random, latency: LatencyEstimate, objective_ms: float
    ) -> None:
        """`latency` is the origin's estimate; `objective_ms` is the shortest latency objective."""
        self._over_quota_weight = settings.over_quota_importance
        self._random = random
        self._latency = latency
        self._objective_ms = objective_ms

    def should_drop(self, now: float, request: RequestState) -> bool:
        """Decides at random whether to drop a read because the origin is crowded.

        Only reads that stay useful until their deadline are dropped here, as the queue alone would keep them
        for too long. Other reads leave the queue as soon as they are too late for their latency objective.
        """
        if not request.request_class.late_value or request.write:
            return False
        return should_drop(self._random, now, self._latency, self._objective_ms, request.over_quota)

    def priority(self, request: RequestState) -> float:
        """Returns the request's priority; that of a hot key is higher, since its fetch serves many reads."""
        weight = request.request_class.importance * (self._over_quota_weight if request.over_quota else 1.0)
        return weight * (1.0 + hot_keys.FETCH_PRIORITY * request.key_load)

    def is_too_late(self, now: float, request: RequestState) -> bool:
        """Returns whether a response would come too late, so that another request should get the slot."""
        objective_ms = (
            math.inf if request.request_class.late_value else request.request_class.latency_objective_ms
        )
        return min(request.useful_until_ms - now, objective_ms) < self._latency.decayed_mean_ms(now)

    def latest_wait_end_ms(self, now: float, request: RequestState, ahead_count: float) -> float | None:
        """Returns the time until which the request may wait, with `ahead_count` requests ahead of it.

        Returns None if a slot for it would be free only after that time.
        """
        wait_end_ms = request.useful_until_ms - self._latency.mean_ms - WAIT_MARGIN_MS
        if ahead_count > MAX_QUEUED_AHEAD or wait_end_ms <= now + ahead_count * self._latency.mean_ms:
            return None
        return wait_end_ms
