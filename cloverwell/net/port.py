"""A listening port that accepts no more in one turn of the loop than its factory has room for."""

from typing import Any, Protocol

from twisted.internet import tcp


class Bounded(Protocol):
    def may_accept(self) -> int:
        """So many connections may be accepted now."""


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
    return bounded
