"""A schedule of calls behind a single timer, which is set for the next call that is due."""

import heapq
import math
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

ROUNDING_MS = 0.01  # a clock in whole microseconds may call a timer that much early, and only once


class Timers:
    """The calls that are scheduled.

    A timer that has been set cannot be withdrawn: one that an earlier one has overtaken finds nothing due.
    """

    def __init__(self) -> None:
        """Nothing is scheduled."""
        self._due: list[tuple[float, int, Callable[[float, Any], None], Any]] = []
        self._wake_ms = math.inf  # the timer that is set
        self._seq = count()  # breaks ties

    def at(self, when: float, what: Callable[[float, Any], None], whom: object) -> None:
        """Calls `what(now, whom)` at the time `when`."""
        heapq.heappush(self._due, (when, next(self._seq), what, whom))

    def due(self, now: float) -> Iterator[tuple[Callable[[float, Any], None], Any]]:
        """The calls that are due, in the order of their times."""
        if now + ROUNDING_MS < self._wake_ms:
            return
        self._wake_ms = math.inf
        while self._due and self._due[0][0] <= now + ROUNDING_MS:
            _, _, what, whom = heapq.heappop(self._due)
            yield what, whom

    def to_set(self, now: float) -> list[float]:
        """The delay of the timer to set, if no timer set so far comes as early as the next thing due."""
        if not self._due or self._due[0][0] >= self._wake_ms:
            return []
        self._wake_ms = self._due[0][0]
        return [max(0.0, self._wake_ms - now)]
