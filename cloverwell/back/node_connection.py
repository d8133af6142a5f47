"""A connection to a cache node or the origin, whatever it speaks: its attempts in order, and one half
written."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.lines import PEEK, RingLineReceiver
from cloverwell.codec.steady_socket import TryAgainError
from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.log import Log
from cloverwell.request import LEAST_TOLD_MS, Attempt
from cloverwell.streamed_value import StreamedValue
from cloverwell.timer_wheel import Timer

FLOW_READ = 32 * 1024  # bytes read at once of a long value: so much waits here when its reader is slow
FRESH_MS = 10.0  # one that came up so lately has not stood idle
REST_MS = 15.0  # behind an answer, a second one or noise may come some milliseconds late


class SendResult(Enum):
    """What became of an attempt that a connection was given."""

    OUT = auto()  # its first byte has left
    BROKEN = auto()  # not a byte has: the connection is no good
    LATE = auto()  # not a byte has: it has no time left to tell its node


@dataclass(slots=True)
class HeldBack:
    """An attempt of which all but the last bytes is written: it has not run, and can't yet."""

    attempt: Attempt
    rest: bytes
    timer: Timer


class ConnectionPool(Protocol):
    """What a connection needs of the pool that it belongs to. Times are ms of the wheel's clock."""

    node: str
    address: tuple[str, int] | None
    log: Log
    tick_ms: float  # what `later` may round up by
    begun: dict[NodeConnection, int]

    @property
    def holds(self) -> bool:
        """Whether no request may have two attempts out together."""

    def now(self) -> float: ...

    def later(self, when_ms: float, call: Callable[[], None]) -> Timer: ...

    def hold_ms(self) -> float:
        """How long a last byte is held back."""

    def too_late(self, attempt: Attempt) -> bool:
        """Not a byte of it may leave any more."""

    def opened(self, connection: NodeConnection) -> None: ...

    def freed(self, connection: NodeConnection) -> None:
        """It has no attempt, or one less."""

    def lost(self, connection: NodeConnection) -> None: ...

    def move(self, attempt: Attempt) -> None:
        """Its connection was closed before its last byte: it goes to another."""

    def closed(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """We have closed the connection that it was out on."""

    def answered(self, age_ms: float | None, first_ms: float) -> None: ...

    def silent(self, age_ms: float | None, first_ms: float) -> None: ...

    def broken(
        self,
        served: bool,
        age_ms: float | None,
        after_ms: float | None,
        begun: bool,
        caught: bool,
        torn: bool,
    ) -> None:
        """The node ended it."""


class NodeConnection(RingLineReceiver):
    """A connection to a node: its attempts in order, each ended by the answer whose turn it is."""

    def __init__(self, pool: ConnectionPool, asked_ms: float) -> None:
        super().__init__()
        self._pool = pool
        self.attempts: deque[Attempt] = deque()
        self.asked_ms = asked_ms  # when it was asked for
        self.idle_since_ms = 0.0
        self.served = False  # an attempt has ended on it
        self.rests_until_ms = 0.0  # no attempt is written to it before
        self._age_ms: float | None = None  # how long it had stood idle before its oldest attempt
        self._first_ms = 0.0  # when that attempt's first byte was written
        self._held_back: HeldBack | None = None
        self.flow: StreamedValue | None = None  # a long value that is coming
        self.flow_ms = 0.0  # when a piece of it came last
        self._last = False  # nothing may follow on it
        self.moved = False  # its node is elsewhere: what is out here is let finish

    def command(self, attempt: Attempt) -> bytes:
        """The bytes of an attempt."""
        raise NotImplementedError

    def connectionMade(self) -> None:
        super().connectionMade()
        self._pool.opened(self)

    @property
    def free(self) -> bool:
        return not (self.ended or self.attempts or self._held_back or self.flow)

    @property
    def halfway(self) -> bool:
        """A command has begun to leave and is not whole."""
        return self._held_back is not None

    def age_ms(self, now: float) -> float | None:
        """How long it has stood idle; None on a fresh one."""
        age = now - self.idle_since_ms
        return age if self.served or age > FRESH_MS else None

    def quiet(self, now: float) -> bool:
        """What may come late behind its last answer has come by now, and is seen before the next attempt."""
        return not self.served or now - self.idle_since_ms >= REST_MS

    def send(self, attempt: Attempt, use: ConnectionUse = ConnectionUse.WHOLE) -> SendResult:
        now = self._pool.now()
        wait = self._pool.hold_ms() if use is ConnectionUse.SPLIT else 0.0
        # The wheel rounds the wait up, to its next tick.
        left = attempt.left_ms(now, wait + self._pool.tick_ms if wait else 0.0)
        if left < LEAST_TOLD_MS:
            return SendResult.LATE
        if not self.attempts and self._spoilt():
            return SendResult.BROKEN
        attempt.told_ms = left
        data = self.command(attempt)
        rest = data[-1:] if use is ConnectionUse.SPLIT else b""
        kept = self.put_command(data[:-1] if rest else data)
        if kept is None:
            return SendResult.BROKEN
        if not self.attempts:
            self._age_ms, self._first_ms = self.age_ms(now), now
        if rest := kept + rest:
            timer = self._pool.later(now + wait, self._write_rest)
            self._held_back = HeldBack(attempt, rest, timer)
        else:
            self._written(attempt, now)
        return SendResult.OUT

    def _written(self, attempt: Attempt, before_ms: float) -> None:
        """`before_ms`: the clock before the write; the process may have been held up since."""
        attempt.runs_from_ms = before_ms
        attempt.written_ms = self._pool.now()
        self.attempts.append(attempt)

    def _write_rest(self) -> None:
        """No reset has come: the node is there, and the attempt may run, if its time still allows it."""
        held = self._held_back
        if self._pool.too_late(held.attempt):
            self._held_back = None
            self.drop(AttemptOutcome.RESET)
            held.attempt.end(AttemptOutcome.NOT_CONNECTED)
            return
        # What was told counts from the last byte on: one that left too slowly is written anew elsewhere.
        now = self._pool.now()
        if self._spoilt() or held.attempt.over_told_ms(now) > 0.0:
            return self.drop(AttemptOutcome.RESET)
        kept = held.rest if self._writing else self.put_command(held.rest)
        if kept is None:
            return self.drop(AttemptOutcome.RESET)
        if kept:
            held.rest = kept
            held.timer = self._pool.later(self._pool.now() + self._pool.tick_ms, self._write_rest)
        else:
            self._held_back = None
            self._written(held.attempt, now)
        return None

    def _spoilt(self) -> bool:
        """The node has closed it, or sent what no attempt is owed: that would be read as this one's answer,
        or the attempt be reset, perhaps for good. So is one that can't be looked at."""
        try:
            self._socket.recv(1, PEEK)
        except TryAgainError:
            return True
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def finish_attempt(self, outcome: AttemptOutcome, body: bytes = b"", named: bool = True) -> None:
        """The oldest attempt has its answer; `named`: its id stood in it."""
        attempt = self._next_attempt()
        self._go_on(named)
        attempt.end(outcome, body)

    def _next_attempt(self) -> Attempt:
        attempt = self.attempts.popleft()
        self._pool.answered(self._age_ms, self._first_ms)
        self._age_ms, self.served = None, True
        return attempt

    def _go_on(self, named: bool = True) -> None:
        """An answer has ended. A late copy of one that bears no id would be taken for the next attempt's."""
        if self._last:
            self.drop(AttemptOutcome.RESET)
        elif not self.attempts and self.unparsed:
            # A second copy or noise behind a good answer would be read as the answer of the next attempt.
            self._pool.log.info("answer", f"more than the answer came from {self._pool.node}")
            self.drop(AttemptOutcome.RESET)
        else:
            if not self.attempts:
                self.idle_since_ms = self._pool.now()
                self.rests_until_ms = 0.0 if named else self.idle_since_ms + REST_MS
            self._pool.freed(self)

    # A long value ---------------------------------------------------------------------------------

    def begin(self, length: int) -> None:
        """The head of the oldest attempt's answer is sound, and a long value follows."""
        attempt = self._next_attempt()
        flow = self.flow = StreamedValue(
            length, self.hold, self.release, lambda: self.drop(AttemptOutcome.RESET)
        )
        self.flow_ms = self._pool.now()
        self.transport.bufferSize = FLOW_READ
        self.expect_pieces(length)
        self.hold()  # until its turn has come
        attempt.end(AttemptOutcome.SERVED, flow)
        if not flow.wanted:  # too late, or its client has gone
            flow.drop()

    def pieceReceived(self, data: bytes) -> None:
        self.flow_ms = self._pool.now()
        self.flow.piece(data)

    def end_flow(self, named: bool = True) -> None:
        """All of it has come, and its end is sound."""
        flow, self.flow = self.flow, None
        del self.transport.bufferSize  # the class has its own
        flow.whole()
        if not self.ended:
            self._go_on(named)

    def _break_flow(self) -> None:
        flow, self.flow = self.flow, None
        if flow is not None:
            flow.broken()

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        # The rest of a long value has its own time; all else that has begun may not stand still.
        if not self.ended and self.flow is None and (self._wanted or self._flowing or len(self._in)):
            self._pool.begun[self] = 0
        else:
            self._pool.begun.pop(self, None)

    def framingLost(self, reason: str) -> None:
        self._pool.log.warn("answer", f"malformed answer of {self._pool.node}: {reason}")
        self.drop(AttemptOutcome.RESET)

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> bool:
        """Ends that attempt and with it the connection; False if the attempt is not here."""
        if self._held_back is not None and self._held_back.attempt is attempt:
            self.drop(outcome, attempt)
            return True
        if attempt not in self.attempts:
            return False
        if self.flow is not None and not self._pool.holds:
            # It stands behind a long value, which goes on; where that ends, so does the connection. But it is
            # out until then: where a request may have but one attempt out, the value breaks off for it.
            self._last = True
            self.attempts.remove(attempt)
            attempt.end(outcome)
            return True
        if attempt is self.attempts[0] and self not in self._pool.begun:
            self._pool.silent(self._age_ms, self._first_ms)
        self.drop(outcome, attempt)
        return True

    def drop(self, outcome: AttemptOutcome, of: Attempt | None = None) -> None:
        """Ends the connection and each of its attempts: `of` by that outcome, the others by a reset."""
        unsent = self._take_unsent()
        attempts, self.attempts = self.attempts, deque()
        self.end(abort=True)
        self._pool.lost(self)
        self._break_flow()
        for attempt in attempts:
            self._pool.closed(attempt, outcome if attempt is of else AttemptOutcome.RESET)
        if unsent is not None and unsent is of:
            # Without its last byte it can't have run: to call it off, or time it out, leaves nothing.
            unsent.end(AttemptOutcome.NOT_CONNECTED if outcome is AttemptOutcome.TIMED_OUT else outcome)
        elif unsent is not None:
            self._pool.move(unsent)

    def _take_unsent(self) -> Attempt | None:
        """The attempt whose last byte has not left, if there is one: it is not out at the node."""
        held, self._held_back = self._held_back, None
        if held is None:
            return None
        held.timer.cancel()
        return held.attempt

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        by_node = not self.ended
        super().connectionLost(reason)
        unsent = self._take_unsent()
        attempts, self.attempts = self.attempts, deque()
        if by_node:
            # From the last bytes on: what an attempt was held back for says nothing of the way.
            since = attempts[0].written_ms if attempts else self._first_ms
            after = self._pool.now() - since if attempts or unsent is not None else None
            begun = self in self._pool.begun
            torn = not reason.check(ConnectionDone)
            self._pool.broken(self.served, self._age_ms, after, begun, unsent is not None, torn)
        self._pool.lost(self)
        self._break_flow()
        for attempt in attempts:
            attempt.end(AttemptOutcome.RESET)
        if unsent is not None:
            self._pool.move(unsent)
