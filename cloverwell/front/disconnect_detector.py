"""Finds clients that have disconnected before their close has been read."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverwell.codec.socket_state import closed_by_peer
from cloverwell.front.client_connection import ClientConnection
from cloverwell.timer_wheel import STALL_MS, TimerWheel

# Clients often disconnect in bursts. A disconnect therefore starts a check of all other clients, unless one
# was made within this interval.
BURST_INTERVAL_MS = 5.0


class DisconnectDetector:
    """Checks the sockets of many connections in one system call.

    While reading from a connection is paused, its client's close is not reported. A close on any other
    connection is reported in the next iteration of the event loop, which comes late after a stall.
    """

    def __init__(self, connections: Mapping[ClientConnection, None], timer_wheel: TimerWheel) -> None:
        """Set up a detector for these connections; the owner of the mapping keeps it up to date."""
        self._connections = connections
        self._timer_wheel = timer_wheel
        self._checked_ms = timer_wheel.now()  # when `_check_all_pending` last ran
        self.paused_connections: dict[ClientConnection, None] = {}  # those from which reading is paused

    def find_among_paused(self) -> list[ClientConnection]:
        """Return the paused connections whose clients have disconnected."""
        return self._check(self.paused_connections) if self.paused_connections else []

    def find_after_stall(self) -> list[ClientConnection]:
        """Return the connections whose clients have disconnected, unless all were checked since the stall."""
        if self._timer_wheel.now() - self._checked_ms > STALL_MS:
            return self._check_all_pending()
        return []

    def with_other_disconnected(self, connections: list[ClientConnection]) -> list[ClientConnection]:
        """Return the given connections, and all others whose clients have disconnected as well."""
        if self._timer_wheel.now() - self._checked_ms <= BURST_INTERVAL_MS:
            return connections
        return list(dict.fromkeys(connections + self._check_all_pending()))

    def _check_all_pending(self) -> list[ClientConnection]:
        """Check all connections that have an open request or are paused."""
        self._checked_ms = self._timer_wheel.now()
        return self._check(
            connection
            for connection in self._connections
            if connection.has_open_request or connection in self.paused_connections
        )

    def _check(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        connections_by_descriptor = {
            connection.fileno(): connection for connection in connections if not connection.ended
        }
        disconnected = closed_by_peer(connections_by_descriptor) if connections_by_descriptor else set()
        return [
            connections_by_descriptor[descriptor]
            for descriptor in connections_by_descriptor
            if descriptor in disconnected
        ]
