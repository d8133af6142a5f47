"""The round-trip time to a node, as the least that handshakes and answers have taken. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

WINDOW_MS = 10_000.0


@dataclass(slots=True)
class RoundTripEstimate:
    """The least time of the current window and of the one before, in milliseconds."""

    window_end_ms: float = -math.inf
    least_ms: float = math.inf
    least_before_ms: float = math.inf

    def record(self, took_ms: float, now: float) -> None:
        """Records a handshake or an answer that took so long."""
        if now >= self.window_end_ms:
            self.least_before_ms, self.least_ms = self.least_ms, math.inf
            self.window_end_ms = now + WINDOW_MS
        self.least_ms = min(self.least_ms, took_ms)

    def upper_bound_ms(self, limit_ms: float) -> float:
        """Returns the slower of the two windows, at most `limit_ms`, which is also the value if nothing is
        known.

        The slower one counts since a route that has become longer is known as soon as anything came back on
        it.
        """
        known = [ms for ms in (self.least_ms, self.least_before_ms) if ms < math.inf]
        return min(limit_ms, max(known, default=limit_ms))
