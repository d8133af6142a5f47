"""A reference for the framing of chunked bodies, which is written from the grammar of RFC 9112, 7.1.

It reads a whole body at once with one regular expression a rule, and shares no code with the proxy.
"""

import re
from dataclasses import dataclass
from enum import Enum

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
BWS = rb"[ \t]*"
EXTENSION = rb"(?:%s;%s%s(?:%s=%s(?:%s|%s))?)*" % (BWS, BWS, TOKEN, BWS, BWS, TOKEN, QUOTED)
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)" + EXTENSION)
# White space in front of the colon: a proxy MUST remove it from a response (5.1).
FIELD_LINE = re.compile(TOKEN + rb"[ \t]*:[^\x00\r\n]*")
CRLF = b"\r\n"


class Verdict(Enum):
    """What a body is."""

    COMPLETE = "complete"
    INCOMPLETE = "incomplete"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class Body:
    """A body's verdict and, of a complete one, its data."""

    verdict: Verdict
    data: bytes = b""


def split_line(message, start):
    """Returns the line at `start`, or None while it has no end."""
    end = message.find(CRLF, start)
    return None if end < 0 else message[start:end]


def read_trailer(message, start, data):
    """Reads `trailer-section CRLF`."""
    while (line := split_line(message, start)) is not None:
        start += len(line) + len(CRLF)
        if not line:
            return Body(Verdict.COMPLETE, data)
        if not FIELD_LINE.fullmatch(line):
            return Body(Verdict.MALFORMED)
    return Body(Verdict.INCOMPLETE)


def read_chunked_body(message, max_bytes):
    """Returns what a message is that begins with a chunked body, of which so many bytes are taken."""
    position, data = 0, b""
    while (line := split_line(message, position)) is not None:
        size_line = SIZE_LINE.fullmatch(line)
        if size_line is None:
            return Body(Verdict.MALFORMED)
        position += len(line) + len(CRLF)
        size = int(size_line[1], 16)
        if not size:
            return read_trailer(message, position, data)
        if len(data) + size > max_bytes:
            return Body(Verdict.MALFORMED)
        data += message[position : position + size]
        line_end = message[position + size : position + size + len(CRLF)]
        if not CRLF.startswith(line_end):
            return Body(Verdict.MALFORMED)
        position += size + len(CRLF)
    return Body(Verdict.INCOMPLETE)
