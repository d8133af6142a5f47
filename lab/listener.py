"""A listening socket of the lab's network, which several processes may share."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any, Protocol

from cloverwell.front.port import MOST_TURNS
from lab.system_call_faults import calls_of

REST_S = 0.02  # of a port whose accept has failed for want of something: who connects waits in the queue
Address = tuple[str, int]


class FarEnd(Protocol):
    """The listening side's end of a connection."""

    def turn_away(self) -> None:
        """It is reset before any program has had it."""


class NetForListener(Protocol):
    """What a listener needs of its network."""

    listeners: dict[Address, Any]

    def callLater(self, delay: float, call: Callable[[], None]) -> Any: ...

    def accepted(self, listener: Listener, far: Any) -> None:
        """The listener's program takes the connection."""


class Listener:
    """As `port.BoundedPort`, with the machine's queue of connections that are not accepted yet."""

    def __init__(self, net: NetForListener, address: Address, factory: Any, owner: object = None) -> None:
        self.net, self.address, self.factory, self.owner = net, address, factory, owner
        self.paused = False
        self.shares: list[Listener] = [self]  # of one socket, the latest last
        self._queue: list[FarEnd] = []  # connections that wait to be accepted
        self._retries = False  # an accept that failed is tried again after the rest

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        self._accept_waiting()

    def _retry(self) -> None:
        self._retries = False
        self._accept_waiting()

    def _accept_waiting(self) -> None:
        queue = self._queue[:]
        self._queue.clear()
        for far in queue:
            self.accept(far, waited=True)

    def accept(self, far: FarEnd, waited: bool = False) -> None:
        """The connection whose end here is `far` is taken by the program, or waits until it can be."""
        taker = next((listener for listener in reversed(self.shares) if not listener.paused), None)
        if taker is None:
            self._queue.append(far)
            return
        match calls_of(taker.owner).accept_error_number(waited):
            case None:
                self.net.accepted(taker, far)
            case errno.ECONNABORTED:
                far.turn_away()
            case _:  # the proxy's port rests for a moment
                self._queue.append(far)
                if not self._retries:
                    self._retries = True
                    self.net.callLater(REST_S, self._retry)

    def share(self) -> Listener:
        """As `port.BoundedPort`: what another process adopts."""
        return self

    def stopListening(self) -> None:
        """The socket goes on listening while another process has it."""
        if self.shares == [self]:
            self._accept_last()
        if self in self.shares:
            self.shares.remove(self)
        if not self.shares:
            self.net.listeners.pop(self.address, None)
            queue, self._queue[:] = self._queue[:], []
            for far in queue:
                far.turn_away()
        elif self.net.listeners.get(self.address) is self:
            self.net.listeners[self.address] = self.shares[-1]

    def _accept_last(self) -> None:
        """What still waits would be reset: it is taken first, as far as accepts do not fail all the time."""
        for _ in range(MOST_TURNS):
            if self._queue:
                self.paused = False
                self._accept_waiting()
