"""Tracks clients that do not read their responses, so that the outgoing buffer is full. No I/O."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

# A client that reads nothing for this long is disconnected. No request has so long a timeout.
READ_TIMEOUT_MS = 10_000.0
CHECK_INTERVAL_MS = 1000.0  # between two checks of the bytes that the kernel still holds for a client

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


@dataclass(slots=True)
class _BlockedClient:
    unsent_bytes: int  # the bytes that the kernel held for the client at the last check
    checked_ms: float  # when the client was last checked
    last_read_ms: float  # when the client was last known to have read something


class UnreadResponses(Generic[ConnectionT]):
    """Records since when the client of each blocked connection has read nothing."""

    def __init__(self) -> None:
        """Start with no blocked connection."""
        self._blocked: dict[ConnectionT, _BlockedClient] = {}

    def blocked(self, connection: ConnectionT, unsent_bytes: int, now: float) -> None:
        """Record that a response can't be sent, since the outgoing buffer is full.

        `unsent_bytes`: the number of bytes that the kernel holds for the client.
        """
        if connection not in self._blocked:
            self._blocked[connection] = _BlockedClient(unsent_bytes, now, now)

    def progressed(self, connection: ConnectionT) -> None:
        """Record that the outgoing buffer has room again, or that the connection has ended."""
        self._blocked.pop(connection, None)

    def due_for_check(self, now: float) -> list[ConnectionT]:
        """Return the connections for which a check is due."""
        return [
            connection
            for connection, blocked in self._blocked.items()
            if now - blocked.checked_ms >= CHECK_INTERVAL_MS
        ]

    def has_expired(self, connection: ConnectionT, unsent_bytes: int, now: float) -> bool:
        """Check a connection; return whether its client has read nothing for too long.

        The kernel makes room for new bytes in large steps only, so a client that reads slowly shows in the
        number of bytes that the kernel still holds, `unsent_bytes`, rather than in the room.
        """
        blocked = self._blocked[connection]
        if unsent_bytes < blocked.unsent_bytes:
            blocked.last_read_ms = now
        blocked.unsent_bytes, blocked.checked_ms = unsent_bytes, now
        return now - blocked.last_read_ms >= READ_TIMEOUT_MS
