"""One timer for a state machine that names the time of its next event."""

from __future__ import annotations

from collections.abc import Callable

from cloverwell.control.net.reactor_types import DelayedCall, Reactor

MS_PER_S = 1000.0


class DeadlineTimer:
    """Calls a function once, at the deadline that was set last.

    The deadline is a time in milliseconds of the same clock as `now`. The delayed call is moved rather than
    replaced, because most deadlines are set anew many times before they pass.
    """

    def __init__(self, reactor: Reactor, now: Callable[[], float], on_deadline: Callable[[], None]) -> None:
        """Takes the clock (ms, monotonic) and the function to call. No deadline is set yet."""
        self._reactor = reactor
        self._now = now
        self._on_deadline = on_deadline
        self._delayed_call: DelayedCall | None = None

    def set(self, deadline_ms: float) -> None:
        """Replaces the deadline. One that has passed is due in the next turn of the reactor."""
        delay_s = max(0.0, deadline_ms - self._now()) / MS_PER_S
        if self._delayed_call is not None:
            self._delayed_call.reset(delay_s)
        else:
            self._delayed_call = self._reactor.callLater(delay_s, self._call)

    def cancel(self) -> None:
        """Drops the deadline, if one is set."""
        if self._delayed_call is not None:
            self._delayed_call.cancel()
            self._delayed_call = None

    def _call(self) -> None:
        self._delayed_call = None
        self._on_deadline()
