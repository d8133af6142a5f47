"""The clients that have answers which they do not read, so that the connection takes no more. No I/O."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

# A client that reads nothing for so long is disconnected: no request has so much time.
READ_TIMEOUT_MS = 10_000.0
CHECK_INTERVAL_MS = 1000.0  # between two looks at what the kernel still holds for a client

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


@dataclass(slots=True)
class _Blocked:
    unsent_bytes: int  # that the kernel held for the client at the last look
    checked_ms: float
    read_ms: float  # when the client was last known to have read something


class UnreadResponses(Generic[ConnectionT]):
    """Since when the client of each blocked connection has read nothing."""

    def __init__(self) -> None:
        """Start with none."""
        self._blocked: dict[ConnectionT, _Blocked] = {}

    def blocked(self, connection: ConnectionT, unsent_bytes: int, now: float) -> None:
        """Record that a response is known, and that there is no room for it.

        `unsent_bytes`: what the kernel holds for the client.
        """
        if connection not in self._blocked:
            self._blocked[connection] = _Blocked(unsent_bytes, now, now)

    def progressed(self, connection: ConnectionT) -> None:
        """Record that there is room again, or that the connection has ended."""
        self._blocked.pop(connection, None)

    def to_check(self, now: float) -> list[ConnectionT]:
        """Return the connections that are to be looked at now."""
        return [
            connection
            for connection, blocked in self._blocked.items()
            if now - blocked.checked_ms >= CHECK_INTERVAL_MS
        ]

    def has_expired(self, connection: ConnectionT, unsent_bytes: int, now: float) -> bool:
        """Take a look at a connection, and tell whether its client has read nothing for too long.

        The kernel makes room in large steps; that a client reads slowly shows in what it still holds.
        """
        blocked = self._blocked[connection]
        if unsent_bytes < blocked.unsent_bytes:
            blocked.read_ms = now
        blocked.unsent_bytes, blocked.checked_ms = unsent_bytes, now
        return now - blocked.read_ms >= READ_TIMEOUT_MS
