"""Estimates how long an accepted connection may have waited in the kernel's accept queue. No I/O.

The kernel completes handshakes while the listening port is not read (descriptors are used up, or the process
is not ready) and keeps the connections in a queue of bounded length, in the order in which they came. Neither
the kernel nor the connection tells how long one has waited. But a connection that is accepted after more
others than the queue holds must have come after the first of those others was accepted.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class QueueObservation:
    """The number of connections accepted so far, at a time when others may have been waiting."""

    accepted_count: int
    at_ms: float


class AcceptQueue:
    """The accept queue of one listening port; all times in ms on the caller's clock."""

    def __init__(self, max_length: int) -> None:
        """Start with an empty queue; `max_length`: connections that the kernel lets wait."""
        self._max_length = max_length
        self._accepted_count = 0
        # The observations since reading of the port was paused; empty while no connection can be waiting.
        self._observations: deque[QueueObservation] = deque()

    @property
    def may_hold_connections(self) -> bool:
        """Return whether connections that came a while ago may be waiting."""
        return bool(self._observations)

    def record_reading_paused(self, now: float) -> None:
        """Record that the port is not read from now on."""
        if not self._observations:
            self._observations.append(QueueObservation(self._accepted_count, now))

    def record_connections_waiting(self, now: float) -> None:
        """Record that connections are waiting now."""
        if self._observations:
            self._observations.append(QueueObservation(self._accepted_count, now))

    def record_empty(self) -> None:
        """Record that no connection is waiting, and that the port is read."""
        self._observations.clear()

    def record_accepted(self) -> float | None:
        """Count one accepted connection.

        Returns the earliest time (ms) since which it may have waited, or None if it has not waited.
        """
        self._accepted_count += 1
        observations = self._observations
        while (
            len(observations) > 1 and observations[1].accepted_count + self._max_length < self._accepted_count
        ):
            observations.popleft()
        return observations[0].at_ms if observations else None
