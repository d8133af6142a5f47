"""Estimates the round-trip time to a node as the least time of handshakes and answers. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

WINDOW_MS = 10_000.0  # a time counts until the end of the window after its own


@dataclass(slots=True)
class RoundTripEstimate:
    """The least times of the current and the previous window, in milliseconds."""

    window_end_ms: float = -math.inf
    least_ms: float = math.inf
    previous_least_ms: float = math.inf

    def record(self, elapsed_ms: float, now: float) -> None:
        """Records a handshake or an answer that took `elapsed_ms`."""
        if now >= self.window_end_ms:
            self.previous_least_ms, self.least_ms = self.least_ms, math.inf
            self.window_end_ms = now + WINDOW_MS
        self.least_ms = min(self.least_ms, elapsed_ms)

    def upper_bound_ms(self, limit_ms: float) -> float:
        """Returns the greater of the two windows' times, at most `limit_ms`; `limit_ms` if nothing is known.

        The greater time is taken so that a route that has become longer counts as soon as one answer has come
        back over it.
        """
        known = [ms for ms in (self.least_ms, self.previous_least_ms) if ms < math.inf]
        return min(limit_ms, max(known, default=limit_ms))
