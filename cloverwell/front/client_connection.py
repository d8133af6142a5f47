"""One client's connection, in the memcache meta commands."""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.lines import PEEK_FLAGS, closed_by_peer, discard_unread, read_now, received_ago_ms
from cloverwell.codec.meta import CommandFields
from cloverwell.codec.steady_socket import TryAgainError
from cloverwell.codec.transport import close_both_sides
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.closing import ClosingState
from cloverwell.front.command_receiver import CommandReceiver
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.front.meta_answers import BUSY, DRAINING, SERVING, encode_answer, encode_error
from cloverwell.front.pending_response import PendingResponse
from cloverwell.front.response_queue import ResponseQueue
from cloverwell.request import FinalAnswer, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue
from cloverwell.timer_wheel import STALL_MS

MAX_PIPELINED_COMMANDS = 64  # pipelining limit: with so many responses pending, the connection is not read
# Malformed commands in a row: so many cost no pause of reading, and so many close the connection.
UNTHROTTLED_MALFORMED_COMMANDS = 8
MAX_MALFORMED_COMMANDS = 24
MALFORMED_COMMAND_PAUSE_MS = 50.0
DISCARD_PAUSE_MS = 5.0  # between two reads of what is discarded once framing is lost
FINAL_READ_BYTES = 8 * 1024  # of what is unread when a connection is closed whatever is
STREAM_PIECE_BYTES = 32 * 1024  # bytes that the transport holds while its client does not read


class ClientConnection(CommandReceiver):
    """One client's connection: commands become requests, and responses leave in the order of the commands."""

    piece_bytes = STREAM_PIECE_BYTES
    transport: Any  # Twisted's TCP transport, which is also a producer of bytes

    def __init__(self, owner: ConnectionOwner[ClientConnection], peer: str = "") -> None:
        """Create the connection of a client that has just been accepted; `peer` is its address."""
        super().__init__(owner.classes, owner.tenants)
        self.peer = peer
        self.close_reason: CloseReason | None = None  # why this side closes it, once it does
        self._owner = owner
        self._responses = ResponseQueue(self, owner)
        self._malformed_count = 0  # malformed commands in a row
        self._throttled = False  # Reading is paused because of malformed commands.
        self._nothing_read = True
        self._partial_command_reported = False
        self._created_ms = self.write_closed_ms = owner.timer_wheel.now()  # when our side was closed

    # Reading ------------------------------------------------------------------------------------

    def waited_in_accept_queue(self, since_ms: float) -> None:
        """Record that what is read first may have been sent since then, before the accept."""
        self._arrival.record_accepted(since_ms)

    def connectionMade(self) -> None:
        """Start reading."""
        super().connectionMade()
        self._check_buffer_empty()

    def dataReceived(self, data: bytes) -> None:
        """Handle bytes from the client."""
        if self.ended or self._broken:
            # Reading goes on, so that the client gets its response rather than a reset; but at little cost.
            self._throttle(DISCARD_PAUSE_MS)
            return
        unread_delay_ms = self._owner.timer_wheel.unread_delay_ms
        # After a wait to be accepted or an event-loop stall, the client's close may be behind these bytes.
        may_be_old = self._nothing_read or unread_delay_ms > STALL_MS
        self._nothing_read = False
        if may_be_old and closed_by_peer([self._socket]):
            self._owner.clients_disconnected([self])
            return
        if not self._held:  # else these bytes follow others that are not handled yet
            begins_command = not (len(self._incoming) or self._awaited_bytes)
            self._arrival.record_read(self._owner.timer_wheel.now(), begins_command, unread_delay_ms)
            self._check_buffer_empty()
        super().dataReceived(data)
        self._report_partial_command()

    def _report_partial_command(self) -> None:
        reported = self._partial_command_reported
        self._partial_command_reported = self.has_partial_command
        if reported:
            self._owner.partial_command_grew(self)
        elif self._partial_command_reported:
            # Its timeout runs from the first byte: sending a byte now and then does not prolong it.
            self._owner.no_open_request(self)

    def hold(self) -> None:
        """Read no more until `release`."""
        super().hold()
        self._owner.paused_connections[self] = None
        self._arrival.record_reading_paused(self._owner.timer_wheel.now())

    def release(self) -> None:
        """Read on."""
        self._owner.paused_connections.pop(self, None)
        if self._held:
            self._check_buffer_empty()
        super().release()

    def _check_buffer_empty(self) -> None:
        if self._arrival.may_have_waited and not self.has_unread_bytes():
            self._arrival.record_buffer_empty()

    def _throttle(self, pause_ms: float) -> None:
        """Pause reading for a while."""
        if not self._throttled:
            self._throttled = True
            self.transport.pauseProducing()
            timer_wheel = self._owner.timer_wheel
            timer_wheel.not_before(timer_wheel.now() + pause_ms, self._end_throttle)

    def _end_throttle(self) -> None:
        self._throttled = False
        if self.ended or self._broken:
            self.transport.resumeProducing()
        else:
            self.send_responses()

    # Commands -----------------------------------------------------------------------------------

    def probe_received(self) -> None:
        """Answer whether this process serves."""
        self._malformed_count = 0
        self._owner.request_started(self)
        self._send_line(SERVING if self._owner.serving.is_in_rotation else DRAINING)

    def request_received(self, fields: CommandFields, write: bool, value: bytes) -> None:
        """Start a request, whose response has its place behind those of the commands before it."""
        # The client's timeout counts from the first byte, which may have been unread for a while, or have
        # come long before the last one.
        left_ms = self._arrival.remaining_ms(self._owner.timer_wheel.now(), fields.wait_ms)
        if self._arrival.waited_for_accept:
            left_ms = min(left_ms, fields.wait_ms - received_ago_ms(self._socket))
        response = PendingResponse()
        request = response.request = Request(
            id=fields.id,
            class_number=fields.class_number,
            tenant=fields.tenant,
            key=fields.key,
            write=write,
            left_ms=left_ms,
            value=value,
            info=fields.info,
            answer=partial(self._respond, response),
        )
        self._malformed_count = 0
        self._responses.pending.append(response)
        self._owner.request_started(self)
        if len(self._responses.pending) >= MAX_PIPELINED_COMMANDS:
            self.hold()
        if self._owner.should_reject(request):
            request.finish(Rejected(self._owner.retry_after_ms))
        else:
            self._owner.dispatcher.accept(request)

    def reject_command(self, reason: str) -> None:
        """Answer a malformed command, ever more slowly where one follows the other."""
        self._malformed_count += 1
        if self._malformed_count >= MAX_MALFORMED_COMMANDS:
            self.reject_and_close(reason)
            return
        if self._malformed_count > UNTHROTTLED_MALFORMED_COMMANDS:
            # A client that repeats malformed commands at once must not take the others' time.
            self.hold()
            self._throttle(MALFORMED_COMMAND_PAUSE_MS)
        self._send_line(encode_error(reason))

    def reject_and_close(self, reason: str) -> None:
        """Reject a command behind which no other can be found; responses that are pending leave before."""
        self.closing_because(CloseReason.MALFORMED)
        self._send_last_line(encode_error(reason))

    # Responses ----------------------------------------------------------------------------------

    def _respond(self, response: PendingResponse, request: Request, answer: FinalAnswer) -> None:
        """Take a request's final answer."""
        response.request = None  # Request and response refer to each other: a cycle would need the collector.
        response.data = encode_answer(request, answer)
        if isinstance(answer, Served) and isinstance(answer.body, StreamedValue):
            response.stream = answer.body
            response.stream.wanted = True
        self.send_responses()

    def _send_line(self, data: bytes) -> None:
        self._responses.pending.append(PendingResponse(data))
        self.send_responses()

    def _send_last_line(self, data: bytes) -> None:
        self._broken = True
        self._incoming.clear()
        self.hold()
        self._send_line(data)

    def send_responses(self) -> None:
        """Send the responses that are known; then close the connection if it is time, or read on."""
        pending = self._responses.pending
        self._responses.send()
        if not pending:
            self._owner.no_open_request(self)
            if self._broken:
                self._close_after_responses()
                return
            # A client that always sends its next request at once is never seen idle by the periodic check.
            if self._owner.drainer.is_closing and not self._parsing:
                self._owner.drainer.advance(self)
        elif pending[0].data is not None:
            self._owner.blocked_by_client(self)
        if len(pending) >= MAX_PIPELINED_COMMANDS:
            self.hold()
        elif not self._broken and not self._throttled:
            self.release()

    def roomMade(self) -> None:
        """Send more: the transport has sent what it had."""
        self._owner.client_has_read(self)
        self._responses.resume_stream()
        self.send_responses()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the outgoing buffer."""
        return len(self._outgoing)

    # The end ------------------------------------------------------------------------------------

    @property
    def has_open_request(self) -> bool:
        """Whether a request is open."""
        return self._responses.has_open_request

    @property
    def between_requests(self) -> bool:
        """Whether no response is pending, and no part of a command has come."""
        return not self._responses.pending and not len(self._incoming) and not self._awaited_bytes

    @property
    def has_partial_command(self) -> bool:
        """Whether no response is pending, and a part of a command has come."""
        return not self._responses.pending and not self.between_requests

    @property
    def has_unsent_responses(self) -> bool:
        """Whether the client has not read all of its responses."""
        return self._writing

    @property
    def command_begun_ms(self) -> float:
        """When the first byte of the current command was read."""
        return self._arrival.first_byte_read_ms

    def closing_state(self) -> ClosingState:
        """Return what decides its close while the process is drained or stops."""
        return ClosingState(
            accepted_ms=self._created_ms,
            nothing_read=self._nothing_read,
            responses_pending=bool(self._responses.pending) or self._writing,
            streaming=self._responses.streaming,
            partial_command=self.has_partial_command,
            reading_paused=self._throttled or self._held,
            half_closed_ms=self.write_closed_ms if self.ended else None,
        )

    def end(self, abort: bool = False, half_close: bool = False) -> None:
        """Close the connection; unless it is aborted, what has been sent leaves first."""
        if not (self.ended or abort):
            self._owner.closing(self)  # a client that reads nothing must not keep the descriptor
        super().end(abort, half_close)

    def abandon(self) -> list[Request]:
        """Abort the connection of a client that has disconnected; return its open requests, to be ended."""
        self.closing_because(CloseReason.BY_CLIENT_MID_REQUEST)
        self.end(abort=True)
        return self._responses.abandon()

    def closing_because(self, reason: CloseReason) -> None:
        """Record why this side closes the connection; the first reason counts."""
        if self.close_reason is None:
            self.close_reason = reason

    @property
    def open_request_ids(self) -> list[str]:
        """The ids of its open requests, in the order of their commands."""
        return self._responses.open_request_ids

    @property
    def age_ms(self) -> float:
        """How long ago it was accepted."""
        return self._owner.timer_wheel.now() - self._created_ms

    def close_overdue(self, reason: CloseReason) -> bool:
        """Close a connection that has had no open request for too long; return whether it could be closed."""
        if not self.has_partial_command:
            return self.close_between_requests(reason)
        if self.ended or self._broken or self._throttled or self.has_unread_bytes():
            return False
        self.closing_because(reason)
        self.reject_and_close("half a command")
        return True

    def close_between_requests(self, reason: CloseReason, cut: bool = False) -> bool:
        """Close between requests, if no request can be lost by it; return whether it was closed.

        `cut`: close also behind a partial command. While malformed commands pause the reading, complete
        requests may be unread behind them.
        """
        if self.ended or self._responses.pending or self._writing or self._throttled:
            return False
        if (not cut and not self.between_requests) or self.has_unread_bytes():
            return False
        self._close_our_side(reason)
        return True

    def _close_our_side(self, reason: CloseReason) -> None:
        self.closing_because(reason)
        if self.has_partial_command:
            # The rest of the command would complete a request, which must get a response.
            self._send_last_line(BUSY)
            return
        self.ended = True
        self._owner.closing(self)
        # At once, not in the reactor's next iteration: a request that comes before that would be lost. The
        # client sees the end, closes its side, and sends elsewhere what crossed it.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def end_our_side(self, reason: CloseReason) -> None:
        """Close our side, whatever is unread, for a client that sends without pause.

        What has been read and what can be read at once is answered first. What comes later has crossed the
        close, and the client sends it elsewhere.
        """
        self._handle_unread()
        if not (self.ended or self._broken or self._responses.pending or self._writing):
            self._close_our_side(reason)

    def _handle_unread(self) -> None:
        """Handle the commands that wait, and some of those that can be read at once."""
        self._handle_waiting_commands()
        if not self.ended and (data := read_now(self._socket, FINAL_READ_BYTES)):
            self.dataReceived(data)
            self._handle_waiting_commands()

    def _handle_waiting_commands(self) -> None:
        """Handle what has been read and waits behind malformed commands, or at the pipeline limit."""
        while (self._held or self._throttled) and not (self._broken or self.ended or self._responses.pending):
            waiting_bytes = len(self._incoming)
            self._throttled = False
            self.release()
            if waiting_bytes and len(self._incoming) == waiting_bytes:
                return

    def close_now(self, reason: CloseReason) -> list[Request]:
        """Close both sides; return the requests that are still open, which get no answer.

        What can be read at once is answered first. What the kernel has taken still reaches the client. The
        rest is dropped: such a client reads nothing, and can tell by the length that an answer is not whole.
        """
        if not (self.ended or self._responses.pending):
            self._handle_unread()
        self.closing_because(reason)
        open_requests = self._responses.abandon()
        self.ended = True
        discard_unread(self._socket)
        close_both_sides(self.transport)
        return open_requests

    def _close_after_responses(self) -> None:
        """Close our side only, behind the last response.

        A close of both sides with bytes unread would be a reset, and the client might not read the response.
        """
        if not self.ended:
            self.end(half_close=True)
            self.transport.resumeProducing()

    def has_unread_bytes(self) -> bool:
        """Return whether a request may be in the socket's buffer, which a close would lose."""
        try:
            return bool(self._socket.recv(1, PEEK_FLAGS))
        except TryAgainError:
            return True  # It could not be checked.
        except OSError:
            return False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the end of the connection."""
        super().connectionLost(reason)
        if self._responses.pending:
            self._owner.clients_disconnected([self])
        self._owner.closed(self)
