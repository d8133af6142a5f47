"""Encodes attempts at cache nodes as memcache meta commands, and decodes the answers.

A read is an `mg` command, and a write an `ms` command.
"""

from __future__ import annotations

from itertools import takewhile

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.receipt import is_receipt
from cloverwell.codec.discarded_value import DiscardedValue
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt
from cloverwell.streamed_value import MAX_STREAMED_VALUE_BYTES, STREAMING_THRESHOLD_BYTES

# The first bytes of flags.
REQUEST_ID, RECEIPT, LOAD_REPORT = b"OcL"
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
                    self.refuse_value(DiscardedValue())
            case [b"HD"]:
                self._check(words[1:], write=True)
                self.finish_attempt(AttemptOutcome.SERVED, _receipt(words[1:]))
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
        id_flag = b"O" + request.id.encode()
        has_id = False
        for flag in flags:
            if flag[0] == LOAD_REPORT:
                break
            if flag == id_flag:
                has_id = True
            elif flag[0] == REQUEST_ID:
                has_id = False
                break
        if not has_id:
            raise MalformedMessageError(MalformedReason.FOREIGN_ID)
        if write not in (None, request.is_write):
            raise MalformedMessageError(MalformedReason.WRONG_KIND)


def _receipt(flags: list[bytes]) -> bytes:
    """Return the one receipt in the flags, behind which a load report may stand that can't be read.

    Raises:
        MalformedMessageError: there is none or more than one, or it can't be passed on.

    """
    own_flags = takewhile(lambda flag: flag[0] != LOAD_REPORT, flags)
    receipts = [flag[1:] for flag in own_flags if flag[0] == RECEIPT]
    if len(receipts) != 1 or not is_receipt(receipts[0]):
        raise MalformedMessageError(MalformedReason.NO_RECEIPT)
    return receipts[0]
