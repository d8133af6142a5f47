"""The links between regions, as a child process: TCP relays that delay, hold back and resend.

The relay has one port for each region from which discovery is reached over a link. It models a link so:

- A delay holds each piece of data back for that long in one direction. The connect itself is not delayed.
- A direction that is cut carries nothing while the cut lasts; what was sent in that time arrives afterwards,
  as over TCP when a route returns. New connections are accepted by the relay (a real link would not carry
  the handshake) and stay silent.
- Loss delays a piece by one retransmission, and all data behind it: TCP shows no other loss.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from lab.scale import messages
from lab.scale.reactor import Report, ScaleReactor

RETRANSMISSION_S = 0.2  # the minimum retransmission timeout of Linux
MAX_HELD_BYTES = 1024 * 1024  # in one direction of a connection; beyond it the sender is paused
CONNECT_TIMEOUT_S = 5.0
BACKLOG = 2048


class LinkDirection:
    """One direction of a region's link, which sets when data that is sent now arrives."""

    def __init__(self, delay_s: float, rng: Random) -> None:
        """Begins without a fault; `rng` draws which pieces are lost."""
        self.state = messages.DirectionState()
        self._delay_s = delay_s
        self._rng = rng

    @property
    def cut(self) -> bool:
        """Whether nothing arrives for now."""
        return self.state.cut

    def arrival_s(self, now: float) -> float:
        """Returns when a piece that is sent now arrives, but for a cut."""
        arrival = now + self._delay_s + self.state.extra_ms / 1000.0
        if self._rng.random() < self.state.loss:
            arrival += RETRANSMISSION_S
        return arrival


@dataclass(frozen=True, slots=True)
class Piece:
    """Data that arrives at `arrival_s`; None stands for the close of the connection."""

    arrival_s: float
    data: bytes | None


class Pipe:
    """One direction of one connection: its pieces in their order, then its close."""

    def __init__(
        self,
        reactor: ScaleReactor,
        now: Callable[[], float],
        direction: LinkDirection,
        source: RelayEnd,
        sink: RelayEnd,
    ) -> None:
        """Carries data from `source` to `sink`; `now` is a clock in seconds."""
        self._reactor = reactor
        self._now = now
        self._direction = direction
        self._source = source
        self._sink = sink
        self._pieces: list[Piece] = []
        self._held_bytes = 0
        self._is_scheduled = False

    def put(self, data: bytes | None) -> None:
        """Accepts a piece, or the close (None)."""
        now = self._now()
        earliest_s = self._pieces[-1].arrival_s if self._pieces else 0.0
        self._pieces.append(Piece(max(earliest_s, self._direction.arrival_s(now)), data))
        self._held_bytes += len(data or b"")
        if self._held_bytes > MAX_HELD_BYTES:
            self._source.transport.pauseProducing()
        self.move()

    def move(self) -> None:
        """Hands over what has arrived, unless the direction is cut."""
        if self._direction.cut or not self._sink.is_connected:
            return
        now = self._now()
        while self._pieces and self._pieces[0].arrival_s <= now:
            self._hand_over(self._pieces.pop(0).data)
        if self._pieces and not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(max(0.0, self._pieces[0].arrival_s - now), self._move_due)

    def _move_due(self) -> None:
        self._is_scheduled = False
        self.move()

    def _hand_over(self, data: bytes | None) -> None:
        if data is None:
            self._sink.transport.loseConnection()
            return
        was_full = self._held_bytes > MAX_HELD_BYTES
        self._held_bytes -= len(data)
        self._sink.transport.write(data)
        if was_full and self._held_bytes <= MAX_HELD_BYTES and self._source.is_connected:
            self._source.transport.resumeProducing()


class RelayEnd(Protocol):
    """One end of a relayed connection."""

    transport: Any  # Twisted sets an `ITCPTransport` before `connectionMade`.
    outgoing: Pipe  # carries on what is received here; it is set before the connection is made

    def __init__(self, opened: Callable[[RelayEnd], None]) -> None:
        """`opened` is called once the connection is made."""
        self._opened = opened
        self.is_connected = False
        self.is_closed = False  # the end will not be connected again, if it ever was

    def connectionMade(self) -> None:
        """Announces the connection."""
        self.transport.setTcpNoDelay(True)
        self.is_connected = True
        self._opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Sends the data on over the link."""
        self.outgoing.put(data)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Sends the close on over the link."""
        self.is_connected = False
        self.is_closed = True
        self.outgoing.put(None)


class RelayedConnection:
    """A connection from a proxy (`near`), the one to discovery (`far`), and the pipes between them."""

    def __init__(
        self, reactor: ScaleReactor, near: RelayEnd, there: LinkDirection, back: LinkDirection
    ) -> None:
        """Makes the far end, which the caller connects, and both pipes."""
        self.near = near
        self.far = RelayEnd(lambda _: self.move())
        self.near.outgoing = Pipe(reactor, time.monotonic, there, self.near, self.far)
        self.far.outgoing = Pipe(reactor, time.monotonic, back, self.far, self.near)

    def move(self) -> None:
        """Hands over what has arrived, in both directions."""
        self.near.outgoing.move()
        self.far.outgoing.move()

    @property
    def is_ended(self) -> bool:
        """Whether both ends have closed; a close arrives at the other end behind what a cut holds back."""
        return self.near.is_closed and self.far.is_closed


class TargetFactory(ClientFactory):
    """Connects the far end of a relayed connection."""

    noisy = False

    def __init__(self, near: RelayEnd, far: RelayEnd) -> None:
        """Aborts `near` if `far` can't be connected."""
        self._near = near
        self._far = far

    def buildProtocol(self, _address: IAddress | None) -> RelayEnd:
        """Returns the far end."""
        return self._far

    def clientConnectionFailed(self, _connector: IConnector, _reason: Failure) -> None:
        """Aborts the proxy's connection, since discovery refused it."""
        self._far.is_closed = True
        self._near.transport.abortConnection()


class RelayPort(Factory):
    """A region's port: each connection to it is carried on to discovery."""

    noisy = False

    def __init__(self, reactor: ScaleReactor, link: messages.RelayLink, seed: int) -> None:
        """Listens on the port of the link."""
        self._reactor = reactor
        self._target = link.target
        delay_s = link.delay_ms / 1000.0
        self.there = LinkDirection(delay_s, Random(f"there {link.region} {seed}"))
        self.back = LinkDirection(delay_s, Random(f"back {link.region} {seed}"))
        self.connections = 0
        self._relayed: list[RelayedConnection] = []
        reactor.listenTCP(link.port, self, backlog=BACKLOG, interface="127.0.0.1")

    def buildProtocol(self, _address: IAddress | None) -> RelayEnd:
        """Returns the near end of an accepted connection."""
        return RelayEnd(self._accept)

    def _accept(self, near: RelayEnd) -> None:
        self.connections += 1
        relayed = RelayedConnection(self._reactor, near, self.there, self.back)
        self._relayed = [known for known in self._relayed if not known.is_ended]
        self._relayed.append(relayed)
        host, port = self._target
        factory = TargetFactory(near, relayed.far)
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def set_directions(self, there: messages.DirectionState, back: messages.DirectionState) -> None:
        """Sets the state of both directions; data that a cut held back moves on at once."""
        self.there.state = there
        self.back.state = back
        for relayed in self._relayed:
            relayed.move()


class RelayProcess:
    """The role of the process: the ports of all regions."""

    def __init__(self, reactor: ScaleReactor, start: messages.StartRelay, report: Report) -> None:
        """Listens on the ports of all links, and reports that it is ready."""
        self._ports = {link.region: RelayPort(reactor, link, start.seed) for link in start.links}
        report(messages.Ready())

    def command(self, command: messages.Command) -> None:
        """Changes the state of a link."""
        if isinstance(command, messages.SetLink):
            self._ports[command.region].set_directions(command.there, command.back)

    def finish(self) -> messages.RelayTotals:
        """Returns the totals since the start."""
        return messages.RelayTotals(sum(port.connections for port in self._ports.values()))
