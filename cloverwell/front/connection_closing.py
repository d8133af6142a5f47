"""Closes the clients' connections while the process is drained or stops, as `connections.closing` decides."""

from __future__ import annotations

from collections.abc import Mapping

from twisted.logger import Logger

from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.closing import ClosingStep, closing_step
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_connection import ClientConnection
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel

READ_BYTES = 64 * 1024  # of one connection in an iteration of the event loop, as Twisted has it
# The same while all requests are rejected: some 130 commands, which take 10 ms.
REJECTING_READ_BYTES = 8 * 1024


class ConnectionDrainer:
    """Carries out the step that is due for each connection.

    Attributes:
        is_closing: connections are closed between requests.
        rejects_requests: new requests are rejected.

    """

    def __init__(
        self,
        connections: Mapping[ClientConnection, None],
        serving: Serving,
        dispatcher: Dispatcher,
        timer_wheel: TimerWheel,
    ) -> None:
        """Close nothing before the first `check`; `connections` is kept up to date by its owner."""
        self.is_closing = False
        self.rejects_requests = False
        self._connections = connections
        self._serving = serving
        self._dispatcher = dispatcher
        self._timer_wheel = timer_wheel
        self._read_bytes = READ_BYTES
        self._logger = Logger(namespace="closing")

    def check(self) -> None:
        """Close each connection as far as it is due; call this at each tick of a drain or a shutdown."""
        now = self._timer_wheel.now()
        self.is_closing = self._serving.closes_idle_connections(now)
        if not self._timer_wheel.just_stalled:  # else what is read next may have come before
            self.rejects_requests = self._serving.rejects_requests(now)
        self._limit_reads()
        if not self.is_closing:
            return
        for connection in list(self._connections):
            try:
                self.advance(connection)
            except Exception:  # one that fails must not keep the others open
                self._logger.failure("closing a connection")

    def _limit_reads(self) -> None:
        """Read less at once while all requests are rejected: a client that floods must not delay the end."""
        read_bytes = REJECTING_READ_BYTES if self.rejects_requests else READ_BYTES
        if self.rejects_requests or read_bytes != self._read_bytes:
            for connection in self._connections:
                connection.transport.bufferSize = read_bytes
        self._read_bytes = read_bytes

    def advance(self, connection: ClientConnection) -> None:
        """Close the connection as far as it is due."""
        now, after_stall = self._timer_wheel.now(), self._timer_wheel.just_stalled
        match closing_step(connection.closing_state(), self._serving.drain_times, now, after_stall):
            case ClosingStep.HALF_CLOSE_IF_ALL_READ:
                connection.close_between_requests(CloseReason.DRAIN)
            case ClosingStep.REJECT_PARTIAL_COMMAND_IF_ALL_READ:
                connection.close_between_requests(CloseReason.DRAIN, cut=True)
            case ClosingStep.HALF_CLOSE:
                connection.end_our_side(CloseReason.DRAIN)
            case ClosingStep.CLOSE:
                self.close_now(connection, CloseReason.DRAIN)

    def close_now(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close both sides of the connection, and end what is still open on it."""
        self._dispatcher.client_disconnected(connection.close_now(reason))
