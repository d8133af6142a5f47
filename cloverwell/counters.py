"""What the proxy did since the last line of counts, by name: a fleet's figures are sums over its proxies."""

from collections import Counter

MAX_NAMES = 200  # names are made of words of ours alone; more of them would be a fault


class Counters:
    """Numbers that are added up, and highest values, both since the last `line`."""

    def __init__(self) -> None:
        self._sums: Counter[str] = Counter()
        self._highest: dict[str, float] = {}

    def add(self, name: str, number: int = 1) -> None:
        if name in self._sums or len(self._sums) < MAX_NAMES:
            self._sums[name] += number

    def highest(self, name: str, value: float) -> None:
        """Keeps the highest value; it is told with the sign `<` before it."""
        if name in self._highest or len(self._highest) < MAX_NAMES:
            self._highest[name] = max(value, self._highest.get(name, value))

    def line(self) -> str:
        """`name=number` and `name<highest` of all that happened, in order, and begins anew; may be empty."""
        sums = [f"{name}={number}" for name, number in sorted(self._sums.items())]
        most = [f"{name}<{value:.0f}" for name, value in sorted(self._highest.items())]
        self._sums.clear()
        self._highest.clear()
        return " ".join(sums + most)
