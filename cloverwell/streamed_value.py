"""A long value that is passed on from a node's connection to a client's while it arrives. No I/O.

The source reports what arrives (`receive`, `complete`, `abort`). The sink takes it once its turn has come
(`open`), says when it wants no more for now (`pause_source`, `resume_source`), or nothing any more
(`cancel`). Until it is opened the source is held, and so is the sender, by its connection's flow control:
nothing is buffered here except one byte. That last byte is passed on only when the end of the value is known
to be sound, so that a malformed value never looks complete.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

STREAMING_THRESHOLD_BYTES = 64 * 1024  # a value of more bytes is passed on while it arrives
MAX_STREAMED_VALUE_BYTES = 4 * 1024 * 1024  # bytes of a value at most
READ_AHEAD_BOUNDS_BYTES = (
    8 * 1024,
    64 * 1024,
)  # bytes that a slow client may be behind, at the least and at the most


class StreamStage(Enum):
    """How far the sink is."""

    WAITING = "waiting"  # its turn in the order of answers has not come
    OPEN = "open"
    ENDED = "ended"


def read_ahead_bytes(buffer_bytes: int, streams: int) -> int:
    """Returns how many bytes each stream may be ahead of its reader; all of them share `buffer_bytes`."""
    return max(READ_AHEAD_BOUNDS_BYTES[0], min(READ_AHEAD_BOUNDS_BYTES[1], buffer_bytes // max(1, streams)))


class StreamedValue:
    """One value of `length` bytes. A sink that takes the Served answer with it sets `has_sink`."""

    def __init__(
        self, length: int, pause: Callable[[], None], resume: Callable[[], None], stop: Callable[[], None]
    ) -> None:
        """Makes a value of `length` bytes whose source has these three calls.

        They are called when the sink wants no more for now, more again, or nothing any more.
        """
        self.length = length
        self.remaining_bytes = length
        self.stage = StreamStage.WAITING
        self.has_sink = False
        self._pause, self._resume, self._stop = pause, resume, stop
        self._take: Callable[[bytes], None] = lambda _data: None
        self._end: Callable[[bool], None] = lambda _whole: None
        self._last = b""

    # The sink ---------------------------------------------------------------------------------------

    def open(self, take: Callable[[bytes], None], end: Callable[[bool], None]) -> None:
        """Has the pieces given to `take`; `end` is called once, with whether all of the value has come."""
        self._take, self._end = take, end
        if self.stage is StreamStage.ENDED:  # it broke while it waited
            end(False)
            return
        self.stage = StreamStage.OPEN
        self._resume()

    def pause_source(self) -> None:
        """Asks the source for no more until `resume_source`."""
        if self.stage is StreamStage.OPEN:
            self._pause()

    def resume_source(self) -> None:
        """Asks the source for more again."""
        if self.stage is StreamStage.OPEN:
            self._resume()

    def cancel(self) -> None:
        """Stops the source, since the reader has gone."""
        if self.stage is not StreamStage.ENDED:
            self.stage = StreamStage.ENDED
            self._stop()

    # The source -------------------------------------------------------------------------------------

    def receive(self, data: bytes) -> None:
        """Passes on the next bytes, except the last byte of the value."""
        self.remaining_bytes -= len(data)
        if not self.remaining_bytes:
            data, self._last = data[:-1], data[-1:]
        if data and self.stage is StreamStage.OPEN:
            self._take(data)

    def complete(self) -> None:
        """Completes the value, all of which has come and whose end is sound."""
        if self.stage is StreamStage.OPEN:
            self._take(self._last)
        self._finish(True)

    def abort(self) -> None:
        """Ends the value, the rest of which will not come."""
        self._finish(False)

    def _finish(self, whole: bool) -> None:
        was, self.stage = self.stage, StreamStage.ENDED
        if was is StreamStage.OPEN:
            self._end(whole)
