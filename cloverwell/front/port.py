"""A listening port that accepts no more connections at once than its factory has room for.

Twisted's port has no type annotations; calls of its methods are exempt from the type check.
"""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import tcp
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory

from cloverwell.codec.lines import is_readable
from cloverwell.system_calls import ABORTED_CONNECTION_ERRORS, SHORTAGE

# Rounds of accepts before a port closes, each of as many connections as the factory accepts at once; the
# kernel's queue is shorter than all of them together.
MAX_FINAL_ACCEPT_ROUNDS = 32
MAX_FAILED_ACCEPTS = 16  # connections in a row that ended before they were accepted; then the port backs off
ACCEPT_BACKOFF_S = 0.02  # after an accept that failed: trying again at once would keep the event loop busy
ACCEPT_FAILURE_REPORT_INTERVAL_S = 1.0  # between two reports to the factory that accepts fail
START_ATTEMPTS = 25  # to open the first socket, while the machine is short of something
START_RETRY_S = 0.02
# An address that is in use, or not this machine's, is an error that a retry does not help.
START_RETRIED_ERRORS = SHORTAGE - {errno.EADDRINUSE, errno.EADDRNOTAVAIL}

T = TypeVar("T")


class BoundedFactory(Factory):
    """A factory for a `BoundedPort`: it says how many connections may be accepted."""

    noisy = False

    def accept_limit(self) -> int:
        """Return how many connections may be accepted now."""
        raise NotImplementedError

    def accept_failed(self, reason: str) -> None:
        """Handle a failed accept; it is tried again, and reported once a second at most."""
        raise NotImplementedError

    def accept_paused(self) -> None:
        """Handle the begin of a backoff, during which new connections wait in the kernel's queue.

        By default the time that a connection waits to be accepted does not matter.
        """


class _GuardedSocket:
    """A listening socket whose failed accepts read as an empty queue.

    When an accept fails for want of a descriptor, Twisted closes all connections that wait, and with them the
    requests that they have sent. Here they go on waiting.
    """

    def __init__(self, listening: socket.socket, back_off: Callable[[OSError], None]) -> None:
        self._listening = listening
        self._back_off = back_off
        self.empty = False  # No connection waited at the last accept.

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; raises `BlockingIOError` if there is none, or none can be accepted now."""
        self.empty = False
        try:
            return self._accept()
        except BlockingIOError:
            self.empty = True
            raise
        except OSError as error:
            self._back_off(error)
            raise BlockingIOError(errno.EAGAIN, "none for now") from None

    def _accept(self) -> tuple[socket.socket, Any]:
        for _ in range(MAX_FAILED_ACCEPTS - 1):
            try:
                return self._listening.accept()
            except OSError as error:
                if error.errno not in ABORTED_CONNECTION_ERRORS:
                    raise
        return self._listening.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._listening, name)


class BackoffPort(tcp.Port):
    """A port that backs off after a failed accept and then tries again.

    Whoever holds the port may pause it as well; it is read only while it neither backs off nor is paused.
    """

    factory: BoundedFactory
    _backoff: DelayedCall | None = None  # the call that ends the backoff
    _paused = False
    _last_report_s: float | None = None
    _guarded: _GuardedSocket

    @property
    def is_accepting(self) -> bool:
        """Whether the port is read: it neither backs off nor is paused."""
        return self._backoff is None and not self._paused

    def guard(self) -> None:
        """Guard the socket, once the port listens."""
        self._guarded = self.socket = _GuardedSocket(self.socket, self._back_off)

    def _back_off(self, error: OSError) -> None:
        if self._backoff is None and not self.disconnecting:
            self.stopReading()  # type: ignore[no-untyped-call]
            self._backoff = self.reactor.callLater(ACCEPT_BACKOFF_S, self._end_backoff)
            self.factory.accept_paused()
        now_s = self.reactor.seconds()
        if self._last_report_s is None or now_s - self._last_report_s >= ACCEPT_FAILURE_REPORT_INTERVAL_S:
            self._last_report_s = now_s
            self.factory.accept_failed(str(error))

    def _end_backoff(self) -> None:
        self._backoff = None
        if not self._paused:
            self.resumeProducing()

    def startReading(self) -> None:
        """Read the port, unless it backs off."""
        if self._backoff is None:
            super().startReading()  # type: ignore[no-untyped-call]

    def pauseProducing(self) -> None:
        """Accept no connections until `resumeProducing`."""
        self._paused = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:
        """End the pause; a backoff goes on."""
        self._paused = False
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def stopListening(self) -> Deferred[None] | None:  # type: ignore[override]
        """Close the port."""
        if self._backoff is not None:
            self._backoff.cancel()
            self._backoff = None
        stopped: Deferred[None] | None = super().stopListening()  # type: ignore[no-untyped-call]
        return stopped


class BoundedPort(BackoffPort):
    """A port that asks its factory how many connections to accept.

    Twisted's port accepts up to a number that it adapts by itself; a connection that the factory then refuses
    is reset, with the request that it has sent. Here it waits in the kernel's queue instead.
    """

    shared = False  # Another process may listen at the same address.

    @classmethod
    def from_descriptor(cls, reactor: IReactorTCP, descriptor: int, factory: BoundedFactory) -> BoundedPort:
        """Make a port of a duplicate of a descriptor that listens already; raises `OSError`."""
        # The reactor's public `adoptStreamPort` makes a plain port.
        port: BoundedPort = cls._fromListeningDescriptor(reactor, descriptor, socket.AF_INET, factory)  # type: ignore[no-untyped-call]
        return port

    def createInternetSocket(self) -> socket.socket:
        """Create the socket, for several processes if the port is shared."""
        created: socket.socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        if self.shared:
            created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return created

    def has_waiting_connections(self) -> bool:
        """Return whether a connection waits in the kernel's queue."""
        return is_readable(self.fileno())  # type: ignore[no-untyped-call]

    def share_socket(self) -> int:
        """Return the descriptor for another process, which from now on accepts from the same queue."""
        self._shouldShutdown = False  # This process closes its descriptor; the socket must go on listening.
        descriptor: int = self.fileno()  # type: ignore[no-untyped-call]
        return descriptor

    def stopListening(self) -> Deferred[None] | None:  # type: ignore[override]
        """Accept what waits, which would be reset where no other process has the socket, and close."""
        self.disconnecting = True  # From now on a failed accept is tried again at once, without a backoff.
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            if self._shouldShutdown:
                self.doRead()  # type: ignore[no-untyped-call]
                if self._guarded.empty:
                    break
        return super().stopListening()

    @property
    def numberAccepts(self) -> int:
        """How many connections Twisted accepts in one iteration of the event loop."""
        return self.factory.accept_limit()

    @numberAccepts.setter
    def numberAccepts(self, adapted: int) -> None:
        """Ignore the number that Twisted adapts."""


def listen(
    reactor: IReactorTCP, host: str, port: int, factory: BoundedFactory, backlog: int, shared: bool = False
) -> BoundedPort:
    """Listen at an address.

    Args:
        reactor: Twisted's reactor.
        host: the interface's address.
        port: its port; 0 for any free one.
        factory: makes the protocols of the connections.
        backlog: connections that the kernel lets wait.
        shared: another process may listen at the same address.

    Raises:
        CannotListenError: the address can't be had.
    """
    # Twisted's types know its factories as implementations of an interface only with a plugin of mypy.
    bounded = BoundedPort(port, factory, backlog, host, reactor)  # type: ignore[arg-type]
    bounded.shared = shared
    return _start(bounded)


def adopt(reactor: IReactorTCP, descriptor: int, factory: BoundedFactory) -> BoundedPort:
    """Listen on another process's socket, and take its descriptor; raises `OSError`."""
    bounded = _retry_while_short(lambda: BoundedPort.from_descriptor(reactor, descriptor, factory))
    os.close(descriptor)  # Twisted has made its own.
    return _start(bounded)


def _start(bounded: BoundedPort) -> BoundedPort:
    _retry_while_short(bounded.startListening)
    bounded.guard()
    return bounded


def _retry_while_short(call: Callable[[], T]) -> T:
    """Call again while this machine is short of something.

    This blocks for half a second at most: nothing is served yet, and a restart of the program takes longer.
    """
    for _ in range(START_ATTEMPTS - 1):
        try:
            return call()
        except CannotListenError as error:
            if error.socketError.errno not in START_RETRIED_ERRORS:
                raise
        except OSError as error:
            if error.errno not in START_RETRIED_ERRORS:
                raise
        time.sleep(START_RETRY_S)
    return call()
