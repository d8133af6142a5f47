"""The program's one reactor: Twisted's epoll reactor, with its delayed calls on the monotonic clock.

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


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose delayed calls follow the monotonic clock and not the wall clock."""

    def seconds(self) -> float:
        """Return the monotonic clock in seconds. Only differences of its readings mean anything."""
        return time.monotonic()


def install_reactor() -> MonotonicReactor:
    """Make this process's reactor, install it as Twisted's default, and return it.

    Raises:
        ReactorAlreadyInstalledError: a reactor is installed already. Its delayed calls would follow the wall
        clock.

    """
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)
    return reactor
