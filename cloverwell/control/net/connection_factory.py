"""The Twisted factory of one connection attempt to a control node."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from cloverwell.control.net.connection import FrameConnection


class ConnectionFactory(ClientFactory):
    """Makes the connection of one attempt, or reports that the attempt has failed."""

    noisy = False

    def __init__(
        self, make_connection: Callable[[], FrameConnection], on_failure: Callable[[str], None]
    ) -> None:
        """Sets what makes the connection, and what is called with the reason if the attempt fails."""
        self._make_connection = make_connection
        self._on_failure = on_failure

    def buildProtocol(self, _address: IAddress | None) -> FrameConnection:
        """Returns the connection of an attempt that has succeeded."""
        return self._make_connection()

    def clientConnectionFailed(self, _connector: IConnector, reason: Failure) -> None:
        """Reports that the attempt has failed."""
        self._on_failure(reason.getErrorMessage())
