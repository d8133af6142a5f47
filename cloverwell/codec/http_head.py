"""The head of an answer over HTTP/1.1 (RFC 9112), and what it says of the body's end. No I/O.

A head that is malformed, or whose lines contradict each other, is refused: the body might otherwise end in
the wrong place, and a wrong value looks like a right one.
"""

from __future__ import annotations

import re
from enum import Enum, auto

from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.codec.http_grammar import FIELD_LINE

MAX_HEADER_LINES = 64
FIELD_BYTES = 160  # the memory that a field takes besides its characters
FINAL_STATUS = 200  # The answers below are interim ones, which a final one follows.
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3, rule 1
WHITESPACE = " \t"

# Words may be separated by any white space (RFC 9112, 4).
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9])[ \t]+([1-9][0-9]{2})(?:[ \t][^\x00\r\n]*)?")


class BodyEnd(Enum):
    """The ends of a body that has no length."""

    LAST_CHUNK = auto()  # the end of the chunked transfer coding
    CLOSE = auto()  # the end of the connection


class ResponseHead:
    """The head of one answer, line by line.

    Attributes:
        status: the status code, or 0 before the status line.
        headers: the values of the fields by name in lower case; values of several lines are joined by commas.
        size_bytes: the memory that the fields take.

    """

    __slots__ = ("_is_http_1_0", "_line_count", "headers", "size_bytes", "status")

    def __init__(self) -> None:
        """Start before the status line."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.size_bytes = 0
        self._is_http_1_0 = False
        self._line_count = 0

    @property
    def is_interim(self) -> bool:
        """Whether the final answer follows this one."""
        return self.status < FINAL_STATUS

    def add_status_line(self, line: bytes) -> None:
        """Read the first line. Raises `MalformedMessageError`."""
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedMessageError(MalformedReason.STATUS_LINE)
        self._is_http_1_0 = match[1] == b"0"
        self.status = int(match[2])

    def add_field(self, line: bytes) -> None:
        """Read any further line but the empty one. Raises `MalformedMessageError`."""
        self._line_count += 1  # Lines are counted, not names: one name could be repeated without end.
        if self._line_count > MAX_HEADER_LINES:
            raise MalformedMessageError(MalformedReason.TOO_MANY_HEADERS)
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedMessageError(MalformedReason.HEADER)
        name = match[1].decode("latin-1").lower()
        value = match[2].decode("latin-1").strip(WHITESPACE)
        self.size_bytes += match.endpos + FIELD_BYTES  # `endpos` is the length of the line.
        headers = self.headers
        headers[name] = f"{headers[name]}, {value}" if name in headers else value

    def body_end(self) -> int | BodyEnd:
        """Return the length of the body in bytes, or how it ends otherwise (RFC 9112, 6.3).

        Raises:
            MalformedMessageError: where the body ends is not known, or it has a coding that is not decoded.

        """
        if self.status in STATUSES_WITHOUT_BODY:
            return 0
        if "transfer-encoding" in self.headers:
            return self._coded_end()
        if "content-length" in self.headers:
            return _read_length(self.headers["content-length"])
        return BodyEnd.CLOSE

    def _coded_end(self) -> BodyEnd:
        # A coding in an HTTP/1.0 message is faulty (6.1), and a length beside one is an error (6.3, rule 3).
        if "content-length" in self.headers:
            raise MalformedMessageError(MalformedReason.LENGTH_AND_CODING)
        codings = _list_elements(self.headers["transfer-encoding"])
        if self._is_http_1_0 or [coding.lower() for coding in codings] != ["chunked"]:
            raise MalformedMessageError(MalformedReason.TRANSFER_CODING)
        return BodyEnd.LAST_CHUNK

    def closes_connection(self) -> bool:
        """Return whether the connection carries no further answer (RFC 9112, 9.3)."""
        if "connection" not in self.headers:
            return self._is_http_1_0
        options = [option.lower() for option in _list_elements(self.headers["connection"])]
        return "close" in options or (self._is_http_1_0 and "keep-alive" not in options)


def _read_length(text: str) -> int:
    """Return the one length that is given, perhaps several times (RFC 9112, 6.3, rule 5)."""
    if text.isascii() and text.isdigit():
        return int(text)
    lengths = _list_elements(text)
    if not lengths or not all(length.isascii() and length.isdigit() for length in lengths):
        raise MalformedMessageError(MalformedReason.CONTENT_LENGTH)
    if len({int(length) for length in lengths}) > 1:
        raise MalformedMessageError(MalformedReason.CONFLICTING_LENGTHS)
    return int(lengths[0])


def _list_elements(text: str) -> list[str]:
    """Return the elements of a list; empty ones are ignored (RFC 9110, 5.6.1.2)."""
    elements = (element.strip(WHITESPACE) for element in text.split(","))
    return [element for element in elements if element]
