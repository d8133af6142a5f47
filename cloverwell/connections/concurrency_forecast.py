"""How many connections the attempts to a node will want at once. No I/O.

The forecast keeps a running mean and mean deviation of the peak of each window of time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

WINDOW_MS = 250.0
PEAK_WEIGHT = 0.15  # of the last window's peak in the running means
DEVIATIONS = 1.5  # mean deviations above the mean peak that are kept open
MAX_IDLE_WINDOWS = 40  # windows without an attempt that are made up for at once


@dataclass(slots=True)
class ConcurrencyForecast:
    """The connections in use, and the forecast of their peak. Times are in milliseconds."""

    in_use: int = 0
    peak: int = 0  # the most in use in the current window
    window_end_ms: float = -math.inf
    mean_peak: float = 0.0
    peak_deviation: float = 0.0

    def record(self, in_use: int, now: float) -> None:
        """Records how many connections are in use from now on."""
        if now >= self.window_end_ms:
            self._close_windows(now)
        self.in_use = in_use
        self.peak = max(self.peak, in_use)

    def wanted(self, now: float) -> int:
        """Returns how many connections will be wanted at once."""
        if now >= self.window_end_ms:
            self._close_windows(now)
        return math.ceil(max(self.mean_peak + DEVIATIONS * self.peak_deviation, self.peak))

    def _close_windows(self, now: float) -> None:
        """Takes the windows that have ended into the means."""
        if self.window_end_ms > -math.inf:
            idle_windows = min(MAX_IDLE_WINDOWS, int((now - self.window_end_ms) / WINDOW_MS))
            for peak in [self.peak, *([self.in_use] * idle_windows)]:
                self.peak_deviation += PEAK_WEIGHT * (abs(peak - self.mean_peak) - self.peak_deviation)
                self.mean_peak += PEAK_WEIGHT * (peak - self.mean_peak)
        self.peak = self.in_use
        self.window_end_ms = now + WINDOW_MS
