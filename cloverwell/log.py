"""The proxy's log on standard error: one line an event, and not too many of a kind."""

import contextlib
from collections.abc import Callable
from typing import TextIO

from twisted.logger import LogEvent, LogLevel, formatEvent

from cloverwell.log_stream import standard_error

PER_SECOND = 5  # lines of one kind: an outage repeats itself thousands of times a second


class Log:
    def __init__(self, now: Callable[[], float], stream: TextIO | None = None) -> None:
        """`stream`: in place of standard error."""
        self._now = now
        self._stream = stream
        self._standard_error = standard_error() if stream is None else None
        self._kinds: dict[str, tuple[float, int]] = {}  # kind -> second's start, lines since

    def info(self, kind: str, text: str) -> None:
        self._write("info", kind, text)

    def warn(self, kind: str, text: str) -> None:
        self._write("warn", kind, text)

    def fault(self, event: LogEvent) -> None:
        """Twisted's observer: exceptions that nothing expected, each in one line."""
        if event["log_level"] >= LogLevel.error:
            failure = event.get("log_failure")
            text = failure.getTraceback() if failure else formatEvent(event)
            self._write("warn", "fault", " | ".join(text.split("\n")))

    def _write(self, level: str, kind: str, text: str) -> None:
        now = self._now()
        since, lines = self._kinds.get(kind, (now, 0))
        if now - since >= 1000.0:
            if lines > PER_SECOND:
                self._line(level, kind, f"{lines - PER_SECOND} more lines of this kind were left out")
            since, lines = now, 0
        self._kinds[kind] = (since, lines + 1)
        if lines < PER_SECOND:
            self._line(level, kind, text)

    def _line(self, level: str, kind: str, text: str) -> None:
        # Whoever reads the log may go away or stand still, or its disk be full: the proxy goes on without it.
        line = f"{self._now():.0f} {level} {kind}: {text}"
        if self._standard_error is not None:
            self._standard_error.write_line(line)
        elif self._stream is not None:
            with contextlib.suppress(OSError, ValueError):
                print(line, file=self._stream, flush=True)
