"""A long value on its way from a node's connection to a client's, passed on while it comes. No I/O.

The source tells what comes (`piece`, `whole`, `broken`); the sink, once its turn has come, takes it (`open`),
and says when it wants no more for now (`hold`, `go_on`), or nothing any more (`drop`). Until it is opened the
source is held back, and so the sender is, by its own connection: nothing gathers here but one byte. That last
byte is passed on only when the end of the value is known to be sound, so a spoilt one never looks whole.
"""

from collections.abc import Callable
from enum import Enum

LONG = 64 * 1024  # from here on a value is passed on while it comes
LONGEST = 4 * 1024 * 1024
AHEAD = (8 * 1024, 64 * 1024)  # what a client that reads slowly may be behind, at the least and at the most


class StreamStage(Enum):
    WAITING = "waiting"  # its turn in the order of answers has not come
    OPEN = "open"
    ENDED = "ended"


def ahead(room: int, flows: int) -> int:
    """How far each of so many may be ahead of its reader, where all together have `room` bytes."""
    return max(AHEAD[0], min(AHEAD[1], room // max(1, flows)))


class StreamedValue:
    """One value of `length` bytes. A sink that takes the Served answer with it sets `wanted`."""

    def __init__(
        self, length: int, hold: Callable[[], None], go_on: Callable[[], None], stop: Callable[[], None]
    ) -> None:
        """What the source does when the sink wants no more for now, more again, or nothing any more."""
        self.length = length
        self.left = length
        self.stage = StreamStage.WAITING
        self.wanted = False
        self._hold, self._go_on, self._stop = hold, go_on, stop
        self._take: Callable[[bytes], None] = lambda data: None
        self._end: Callable[[bool], None] = lambda whole: None
        self._last = b""

    # The sink ---------------------------------------------------------------------------------------

    def open(self, take: Callable[[bytes], None], end: Callable[[bool], None]) -> None:
        """`end` is called once, with whether all of it has come."""
        self._take, self._end = take, end
        if self.stage is StreamStage.ENDED:  # it broke while it waited
            end(False)
            return
        self.stage = StreamStage.OPEN
        self._go_on()

    def hold(self) -> None:
        if self.stage is StreamStage.OPEN:
            self._hold()

    def go_on(self) -> None:
        if self.stage is StreamStage.OPEN:
            self._go_on()

    def drop(self) -> None:
        """The reader has gone."""
        if self.stage is not StreamStage.ENDED:
            self.stage = StreamStage.ENDED
            self._stop()

    # The source -------------------------------------------------------------------------------------

    def piece(self, data: bytes) -> None:
        self.left -= len(data)
        if not self.left:
            data, self._last = data[:-1], data[-1:]
        if data and self.stage is StreamStage.OPEN:
            self._take(data)

    def whole(self) -> None:
        """All has come, and its end is sound."""
        if self.stage is StreamStage.OPEN:
            self._take(self._last)
        self._finish(True)

    def broken(self) -> None:
        self._finish(False)

    def _finish(self, whole: bool) -> None:
        was, self.stage = self.stage, StreamStage.ENDED
        if was is StreamStage.OPEN:
            self._end(whole)
