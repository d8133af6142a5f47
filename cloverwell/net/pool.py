"""The connections to each box, and the legs that wait for one.

A leg takes an idle connection, the one used last; else one more is opened, and whichever comes free first
takes it. Only at the caps are legs written behind others: one that is behind waits for those before it, and
giving one up closes the connection for all.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from cloverwell.authorisation import Attempt
from cloverwell.facade import Outcome
from cloverwell.log import Log
from cloverwell.net.lines import PEEK, RingLineReceiver
from cloverwell.wheel import Wheel

IDLE_SHARE = 0.5  # of the time after which the box closes an idle connection: ours are closed well before
SWEEP_MS = 100.0
STALL_MS, STALL_LOOKS = 25.0, 4  # an answer that has begun and does not go on for so many looks is given up
MAX_WAITING = 256  # legs that wait for a connection to one box


class BoxConnection(RingLineReceiver):
    """A connection to a box: its legs in order, each ended by the answer whose turn it is."""

    def __init__(self, pool: Pool) -> None:
        super().__init__()
        self._pool = pool
        self.legs: deque[Attempt] = deque()
        self.idle_since_ms = 0.0

    def command(self, attempt: Attempt) -> bytes:
        """The bytes of an attempt."""
        raise NotImplementedError

    def connectionMade(self) -> None:
        super().connectionMade()
        self._pool.opened(self)

    def send(self, attempt: Attempt) -> bool:
        """False if not a byte has been handed over."""
        if (attempt.authorisation.write and self._spoilt()) or not self.put(self.command(attempt)):
            return False
        attempt.written_ms = self._pool.now()
        self.legs.append(attempt)
        return True

    def _spoilt(self) -> bool:
        """The box has closed it, or sent what no leg is owed: a write would be reset, perhaps for good."""
        try:
            self._socket.recv(1, PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def finish_leg(self, outcome: Outcome, body: bytes = b"") -> None:
        """The oldest leg has its answer."""
        attempt = self.legs.popleft()
        if not self.legs and self.unparsed:
            # A second copy or noise behind a good answer would be read as the answer of the next leg.
            self._pool.log.info("answer", f"more than the answer came from {self._pool.box}")
            self.drop(Outcome.RESET)
        else:
            if not self.legs:
                self.idle_since_ms = self._pool.now()
            self._pool.freed(self)
        attempt.end(outcome, body)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if self._wanted or len(self._in):
            self._pool.begun[self] = 0
        else:
            self._pool.begun.pop(self, None)

    def framingLost(self, reason: str) -> None:
        self._pool.log.warn("answer", f"malformed answer of {self._pool.box}: {reason}")
        self.drop(Outcome.RESET)

    def drop(self, outcome: Outcome, of: Attempt | None = None) -> None:
        """Ends the connection and each of its legs: `of` by that outcome, the others by a reset."""
        legs, self.legs = self.legs, deque()
        self.end(abort=True)
        self._pool.lost(self)
        for attempt in legs:
            attempt.end(outcome if attempt is of else Outcome.RESET)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        legs, self.legs = self.legs, deque()
        self._pool.lost(self)
        for attempt in legs:
            attempt.end(Outcome.RESET)


class _Opener(ClientFactory):
    noisy = False

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: IPv4Address) -> BoxConnection:
        return self._pool.build()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._pool.failed()


class Pool:
    """One box's connections."""

    def __init__(self, pools: Pools, box: str, origin: bool) -> None:
        self._pools = pools
        self.box = box
        self.origin = origin
        self.address: tuple[str, int] | None = None
        self.log = pools.log
        self.now = pools.wheel.now
        self.connections: list[BoxConnection] = []
        self.idle: list[BoxConnection] = []  # used last at the end
        self.opening = 0
        self.left = False  # off the routing table
        self.begun = pools.begun
        self._waiting: deque[Attempt] = deque()

    def build(self) -> BoxConnection:
        return self._pools.build(self)

    def start(self, attempt: Attempt) -> None:
        if self.address is None:
            attempt.end(Outcome.NOT_CONNECTED)
            return
        while self.idle:
            connection = self.idle.pop()
            if connection.send(attempt):
                return
            connection.drop(Outcome.RESET)
        if self._pools.may_open(self):
            self._wait(attempt)
            if self.opening < len(self._waiting):
                self._open()
            return
        shared = [c for c in self.connections if self._may_share(c, attempt)]
        if not shared or not min(shared, key=lambda c: len(c.legs)).send(attempt):
            self._wait(attempt)

    def _may_share(self, connection: BoxConnection, attempt: Attempt) -> bool:
        # Giving up one leg resets all behind it, and an order that is reset may never be sent again.
        legs = [attempt, *connection.legs]
        return (
            not connection.ended
            and len(legs) <= self._pools.legs_each
            and not any(leg.authorisation.write for leg in legs)
        )

    def _wait(self, attempt: Attempt) -> None:
        if len(self._waiting) >= MAX_WAITING:
            attempt.end(Outcome.NOT_CONNECTED)
            return
        self._waiting.append(attempt)
        # Too long without a connection is a failure to connect: nothing was written, it never ran.
        self._pools.wheel.at(attempt.write_by_ms, lambda: self._unheard(attempt))

    def _unheard(self, attempt: Attempt) -> None:
        if attempt.written_ms is None and not attempt.over:
            self.give_up(attempt, Outcome.NOT_CONNECTED)

    def _open(self) -> None:
        self.opening += 1
        host, port = self.address
        timeout = self._pools.connect_timeout_ms / 1000.0
        self._pools.reactor.connectTCP(host, port, _Opener(self), timeout=timeout)

    def failed(self) -> None:
        """A connection could not be made: the leg that has waited longest ends, others have their own."""
        self.opening -= 1
        if self._waiting and len(self._waiting) > self.opening:
            self._waiting.popleft().end(Outcome.NOT_CONNECTED)

    def opened(self, connection: BoxConnection) -> None:
        self.opening -= 1
        self.connections.append(connection)
        connection.idle_since_ms = self.now()
        self.freed(connection)

    def freed(self, connection: BoxConnection) -> None:
        """A connection has no leg, or one less: the leg that has waited longest takes it."""
        if connection.ended or connection.legs:
            return
        while self._waiting:
            attempt = self._waiting.popleft()
            if connection.send(attempt):
                return
            connection.drop(Outcome.RESET)
            self.start(attempt)
            return
        if self.left:
            connection.drop(Outcome.RESET)
        else:
            self.idle.append(connection)

    def lost(self, connection: BoxConnection) -> None:
        self.begun.pop(connection, None)
        if connection in self.connections:
            self.connections.remove(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.over:
            return
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            # Not a byte of it was written: to call it off, or time it out, leaves nothing that may have run.
            attempt.end(Outcome.NOT_CONNECTED if outcome is Outcome.TIMED_OUT else outcome)
            return
        for connection in self.connections:
            if attempt in connection.legs:
                connection.drop(outcome, attempt)
                return
        attempt.end(outcome)

    @property
    def unused(self) -> bool:
        return not (self.connections or self.opening or self._waiting)

    def hang_up(self) -> None:
        for connection in list(self.idle):
            connection.drop(Outcome.RESET)

    def sweep(self, before_ms: float) -> None:
        for connection in [c for c in self.idle if c.idle_since_ms < before_ms]:
            connection.drop(Outcome.RESET)


class Pools:
    """All boxes' pools, within one budget of descriptors."""

    def __init__(
        self,
        reactor: IReactorTCP,
        wheel: Wheel,
        log: Log,
        build: Callable[[Pool], BoxConnection],
        budget: int,
        legs_each: int,
        connect_timeout_ms: float,
        idle_close_ms: float,
    ) -> None:
        self.reactor = reactor
        self.wheel = wheel
        self.log = log
        self.build = build
        self.budget = budget
        self.legs_each = legs_each
        self.connect_timeout_ms = connect_timeout_ms
        self._idle_ms = IDLE_SHARE * idle_close_ms
        self._pools: dict[str, Pool] = {}
        self.begun: dict[BoxConnection, int] = {}  # part of an answer is there: looks since more of it came
        self._sweep()
        self._look_for_stalls()

    def _look_for_stalls(self) -> None:
        # Looks are counted, not time: a loop that was held up has not read what came meanwhile.
        for connection, looks in list(self.begun.items()):
            if looks >= STALL_LOOKS:
                connection.framingLost("it stopped short")
            else:
                self.begun[connection] = looks + 1
        self.wheel.not_before(self.wheel.now() + STALL_MS, self._look_for_stalls)

    def _sweep(self) -> None:
        before = self.wheel.now() - self._idle_ms
        for box, pool in list(self._pools.items()):
            pool.sweep(before)
            if pool.left and pool.unused:  # successors have new names: the pools of the gone would gather
                del self._pools[box]
        self.wheel.at(self.wheel.now() + SWEEP_MS, self._sweep)

    def of(self, box: str) -> Pool:
        if box not in self._pools:  # it left while its choice was on the way: a failure to connect
            self._pools[box] = Pool(self, box, origin=False)
            self._pools[box].left = True
        return self._pools[box]

    def names(self) -> set[str]:
        return set(self._pools)

    def name(self, box: str, host: str, port: int, origin: bool) -> None:
        """A box that the routing table names, with its address as it is now."""
        pool = self._pools.get(box)
        if pool is None:
            pool = self._pools[box] = Pool(self, box, origin)
        pool.left = False
        if pool.address != (host, port):
            pool.hang_up()
            pool.address = (host, port)

    def hang_up(self, box: str) -> None:
        """Closes idle connections; what is out at the box is let finish."""
        if (pool := self._pools.get(box)) is not None:
            pool.hang_up()

    def leave(self, box: str) -> None:
        """The box drains or is gone: a connection that falls idle from now on is of no more use."""
        if (pool := self._pools.get(box)) is not None:
            pool.left = True
            pool.hang_up()

    def may_open(self, pool: Pool) -> bool:
        """Within the budget; an idle connection of another box makes room."""
        held = sum(len(p.connections) + p.opening for p in self._pools.values())
        if held < self.budget:
            return True
        idle = [c for p in self._pools.values() for c in p.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since_ms).drop(Outcome.RESET)
        return bool(idle)
