"""Messages as frames of a byte stream, and back. No I/O.

A frame is a header of five bytes and a body:

    version  1 byte, `VERSION`
    length   4 bytes, unsigned, big-endian: bytes of the body
    body     one message in MessagePack, a tagged struct of msgspec

A decoder that has raised an error has lost its place in the stream: the connection has to be closed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

VERSION = 1
HEADER = struct.Struct(">BI")
MAX_BODY_BYTES = 8 * 1024 * 1024  # a snapshot is the largest message

Message = TypeVar("Message")

_encoder = msgspec.msgpack.Encoder()


class FramingError(Exception):
    """The stream can't be cut into messages any more; the text says why."""


class UnknownVersionError(FramingError):
    """The peer speaks another version of the framing, or is no peer at all."""


class FrameTooLongError(FramingError):
    """A frame announces, or a message needs, more bytes than a frame may have."""


class MalformedMessageError(FramingError):
    """The body of a frame is no message of the expected types."""


def encode_frame(message: msgspec.Struct, max_body_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Header and body of one message. Raises `FrameTooLongError`."""
    body = _encoder.encode(message)
    if len(body) > max_body_bytes:
        raise FrameTooLongError(f"a body of {len(body)} bytes, {max_body_bytes} at most")
    return HEADER.pack(VERSION, len(body)) + body


class FrameDecoder(Generic[Message]):
    """Cuts a stream into messages, wherever its pieces begin and end; holds one incomplete frame at most."""

    def __init__(self, message_type: type[Message], max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """`message_type`: a tagged struct, or a union of such."""
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are complete now, in order.

        Raises `FramingError` at the first byte that can belong to no message, behind the messages before it.
        The iterator has to be used up before the next call.
        """
        self._buffer += data
        return self._messages()

    def _messages(self) -> Iterator[Message]:
        start = 0
        try:
            while (end := self._frame_end(start)) is not None:
                body = bytes(memoryview(self._buffer)[start + HEADER.size : end])
                start = end
                yield self._decode(body)
        finally:
            del self._buffer[:start]

    def _frame_end(self, start: int) -> int | None:
        """Where the frame that begins at `start` ends; None while it is incomplete."""
        available = len(self._buffer) - start
        if available and self._buffer[start] != VERSION:
            raise UnknownVersionError(f"framing version {self._buffer[start]}, not {VERSION}")
        if available < HEADER.size:
            return None
        _, length = HEADER.unpack_from(self._buffer, start)
        if length > self._max_body_bytes:
            raise FrameTooLongError(f"a body of {length} bytes, {self._max_body_bytes} at most")
        end = start + HEADER.size + length
        return end if end <= len(self._buffer) else None

    def _decode(self, body: bytes) -> Message:
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessageError(str(error)) from None
