"""The links between regions, as a process: TCP relays that delay, hold back and resend.

A relay has one port for each region that reaches discovery from afar. What stands for what:

- A delay holds each piece of data back for so long, one way; connecting itself is not delayed.
- A cut way carries nothing while it lasts, and what was sent then comes afterwards, as over TCP when a route
  returns. New connections come up at the relay (a real one would not), and stay silent.
- Loss makes a piece come one retransmission later, and all behind it: TCP shows no other loss.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from lab.scale import messages

RETRANSMISSION_S = 0.2  # the least that Linux waits
MOST_HELD = 1024 * 1024  # bytes on one way of a connection; then the sender has to wait
CONNECT_S = 5.0


class Way:
    """One way of a region's link: when what is sent now arrives."""

    def __init__(self, delay_s: float, rng: Random) -> None:
        self.state = messages.LinkWay()
        self._delay_s = delay_s
        self._rng = rng

    @property
    def cut(self) -> bool:
        """Nothing arrives until that is over."""
        return self.state.cut

    def arrival_s(self, now: float) -> float:
        """Of a piece that is sent now."""
        arrival = now + self._delay_s + self.state.extra_ms / 1000.0
        if self._rng.random() < self.state.loss:
            arrival += RETRANSMISSION_S
        return arrival


class Pipe:
    """One way of one connection: pieces in their order, then the close."""

    def __init__(
        self, reactor: Any, now: Callable[[], float], way: Way, source: RelayEnd, sink: RelayEnd
    ) -> None:
        self._reactor = reactor
        self._now = now
        self._way = way
        self._source = source
        self._sink = sink
        self._pieces: list[tuple[float, bytes | None]] = []  # arrival and data; None: the close
        self._held = 0
        self._armed = False

    def put(self, data: bytes | None) -> None:
        """Takes a piece, or the close."""
        now = self._now()
        behind = self._pieces[-1][0] if self._pieces else 0.0
        self._pieces.append((max(behind, self._way.arrival_s(now)), data))
        self._held += len(data or b"")
        if self._held > MOST_HELD:
            self._source.transport.pauseProducing()
        self.move()

    def move(self) -> None:
        """Hands over what has arrived, unless the way is cut."""
        if self._way.cut or not self._sink.up:
            return
        now = self._now()
        while self._pieces and self._pieces[0][0] <= now:
            _, data = self._pieces.pop(0)
            self._hand_over(data)
        if self._pieces and not self._armed:
            self._armed = True
            self._reactor.callLater(max(0.0, self._pieces[0][0] - now), self._due)

    def _due(self) -> None:
        self._armed = False
        self.move()

    def _hand_over(self, data: bytes | None) -> None:
        if data is None:
            self._sink.transport.loseConnection()
            return
        was_full = self._held > MOST_HELD
        self._held -= len(data)
        self._sink.transport.write(data)
        if was_full and self._held <= MOST_HELD and self._source.up:
            self._source.transport.resumeProducing()


class RelayEnd(Protocol):
    """One end of a relayed connection."""

    def __init__(self, opened: Callable[[RelayEnd], None]) -> None:
        self._opened = opened
        self.pipe: Pipe | None = None  # what comes in here goes on by it
        self.up = False
        self.closed = False  # it will not be up again, if it ever was

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.up = True
        self._opened(self)

    def dataReceived(self, data: bytes) -> None:
        self.pipe.put(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.up, self.closed = False, True
        self.pipe.put(None)


class RelayedConnection:
    """A connection from a proxy (`near`), the one to discovery (`far`), and the pipes between them."""

    def __init__(self, reactor: Any, near: RelayEnd, there: Way, back: Way) -> None:
        self.near = near
        self.far = RelayEnd(lambda _: self.move())
        self.near.pipe = Pipe(reactor, time.monotonic, there, self.near, self.far)
        self.far.pipe = Pipe(reactor, time.monotonic, back, self.far, self.near)

    def move(self) -> None:
        """Hands over what may go, either way."""
        self.near.pipe.move()
        self.far.pipe.move()

    @property
    def ended(self) -> bool:
        """Both ends have closed: the close of one reaches the other behind what a cut holds back."""
        return self.near.closed and self.far.closed


class _Outgoing(ClientFactory):
    noisy = False

    def __init__(self, near: RelayEnd, far: RelayEnd) -> None:
        self._near = near
        self._far = far

    def buildProtocol(self, addr: IAddress) -> RelayEnd:
        return self._far

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._far.closed = True
        self._near.transport.abortConnection()


class RelayPort(Factory):
    """A region's port: each connection to it is one to discovery."""

    noisy = False

    def __init__(self, reactor: Any, link: messages.RelayLink, seed: int) -> None:
        self._reactor = reactor
        self._target = link.target
        delay_s = link.delay_ms / 1000.0
        self.there = Way(delay_s, Random(f"there {link.region} {seed}"))
        self.back = Way(delay_s, Random(f"back {link.region} {seed}"))
        self.connections = 0
        self._relayed: list[RelayedConnection] = []
        reactor.listenTCP(link.port, self, backlog=2048, interface="127.0.0.1")

    def buildProtocol(self, addr: IAddress) -> RelayEnd:
        return RelayEnd(self._accepted)

    def _accepted(self, near: RelayEnd) -> None:
        self.connections += 1
        relayed = RelayedConnection(self._reactor, near, self.there, self.back)
        self._relayed = [known for known in self._relayed if not known.ended] + [relayed]
        self._reactor.connectTCP(*self._target, _Outgoing(near, relayed.far), timeout=CONNECT_S)

    def set_ways(self, there: messages.LinkWay, back: messages.LinkWay) -> None:
        """What was held back by a cut goes on at once."""
        self.there.state, self.back.state = there, back
        for relayed in self._relayed:
            relayed.move()


class Relay:
    """The role of the process."""

    def __init__(
        self, reactor: Any, start: messages.StartRelay, report: Callable[[messages.Report], None]
    ) -> None:
        self._ports = {link.region: RelayPort(reactor, link, start.seed) for link in start.links}
        report(messages.Ready())

    def command(self, command: messages.Command) -> None:
        """A link changes."""
        if isinstance(command, messages.SetLink):
            self._ports[command.region].set_ways(command.there, command.back)

    def finish(self) -> messages.RelayTotals:
        """The totals since the start."""
        return messages.RelayTotals(sum(port.connections for port in self._ports.values()))
