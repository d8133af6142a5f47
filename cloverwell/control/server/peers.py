"""A control node's connections to the other control nodes: one to each, reopened whenever it ends.

A message to a node that is not connected is lost, which the log's protocol allows. Queued messages would be
out of date by the time the node is back.
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
FIRST_BACKOFF_S = 0.1  # the longest backoff after the first failure; each further failure doubles it
MAX_BACKOFF_S = 2.0
MAX_DOUBLINGS = 16  # keeps the power of 2 small; MAX_BACKOFF_S is reached after far fewer
MAX_BODY_BYTES = 1024  # small, since the other node sends nothing on this connection


class PeerLink:
    """Sends messages to one other control node, and reconnects to it after each failure."""

    def __init__(
        self, reactor: Reactor, hello: PeerHello, peer: str, address: Address, random: Random, log: Log
    ) -> None:
        """Sets up the link, without connecting yet.

        `hello` names this node; `peer` and `address` are the other node's name and address. `random` is the
        random generator for jitter.
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
        self._failures = 0  # failed attempts since the last successful one
        self._stopped = False

    def start(self) -> None:
        """Connects, and connects again after each failure until `stop`."""
        self._retry_call = None
        host, port = self._address
        factory = ConnectionFactory(lambda: PeerConnection(self), lambda _reason: self.connection_lost())
        self._connector = self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Closes the connection, and stops reconnecting."""
        self._stopped = True
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
        if self._connector is not None:
            self._connector.disconnect()

    def send(self, message: PeerMessage) -> None:
        """Sends a message, or drops it if the node is not connected."""
        if self._connection is not None:
            self._connection.send(message)

    # Events of the connection

    def connection_opened(self, connection: PeerConnection) -> None:
        """Handles a new connection: sends the hello as its first message."""
        self._connection = connection
        self._failures = 0
        self._log.info("peer", f"connected to {self._peer}")
        connection.send(self._hello)

    def log_fault(self, reason: str) -> None:
        """Logs why this node ends the connection: it received a message, or too many bytes are queued."""
        self._log.warn("peer", f"{self._peer}: {reason}")

    def connection_lost(self) -> None:
        """Handles the end of the connection, or a failed attempt, by scheduling the next attempt."""
        if self._connection is not None and not self._stopped:
            self._log.warn("peer", f"connection to {self._peer} lost")
        self._connection = None
        if not self._stopped:
            self._retry_call = self._reactor.callLater(self._next_backoff_s(), self.start)

    def _next_backoff_s(self) -> float:
        """Returns the time until the next attempt: exponential backoff with jitter."""
        longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._random.uniform(longest_s / 2, longest_s)


class PeerConnection(FrameConnection):
    """A connection opened by this node to another, which answers on a connection that it opens itself."""

    def __init__(self, link: PeerLink) -> None:
        """Sets the link, to which the connection reports its events."""
        super().__init__(MAX_BODY_BYTES)
        self._link = link

    def connectionMade(self) -> None:
        """Tells the link that the connection is up."""
        super().connectionMade()
        self._link.connection_opened(self)

    def message_received(self, message: WireMessage) -> None:
        """Aborts the connection, since the other node must not send anything on it."""
        self.report_fault(f"sent a message where it may send none: {type(message).__name__}")
        self.abort()

    def report_fault(self, reason: str) -> None:
        """Makes the link log the reason."""
        self._link.log_fault(reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tells the link that the connection has ended."""
        super().connectionLost(reason)
        self._link.connection_lost()
