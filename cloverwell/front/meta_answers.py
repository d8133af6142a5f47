"""Encodes final answers as responses of the memcache meta commands; no I/O."""

from cloverwell.request import FinalAnswer, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue

FAILED = b"SERVER_ERROR failed\r\n"
BUSY = b"SERVER_ERROR busy\r\n"
SERVING = b"MN\r\n"  # to `mn`
DRAINING = b"SERVER_ERROR draining\r\n"  # to `mn`, of a process that is draining


def encode_answer(request: Request, answer: FinalAnswer) -> bytes:
    """Return the response's bytes; of a streamed value only the line that goes before it."""
    match answer:
        case Served(StreamedValue() as stream):
            return f"VA {stream.length} O{request.id}\r\n".encode()
        case Served(bytes() as body) if request.is_write:
            return b"HD O" + request.id.encode() + b" c" + body + b"\r\n"
        case Served(bytes() as body):
            return f"VA {len(body)} O{request.id}\r\n".encode() + body + b"\r\n"
        case Rejected(retry_after_ms):
            wait = f" {round(retry_after_ms)}" if retry_after_ms >= 1 else ""
            return f"SERVER_ERROR busy{wait}\r\n".encode()
    return FAILED


def encode_error(reason: str) -> bytes:
    """Return the response to a malformed command."""
    return f"CLIENT_ERROR {reason}\r\n".encode()
