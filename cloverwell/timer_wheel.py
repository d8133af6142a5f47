"""The monotonic clock, and a hashed timer wheel on it with coarse ticks.

The wheel follows scheme 6 of Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987): each
slot has the timers of all ticks that are equal modulo the number of slots.
"""

import math
import time
from collections.abc import Callable
from typing import Protocol

from twisted.logger import Logger

SLOTS = 1024

# The event loop has stalled if a tick comes this late, or if one turn of the loop takes this long. What is in
# the sockets' buffers may then be as old, and is checked before anything is sent that it may forbid. This is
# a quarter of the 100 ms after which nothing may begin for a client that has disconnected; the check of
# connections that are not read takes another quarter.
STALL_MS = 25.0

ROUNDING_TICKS = 1e-6  # by which a wake-up may come early, as its delay is rounded


class DelayedCallReactor(Protocol):
    """The part of `twisted.internet.interfaces.IReactorTime` that makes delayed calls.

    The interface itself declares its methods without `self`, which type checkers do not accept.
    """

    def callLater(self, delay: float, callable: Callable[[], None]) -> object:
        """Make the call after `delay` seconds."""


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds. Only differences of its readings mean anything."""
    return time.monotonic() * 1000.0


class Timer:
    """One entry of the wheel."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        """Make the call at the tick of that number."""
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Do not make the call. This has no effect after the call."""
        self.call = None


class TimerWheel:
    """Makes calls at ticks of a fixed period.

    One tick costs the reactor one delayed call, however many timers there are. The clock is monotonic,
    because a step of the wall clock must not end every request at once.

    Attributes:
        now: returns the clock's reading in milliseconds.
        granularity_ms: time from one tick to the next.
        last_tick_delay_ms: how late the last tick came, because the event loop or the machine stalled.
        just_stalled: whether the last tick came late. What arrived at the sockets during the stall may not
            have been read yet, so a judgement by age alone has to wait for the next tick, before which the
            loop reads. It is never true of two ticks in a row.
        on_tick: called after the timers of each wake-up.
        on_stall: called after a stall, to check what arrived during it.

    """

    def __init__(
        self, reactor: DelayedCallReactor, granularity_ms: float, now: Callable[[], float] = monotonic_ms
    ) -> None:
        """Make no calls before `start`. The granularity is at least 1 ms."""
        self.now = now
        self.granularity_ms = max(1.0, granularity_ms)
        self.last_tick_delay_ms = 0.0
        self.just_stalled = False
        self.on_tick: Callable[[], None] = lambda: None
        self.on_stall: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = math.floor(now() / self.granularity_ms)
        self._logger = Logger(namespace="wheel")

    @property
    def unread_delay_ms(self) -> float:
        """How long data that is read now may have been in its socket's buffer.

        That is how late the last tick came or the next one already is, whichever is more.
        """
        return max(self.last_tick_delay_ms, self.now() - (self._tick + 1) * self.granularity_ms)

    def check_after_stall(self) -> None:
        """Call `on_stall` if the event loop has stalled. This is to be called before anything is sent."""
        if self.unread_delay_ms > STALL_MS:
            try:
                self.on_stall()
            except Exception:  # a check that fails must not delay the deadlines
                self._logger.failure("check after stall")

    def start(self) -> None:
        """Begin to tick."""
        self._schedule_wake_up()

    def _schedule_wake_up(self) -> None:
        due_ms = (self._tick + 1) * self.granularity_ms
        self._reactor.callLater(max(0.0, due_ms - self.now()) / 1000.0, self._wake_up)

    def call_by(self, deadline_ms: float, call: Callable[[], None]) -> Timer:
        """Make the call at the last tick not after the deadline, or at the next tick if it has passed."""
        return self._add(math.floor(deadline_ms / self.granularity_ms), call)

    def call_not_before(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Make the call at the first tick that is not before `due_ms`.

        This is for the end of an attempt: ended too early, it would be followed by another one of a few
        milliseconds.
        """
        return self._add(math.ceil(due_ms / self.granularity_ms), call)

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
        try:
            self.check_after_stall()  # the reactor makes delayed calls before it reads
            self._advance(current_tick)
            self.on_tick()
        finally:
            # A tick that fails must not be the last one, because every deadline depends on the wheel.
            self._schedule_wake_up()

    def _advance(self, last_tick: int) -> None:
        """Make the calls of each tick up to `last_tick`.

        After a long stall the ticks before the next timer, of which there may be millions, are skipped.
        """
        while self._tick < last_tick:
            if last_tick - self._tick > SLOTS:
                self._tick = min(self._first_timer_tick(default=last_tick + 1), last_tick + 1) - 1
            for tick in range(self._tick + 1, min(last_tick, self._tick + SLOTS) + 1):
                self._tick = tick
                self._fire(tick)

    def _first_timer_tick(self, default: int) -> int:
        """Return the tick of the earliest timer, or the default if there is none."""
        ticks = (timer.tick for slot in self._slots for timer in slot if timer.call is not None)
        return min(ticks, default=default)

    def _fire(self, tick: int) -> None:
        """Make the calls of one tick. The slot may hold timers of later rounds, which stay."""
        slot = self._slots[tick % SLOTS]
        if not slot:
            return
        self._slots[tick % SLOTS] = [timer for timer in slot if timer.tick > tick and timer.call]
        for timer in slot:
            if timer.tick <= tick and timer.call is not None:
                call, timer.call = timer.call, None
                try:
                    call()
                except Exception:  # one failing call must not prevent the others of the tick
                    self._logger.failure("timer")
