"""Encodes requests and decodes answers of HTTP/1.1 (RFC 9112), for the origin and for discovery."""

from __future__ import annotations

import sys
from collections.abc import Callable

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.chunked_body import ChunkedBodyDecoder, ChunkedState
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.codec.http_head import BodyEnd, ResponseHead
from cloverwell.codec.lines import MAX_VALUE_BYTES, BufferedLineReceiver
from cloverwell.memory_budget import MemoryAccount, MemoryBudget

# Each takes some microseconds, so that other connections wait for a turn of about a millisecond.
MAX_CHUNK_LINES_PER_TURN = 512
UNLIMITED_BYTES = sys.maxsize
FREE_HEAD_BYTES = 1024  # of a head, which the account of the connection itself covers


def encode_request(
    method: str, target: str, host: str, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """Returns the bytes of a request, with the header `Content-Length` if it has a body."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class HttpReceiver(BufferedLineReceiver):
    """Calls `answer_received` once for each complete answer.

    The end of a body is given by its length, by the last chunk, or by the close of the connection if the
    answer has neither a length nor chunks.
    """

    max_body_bytes = MAX_VALUE_BYTES

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        """Starts in the state before the first answer; `memory` is the process's budget, if any."""
        super().__init__(memory)
        self._body_account = MemoryAccount(self._memory, self.incoming_use)
        self._reset()

    def _reset(self) -> None:
        """Returns to the state before an answer."""
        self._head = ResponseHead()
        self._body: bytes | bytearray = b""
        self._body_account.hold(0)
        self._chunks: ChunkedBodyDecoder | None = None  # decodes a body in chunks
        self._until_close = False

    def lineReceived(self, line: bytes) -> None:
        """Reads a line of the head. Raises `MalformedMessageError`."""
        if not self._head.status:
            self._head.add_status_line(line)
        elif line:
            self._head.add_field(line)
            if self._head.size_bytes > FREE_HEAD_BYTES:
                self._charge()
        else:
            self._headers_complete()

    def _headers_complete(self) -> None:
        if self._head.is_interim:
            self._reset()
            return
        end = self._head.body_end()
        if end is BodyEnd.LAST_CHUNK:
            self._chunks = ChunkedBodyDecoder(self.max_body_bytes)
        elif end is BodyEnd.CLOSE:
            self._until_close = True
        else:
            self._begin_body(end)
            return
        self._body = bytearray()
        self.expect_pieces(UNLIMITED_BYTES)

    def _begin_body(self, length: int) -> None:
        if self.begin_long_body(self._head, length):
            return
        if length > self.max_body_bytes:
            raise MalformedMessageError(MalformedReason.BODY_TOO_LONG)
        self._body_bytes_left = length
        self._expect_more()

    def begin_long_body(self, _head: ResponseHead, _length: int) -> bool:
        """Returns whether a subclass reads the body in pieces; it then calls `_reset` after the last one.

        Here it returns False, so that the body is collected.
        """
        return False

    def pieceReceived(self, data: bytes) -> None:
        """Collects a piece of a body without a length; a subclass handles any other piece."""
        if self._chunks is not None:
            self._decode_chunks(self._chunks, data)
        elif self._until_close:
            self._collect(data)
            if len(self._body) > self.max_body_bytes:
                raise MalformedMessageError(MalformedReason.BODY_TOO_LONG)
        else:
            super().pieceReceived(data)

    def _decode_chunks(self, chunks: ChunkedBodyDecoder, data: bytes) -> None:
        self._collect(b"".join(chunks.decode(data, MAX_CHUNK_LINES_PER_TURN)))
        if self.ended:
            return
        if chunks.state is ChunkedState.COMPLETE:
            self.end_pieces(chunks.unused_bytes)
            self._complete()
        elif chunks.unused_bytes:
            self.return_bytes(chunks.unused_bytes)
            self.hold()
            self.call_in_next_turn(self.release)

    def call_in_next_turn(self, call: Callable[[], None]) -> None:
        """Has the next turn of the event loop make the call, so that other connections get theirs first."""
        raise NotImplementedError

    def _collect(self, data: bytes) -> None:
        self._body += data
        self._charge()
        if not self._memory.grants(self.incoming_urgency):
            self.memory_refused()

    def _charge(self) -> None:
        """Charges what is kept of the answer."""
        held_bytes = self._head.size_bytes + self._body.__sizeof__()
        if self._chunks is not None and self._chunks.partial:
            held_bytes += len(self._chunks.partial)
        self._body_account.hold(held_bytes)

    def ends_body(self, reason: Failure) -> bool:
        """Returns whether this close of the connection completes a body; a reset does not."""
        return self._until_close and not self.ended and bool(reason.check(ConnectionDone))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Completes the answer if its body ends with the connection."""
        if self.ends_body(reason):
            try:
                self._complete()
            except MalformedMessageError as error:
                self.framingLost(error)
        super().connectionLost(reason)
        self._body_account.hold(0)

    def _expect_more(self) -> None:
        """Expects the next part of a body with a length, or completes the answer.

        A body may be larger than the ring of incoming bytes, so it is read in parts.
        """
        if self._body_bytes_left:
            part_bytes = min(self._body_bytes_left, self.max_incoming_bytes // 2)
            self._body_bytes_left -= part_bytes
            self.expect_value(part_bytes)
        else:
            self._complete()

    def valueReceived(self, data: bytes) -> None:
        """Collects a part of a body with a length, and expects the next one."""
        self._collect(data)
        if not self.ended:
            self._expect_more()

    def _complete(self) -> None:
        head, body = self._head, bytes(self._body)
        closes = self._until_close or head.closes_connection()
        self._reset()
        self.answer_received(head, body, closes)

    def answer_received(self, head: ResponseHead, body: bytes, closes: bool) -> None:
        """Is called with each complete answer; `closes`: the connection carries no further one."""
        raise NotImplementedError
