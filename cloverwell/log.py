"""The log on standard error: one line for each event, with a limit on the lines of one kind in a second."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

from twisted.logger import LogEvent, LogLevel, formatEvent

from cloverwell.log_stream import standard_error_stream

# The limit on the lines of one kind. In an outage the same event may occur thousands of times a second.
MAX_LINES_PER_SECOND = 5
WINDOW_MS = 1000.0  # the period that the limit applies to


@dataclass(slots=True)
class _Window:
    """The number of lines of one kind in the current period, including those that were left out."""

    start_ms: float
    lines: int = 0


class Log:
    """Writes lines of the form `TIME LEVEL KIND: TEXT`, where TIME is the clock's reading in milliseconds."""

    def __init__(self, now: Callable[[], float], stream: TextIO | None = None) -> None:
        """Set up a log on `stream`, or on standard error if there is none. `now` returns milliseconds."""
        self._now = now
        self._stream = stream
        self._standard_error = standard_error_stream() if stream is None else None
        self._windows: dict[str, _Window] = {}

    def info(self, kind: str, text: str) -> None:
        """Log an event of normal operation."""
        self._write("info", kind, text)

    def warn(self, kind: str, text: str) -> None:
        """Log an event that an operator may have to act on."""
        self._write("warn", kind, text)

    def fault(self, event: LogEvent) -> None:
        """Log an exception that nothing has handled, in one line. This is an observer of Twisted's logger."""
        if event["log_level"] >= LogLevel.error:
            failure = event.get("log_failure")
            text = failure.getTraceback() if failure else formatEvent(event)
            self._write("warn", "fault", " | ".join(text.split("\n")))

    def _write(self, level: str, kind: str, text: str) -> None:
        now_ms = self._now()
        window = self._windows.setdefault(kind, _Window(now_ms))
        if now_ms - window.start_ms >= WINDOW_MS:
            if window.lines > MAX_LINES_PER_SECOND:
                omitted_count = window.lines - MAX_LINES_PER_SECOND
                self._write_line(level, kind, f"{omitted_count} more lines of this kind were left out")
            window = self._windows[kind] = _Window(now_ms)
        window.lines += 1
        if window.lines <= MAX_LINES_PER_SECOND:
            self._write_line(level, kind, text)

    def _write_line(self, level: str, kind: str, text: str) -> None:
        # The program must go on if the reader of the log has ended or stopped reading, or the disk is full.
        line = f"{self._now():.0f} {level} {kind}: {text}"
        if self._standard_error is not None:
            self._standard_error.write_line(line)
        elif self._stream is not None:
            with contextlib.suppress(OSError, ValueError):
                print(line, file=self._stream, flush=True)
