"""The connections to each node, and the attempts that wait for one: carries out what
`connections.node_policy` decides.

An attempt takes an idle connection, the one used last; else one more is opened, and whichever comes free
first takes it. Only at the caps are attempts written behind others: one that is behind waits for those before
it, and giving one up closes the connection for all.
"""

from __future__ import annotations

from collections import deque

from cloverwell.back.node_connection import NodeConnection, SendResult
from cloverwell.back.opener import ConnectionOpener
from cloverwell.back.pool_context import PoolContext
from cloverwell.connections.budget import DescriptorSide
from cloverwell.connections.connect_retry import HOLD_MS, RETRY_MS, ConnectRetry
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt
from cloverwell.system_calls import LocalFault

FLOW_STILL_MS = 10_000.0  # a long value of which nothing is given, or taken, is no more waited for
MAX_WAITING = 256  # attempts that wait for a connection to one node
MAX_MOVES = 4  # connections that one attempt may find closed before its last byte


class Pool:
    """One node's connections."""

    def __init__(self, pools: PoolContext, node: str, origin: bool) -> None:
        self._pools = pools
        self._back = pools.back
        self._metrics = pools.metrics
        self.node = node
        self.origin = origin
        self.kind = "origin" if origin else "cache"
        self.address: tuple[str, int] | None = None
        self.log = pools.log
        self.now = pools.timer_wheel.now
        self.later = pools.timer_wheel.not_before
        self.tick_ms = pools.timer_wheel.granularity_ms
        self.connections: list[NodeConnection] = []
        self.idle: list[NodeConnection] = []  # used last at the end
        self.opening = 0
        self.left = False  # off the server list
        self.begun = pools.begun
        self._waiting: deque[Attempt] = deque()
        self._retry = ConnectRetry()

    def build(self, asked_ms: float) -> NodeConnection:
        return self._pools.build(self, asked_ms)

    @property
    def held(self) -> int:
        return len(self.connections) + self.opening

    # Attempts --------------------------------------------------------------------------------------

    def too_late(self, attempt: Attempt) -> bool:
        """Not a byte of it may leave any more: its own time is over, or its node may get nothing new.

        It may have waited, for a connection or for the close of the one before, and timers lag; its client
        may have left meanwhile."""
        self._pools.timer_wheel.check_after_stall()
        now = self.now()
        if attempt.over or self.address is None:
            return True
        return now > attempt.write_by_ms or self._back.late(self.node, now)

    def start(self, attempt: Attempt) -> None:
        if self.too_late(attempt):
            attempt.end(AttemptOutcome.NOT_CONNECTED)
            return
        now = self.now()
        self._back.started(self.node, len(self.connections) - len(self.idle) + 1, now)
        if self._back.plans(self.node):
            self._pools.wake(self)
        self._place(attempt)

    def move(self, attempt: Attempt) -> None:
        """Its connection was closed before its last byte: it goes to another."""
        attempt.moves += 1
        if attempt.over:
            return
        if attempt.moves > MAX_MOVES or self.too_late(attempt):
            attempt.end(AttemptOutcome.NOT_CONNECTED)
        else:
            self._place(attempt)

    def _place(self, attempt: Attempt) -> None:
        while (connection := self._pop_idle()) is not None:
            sent = self._hand_to(connection, attempt)
            if sent is SendResult.LATE:
                self.freed(connection)
                attempt.end(AttemptOutcome.NOT_CONNECTED)
            if sent is not SendResult.BROKEN:
                return
        expected = self.opening + self._resting > len(self._waiting)
        if expected or self._pools.may_open(self):
            self._wait(attempt)
            if not expected and self._retry.may_try(self.opening):
                self._open()
            return
        shared = [c for c in self.connections if self._may_share(c, attempt)]
        sent = min(shared, key=lambda c: len(c.attempts)).send(attempt) if shared else SendResult.BROKEN
        if sent is SendResult.LATE:
            attempt.end(AttemptOutcome.NOT_CONNECTED)
        elif sent is SendResult.BROKEN:
            self._wait(attempt)

    def _hand_to(self, connection: NodeConnection, attempt: Attempt) -> SendResult:
        age = connection.age_ms(self.now())
        use = self._back.use(self.node, age, attempt.dear)
        if use is ConnectionUse.RETIRE:
            self.retire(connection)
            return SendResult.BROKEN
        sent = connection.send(attempt, use)
        if sent is SendResult.BROKEN:
            connection.drop(AttemptOutcome.RESET)
        elif sent is SendResult.OUT and age is not None:
            self._metrics.add(ConnectionEvent.REUSED, self.node)
        return sent

    def _may_share(self, connection: NodeConnection, attempt: Attempt) -> bool:
        # Giving up one attempt resets all behind it, and an order that is reset may never be sent again. The
        # origin's answers bear no id: one too many would be the next attempt's.
        attempts = [attempt, *connection.attempts]
        return (
            not (connection.ended or connection.moved or self.origin)
            and bool(connection.attempts)
            and len(attempts) <= self._pools.attempts_each
            and connection.flow is None
            and not connection.halfway
            and not any(attempt.request.write for attempt in attempts)
        )

    def _wait(self, attempt: Attempt) -> None:
        if len(self._waiting) >= MAX_WAITING:
            attempt.end(self._unsent_outcome)
            return
        self._waiting.append(attempt)
        self._pools.wake(self)
        # Too long without a connection is a failure to connect: nothing was written, it never ran.
        self._pools.timer_wheel.at(attempt.write_by_ms, lambda: self._unheard(attempt))

    def _unheard(self, attempt: Attempt) -> None:
        if attempt.written_ms is None and not attempt.over and attempt in self._waiting:
            self.give_up(attempt, self._unsent_outcome)

    @property
    def _unsent_outcome(self) -> AttemptOutcome:
        """Of an attempt that found no connection."""
        return AttemptOutcome.NOT_CONNECTED if self._retry.fault is None else AttemptOutcome.NOT_SENT

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt.over:
            return
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            # Not a byte of it was written: to call it off, or time it out, leaves nothing that may have run.
            attempt.end(self._unsent_outcome if outcome is AttemptOutcome.TIMED_OUT else outcome)
            return
        if not any(connection.give_up(attempt, outcome) for connection in list(self.connections)):
            attempt.end(outcome)

    def unsent(self, attempt: Attempt) -> bool:
        """Its last byte has certainly not left: nothing of it may have run."""
        return attempt.written_ms is None

    @property
    def holds(self) -> bool:
        """Whether no request may have two attempts out together."""
        return self._pools.hold

    def closed(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """We have closed the connection of an attempt that was out: it ends now, and its answer need not
        wait.

        Where no request may have two attempts out together, it is out at the node until the close arrives
        there: a further attempt, to a node nearer by, is written no sooner.
        """
        if self.holds and attempt.written_ms is not None:
            request = attempt.request
            request.clear_ms = max(request.clear_ms, self.now() + self._back.reach_ms(self.node))
        attempt.end(outcome)

    def answered(self, age_ms: float | None, first_ms: float) -> None:
        now = self.now()
        self._back.answered(self.node, age_ms, now - first_ms, now)

    def silent(self, age_ms: float | None, first_ms: float) -> None:
        now = self.now()
        self._back.silent(self.node, age_ms, now - first_ms, now)

    def hold_ms(self) -> float:
        return self._back.hold_ms(self.node)

    # Connections -------------------------------------------------------------------------------

    def _open(self) -> None:
        self.opening += 1
        self._pools.budget.take(DescriptorSide.NODES)
        host, port = self.address
        timeout = self._pools.connect_timeout_ms / 1000.0
        self._pools.reactor.connectTCP(host, port, ConnectionOpener(self), timeout=timeout)

    def failed(self, asked_ms: float, refused: bool) -> None:
        """A connection could not be made: the attempt that has waited longest ends, others have their own.

        `refused`: the node said so; else it never came up."""
        self._gave_up()
        held_back = self._retry.answered()
        self._metrics.add(ConnectionEvent.CONNECT_REFUSED, self.node)
        if refused:
            self._back.connect_refused(self.node, len(self.connections), self.now())
        else:
            self._back.timed_out(self.node, len(self.connections), asked_ms, self.now())
        if len(self._waiting) > self.opening + self._resting:
            self._waiting.popleft().end(AttemptOutcome.NOT_CONNECTED)
        if held_back:
            self._open_for_waiting()

    def mistaken(self) -> None:
        """One that came up leads to where the node was: who waits gets another."""
        self._gave_up()
        self._open_for_waiting()

    def not_begun(self, fault: LocalFault) -> None:
        """This machine could not begin a connection: it is tried again soon, for those that wait."""
        self._gave_up()
        self._metrics.add(ConnectionEvent.NOT_OPENED, self.node)
        now = self.now()
        if self._retry.not_begun(fault):
            self.later(now + RETRY_MS, self._try_again)
        # Not for long: another node may have an idle connection, and this one must not seem to be silent.
        for attempt in [one for one in self._waiting if now - one.asked_ms >= HOLD_MS]:
            self.give_up(attempt, AttemptOutcome.NOT_SENT)

    def _try_again(self) -> None:
        self._retry.pause_over()
        self._open_for_waiting()

    def _gave_up(self) -> None:
        """One that was opening is not any more."""
        self.opening -= 1
        self._pools.wake(self)
        self._pools.budget.give_back(DescriptorSide.NODES)

    def opened(self, connection: NodeConnection) -> None:
        self.opening -= 1
        self._pools.wake(self)
        self.connections.append(connection)
        now = connection.idle_since_ms = self.now()
        self._metrics.add(ConnectionEvent.OPENED, self.node)
        self._back.connected(self.node, now - connection.asked_ms, now)
        held_back = self._retry.answered()
        self.freed(connection)
        if held_back:
            self._open_for_waiting()

    def freed(self, connection: NodeConnection) -> None:
        """A connection has no attempt, or one less: the attempt that has waited longest takes it."""
        rests_ms = connection.rests_until_ms - self.now()
        while connection.free and self._waiting and not connection.moved and rests_ms <= 0.0:
            attempt = self._waiting.popleft()
            sent = SendResult.LATE if self.too_late(attempt) else self._hand_to(connection, attempt)
            if sent is SendResult.LATE:
                attempt.end(AttemptOutcome.NOT_CONNECTED)
            elif sent is SendResult.BROKEN:
                return self.start(attempt)
        if not connection.free:
            return None
        if self.left or connection.moved:
            connection.drop(AttemptOutcome.RESET)
            self._open_for_waiting()
        else:
            self.idle.append(connection)
            self._pools.idle[connection] = self
            if rests_ms > 0.0:
                self.later(connection.rests_until_ms, lambda: self._rested(connection))
        return None

    def _rested(self, connection: NodeConnection) -> None:
        if connection in self.idle and self._waiting:
            self._take_up(connection)
            self.freed(connection)

    @property
    def _resting(self) -> int:
        """Connections that the attempts waiting may soon have."""
        now = self.now()
        return sum(connection.rests_until_ms > now for connection in self.idle)

    def _pop_idle(self) -> NodeConnection | None:
        """The one used last: of those behind whose last answer nothing comes any more, if there are any."""
        now = self.now()
        if self.origin and self.idle and self._mute(now):
            self.hang_up()  # those that stood beside the dead ones are dead as well, or may be
        ready = [connection for connection in self.idle if connection.rests_until_ms <= now]
        found = next((one for one in reversed(ready) if one.quiet(now)), ready[-1] if ready else None)
        if found is not None:
            self._take_up(found)
        return found

    def _mute(self, now: float) -> bool:
        written = [c.attempts[0].written_ms for c in self.connections if c.attempts]
        return bool(written) and self._back.mute(self.node, min(written), now)

    def _take_up(self, connection: NodeConnection) -> None:
        self.idle.remove(connection)
        del self._pools.idle[connection]

    def retire(self, connection: NodeConnection) -> None:
        self._metrics.add(ConnectionEvent.RETIRED, self.node)
        connection.drop(AttemptOutcome.RESET)

    def broken(
        self,
        served: bool,
        age_ms: float | None,
        after_ms: float | None,
        begun: bool,
        caught: bool,
        torn: bool,
    ) -> None:
        """The node ended a connection: an idle one, or so long after an attempt.

        `torn`: by a reset; `served`: an attempt had ended on it."""
        if after_ms is None:
            self._metrics.add(ConnectionEvent.CLOSED, self.node)
            return
        if caught:
            event = ConnectionEvent.CAUGHT
        elif age_ms is not None and not begun:
            event = ConnectionEvent.STALE
        else:
            event = ConnectionEvent.RESET
        self._metrics.add(event, self.node)
        if torn and not served:  # let in only to be thrown out
            self._back.connect_refused(self.node, len(self.connections) - 1, self.now())
        self._back.lost(self.node, age_ms, after_ms, begun, torn, self.now())

    def lost(self, connection: NodeConnection) -> None:
        self.begun.pop(connection, None)
        if connection in self.connections:
            self.connections.remove(connection)
            self._pools.wake(self)
            self._pools.budget.give_back(DescriptorSide.NODES)
        if self._pools.idle.pop(connection, None) is not None:
            self.idle.remove(connection)

    @property
    def unused(self) -> bool:
        return not (self.connections or self.opening or self._waiting)

    def hang_up(self) -> None:
        for connection in list(self.idle):
            self.retire(connection)

    def sweep(self, now: float) -> None:
        """Retires what is too old, and opens what will be needed or is waited for."""
        for connection in [c for c in self.connections if c.flow and now - c.flow_ms >= FLOW_STILL_MS]:
            connection.framingLost("a long value stands still")
        limit = self._back.idle_limit_ms(self.node)
        while self.idle and now - self.idle[0].idle_since_ms >= limit:
            self.retire(self.idle[0])
        self._open_for_waiting()

    def _open_for_waiting(self) -> None:
        while len(self._waiting) > self.opening + self._resting and self._retry.may_try(self.opening):
            if not self._pools.may_open(self):
                return
            self._open()

    def open_ahead(self, now: float) -> bool:
        """Whether any were wanted: then more may be, or there was no room for them."""
        wanted = self._back.ahead(self.node, self.held, now) if self._retry.fault is None else 0
        for _ in range(wanted):
            if not self._pools.spare_room():
                break
            self._metrics.add(ConnectionEvent.AHEAD, self.node)
            self._open()
        return wanted > 0

    def due_ms(self, now: float) -> float:
        """Just swept: until then the sweep has nothing to do here, unless something befalls the pool.

        A connection that falls idle, or begins a long value, after now has its time only later."""
        if self._waiting or self.left:
            return now
        if not self.connections:
            return self._back.ahead_again_ms(self.node)
        flows = [connection.flow_ms for connection in self.connections if connection.flow]
        still_ms = min(flows, default=now) + FLOW_STILL_MS
        idle_ms = self.idle[0].idle_since_ms if self.idle else now
        old_ms = idle_ms + self._back.idle_limit_ms(self.node)
        return min(still_ms, old_ms, self._back.ahead_again_ms(self.node))
