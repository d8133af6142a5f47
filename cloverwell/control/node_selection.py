"""Selects the control node that a proxy connects to: first the local region's, then others, with backoff."""

from __future__ import annotations

from random import Random

from cloverwell.control.timing import SubscriptionTiming

MAX_BACKOFF_DOUBLINGS = 16


class ControlNodeSelector:
    """The order in which one proxy tries the control nodes.

    In a round each node is tried at most once. After a round in which all have failed there is a backoff,
    which doubles with each such round until a node has served.
    """

    def __init__(
        self, groups: tuple[tuple[str, ...], ...], timing: SubscriptionTiming, random: Random
    ) -> None:
        """Starts a first round through `groups` of control nodes, the local region's group first.

        Within a group the order is drawn from `random`. Raises ValueError for no node, or one named twice.
        """
        self._order = [name for group in groups for name in random.sample(group, len(group))]
        if not self._order or len(set(self._order)) != len(self._order):
            raise ValueError("nodes: must name each control node once, and at least one")
        self._timing = timing
        self._random = random
        self._local_nodes = frozenset(groups[0])
        self._remaining = list(self._order)  # the nodes to be tried in this round, the selected node first
        self._failed_rounds = 0  # rounds in which all nodes have failed since one has served
        self._has_served = False

    def selected_node(self) -> str:
        """Returns the node to connect to, or to stay connected to."""
        return self._remaining[0]

    def record_served(self) -> None:
        """Records that the selected node has served this proxy, which resets the backoff."""
        self._has_served = True
        self._failed_rounds = 0

    def record_failure(self) -> float:
        """Selects the next node; returns the time in ms to wait before connecting to it."""
        failed = self._remaining.pop(0)
        if self._has_served:
            self._has_served = False
            self._remaining = [name for name in self._order if name != failed] + [failed]
            return 0.0
        if self._remaining:
            return 0.0
        self._remaining = list(self._order)
        return self._next_backoff_ms()

    def stay_ms(self) -> float:
        """Returns the time in ms to stay at the selected node, without limit at one of the local region."""
        if self.selected_node() in self._local_nodes:
            return float("inf")
        return self._random.uniform(self._timing.remote_stay_ms / 2, self._timing.remote_stay_ms)

    def return_to_local(self) -> None:
        """Begins a round with the local region's nodes."""
        self._remaining = list(self._order)
        self._has_served = False

    def _next_backoff_ms(self) -> float:
        doublings = min(self._failed_rounds, MAX_BACKOFF_DOUBLINGS)
        longest_backoff_ms = min(
            self._timing.max_backoff_ms, self._timing.initial_backoff_ms * 2.0**doublings
        )
        self._failed_rounds += 1
        return self._random.uniform(longest_backoff_ms / 2, longest_backoff_ms)
