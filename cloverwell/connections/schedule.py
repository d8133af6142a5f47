"""What a periodic sweep has to visit: items that changed or whose time has come, not all of them. No I/O.

A sweep over all items does the same work each time; where most of them have nothing to do, that is the cost
of a quiet process. Here each item is visited when something befell it (`wake`) or by the time that its last
visit named (`at`). Visits keep the order in which items were added, as a loop over all of them would, and
one woken during a sweep is visited in the same sweep if its place in that order is still to come.

Times are milliseconds of one clock.
"""

import heapq
import math
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)
EARLY_MS = 1.0  # an item is visited so long before its time, as sums of times are rounded: that does no harm


class Schedule(Generic[Item]):
    def __init__(self) -> None:
        self._numbers: dict[Item, int] = {}  # in the order of adding
        self._items: dict[int, Item] = {}
        self._next_number = 0
        self._times: list[tuple[float, int]] = []  # heap of (time, number); those overtaken are skipped
        self._due_ms: dict[int, float] = {}  # number -> the time in the heap that counts
        self._woken: set[int] = set()
        self._ahead: list[int] | None = None  # during a sweep: heap of the numbers still to be visited
        self._reached = -1  # during a sweep: the number visited last

    def __len__(self) -> int:
        return len(self._numbers)

    def add(self, item: Item) -> None:
        """A new item: it is visited by the next sweep."""
        number = self._numbers[item] = self._next_number
        self._items[number] = item
        self._next_number += 1
        self.wake(item)

    def discard(self, item: Item) -> None:
        """The item is visited no more, if it is here."""
        number = self._numbers.pop(item, None)
        if number is not None:
            del self._items[number]
            self._due_ms.pop(number, None)
            self._woken.discard(number)

    def wake(self, item: Item) -> None:
        """Something befell the item: the next sweep visits it, or this one if its turn is to come."""
        number = self._numbers.get(item)
        if number is None or number in self._woken:
            return
        self._woken.add(number)
        if self._ahead is not None and number > self._reached:
            heapq.heappush(self._ahead, number)

    def wake_all(self) -> None:
        for item in self._numbers:
            self.wake(item)

    def at(self, item: Item, when_ms: float) -> None:
        """Unless it is woken before, the item is to be visited then; an earlier time stands."""
        number = self._numbers.get(item)
        when_ms -= EARLY_MS
        if number is None or when_ms >= self._due_ms.get(number, math.inf):
            return
        self._due_ms[number] = when_ms
        heapq.heappush(self._times, (when_ms, number))

    def sweep(self, now: float) -> Iterator[Item]:
        """The items to visit now; the visitor names the next time of each with `at`."""
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
