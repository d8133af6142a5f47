"""Which control node a proxy tries next: its own region's first, each once in a round, rounds ever
further apart."""

from __future__ import annotations

from random import Random

from cloverwell.control.timing import SubscriptionTiming


class NodeChoice:
    """The order in which one proxy tries the control nodes. `groups`: the own region's first."""

    def __init__(
        self, groups: tuple[tuple[str, ...], ...], timing: SubscriptionTiming, random: Random
    ) -> None:
        self._order = [name for group in groups for name in random.sample(group, len(group))]
        if not self._order or len(set(self._order)) != len(self._order):
            raise ValueError("nodes: must name each control node once, and at least one")
        self._timing = timing
        self._random = random
        self._home = frozenset(groups[0])
        self._round = list(self._order)  # those still to be tried, the present one first
        self._rounds = 0  # all of them failed in so many since one has served
        self._served = False

    def node(self) -> str:
        """The one to be tried now."""
        return self._round[0]

    def served(self) -> None:
        """The present one does its work."""
        self._served, self._rounds = True, 0

    def failed(self) -> float:
        """Goes on to the next node; for how many ms to wait before the try."""
        failed = self._round.pop(0)
        if self._served:
            self._served = False
            self._round = [name for name in self._order if name != failed] + [failed]
            return 0.0
        if self._round:
            return 0.0
        self._round = list(self._order)
        most = min(self._timing.backoff_max_ms, self._timing.backoff_ms * 2.0 ** min(self._rounds, 16))
        self._rounds += 1
        return self._random.uniform(most / 2, most)

    def away_ms(self) -> float:
        """For how long to stay at the present node: for good at one of the own region."""
        if self.node() in self._home:
            return float("inf")
        return self._random.uniform(self._timing.remote_stay_ms / 2, self._timing.remote_stay_ms)

    def go_home(self) -> None:
        """Begins a round with the own region's nodes."""
        self._round, self._served = list(self._order), False
