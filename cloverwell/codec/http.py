"""Requests and answers of HTTP/1.1 (RFC 9112), as the origin's attempts and discovery's watch need them."""

from __future__ import annotations

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.errors import MalformedMessageError
from cloverwell.codec.lines import MAX_VALUE_BYTES, RingLineReceiver

MAX_HEADERS = 64


def encode_request(
    method: str, target: str, host: str, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """Returns the bytes of a request; one with a body has its length as a header."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class HttpReceiver(RingLineReceiver):
    """Calls `answer_received` once for each complete answer.

    A body has a length, comes in chunks, or ends with the connection, where the answer says that it closes.
    """

    max_body_bytes = MAX_VALUE_BYTES

    def __init__(self) -> None:
        """Starts before the first answer."""
        super().__init__()
        self._reset()

    def _reset(self) -> None:
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._got = self._lines = 0
        self._chunked = self._trailer = False
        self._until_close = False

    def lineReceived(self, line: bytes) -> None:
        """Reads one line of a head, a chunk or a trailer. Raises `MalformedMessageError`."""
        if self._trailer:
            if not line:
                self._complete()
        elif self._chunked:
            self._chunk(line)
        elif not self._status:
            self._status_line(line)
        elif line:
            self._header(line)
        else:
            self._headers_complete()

    def _status_line(self, line: bytes) -> None:
        parts = line.split(None, 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
            raise MalformedMessageError("malformed status line")
        self._status = int(parts[1])

    def _header(self, line: bytes) -> None:
        name, colon, value = line.decode("latin-1").partition(":")
        self._lines += 1  # lines are counted, not names: one name could repeat without end
        if not colon or self._lines > MAX_HEADERS:
            raise MalformedMessageError("malformed header")
        name, value = name.strip().lower(), value.strip()
        if name == "content-length" and self._headers.get(name, value) != value:
            raise MalformedMessageError("two lengths")  # whichever is taken, the body may be cut wrongly
        self._headers[name] = value

    def _headers_complete(self) -> None:
        if self._status < 200:  # an interim answer; the real one follows
            self._reset()
        elif self._headers.get("transfer-encoding", "").lower() == "chunked":
            self._chunked = True
        else:
            self._begin_body()

    def _begin_body(self) -> None:
        length = self._headers.get("content-length", "0" if self._status in (204, 304) else "")
        if not length and self._headers.get("connection", "").lower() == "close":
            self._until_close = True
            self.expect_pieces(self.max_body_bytes + 1)
            return
        usable = length.isascii() and length.isdigit()
        if usable and self.long_body(self._status, self._headers, int(length)):
            return
        if not usable or int(length) > self.max_body_bytes:
            raise MalformedMessageError("body of no usable length")
        self._left = int(length)
        self._expect_more()

    def long_body(self, _status: int, _headers: dict[str, str], _length: int) -> bool:
        """Returns True if the subclass takes the body in pieces, and calls `_reset` after the last."""
        return False

    def pieceReceived(self, data: bytes) -> None:
        """Takes a piece of a body that ends with the connection; others are the subclass's."""
        if not self._until_close:
            super().pieceReceived(data)
            return
        self._got += len(data)
        if self._got > self.max_body_bytes:
            raise MalformedMessageError("body too long")
        self._body.append(data)

    def ends_body(self, reason: Failure) -> bool:
        """Tells whether this end of the connection ends a body; a reset, as after a crash, does not."""
        return self._until_close and not self.ended and bool(reason.check(ConnectionDone))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Completes a body that ends with the connection."""
        if self.ends_body(reason):
            try:
                self._complete()
            except MalformedMessageError as error:
                self.framingLost(str(error))
        super().connectionLost(reason)

    def _expect_more(self) -> None:
        """Expects the next part of a body, which may be larger than the ring, or completes the answer."""
        if self._left:
            piece = min(self._left, self.max_incoming_bytes // 2)
            self._left -= piece
            self.expect_value(piece)
        else:
            self._complete()

    def _chunk(self, line: bytes) -> None:
        if not line and self._got:  # the line end behind a chunk
            return
        try:
            size = int(line.split(b";")[0], 16)
        except ValueError:
            raise MalformedMessageError("malformed chunk") from None
        if size < 0 or self._got + size > self.max_body_bytes:
            raise MalformedMessageError("body too long")
        self._left = 0
        if size:
            self._left = size
            self._expect_more()
        else:
            self._trailer = True

    def valueReceived(self, data: bytes) -> None:
        """Takes a part of a body."""
        self._body.append(data)
        self._got += len(data)
        if self._left or not self._chunked:
            self._expect_more()

    def _complete(self) -> None:
        status, headers, body = self._status, self._headers, b"".join(self._body)
        self._reset()
        self.answer_received(status, headers, body)

    def answer_received(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Called with each complete answer; the names of headers are in lower case."""
        raise NotImplementedError
