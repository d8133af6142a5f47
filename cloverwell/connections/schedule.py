"""Which items a periodic sweep has to visit: those that changed or are due, instead of all. No I/O.

A sweep over all items does the same work each time, also where most of them have nothing to do. Here each
item is visited when it has changed (`wake`), or at the time that its last visit gave (`visit_at`). Visits
keep the order in which items were added, as a loop over all of them would, and an item woken during a sweep
is visited in the same sweep if its place in that order is still to come.

Times are milliseconds of one clock.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)
EARLY_MS = 1.0  # an item is visited so much before its time, since sums of times are rounded


class Schedule(Generic[Item]):
    """The items of a sweep, each with the time at which it is due, if it has one."""

    def __init__(self) -> None:
        """Starts without an item."""
        self._numbers: dict[Item, int] = {}  # in the order of adding
        self._items: dict[int, Item] = {}
        self._next_number = 0
        self._times: list[tuple[float, int]] = []  # heap of (time, number), also of times that were replaced
        self._due_ms: dict[int, float] = {}  # the time in the heap that counts, by number
        self._woken: set[int] = set()
        self._ahead: list[int] | None = None  # during a sweep: heap of the numbers still to be visited
        self._reached = -1  # during a sweep: the number visited last

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
        """Removes the item if it is here."""
        number = self._numbers.pop(item, None)
        if number is not None:
            del self._items[number]
            self._due_ms.pop(number, None)
            self._woken.discard(number)

    def wake(self, item: Item) -> None:
        """Has the item visited by the next sweep, or by this one if its turn is still to come."""
        number = self._numbers.get(item)
        if number is None or number in self._woken:
            return
        self._woken.add(number)
        if self._ahead is not None and number > self._reached:
            heapq.heappush(self._ahead, number)

    def wake_all(self) -> None:
        """Wakes each item."""
        for item in self._numbers:
            self.wake(item)

    def visit_at(self, item: Item, when_ms: float) -> None:
        """Has the item visited at that time, unless it is woken before; an earlier time stands."""
        number = self._numbers.get(item)
        when_ms -= EARLY_MS
        if number is None or when_ms >= self._due_ms.get(number, math.inf):
            return
        self._due_ms[number] = when_ms
        heapq.heappush(self._times, (when_ms, number))

    def sweep(self, now: float) -> Iterator[Item]:
        """Yields the items to visit now; the visitor gives the next time of each with `visit_at`."""
        while self._times and self._times[0][0] <= now:
            when_ms, number = heapq.heappop(self._times)
            if self._due_ms.get(number) == when_ms:
                del self._due_ms[number]
                self._woken.add(number)
        self._ahead, self._reached = sorted(self._woken), -1
        try:
            while self._ahead:
                number = heapq.heappop(self._ahead)
                if number not in self._woken:  # discarded meanwhile
                    continue
                self._woken.discard(number)
                self._reached = number
                yield self._items[number]
        finally:
            self._ahead = None
