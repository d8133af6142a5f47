"""Sends one long value to its client while it arrives from a node."""

from __future__ import annotations

from typing import Any, Protocol

from cloverwell.codec.write_result import WriteResult
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.streamed_value import StreamedValue


class StreamListener(Protocol):
    """The interface through which a stream reports its end to the object that started it."""

    def stream_ended(self, complete: bool) -> None:
        """Handle the end of the value, which may be incomplete."""

    def stream_failed(self, refused: WriteResult) -> None:
        """Handle a piece of the value that could not be sent."""


class StreamingConnection(Protocol):
    """The interface of the connection on which a stream is sent."""

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes in the connection's outgoing buffer."""

    def try_write(self, data: bytes) -> WriteResult:
        """Send or buffer all of the data, or nothing of it."""


class ResponseStream:
    """Forwards one value, and pauses its source while the client reads slowly."""

    __slots__ = ("_connection", "_owner", "_stream_listener", "_value")

    def __init__(
        self,
        value: StreamedValue,
        listener: StreamListener,
        connection: StreamingConnection,
        owner: ConnectionOwner[Any],
    ) -> None:
        """Set up the stream and count it at `owner`, which divides its buffer among all streams."""
        self._value = value
        self._stream_listener = listener
        self._connection = connection
        self._owner = owner
        owner.stream_count += 1

    def start(self) -> None:
        """Start to receive the value's pieces and to send them."""
        self._value.open(self._send, self._end)

    def resume(self) -> None:
        """Resume the source, if the client has read enough."""
        if self._connection.unsent_bytes <= self._owner.stream_buffer_bytes() // 2:
            self._value.resume_source()

    def close(self) -> None:
        """Remove the stream from the count of streams."""
        self._owner.stream_count -= 1

    def _send(self, data: bytes) -> None:
        result = self._connection.try_write(data)
        if result is not WriteResult.ACCEPTED:
            self.close()
            self._value.cancel()
            self._stream_listener.stream_failed(result)
        elif self._connection.unsent_bytes > self._owner.stream_buffer_bytes():
            self._value.pause_source()

    def _end(self, complete: bool) -> None:
        self.close()
        self._stream_listener.stream_ended(complete)
