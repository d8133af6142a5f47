"""One client's connection: receives memcache meta commands and sends their responses."""

from __future__ import annotations

from functools import partial

from cloverwell.codec.meta import CommandFields
from cloverwell.codec.socket_state import received_ago_ms
from cloverwell.connections.close_reason import CloseReason
from cloverwell.front.closable_connection import ClosableConnection
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.front.meta_answers import BUSY, DRAINING, SERVING, encode_answer, encode_busy, encode_error
from cloverwell.front.pending_response import PendingResponse
from cloverwell.memory_budget import Urgency
from cloverwell.request import FinalAnswer, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue

MAX_PIPELINED_COMMANDS = 64  # With this many responses pending, reading from the connection is paused.
# The same while new requests are rejected: those behind a full pipeline are rejected in the order of their
# commands meanwhile, since there is no time for hundreds of them once the requests before them are failed.
MAX_REJECTED_COMMANDS = 1024
# Malformed commands in a row: beyond the first number each one pauses reading, the second number closes.
UNTHROTTLED_MALFORMED_COMMANDS = 8
MAX_MALFORMED_COMMANDS = 24
MALFORMED_COMMAND_PAUSE_MS = 50.0  # how long reading is paused after such a command
STREAM_PIECE_BYTES = 32 * 1024  # the most bytes that Twisted's transport buffers for a client


class ClientConnection(ClosableConnection):
    """Turns a client's commands into requests, and sends the responses in the order of the commands."""

    __slots__ = ("_malformed_count",)

    piece_bytes = STREAM_PIECE_BYTES

    def __init__(self, owner: ConnectionOwner[ClientConnection], peer: str = "") -> None:
        """Set up the connection of a client that has just been accepted; `peer` is its address."""
        super().__init__(owner, peer)
        self._malformed_count = 0  # malformed commands in a row

    # Commands -----------------------------------------------------------------------------------

    def probe_received(self) -> None:
        """Answer the command `mn`: this process serves, or it is draining."""
        self._malformed_count = 0
        self._owner.request_started(self)
        self._send_line(SERVING if self._owner.serving.is_in_rotation else DRAINING)

    def request_received(self, fields: CommandFields, write: bool, value: bytes) -> None:
        """Start a request; its response is sent after those of the earlier commands."""
        # The client's timeout counts from the command's first byte, which may have stayed unread in the
        # socket's buffer for a while, or have come long before the last one.
        remaining_ms = self._arrival.remaining_ms(self._owner.timer_wheel.now(), fields.wait_ms)
        if self._arrival.waited_for_accept:
            remaining_ms = min(remaining_ms, fields.wait_ms - received_ago_ms(self._socket))
        response = PendingResponse()
        request = response.request = Request(
            id=fields.id,
            class_number=fields.class_number,
            tenant=fields.tenant,
            key=fields.key,
            is_write=write,
            time_left_ms=remaining_ms,
            value=value,
            info=fields.info,
            on_answer=partial(self._respond, response),
            memory_urgency=self._response_urgency,
        )
        self._malformed_count = 0
        self._responses.pending.append(response)
        self._owner.request_started(self)
        if len(self._responses.pending) >= MAX_PIPELINED_COMMANDS and self._is_pipeline_full():
            self.hold()
        if self._owner.should_reject(request):
            request.complete(Rejected(self._owner.retry_after_ms))
        else:
            self._owner.dispatcher.accept(request)

    def reject_command(self, reason: str) -> None:
        """Answer a malformed command with an error, throttling a client that sends many in a row."""
        self._malformed_count += 1
        if self._malformed_count >= MAX_MALFORMED_COMMANDS:
            self.reject_and_close(reason)
            return
        if self._malformed_count > UNTHROTTLED_MALFORMED_COMMANDS:
            # A client that floods the proxy with malformed commands must not slow down the others.
            self.hold()
            self._throttle(MALFORMED_COMMAND_PAUSE_MS)
        self._send_line(encode_error(reason))

    def reject_and_close(self, reason: str) -> None:
        """Reject a command after which the next can't be found, and close once all responses are sent."""
        self.set_close_reason(CloseReason.MALFORMED)
        self._send_final_line(encode_error(reason))

    def reject_write(self, fields: CommandFields) -> None:
        """Reject a write at once whose value there is no memory for."""
        self._malformed_count = 0
        self._owner.dispatcher.record_rejection(fields.id, "memory")
        self._send_line(encode_busy(self._owner.retry_after_ms))

    def reject_half_line(self) -> None:
        """Reject the beginning of a command that there is no memory for, and close the connection."""
        self.set_close_reason(CloseReason.NO_MEMORY)
        self._send_final_line(BUSY)

    def give_up_partial_command(self) -> bool:
        """Free the memory of a partial command; return False if it holds none."""
        if not len(self._incoming) or self._held or self.ended or self._broken:
            return False
        self.memory_refused()
        return True

    # Responses ----------------------------------------------------------------------------------

    def _response_urgency(self) -> Urgency:
        """Return how urgent the memory for another response is."""
        return Urgency.SLOW if self._writing else Urgency.PROMPT

    def _respond(self, response: PendingResponse, request: Request, answer: FinalAnswer) -> None:
        """Store a request's final answer as its response, and send what can be sent."""
        self._last_answered_id = request.id
        response.request = None  # breaks a reference cycle, which would wait for the garbage collector
        response.data = encode_answer(request, answer)
        if isinstance(answer, Served) and isinstance(answer.body, StreamedValue):
            response.stream = answer.body
            response.stream.has_sink = True
        self.send_responses()
        if response.data is not None:
            self._responses.hold_unsent(response)

    def send_responses(self) -> None:
        """Send the responses that are known; then close the connection if that is due, or resume reading."""
        pending = self._responses.pending
        self._responses.send()
        if not pending:
            if not self._awaits_turn:
                self._owner.no_open_request(self)
            if self._broken:
                self._close_after_responses()
                return
            # A client that always sends its next request at once is never idle when the periodic check runs.
            if self._owner.drainer.is_closing and not self._parsing:
                self._owner.drainer.advance(self)
        if len(pending) >= MAX_PIPELINED_COMMANDS and self._is_pipeline_full():
            self.hold()
        elif self._held and not self._broken and not self._throttled:
            self.release()

    def _is_pipeline_full(self) -> bool:
        limit = MAX_REJECTED_COMMANDS if self._owner.drainer.rejects_requests else MAX_PIPELINED_COMMANDS
        return len(self._responses.pending) >= limit

    def roomMade(self) -> None:
        """Send more responses, since the outgoing buffer has room again."""
        self._responses.resume_stream()
        self.send_responses()

    def outgoing_blocked(self) -> None:
        """Have the owner observe what the client takes, since the kernel does not take all at once."""
        self._owner.responses_blocked(self)
