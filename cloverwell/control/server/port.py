"""The port of a control node, to which other control nodes, proxies and operators connect.

A message shows that a connection is a control node's or a proxy's. Until then it counts as an operator's, and
is closed after a time limit.
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
OPERATOR_TIMEOUT_S = 20.0  # the lifetime of a connection that is neither a control node's nor a proxy's
# A proposal is the longest message that is accepted from any connection but a control node's.
INITIAL_MAX_BODY_BYTES = MAX_PAYLOAD_BYTES + 4096
MAX_QUOTED_CHARS = 60  # the most characters of a name that a log line quotes


class ControlRequestHandler(Protocol):
    """The handler of the messages that incoming connections receive."""

    def is_peer(self, hello: PeerHello) -> bool:
        """Returns whether the hello comes from another control node of this log."""

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        """Handles a message of the control node `peer`."""

    def proxy_message(self, connection: int, message: ProxyMessage) -> None:
        """Handles a message of the proxy whose connection has that number."""

    def proxy_disconnected(self, connection: int) -> None:
        """Handles the end of a proxy's connection."""

    def proposal(self, connection: int, message: Propose) -> None:
        """Handles a proposal; the answer goes to the connection of that number."""

    def status(self) -> StatusAnswer:
        """Returns the answer to an operator's request for the status."""


class ControlPort(BoundedFactory):
    """The factory of incoming connections.

    `connections` holds all connections by number, `peers` those of control nodes by the node's name.
    """

    def __init__(self, reactor: Reactor, handler: ControlRequestHandler, log: Log) -> None:
        """Sets the handler of the messages. The factory doesn't open a port itself."""
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
        """Logs that an accept failed; the listening port tries again."""
        self.log.warn("accept", f"cannot accept connections, will retry: {reason}")

    def buildProtocol(self, addr: IAddress | None) -> InboundConnection:
        """Returns the protocol of a connection that was accepted."""
        assert isinstance(addr, IPv4Address | IPv6Address)
        self._last_number += 1
        return InboundConnection(self, self._last_number, format_address((addr.host, addr.port)))

    # Called by the handler

    def connection(self, number: int) -> InboundConnection | None:
        """Returns the connection of that number; None if it has ended."""
        return self.connections.get(number)

    def close_all(self) -> None:
        """Aborts all connections."""
        for connection in list(self.connections.values()):
            connection.abort()


class InboundConnection(FrameConnection):
    """An incoming connection: an operator's, until a message shows that it is a node's or a proxy's."""

    def __init__(self, port: ControlPort, number: int, address: str) -> None:
        """Sets the number by which the handler knows the connection, and the address of the other end."""
        super().__init__(INITIAL_MAX_BODY_BYTES)
        self.number = number
        self._port = port
        self._address = address
        self._peer = ""  # the name of the control node at the other end, "" if it is not known to be one
        self._subscribed = False
        self._expiry_call: DelayedCall | None = None

    def connectionMade(self) -> None:
        """Registers the connection, and starts the time limit for operators' connections."""
        super().connectionMade()
        self._port.connections[self.number] = self
        self._expiry_call = self._port.reactor.callLater(OPERATOR_TIMEOUT_S, self._expire)

    def message_received(self, message: WireMessage) -> None:
        """Passes a message to the handler; a message that this kind of sender may not send is refused."""
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

    def report_fault(self, reason: str) -> None:
        """Logs why the connection ends, with the name or address of the other end."""
        self._port.log.warn("connection", f"{self._peer or self._address}: {reason}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Removes the connection, and tells the handler if it was a proxy's."""
        super().connectionLost(reason)
        self._cancel_expiry()
        self._port.connections.pop(self.number, None)
        if self._port.peers.get(self._peer) is self:
            del self._port.peers[self._peer]
        if self._subscribed:
            self._port.handler.proxy_disconnected(self.number)

    def _identify_peer(self, hello: PeerHello) -> None:
        """Makes this the connection of the control node in the hello, if that is one of this log's nodes."""
        if not self._port.handler.is_peer(hello):
            node, log = hello.node[:MAX_QUOTED_CHARS], hello.log[:MAX_QUOTED_CHARS]
            self.report_fault(f"{node!r} of log {log!r} is not a control node of this log")
            self.abort()
            return
        self._cancel_expiry()
        self._peer = hello.node
        self.set_max_body_bytes(MAX_MESSAGE_BYTES)
        earlier = self._port.peers.get(self._peer)
        self._port.peers[self._peer] = self
        # A node that connects again has lost its earlier connection, even if that has not ended here yet.
        if earlier is not None:
            earlier.abort()

    def _refuse(self, message: WireMessage) -> None:
        """Aborts the connection because of a message that the other end may not send on it."""
        self.report_fault(f"sent an unexpected message: {type(message).__name__}")
        self.abort()

    def _cancel_expiry(self) -> None:
        if self._expiry_call is not None:
            self._expiry_call.cancel()
            self._expiry_call = None

    def _expire(self) -> None:
        self._expiry_call = None
        self.close()
