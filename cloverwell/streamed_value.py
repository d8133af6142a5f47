"""A long value that is passed on from a node's connection to a client's while it arrives. No I/O.

The source reports what arrives (`piece`, `whole`, `broken`). The sink takes it once its turn has come
(`open`), says when it wants no more for now (`hold`, `go_on`), or nothing any more (`drop`). Until it is
opened the source is held, and so is the sender, by its connection's flow control: nothing is buffered here
except one byte. That last byte is passed on only when the end of the value is known to be sound, so that a
malformed value never looks complete.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

LONG = 64 * 1024  # a value of more bytes is passed on while it arrives
LONGEST = 4 * 1024 * 1024  # bytes of a value at most
AHEAD = (8 * 1024, 64 * 1024)  # bytes that a slow client may be behind, at the least and at the most


class StreamStage(Enum):
    """How far the sink is."""

    WAITING = "waiting"  # its turn in the order of answers has not come
    OPEN = "open"
    ENDED = "ended"


def ahead(room: int, streams: int) -> int:
    """Returns how many bytes each stream may be ahead of its reader, where all of them share `room` bytes."""
    return max(AHEAD[0], min(AHEAD[1], room // max(1, streams)))


class StreamedValue:
    """One value of `length` bytes. A sink that takes the Served answer with it sets `wanted`."""

    def __init__(
        self, length: int, hold: Callable[[], None], go_on: Callable[[], None], stop: Callable[[], None]
    ) -> None:
        """Makes a value of `length` bytes whose source has these three calls.

        They are called when the sink wants no more for now, more again, or nothing any more.
        """
        self.length = length
        self.left = length
        self.stage = StreamStage.WAITING
        self.wanted = False
        self._hold, self._go_on, self._stop = hold, go_on, stop
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
        self._go_on()

    def hold(self) -> None:
        """Asks the source for no more until `go_on`."""
        if self.stage is StreamStage.OPEN:
            self._hold()

    def go_on(self) -> None:
        """Asks the source for more again."""
        if self.stage is StreamStage.OPEN:
            self._go_on()

    def drop(self) -> None:
        """Stops the source, since the reader has gone."""
        if self.stage is not StreamStage.ENDED:
            self.stage = StreamStage.ENDED
            self._stop()

    # The source -------------------------------------------------------------------------------------

    def piece(self, data: bytes) -> None:
        """Passes on the next bytes, except the last byte of the value."""
        self.left -= len(data)
        if not self.left:
            data, self._last = data[:-1], data[-1:]
        if data and self.stage is StreamStage.OPEN:
            self._take(data)

    def whole(self) -> None:
        """Completes the value, all of which has come and whose end is sound."""
        if self.stage is StreamStage.OPEN:
            self._take(self._last)
        self._finish(True)

    def broken(self) -> None:
        """Ends the value, the rest of which will not come."""
        self._finish(False)

    def _finish(self, whole: bool) -> None:
        was, self.stage = self.stage, StreamStage.ENDED
        if was is StreamStage.OPEN:
            self._end(whole)
