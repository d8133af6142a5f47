"""Writes lines to a descriptor without blocking. Lines are lost while the disk is full or nobody reads."""

from __future__ import annotations

import os
import select
import sys

# A pipe that is ready for writing accepts this many bytes without blocking.
MAX_WRITE_BYTES = select.PIPE_BUF


class LineStream:
    """Writes lines that the descriptor accepts at once, and counts those that it does not accept."""

    def __init__(self, descriptor: int) -> None:
        """Set up a stream on an open descriptor, which the stream does not close."""
        self._descriptor = descriptor
        self._lost_line_count = 0  # since the last line that was written completely
        self._has_partial_line = False
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write_line(self, line: str) -> None:
        """Write a line, after a note of how many were lost before it. This neither raises nor blocks."""
        line_end = "\n" if self._has_partial_line else ""
        note = (
            f"log: {self._lost_line_count} lines were lost before this one\n" if self._lost_line_count else ""
        )
        data = f"{line_end}{note}{line}\n".encode(errors="backslashreplace")
        written_bytes = self._write(data)
        if written_bytes == len(data):
            self._lost_line_count = 0
            self._has_partial_line = False
            return
        self._lost_line_count += 1
        self._has_partial_line = self._has_partial_line or written_bytes > 0

    def _write(self, data: bytes) -> int:
        """Write as much of the data as is accepted at once, and return the number of bytes."""
        written_bytes = 0
        try:
            while written_bytes < len(data) and self._poll.poll(0):
                accepted_bytes = os.write(
                    self._descriptor, data[written_bytes : written_bytes + MAX_WRITE_BYTES]
                )
                if not accepted_bytes:
                    break
                written_bytes += accepted_bytes
        except OSError:
            pass  # The disk is full, the reader has ended, or the descriptor was not ready after all.
        return written_bytes


def standard_error_stream() -> LineStream | None:
    """Return a stream on the process's standard error, or None if it has none.

    The usual number of that descriptor must not be assumed: if it is not open, a connection may have it.
    """
    try:
        return LineStream(sys.stderr.fileno())
    except (AttributeError, OSError, ValueError):
        return None


def write_last_line(text: str) -> None:
    """Write why the program ends, on one line. A failed write changes nothing about how it ends."""
    stream = standard_error_stream()
    if stream is not None:
        stream.write_line(text.replace("\n", " "))
