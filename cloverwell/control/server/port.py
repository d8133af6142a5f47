"""The port of a control node: other control nodes, proxies and operators connect here.

The first message tells who it is. A connection that has not become a node's or a proxy's is an operator's,
and ends by itself after a while.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from cloverwell.control.entry import MAX_PAYLOAD_BYTES
from cloverwell.control.messages import (
    MAX_MESSAGE_BYTES,
    PeerMessage,
    Propose,
    ProxyMessage,
)
from cloverwell.control.net.connection import FrameConnection
from cloverwell.control.net.wire import PeerHello, StatusAnswer, StatusRequest, WireMessage
from cloverwell.log import Log

MAX_CONNECTIONS = 4096
OPERATOR_S = 20.0  # a connection of nobody we know, or of an operator, ends after so long
MAX_FIRST_BYTES = MAX_PAYLOAD_BYTES + 4096  # a proposal is the longest message that anybody may send


class ControlRequestHandler(Protocol):
    """What a message becomes an event of."""

    def is_peer(self, hello: PeerHello) -> bool:
        """Whether that is another control node of this log."""

    def peer_message(self, peer: str, message: PeerMessage) -> None: ...

    def proxy_message(self, connection: int, message: ProxyMessage) -> None: ...

    def proxy_disconnected(self, connection: int) -> None: ...

    def proposal(self, connection: int, message: Propose) -> None: ...

    def status(self) -> StatusAnswer: ...


class ControlPort(Factory):
    """All connections that have come in, by number."""

    noisy = False

    def __init__(self, reactor: Any, desk: ControlRequestHandler, log: Log) -> None:
        self.reactor = reactor
        self.desk = desk
        self.log = log
        self.connections: dict[int, InboundConnection] = {}
        self.peers: dict[str, InboundConnection] = {}
        self._last_number = 0

    # As the listening port has it

    def may_accept(self) -> int:
        return MAX_CONNECTIONS - len(self.connections)

    def accept_failed(self, reason: str) -> None:
        self.log.warn("accept", f"failed for a moment: {reason}")

    def accepts_no_more(self) -> None:
        """How long who connects waits to be let in does not count."""

    def buildProtocol(self, addr: IPv4Address) -> InboundConnection:
        self._last_number += 1
        return InboundConnection(self, self._last_number, f"{addr.host}:{addr.port}")

    def connection(self, number: int) -> InboundConnection | None:
        """None where it has ended."""
        return self.connections.get(number)

    def close_all(self) -> None:
        for connection in list(self.connections.values()):
            connection.abort()


class InboundConnection(FrameConnection):
    """One connection that has come in."""

    def __init__(self, port: ControlPort, number: int, address: str) -> None:
        super().__init__(MAX_FIRST_BYTES)
        self.number = number
        self._port = port
        self._address = address
        self._peer = ""  # the control node whose it is
        self._subscribed = False
        self._expiry: Any = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self._port.connections[self.number] = self
        self._expiry = self._port.reactor.callLater(OPERATOR_S, self._expire)

    def message_received(self, message: WireMessage) -> None:
        desk = self._port.desk
        if self._peer:
            if isinstance(message, PeerMessage):
                desk.peer_message(self._peer, message)
            else:
                self._unexpected(message)
        elif isinstance(message, ProxyMessage):
            self._keep()
            self._subscribed = True
            desk.proxy_message(self.number, message)
        elif isinstance(message, PeerHello):
            self._hello(message)
        elif isinstance(message, Propose):
            desk.proposal(self.number, message)
        elif isinstance(message, StatusRequest):
            self.send(desk.status())
        else:
            self._unexpected(message)

    def _hello(self, message: PeerHello) -> None:
        if not self._port.desk.is_peer(message):
            self.fault(f"{message.node[:60]!r} of log {message.log[:60]!r} is no node of this log")
            self.abort()
            return
        self._keep()
        self._peer = message.node
        self.allow_bodies(MAX_MESSAGE_BYTES)
        before = self._port.peers.get(self._peer)
        self._port.peers[self._peer] = self
        if before is not None:  # it has connected anew: the old connection is dead, or soon will be
            before.abort()

    def _unexpected(self, message: WireMessage) -> None:
        self.fault(f"sent a {type(message).__name__} where none is due")
        self.abort()

    def _keep(self) -> None:
        """It is no operator's: it stays as long as it is of use."""
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None

    def _expire(self) -> None:
        self._expiry = None
        self.close()

    def fault(self, reason: str) -> None:
        self._port.log.warn("connection", f"{self._peer or self._address}: {reason}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self._keep()
        self._port.connections.pop(self.number, None)
        if self._port.peers.get(self._peer) is self:
            del self._port.peers[self._peer]
        if self._subscribed:
            self._port.desk.proxy_disconnected(self.number)
