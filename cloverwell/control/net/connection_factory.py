"""Twisted's factory for one connection attempt to a control node."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from cloverwell.control.net.connection import FrameConnection


class ConnectionFactory(ClientFactory):
    """Makes the connection of one attempt, or reports that the attempt has failed."""

    noisy = False

    def __init__(self, connect: Callable[[], FrameConnection], on_failure: Callable[[str], None]) -> None:
        """`connect` makes the connection; `on_failure` is called with the reason of a failed attempt."""
        self._connect = connect
        self._on_failure = on_failure

    def buildProtocol(self, _address: IAddress | None) -> FrameConnection:
        """Twisted: the attempt has succeeded."""
        return self._connect()

    def clientConnectionFailed(self, _connector: IConnector, reason: Failure) -> None:
        """Twisted: the attempt has failed."""
        self._on_failure(reason.getErrorMessage())
