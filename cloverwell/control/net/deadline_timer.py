"""A timer for a state machine that tells when its next event is due."""

from __future__ import annotations

from collections.abc import Callable

from cloverwell.control.net.reactor_types import DelayedCall, Reactor

MS_PER_S = 1000.0


class DeadlineTimer:
    """Calls a function once, at the deadline that was set last.

    The deadline is a time in milliseconds on the same clock as `now`. Setting a new deadline moves the
    delayed call instead of replacing it, because most deadlines are moved many times before they pass.
    """

    def __init__(self, reactor: Reactor, now: Callable[[], float], on_deadline: Callable[[], None]) -> None:
        """Sets the monotonic clock, in ms, and the function to call at a deadline. No deadline is set yet."""
        self._reactor = reactor
        self._now = now
        self._on_deadline = on_deadline
        self._delayed_call: DelayedCall | None = None

    def set(self, deadline_ms: float) -> None:
        """Replaces the deadline. A deadline in the past is due in the next turn of the reactor."""
        delay_s = max(0.0, deadline_ms - self._now()) / MS_PER_S
        if self._delayed_call is not None:
            self._delayed_call.reset(delay_s)
        else:
            self._delayed_call = self._reactor.callLater(delay_s, self._call)

    def cancel(self) -> None:
        """Removes the deadline, if one is set."""
        if self._delayed_call is not None:
            self._delayed_call.cancel()
            self._delayed_call = None

    def _call(self) -> None:
        self._delayed_call = None
        self._on_deadline()
