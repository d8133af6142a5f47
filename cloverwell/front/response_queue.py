"""The responses of one connection, sent in the order of its commands."""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from cloverwell.connections.close_reason import CloseReason
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.front.meta_answers import FAILED
from cloverwell.front.pending_response import PendingResponse
from cloverwell.front.response_stream import ResponseStream
from cloverwell.request import Request
from cloverwell.streamed_value import StreamedValue, StreamStage


class SendingConnection(Protocol):
    """What the queue needs of its connection."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the connection's buffer."""

    @property
    def has_unsent_responses(self) -> bool:
        """Whether the kernel has not taken all that was put."""

    def try_write(self, data: bytes) -> bool:
        """Send all of the data, or return False."""

    def end(self, abort: bool = False) -> None:
        """Close the connection."""

    def closing_because(self, reason: CloseReason) -> None:
        """Record why the connection is closed."""

    def send_responses(self) -> None:
        """Send the responses that are known, and go on with what depends on that."""


class ResponseQueue:
    """The pending responses, and the streamed value that is being sent."""

    __slots__ = ("_connection", "_owner", "_stream", "_stream_end_unsent", "pending")

    def __init__(self, connection: SendingConnection, owner: ConnectionOwner[Any]) -> None:
        """Start with no pending response."""
        self._connection = connection
        self._owner = owner
        self._stream: ResponseStream | None = None
        self._stream_end_unsent = False  # all of a long value has been put, not all of it taken
        self.pending: deque[PendingResponse] = deque()

    @property
    def has_open_request(self) -> bool:
        """Whether a request is open."""
        return any(response.request is not None for response in self.pending)

    @property
    def streaming(self) -> bool:
        """Whether a long value is being sent, the end of which the kernel has not taken."""
        if self._stream_end_unsent and not self._connection.has_unsent_responses:
            self._stream_end_unsent = False
        return self._stream is not None or self._stream_end_unsent

    @property
    def open_request_ids(self) -> list[str]:
        """The ids of the open requests, in the order of their commands."""
        return [response.request.id for response in self.pending if response.request is not None]

    def send(self) -> None:
        """Send the responses that are known, in the order of the commands, as far as there is room."""
        pending = self.pending
        while pending and (data := pending[0].data) is not None:
            response = pending[0]
            if response.stream is not None and response.stream.stage is StreamStage.ENDED:
                # It broke before it was its turn, and nothing of it has been sent.
                data = response.data = FAILED
                response.stream = None
            if not self._connection.try_write(data):
                return
            if response.stream is None:
                pending.popleft()
            else:
                response.data = None
                self._start_stream(response.stream)

    def resume_stream(self) -> None:
        """Let a streamed value go on, if its client has read enough."""
        if self._stream is not None:
            self._stream.resume()

    def abandon(self) -> list[Request]:
        """Drop all responses of a client that has disconnected, and return its open requests."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        abandoned = list(self.pending)
        self.pending.clear()
        for response in abandoned:
            if response.stream is not None:
                response.stream.cancel()
        return [response.request for response in abandoned if response.request is not None]

    def _start_stream(self, value: StreamedValue) -> None:
        self._stream = ResponseStream(value, self, self._connection, self._owner)
        self._stream.start()

    # What a stream calls --------------------------------------------------------------------------

    def stream_ended(self, complete: bool) -> None:
        """Go on behind a streamed value, or close the connection if the value is incomplete."""
        self._stream = None
        self.pending.popleft()
        if complete:
            self._stream_end_unsent = True
            self._connection.try_write(
                b"\r\n"
            )  # There is room: the buffer is larger than what streams leave in it.
            self._connection.send_responses()
        else:
            self._connection.closing_because(CloseReason.BROKEN_VALUE)
            self._connection.end()  # The client can tell by the length that the value is incomplete.

    def stream_failed(self) -> None:
        """Abort the connection: a piece of a streamed value could not be sent."""
        self._stream = None
        self._connection.closing_because(CloseReason.NOT_SENT)
        self._connection.end(abort=True)
