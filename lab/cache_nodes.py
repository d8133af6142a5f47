"""Stand-in cache nodes that count what connections cost and lose: handshakes, resets, late opens."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from lab.line_connection import LineConnection
from lab.listener import Address
from lab.net import Net


class CacheNode(Factory):
    """Answers `mg` with a hit after its work. How it treats idle connections is its settings."""

    noisy = False

    def __init__(
        self,
        net: Net,
        address: Address,
        work_s: float = 0.02,
        idle_s: Callable[[float], float] = lambda _now_s: math.inf,
        says_so: bool = False,
        drops_flow: bool = False,
        most: int = 10_000,
        seed: int = 1,
    ) -> None:
        """`idle_s(now)`: idle time after which it closes; `says_so`: with a close that can be seen;
        `drops_flow`: something in between forgets the flow, and nothing answers; `most`: connections held,
        beyond which new ones are reset; `work_s`: mean work of a request."""
        self.net = net
        self.address = address
        self.work_s = work_s
        self.idle_s = idle_s
        self.says_so = says_so
        self.drops_flow = drops_flow
        self.most = most
        self.rng = Random(seed)
        self.connections: set[CountingNodeConnection] = set()
        self.handshakes = 0
        self.refused = 0
        self.closed_idle = 0
        self.requests = 0
        self.dead_requests = 0  # whole requests that came on a connection it had closed
        self.opened_at: list[float] = []
        net.listenTCP(address[1], self, interface=address[0])

    def buildProtocol(self, _addr: IAddress | None) -> CountingNodeConnection | None:
        """A connection, unless the node holds as many as it may."""
        self.handshakes += 1
        self.opened_at.append(self.net.seconds())
        if len(self.connections) >= self.most:
            self.refused += 1
            return None
        return CountingNodeConnection(self)


class CountingNodeConnection(LineConnection):
    """A proxy's connection to a stand-in node."""

    def __init__(self, node: CacheNode) -> None:
        """`node`: it counts what comes on the connection."""
        self.node = node
        self._idle_since = node.net.seconds()
        self._out = 0
        self._ready_s = 0.0  # when the latest request will be answered
        self._closed = False  # closed without a word: whatever comes is reset

    def connectionMade(self) -> None:
        """Watches from now on whether the connection is idle for too long."""
        self.node.connections.add(self)
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        """Closes when it has been idle for its time."""
        if self._closed or self not in self.node.connections:
            return
        net, limit = self.node.net, self.node.idle_s(self.node.net.seconds())
        idle = net.seconds() - self._idle_since
        if not self._out and idle >= limit:
            self.node.closed_idle += 1
            self._closed = True
            if self.node.drops_flow:
                self.transport.forget_flow()
            elif self.node.says_so:
                self.transport.loseConnection()
            self.node.connections.discard(self)
            return
        wait = 0.25 if limit == math.inf or self._out else max(0.005, min(0.25, limit - idle))
        net.callLater(wait, self._close_if_idle)

    def dataReceived(self, data: bytes) -> None:
        """Resets the connection if the node has closed it without a word."""
        if self._closed:
            self.node.dead_requests += data.count(b"\n")
            self.transport.abortConnection()
            return
        self.receive(data)

    def lineReceived(self, line: bytes) -> None:
        """A read, which is a hit after its work."""
        self.node.requests += 1
        self._out += 1
        name = next(word for word in line.split() if word.startswith(b"O"))
        # Begun at once, answered behind those that came before it on this connection.
        now = self.node.net.seconds()
        self._ready_s = max(self._ready_s, now + self.node.rng.expovariate(1.0 / self.node.work_s))
        self.node.net.callLater(self._ready_s - now, self._answer, name)

    def _answer(self, name: bytes) -> None:
        self._out -= 1
        self._idle_since = self.node.net.seconds()
        if not self._closed:
            self.transport.write(b"VA 1 " + name + b" h1\r\nx\r\n")

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """The connection has ended; open requests get no answer."""
        self._closed = True
        self.node.connections.discard(self)
