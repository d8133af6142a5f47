"""The stand-in cache nodes and the origin, as one child process: they answer at once and store nothing."""

from __future__ import annotations

from typing import Any
from zlib import crc32

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from lab.scale import messages
from lab.scale.http_server import HttpServerConnection
from lab.scale.reactor import Report, ScaleReactor

BACKLOG = 1024
VALUE = b"v" * 100


class StandInNodeConnection(LineReceiver):
    """A connection to a cache node: memcache meta gets, answered by a fixed value or by a miss."""

    transport: Any  # Twisted sets an `ITCPTransport` before `connectionMade`.
    delimiter = b"\r\n"

    def __init__(self, nodes: NodesProcess) -> None:
        """Takes the answers from `nodes`."""
        self._nodes = nodes

    def connectionMade(self) -> None:
        """Sends each answer without waiting for more data."""
        self.transport.setTcpNoDelay(True)

    def lineReceived(self, line: bytes) -> None:
        """Answers a get."""
        words = line.split()
        opaque = next(word for word in words if word.startswith(b"O"))
        self.transport.write(self._nodes.answer_get(words[1], opaque))


class NodeFactory(Factory):
    """Accepts connections to a cache node."""

    noisy = False

    def __init__(self, nodes: NodesProcess) -> None:
        """Takes the answers from `nodes`."""
        self._nodes = nodes

    def buildProtocol(self, _address: IAddress | None) -> StandInNodeConnection:
        """Returns the protocol of an accepted connection."""
        return StandInNodeConnection(self._nodes)


class OriginFactory(Factory):
    """Accepts connections to the origin."""

    noisy = False

    def __init__(self, nodes: NodesProcess) -> None:
        """Takes the answers from `nodes`."""
        self._nodes = nodes

    def buildProtocol(self, _address: IAddress | None) -> HttpServerConnection:
        """Returns the protocol of an accepted connection."""
        return HttpServerConnection(self._nodes.answer_origin_request, lambda *_: None)


class NodesProcess:
    """The role of the process: the ports of the cache nodes and the one of the origin."""

    def __init__(self, reactor: ScaleReactor, start: messages.StartNodes, report: Report) -> None:
        """Listens on all ports of the start message, and reports that it is ready."""
        self._miss_below = int(start.miss_share * 2**32)  # keys with a smaller checksum are missing
        self._gets = 0
        self._origin_requests = 0
        for port in start.ports:
            reactor.listenTCP(port, NodeFactory(self), backlog=BACKLOG, interface="127.0.0.1")
        reactor.listenTCP(start.origin_port, OriginFactory(self), backlog=BACKLOG, interface="127.0.0.1")
        report(messages.Ready())

    def answer_get(self, key: bytes, opaque: bytes) -> bytes:
        """Returns a cache node's answer to a get."""
        self._gets += 1
        if crc32(key) < self._miss_below:
            return b"EN " + opaque + b"\r\n"
        return b"VA %d %s\r\n%s\r\n" % (len(VALUE), opaque, VALUE)

    def answer_origin_request(self, connection: HttpServerConnection, _method: str, _target: str) -> None:
        """Answers a request to the origin, which has every key."""
        self._origin_requests += 1
        connection.answer(200, VALUE)

    def command(self, command: messages.Command) -> None:
        """Does nothing: the process takes no commands but its end."""

    def finish(self) -> messages.NodesTotals:
        """Returns the totals since the start."""
        return messages.NodesTotals(asked=self._gets, origin_asked=self._origin_requests)
