"""Length-prefixed frames in a byte stream. No I/O.

A frame is a length (4 bytes, unsigned, big-endian) and a body of that many bytes. `wire` defines the content
of a body, which begins with a version byte. A decoder that has raised an error no longer knows where the next
frame begins, so the connection has to be closed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from cloverwell.control.messages import MAX_MESSAGE_BYTES
from cloverwell.control.net.errors import EmptyFrameError, FrameTooLongError

HEADER = struct.Struct(">I")


def encode_frame(body: bytes, max_body_bytes: int = MAX_MESSAGE_BYTES) -> bytes:
    """Returns a frame: the length of the body, then the body. Raises `FramingError`."""
    _check_length(len(body), max_body_bytes)
    return HEADER.pack(len(body)) + body


def _check_length(body_bytes: int, max_body_bytes: int) -> None:
    """Raises `FramingError` for a body that is empty or too long."""
    if body_bytes > max_body_bytes:
        raise FrameTooLongError(body_bytes, max_body_bytes)
    if not body_bytes:
        raise EmptyFrameError


class FrameDecoder:
    """Splits a stream into the bodies of its frames, wherever the received pieces begin and end.

    A decoder buffers one incomplete frame at most. `max_body_bytes` may be changed between two frames.
    """

    def __init__(self, max_body_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Sets the size of the largest body that is accepted."""
        self.max_body_bytes = max_body_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes received so far of a frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Takes a piece of the stream, and yields the bodies that are now complete, in order.

        Raises `FramingError` after it has yielded all bodies before the invalid frame. The iterator has to be
        exhausted before the next call.
        """
        self._buffer += data
        return self._complete_bodies()

    def _complete_bodies(self) -> Iterator[bytes]:
        start = 0
        try:
            while (end := self._frame_end(start)) is not None:
                body = bytes(memoryview(self._buffer)[start + HEADER.size : end])
                start = end
                yield body
        finally:
            del self._buffer[:start]

    def _frame_end(self, start: int) -> int | None:
        """Returns the offset in the buffer where the frame at `start` ends; None while it is incomplete."""
        available_bytes = len(self._buffer) - start
        if available_bytes < HEADER.size:
            return None
        (body_bytes,) = HEADER.unpack_from(self._buffer, start)
        _check_length(body_bytes, self.max_body_bytes)
        end = start + HEADER.size + int(body_bytes)
        return end if end <= len(self._buffer) else None
