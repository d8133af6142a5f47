"""Running estimates of latencies, and of the usual timeout of a request class.

This module makes no decisions. All times are milliseconds of one clock, which the caller passes in.
"""

import math
from dataclasses import dataclass

# The shortest period that a mean covers: long enough for a few responses in a large fleet, and short enough
# to follow a burst.
MIN_MEMORY_MS = 2000.0
# The longest period that a mean covers when responses are rare.
MAX_MEMORY_MS = 5000.0
# The weight of a new latency in a running mean: the mean covers about the last ten to twenty responses.
RECENT_WEIGHT = 0.1
# A server whose mean latency is below this share of the shortest latency objective is never crowded.
UNCROWDED_SHARE = 0.25
# A server is crowded when its mean latency exceeds this multiple of the lowest mean latency it has had: half
# of that excess may be chance, the other half is queueing.
CROWDED_RATIO = 1.5
# The most votes that a usual timeout can gather, so that about as many requests with another one replace it.
USUAL_TIMEOUT_VOTES = 100


@dataclass(slots=True)
class LatencyEstimate:
    """A running mean of latencies.

    Some estimates cover the responses of many servers, since in a large fleet one server may answer this
    balancer only twice a minute.
    """

    mean_ms: float  # the running mean; it starts as a guess that counts as one response
    lowest_mean_ms: float = 0.0  # the lowest value of `slow_mean_ms`; 0 until there were enough responses
    slow_mean_ms: float = 0.0  # a mean that follows new latencies four times more slowly
    response_count: int = 1  # the number of responses so far, including the initial guess
    last_response_ms: float = -math.inf  # the time of the last response
    last_gap_ms: float = 0.0  # the time between the last two responses

    def decayed_mean_ms(self, now: float) -> float:
        """Returns the mean, which decays towards 0 while no response comes."""
        # A server that answers once in many seconds must not lose its mean between two responses.
        memory_ms = max(MIN_MEMORY_MS, 2 * self.last_gap_ms)
        return self.mean_ms * math.exp(-max(0.0, now - self.last_response_ms - memory_ms) / memory_ms)

    def record(self, now: float, latency_ms: float) -> None:
        """Adds the latency of one more response to the means."""
        self.response_count += 1
        # A latency weighs more after a longer gap: while most requests are dropped, a few responses have to
        # be enough to bring the mean down once the servers are no longer crowded.
        gap_ms = self.last_gap_ms = min(MAX_MEMORY_MS, now - self.last_response_ms)
        self.last_response_ms = now
        weight = min(RECENT_WEIGHT, gap_ms / MIN_MEMORY_MS)
        self.mean_ms += (latency_ms - self.mean_ms) * max(
            weight, 1 / self.response_count, 1 - math.exp(-gap_ms / MAX_MEMORY_MS)
        )
        self.slow_mean_ms += (latency_ms - self.slow_mean_ms) * max(weight / 4, 1 / (self.response_count - 1))
        if self.response_count > 2 / RECENT_WEIGHT:
            self.lowest_mean_ms = min(self.lowest_mean_ms or self.slow_mean_ms, self.slow_mean_ms)


@dataclass(slots=True)
class UsualTimeout:
    """The timeout with which most clients send the first attempt of a request of one class.

    It is found by majority vote: a request votes for the current value if its own timeout is close to it, and
    against it otherwise. A value without votes is replaced.
    """

    timeout_ms: float = 0.0
    votes: int = 0

    def vote(self, time_left_ms: float, tolerance_ms: float, max_votes: int) -> bool:
        """Counts the vote of a request with `time_left_ms`; returns whether it has the usual timeout."""
        is_usual = abs(time_left_ms - self.timeout_ms) <= tolerance_ms
        self.votes = min(self.votes + 1, max_votes) if is_usual else self.votes - 1
        if self.votes < 0:  # Most of the recent requests had another timeout.
            self.timeout_ms, self.votes, is_usual = time_left_ms, 1, True
        return is_usual
