"""Encodes attempts at cache nodes as memcache meta commands, and decodes the answers.

A read is an `mg` command, and a write an `ms` command.
"""

from __future__ import annotations

from cloverwell.back.node_connection import NodeConnection
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt
from cloverwell.streamed_value import MAX_STREAMED_VALUE_BYTES, STREAMING_THRESHOLD_BYTES

MAX_QUOTED_BYTES = 60  # of an unknown line, in the log


class CacheConnection(NodeConnection):
    """A connection to a cache node, which may carry several attempts at a time."""

    def encode_command(self, attempt: Attempt) -> bytes:
        """Returns the meta command of an attempt, with the propagated deadline in its `P` flag."""
        request = attempt.request
        info = request.info_with_deadline(attempt.propagated_ms)
        if not request.is_write:
            return f"mg {request.key} v O{request.id} P{info}\r\n".encode()
        line = f"ms {request.key} {len(request.value)} O{request.id} P{info}\r\n"
        return line.encode() + request.value + b"\r\n"

    def lineReceived(self, line: bytes) -> None:
        """Reads an answer's first line. Raises `MalformedMessageError` for an unknown or unexpected one."""
        if not self.attempts:
            raise MalformedMessageError(MalformedReason.NO_ATTEMPT)
        words = line.split()
        match words[:1]:
            case [b"VA"] if (
                len(words) >= 3 and words[1].isdigit() and int(words[1]) <= MAX_STREAMED_VALUE_BYTES
            ):
                self._check(words[2:], write=False)
                length = int(words[1])
                if length > STREAMING_THRESHOLD_BYTES:
                    self.begin_stream(length)
                elif self.has_memory_for(length):
                    self.expect_value(length + len(self.delimiter))
                else:
                    self.expect_pieces(length + len(self.delimiter))
                    self.refuse_value()
            case [b"HD"]:
                self._check(words[1:], write=True)
                receipts = [word[1:] for word in words[1:] if word.startswith(b"c")]
                if not receipts:
                    raise MalformedMessageError(MalformedReason.NO_RECEIPT)
                self.finish_attempt(AttemptOutcome.SERVED, receipts[0])
            case [b"EN"]:
                self._check(words[1:])
                self.finish_attempt(AttemptOutcome.MISS)
            case [b"SERVER_ERROR"] if words[1:2] == [b"busy"]:
                self.finish_attempt(AttemptOutcome.BUSY, has_id=False)
            case [b"SERVER_ERROR"] if words[1:2] == [b"failed"]:
                self.finish_attempt(AttemptOutcome.ERROR, has_id=False)
            case _:
                raise MalformedMessageError(MalformedReason.UNKNOWN_LINE, repr(line[:MAX_QUOTED_BYTES]))

    def pieceReceived(self, data: bytes) -> None:
        """Passes on a piece of a long value, and expects the line end after the last piece."""
        super().pieceReceived(data)
        if self.stream is not None and not self.stream.remaining_bytes:
            self.expect_value(len(self.delimiter))

    def valueReceived(self, data: bytes) -> None:
        """Reads a whole value with its line end, or only the line end after a long value."""
        if not data.endswith(self.delimiter):
            raise MalformedMessageError(MalformedReason.VALUE_END)
        if self.stream is not None:
            self.end_stream()
        else:
            self.finish_attempt(AttemptOutcome.SERVED, data[: -len(self.delimiter)])

    def _check(self, flags: list[bytes], write: bool | None = None) -> None:
        """Checks that an answer has the oldest attempt's id, and fits a write or a read as `write` says.

        The answer of another request must not reach this one, and a receipt must not be served as a value.
        """
        request = self.attempts[0].request
        if b"O" + request.id.encode() not in flags:
            raise MalformedMessageError(MalformedReason.FOREIGN_ID)
        if write not in (None, request.is_write):
            raise MalformedMessageError(MalformedReason.WRONG_KIND)
