"""A listening port that accepts no more in one turn of the loop than its factory has room for."""

import errno
import os
import select
import socket
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import tcp

MOST_TURNS = 32  # at the end, each as many as the factory lets in at once: the machine's queue is shorter


class Bounded(Protocol):
    def may_accept(self) -> int:
        """So many connections may be accepted now."""

    def short_of_descriptors(self) -> None:
        """An accept has failed for want of one."""


class _Guarded:
    """The listening socket. Twisted closes all that wait when an accept fails for want of a descriptor, and
    with them the requests in them; here they go on waiting."""

    def __init__(self, listening: socket.socket, short: Callable[[], None]) -> None:
        self._listening = listening
        self._short = short

    def accept(self) -> tuple[socket.socket, Any]:
        try:
            return self._listening.accept()
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE):
                raise
            self._short()
            raise BlockingIOError(errno.EAGAIN, "none for now") from None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)


class BoundedPort(tcp.Port):
    """Twisted's port accepts up to a number that it adapts by itself, and hands all over to the factory; what
    that turns away is reset, with the request in it. What is not accepted waits in the machine's queue."""

    factory: Bounded
    shared = False  # another process may listen at the same address

    def createInternetSocket(self) -> socket.socket:
        made = super().createInternetSocket()
        if self.shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made

    def share(self) -> int:
        """The descriptor, for another process; what waits in the queue waits for both from now on."""
        self._shouldShutdown = False  # ours is closed at the end, but the socket itself must go on listening
        return self.fileno()

    def stopListening(self) -> Any:
        # What waits in the queue would be reset where no other process holds the socket.
        for _ in range(MOST_TURNS):
            if self._shouldShutdown and self._waits():
                self.doRead()
        return super().stopListening()

    def _waits(self) -> bool:
        poll = select.poll()
        poll.register(self.fileno(), select.POLLIN)
        return bool(poll.poll(0))

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
    return _start(bounded, factory)


def adopt(reactor: Any, descriptor: int, factory: Any) -> BoundedPort:
    """Listens on the socket of another process; the descriptor is taken."""
    bounded = BoundedPort._fromListeningDescriptor(reactor, descriptor, socket.AF_INET, factory)
    os.close(descriptor)  # Twisted has made its own
    return _start(bounded, factory)


def _start(bounded: BoundedPort, factory: Any) -> BoundedPort:
    bounded.startListening()
    bounded.socket = _Guarded(bounded.socket, factory.short_of_descriptors)
    return bounded
