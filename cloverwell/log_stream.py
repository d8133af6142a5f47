"""Lines to a descriptor without waiting: a full disk or a reader that stands still costs lines only."""

from __future__ import annotations

import os
import select
import sys

PIECE = select.PIPE_BUF  # bytes that a pipe which is ready takes without waiting


class LineStream:
    """Writes whole lines as far as they are taken at once. What is not taken is left out, and counted."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lost = 0  # lines since the last whole one
        self._cut = False  # the last line has no end
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write_line(self, line: str) -> None:
        """Raises nothing, and does not wait."""
        start = "\n" if self._cut else ""
        told = f"log: {self._lost} lines were lost before this one\n" if self._lost else ""
        data = f"{start}{told}{line}\n".encode(errors="backslashreplace")
        written = self._write(data)
        if written == len(data):
            self._lost, self._cut = 0, False
            return
        self._lost += 1
        self._cut = self._cut or written > 0

    def _write(self, data: bytes) -> int:
        """How many bytes were taken."""
        written = 0
        try:
            while written < len(data) and self._poll.poll(0):
                taken = os.write(self._descriptor, data[written : written + PIECE])
                if not taken:
                    break
                written += taken
        except OSError:
            pass  # full, closed, or not ready after all
        return written


def standard_error() -> LineStream | None:
    """None where there is none: its number may belong to a connection then."""
    try:
        return LineStream(sys.stderr.fileno())
    except (AttributeError, OSError, ValueError):
        return None


def say_last(text: str) -> None:
    """A program's last line, on one line; its exit code stands whether or not the line can be written."""
    stream = standard_error()
    if stream is not None:
        stream.write_line(text.replace("\n", " "))
