"""Decodes the chunked transfer coding of HTTP/1.1 (RFC 9112, section 7.1). No I/O.

    chunked-body = *chunk last-chunk trailer-section CRLF
    chunk        = chunk-size [ chunk-ext ] CRLF chunk-data CRLF
    last-chunk   = 1*("0") [ chunk-ext ] CRLF

Whatever does not follow this grammar is malformed. Nothing is passed over, since a body in which one byte is
taken for another one looks like a right one.
"""

from __future__ import annotations

import re
from enum import Enum, auto

from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.codec.http_grammar import (
    CRLF,
    CRLF_BYTES,
    FIELD_LINE,
    OPTIONAL_WHITESPACE,
    QUOTED_STRING,
    TOKEN,
)

MAX_FRAMING_LINE_BYTES = 2048  # of a size with its extensions, or of a trailer field, with the line end
MAX_TRAILER_LINES = 64

_VALUE = rb"(?:%s|%s)" % (TOKEN, QUOTED_STRING)
_EXTENSION = rb"%(ows)s;%(ows)s%(token)s(?:%(ows)s=%(ows)s%(value)s)?" % {
    b"ows": OPTIONAL_WHITESPACE,
    b"token": TOKEN,
    b"value": _VALUE,
}
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:%s)*\r\n" % _EXTENSION)


class ChunkedState(Enum):
    """The part of the body that comes next."""

    SIZE = auto()  # chunk-size [ chunk-ext ] CRLF
    DATA = auto()  # chunk-data
    DATA_END = auto()  # the CRLF behind chunk-data
    TRAILER = auto()  # a line of the trailer section, or the empty line behind it
    COMPLETE = auto()  # The body has ended.


class ChunkedBodyDecoder:
    """Decodes one body, however its bytes are split.

    Attributes:
        state: the part of the body that comes next.
        body_bytes: the data of all chunks so far, also of the one that is arriving.
        partial: the beginning of a line, or of the CRLF behind a chunk, that is not complete yet.
        unused_bytes: how many of the last bytes that were passed have not been decoded.

    """

    __slots__ = (
        "_data_bytes_left",
        "_max_body_bytes",
        "_trailer_lines",
        "body_bytes",
        "partial",
        "state",
        "unused_bytes",
    )

    def __init__(self, max_body_bytes: int) -> None:
        """Start before the first chunk; a body whose chunks hold more than `max_body_bytes` is malformed."""
        self.state = ChunkedState.SIZE
        self.body_bytes = 0
        self._max_body_bytes = max_body_bytes
        self._data_bytes_left = 0  # of the chunk that is arriving
        self.partial = b""
        self.unused_bytes = 0
        self._trailer_lines = 0

    def decode(self, data: bytes, max_lines: int) -> list[bytes]:
        """Return the data of chunks in the next bytes of the body.

        No more than `max_lines` sizes and trailer fields are decoded. The last `unused_bytes` of `data`
        follow the body, or have to be passed again.

        Raises:
            MalformedMessageError: the bytes do not follow the grammar, or the body is too long.

        """
        if self.partial:
            data = self.partial + data
            self.partial = b""
        position, end = 0, len(data)
        pieces: list[bytes] = []
        while position < end and self.state is not ChunkedState.COMPLETE:
            if self.state is ChunkedState.DATA:
                position = self._read_data(data, position, pieces)
            elif self.state is ChunkedState.DATA_END:
                position = self._read_data_end(data, position)
            elif not max_lines:
                break
            elif self.state is ChunkedState.SIZE:
                position, max_lines = self._read_chunks(data, position, pieces, max_lines)
            else:
                position = self._read_trailer_line(data, position)
                max_lines -= 1
        self.unused_bytes = end - position
        return pieces

    def _read_chunks(
        self, data: bytes, position: int, pieces: list[bytes], max_lines: int
    ) -> tuple[int, int]:
        """Read as many chunks as are complete, and the size of the next one.

        A value may come in a great many chunks, so these are read in one loop. Returns the position behind
        what was read, and how many lines may still be decoded.
        """
        bytes_left = self._max_body_bytes - self.body_bytes
        while max_lines and (line := _SIZE_LINE.match(data, position)):
            max_lines -= 1
            size = int(line[1], 16)
            bytes_left -= size
            start, position = position, line.end()
            if position - start > MAX_FRAMING_LINE_BYTES:
                raise MalformedMessageError(MalformedReason.LINE_TOO_LONG)
            end = position + size
            if not size:
                self.state = ChunkedState.TRAILER
                break
            if bytes_left < 0:
                raise MalformedMessageError(MalformedReason.BODY_TOO_LONG)
            if data[end : end + CRLF_BYTES] != CRLF:
                self.state = ChunkedState.DATA
                self._data_bytes_left = size
                break
            pieces.append(data[position:end])
            position = end + CRLF_BYTES
        else:
            if max_lines and position < len(data):
                position = self._keep_partial_line(data, position, MalformedReason.CHUNK_SIZE)
        self.body_bytes = self._max_body_bytes - bytes_left
        return position, max_lines

    def _read_data(self, data: bytes, start: int, pieces: list[bytes]) -> int:
        """Read what there is of the data of a chunk, and return the position behind it."""
        position = min(len(data), start + self._data_bytes_left)
        pieces.append(data[start:position])
        self._data_bytes_left -= position - start
        if not self._data_bytes_left:
            self.state = ChunkedState.DATA_END
        return position

    def _read_data_end(self, data: bytes, start: int) -> int:
        """Read the CRLF behind the data of a chunk, and return the position behind it."""
        line_end = data[start : start + CRLF_BYTES]
        if line_end == CRLF:
            self.state = ChunkedState.SIZE
        elif CRLF.startswith(line_end):
            self.partial = line_end
        else:
            raise MalformedMessageError(MalformedReason.CHUNK_END)
        return start + len(line_end)

    def _read_trailer_line(self, data: bytes, start: int) -> int:
        """Read a trailer field, which is ignored, or the end of the body; return the position behind it."""
        line_end = data.find(CRLF, start)
        if line_end < 0:
            return self._keep_partial_line(data, start, MalformedReason.TRAILER)
        if line_end == start:
            self.state = ChunkedState.COMPLETE
            return start + CRLF_BYTES
        if line_end + CRLF_BYTES - start > MAX_FRAMING_LINE_BYTES:
            raise MalformedMessageError(MalformedReason.LINE_TOO_LONG)
        self._trailer_lines += 1
        if self._trailer_lines > MAX_TRAILER_LINES or not FIELD_LINE.fullmatch(data, start, line_end):
            raise MalformedMessageError(MalformedReason.TRAILER)
        return line_end + CRLF_BYTES

    def _keep_partial_line(self, data: bytes, start: int, reason: MalformedReason) -> int:
        """Keep an incomplete line for later, and return the position behind it.

        Raises:
            MalformedMessageError: the line is complete, so that it is malformed for `reason`, or too long.

        """
        if data.find(CRLF, start) >= 0:
            raise MalformedMessageError(reason)
        if len(data) - start >= MAX_FRAMING_LINE_BYTES:
            raise MalformedMessageError(MalformedReason.LINE_TOO_LONG)
        self.partial = data[start:]
        return len(data)
