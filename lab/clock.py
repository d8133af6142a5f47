"""Virtual time with Twisted's `IReactorTime`: calls run in order of their time, then of their making."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer

START_S = 1000.0  # what virtual clocks show when a simulation begins


@implementer(IReactorTime)
class VirtualTime:
    """Twisted's own `task.Clock` sorts all calls at each new one; this one is a heap."""

    def __init__(self, start_s: float = START_S) -> None:
        """`start_s`: what the clock shows at first."""
        self._now = start_s
        self._heap: list[tuple[float, int, DelayedCall]] = []
        self._order = itertools.count()
        self.steps = 0  # calls made so far

    def seconds(self) -> float:
        """The virtual time in seconds."""
        return self._now

    def now_ms(self) -> float:
        """The virtual time in ms."""
        return self._now * 1000.0

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> DelayedCall:
        """As `IReactorTime.callLater`; a delay below 0 counts as 0."""
        call = DelayedCall(
            self._now + max(0.0, delay), callable, args, kw, lambda _call: None, self._again, self.seconds
        )
        heapq.heappush(self._heap, (call.getTime(), next(self._order), call))
        return call

    def _again(self, call: DelayedCall) -> None:
        heapq.heappush(self._heap, (call.getTime(), next(self._order), call))

    def getDelayedCalls(self) -> list[DelayedCall]:
        """The calls that are not made yet, in their order."""
        return [call for _, _, call in sorted(self._heap, key=lambda entry: entry[:2]) if call.active()]

    def run_until(self, end_s: float) -> None:
        """Makes all calls that are due until then."""
        while self._heap and self._heap[0][0] <= end_s:
            due, _, call = heapq.heappop(self._heap)
            if not call.active() or call.getTime() > due:  # cancelled, or moved back
                continue
            self._now = max(self._now, due)
            self.steps += 1
            call.called = 1
            call.func(*call.args, **call.kw)
        self._now = max(self._now, end_s)

    def run_for(self, seconds: float) -> None:
        """Makes all calls that are due within so many seconds from now."""
        self.run_until(self._now + seconds)
