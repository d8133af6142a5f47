"""Schedules the items that a periodic sweep visits: those that changed or are due, instead of all. No I/O.

A sweep over all items does the same work each time, even if most of them have nothing to do. In a `Schedule`
an item is visited when it has changed (`wake`), or at the time that was set at its last visit (`visit_at`).
The items are visited in the order in which they were added, as by a loop over all of them. An item that is
woken during a sweep is visited in the same sweep if no later item has been visited yet.

Times are milliseconds of one clock.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)
EARLY_MS = 1.0  # An item is visited this long before its time, since sums of times are rounded.


class Schedule(Generic[Item]):
    """The items of a sweep, each with the time at which it is due, if it has one."""

    def __init__(self) -> None:
        """Starts without items."""
        self._numbers: dict[Item, int] = {}  # the number of each item, in the order in which they were added
        self._items: dict[int, Item] = {}  # the item of each number
        self._next_number = 0
        self._times: list[tuple[float, int]] = []  # a heap of (time, number); replaced times remain in it
        self._due_ms: dict[int, float] = {}  # by number: the time in the heap that is valid
        self._woken: set[int] = set()  # the numbers of the items to visit in the next sweep
        self._to_visit: list[int] | None = None  # during a sweep: a heap of the numbers still to be visited
        self._last_visited = -1  # during a sweep: the number visited last

    def __len__(self) -> int:
        """Returns the number of items."""
        return len(self._numbers)

    def add(self, item: Item) -> None:
        """Adds an item, which the next sweep visits."""
        number = self._numbers[item] = self._next_number
        self._items[number] = item
        self._next_number += 1
        self.wake(item)

    def discard(self, item: Item) -> None:
        """Removes the item, if it was added."""
        number = self._numbers.pop(item, None)
        if number is not None:
            del self._items[number]
            self._due_ms.pop(number, None)
            self._woken.discard(number)

    def wake(self, item: Item) -> None:
        """Makes the next sweep visit the item, or the current one if it has visited no later item."""
        number = self._numbers.get(item)
        if number is None or number in self._woken:
            return
        self._woken.add(number)
        if self._to_visit is not None and number > self._last_visited:
            heapq.heappush(self._to_visit, number)

    def wake_all(self) -> None:
        """Makes the next sweep visit every item."""
        for item in self._numbers:
            self.wake(item)

    def visit_at(self, item: Item, when_ms: float) -> None:
        """Makes a sweep visit the item at `when_ms`; an earlier time that is set already stays."""
        number = self._numbers.get(item)
        when_ms -= EARLY_MS
        if number is None or when_ms >= self._due_ms.get(number, math.inf):
            return
        self._due_ms[number] = when_ms
        heapq.heappush(self._times, (when_ms, number))

    def sweep(self, now: float) -> Iterator[Item]:
        """Yields the items to visit now; the caller sets the next time of each with `visit_at`."""
        while self._times and self._times[0][0] <= now:
            when_ms, number = heapq.heappop(self._times)
            if self._due_ms.get(number) == when_ms:
                del self._due_ms[number]
                self._woken.add(number)
        self._to_visit, self._last_visited = sorted(self._woken), -1
        try:
            while self._to_visit:
                number = heapq.heappop(self._to_visit)
                if number not in self._woken:  # The item was discarded during this sweep.
                    continue
                self._woken.discard(number)
                self._last_visited = number
                yield self._items[number]
        finally:
            self._to_visit = None
