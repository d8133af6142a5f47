"""The proxy's clock and its timer wheel of coarse ticks."""

import math
import time
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime
from twisted.logger import Logger

SLOTS = 1024
# A tick that is so late, or a turn of the loop so long: what stands in sockets' buffers may be that old, and
# is looked at before anything that may hang on it leaves. A quarter of the 100 ms after which nothing may
# begin for a client that has left; the look at connections that are not read has another.
STALL_MS = 25.0


def monotonic_ms() -> float:
    return time.monotonic() * 1000.0


class Timer:
    """One entry of the wheel; `cancel` may be called at any time."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class TimerWheel:
    """Fires deadlines at the last tick that does not overrun them.

    One tick costs the reactor one delayed call, however many timers there are. The clock is monotonic: a
    step of the wall clock must not end every request at once.
    """

    def __init__(
        self, reactor: IReactorTime, granularity_ms: float, now: Callable[[], float] = monotonic_ms
    ) -> None:
        self.now = now
        self.granularity_ms = max(1.0, granularity_ms)
        self.last_tick_delay_ms = (
            0.0  # how late the last tick came: the loop, or the machine, was held up so long
        )
        self.each_tick: Callable[[], None] = lambda: None
        self.on_stall: Callable[[], None] = lambda: None  # looks at what came meanwhile
        # The tick came late, and what came to the sockets meanwhile may not have been read yet: who judges by
        # age alone waits for the next tick, before which the loop reads. Never true of two ticks in a row.
        self.just_stalled = False
        self._reactor = reactor
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = math.floor(now() / self.granularity_ms)
        self._faults = Logger(namespace="wheel")

    @property
    def unread_delay_ms(self) -> float:
        """How long what is read now may have lain in its socket's buffer: the last tick came late, or this
        turn of the loop is a long one."""
        return max(self.last_tick_delay_ms, self.now() - (self._tick + 1) * self.granularity_ms)

    def check_after_stall(self) -> None:
        """Called before anything leaves: if the loop was held up, what came meanwhile is looked at first."""
        if self.unread_delay_ms > STALL_MS:
            try:
                self.on_stall()
            except Exception:  # a look that fails must not hold up the deadlines
                self._faults.failure("look")

    def start(self) -> None:
        self._arm()

    def _arm(self) -> None:
        due_ms = (self._tick + 1) * self.granularity_ms
        self._reactor.callLater(max(0.0, due_ms - self.now()) / 1000.0, self._turn)

    def at(self, deadline_ms: float, call: Callable[[], None]) -> Timer:
        """Rounds down: the call comes before the deadline, or with the next tick where that is past."""
        return self._put(math.floor(deadline_ms / self.granularity_ms), call)

    def not_before(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Rounds up: for an attempt's end, since one called out early would be given a second attempt of a
        few ms."""
        return self._put(math.ceil(due_ms / self.granularity_ms), call)

    def _put(self, tick: int, call: Callable[[], None]) -> Timer:
        tick = max(self._tick + 1, tick)
        timer = Timer(tick, call)
        self._slots[tick % SLOTS].append(timer)
        return timer

    def _turn(self) -> None:
        now = self.now()
        until = math.floor(now / self.granularity_ms + 1e-6)
        self.last_tick_delay_ms = max(0.0, now - (self._tick + 1) * self.granularity_ms)
        self.just_stalled = self.last_tick_delay_ms > STALL_MS and not self.just_stalled
        try:
            self.check_after_stall()  # the ticks come before the reads
            self._advance(until)
            self.each_tick()
        finally:
            # A tick that fails must not be the last one: every deadline hangs on the wheel.
            self._arm()

    def _advance(self, until: int) -> None:
        """Fires each tick up to `until`; behind a long hold-up the ticks before the next due timer, of which
        there may be millions, are passed over."""
        while self._tick < until:
            if until - self._tick > SLOTS:
                self._tick = min(self._next_due(), until + 1) - 1
            for tick in range(self._tick + 1, min(until, self._tick + SLOTS) + 1):
                self._tick = tick
                self._fire(tick)

    def _next_due(self) -> float:
        """The tick of the first timer."""
        ticks = (timer.tick for slot in self._slots for timer in slot if timer.call is not None)
        return min(ticks, default=math.inf)

    def _fire(self, tick: int) -> None:
        slot = self._slots[tick % SLOTS]
        if not slot:
            return
        self._slots[tick % SLOTS] = [timer for timer in slot if timer.tick > tick and timer.call]
        for timer in slot:
            if timer.tick <= tick and timer.call is not None:
                call, timer.call = timer.call, None
                try:
                    call()
                except Exception:  # one fault must not take the other deadlines of the tick with it
                    self._faults.failure("timer")
