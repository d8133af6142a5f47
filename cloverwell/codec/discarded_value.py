"""The end of a value that is dropped while it arrives, for want of memory or with its rejected command."""

from __future__ import annotations

LINE_END = b"\r\n"


class DiscardedValue:
    """Keeps the last bytes of a value, so that its line end can be checked though the value is dropped."""

    __slots__ = ("_end",)

    def __init__(self, end: bytes = b"") -> None:
        """Start with the last bytes of what has come before."""
        self._end = end

    def receive(self, data: bytes) -> None:
        """Drop the next bytes."""
        self._end = (self._end + data)[-len(LINE_END) :]

    @property
    def has_line_end(self) -> bool:
        """Whether the last bytes are the line end that belongs behind a value."""
        return self._end == LINE_END
