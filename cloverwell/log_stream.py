"""Writes lines to a descriptor without blocking. If the disk is full or the reader stops, lines are lost."""

from __future__ import annotations

import os
import select
import sys

# A pipe that is ready for writing takes as many bytes without blocking.
MAX_WRITE_BYTES = select.PIPE_BUF


class LineStream:
    """Writes whole lines as far as the descriptor takes them at once. Lost lines are counted."""

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor that stays open; the stream does not close it."""
        self._descriptor = descriptor
        self._lost_lines = 0  # since the last line that was written completely
        self._line_is_cut = False
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write_line(self, line: str) -> None:
        """Write a line, after a note of the lines that were lost before it. Neither raises nor blocks."""
        line_end = "\n" if self._line_is_cut else ""
        note = f"log: {self._lost_lines} lines were lost before this one\n" if self._lost_lines else ""
        data = f"{line_end}{note}{line}\n".encode(errors="backslashreplace")
        written_bytes = self._write(data)
        if written_bytes == len(data):
            self._lost_lines = 0
            self._line_is_cut = False
            return
        self._lost_lines += 1
        self._line_is_cut = self._line_is_cut or written_bytes > 0

    def _write(self, data: bytes) -> int:
        """Return how many bytes the descriptor took."""
        written_bytes = 0
        try:
            while written_bytes < len(data) and self._poll.poll(0):
                taken_bytes = os.write(
                    self._descriptor, data[written_bytes : written_bytes + MAX_WRITE_BYTES]
                )
                if not taken_bytes:
                    break
                written_bytes += taken_bytes
        except OSError:
            pass  # The disk is full, the reader has ended, or the descriptor was not ready after all.
        return written_bytes


def standard_error_stream() -> LineStream | None:
    """Return the process's standard error, or None if it has none.

    Its usual number must not be assumed: where it is not open, a connection may have been given that number.
    """
    try:
        return LineStream(sys.stderr.fileno())
    except (AttributeError, OSError, ValueError):
        return None


def write_last_line(text: str) -> None:
    """Write why the program ends, on one line. If that fails, the program ends as it would have."""
    stream = standard_error_stream()
    if stream is not None:
        stream.write_line(text.replace("\n", " "))
