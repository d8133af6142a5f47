"""The weights of the servers on the ring, summed by zone: a change costs what changed, not a look at all."""

import math
from collections import Counter


class ZoneWeights:
    """Counts how many servers have each weight in each zone.

    Sums are rounded once and depend on no order: two balancers that hold one list have the same."""

    def __init__(self) -> None:
        """There are no servers yet."""
        self._of: dict[str, tuple[int, float]] = {}  # server -> its zone and weight
        self._counts: Counter[tuple[int, float]] = Counter()  # (zone, weight) -> servers

    def __len__(self) -> int:
        """How many servers there are."""
        return len(self._of)

    def put(self, name: str, zone: int, weight: float) -> None:
        """Sets the zone and weight of a server, new or known."""
        if self._of.get(name) != (zone, weight):
            self.remove(name)
            self._of[name] = zone, weight
            self._counts[zone, weight] += 1

    def remove(self, name: str) -> None:
        """Takes a server out, if it is there."""
        if (known := self._of.pop(name, None)) is not None:
            self._counts[known] -= 1
            if not self._counts[known]:
                del self._counts[known]

    @property
    def largest(self) -> float:
        """The largest weight of a server; 1 where there is none."""
        return max((weight for _, weight in self._counts), default=1.0)

    @property
    def total(self) -> float:
        """The sum of all weights."""
        return math.fsum(weight * count for (_, weight), count in self._counts.items())

    def in_zone(self, zone: int) -> float:
        """The sum of the weights in a zone."""
        return math.fsum(weight * count for (where, weight), count in self._counts.items() if where == zone)
