"""The monotonic clock, and a hashed timer wheel on it with coarse ticks.

The timer wheel follows scheme 6 of Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987):
each slot has the timers of all ticks that are equal modulo the number of slots.
"""

import math
import time
from collections.abc import Callable
from typing import Protocol

from twisted.logger import Logger

from cloverwell.loop_work import LoopWork

SLOTS = 1024

# The event loop has stalled if a tick comes this late, or if one turn of the loop takes this long. A client's
# close may then have waited as long in its socket's buffer, so the sockets are checked before anything is
# sent. This is a quarter of the 100 ms after which no attempt may start for a client that has disconnected.
# The periodic check of connections that are not being read takes another quarter.
STALL_MS = 25.0

# A wake-up that comes early by no more than this part of a tick counts as in time: the reactor rounds delays.
ROUNDING_TICKS = 1e-6


class DelayedCallReactor(Protocol):
    """The part of `twisted.internet.interfaces.IReactorTime` that schedules calls.

    The interface itself declares its methods without `self`, which type checkers do not accept.
    """

    def callLater(self, delay: float, callable: Callable[[], None]) -> object:
        """Make the call after `delay` seconds."""


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds. Only differences of its readings mean anything."""
    return time.monotonic() * 1000.0


class Timer:
    """One scheduled call of the timer wheel."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        """Set up the call for the tick with that number."""
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Prevent the call. This has no effect once the call has been made."""
        self.call = None


class TimerWheel:
    """Makes calls at ticks of a fixed period.

    The reactor has one delayed call for each tick, however many timers there are. The clock is monotonic:
    with the wall clock, a step of it could make all requests time out at once.

    Attributes:
        now: returns the clock's reading in milliseconds.
        granularity_ms: the time from one tick to the next.
        last_tick_delay_ms: how late the last tick came, because the event loop or the machine had stalled.
        just_stalled: whether the last tick came late. Data that arrived during the stall may not have been
            read yet, so a peer that seems silent is not given up before the next tick: by then the event
            loop has read. It is never true of two ticks in a row.
        before_timers: called at each wake-up, before its timers.
        on_tick: called after the timers of each wake-up.
        on_stall: called after a stall, to check what has arrived at the sockets meanwhile.
        work: what the event loop has done since the last tick; those who do it count it.
        report_stall: called with the delay in ms and the work when a tick has come late.

    """

    def __init__(
        self, reactor: DelayedCallReactor, granularity_ms: float, now: Callable[[], float] = monotonic_ms
    ) -> None:
        """Set up a wheel that makes no calls before `start`. Its granularity is at least 1 ms."""
        self.now = now
        self.granularity_ms = max(1.0, granularity_ms)
        self.last_tick_delay_ms = 0.0
        self.just_stalled = False
        self.before_timers: Callable[[], None] = lambda: None
        self.on_tick: Callable[[], None] = lambda: None
        self.on_stall: Callable[[], None] = lambda: None
        self.work = LoopWork()
        self.report_stall: Callable[[float, LoopWork], None] = lambda _delay_ms, _work: None
        self._reactor = reactor
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = math.floor(now() / self.granularity_ms)
        self._logger = Logger(namespace="wheel")

    @property
    def unread_delay_ms(self) -> float:
        """The time in ms for which data that is read now may have waited in its socket's buffer.

        It is the delay of the last tick, or by how much the next one is already late, whichever is more.
        """
        return max(self.last_tick_delay_ms, self.now() - (self._tick + 1) * self.granularity_ms)

    def check_after_stall(self) -> None:
        """Call `on_stall` if the event loop has stalled. Callers do this before they send anything."""
        if self.unread_delay_ms > STALL_MS:
            try:
                self.on_stall()
            except Exception:  # An error in the check must not keep the timers from being called.
                self._logger.failure("check after stall")

    def start(self) -> None:
        """Begin to make calls."""
        self._schedule_wake_up()

    def _schedule_wake_up(self) -> None:
        due_ms = (self._tick + 1) * self.granularity_ms
        self._reactor.callLater(max(0.0, due_ms - self.now()) / 1000.0, self._wake_up)

    def call_by(self, deadline_ms: float, call: Callable[[], None]) -> Timer:
        """Make the call at the last tick not after `deadline_ms`, or at the next tick if that has passed."""
        return self._add(math.floor(deadline_ms / self.granularity_ms), call)

    def call_not_before(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Make the call at the first tick that is not before `due_ms`.

        The timeout of an attempt uses this. If it came a few milliseconds early, another attempt would be
        started with only those milliseconds left.
        """
        return self._add(math.ceil(due_ms / self.granularity_ms), call)

    def call_in_next_turn(self, call: Callable[[], None]) -> None:
        """Make the call in the next turn of the event loop, after what this one has still to do."""
        self._reactor.callLater(0.0, call)

    def _add(self, tick: int, call: Callable[[], None]) -> Timer:
        tick = max(self._tick + 1, tick)
        timer = Timer(tick, call)
        self._slots[tick % SLOTS].append(timer)
        return timer

    def _wake_up(self) -> None:
        now = self.now()
        current_tick = math.floor(now / self.granularity_ms + ROUNDING_TICKS)
        self.last_tick_delay_ms = max(0.0, now - (self._tick + 1) * self.granularity_ms)
        self.just_stalled = self.last_tick_delay_ms > STALL_MS and not self.just_stalled
        if self.last_tick_delay_ms > STALL_MS:
            self.report_stall(self.last_tick_delay_ms, self.work)
        self.work.reset()
        try:
            self.before_timers()
            self.check_after_stall()  # before the timers: the reactor has not read the sockets yet
            self._advance(current_tick)
            self.on_tick()
        finally:
            # The wheel must go on after an exception, because every deadline depends on it.
            self._schedule_wake_up()

    def _advance(self, last_tick: int) -> None:
        """Make the calls of each tick up to `last_tick`.

        After a long stall the ticks up to the next timer are skipped: there may be millions of them.
        """
        while self._tick < last_tick:
            if last_tick - self._tick > SLOTS:
                self._tick = min(self._first_timer_tick(default=last_tick + 1), last_tick + 1) - 1
            for tick in range(self._tick + 1, min(last_tick, self._tick + SLOTS) + 1):
                self._tick = tick
                self._fire(tick)

    def _first_timer_tick(self, default: int) -> int:
        """Return the tick of the earliest timer, or `default` if there is none."""
        ticks = (timer.tick for slot in self._slots for timer in slot if timer.call is not None)
        return min(ticks, default=default)

    def _fire(self, tick: int) -> None:
        """Make the calls of one tick. Timers of later ticks that share the slot stay in it."""
        slot = self._slots[tick % SLOTS]
        if not slot:
            return
        self._slots[tick % SLOTS] = [timer for timer in slot if timer.tick > tick and timer.call]
        for timer in slot:
            if timer.tick <= tick and timer.call is not None:
                call, timer.call = timer.call, None
                self.work.timers += 1
                try:
                    call()
                except Exception:  # One call that fails must not prevent the others of the tick.
                    self._logger.failure("timer")
