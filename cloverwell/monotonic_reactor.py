"""The program's one reactor: Twisted's epoll reactor on the monotonic clock, with bounded turns.

Twisted takes the time of its delayed calls from `ReactorBase.seconds`, which is `time.time`: the wall clock.
After a step back of that clock no delayed call runs until the clock has caught up, and after a step forward
all run at once. Every deadline of the program depends on delayed calls, so the reactor must not see such
steps.

This is the only module that imports or installs a reactor. A program calls `install_reactor` before anything
imports `twisted.internet.reactor`.
"""

from __future__ import annotations

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor
from twisted.python import log

# The most descriptors that one turn of the event loop handles. The kernel returns those that stay ready in
# rotation, so the others come next.
MAX_EVENTS_PER_TURN = 64


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose delayed calls follow the monotonic clock and not the wall clock.

    A turn handles the events of at most `MAX_EVENTS_PER_TURN` descriptors. In Twisted's own reactor the
    timers wait until those of all descriptors that are ready have been handled.
    """

    def seconds(self) -> float:
        """Return the monotonic clock in seconds. Only differences of its readings mean anything."""
        return time.monotonic()

    def doPoll(self, timeout: float | None) -> None:
        """Wait up to `timeout` seconds for events, and handle them; None waits without a limit."""
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, MAX_EVENTS_PER_TURN)
        except InterruptedError:  # A signal came; the next turn waits again.
            return
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:  # An earlier event of this turn may have closed it.
                log.callWithLogger(selectable, self._doReadOrWrite, selectable, descriptor, event)

    doIteration = doPoll


def install_reactor() -> MonotonicReactor:
    """Make this process's reactor, install it as Twisted's default, and return it.

    Raises:
        ReactorAlreadyInstalledError: a reactor is installed already. Its delayed calls would follow the wall
        clock.

    """
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)
    return reactor
