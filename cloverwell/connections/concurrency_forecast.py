"""Forecasts how many connections the attempts to a node will need at once. No I/O.

The forecast keeps a running mean of the peak of each window of time, and the mean deviation from it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

WINDOW_MS = 250.0  # the length of a window whose peak is recorded
PEAK_WEIGHT = 0.15  # the weight of the last window's peak in the running means
DEVIATION_MARGIN = 1.5  # the number of mean deviations that are added to the mean peak for the forecast
MAX_IDLE_WINDOWS = 40  # the most windows without an attempt that one update adds to the means


@dataclass(slots=True)
class ConcurrencyForecast:
    """The connections of one node in use, and the forecast of their peak. Times are in milliseconds."""

    in_use: int = 0  # the number of connections with an attempt on them
    peak: int = 0  # the most connections in use at once in the current window
    window_end_ms: float = -math.inf
    mean_peak: float = 0.0
    peak_deviation: float = 0.0  # the mean deviation of the peaks from their mean

    def record(self, in_use: int, now: float) -> None:
        """Records the number of connections that are in use from now on."""
        if now >= self.window_end_ms:
            self._close_windows(now)
        self.in_use = in_use
        self.peak = max(self.peak, in_use)

    def expected_peak(self, now: float) -> int:
        """Returns the number of connections that are expected to be needed at once."""
        if now >= self.window_end_ms:
            self._close_windows(now)
        return math.ceil(max(self.mean_peak + DEVIATION_MARGIN * self.peak_deviation, self.peak))

    def _close_windows(self, now: float) -> None:
        """Updates the means with the peaks of the windows that have ended."""
        if self.window_end_ms > -math.inf:
            idle_windows = min(MAX_IDLE_WINDOWS, int((now - self.window_end_ms) / WINDOW_MS))
            for peak in [self.peak, *([self.in_use] * idle_windows)]:
                self.peak_deviation += PEAK_WEIGHT * (abs(peak - self.mean_peak) - self.peak_deviation)
                self.mean_peak += PEAK_WEIGHT * (peak - self.mean_peak)
        self.peak = self.in_use
        self.window_end_ms = now + WINDOW_MS
