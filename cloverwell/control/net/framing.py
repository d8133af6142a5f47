"""Frames of a byte stream, and back. No I/O.

A frame is a length and a body: 4 bytes, unsigned, big-endian, then so many bytes. What a body holds, its
version byte first, is `wire`'s. A decoder that has raised an error has lost its place in the stream: the
connection has to be closed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from cloverwell.control.messages import MAX_MESSAGE_BYTES

HEADER = struct.Struct(">I")


class FramingError(Exception):
    """The stream can't be cut into frames any more; the text says why."""


class FrameTooLongError(FramingError):
    """A frame announces, or a body has, more bytes than a frame may have."""


class EmptyFrameError(FramingError):
    """A frame announces no body: no message is empty."""


def encode_frame(body: bytes, max_body_bytes: int = MAX_MESSAGE_BYTES) -> bytes:
    """Length and body. Raises `FramingError`."""
    _check(len(body), max_body_bytes)
    return HEADER.pack(len(body)) + body


def _check(length: int, max_body_bytes: int) -> None:
    if length > max_body_bytes:
        raise FrameTooLongError(f"a body of {length} bytes, {max_body_bytes} at most")
    if not length:
        raise EmptyFrameError("a frame without a body")


class FrameDecoder:
    """Cuts a stream into bodies, wherever its pieces begin and end; holds one incomplete frame at most."""

    def __init__(self, max_body_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_body_bytes = max_body_bytes  # may change between two frames
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The bodies that are complete now, in order.

        Raises `FramingError` behind the bodies before the fault. The iterator has to be used up before the
        next call.
        """
        self._buffer += data
        return self._bodies()

    def _bodies(self) -> Iterator[bytes]:
        start = 0
        try:
            while (end := self._frame_end(start)) is not None:
                body = bytes(memoryview(self._buffer)[start + HEADER.size : end])
                start = end
                yield body
        finally:
            del self._buffer[:start]

    def _frame_end(self, start: int) -> int | None:
        """Where the frame that begins at `start` ends; None while it is incomplete."""
        available = len(self._buffer) - start
        if available < HEADER.size:
            return None
        (length,) = HEADER.unpack_from(self._buffer, start)
        _check(length, self.max_body_bytes)
        end = start + HEADER.size + length
        return end if end <= len(self._buffer) else None
