"""Counters and maxima by name, logged in one line at intervals. A fleet adds them up over its proxies."""

from collections import Counter

# No name contains input from outside, so more names than this would be a fault in the program.
MAX_NAMES = 200


class Counters:
    """Sums and maxima since the last `take_line`. Names beyond `MAX_NAMES` are ignored."""

    def __init__(self) -> None:
        """Start without any name."""
        self._sums: Counter[str] = Counter()
        self._highest: dict[str, float] = {}

    def add(self, name: str, number: int = 1) -> None:
        """Add to the sum of that name."""
        if name in self._sums or len(self._sums) < MAX_NAMES:
            self._sums[name] += number

    def record_max(self, name: str, value: float) -> None:
        """Keep the highest value of that name."""
        if name in self._highest or len(self._highest) < MAX_NAMES:
            self._highest[name] = max(value, self._highest.get(name, value))

    def take_line(self) -> str:
        """Return `name=sum` and `name<maximum` for all names, sorted, and reset them. It may be empty."""
        sums = [f"{name}={number}" for name, number in sorted(self._sums.items())]
        maxima = [f"{name}<{value:.0f}" for name, value in sorted(self._highest.items())]
        self._sums.clear()
        self._highest.clear()
        return " ".join(sums + maxima)
