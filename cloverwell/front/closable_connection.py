"""Closes one client's connection, so that no response or request that could be answered is lost."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.socket_state import discard_unread, read_now, unsent_bytes
from cloverwell.codec.transport import close_both_sides
from cloverwell.codec.write_result import WriteResult
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.closing import ClosingState
from cloverwell.front.client_reader import ClientReader
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.front.meta_answers import BUSY
from cloverwell.front.pending_response import PendingResponse
from cloverwell.front.response_queue import ResponseQueue
from cloverwell.request import Request

FINAL_READ_BYTES = 8 * 1024  # the most input that is still read and handled just before a forced close


class ClosableConnection(ClientReader):
    """The state and the ends of a client's connection; a subclass turns its commands into requests."""

    __slots__ = (
        "_accepted_ms",
        "_last_answered_id",
        "_responses",
        "close_reason",
        "undelivered_at_close",
        "write_closed_ms",
    )

    def __init__(self, owner: ConnectionOwner[Any], peer: str) -> None:
        """Set up the connection of a client that has just been accepted; `peer` is its address."""
        super().__init__(owner, peer)
        self.close_reason: CloseReason | None = None  # why the proxy closes it; None until then
        self.undelivered_at_close = ""  # who held undelivered bytes when the proxy decided to close it
        self._last_answered_id = ""  # the id of the request that was answered last
        self._responses = ResponseQueue(self, owner)
        self._accepted_ms = self.write_closed_ms = owner.timer_wheel.now()  # The owner sets write_closed_ms.

    # State --------------------------------------------------------------------------------------

    @property
    def has_open_request(self) -> bool:
        """Return whether a request is open."""
        return self._responses.has_open_request

    @property
    def is_between_requests(self) -> bool:
        """Return whether no response is pending, and no part of a command has come."""
        return not self._responses.pending and not self.is_mid_message

    @property
    def has_partial_command(self) -> bool:
        """Return whether no response is pending, and a part of a command has come."""
        return not (self._responses.pending or self.is_between_requests or self._awaits_turn)

    @property
    def has_unsent_responses(self) -> bool:
        """Return whether bytes of a response are still to be handed to the kernel."""
        return self._writing

    @property
    def command_begun_ms(self) -> float:
        """Return when the first byte of the current command was read, in ms of the timer wheel's clock."""
        return self._arrival.first_byte_read_ms

    def closing_state(self) -> ClosingState:
        """Return the state that decides when the connection is closed in a drain or shutdown."""
        responses_pending = bool(self._responses.pending) or self._writing
        return ClosingState(
            accepted_ms=self._accepted_ms,
            nothing_read=self._nothing_read,
            responses_pending=responses_pending,
            streaming=self._responses.streaming,
            behind=not responses_pending and unsent_bytes(self._socket) > 0,
            partial_command=self.has_partial_command,
            reading_paused=self._throttled or self._held,
            half_closed_ms=self.write_closed_ms if self.ended else None,
            closing_after_responses=self._broken,
            stalled_ms=self._owner.stalled_ms(self),
            command_ms=self.command_begun_ms,
        )

    @property
    def open_request_ids(self) -> list[str]:
        """Return the ids of the open requests, in the order of their commands."""
        return self._responses.open_request_ids

    @property
    def age_ms(self) -> float:
        """Return the time in ms since the connection was accepted."""
        return self._owner.timer_wheel.now() - self._accepted_ms

    def describe_delivery(self) -> str:
        """Return who holds the bytes that the client has not acknowledged, for the log."""
        found = self.delivery()
        last_answer = f"last answer to {self._last_answered_id or 'no request'}"
        return (
            f"unread: {found.in_process_bytes} bytes buffered here, {found.in_kernel_bytes} in the kernel, "
            f"{found.acknowledged_bytes} acknowledged, room for {self._outgoing.room}, "
            f"{self._responses.describe()}, {last_answer}"
        )

    @property
    def held_bytes(self) -> int:
        """Return the memory that is held for this client, besides the connection and its open requests."""
        return super().held_bytes + self._responses.held_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes in the outgoing buffer."""
        return len(self._outgoing)

    # Last responses -----------------------------------------------------------------------------

    def _send_line(self, data: bytes) -> None:
        response = PendingResponse(data)
        self._responses.pending.append(response)
        self.send_responses()
        self._responses.hold_unsent(response)

    def _send_final_line(self, data: bytes) -> None:
        self._discard_commands()
        self._send_line(data)

    def _discard_commands(self) -> None:
        """Handle no more commands; the connection is closed once all responses are sent."""
        self._broken = True
        self._incoming.clear()
        self.hold()

    # Closing ------------------------------------------------------------------------------------

    def end(self, abort: bool = False, half_close: bool = False) -> None:
        """Close the connection, after the outgoing bytes unless it is aborted."""
        if not (self.ended or abort):
            self._owner.write_side_closed(self)  # starts a timeout, since the client may never read the rest
        super().end(abort, half_close)

    def abandon(self) -> list[Request]:
        """Abort the connection of a client that has disconnected; return its requests that are still open."""
        self.set_close_reason(CloseReason.BY_CLIENT_MID_REQUEST)
        self.end(abort=True)
        return self._responses.abandon()

    def set_close_reason(self, reason: CloseReason, refused: WriteResult | None = None) -> None:
        """Record why the proxy closes the connection; only the first reason is kept.

        `refused`: the result of the write that failed, if that is the reason.
        """
        if self.close_reason is None:
            self.close_reason = reason
            details = [self.describe_delivery()] if self.delivery().undelivered_bytes else []
            if refused is not None:
                details.append(f"write refused: {refused.value}")
            self.undelivered_at_close = ", ".join(details)

    def close_overdue(self, reason: CloseReason) -> bool:
        """Close a connection that had no open request for too long; return False if input may be unread."""
        if not self.has_partial_command:
            return self.close_between_requests(reason)
        if self.ended or self._broken or self._throttled or self.has_unread_bytes():
            return False
        self.set_close_reason(reason)
        self.reject_and_close("half a command")
        return True

    def close_between_requests(self, reason: CloseReason, allow_partial_command: bool = False) -> bool:
        """Close between requests, unless a request could be lost; return whether the connection was closed.

        `allow_partial_command`: close also after a partial command, which is answered as busy. While reading
        is throttled the connection stays open, since complete requests may follow the malformed commands.
        """
        if self.ended or self._responses.pending or self._writing or self._throttled or self._awaits_turn:
            return False
        if (not allow_partial_command and not self.is_between_requests) or self.has_unread_bytes():
            return False
        self._close_write_side(reason)
        return True

    def _close_write_side(self, reason: CloseReason) -> None:
        self.set_close_reason(reason)
        if self.has_partial_command:
            # The rest of the command may be on its way and would complete a request, which needs a response.
            self._send_final_line(BUSY)
            return
        self.ended = True
        # The socket is shut down here and not in the reactor's next iteration, since a request that came in
        # between would be lost. A client that sees the connection end resends its request elsewhere.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)
        self._owner.write_side_closed(self)

    def force_close_write_side(self, reason: CloseReason) -> None:
        """Close the sending side although input may be unread, for a client that sends without pause.

        Commands that have been read or can be read at once are answered first. One that comes later gets no
        response; its client sees the connection end and resends it elsewhere. The connection stays open for
        now if the commands are too many for this tick.
        """
        self._handle_unread()
        closes = not (self.ended or self._broken or self._responses.pending or self._writing)
        if closes and not self._awaits_turn:
            self._close_write_side(reason)

    def close_after_responses(self, reason: CloseReason) -> None:
        """Close the connection once all responses are sent; commands that come until then are discarded."""
        self.set_close_reason(reason)
        self._discard_commands()
        self.send_responses()

    def _handle_unread(self) -> None:
        """Handle the commands that have been read, and up to `FINAL_READ_BYTES` that can be read at once."""
        allowance, self.allowance = self.allowance, self._owner.drainer.final_allowance
        try:
            self._handle_waiting_commands()
            if not self.ended and (data := read_now(self._socket, FINAL_READ_BYTES)):
                self.dataReceived(data)
                self._handle_waiting_commands()
        finally:
            self.allowance = allowance

    def _handle_waiting_commands(self) -> None:
        """Handle the commands that have been read but wait for a turn or the end of a pause."""
        while (self._held or self._throttled) and not (self._broken or self.ended or self._responses.pending):
            waiting_bytes = len(self._incoming)
            self._throttled = self._awaits_turn = False
            self._resume()
            if waiting_bytes and len(self._incoming) == waiting_bytes:
                return

    def close_now(self, reason: CloseReason) -> list[Request]:
        """Close both sides; return the requests that are still open, which get no response.

        Commands that can be read at once are answered first. Bytes that the kernel has taken still reach the
        client; the others are dropped. The client can tell by its length that a response is incomplete.
        """
        if not (self.ended or self._responses.pending):
            self._handle_unread()
        self.set_close_reason(reason)
        open_requests = self._responses.abandon()
        self.ended = True
        discard_unread(self._socket)
        close_both_sides(self.transport)
        return open_requests

    def _close_after_responses(self) -> None:
        """Close only the sending side, after the last response.

        A close of both sides over unread input would be a reset, and the client might lose the response.
        """
        if not self.ended:
            self.end(half_close=True)
            self.transport.resumeProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        super().connectionLost(reason)
        if self._responses.pending:
            self._owner.clients_disconnected([self])
        self._responses.free_memory()
        self._owner.connection_closed(self)
