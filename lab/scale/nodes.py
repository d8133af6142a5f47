"""The stand-in cache nodes and the origin, as one process: they answer at once, and keep nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from zlib import crc32

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from lab.scale import messages
from lab.scale.http_server import HttpConnection

BACKLOG = 1024
VALUE = b"v" * 100


class NodeConnection(LineReceiver):
    """Memcache meta gets: a fixed value, or a miss for a share of the keys."""

    delimiter = b"\r\n"

    def __init__(self, nodes: Nodes) -> None:
        self._nodes = nodes

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def lineReceived(self, line: bytes) -> None:
        words = line.split()
        opaque = next(word for word in words if word.startswith(b"O"))
        self.transport.write(self._nodes.answer(words[1], opaque))


class NodeFactory(Factory):
    noisy = False

    def __init__(self, nodes: Nodes) -> None:
        self._nodes = nodes

    def buildProtocol(self, addr: IAddress) -> NodeConnection:
        return NodeConnection(self._nodes)


class OriginFactory(Factory):
    noisy = False

    def __init__(self, nodes: Nodes) -> None:
        self._nodes = nodes

    def buildProtocol(self, addr: IAddress) -> HttpConnection:
        return HttpConnection(self._nodes.ask_origin, lambda *_: None)


class Nodes:
    """The role of the process."""

    def __init__(
        self, reactor: Any, start: messages.StartNodes, report: Callable[[messages.Report], None]
    ) -> None:
        self._miss_below = int(start.miss_share * 2**32)
        self._asked = self._origin_asked = 0
        for port in start.ports:
            reactor.listenTCP(port, NodeFactory(self), backlog=BACKLOG, interface="127.0.0.1")
        reactor.listenTCP(start.origin_port, OriginFactory(self), backlog=BACKLOG, interface="127.0.0.1")
        report(messages.Ready())

    def answer(self, key: bytes, opaque: bytes) -> bytes:
        """A cache node's answer to a get."""
        self._asked += 1
        if crc32(key) < self._miss_below:
            return b"EN " + opaque + b"\r\n"
        return b"VA %d %s\r\n%s\r\n" % (len(VALUE), opaque, VALUE)

    def ask_origin(self, connection: HttpConnection, method: str, target: str) -> None:
        """The origin has every key."""
        self._origin_asked += 1
        connection.answer(200, VALUE)

    def command(self, command: messages.Command) -> None:
        """It takes no commands but its end."""

    def finish(self) -> messages.NodesTotals:
        """The totals since the start."""
        return messages.NodesTotals(self._asked, self._origin_asked)
