"""Since when a connection that is accepted may have waited in the machine's queue: decisions without I/O.

The machine completes handshakes while the port is not read, for want of descriptors or until the process is
ready, and keeps them in a queue of bounded length, first come first served. Neither it nor the connection
tells how long that was; but one that is accepted after more others than the queue holds came after the first
of them was accepted.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Mark:
    """So many connections had been accepted at that moment."""

    accepted: int
    at_ms: float


class AcceptQueue:
    """Of one port; all times in ms on the caller's clock."""

    def __init__(self, most: int) -> None:
        """`most`: connections that the machine lets wait."""
        self._most = most
        self._accepted = 0
        self._marks: deque[Mark] = deque()  # since the port was read no more; none while nothing can wait

    @property
    def may_stand(self) -> bool:
        """There may be connections in it that came a while ago."""
        return bool(self._marks)

    def not_read(self, now: float) -> None:
        """The port is not read from now on."""
        if not self._marks:
            self._marks.append(Mark(self._accepted, now))

    def looked_at(self, now: float) -> None:
        """Connections wait in it now."""
        if self._marks:
            self._marks.append(Mark(self._accepted, now))

    def empty(self) -> None:
        """None does, and the port is read."""
        self._marks.clear()

    def accepted(self) -> float | None:
        """One more: since when it may have waited, None if it has not."""
        self._accepted += 1
        while len(self._marks) > 1 and self._marks[1].accepted + self._most < self._accepted:
            self._marks.popleft()
        return self._marks[0].at_ms if self._marks else None
