"""Clients of the real proxies, as a process: connections that each send a get now and then, in open loop."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from lab.scale import messages

KEYS = 10_000
DEADLINE_MS = 2000
AGAIN_S = 0.1  # between a connection's end and the next
HIGHEST_US = 60_000_000


class ClientConnection(LineReceiver):
    """Its requests are answered in turn."""

    delimiter = b"\r\n"

    def __init__(self, load: Load, client: Client) -> None:
        self._load = load
        self._client = client
        self._sent_s: deque[float] = deque()
        self._value_bytes = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._client.connection = self

    @property
    def open_requests(self) -> int:
        """Sent, and not answered yet."""
        return len(self._sent_s)

    def ask(self, key: int, name: int) -> None:
        """Sends a get."""
        self._sent_s.append(time.monotonic())
        self.transport.write(b"mg k%d v Or%d Pc=page,t=acme,d=%d\r\n" % (key, name, DEADLINE_MS))

    def lineReceived(self, line: bytes) -> None:
        if line.startswith(b"VA "):
            self._value_bytes = int(line.split()[1]) + len(self.delimiter)
            self.setRawMode()
            return
        took_s = time.monotonic() - self._sent_s.popleft()
        self._load.ended("refused" if line.startswith(b"SERVER_ERROR busy") else "failed", took_s)

    def rawDataReceived(self, data: bytes) -> None:
        rest = data[self._value_bytes :]
        self._value_bytes -= len(data) - len(rest)
        if not self._value_bytes:
            self._load.ended("served", time.monotonic() - self._sent_s.popleft())
            self.setLineMode(rest)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        for sent_s in self._sent_s:
            self._load.ended("lost", time.monotonic() - sent_s)
        self._client.disconnected()


class Client(ClientFactory):
    """One client of one proxy; it connects anew for as long as the load goes on."""

    noisy = False

    def __init__(self, reactor: Any, load: Load, address: tuple[str, int]) -> None:
        self._reactor = reactor
        self._load = load
        self._address = address
        self.connection: ClientConnection | None = None

    def connect(self) -> None:
        """Begins a connection."""
        self._reactor.connectTCP(*self._address, self, timeout=DEADLINE_MS / 1000.0)

    def buildProtocol(self, addr: IAddress) -> ClientConnection:
        return ClientConnection(self._load, self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.disconnected()

    def disconnected(self) -> None:
        """It tries again a little later."""
        self.connection = None
        self._reactor.callLater(AGAIN_S, self.connect)


class Load:
    """The role of the process."""

    def __init__(
        self, reactor: Any, start: messages.StartLoad, report: Callable[[messages.Report], None]
    ) -> None:
        self._reactor = reactor
        self._rng = Random(f"load {start.seed}")
        self._counts = dict.fromkeys(("sent", "served", "refused", "failed", "lost", "not_connected"), 0)
        self._latency = HdrHistogram(1, HIGHEST_US, 3)
        self._each_per_s = start.requests_per_s / start.connections
        self._going = False
        self._clients = [
            Client(reactor, self, address) for address in start.proxies for _ in range(start.connections)
        ]
        for client in self._clients:
            client.connect()
        report(messages.Ready())

    def command(self, command: messages.Command) -> None:
        """The load goes with the changes."""
        if isinstance(command, messages.SwitchChanges):
            self._going = command.on
            if command.on:
                for client in self._clients:
                    self._later(client)

    def _later(self, client: Client) -> None:
        self._reactor.callLater(self._rng.expovariate(self._each_per_s), self._ask, client)

    def _ask(self, client: Client) -> None:
        if not self._going:
            return
        self._later(client)
        self._counts["sent"] += 1
        if client.connection is None:
            self._counts["not_connected"] += 1
        else:
            client.connection.ask(self._rng.randrange(KEYS), self._counts["sent"])

    def ended(self, how: str, took_s: float) -> None:
        """A request has its answer, or its connection has ended (`lost`)."""
        self._counts[how] += 1
        if how == "served":
            self._latency.record_value(min(HIGHEST_US, max(1, int(1e6 * took_s))))

    def finish(self) -> messages.LoadTotals:
        """The totals since the start."""
        unanswered = sum(client.connection.open_requests for client in self._clients if client.connection)
        latency = self._latency.encode().decode()
        return messages.LoadTotals(**self._counts, unanswered=unanswered, latency=latency)
