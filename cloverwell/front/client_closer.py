"""Closes the clients' connections that the policy selects."""

from __future__ import annotations

from collections.abc import Sequence

from cloverwell.codec.lines import unacknowledged_bytes
from cloverwell.connections.client_policy import ClientConnectionPolicy, CloseClient
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.front.client_connection import ClientConnection
from cloverwell.timer_wheel import TimerWheel

# What a client may take to read what was sent before our close: an abort would throw that away.
LAST_READ_TIMEOUT_MS = 10_000.0


class ClientCloser:
    """Carries out the policy's choices, as far as nothing is lost by them."""

    def __init__(
        self,
        policy: ClientConnectionPolicy[ClientConnection],
        metrics: ConnectionMetrics,
        timer_wheel: TimerWheel,
    ) -> None:
        """Report to the policy which connections could not be closed, and count all at `metrics`."""
        self._policy = policy
        self._metrics = metrics
        self._timer_wheel = timer_wheel

    def close(self, choices: Sequence[CloseClient[ClientConnection]], wanted: int) -> None:
        """Close connections, in this order, until `wanted` have been closed."""
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
        """Close one connection; return False where something is unread."""
        connection = choice.client
        if choice.reason is CloseReason.CLOSE_TIMEOUT:
            if self._has_unread_responses(connection):
                return False
            connection.close_now(choice.reason)
            return True
        if choice.reason is CloseReason.IDLE and connection.has_unsent_responses:
            connection.closing_because(choice.reason)
            connection.end(abort=True)  # No request has so much time: nobody waits for that response.
            return True
        if not connection.close_overdue(choice.reason):
            return False
        if choice.abort and connection.ended:
            # The kernel goes on delivering what the client has not read.
            connection.close_now(choice.reason)
        return True

    def _has_unread_responses(self, connection: ClientConnection) -> bool:
        """Return whether the client may still read what was sent before our side was closed."""
        if self._timer_wheel.now() - connection.write_closed_ms >= LAST_READ_TIMEOUT_MS:
            return False
        return unacknowledged_bytes(connection.fileno()) > 1  # The close itself counts as one byte.
