"""Attempts to the origin, in HTTP/1.1."""

import re
from urllib.parse import quote

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool import Pool
from cloverwell.codec.http import HttpReceiver, encode_request
from cloverwell.codec.lines import FramingError
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt
from cloverwell.streamed_value import LONG, LONGEST

RECEIPT = re.compile(rb"[!-~]{1,250}")  # a word of the meta commands


class OriginConnection(HttpReceiver, NodeConnection):
    def __init__(self, pool: Pool, asked_ms: float) -> None:
        NodeConnection.__init__(self, pool, asked_ms)
        self._reset()

    def command(self, attempt: Attempt) -> bytes:
        request = attempt.request
        headers = {
            "Request-Id": request.id,
            "Request-Info": request.info_with(attempt.told_ms),
        }
        method, body = ("PUT", request.value) if request.write else ("GET", None)
        host, port = self._pool.address
        return encode_request(method, "/" + quote(request.key), f"{host}:{port}", headers, body)

    def _check(self, headers: dict[str, str]) -> None:
        if not self.attempts:
            raise FramingError("an answer that no attempt waits for")
        if headers.get("request-id", self.attempts[0].request.id) != self.attempts[0].request.id:
            raise FramingError("an answer under another id")

    def long_body(self, status: int, headers: dict[str, str], length: int) -> bool:
        if status != 200 or not LONG < length <= LONGEST:
            return False
        self._check(headers)
        if self.attempts[0].request.write:
            return False
        self._last = headers.get("connection", "").lower() == "close"
        self.begin(length)
        return True

    def pieceReceived(self, data: bytes) -> None:
        super().pieceReceived(data)
        if self.flow is not None and not self.flow.left:
            self._reset()
            self.end_flow(named=False)

    def answered(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._check(headers)
        closing = headers.get("connection", "").lower() == "close"
        if closing:
            self.ended = True  # no further attempt is written to it
        if status == 200:
            outcome = AttemptOutcome.SERVED
            if self.attempts[0].request.write and not RECEIPT.fullmatch(body):
                raise FramingError("not a receipt")  # in the client's line it would be noise, or a second one
        elif status in (503, 504) and headers.get("not-started") == "1":
            outcome = AttemptOutcome.BUSY
        elif 500 <= status < 600:
            outcome = AttemptOutcome.ERROR
        else:
            raise FramingError(f"unknown status {status}")
        self.finish_attempt(outcome, body if outcome is AttemptOutcome.SERVED else b"", named=False)
        if closing:
            self.ended = False
            self.drop(AttemptOutcome.RESET)
