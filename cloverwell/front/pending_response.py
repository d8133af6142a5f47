"""A response that waits for its turn among a connection's responses."""

from __future__ import annotations

from cloverwell.request import Request
from cloverwell.streamed_value import StreamedValue


class PendingResponse:
    """A response that is not sent yet, because its request is open or an earlier response is unsent.

    Attributes:
        data: the response's bytes; None until they are known.
        request: the open request; None once it is answered.
        stream: the long value that is sent after `data`; None where none is streamed.
        held_bytes: the memory that is charged for it.
    """

    __slots__ = ("data", "held_bytes", "request", "stream")

    def __init__(self, data: bytes | None = None) -> None:
        """Set up a response; `data` has its bytes if they are known."""
        self.data = data
        self.held_bytes = 0
        self.request: Request | None = None
        self.stream: StreamedValue | None = None
