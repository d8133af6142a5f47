"""Running estimates of latencies, and of the time that the requests of a class usually have left.

They decide nothing. All times are milliseconds of one clock, which the caller passes in.
"""

import math
from dataclasses import dataclass

RATE_MS = 2000.0  # shortest memory of latencies: some answers even in a large fleet, yet follows a burst
PACE_MS = 5000.0  # longest memory of the pooled latencies
RECENT_WEIGHT = 0.1  # weight of the newest latency in the running means: about the last ten to twenty answers
# A mean latency under this part of the shortest latency objective is never taken for a crowded server's.
UNCROWDED_SHARE = 0.25
# Times the lowest mean latency seen: half of the excess is chance, the rest is waiting.
CROWDED_RATIO = 1.5
# The votes at most that requests have on the usual timeout of their class.
USUAL_TIMEOUT_VOTES = 100


@dataclass(slots=True)
class LatencyEstimate:
    """A running mean of latencies.

    It is pooled over many responses, since one server may answer this balancer once in half a minute.
    """

    mean_ms: float  # running mean; starts as a guess that counts as one answer
    floor_ms: float = 0.0  # the lowest that a slower mean has been, once there is one
    slow_ms: float = 0.0  # that slower mean
    answers: int = 1
    last_response_ms: float = -math.inf  # the last answer
    gap_ms: float = 0.0  # between the last two

    def fading_ms(self, now: float) -> float:
        """The mean, less of it the longer no answer has come."""
        # Whom this balancer meets once in many seconds it must remember for as long.
        memory = max(RATE_MS, 2 * self.gap_ms)
        return self.mean_ms * math.exp(-max(0.0, now - self.last_response_ms - memory) / memory)

    def learn(self, now: float, took: float) -> None:
        """One more answer, which took so many ms."""
        self.answers += 1
        # The long past counts little: while most is dropped, few answers tell of better times.
        gap = self.gap_ms = min(PACE_MS, now - self.last_response_ms)
        self.last_response_ms = now
        fresh = min(RECENT_WEIGHT, gap / RATE_MS)
        self.mean_ms += (took - self.mean_ms) * max(fresh, 1 / self.answers, 1 - math.exp(-gap / PACE_MS))
        self.slow_ms += (took - self.slow_ms) * max(fresh / 4, 1 / (self.answers - 1))
        if self.answers > 2 / RECENT_WEIGHT:
            self.floor_ms = min(self.floor_ms or self.slow_ms, self.slow_ms)


@dataclass(slots=True)
class UsualTimeout:
    """The time that a first try of a class has left: by far the most common one."""

    left_ms: float = 0.0
    votes: int = 0

    def is_usual(self, left_ms: float, near_ms: float, most: int) -> bool:
        """Whether a try with so much left is a first one; it votes on what that is, by so many at most."""
        near = abs(left_ms - self.left_ms) <= near_ms
        self.votes = min(self.votes + 1, most) if near else self.votes - 1
        if self.votes < 0:  # the majority of what has come
            self.left_ms, self.votes, near = left_ms, 1, True
        return near
