"""The network of the control log's simulation: delays, partitions and losses."""

from __future__ import annotations

from random import Random

from lab.control_processes import Process

# One way, within a region and between two regions; a message takes up to twice as long.
LOCAL_MS = 1.0
REMOTE_MS = 40.0


class ControlNetwork:
    """The delays and partitions between processes.

    `peer_loss` is the fraction of the messages between control nodes that is lost.
    """

    def __init__(self, random: Random) -> None:
        """Starts without partitions; `random` draws delays and losses."""
        self.peer_loss = 0.0
        self._random = random
        self._partitioned: set[frozenset[str]] = set()  # pairs of regions, or of names of processes

    def partition(self, one: str, other: str) -> None:
        """Partitions two regions, or two processes."""
        self._partitioned.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends all partitions."""
        self._partitioned.clear()

    def separates(self, one: Process, other: Process) -> bool:
        """Returns whether nothing passes between two processes."""
        pairs = (frozenset((one.region, other.region)), frozenset((one.name, other.name)))
        return any(pair in self._partitioned for pair in pairs)

    def loses_peer_message(self, one: Process, other: Process) -> bool:
        """Returns whether a message between two control nodes is lost when it is sent."""
        return self.separates(one, other) or self._random.random() < self.peer_loss

    def delay_ms(self, one: Process, other: Process) -> float:
        """Draws for how long a message is in flight between two processes."""
        base_ms = LOCAL_MS if one.region == other.region else REMOTE_MS
        return base_ms * self._random.uniform(1.0, 2.0)
