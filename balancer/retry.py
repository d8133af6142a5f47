"""The budget for retries, and the time after which a read is hedged.

All times are milliseconds of one clock, which the caller passes in.
"""

import math
from collections import deque

from balancer.request_state import RequestState
from balancer.settings_types import Idempotency, Settings

# Final responses are sent at least this long, plus twice the timer granularity, before the client's deadline.
DEADLINE_MARGIN_MS = 2.0
# The delay of a hedged read, in mean latencies of its class: the initial, the least and the longest one.
HEDGE_DELAY_START, HEDGE_DELAY_MIN, HEDGE_DELAY_MAX = 8.0, 3.0, 12.0
# The factor on the delay where the hedged attempt was answered first; otherwise its inverse is used.
HEDGE_DELAY_STEP = 0.9
# The part of all requests that may be hedged, and the most requests that may be hedged in a burst.
HEDGE_SHARE, HEDGE_BURST = 0.05, 5.0


class RetryBudget:
    """Limits retries to a share of the requests in a sliding window, like Envoy's retry budget."""

    def __init__(self, settings: Settings) -> None:
        """Takes the window, the free retries and the share from the settings."""
        self._window_ms = settings.retry_window_ms
        self._free_retries = settings.free_retries
        self._retry_share = settings.retry_share
        capacity = None if settings.retry_window_ms else 0  # without a window no times have to be remembered
        self.request_times_ms: deque[float] = deque(maxlen=capacity)  # when requests arrived
        self.retry_times_ms: deque[float] = deque(maxlen=capacity)  # when retries were sent

    def available(self, now: float) -> float:
        """Returns the number of retries that may still be sent; infinite if there is no window.

        So that the budget is never exceeded near the edge of the window, requests leave the window a little
        early and retries a little late.
        """
        if not self._window_ms:
            return math.inf
        window_start_ms = now - self._window_ms
        for times_ms, start_ms in (
            (self.request_times_ms, window_start_ms + DEADLINE_MARGIN_MS),
            (self.retry_times_ms, window_start_ms - DEADLINE_MARGIN_MS),
        ):
            while times_ms and times_ms[0] < start_ms:
                times_ms.popleft()
        return self._free_retries + self._retry_share * len(self.request_times_ms) - len(self.retry_times_ms)


class HedgePolicy:
    """Decides when a read is hedged, and limits the number of hedged reads.

    The delay adapts to the results: it falls when a hedged attempt is answered first, and rises otherwise.
    """

    def __init__(self) -> None:
        """Starts with the initial delay and a full burst."""
        self.delay_factor = HEDGE_DELAY_START  # the delay, in mean latencies
        self.tokens = HEDGE_BURST  # the number of reads that may be hedged now

    def record_request(self) -> None:
        """Counts a request, which adds a part of a token."""
        self.tokens = min(HEDGE_BURST, self.tokens + HEDGE_SHARE)

    def is_due(
        self,
        now: float,
        request: RequestState,
        sent_ms: float,
        usual_ms: float,
        newest_answered_sent_ms: float,
    ) -> bool:
        """Returns whether to hedge an attempt that was sent at `sent_ms`; answers usually take `usual_ms`.

        `newest_answered_sent_ms` is the send time of the newest attempt that the server has answered.
        """
        if sent_ms + usual_ms >= newest_answered_sent_ms or now - sent_ms <= self.delay_factor * usual_ms:
            return False
        if len(request.in_flight) != 1 or request.done or request.stream_started or request.write:
            return False
        # Even a read may not be idempotent; its class says if it is.
        return request.request_class.idempotency is Idempotency.SAFE and self.tokens >= 1.0

    def record_result(self, hedge_won: bool) -> None:
        """Adapts the delay; a hedged attempt that was answered first gives its token back."""
        factor = HEDGE_DELAY_STEP if hedge_won else 1.0 / HEDGE_DELAY_STEP
        self.tokens += hedge_won
        self.delay_factor = min(HEDGE_DELAY_MAX, max(HEDGE_DELAY_MIN, self.delay_factor * factor))


class RetryPolicy:
    """Decides if a request may have one more attempt; it is asked before every attempt, also the first."""

    def __init__(self, settings: Settings, budget: RetryBudget, margin_ms: float) -> None:
        """`margin_ms` is the most time that an attempt may take to reach a server and come back."""
        self._max_attempts = settings.max_attempts
        self._budget = budget
        self._margin_ms = margin_ms

    def permits(self, now: float, request: RequestState) -> bool:
        """Returns whether an attempt of the request may be sent now."""
        is_within_budget = not request.attempts or request.follows_miss or self._budget.available(now) >= 1
        if (
            not is_within_budget
            or request.attempts >= self._max_attempts
            or now >= request.useful_until_ms
            or request.stream_started
        ):
            return False
        if request.possible_run_ms is None or request.request_class.idempotency is Idempotency.SAFE:
            return True
        # Servers forget an idempotency key after a time, within which this attempt has to arrive.
        key_age_ms = now - request.possible_run_ms + self._margin_ms
        return (
            request.request_class.idempotency is Idempotency.KEYED
            and key_age_ms < request.request_class.dedup_window_ms
        )
