"""Sends the responses of one connection in the order of its commands."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import Any, Protocol, assert_never
from weakref import proxy

from cloverwell.codec.write_result import WriteResult
from cloverwell.connections.close_reason import CloseReason
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.front.meta_answers import FAILED
from cloverwell.front.pending_response import PendingResponse
from cloverwell.front.response_stream import ResponseStream, has_room_for_stream
from cloverwell.memory_budget import MemoryAccount, MemoryUse
from cloverwell.request import Request
from cloverwell.streamed_value import StreamedValue, StreamStage

# The limits of the responses that are joined for one write.
MAX_JOINED_RESPONSES = 64
MAX_JOINED_BYTES = 16 * 1024
LINE_END = b"\r\n"  # ends a long value
RESPONSE_BYTES = 200  # what a pending response takes besides its bytes


class SendingConnection(Protocol):
    """The interface of the connection on which the queue sends."""

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes in the connection's outgoing buffer."""

    @property
    def has_unsent_responses(self) -> bool:
        """Return whether bytes of a response are still to be handed to the kernel."""

    def try_write(self, data: bytes) -> WriteResult:
        """Send or buffer all of the data, or nothing of it."""

    def end(self, abort: bool = False) -> None:
        """Close the connection, after the outgoing bytes unless it is aborted."""

    def set_close_reason(self, reason: CloseReason, refused: WriteResult | None = None) -> None:
        """Record why the proxy closes the connection; `refused` is the result of a write that failed."""

    def send_responses(self) -> None:
        """Send the responses that are known; then close the connection or resume reading, as is due."""


class ResponseQueue:
    """Holds the pending responses, and the streamed value that is being sent."""

    __slots__ = ("_account", "_connection", "_owner", "_stream", "_stream_end_unsent", "pending")

    def __init__(self, connection: SendingConnection, owner: ConnectionOwner[Any]) -> None:
        """Set up an empty queue that sends on `connection`."""
        # The connection owns its queue. A reference back would leave both to the garbage collector.
        self._connection: SendingConnection = proxy(connection)
        self._owner = owner
        self._stream: ResponseStream | None = None
        self._stream_end_unsent = False  # whether the end of a long value may still be in the outgoing buffer
        self.pending: deque[PendingResponse] = deque()
        self._account = MemoryAccount(owner.memory, MemoryUse.RESPONSES)

    def hold_unsent(self, response: PendingResponse) -> None:
        """Charge what of a response could not be written at once, until it is written."""
        if response.data is not None:
            if response.held_bytes:
                self._release(response)
            response.held_bytes = len(response.data) + RESPONSE_BYTES
            self._account.hold(self._account.held_bytes + response.held_bytes)

    def _record_sent(self, response: PendingResponse) -> None:
        response.data = None
        if response.held_bytes:
            self._release(response)

    def _release(self, response: PendingResponse) -> None:
        self._account.hold(max(0, self._account.held_bytes - response.held_bytes))
        response.held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory that the pending responses take."""
        return self._account.held_bytes

    def free_memory(self) -> None:
        """Record that the connection is closed, so that nothing is held for it any more."""
        self._account.hold(0)

    @property
    def has_open_request(self) -> bool:
        """Return whether a request is open."""
        return any(response.request is not None for response in self.pending)

    @property
    def streaming(self) -> bool:
        """Return whether a long value is being sent or waits, or the kernel has not taken all bytes of it."""
        if self._stream_end_unsent and not self._connection.has_unsent_responses:
            self._stream_end_unsent = False
        return self._stream_end_unsent or any(response.stream is not None for response in self.pending)

    @property
    def open_request_ids(self) -> list[str]:
        """Return the ids of the open requests, in the order of their commands."""
        return [response.request.id for response in self.pending if response.request is not None]

    def describe(self) -> str:
        """Return how many responses are pending, and what the first of them waits for, for the log."""
        if not self.pending:
            return "no response pending"
        first = self.pending[0]
        if self._stream is not None:
            state = "a long value is being sent"
        elif first.data is None:
            state = "the first has no answer yet"
        elif first.stream is not None:
            state = "a long value waits for room"
        else:
            state = "the first waits for room"
        return f"{len(self.pending)} responses pending ({state})"

    def send(self) -> None:
        """Send the responses that are known, in the order of the commands, as far as there is room."""
        pending = self.pending
        while pending and (data := pending[0].data) is not None:
            response = pending[0]
            if self._stream is not None:
                self._send_piece(response, data)
                self.resume_stream()
                return
            if response.stream is not None:
                if not self._begin_stream(response, response.stream, data):
                    return
                continue
            if len(pending) > 1 and self._send_several():
                continue
            result = self._connection.try_write(data)
            match result:
                case WriteResult.ACCEPTED:
                    self._record_sent(response)
                    pending.popleft()
                case WriteResult.NO_ROOM:
                    return
                case WriteResult.CLOSED:
                    self._abort(result)
                    return
                case _:
                    assert_never(result)

    def _send_several(self) -> bool:
        """Send the short responses that are known with one write; return False if it sent none of them."""
        known: list[bytes] = []
        size_bytes = 0
        for response in islice(self.pending, MAX_JOINED_RESPONSES):
            if response.data is None or response.stream is not None:
                break
            size_bytes += len(response.data)
            if size_bytes > MAX_JOINED_BYTES:
                break
            known.append(response.data)
        if len(known) < 2:
            return False
        # If they are refused, the first of them is tried alone, and the result of that counts.
        if self._connection.try_write(b"".join(known)) is not WriteResult.ACCEPTED:
            return False
        for _ in known:
            self._record_sent(self.pending.popleft())
        return True

    def resume_stream(self) -> None:
        """Resume the source of a streamed value, if its last piece is sent and the client has read enough."""
        if self._stream is not None and self.pending[0].data is None:
            self._stream.resume()

    def abandon(self) -> list[Request]:
        """Drop all responses of a client that has disconnected, and return its open requests."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        abandoned = list(self.pending)
        self.pending.clear()
        self.free_memory()
        open_requests = []
        for response in abandoned:
            if response.stream is not None:
                response.stream.cancel()
            if response.request is not None:
                open_requests.append(response.request)
                response.request = None  # breaks a reference cycle
        return open_requests

    # A long value ---------------------------------------------------------------------------------

    def _begin_stream(self, response: PendingResponse, value: StreamedValue, head: bytes) -> bool:
        """Begin to send a long value once there is room for its pieces; return False if it has to wait.

        A value that breaks off before any of it was sent is replaced by an error.
        """
        if value.stage is StreamStage.ENDED:
            response.data, response.stream = FAILED, None
            return True
        if not has_room_for_stream(self._connection, self._owner):
            return False
        result = self._connection.try_write(head)
        match result:
            case WriteResult.ACCEPTED:
                self._record_sent(response)
                self._stream = ResponseStream(value, self, self._connection, self._owner)
                self._stream.start()
                return True
            case WriteResult.NO_ROOM:
                return False
            case WriteResult.CLOSED:
                self._abort(result)
                return False
            case _:
                assert_never(result)

    def piece_arrived(self, data: bytes) -> None:
        """Send the next bytes of the value, or keep them until there is room for them."""
        response = self.pending[0]
        if response.data is not None:
            data = response.data + data
        response.data = data
        self._send_piece(response, data)

    def _send_piece(self, response: PendingResponse, data: bytes) -> None:
        stream = self._stream
        assert stream is not None  # Pieces come from a stream only.
        result = self._connection.try_write(data)
        match result:
            case WriteResult.ACCEPTED:
                self._record_sent(response)
                stream.piece_sent()
            case WriteResult.NO_ROOM:
                stream.pause()
                self.hold_unsent(response)
            case WriteResult.CLOSED:
                self._abort(result)
            case _:
                assert_never(result)

    def stream_ended(self, complete: bool) -> None:
        """Send the responses after a streamed value, or close the connection if the value is incomplete."""
        self._stream = None
        response = self.pending[0]
        response.stream = None
        if complete:
            self._stream_end_unsent = True
            # The line end waits for room like a short response; nothing may be sent before it.
            response.data = LINE_END if response.data is None else response.data + LINE_END
            self._connection.send_responses()
            self.hold_unsent(response)
        else:
            self.pending.popleft()
            self._connection.set_close_reason(CloseReason.BROKEN_VALUE)
            # The client can tell by the announced length that the value is incomplete.
            self._connection.end()

    def _abort(self, refused: WriteResult) -> None:
        """Abort the connection, since the kernel reports with a write that it is gone."""
        self._connection.set_close_reason(CloseReason.NOT_SENT, refused)
        if self._stream is not None:
            self._stream.cancel()
            self._stream = None
        self._connection.end(abort=True)
