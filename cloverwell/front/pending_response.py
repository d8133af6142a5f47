"""One command's place in the order of a connection's answers."""

from cloverwell.request import Request
from cloverwell.streamed_value import StreamedValue


class PendingResponse:
    """`data`: its answer, once there is one; `request`: until then; `flow`: a long value behind `data`."""

    __slots__ = ("data", "flow", "request")

    def __init__(self, data: bytes | None = None) -> None:
        self.data = data
        self.request: Request | None = None
        self.flow: StreamedValue | None = None
