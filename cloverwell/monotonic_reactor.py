"""The program's one reactor: Twisted's epoll reactor, with its delayed calls on the monotonic clock.

Twisted takes the time of its delayed calls from `ReactorBase.seconds`, which is `time.time`: the wall clock.
After a step back of that clock no delayed call runs until it has caught up, and after a step forward all run
at once. Every deadline of the program hangs on delayed calls, so the reactor must not see such steps.

This is the only module that imports or installs a reactor. Whoever needs one calls `install_reactor`, before
anything imports `twisted.internet.reactor`.
"""

from __future__ import annotations

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """Delayed calls are due by real time that has passed, whatever becomes of the time of day."""

    def seconds(self) -> float:
        """Seconds of the monotonic clock; only their differences mean anything."""
        return time.monotonic()


def install_reactor() -> MonotonicReactor:
    """Makes this process's reactor, and Twisted's default one. Raises `ReactorAlreadyInstalledError` where
    there is one already: what has been scheduled on that would follow another clock."""
    reactor = MonotonicReactor()
    installReactor(reactor)
    return reactor
