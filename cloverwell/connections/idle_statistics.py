"""Running estimates of how clients behave, in constant memory and without I/O."""

from __future__ import annotations

import math


class IdleStatistics:
    """The share of idle clients that send another request, as an exponentially weighted average."""

    WEIGHT = 0.02  # the weight of one client in the average

    def __init__(self, share: float) -> None:
        """Start from `share`, the estimate before anything has been observed."""
        self.share = share

    def learn(self, sent_again: bool) -> None:
        """Count one idle client; `sent_again`: it sent another request before its connection was closed."""
        self.share += self.WEIGHT * ((1.0 if sent_again else 0.0) - self.share)


class PeakEstimate:
    """Estimates the 95th percentile of samples; the estimate rises fast and falls slowly."""

    QUANTILE = 0.95

    def __init__(self, initial: float) -> None:
        """Start from `initial`, the estimate before anything has been observed."""
        self.value = initial

    def learn(self, sample: float) -> None:
        """Move the estimate by one step of stochastic approximation, relative to its size."""
        step = 0.1 * max(self.value, 1.0)
        direction = self.QUANTILE if sample > self.value else self.QUANTILE - 1.0
        self.value = max(0.1, self.value + step * direction)


class ArrivalRate:
    """The rate of arrivals per millisecond, as an exponentially decaying average; a rise counts at once."""

    def __init__(self, window_ms: float, now: float) -> None:
        """Start at rate 0 at the time `now` (ms); `window_ms`: the time constant of the decay."""
        self._window_ms = window_ms
        self._rate = 0.0
        self._updated_ms = now

    def count(self, now: float) -> None:
        """Count one arrival at the time `now` (ms)."""
        self._decay(now)
        self._rate += 1.0 / self._window_ms

    def per_ms(self, now: float) -> float:
        """Return the arrivals per millisecond at `now`."""
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        self._rate *= math.exp((self._updated_ms - now) / self._window_ms)
        self._updated_ms = now
