"""A control node's connections to the other control nodes: one to each, made again whenever it ends.

A message to a node that is not connected is lost, as the log's protocol allows. A queue would only hold
messages that are out of date when the node is back.
"""

from __future__ import annotations

from random import Random

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.control.messages import PeerMessage
from cloverwell.control.net.address import Address
from cloverwell.control.net.connection import FrameConnection
from cloverwell.control.net.connection_factory import ConnectionFactory
from cloverwell.control.net.reactor_types import Connector, DelayedCall, Reactor
from cloverwell.control.net.wire import PeerHello, WireMessage
from cloverwell.log import Log

CONNECT_TIMEOUT_S = 1.0
RETRY_S = 0.1  # the longest backoff after the first failure; each further one doubles it
RETRY_MAX_S = 2.0
MAX_DOUBLINGS = 16  # keeps the power small; RETRY_MAX_S is reached long before
MAX_BODY_BYTES = 1024  # the other node sends nothing on this connection


class PeerLink:
    """Sends messages to one other control node."""

    def __init__(
        self, reactor: Reactor, hello: PeerHello, peer: str, address: Address, random: Random, log: Log
    ) -> None:
        """Connects to nothing yet.

        `hello` names this node; `peer` and `address` are the other's. `random` is the source of jitter.
        """
        self._reactor = reactor
        self._hello = hello
        self._peer = peer
        self._address = address
        self._random = random
        self._log = log
        self._connection: PeerConnection | None = None
        self._connector: Connector | None = None
        self._retry_call: DelayedCall | None = None
        self._failures = 0  # since a connection was up
        self._stopped = False

    def start(self) -> None:
        """Connects, and connects again after each failure until `stop`."""
        self._retry_call = None
        host, port = self._address
        factory = ConnectionFactory(lambda: PeerConnection(self), lambda _reason: self.connection_lost())
        self._connector = self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Ends the connection for good."""
        self._stopped = True
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
        if self._connector is not None:
            self._connector.disconnect()

    def send(self, message: PeerMessage) -> None:
        """Sends a message, or loses it where the node is not connected."""
        if self._connection is not None:
            self._connection.send(message)

    # Events of the connection

    def connection_opened(self, connection: PeerConnection) -> None:
        """Handles a connection that is up: the hello is its first message."""
        self._connection = connection
        self._failures = 0
        self._log.info("peer", f"connected to {self._peer}")
        connection.send(self._hello)

    def connection_failed(self, reason: str) -> None:
        """Logs that the connection ends because of what it received, or because too much waits to be sent."""
        self._log.warn("peer", f"{self._peer}: {reason}")

    def connection_lost(self) -> None:
        """Handles the end of the connection, or an attempt that has failed."""
        if self._connection is not None and not self._stopped:
            self._log.warn("peer", f"connection to {self._peer} lost")
        self._connection = None
        if not self._stopped:
            self._retry_call = self._reactor.callLater(self._next_backoff_s(), self.start)

    def _next_backoff_s(self) -> float:
        """Returns the time until the next attempt: exponential backoff with jitter."""
        longest_s = min(RETRY_MAX_S, RETRY_S * 2 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._random.uniform(longest_s / 2, longest_s)


class PeerConnection(FrameConnection):
    """The connection that this node has made to another one, which answers on a connection of its own."""

    def __init__(self, link: PeerLink) -> None:
        """Reports its events to the link."""
        super().__init__(MAX_BODY_BYTES)
        self._link = link

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        super().connectionMade()
        self._link.connection_opened(self)

    def message_received(self, message: WireMessage) -> None:
        """Ends the connection: the other node must not send anything on it."""
        self.fault(f"sent a {type(message).__name__} where nothing is due")
        self.abort()

    def fault(self, reason: str) -> None:
        """Has the link log the reason."""
        self._link.connection_failed(reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        super().connectionLost(reason)
        self._link.connection_lost()
