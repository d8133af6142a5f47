"""Since when an accepted connection may have waited in the kernel's accept queue: decisions without I/O.

The kernel completes handshakes while the listening port is not read (descriptors are used up, or the process
is not ready) and keeps the connections in a queue of bounded length, in the order in which they came. Neither
the kernel nor the connection tells how long one has waited. But one that is accepted after more others than
the queue holds must have come after the first of those was accepted.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class QueueObservation:
    """How many connections had been accepted at a time when others may have been waiting."""

    accepted: int
    at_ms: float


class AcceptQueue:
    """The accept queue of one listening port; all times in ms on the caller's clock."""

    def __init__(self, max_length: int) -> None:
        """Start with an empty queue; `max_length`: connections that the kernel lets wait."""
        self._max_length = max_length
        self._accepted = 0
        # Since the port's reading was paused; empty while no connection can wait.
        self._observations: deque[QueueObservation] = deque()

    @property
    def may_hold_connections(self) -> bool:
        """Whether connections that came a while ago may be waiting."""
        return bool(self._observations)

    def record_reading_paused(self, now: float) -> None:
        """Record that the port is not read from now on."""
        if not self._observations:
            self._observations.append(QueueObservation(self._accepted, now))

    def record_connections_waiting(self, now: float) -> None:
        """Record that connections are waiting now."""
        if self._observations:
            self._observations.append(QueueObservation(self._accepted, now))

    def record_empty(self) -> None:
        """Record that no connection is waiting, and that the port is read."""
        self._observations.clear()

    def record_accepted(self) -> float | None:
        """Count one accepted connection; return since when it may have waited, or None if it has not."""
        self._accepted += 1
        observations = self._observations
        while len(observations) > 1 and observations[1].accepted + self._max_length < self._accepted:
            observations.popleft()
        return observations[0].at_ms if observations else None
