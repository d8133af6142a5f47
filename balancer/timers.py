"""A schedule of calls that needs a single timer, which is set for the earliest call."""

import heapq
import math
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

# A caller whose clock counts whole microseconds may report a timer this much early, and reports it only once.
CLOCK_ROUNDING_MS = 0.01


class Timers:
    """The scheduled calls, and the timer that is set for the earliest of them.

    A timer that is set cannot be cancelled. After an earlier one was set, it still fires, and may then find
    no call due, which is harmless.
    """

    def __init__(self) -> None:
        """Starts without scheduled calls."""
        self._scheduled: list[tuple[float, int, Callable[[float, Any], None], Any]] = []  # a heap by time
        self._timer_due_ms = math.inf  # when the timer that was set last fires; infinite once it has fired
        self._sequence = count()  # orders calls that are due at the same time

    def schedule(self, due_ms: float, callback: Callable[[float, Any], None], argument: object) -> None:
        """Schedules the call `callback(now, argument)` for the time `due_ms`."""
        heapq.heappush(self._scheduled, (due_ms, next(self._sequence), callback, argument))

    def pop_due(self, now: float) -> Iterator[tuple[Callable[[float, Any], None], Any]]:
        """Removes the calls that are due; yields the callback and the argument of each, earliest first.

        A call that is scheduled meanwhile waits for the next timer, so that none repeats itself without end.
        """
        if now + CLOCK_ROUNDING_MS < self._timer_due_ms:
            return
        self._timer_due_ms = math.inf
        due = []
        while self._scheduled and self._scheduled[0][0] <= now + CLOCK_ROUNDING_MS:
            due.append(heapq.heappop(self._scheduled))
        for _, _, callback, argument in due:
            yield callback, argument

    def new_delays(self, now: float) -> list[float]:
        """Returns the delay in ms of a timer to set, or an empty list if one is set that fires in time."""
        if not self._scheduled or self._scheduled[0][0] >= self._timer_due_ms:
            return []
        self._timer_due_ms = self._scheduled[0][0]
        return [max(0.0, self._timer_due_ms - now)]
