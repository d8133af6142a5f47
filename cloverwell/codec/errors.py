"""The exceptions that are raised for bytes that can't be decoded."""

from __future__ import annotations

from enum import Enum


class CodecError(Exception):
    """The base class of the exceptions in this package."""


class MalformedReason(Enum):
    """What is wrong with a message; the values are words of the log, the names those of counters."""

    # Any message.
    LINE_TOO_LONG = "line too long"
    MESSAGE_TOO_LONG = "message too long"
    STOPPED = "the answer stopped before its end"
    STALLED_VALUE = "a long value has stalled"
    VALUE_END = "a value without its line end"
    NO_ATTEMPT = "an answer without an attempt"
    FOREIGN_ID = "an answer with the id of another request"
    # Answers of cache nodes.
    UNKNOWN_LINE = "unknown line"
    NO_RECEIPT = "an HD line without one receipt"
    WRONG_KIND = "a value for a write, or a receipt for a read"
    # Answers over HTTP.
    STATUS_LINE = "malformed status line"
    UNKNOWN_STATUS = "unknown status"
    HEADER = "malformed header"
    TOO_MANY_HEADERS = "too many header lines"
    CONTENT_LENGTH = "no valid Content-Length"
    CONFLICTING_LENGTHS = "conflicting Content-Length headers"
    TRANSFER_CODING = "unknown transfer coding"
    LENGTH_AND_CODING = "a Content-Length beside a transfer coding"
    BODY_TOO_LONG = "body too long"
    CHUNK_SIZE = "malformed chunk size"
    CHUNK_END = "chunk data without its line end"
    TRAILER = "malformed trailer"
    NOT_A_RECEIPT = "the body of a write's answer is not a receipt"


class MalformedMessageError(CodecError):
    """The received bytes are malformed, so that the bytes after them can't be decoded either."""

    def __init__(self, reason: MalformedReason, detail: str = "") -> None:
        """Keep the reason; `detail` quotes what was received."""
        super().__init__(f"{reason.value} {detail}" if detail else reason.value)
        self.reason = reason
