"""Encodes attempts at the origin as HTTP/1.1 requests, and decodes the answers.

A read is a `GET` request, and a write a `PUT` request.
"""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool import Pool
from cloverwell.back.receipt import is_receipt
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.codec.http import HttpReceiver, encode_request
from cloverwell.codec.http_head import ResponseHead
from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.facade import AttemptOutcome
from cloverwell.memory_budget import MemoryAccount
from cloverwell.request import Attempt, NoMemory
from cloverwell.streamed_value import MAX_STREAMED_VALUE_BYTES, STREAMING_THRESHOLD_BYTES


class OriginConnection(HttpReceiver, NodeConnection):
    """A connection to the origin, which carries one attempt at a time."""

    def __init__(self, pool: Pool, open_started_ms: float) -> None:
        """Starts without an attempt; `pool` began to open the connection at `open_started_ms`."""
        NodeConnection.__init__(self, pool, open_started_ms)
        self._body_account = MemoryAccount(self._memory, self.incoming_use)
        self._reset()

    def encode_command(self, attempt: Attempt) -> bytes:
        """Returns the HTTP request of an attempt, with the propagated deadline in `Request-Info`."""
        request = attempt.request
        headers = {
            "Request-Id": request.id,
            "Request-Info": request.info_with_deadline(attempt.propagated_ms),
        }
        method, body = ("PUT", request.value) if request.is_write else ("GET", None)
        assert self._pool.address is not None  # A connection is opened only to a known address.
        host, port = self._pool.address
        return encode_request(method, "/" + quote(request.key), f"{host}:{port}", headers, body)

    def _check(self, headers: dict[str, str]) -> None:
        """Checks that an attempt waits for an answer, and that the answer has no other request's id."""
        if not self.attempts:
            raise MalformedMessageError(MalformedReason.NO_ATTEMPT)
        if headers.get("request-id", self.attempts[0].request.id) != self.attempts[0].request.id:
            raise MalformedMessageError(MalformedReason.FOREIGN_ID)

    def begin_long_body(self, head: ResponseHead, length: int) -> bool:
        """Begins a long value and returns True if the body is one; returns False for any other body."""
        if head.status != 200 or not STREAMING_THRESHOLD_BYTES < length <= MAX_STREAMED_VALUE_BYTES:
            return False
        self._check(head.headers)
        if self.attempts[0].request.is_write:
            return False
        self._close_after_answer = head.closes_connection()
        self.begin_stream(length)
        return True

    def pieceReceived(self, data: bytes) -> None:
        """Passes on a piece of a long value, and completes the value after the last piece."""
        super().pieceReceived(data)
        if self.stream is not None and not self.stream.remaining_bytes:
            self._reset()
            self.end_stream(has_id=False)

    def call_in_next_turn(self, call: Callable[[], None]) -> None:
        """Has the next turn of the event loop make the call."""
        self._pool.call_in_next_turn(call)

    def memory_refused(self) -> None:
        """Gives up a read whose value has no memory. A write's receipt is short, and read in any case."""
        if not self.attempts or self.attempts[0].request.is_write:
            return
        attempt = self.attempts.popleft()
        self.drop(NodeCloseReason.NO_MEMORY)
        attempt.end(AttemptOutcome.SERVED, NoMemory())

    def answer_received(self, head: ResponseHead, body: bytes, closes: bool) -> None:
        """Ends the attempt with an answer. Raises `MalformedMessageError` for an unknown or unwanted one."""
        self._check(head.headers)
        if closes:
            self.ended = True  # This prevents another attempt from being written here when this one ends.
        outcome = self._outcome(head.status, head.headers, body)
        self.finish_attempt(outcome, body if outcome is AttemptOutcome.SERVED else b"", has_id=False)
        if closes:
            self.ended = False
            self.drop(NodeCloseReason.LAST_ANSWER)

    def _outcome(self, status: int, headers: dict[str, str], body: bytes) -> AttemptOutcome:
        if status == 200:
            if self.attempts[0].request.is_write and not is_receipt(body):
                # Such a body would make the answer to the client invalid, or be read as a second flag.
                raise MalformedMessageError(MalformedReason.NOT_A_RECEIPT)
            return AttemptOutcome.SERVED
        if status in (503, 504) and headers.get("not-started") == "1":
            return AttemptOutcome.BUSY
        if 500 <= status < 600:
            return AttemptOutcome.ERROR
        raise MalformedMessageError(MalformedReason.UNKNOWN_STATUS, str(status))
