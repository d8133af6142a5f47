"""Clients that load a proxy: some ask once and stay, some ask often, and some say nothing."""

from __future__ import annotations

from collections import Counter
from random import Random

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from lab.net import Address, Net


class Client(LineReceiver):
    delimiter = b"\r\n"

    def __init__(self, source: Clients) -> None:
        self.source = source
        self.asked_s: float | None = None  # a request is out since
        self.name = ""
        self._value = False

    def connectionMade(self) -> None:
        self.source.connected(self)

    def ask(self, key: str, wait_ms: int) -> None:
        self.asked_s, self.name = self.source.net.seconds(), self.source.next_name()
        self.sendLine(f"mg {key} v O{self.name} Pc=page,t=acme,d={wait_ms}".encode())

    def lineReceived(self, line: bytes) -> None:
        if self._value:
            self._value = False
            return self._end("served")
        if line.startswith(b"VA "):
            self._value = True
            return None
        return self._end("refused" if line.startswith(b"SERVER_ERROR busy") else "failed")

    def _end(self, how: str) -> None:
        if self.asked_s is not None:
            asked, self.asked_s = self.asked_s, None
            self.source.ended(self, how, self.source.net.seconds() - asked)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._end("lost")
        self.source.lost(self)


class Clients(ClientFactory):
    """A pool of clients that opens no more than `most` connections, as the platform's do.

    `stay`: each request comes on a new connection, which is kept for ever afterwards; else idle ones serve.
    """

    noisy = False

    def __init__(self, net: Net, address: Address, most: int, stay: bool = False, seed: int = 1) -> None:
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
        self._count += 1
        return f"{id(self) % 1000}x{self._count}"

    def buildProtocol(self, addr: object) -> Client:
        return Client(self)

    def request(self) -> None:
        if not self.stay and self._idle:
            return self._ask(self._idle.pop())
        if len(self.open) + self._coming >= self.most:
            self.how["shut_out"] += 1
            return None
        self._coming += 1
        self._wanted += 1
        return self.net.connectTCP(*self.address, self, timeout=1.0)

    def _ask(self, client: Client) -> None:
        client.ask(f"k{self.rng.randrange(500)}", 1500)

    def connected(self, client: Client) -> None:
        self._coming -= 1
        self.open.add(client)
        if self._wanted:
            self._wanted -= 1
            self._ask(client)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._coming -= 1
        self._wanted -= 1
        self.how["connect_refused"] += 1

    def ended(self, client: Client, how: str, took_s: float) -> None:
        self.how[how] += 1
        self.times_s.append(took_s)
        if not self.stay and how != "lost":
            self._idle.append(client)

    def lost(self, client: Client) -> None:
        self.open.discard(client)
        if client in self._idle:
            self._idle.remove(client)

    def load(self, per_s: float, seconds: float) -> None:
        """Arranges Poisson arrivals from now on."""
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < seconds:
            self.net.callLater(at, self.request)

    def share(self, how: str) -> float:
        return self.how[how] / max(1, sum(self.how.values()))


class Silent(ClientFactory):
    """Connections that say nothing: so many, each opened again some time after it was closed."""

    noisy = False

    def __init__(
        self, net: Net, address: Address, number: int, over_s: float = 0.5, again_s: float = 0.1
    ) -> None:
        self.net, self.address, self.again_s = net, address, again_s
        self.closed = 0
        for place in range(number):
            net.callLater(over_s * place / number, self._open)

    def _open(self) -> None:
        self.net.connectTCP(*self.address, self, timeout=5.0)

    def buildProtocol(self, addr: object) -> _Mute:
        return _Mute(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.net.callLater(self.again_s, self._open)


class _Mute(LineReceiver):
    def __init__(self, source: Silent) -> None:
        self.source = source

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.source.closed += 1
        self.source.net.callLater(self.source.again_s, self.source._open)
