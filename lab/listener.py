"""A listening socket of the simulated network, which several processes may share."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Any, Protocol

from cloverwell.front.port import ACCEPT_BACKOFF_S, ACCEPT_FAILURE_REPORT_INTERVAL_S, MAX_FINAL_ACCEPT_ROUNDS
from lab.system_call_faults import calls_of

Address = tuple[str, int]


class SocketOwner(Protocol):
    """A process that can end, and its sockets with it."""

    alive: bool


class FarEnd(Protocol):
    """The listening side's end of a connection."""

    def turn_away(self) -> None:
        """It is reset before any program has had it."""


class NetForListener(Protocol):
    """What a listener needs of its network."""

    listeners: dict[Address, Any]

    def seconds(self) -> float:
        """The virtual time in seconds."""

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> object:
        """As `IReactorTime.callLater`."""

    def accepted(self, listener: Listener, far: Any) -> None:
        """The listener's program takes the connection."""


class Listener:
    """As `port.BoundedPort`, with the machine's queue of connections that are not accepted yet."""

    def __init__(
        self, net: NetForListener, address: Address, factory: Any, owner: SocketOwner | None = None
    ) -> None:
        """`owner`: the process that accepts, if it can end; `factory`: makes its protocols."""
        self.net, self.address, self.factory, self.owner = net, address, factory, owner
        self.disconnecting = False  # an accept that fails is tried again at once, and starts no rest
        self.shares: list[Listener] = [self]  # of one socket, the latest last
        self.queue: list[FarEnd] = []  # connections that wait to be accepted, first come first served
        self._paused = False
        self._resting = False
        self._told_s: float | None = None  # when the factory heard last why accepts fail

    @property
    def is_accepting(self) -> bool:
        """The port is read: it neither rests nor is paused."""
        return not (self._resting or self._paused)

    def has_waiting_connections(self) -> bool:
        """A connection waits in the machine's queue."""
        return bool(self.queue)

    def pauseProducing(self) -> None:
        """Accepts nothing until `resumeProducing`."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Accepts again, first what waits."""
        self._paused = False
        self._accept_waiting()

    def accept(self, far: FarEnd) -> None:
        """The connection whose end here is `far` is taken by the program, or waits until it can be."""
        self.queue.append(far)
        self._accept_waiting(arriving=far)

    def _accept_waiting(self, arriving: FarEnd | None = None) -> None:
        """`arriving`: the one that has not waited, if that is in the queue."""
        while self.queue and (taker := self._taker()) is not None:
            far = self.queue[0]
            error_number = calls_of(taker.owner).accept_error_number(waited=far is not arriving)
            if error_number is None:
                del self.queue[0]
                self.net.accepted(taker, far)
            elif error_number == errno.ECONNABORTED:
                del self.queue[0]
                far.turn_away()
            else:
                taker.accept_failed(error_number)
                if taker.disconnecting:
                    return

    def _taker(self) -> Listener | None:
        """The process that takes the next connection, if one does now."""
        return next((listener for listener in reversed(self.shares) if listener.is_accepting), None)

    def accept_failed(self, error_number: int) -> None:
        """As `port.BackoffPort`: it rests, and tells its factory of each rest, and why once a second."""
        if not self.disconnecting:
            self._resting = True
            self.net.callLater(ACCEPT_BACKOFF_S, self._go_on)
            self.factory.accept_paused()
        now_s = self.net.seconds()
        if self._told_s is None or now_s - self._told_s >= ACCEPT_FAILURE_REPORT_INTERVAL_S:
            self._told_s = now_s
            self.factory.accept_failed(os.strerror(error_number))

    def _go_on(self) -> None:
        self._resting = False
        self._accept_waiting()

    def share_socket(self) -> Listener:
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
            queue, self.queue[:] = self.queue[:], []
            for far in queue:
                far.turn_away()
        elif self.net.listeners.get(self.address) is self:
            self.net.listeners[self.address] = self.shares[-1]

    def _accept_last(self) -> None:
        """What still waits would be reset: it is taken first, as far as accepts do not fail all the time."""
        self.disconnecting = True
        self._paused = self._resting = False
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            self._accept_waiting()
