"""The budget for retries, and the time after which a read is hedged.

All times are milliseconds of one clock, which the caller passes in.
"""

import math
from collections import deque

from balancer.request_state import RequestState
from balancer.settings_types import Idempotency, Settings

# Final responses precede the deadline by this and two rounds of the wire.
DEADLINE_MARGIN_MS = 2.0
# A read is hedged after so many mean latencies of its class: at first, at least and at most.
HEDGE_DELAY_START, HEDGE_DELAY_MIN, HEDGE_DELAY_MAX = 8.0, 3.0, 12.0
# Factor on the delay where the hedged attempt was answered first; its inverse where the first attempt was.
HEDGE_DELAY_STEP = 0.9
# The part of all requests that may be hedged, and how many of them at once.
HEDGE_SHARE, HEDGE_BURST = 0.05, 5.0


class RetryBudget:
    """Bounds the attempts beyond the first by the requests of a sliding window (Envoy's retry budget)."""

    def __init__(self, settings: Settings) -> None:
        """The window, the free retries and the share are those of the settings."""
        self._window_ms = settings.retry_window_ms
        self._free_retries = settings.free_retries
        self._retry_share = settings.retry_share
        capacity = None if settings.retry_window_ms else 0  # without a window nothing has to be remembered
        self.request_times_ms: deque[float] = deque(maxlen=capacity)  # the times at which requests arrived
        self.retry_times_ms: deque[float] = deque(maxlen=capacity)  # the times at which retries were sent

    def available(self, now: float) -> float:
        """The number of retries that the budget still permits; infinite without a window.

        Times near the edge of the window count so that the budget is never exceeded: requests leave it a
        little early, retries a little late.
        """
        if not self._window_ms:
            return math.inf
        since = now - self._window_ms
        for times, edge in (
            (self.request_times_ms, since + DEADLINE_MARGIN_MS),
            (self.retry_times_ms, since - DEADLINE_MARGIN_MS),
        ):
            while times and times[0] < edge:
                times.popleft()
        return self._free_retries + self._retry_share * len(self.request_times_ms) - len(self.retry_times_ms)


class HedgePolicy:
    """Adapts the delay of hedged reads to which attempt is answered first, and bounds their number."""

    def __init__(self) -> None:
        """The delay starts with its first guess, and a full burst is available."""
        self.delay = HEDGE_DELAY_START  # in mean latencies
        self.tokens = HEDGE_BURST

    def record_request(self) -> None:
        """Adds the part of a hedged read that one more request permits."""
        self.tokens = min(HEDGE_BURST, self.tokens + HEDGE_SHARE)

    def is_due(
        self, now: float, request: RequestState, sent: float, usual_ms: float, overtaken_ms: float
    ) -> bool:
        """Whether to hedge an attempt that was sent at `sent`, by a server that usually takes `usual_ms`.

        `overtaken_ms` is when the latest attempt was sent that the server has answered.
        """
        if sent + usual_ms >= overtaken_ms or now - sent <= self.delay * usual_ms:
            return False
        if len(request.in_flight) != 1 or request.done or request.stream_started or request.write:
            return False
        # A read need not be idempotent: its class says so.
        return request.request_class.idempotency is Idempotency.SAFE and self.tokens >= 1.0

    def record_result(self, hedge_won: bool) -> None:
        """Adapts the delay; a hedged attempt that was answered first does not count against the bound."""
        factor = HEDGE_DELAY_STEP if hedge_won else 1.0 / HEDGE_DELAY_STEP
        self.tokens += hedge_won
        self.delay = min(HEDGE_DELAY_MAX, max(HEDGE_DELAY_MIN, self.delay * factor))


class RetryPolicy:
    """Says whether a request may have one more attempt; every attempt, also the first, has to pass it."""

    def __init__(self, settings: Settings, budget: RetryBudget, margin_ms: float) -> None:
        """`margin_ms` covers the way to a server and back."""
        self._max_attempts = settings.max_attempts
        self._budget = budget
        self._margin_ms = margin_ms

    def permits(self, now: float, request: RequestState) -> bool:
        """Whether an attempt of the request may be sent now."""
        paid = not request.attempts or request.follows_miss or self._budget.available(now) >= 1
        if (
            not paid
            or request.attempts >= self._max_attempts
            or now >= request.useful_until_ms
            or request.stream_started
        ):
            return False
        if request.possible_run_ms is None or request.request_class.idempotency is Idempotency.SAFE:
            return True
        # Servers remember an idempotency key only for a while; the margin is for the way there.
        age_ms = now - request.possible_run_ms + self._margin_ms
        return (
            request.request_class.idempotency is Idempotency.KEYED
            and age_ms < request.request_class.dedup_window_ms
        )
