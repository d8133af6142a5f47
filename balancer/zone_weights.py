"""The weights of the servers on the rings, summed by zone. An update touches only what it changes."""

import math
from collections import Counter


class ZoneWeights:
    """Counts the servers by zone and weight, and sums their weights.

    The sums are exact until they are rounded once, so they don't depend on the order of the updates: two
    balancers that have the same list get the same sums.
    """

    def __init__(self) -> None:
        """Starts without servers."""
        self._by_server: dict[str, tuple[int, float]] = {}  # server name -> its zone and weight
        self._counts: Counter[tuple[int, float]] = Counter()  # (zone, weight) -> number of servers

    def __len__(self) -> int:
        """Returns the number of servers."""
        return len(self._by_server)

    def put(self, name: str, zone: int, weight: float) -> None:
        """Sets the zone and weight of a server, which may be a new one."""
        if self._by_server.get(name) != (zone, weight):
            self.remove(name)
            self._by_server[name] = zone, weight
            self._counts[zone, weight] += 1

    def remove(self, name: str) -> None:
        """Removes a server, if it is present."""
        if (zone_and_weight := self._by_server.pop(name, None)) is not None:
            self._counts[zone_and_weight] -= 1
            if not self._counts[zone_and_weight]:
                del self._counts[zone_and_weight]

    @property
    def largest(self) -> float:
        """The largest weight of a server; 1 if there are no servers."""
        return max((weight for _, weight in self._counts), default=1.0)

    @property
    def total(self) -> float:
        """The sum of the weights of all servers."""
        return math.fsum(weight * count for (_, weight), count in self._counts.items())

    def in_zone(self, zone: int) -> float:
        """Returns the sum of the weights of the servers in a zone."""
        return math.fsum(
            weight * count for (counted_zone, weight), count in self._counts.items() if counted_zone == zone
        )
