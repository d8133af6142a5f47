"""A listening port that accepts only as many connections as its factory allows, and backs off after errors.

Twisted's port has no type annotations, so calls of its methods are exempt from the type check.
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

from cloverwell.codec.socket_state import is_readable
from cloverwell.system_calls import ABORTED_CONNECTION_ERRORS, SHORTAGE

# Before a port closes, it accepts the connections that wait, in rounds of as many as the factory accepts at
# once. So many rounds are enough for the kernel's whole accept queue.
MAX_FINAL_ACCEPT_ROUNDS = 32
MAX_FAILED_ACCEPTS = 16  # The port backs off after so many connections in a row that ended in the queue.
ACCEPT_BACKOFF_S = 0.02  # the wait after a failed accept; retrying at once would keep the event loop busy
ACCEPT_FAILURE_REPORT_INTERVAL_S = 1.0  # between two calls of `BoundedFactory.accept_failed`, at least
START_ATTEMPTS = 25  # the attempts to open the socket at the start, while the machine lacks resources for it
START_RETRY_S = 0.02  # between two of these attempts
# A retry does not help if the address is in use or is not an address of this machine.
START_RETRIED_ERRORS = SHORTAGE - {errno.EADDRINUSE, errno.EADDRNOTAVAIL}

ResultT = TypeVar("ResultT")


class BoundedFactory(Factory):
    """A factory for a `BoundedPort`, which limits how many connections the port accepts."""

    noisy = False
    transport_class: type[tcp.Server] = tcp.Server

    def accept_limit(self) -> int:
        """Return how many connections may be accepted now."""
        raise NotImplementedError

    def accept_failed(self, reason: str) -> None:
        """Handle a failed accept, which the port tries again; called once a second at most."""
        raise NotImplementedError

    def accept_paused(self) -> None:
        """Handle the start of a backoff, during which new connections wait in the kernel's accept queue.

        The default does nothing, for factories to which the time in the queue does not matter.
        """


class ClientTransport(tcp.Server):
    """The transport of a client's connection, whose protocol says how many bytes are read at once."""

    @property
    def bufferSize(self) -> int:  # type: ignore[override]  # Twisted declares a plain attribute.
        """Return the most bytes that Twisted reads at once."""
        return int(self.protocol.read_bytes)


class _GuardedSocket:
    """A listening socket that reports a failed accept to Twisted as an empty accept queue.

    When an accept fails for lack of a descriptor, Twisted closes all connections in the queue, and the
    requests that they have sent are lost. With this socket the connections stay in the queue.
    """

    def __init__(self, listening_socket: socket.socket, back_off: Callable[[OSError], None]) -> None:
        self._listening_socket = listening_socket
        self._back_off = back_off
        self.queue_was_empty = False  # whether no connection was in the queue at the last accept

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; raises `BlockingIOError` if there is none or the accept failed."""
        self.queue_was_empty = False
        try:
            return self._accept()
        except BlockingIOError:
            self.queue_was_empty = True
            raise
        except OSError as error:
            self._back_off(error)
            raise BlockingIOError(errno.EAGAIN, "no connection can be accepted now") from None

    def _accept(self) -> tuple[socket.socket, Any]:
        for _ in range(MAX_FAILED_ACCEPTS - 1):
            try:
                return self._listening_socket.accept()
            except OSError as error:
                if error.errno not in ABORTED_CONNECTION_ERRORS:
                    raise
        return self._listening_socket.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._listening_socket, name)


class BackoffPort(tcp.Port):
    """A port that stops accepting for a short backoff after a failed accept, and then tries again.

    Its owner may pause it as well. Connections are accepted only while the port is neither backing off nor
    paused.
    """

    factory: BoundedFactory
    _backoff: DelayedCall | None = None  # the call that ends the backoff
    _paused = False
    _last_report_s: float | None = None
    _guarded: _GuardedSocket

    @property
    def is_accepting(self) -> bool:
        """Return whether connections are accepted: the port is neither backing off nor paused."""
        return self._backoff is None and not self._paused

    def guard(self) -> None:
        """Wrap the socket in a `_GuardedSocket`; called once the port listens."""
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
        """Twisted: start to accept connections, unless the port is backing off."""
        if self._backoff is None:
            super().startReading()  # type: ignore[no-untyped-call]

    def pauseProducing(self) -> None:
        """Stop accepting connections until `resumeProducing`."""
        self._paused = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:
        """End the pause; a backoff that is under way continues."""
        self._paused = False
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def stopListening(self) -> Deferred[None] | None:  # type: ignore[override]
        """Close the port, and cancel its backoff."""
        if self._backoff is not None:
            self._backoff.cancel()
            self._backoff = None
        stopped: Deferred[None] | None = super().stopListening()  # type: ignore[no-untyped-call]
        return stopped


class BoundedPort(BackoffPort):
    """A port that asks its factory how many connections to accept.

    Twisted's own port adapts that number by itself. A connection that its factory then refuses is reset, and
    the request that it has sent is lost. With this port it stays in the kernel's accept queue.
    """

    shared = False  # whether other processes may listen at the same address

    @classmethod
    def from_descriptor(cls, reactor: IReactorTCP, descriptor: int, factory: BoundedFactory) -> BoundedPort:
        """Make a port from a duplicate of a listening socket's descriptor; raises `OSError`."""
        # The reactor's public `adoptStreamPort` would make a `tcp.Port`, without the bound.
        port: BoundedPort = cls._fromListeningDescriptor(reactor, descriptor, socket.AF_INET, factory)  # type: ignore[no-untyped-call]
        return port

    def createInternetSocket(self) -> socket.socket:
        """Create the socket; if the port is shared, other processes can listen at its address."""
        created: socket.socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        if self.shared:
            created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return created

    def has_waiting_connections(self) -> bool:
        """Return whether a connection waits in the kernel's accept queue."""
        return is_readable(self.fileno())  # type: ignore[no-untyped-call]

    def share_socket(self) -> int:
        """Return the socket's descriptor for another process, which will accept from the same queue."""
        self._shouldShutdown = (
            False  # The socket must go on listening when this process closes its descriptor.
        )
        descriptor: int = self.fileno()  # type: ignore[no-untyped-call]
        return descriptor

    def stopListening(self) -> Deferred[None] | None:  # type: ignore[override]
        """Accept the connections in the queue, and close the port.

        The close would reset them. If another process has the socket too, they are left to it.
        """
        self.disconnecting = (
            True  # From now on a failed accept starts no backoff, and is tried again at once.
        )
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            if self._shouldShutdown:
                self.doRead()  # type: ignore[no-untyped-call]
                if self._guarded.queue_was_empty:
                    break
        return super().stopListening()

    @property
    def numberAccepts(self) -> int:
        """Return how many connections Twisted accepts in one iteration of the event loop."""
        return self.factory.accept_limit()

    @numberAccepts.setter
    def numberAccepts(self, adapted: int) -> None:
        """Ignore the number that Twisted computes after each round of accepts."""


def listen(
    reactor: IReactorTCP, host: str, port: int, factory: BoundedFactory, backlog: int, shared: bool = False
) -> BoundedPort:
    """Open a port that listens at an address.

    Args:
        reactor: Twisted's reactor.
        host: the IP address to listen at.
        port: the TCP port; 0 for any free one.
        factory: makes the protocols of the connections.
        backlog: the length of the kernel's accept queue, in connections.
        shared: whether other processes may listen at the same address.

    Raises:
        CannotListenError: the address can't be used.
    """
    # Without a mypy plugin, a Twisted factory is not seen to implement its interface.
    bounded_port = BoundedPort(port, factory, backlog, host, reactor)  # type: ignore[arg-type]
    bounded_port.shared = shared
    return _start(bounded_port)


def adopt(reactor: IReactorTCP, descriptor: int, factory: BoundedFactory) -> BoundedPort:
    """Open a port on a socket of another process, and close the given descriptor; raises `OSError`."""
    bounded_port = _retry_during_shortage(lambda: BoundedPort.from_descriptor(reactor, descriptor, factory))
    os.close(descriptor)  # The port uses a duplicate of it.
    return _start(bounded_port)


def _start(bounded_port: BoundedPort) -> BoundedPort:
    bounded_port.transport = bounded_port.factory.transport_class
    _retry_during_shortage(bounded_port.startListening)
    bounded_port.guard()
    return bounded_port


def _retry_during_shortage(call: Callable[[], ResultT]) -> ResultT:
    """Return the result of `call`, which is retried while the machine lacks resources for it.

    The retries block the program for half a second at most. Nothing is served yet at that time, and a restart
    of the program would take longer.
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
