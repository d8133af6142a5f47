"""A listening port that accepts no more in one turn of the loop than its factory has room for."""

import errno
import socket
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import tcp


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

    @property
    def numberAccepts(self) -> int:
        return self.factory.may_accept()

    @numberAccepts.setter
    def numberAccepts(self, _adapted: int) -> None:
        pass


def listen(reactor: Any, host: str, port: int, factory: Any, backlog: int) -> BoundedPort:
    """Raises `CannotListenError`."""
    bounded = BoundedPort(port, factory, backlog, host, reactor)
    bounded.startListening()
    bounded.socket = _Guarded(bounded.socket, factory.short_of_descriptors)
    return bounded
