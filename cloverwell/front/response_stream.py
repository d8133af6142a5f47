"""Sends one long value to its client while it comes from its node."""

from __future__ import annotations

from typing import Any, Protocol

from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.streamed_value import StreamedValue


class StreamUser(Protocol):
    """What a stream tells whoever started it."""

    def stream_ended(self, complete: bool) -> None:
        """Handle the end of the value, which may be incomplete."""

    def stream_failed(self) -> None:
        """Handle that a piece of the value could not be sent."""


class StreamingConnection(Protocol):
    """What a stream needs of the connection that it is sent on."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the connection's buffer."""

    def try_write(self, data: bytes) -> bool:
        """Send all of the data, or return False."""


class ResponseStream:
    """Passes on one value, and holds its source back while the client reads slowly."""

    __slots__ = ("_connection", "_owner", "_user", "_value")

    def __init__(
        self,
        value: StreamedValue,
        user: StreamUser,
        connection: StreamingConnection,
        owner: ConnectionOwner[Any],
    ) -> None:
        """Count the stream at the connections' owner, which divides its buffer among all streams."""
        self._value = value
        self._user = user
        self._connection = connection
        self._owner = owner
        owner.stream_count += 1

    def start(self) -> None:
        """Take the value's pieces from now on."""
        self._value.open(self._send, self._end)

    def resume(self) -> None:
        """Let the source go on if the client has read enough."""
        if self._connection.unsent_bytes <= self._owner.stream_buffer_bytes() // 2:
            self._value.resume_source()

    def close(self) -> None:
        """Count the stream no longer."""
        self._owner.stream_count -= 1

    def _send(self, data: bytes) -> None:
        if not self._connection.try_write(data):
            self.close()
            self._value.cancel()
            self._user.stream_failed()
        elif self._connection.unsent_bytes > self._owner.stream_buffer_bytes():
            self._value.pause_source()

    def _end(self, complete: bool) -> None:
        self.close()
        self._user.stream_ended(complete)
