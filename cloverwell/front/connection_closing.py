"""Closes the clients' connections while the process drains or stops; `connections.closing` decides when."""

from __future__ import annotations

from collections.abc import Mapping

from twisted.logger import Logger

from cloverwell.codec.line_allowance import LineAllowance
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.closing import ClosingStep, closing_step
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_connection import ClientConnection
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel

# The most commands that are handled in one tick just before connections are closed by force. All of them are
# rejected, in some 20 ms.
MAX_FINAL_COMMANDS = 256


class ConnectionDrainer:
    """Takes the closing step that is due for each connection.

    Attributes:
        is_closing: whether connections are now closed between requests.
        rejects_requests: whether new requests are rejected.
        final_allowance: limits the commands that are handled just before connections are closed by force.

    """

    def __init__(
        self,
        connections: Mapping[ClientConnection, None],
        serving: Serving,
        dispatcher: Dispatcher,
        timer_wheel: TimerWheel,
    ) -> None:
        """Close nothing before the first `check`; the owner of `connections` keeps them up to date."""
        self.is_closing = False
        self.rejects_requests = False
        self.final_allowance = LineAllowance(MAX_FINAL_COMMANDS, MAX_FINAL_COMMANDS)
        self._connections = connections
        self._serving = serving
        self._dispatcher = dispatcher
        self._timer_wheel = timer_wheel
        self._logger = Logger(namespace="closing")

    def check(self) -> None:
        """Take the step that is due for each connection; called at each tick of a drain or shutdown."""
        now = self._timer_wheel.now()
        self.final_allowance.left = MAX_FINAL_COMMANDS
        self.is_closing = self._serving.closes_idle_connections(now)
        # After a stall, requests that are read next may have come before the rejecting began.
        if not self._timer_wheel.just_stalled:
            self._update_rejecting(self._serving.rejects_requests(now))
        if not self.is_closing:
            return
        for connection in list(self._connections):
            try:
                self.advance(connection)
            except Exception:  # A connection that fails to close must not keep the others open.
                self._logger.failure("failed to close a client connection")

    def _update_rejecting(self, rejects_requests: bool) -> None:
        began = rejects_requests and not self.rejects_requests
        self.rejects_requests = rejects_requests
        if began:
            for connection in list(self._connections):
                connection.send_responses()  # It is read again if only a full pipeline has paused it.

    def advance(self, connection: ClientConnection) -> None:
        """Take the closing step that is due for the connection now, if any."""
        now, after_stall = self._timer_wheel.now(), self._timer_wheel.just_stalled
        match closing_step(connection.closing_state(), self._serving.drain_times, now, after_stall):
            case ClosingStep.HALF_CLOSE_IF_ALL_READ:
                connection.close_between_requests(CloseReason.DRAIN)
            case ClosingStep.REJECT_PARTIAL_COMMAND_IF_ALL_READ:
                connection.close_between_requests(CloseReason.DRAIN, allow_partial_command=True)
            case ClosingStep.HALF_CLOSE:
                connection.force_close_write_side(CloseReason.DRAIN)
            case ClosingStep.CLOSE_AFTER_RESPONSES:
                connection.close_after_responses(CloseReason.DRAIN)
            case ClosingStep.CLOSE:
                self.close_now(connection, CloseReason.DRAIN)

    def close_now(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close both sides of the connection, and cancel its open requests."""
        self._dispatcher.client_disconnected(connection.close_now(reason))
