"""Closes the clients' connections that the connection policy selects."""

from __future__ import annotations

from collections.abc import Sequence

from cloverwell.connections.client_policy import ClientConnectionPolicy, CloseClient
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.front.client_connection import ClientConnection
from cloverwell.front.connection_closing import ConnectionDrainer
from cloverwell.timer_wheel import TimerWheel


class ClientCloser:
    """Closes selected connections, except where a request or response could be lost."""

    def __init__(
        self,
        policy: ClientConnectionPolicy[ClientConnection],
        metrics: ConnectionMetrics,
        timer_wheel: TimerWheel,
        drainer: ConnectionDrainer,
    ) -> None:
        """Set up a closer that tells `policy` which closes were skipped, and counts all in `metrics`.

        `drainer` closes connections that may have open requests.
        """
        self._policy = policy
        self._metrics = metrics
        self._timer_wheel = timer_wheel
        self._drainer = drainer

    def close(self, choices: Sequence[CloseClient[ClientConnection]], wanted: int) -> None:
        """Close the chosen connections in this order, until `wanted` of them have been closed."""
        for choice in choices:
            if not wanted:
                return
            if self._close(choice):
                wanted -= 1
                self._metrics.add(ConnectionEvent.CLOSED_BY_PROXY, choice.reason.value)
            else:
                self._metrics.add(ConnectionEvent.CLOSE_SKIPPED)
                self._policy.record_close_failed(choice.client, self._timer_wheel.now())

    def _close(self, choice: CloseClient[ClientConnection]) -> bool:
        """Close one connection; return False if it stays open, since a request or response may be unread."""
        connection = choice.client
        if choice.reason is CloseReason.CLOSE_TIMEOUT:
            connection.close_now(choice.reason)
            return True
        if choice.reason is CloseReason.NOT_READING:
            self._close_not_reading(connection)
            return True
        if not connection.close_overdue(choice.reason):
            return False
        if choice.abort and connection.ended:
            # The kernel still delivers the bytes that it has taken.
            connection.close_now(choice.reason)
        return True

    def _close_not_reading(self, connection: ClientConnection) -> None:
        """Close the connection of a client that takes nothing, and free its buffers.

        If the kernel has taken all responses, it goes on delivering them.
        """
        if connection.has_unsent_responses and not connection.has_open_request:
            connection.set_close_reason(CloseReason.NOT_READING)
            connection.end(abort=True)
        else:
            self._drainer.close_now(connection, CloseReason.NOT_READING)
