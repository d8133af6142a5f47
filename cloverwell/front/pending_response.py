"""One command's place in the order of a connection's responses."""

from __future__ import annotations

from cloverwell.request import Request
from cloverwell.streamed_value import StreamedValue


class PendingResponse:
    """A response that is not sent yet: its request is open, or an earlier response is.

    Attributes:
        data: the response's bytes; None until they are known.
        request: the open request; None once it is answered.
        stream: a long value that follows `data`.
    """

    __slots__ = ("data", "request", "stream")

    def __init__(self, data: bytes | None = None) -> None:
        """Start with the response's bytes, if they are known."""
        self.data = data
        self.request: Request | None = None
        self.stream: StreamedValue | None = None
