"""A long value that is passed on from a node's connection to a client's while it arrives. No I/O.

The source is the node's connection: it reports what arrives (`receive`, `complete`, `abort`). The sink is the
client's connection: it takes the data once all answers before this one have been sent (`open`), pauses and
resumes the source (`pause_source`, `resume_source`), or stops it (`cancel`). Until `open` the source is
paused, and flow control of its connection pauses the node. Nothing is buffered here except the last byte. It
is passed on only when the end of the value is known to be well-formed, so that a malformed value never looks
complete.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

STREAMING_THRESHOLD_BYTES = 64 * 1024  # a longer value is passed on while it arrives
MAX_STREAMED_VALUE_BYTES = 4 * 1024 * 1024  # the length of the longest value that is accepted
# The least and the most bytes that are buffered for a client that reads more slowly than the value arrives.
READ_AHEAD_BOUNDS_BYTES = (8 * 1024, 64 * 1024)


class StreamStage(Enum):
    """The state of a streamed value as its sink sees it."""

    WAITING = "waiting"  # answers that the client gets before this one have not been sent
    OPEN = "open"  # the sink takes the data
    ENDED = "ended"  # the value is complete, broken off or cancelled


def read_ahead_bytes(buffer_bytes: float, streams: int) -> int:
    """Returns how many bytes are buffered for each of the `streams`, which share `buffer_bytes`."""
    least_bytes, most_bytes = READ_AHEAD_BOUNDS_BYTES
    return int(max(least_bytes, min(most_bytes, buffer_bytes / max(1, streams))))


class StreamedValue:
    """One long value. The client's connection that takes it as an answer sets `has_sink`."""

    def __init__(
        self, length: int, pause: Callable[[], None], resume: Callable[[], None], stop: Callable[[], None]
    ) -> None:
        """Sets up a value of `length` bytes whose source is controlled by three calls.

        `pause` stops the source for now, `resume` has it go on, and `stop` ends it.
        """
        self.length = length
        self.remaining_bytes = length
        self.stage = StreamStage.WAITING
        self.has_sink = False
        self._pause, self._resume, self._stop = pause, resume, stop
        self._take: Callable[[bytes], None] = lambda _data: None
        self._end: Callable[[bool], None] = lambda _is_complete: None
        self._last_byte = b""

    # The sink ---------------------------------------------------------------------------------------

    def open(self, take: Callable[[bytes], None], end: Callable[[bool], None]) -> None:
        """Passes the data to `take` from now on, and at the end calls `end`: True for a complete value."""
        self._take, self._end = take, end
        if self.stage is StreamStage.ENDED:  # the node broke it off while it waited
            end(False)
            return
        self.stage = StreamStage.OPEN
        self._resume()

    def pause_source(self) -> None:
        """Pauses the source until `resume_source` is called."""
        if self.stage is StreamStage.OPEN:
            self._pause()

    def resume_source(self) -> None:
        """Resumes a source that `pause_source` has paused."""
        if self.stage is StreamStage.OPEN:
            self._resume()

    def cancel(self) -> None:
        """Stops the source, because nobody takes the value any more."""
        if self.stage is not StreamStage.ENDED:
            self.stage = StreamStage.ENDED
            self._stop()

    # The source -------------------------------------------------------------------------------------

    def receive(self, data: bytes) -> None:
        """Passes on the next bytes, except the last byte of the value."""
        self.remaining_bytes -= len(data)
        if not self.remaining_bytes:
            data, self._last_byte = data[:-1], data[-1:]
        if data and self.stage is StreamStage.OPEN:
            self._take(data)

    def complete(self) -> None:
        """Passes on the last byte of a value that has arrived completely, and ends it as complete."""
        if self.stage is StreamStage.OPEN:
            self._take(self._last_byte)
        self._finish(True)

    def abort(self) -> None:
        """Ends the value as incomplete, because the rest of it will not arrive."""
        self._finish(False)

    def _finish(self, is_complete: bool) -> None:
        last_stage, self.stage = self.stage, StreamStage.ENDED
        if last_stage is StreamStage.OPEN:
            self._end(is_complete)
