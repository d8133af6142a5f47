"""Finds clients that have disconnected although their connections are not read."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverwell.codec.lines import closed_by_peer
from cloverwell.front.client_connection import ClientConnection
from cloverwell.timer_wheel import STALL_MS, TimerWheel

# A disconnect seldom comes alone: it starts a check of all others, but no more often than that.
BURST_INTERVAL_MS = 5.0


class DisconnectDetector:
    """Checks the sockets of many connections in one system call.

    A connection that is not read doesn't report its client's close, and one that is read reports it only in
    the next iteration of the event loop, which comes late after a stall.
    """

    def __init__(self, connections: Mapping[ClientConnection, None], timer_wheel: TimerWheel) -> None:
        """Check the connections of a mapping that its owner keeps up to date."""
        self._connections = connections
        self._timer_wheel = timer_wheel
        self._checked_ms = timer_wheel.now()  # when all that have something pending were checked
        self.paused_connections: dict[ClientConnection, None] = {}  # the connections whose reading is paused

    def among_not_read(self) -> list[ClientConnection]:
        """Return the connections whose reading is paused and whose clients have disconnected."""
        return self._disconnected_among(self.paused_connections) if self.paused_connections else []

    def after_stall(self) -> list[ClientConnection]:
        """Return the disconnected clients, unless all were checked since the event loop stalled."""
        if self._timer_wheel.now() - self._checked_ms > STALL_MS:
            return self._among_pending()
        return []

    def with_others(self, connections: list[ClientConnection]) -> list[ClientConnection]:
        """Return these, whose clients have disconnected, and all others whose clients have."""
        if self._timer_wheel.now() - self._checked_ms <= BURST_INTERVAL_MS:
            return connections
        return list(dict.fromkeys(connections + self._among_pending()))

    def _among_pending(self) -> list[ClientConnection]:
        """Check the connections that have an open request or are not read."""
        self._checked_ms = self._timer_wheel.now()
        return self._disconnected_among(
            connection
            for connection in self._connections
            if connection.has_open_request or connection in self.paused_connections
        )

    def _disconnected_among(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        by_descriptor = {
            connection.fileno(): connection for connection in connections if not connection.ended
        }
        disconnected = closed_by_peer(by_descriptor) if by_descriptor else set()
        return [by_descriptor[descriptor] for descriptor in by_descriptor if descriptor in disconnected]
