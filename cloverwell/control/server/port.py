"""The port of a control node, to which other control nodes, proxies and operators connect.

The first message of a connection tells which of them it is. A connection that has not become a control
node's or a proxy's is an operator's, and is closed after a while.
"""

from __future__ import annotations

from typing import Protocol

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.control.entry import MAX_PAYLOAD_BYTES
from cloverwell.control.messages import MAX_MESSAGE_BYTES, PeerMessage, Propose, ProxyMessage
from cloverwell.control.net.address import format_address
from cloverwell.control.net.connection import FrameConnection
from cloverwell.control.net.reactor_types import DelayedCall, Reactor
from cloverwell.control.net.wire import PeerHello, StatusAnswer, StatusRequest, WireMessage
from cloverwell.front.port import BoundedFactory
from cloverwell.log import Log

MAX_CONNECTIONS = 4096
OPERATOR_TIMEOUT_S = 20.0  # for a connection that is neither a control node's nor a proxy's
# A proposal is the longest message that may come before the other end is known as a control node.
MAX_FIRST_BYTES = MAX_PAYLOAD_BYTES + 4096
SHOWN_CHARS = 60  # of a name that a log line quotes


class ControlRequestHandler(Protocol):
    """What handles the messages of the connections."""

    def is_peer(self, hello: PeerHello) -> bool:
        """Returns whether the hello is that of another control node of this log."""

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        """Handles a message of the control node `peer`."""

    def proxy_message(self, connection: int, message: ProxyMessage) -> None:
        """Handles a message of the proxy at the connection of that number."""

    def proxy_disconnected(self, connection: int) -> None:
        """Handles the end of a proxy's connection."""

    def proposal(self, connection: int, message: Propose) -> None:
        """Handles a proposal, which is answered at the connection of that number."""

    def status(self) -> StatusAnswer:
        """Returns the answer to an operator's request."""


class ControlPort(BoundedFactory):
    """The factory of incoming connections.

    `connections` has them by number, `peers` those of control nodes by the node's name.
    """

    def __init__(self, reactor: Reactor, handler: ControlRequestHandler, log: Log) -> None:
        """Takes what handles the messages. The factory listens nowhere by itself."""
        self.reactor = reactor
        self.handler = handler
        self.log = log
        self.connections: dict[int, InboundConnection] = {}
        self.peers: dict[str, InboundConnection] = {}
        self._last_number = 0

    # Called by the listening port

    def accept_limit(self) -> int:
        """Returns how many more connections may be accepted."""
        return MAX_CONNECTIONS - len(self.connections)

    def accept_failed(self, reason: str) -> None:
        """Logs that the machine could not accept a connection for a moment."""
        self.log.warn("accept", f"failed for a moment: {reason}")

    def buildProtocol(self, addr: IAddress | None) -> InboundConnection:
        """Twisted: a connection has been accepted."""
        assert isinstance(addr, IPv4Address | IPv6Address)
        self._last_number += 1
        return InboundConnection(self, self._last_number, format_address((addr.host, addr.port)))

    # Called by the handler

    def connection(self, number: int) -> InboundConnection | None:
        """Returns the connection of that number; None where it has ended."""
        return self.connections.get(number)

    def close_all(self) -> None:
        """Ends all connections at once."""
        for connection in list(self.connections.values()):
            connection.abort()


class InboundConnection(FrameConnection):
    """An incoming connection: an operator's, until a message shows it as a control node's or a proxy's."""

    def __init__(self, port: ControlPort, number: int, address: str) -> None:
        """Takes the number by which the handler knows the connection, and the other end's address."""
        super().__init__(MAX_FIRST_BYTES)
        self.number = number
        self._port = port
        self._address = address
        self._peer = ""  # the name of the control node at the other end, "" for none
        self._subscribed = False
        self._expiry_call: DelayedCall | None = None

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        super().connectionMade()
        self._port.connections[self.number] = self
        self._expiry_call = self._port.reactor.callLater(OPERATOR_TIMEOUT_S, self._expire)

    def message_received(self, message: WireMessage) -> None:
        """Hands a message to the handler; one that may not come from this other end ends the connection."""
        handler = self._port.handler
        if self._peer:
            if isinstance(message, PeerMessage):
                handler.peer_message(self._peer, message)
            else:
                self._refuse(message)
        elif isinstance(message, ProxyMessage):
            self._cancel_expiry()
            self._subscribed = True
            handler.proxy_message(self.number, message)
        elif isinstance(message, PeerHello):
            self._identify_peer(message)
        elif isinstance(message, Propose):
            handler.proposal(self.number, message)
        elif isinstance(message, StatusRequest):
            self.send(handler.status())
        else:
            self._refuse(message)

    def fault(self, reason: str) -> None:
        """Logs why the connection ends, with the name or address of the other end."""
        self._port.log.warn("connection", f"{self._peer or self._address}: {reason}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        super().connectionLost(reason)
        self._cancel_expiry()
        self._port.connections.pop(self.number, None)
        if self._port.peers.get(self._peer) is self:
            del self._port.peers[self._peer]
        if self._subscribed:
            self._port.handler.proxy_disconnected(self.number)

    def _identify_peer(self, hello: PeerHello) -> None:
        """Makes this the connection of the control node that the hello names, if it is one of the log's."""
        if not self._port.handler.is_peer(hello):
            node, log = hello.node[:SHOWN_CHARS], hello.log[:SHOWN_CHARS]
            self.fault(f"{node!r} of log {log!r} is no node of this log")
            self.abort()
            return
        self._cancel_expiry()
        self._peer = hello.node
        self.set_max_body_bytes(MAX_MESSAGE_BYTES)
        earlier = self._port.peers.get(self._peer)
        self._port.peers[self._peer] = self
        # A node that connects again has lost its earlier connection, even if this end doesn't know it yet.
        if earlier is not None:
            earlier.abort()

    def _refuse(self, message: WireMessage) -> None:
        """Ends the connection because of a message that may not come here."""
        self.fault(f"sent a {type(message).__name__} where none is due")
        self.abort()

    def _cancel_expiry(self) -> None:
        if self._expiry_call is not None:
            self._expiry_call.cancel()
            self._expiry_call = None

    def _expire(self) -> None:
        self._expiry_call = None
        self.close()
