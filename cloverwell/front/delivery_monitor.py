"""Observes what clients take of their responses, and logs those that are behind."""

from __future__ import annotations

from itertools import islice

from cloverwell.connections.response_delivery import ResponseDelivery
from cloverwell.front.client_connection import ClientConnection
from cloverwell.log import Log

CHECK_INTERVAL_MS = 100.0  # between two observations of the clients with undelivered bytes
REPORT_INTERVAL_MS = 1000.0  # between two log lines on them
MAX_REPORTED_CLIENTS = 5  # The line describes so many clients and only counts the others.


class DeliveryMonitor:
    """Observes the clients with undelivered bytes.

    Attributes:
        delivery: what is known of these clients.

    """

    def __init__(self, delivery: ResponseDelivery[ClientConnection], log: Log) -> None:
        """Set up a monitor that records in `delivery` what it observes."""
        self.delivery = delivery
        self._log = log
        self._checked_ms = self._reported_ms = 0.0

    def observe(self, connection: ClientConnection, now: float) -> None:
        """Observe what the client has taken until now."""
        found = connection.delivery()
        self.delivery.observe(connection, found.acknowledged_bytes, found.undelivered_bytes, now, now)

    def check(self, now: float) -> None:
        """Observe the clients with undelivered bytes, if that is due."""
        if now - self._checked_ms < CHECK_INTERVAL_MS:
            return
        self._checked_ms = now
        for connection in list(self.delivery.clients):
            self.observe(connection, now)
        self._report(now)

    def _report(self, now: float) -> None:
        if not self.delivery.clients or now - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now
        count = len(self.delivery.clients)
        described = [self._describe(one, now) for one in islice(self.delivery.clients, MAX_REPORTED_CLIENTS)]
        more = f" and {count - len(described)} more" if count > len(described) else ""
        self._log.info("unread", f"{count} clients have unread responses: {'; '.join(described)}{more}")

    def _describe(self, connection: ClientConnection, now: float) -> str:
        stalled_ms = self.delivery.stalled_ms(connection, now)
        stalled = f"nothing acknowledged for {stalled_ms:.0f} ms"
        return f"{connection.peer}, {connection.describe_delivery()}, {stalled}"
