"""Clients of the real proxies, as a child process: their connections send gets in open loop."""

from __future__ import annotations

import time
from collections import deque
from enum import Enum
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from lab.scale import messages
from lab.scale.reactor import Report, ScaleReactor

KEYS = 10_000
DEADLINE_MS = 2000
RECONNECT_DELAY_S = 0.1
HIGHEST_LATENCY_US = 60_000_000
LATENCY_DIGITS = 3


class RequestOutcome(Enum):
    """How a request ended; the values are fields of `messages.LoadTotals`."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    NOT_CONNECTED = "not_connected"


class LoadConnection(LineReceiver):
    """A client's connection to a proxy, whose requests are answered in their order."""

    transport: Any  # Twisted sets an `ITCPTransport` before `connectionMade`.
    delimiter = b"\r\n"

    def __init__(self, load: LoadProcess, client: LoadClient) -> None:
        """Reports the outcomes to `load`, and its own state to `client`."""
        self._load = load
        self._client = client
        self._sent_s: deque[float] = deque()  # when each open request was sent
        self._value_bytes_left = 0  # of the value that is being read, with its line end

    def connectionMade(self) -> None:
        """Makes the connection available to its client."""
        self.transport.setTcpNoDelay(True)
        self._client.connection = self

    @property
    def open_requests(self) -> int:
        """The number of requests that were sent and not answered yet."""
        return len(self._sent_s)

    def send_get(self, key: int, opaque: int) -> None:
        """Sends a get; `opaque` identifies the request."""
        self._sent_s.append(time.monotonic())
        self.transport.write(b"mg k%d v Or%d Pc=page,t=acme,d=%d\r\n" % (key, opaque, DEADLINE_MS))

    def lineReceived(self, line: bytes) -> None:
        """Handles an answer without a value, or the first line of a value."""
        if line.startswith(b"VA "):
            self._value_bytes_left = int(line.split()[1]) + len(self.delimiter)
            self.setRawMode()  # type: ignore[no-untyped-call]
            return
        was_refused = line.startswith(b"SERVER_ERROR busy")
        self._end_request(RequestOutcome.REFUSED if was_refused else RequestOutcome.FAILED)

    def rawDataReceived(self, data: bytes) -> None:
        """Counts the bytes of a value, and returns to lines behind it."""
        rest = data[self._value_bytes_left :]
        self._value_bytes_left -= len(data) - len(rest)
        if not self._value_bytes_left:
            self._end_request(RequestOutcome.SERVED)
            self.setLineMode(rest)  # type: ignore[no-untyped-call]

    def _end_request(self, outcome: RequestOutcome) -> None:
        self._load.record(outcome, time.monotonic() - self._sent_s.popleft())

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Counts the open requests as lost."""
        for sent_s in self._sent_s:
            self._load.record(RequestOutcome.LOST, time.monotonic() - sent_s)
        self._client.reconnect_later()


class LoadClient(ClientFactory):
    """One client of one proxy, which reconnects for as long as the process runs."""

    noisy = False

    def __init__(self, reactor: ScaleReactor, load: LoadProcess, address: tuple[str, int]) -> None:
        """Makes the client without connecting it."""
        self._reactor = reactor
        self._load = load
        self._address = address
        self.connection: LoadConnection | None = None

    def connect(self) -> None:
        """Begins a connection."""
        host, port = self._address
        self._reactor.connectTCP(host, port, self, timeout=DEADLINE_MS / 1000.0)

    def buildProtocol(self, _address: IAddress | None) -> LoadConnection:
        """Returns the protocol of a connection that was established."""
        return LoadConnection(self._load, self)

    def clientConnectionFailed(self, _connector: IConnector, _reason: Failure) -> None:
        """Tries again a little later."""
        self.reconnect_later()

    def reconnect_later(self) -> None:
        """Notes that there is no connection, and begins one after `RECONNECT_DELAY_S`."""
        self.connection = None
        self._reactor.callLater(RECONNECT_DELAY_S, self.connect)


class LoadProcess:
    """The role of the process: the clients of all real proxies."""

    def __init__(self, reactor: ScaleReactor, start: messages.StartLoad, report: Report) -> None:
        """Connects the clients, which send nothing until the changes begin."""
        self._reactor = reactor
        self._rng = Random(f"load {start.seed}")
        self._sent = 0
        self._counts = dict.fromkeys(RequestOutcome, 0)
        self._latency_us = HdrHistogram(1, HIGHEST_LATENCY_US, LATENCY_DIGITS)
        self._requests_per_s = start.requests_per_s / start.connections  # of one client
        self._is_sending = False
        self._clients = [
            LoadClient(reactor, self, address) for address in start.proxies for _ in range(start.connections)
        ]
        for client in self._clients:
            client.connect()
        report(messages.Ready())

    def command(self, command: messages.Command) -> None:
        """Begins or ends the load together with the changes of the list."""
        if not isinstance(command, messages.SwitchChanges):
            return
        self._is_sending = command.on
        if command.on:
            for client in self._clients:
                self._schedule_request(client)

    def _schedule_request(self, client: LoadClient) -> None:
        delay_s = self._rng.expovariate(self._requests_per_s)
        self._reactor.callLater(delay_s, self._send_request, client)

    def _send_request(self, client: LoadClient) -> None:
        if not self._is_sending:
            return
        self._schedule_request(client)
        self._sent += 1
        if client.connection is None:
            self._counts[RequestOutcome.NOT_CONNECTED] += 1
        else:
            client.connection.send_get(self._rng.randrange(KEYS), self._sent)

    def record(self, outcome: RequestOutcome, duration_s: float) -> None:
        """Counts a request that has ended, and the latency of one that was served."""
        self._counts[outcome] += 1
        if outcome is RequestOutcome.SERVED:
            self._latency_us.record_value(min(HIGHEST_LATENCY_US, max(1, int(1e6 * duration_s))))

    def finish(self) -> messages.LoadTotals:
        """Returns the totals since the start."""
        return messages.LoadTotals(
            sent=self._sent,
            served=self._counts[RequestOutcome.SERVED],
            refused=self._counts[RequestOutcome.REFUSED],
            failed=self._counts[RequestOutcome.FAILED],
            lost=self._counts[RequestOutcome.LOST],
            not_connected=self._counts[RequestOutcome.NOT_CONNECTED],
            unanswered=sum(client.connection.open_requests for client in self._clients if client.connection),
            latency=self._latency_us.encode().decode(),
        )
