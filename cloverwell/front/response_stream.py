"""Sends one long value to its client while it arrives from a node."""

from __future__ import annotations

from typing import Any, Protocol

from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.streamed_value import StreamedValue


class StreamListener(Protocol):
    """The interface of the object that started a stream, and sends what arrives of the value."""

    def piece_arrived(self, data: bytes) -> None:
        """Send the next bytes of the value."""

    def stream_ended(self, complete: bool) -> None:
        """Handle the end of the value, which may be incomplete."""


class StreamingConnection(Protocol):
    """The interface of the connection on which a stream is sent."""

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes in the connection's outgoing buffer."""


def has_room_for_stream(connection: StreamingConnection, owner: ConnectionOwner[Any]) -> bool:
    """Return whether the client has read enough of what was sent before for more of a long value to come.

    The rest of the outgoing buffer then has room for the largest piece. Where this is False, bytes are on
    their way to the client, and the connection reports each time when some have been sent.
    """
    return connection.unsent_bytes <= owner.stream_buffer_bytes() // 2


class ResponseStream:
    """Forwards one value, and pauses its source while the client reads slowly."""

    __slots__ = ("_connection", "_listener", "_owner", "_value")

    def __init__(
        self,
        value: StreamedValue,
        listener: StreamListener,
        connection: StreamingConnection,
        owner: ConnectionOwner[Any],
    ) -> None:
        """Set up the stream and count it at `owner`, which divides its buffer among all streams."""
        self._value = value
        self._listener = listener
        self._connection = connection
        self._owner = owner
        owner.stream_count += 1

    def start(self) -> None:
        """Start to receive the value's pieces."""
        self._value.open(self._listener.piece_arrived, self._end)

    def piece_sent(self) -> None:
        """Pause the source, if the client is so far behind."""
        if self._connection.unsent_bytes > self._owner.stream_buffer_bytes():
            self._value.pause_source()

    def pause(self) -> None:
        """Pause the source, since its last piece waits for room."""
        self._value.pause_source()

    def resume(self) -> None:
        """Resume the source, if the client has read enough."""
        if has_room_for_stream(self._connection, self._owner):
            self._value.resume_source()

    def close(self) -> None:
        """Remove the stream from the count of streams."""
        self._owner.stream_count -= 1

    def cancel(self) -> None:
        """Stop the source, since nobody takes the value any more."""
        self.close()
        self._value.cancel()

    def _end(self, complete: bool) -> None:
        self.close()
        self._listener.stream_ended(complete)
