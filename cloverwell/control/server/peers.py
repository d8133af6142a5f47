"""A control node's connections to the others: one to each, made anew whenever it ends.

A message to a node that is not connected is lost, as the log's protocol allows; a queue for it would only
hold what is out of date when the node is back.
"""

from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from cloverwell.control.messages import PeerMessage
from cloverwell.control.net.connection import FrameConnection
from cloverwell.control.net.wire import PeerHello, WireMessage
from cloverwell.log import Log

CONNECT_S = 1.0
RETRY_S = 0.1  # after the first failure, doubled after each further one
RETRY_MAX_S = 2.0
MAX_BODY_BYTES = 1024  # nothing comes on a connection that we have made


class PeerLink:
    """Messages to one other control node."""

    def __init__(
        self, reactor: Any, hello: PeerHello, peer: str, address: tuple[str, int], random: Random, log: Log
    ) -> None:
        self._reactor = reactor
        self._hello = hello
        self._peer = peer
        self._address = address
        self._random = random
        self._log = log
        self._connection: PeerConnection | None = None
        self._connector: Any = None
        self._retry: Any = None  # the delayed call of the next try
        self._failures = 0
        self._stopped = False

    def start(self) -> None:
        """Connects, and goes on doing so until `stop`."""
        self._retry = None
        host, port = self._address
        self._connector = self._reactor.connectTCP(host, port, _PeerFactory(self), timeout=CONNECT_S)

    def stop(self) -> None:
        self._stopped = True
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._connector is not None:
            self._connector.disconnect()

    def send(self, message: PeerMessage) -> None:
        """Sends a message, or loses it where the node is not connected."""
        if self._connection is not None:
            self._connection.send(message)

    # What the connection tells

    def opened(self, connection: PeerConnection) -> None:
        self._connection = connection
        self._failures = 0
        self._log.info("peer", f"connected to {self._peer}")
        connection.send(self._hello)

    def broken(self, reason: str) -> None:
        """The connection ends for a fault in what came or left."""
        self._log.warn("peer", f"{self._peer}: {reason}")

    def lost(self) -> None:
        """The connection has ended, or did not come up."""
        if self._connection is not None and not self._stopped:
            self._log.warn("peer", f"connection to {self._peer} lost")
        self._connection = None
        if self._stopped:
            return
        pause_s = min(RETRY_MAX_S, RETRY_S * 2 ** min(self._failures, 16))
        self._failures += 1
        self._retry = self._reactor.callLater(self._random.uniform(pause_s / 2, pause_s), self.start)


class PeerConnection(FrameConnection):
    """A connection that we have made to another control node; it answers on one of its own."""

    def __init__(self, link: PeerLink) -> None:
        super().__init__(MAX_BODY_BYTES)
        self._link = link

    def connectionMade(self) -> None:
        super().connectionMade()
        self._link.opened(self)

    def message_received(self, message: WireMessage) -> None:
        self._link.broken(f"sent a {type(message).__name__} where nothing is due")
        self.abort()

    def fault(self, reason: str) -> None:
        self._link.broken(reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self._link.lost()


class _PeerFactory(ClientFactory):
    noisy = False

    def __init__(self, link: PeerLink) -> None:
        self._link = link

    def buildProtocol(self, addr: IAddress) -> PeerConnection:
        return PeerConnection(self._link)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._link.lost()
