"""Encodes final answers as responses of the memcache meta protocol; no I/O."""

from cloverwell.request import FinalAnswer, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue

FAILED = b"SERVER_ERROR failed\r\n"
BUSY = b"SERVER_ERROR busy\r\n"
SERVING = b"MN\r\n"  # the response to the command `mn`
DRAINING = b"SERVER_ERROR draining\r\n"  # the response to `mn` from a process that is draining


def encode_answer(request: Request, answer: FinalAnswer) -> bytes:
    """Return the response's bytes; for a streamed value only the line before the value."""
    match answer:
        case Served(StreamedValue() as stream):
            return f"VA {stream.length} O{request.id}\r\n".encode()
        case Served(bytes() as body) if request.is_write:
            return b"HD O" + request.id.encode() + b" c" + body + b"\r\n"
        case Served(bytes() as body):
            return f"VA {len(body)} O{request.id}\r\n".encode() + body + b"\r\n"
        case Rejected(retry_after_ms):
            return encode_busy(retry_after_ms)
    return FAILED


def encode_busy(retry_after_ms: float) -> bytes:
    """Return the response to a rejected request; it names the retry delay unless that is 0."""
    wait = f" {round(retry_after_ms)}" if retry_after_ms >= 1 else ""
    return f"SERVER_ERROR busy{wait}\r\n".encode()


def encode_error(reason: str) -> bytes:
    """Return the response to a malformed command."""
    return f"CLIENT_ERROR {reason}\r\n".encode()
