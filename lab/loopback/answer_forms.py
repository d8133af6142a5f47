"""Forms of answers of the origin and of cache nodes: usual, rare right and malformed ones. No I/O.

Malformed are only forms that a proxy can tell from right ones. A `Content-Length` that is too short is not
among them: what follows it may be noise behind a good answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

RARE_SHARE = 0.3  # of the answers, those in a rare right form
MALFORMED_SHARE = 0.04
LAST_CHUNK = b"0\r\n\r\n"
MAX_CHUNK_BYTES = 9  # of a value in many chunks
# Longer values are passed on while they arrive. A client can tell that one is broken off, but its other
# commands are lost with the connection.
MAX_MALFORMED_BYTES = 64 * 1024


@dataclass(frozen=True)
class FramedAnswer:
    """The bytes of an answer, and what becomes of its connection."""

    data: bytes
    is_malformed: bool = False  # Nothing more may be expected on the connection.
    closes: bool = False  # The server closes the connection behind it.


class AnswerForms:
    """Draws a form for each answer; with both shares 0 all are usual."""

    def __init__(
        self, seed: int, malformed_share: float = MALFORMED_SHARE, rare_share: float = RARE_SHARE
    ) -> None:
        """Draw from a generator of its own."""
        self._random = random.Random(seed)
        self._malformed_share = malformed_share
        self._rare_share = rare_share

    def http(self, body: bytes, request_id: str) -> FramedAnswer:
        """Return an answer of the origin with this body."""
        draw = self._random.random()
        fields = f"Request-Id: {request_id}\r\n".encode()
        if draw < self._malformed_share and len(body) <= MAX_MALFORMED_BYTES:
            form = self._random.choice(MALFORMED_HTTP)
            return FramedAnswer(form(body, fields, self._random), is_malformed=True)
        if draw < self._malformed_share + self._rare_share:
            if self._random.random() < UNTIL_CLOSE_SHARE:
                return FramedAnswer(_answer(fields, body), closes=True)
            return FramedAnswer(self._random.choice(RARE_HTTP)(body, fields, self._random))
        return FramedAnswer(_answer(fields + _length(body), body))

    def value(self, value: bytes, request_id: str) -> FramedAnswer:
        """Return an answer of a cache node with this value."""
        draw = self._random.random()
        identity = b"O" + request_id.encode()
        if draw < self._malformed_share and len(value) <= MAX_MALFORMED_BYTES:
            form = self._random.choice(MALFORMED_VALUES)
            return FramedAnswer(form(value, identity, self._random), is_malformed=True)
        if draw < self._malformed_share + self._rare_share:
            return FramedAnswer(self._random.choice(RARE_VALUES)(value, identity, self._random))
        return FramedAnswer(_value(b"%d" % len(value), identity, value))


# Over HTTP -----------------------------------------------------------------------------------------------

UNTIL_CLOSE_SHARE = 0.1  # of the rare forms
Form = Callable[[bytes, bytes, random.Random], bytes]


def _answer(fields: bytes, body: bytes, status: bytes = b"HTTP/1.1 200 OK") -> bytes:
    return status + b"\r\n" + fields + b"\r\n" + body


def _length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n" % len(body)


def _chunked(fields: bytes, body: bytes) -> bytes:
    return _answer(b"Transfer-Encoding: chunked\r\n" + fields, body)


def _chunk(data: bytes, extension: bytes = b"") -> bytes:
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def _one_chunk(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _chunked(fields, _chunk(body) + LAST_CHUNK)


def in_chunks(body: bytes, chunk_bytes: int) -> bytes:
    """Return a body in chunks of so many bytes."""
    chunks = [_chunk(body[start : start + chunk_bytes]) for start in range(0, len(body), chunk_bytes)]
    return b"".join(chunks) + LAST_CHUNK


def _many_chunks(body: bytes, fields: bytes, draw: random.Random) -> bytes:
    size = draw.randint(1, MAX_CHUNK_BYTES) if len(body) < MAX_MALFORMED_BYTES else 4096
    return _chunked(fields, in_chunks(body, size))


def _zeros_and_capitals(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    chunk = b"000%X\r\n%s\r\n000\r\n\r\n" % (len(body), body)
    return _answer(b"TRANSFER-ENCODING: Chunked\r\n" + fields, chunk)


def _extensions_and_trailers(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _chunked(
        fields, _chunk(body, b' ;a="1;2" ; b') + b"0;last\r\nServer-Load: util=0.5\r\nVia: a\r\n\r\n"
    )


def _interim_in_front(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 2 + _answer(fields + _length(body), body)


def _length_twice(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _answer(_length(body) + fields + _length(body), body)


RARE_HTTP: tuple[Form, ...] = (
    _one_chunk,
    _many_chunks,
    _zeros_and_capitals,
    _extensions_and_trailers,
    _interim_in_front,
    _length_twice,
)


def _wrong_chunk_size(body: bytes, fields: bytes, draw: random.Random) -> bytes:
    size = max(1, len(body) + draw.choice((-2, -1, 1, 2, 7)))
    return _chunked(fields, b"%x\r\n%s\r\n" % (size, body) + LAST_CHUNK)


def _chunk_without_line_end(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _chunked(fields, b"%x\r\n%s" % (len(body), body) + LAST_CHUNK)


def _unreadable_chunk_size(body: bytes, fields: bytes, draw: random.Random) -> bytes:
    size = draw.choice((b"+%x", b"0x%x", b"0_%x", b"\n%x", b" %x")) % len(body)
    return _chunked(fields, b"%s\r\n%s\r\n" % (size, body) + LAST_CHUNK)


def _two_lengths(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _answer(_length(body[:-1]) + fields + _length(body), body)


def _length_and_chunks(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _chunked(_length(body) + fields, _chunk(body) + LAST_CHUNK)


def _other_coding(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _chunked(b"Transfer-Encoding: gzip\r\n" + fields, _chunk(body) + LAST_CHUNK)


def _other_id(body: bytes, fields: bytes, _random: random.Random) -> bytes:
    return _answer(b"Request-Id: other\r\n" + fields + _length(body), body)


MALFORMED_HTTP: tuple[Form, ...] = (
    _wrong_chunk_size,
    _chunk_without_line_end,
    _unreadable_chunk_size,
    _two_lengths,
    _length_and_chunks,
    _other_coding,
    _other_id,
)


# Of cache nodes --------------------------------------------------------------------------------------------


def _value(length: bytes, flags: bytes, value: bytes) -> bytes:
    return b"VA %s %s\r\n%s\r\n" % (length, flags, value)


def _flags_and_load_report(value: bytes, identity: bytes, _random: random.Random) -> bytes:
    return _value(b"%d" % len(value), b"h1 %s Linflight=7,queue=2" % identity, value)


def _unreadable_load_report(value: bytes, identity: bytes, _random: random.Random) -> bytes:
    return _value(b"%d" % len(value), b"%s h0 L\xff=?,Oother" % identity, value)


def _zeros_in_length(value: bytes, identity: bytes, _random: random.Random) -> bytes:
    return _value(b"00%d" % len(value), identity, value)


RARE_VALUES: tuple[Form, ...] = (_flags_and_load_report, _unreadable_load_report, _zeros_in_length)


def _wrong_length(value: bytes, identity: bytes, draw: random.Random) -> bytes:
    return _value(b"%d" % (len(value) + draw.choice((-2, -1, 1))), identity, value)


def _unreadable_length(value: bytes, identity: bytes, draw: random.Random) -> bytes:
    return _value(draw.choice((b"+%d", b"0x%x", b"0_%d", b"-%d")) % len(value), identity, value)


def _two_ids(value: bytes, identity: bytes, _random: random.Random) -> bytes:
    return _value(b"%d" % len(value), b"Oother " + identity, value)


def _noise(value: bytes, identity: bytes, _random: random.Random) -> bytes:
    return b"\x00\xff" + _value(b"%d" % len(value), identity, value)


MALFORMED_VALUES: tuple[Form, ...] = (_wrong_length, _unreadable_length, _two_ids, _noise)
