"""Final answers in the words of the memcache meta commands; no I/O."""

from cloverwell.request import FinalAnswer, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue

FAILED = b"SERVER_ERROR failed\r\n"
BUSY = b"SERVER_ERROR busy\r\n"
SERVING = b"MN\r\n"  # to `mn`
DRAINING = b"SERVER_ERROR draining\r\n"  # to `mn`, of a process that is being emptied


def encode_answer(request: Request, answer: FinalAnswer) -> bytes:
    """The answer's bytes; of a long value its head, which the value follows as it comes."""
    match answer:
        case Served(StreamedValue() as flow):
            return f"VA {flow.length} O{request.id}\r\n".encode()
        case Served(body) if request.write:
            return b"HD O" + request.id.encode() + b" c" + body + b"\r\n"
        case Served(body):
            return f"VA {len(body)} O{request.id}\r\n".encode() + body + b"\r\n"
        case Rejected(retry_after_ms):
            wait = f" {round(retry_after_ms)}" if retry_after_ms >= 1 else ""
            return f"SERVER_ERROR busy{wait}\r\n".encode()
    return FAILED
