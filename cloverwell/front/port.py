"""A listening port that accepts no more in one turn of the loop than its factory has room for."""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from twisted.internet import tcp
from twisted.internet.error import CannotListenError

from cloverwell.codec.lines import readable
from cloverwell.system_calls import NEXT_CONNECTION, SHORTAGE

MOST_TURNS = 32  # at the end, each as many as the factory lets in at once: the machine's queue is shorter
MOST_FAILED = 16  # connections in a row that have ended before they were accepted; then the port rests
REST_S = 0.02  # after an accept that failed; reading on, the loop would turn without a pause
TELL_S = 1.0  # between two words to the factory that accepts fail
START_TRIES, START_PAUSE_S = 25, 0.02  # of the first socket, while the machine is short of something
# Of those an address that is in use, or is none of ours, is told at once.
PASSES = SHORTAGE - {errno.EADDRINUSE, errno.EADDRNOTAVAIL}

T = TypeVar("T")


class Bounded(Protocol):
    def may_accept(self) -> int:
        """So many connections may be accepted now."""

    def accept_failed(self, reason: str) -> None:
        """This machine could not accept for a moment; it is tried again, and told once a second at most."""

    def accepts_no_more(self) -> None:
        """The port begins a rest: it is not read meanwhile, and who connects waits. Each rest is told."""


class _Guarded:
    """The listening socket. Twisted closes all that wait when an accept fails for want of a descriptor, and
    with them the requests in them; here they go on waiting."""

    def __init__(self, listening: socket.socket, rest: Callable[[OSError], None]) -> None:
        self._listening = listening
        self._rest = rest
        self.empty = False  # nothing waited at the last look

    def accept(self) -> tuple[socket.socket, Any]:
        try:
            accepted = self._accept()
        except BlockingIOError:
            self.empty = True
            raise
        except OSError as error:
            self.empty = False
            self._rest(error)
            raise BlockingIOError(errno.EAGAIN, "none for now") from None
        self.empty = False
        return accepted

    def _accept(self) -> tuple[socket.socket, Any]:
        for _ in range(MOST_FAILED - 1):
            try:
                return self._listening.accept()
            except OSError as error:
                if error.errno not in NEXT_CONNECTION:
                    raise
        return self._listening.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)


class RestingPort(tcp.Port):
    """A port that an accept that fails neither ends nor has turn in a circle: it rests, and tries again.

    Whoever holds the port may pause it meanwhile; it goes on only when neither the rest nor the pause
    lasts."""

    factory: Bounded
    _resting: Any = None  # the delayed call that ends the rest
    _paused = False
    _told_s: float | None = None

    @property
    def accepting(self) -> bool:
        """The port is read: it neither rests nor is paused."""
        return self._resting is None and not self._paused

    def guard(self) -> None:
        """Listens already."""
        self.socket = _Guarded(self.socket, self._rest)

    def _rest(self, error: OSError) -> None:
        if self._resting is None and not self.disconnecting:
            self.stopReading()
            self._resting = self.reactor.callLater(REST_S, self._go_on)
            self.factory.accepts_no_more()
        now_s = self.reactor.seconds()
        if self._told_s is None or now_s - self._told_s >= TELL_S:
            self._told_s = now_s
            self.factory.accept_failed(str(error))

    def _go_on(self) -> None:
        self._resting = None
        if not self._paused:
            self.resumeProducing()

    def startReading(self) -> None:
        if self._resting is None:
            super().startReading()

    def pauseProducing(self) -> None:
        self._paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        self._paused = False
        super().resumeProducing()

    def stopListening(self) -> Any:
        if self._resting is not None:
            self._resting.cancel()
            self._resting = None
        return super().stopListening()


class BoundedPort(RestingPort):
    """Twisted's port accepts up to a number that it adapts by itself, and hands all over to the factory; what
    that turns away is reset, with the request in it. What is not accepted waits in the machine's queue."""

    shared = False  # another process may listen at the same address

    def createInternetSocket(self) -> socket.socket:
        made = super().createInternetSocket()
        if self.shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made

    def waits(self) -> bool:
        """A connection waits in the machine's queue."""
        return readable(self.fileno())

    def share(self) -> int:
        """The descriptor, for another process; what waits in the queue waits for both from now on."""
        self._shouldShutdown = False  # ours is closed at the end, but the socket itself must go on listening
        return self.fileno()

    def stopListening(self) -> Any:
        # What waits in the queue would be reset where no other process holds the socket.
        self.disconnecting = True  # an accept that fails is tried again at once, and starts no rest
        for _ in range(MOST_TURNS):
            if self._shouldShutdown:
                self.doRead()
                if self.socket.empty:
                    break
        return super().stopListening()

    @property
    def numberAccepts(self) -> int:
        return self.factory.may_accept()

    @numberAccepts.setter
    def numberAccepts(self, _adapted: int) -> None:
        pass


def listen(
    reactor: Any, host: str, port: int, factory: Any, backlog: int, shared: bool = False
) -> BoundedPort:
    """Raises `CannotListenError`."""
    bounded = BoundedPort(port, factory, backlog, host, reactor)
    bounded.shared = shared
    return _start(bounded)


def adopt(reactor: Any, descriptor: int, factory: Any) -> BoundedPort:
    """Listens on the socket of another process; the descriptor is taken."""
    bounded = _patiently(
        lambda: BoundedPort._fromListeningDescriptor(reactor, descriptor, socket.AF_INET, factory)
    )
    os.close(descriptor)  # Twisted has made its own
    return _start(bounded)


def _start(bounded: BoundedPort) -> BoundedPort:
    _patiently(bounded.startListening)
    bounded.guard()
    return bounded


def _patiently(call: Callable[[], T]) -> T:
    """Calls again while this machine is short of something: nothing is served yet, and half a second is less
    than a new start of the program takes."""
    for _ in range(START_TRIES - 1):
        try:
            return call()
        except CannotListenError as error:
            if error.socketError.errno not in PASSES:
                raise
        except OSError as error:
            if error.errno not in PASSES:
                raise
        time.sleep(START_PAUSE_S)
    return call()
