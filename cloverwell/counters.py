"""Named sums and maxima, which are logged in one line at intervals.

`benchmarks/fleet_counts.py` adds the lines of all proxies up.
"""

from collections import Counter

# No name contains input from outside, so only a fault in the program can make more names than this.
MAX_NAMES = 200


class Counters:
    """Sums and maxima since the last `take_line`, at most `MAX_NAMES` of each: further names are ignored."""

    def __init__(self) -> None:
        """Set up counters without any names."""
        self._sums: Counter[str] = Counter()
        self._maxima: dict[str, float] = {}

    def add(self, name: str, number: int = 1) -> None:
        """Add to the sum of that name."""
        if name in self._sums or len(self._sums) < MAX_NAMES:
            self._sums[name] += number

    def record_max(self, name: str, value: float) -> None:
        """Keep the highest value that was recorded under that name."""
        if name in self._maxima or len(self._maxima) < MAX_NAMES:
            self._maxima[name] = max(value, self._maxima.get(name, value))

    def take_line(self) -> str:
        """Return all sums as `name=sum` and all maxima as `name<maximum`, sorted by name, and reset them.

        The line is empty if nothing was recorded since the last one.
        """
        sums = [f"{name}={number}" for name, number in sorted(self._sums.items())]
        maxima = [f"{name}<{value:.0f}" for name, value in sorted(self._maxima.items())]
        self._sums.clear()
        self._maxima.clear()
        return " ".join(sums + maxima)
