"""Observes what clients take of their responses, and logs those that are behind."""

from __future__ import annotations

from itertools import islice

from cloverwell.connections.client_policy import IDLE_OBSERVATION_MS, ClientConnectionPolicy
from cloverwell.front.client_connection import ClientConnection
from cloverwell.log import Log

CHECK_INTERVAL_MS = 100.0  # between two observations of the clients with undelivered bytes
REPORT_INTERVAL_MS = 1000.0  # between two log lines on them
MAX_REPORTED_CLIENTS = 5  # The line describes so many clients and only counts the others.


class DeliveryMonitor:
    """Observes the clients with undelivered bytes, and tells the connection policy."""

    def __init__(self, policy: ClientConnectionPolicy[ClientConnection], log: Log) -> None:
        """Set up a monitor that observes nothing before `observe` or `check`."""
        self._policy = policy
        self._log = log
        self._checked_ms = self._reported_ms = 0.0

    def observe(self, connection: ClientConnection, now: float) -> None:
        """Observe what the client has taken until now."""
        found = connection.delivery()
        self._policy.record_delivery(connection, found.acknowledged_bytes, found.undelivered_bytes, now)

    def observe_idle(self, now: float, min_idle_ms: float) -> None:
        """Observe the clients that have seemed idle for so long, unless they were observed since then."""
        for connection in self._policy.choose_to_observe(now, min_idle_ms):
            self.observe(connection, now)

    def check(self, now: float) -> None:
        """Observe the clients with undelivered bytes, if that is due."""
        if now - self._checked_ms < CHECK_INTERVAL_MS:
            return
        self._checked_ms = now
        for connection in list(self._policy.delivery.clients):
            self.observe(connection, now)
        self.observe_idle(now, IDLE_OBSERVATION_MS)
        self._report(now)

    def _report(self, now: float) -> None:
        clients = self._policy.delivery.clients
        if not clients or now - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now
        count = len(clients)
        described = [self._describe(client, now) for client in islice(clients, MAX_REPORTED_CLIENTS)]
        more = f" and {count - len(described)} more" if count > len(described) else ""
        self._log.info("unread", f"{count} clients have unread responses: {'; '.join(described)}{more}")

    def _describe(self, connection: ClientConnection, now: float) -> str:
        stalled_ms = self._policy.delivery.stalled_ms(connection, now)
        stalled = f"nothing acknowledged for {stalled_ms:.0f} ms"
        return f"{connection.peer}, {connection.describe_delivery()}, {stalled}"
