"""Clients that load a proxy: some ask once and stay, some ask often, and some say nothing."""

from __future__ import annotations

from collections import Counter
from random import Random

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from lab.line_connection import LineConnection
from lab.listener import Address
from lab.net import Net


class Client(LineConnection):
    """A client's connection, with at most one request out."""

    def __init__(self, source: Clients) -> None:
        """`source`: it decides what is asked, and counts the ends."""
        self.source = source
        self.asked_s: float | None = None  # a request is out since
        self.name = ""
        self._value = False

    def connectionMade(self) -> None:
        """The connection is up: it may be used at once."""
        self.source.connected(self)

    def ask(self, key: str, wait_ms: int) -> None:
        """Sends a read of the key, which may take `wait_ms`."""
        self.asked_s, self.name = self.source.net.seconds(), self.source.next_name()
        self.send_line(f"mg {key} v O{self.name} Pc=page,t=acme,d={wait_ms}".encode())

    def lineReceived(self, line: bytes) -> None:
        """Reads the head of a value, the value, or an error."""
        if self._value:
            self._value = False
            self._end("served")
        elif line.startswith(b"VA "):
            self._value = True
        else:
            self._end("refused" if line.startswith(b"SERVER_ERROR busy") else "failed")

    def _end(self, how: str) -> None:
        if self.asked_s is not None:
            asked, self.asked_s = self.asked_s, None
            self.source.ended(self, how, self.source.net.seconds() - asked)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """The connection has ended, and the open request with it."""
        self._end("lost")
        self.source.lost(self)


class Clients(ClientFactory):
    """A pool of clients that opens no more than `most` connections, as the platform's do.

    `stay`: each request comes on a new connection, which is kept for ever afterwards; else idle ones serve.
    """

    noisy = False

    def __init__(self, net: Net, address: Address, most: int, stay: bool = False, seed: int = 1) -> None:
        """Opens nothing before `request` or `load`."""
        self.net = net
        self.address = address
        self.most = most
        self.stay = stay
        self.rng = Random(seed)
        self.how: Counter[str] = Counter()  # how requests ended; `shut_out`: no connection could be had
        self.times_s: list[float] = []
        self.open: set[Client] = set()
        self._idle: list[Client] = []
        self._coming = 0
        self._wanted = 0
        self._count = 0

    def next_name(self) -> str:
        """An id for the next request."""
        self._count += 1
        return f"{id(self) % 1000}x{self._count}"

    def buildProtocol(self, _addr: IAddress | None) -> Client:
        """A connection is up."""
        return Client(self)

    def request(self) -> None:
        """Sends a request on an idle connection or on a new one, if there may be one more."""
        if not self.stay and self._idle:
            self._ask(self._idle.pop())
            return
        if len(self.open) + self._coming >= self.most:
            self.how["shut_out"] += 1
            return
        self._coming += 1
        self._wanted += 1
        self.net.connectTCP(*self.address, self, timeout=1.0)

    def _ask(self, client: Client) -> None:
        client.ask(f"k{self.rng.randrange(500)}", 1500)

    def connected(self, client: Client) -> None:
        """A connection is up: it sends a request if one waits."""
        self._coming -= 1
        self.open.add(client)
        if self._wanted:
            self._wanted -= 1
            self._ask(client)

    def clientConnectionFailed(self, _connector: IConnector, _reason: Failure) -> None:
        """The request that the connection was opened for ends."""
        self._coming -= 1
        self._wanted -= 1
        self.how["connect_refused"] += 1

    def ended(self, client: Client, how: str, took_s: float) -> None:
        """A request has ended."""
        self.how[how] += 1
        self.times_s.append(took_s)
        if not self.stay and how != "lost":
            self._idle.append(client)

    def lost(self, client: Client) -> None:
        """A connection has ended."""
        self.open.discard(client)
        if client in self._idle:
            self._idle.remove(client)

    def load(self, per_s: float, seconds: float) -> None:
        """Arranges Poisson arrivals from now on."""
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < seconds:
            self.net.callLater(at, self.request)

    def share(self, how: str) -> float:
        """The share of the requests that ended so."""
        return self.how[how] / max(1, sum(self.how.values()))


class Silent(ClientFactory):
    """Connections that say nothing: so many, each opened again some time after it was closed."""

    noisy = False

    def __init__(
        self, net: Net, address: Address, number: int, over_s: float = 0.5, again_s: float = 0.1
    ) -> None:
        """Opens `number` connections, spread over `over_s`; `again_s`: from a close to the next opening."""
        self.net, self.address, self.again_s = net, address, again_s
        self.closed = 0
        for place in range(number):
            net.callLater(over_s * place / number, self.open_one)

    def open_one(self) -> None:
        """Opens one more connection."""
        self.net.connectTCP(*self.address, self, timeout=5.0)

    def buildProtocol(self, _addr: IAddress | None) -> SilentConnection:
        """A connection is up."""
        return SilentConnection(self)

    def clientConnectionFailed(self, _connector: IConnector, _reason: Failure) -> None:
        """Tries again later."""
        self.net.callLater(self.again_s, self.open_one)


class SilentConnection(LineConnection):
    """A connection that sends nothing."""

    def __init__(self, source: Silent) -> None:
        """`source`: it opens another in place of this one."""
        self.source = source

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """The connection has ended: another takes its place."""
        self.source.closed += 1
        self.source.net.callLater(self.source.again_s, self.source.open_one)
