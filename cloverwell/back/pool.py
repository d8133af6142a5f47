"""The connections to one node, and the attempts on them or waiting for one.

The pool carries out what `connections.node_policy` decides. An attempt takes an idle connection, the one used
last; else one more is opened, and the attempt takes whichever becomes free first. Only when no more may be
opened are attempts written behind others: such an attempt waits for those before it, and giving one up closes
the connection for all.
"""

from __future__ import annotations

from cloverwell.back.idle_connections import IdleConnections
from cloverwell.back.node_connection import NodeConnection, SendResult
from cloverwell.back.opener import OpeningConnections
from cloverwell.back.pool_context import PoolContext
from cloverwell.back.waiting_attempts import WaitingAttempts
from cloverwell.connections.budget import DescriptorSide
from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.connections.connect_retry import MAX_CONNECT_WAIT_MS
from cloverwell.connections.connection_loss import ConnectionLoss
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt

STREAM_STALL_MS = 10_000.0  # a long value of which nothing is read, or taken, for so long is given up
MAX_REASSIGNMENTS = 4  # connections that one attempt may find closed before its last byte


class Pool:
    """One node's connections."""

    def __init__(self, context: PoolContext[Pool], node: str, origin: bool) -> None:
        """Starts without a connection; the address is set by the owner of all pools."""
        self._context = context
        self._policy = context.node_policy
        self._metrics = context.metrics
        self.node = node
        self.is_origin = origin
        self.kind = "origin" if origin else "cache"
        self.address: tuple[str, int] | None = None
        self.log = context.log
        self.now = context.timer_wheel.now
        self.later = context.timer_wheel.call_not_before
        self.tick_ms = context.timer_wheel.granularity_ms
        self.connections: list[NodeConnection] = []
        self.left = False  # the endpoint list has the node no more
        self.partial_answers = context.partial_answers
        self._idle = IdleConnections(self, context.idle)
        self._waiting = WaitingAttempts(context.timer_wheel, self._give_up_unsent)
        self._opening = OpeningConnections(self, context)

    # Attempts --------------------------------------------------------------------------------------

    def too_late(self, attempt: Attempt) -> bool:
        """Tells whether no byte of the attempt may be written any more.

        It may have waited for a connection, or for the close of the attempt before, and timers can be late;
        its client may have disconnected meanwhile, or its node have left.
        """
        self._context.timer_wheel.check_after_stall()
        now = self.now()
        if attempt.is_over or self.address is None:
            return True
        return now > attempt.write_by_ms or self._policy.is_past_grace(self.node, now)

    def start(self, attempt: Attempt) -> None:
        """Writes a new attempt to a connection, or has it wait for one."""
        if self.too_late(attempt):
            attempt.end(AttemptOutcome.NOT_CONNECTED)
            return
        now = self.now()
        in_use = len(self.connections) - len(self._idle.connections) + 1
        self._policy.record_attempt(self.node, in_use, now)
        if self._policy.may_open_ahead(self.node):
            self._context.wake(self)
        self._write_or_wait(attempt)

    def reassign(self, attempt: Attempt) -> None:
        """Gives an attempt whose connection ended before its last byte to another connection."""
        attempt.reassignments += 1
        if attempt.is_over:
            return
        if attempt.reassignments > MAX_REASSIGNMENTS or self.too_late(attempt):
            attempt.end(AttemptOutcome.NOT_CONNECTED)
        else:
            self._write_or_wait(attempt)

    def _write_or_wait(self, attempt: Attempt) -> None:
        while (connection := self._take_idle()) is not None:
            sent = self._write(connection, attempt)
            if sent is SendResult.LATE:
                self.became_free(connection)
                attempt.end(AttemptOutcome.NOT_CONNECTED)
            if sent is not SendResult.BROKEN:
                return
        one_is_free_soon = self._soon_free() > len(self._waiting.attempts)
        if one_is_free_soon or self._context.may_open(self):
            self._wait(attempt)
            if not one_is_free_soon and self._opening.may_try():
                self._opening.open()
            return
        self._write_behind_others(attempt)

    def _write(self, connection: NodeConnection, attempt: Attempt) -> SendResult:
        """Writes an attempt to a free connection, as the policy decides."""
        age_ms = connection.age_ms(self.now())
        use = self._policy.choose_use(self.node, age_ms, attempt.forbids_retry)
        if use is ConnectionUse.RETIRE:
            self.retire(connection)
            return SendResult.BROKEN
        sent = connection.send(attempt, use)
        if sent is SendResult.BROKEN:
            connection.drop(NodeCloseReason.UNUSABLE)
        elif sent is SendResult.OUT and age_ms is not None:
            self._metrics.add(ConnectionEvent.REUSED, self.node)
        return sent

    def _write_behind_others(self, attempt: Attempt) -> None:
        """Writes an attempt to the connection with the fewest, or has it wait if it may share none."""
        shared = [connection for connection in self.connections if self._may_share(connection, attempt)]
        sent = SendResult.BROKEN
        if shared:
            sent = min(shared, key=lambda connection: len(connection.attempts)).send(attempt)
        if sent is SendResult.LATE:
            attempt.end(AttemptOutcome.NOT_CONNECTED)
        elif sent is SendResult.BROKEN:
            self._wait(attempt)

    def _may_share(self, connection: NodeConnection, attempt: Attempt) -> bool:
        # Giving up one attempt resets all behind it, and a write that is reset may never be retried. The
        # origin's answers bear no id: a duplicate would be taken for the next attempt's.
        attempts = [attempt, *connection.attempts]
        return (
            not (connection.ended or connection.address_changed or self.is_origin)
            and bool(connection.attempts)
            and len(attempts) <= self._context.max_attempts_per_connection
            and connection.stream is None
            and not connection.has_partial_write
            and not any(attempt.request.is_write for attempt in attempts)
        )

    def _wait(self, attempt: Attempt) -> None:
        if self._waiting.add(attempt):
            self._context.wake(self)
        else:
            attempt.end(self._unsent_outcome)

    def _give_up_unsent(self, attempt: Attempt) -> None:
        """Too long without a connection is a failure to connect: nothing was written, so it has not run."""
        self.give_up(attempt, self._unsent_outcome)

    @property
    def _unsent_outcome(self) -> AttemptOutcome:
        """Of an attempt that found no connection."""
        return AttemptOutcome.NOT_CONNECTED if self._opening.fault is None else AttemptOutcome.NOT_SENT

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt with that outcome, whether it waits or is on a connection."""
        if attempt.is_over:
            return
        if self._waiting.remove(attempt):
            # No byte of it was written: to cancel it, or time it out, leaves nothing that may have run.
            attempt.end(self._unsent_outcome if outcome is AttemptOutcome.TIMED_OUT else outcome)
            return
        if not any(connection.give_up(attempt, outcome) for connection in list(self.connections)):
            attempt.end(outcome)

    def is_unsent(self, attempt: Attempt) -> bool:
        """Tells whether the attempt's last byte has certainly not been written, so that it has not run."""
        return attempt.written_ms is None

    @property
    def forbids_concurrent_attempts(self) -> bool:
        """Whether a request must not have two attempts in flight at once."""
        return self._context.single_attempt_in_flight

    def close_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt in flight whose connection the proxy has closed: its answer is not waited for.

        Where a request must not have two attempts in flight at once, this one is in flight until the close
        has reached its node: a further attempt, perhaps to a node nearer by, is not written before.
        """
        if self.forbids_concurrent_attempts and attempt.written_ms is not None:
            request = attempt.request
            closed_ms = self.now() + self._policy.close_delay_bound_ms(self.node)
            request.earliest_next_attempt_ms = max(request.earliest_next_attempt_ms, closed_ms)
        attempt.end(outcome)

    def answered(self, age_ms: float | None, first_byte_ms: float) -> None:
        """Passes an answer on to the policy."""
        now = self.now()
        self._policy.record_answer(self.node, age_ms, now - first_byte_ms, now)

    def silent(self, age_ms: float | None, first_byte_ms: float) -> None:
        """Passes an attempt that was given up without a byte of an answer on to the policy."""
        now = self.now()
        self._policy.record_silence(self.node, age_ms, now - first_byte_ms, now)

    def hold_ms(self) -> float:
        """Returns how long a last byte is held back."""
        return self._policy.hold_back_ms(self.node)

    # Opening ---------------------------------------------------------------------------------------

    @property
    def opening_count(self) -> int:
        """How many connections are on their way."""
        return self._opening.count

    def opened(self, connection: NodeConnection) -> None:
        """Takes a connection that has come up."""
        others_waited = self._opening.came_up()
        self.connections.append(connection)
        now = connection.idle_since_ms = self.now()
        self._metrics.add(ConnectionEvent.OPENED, self.node)
        self._policy.record_connected(self.node, now - connection.asked_ms, now)
        self.became_free(connection)
        if others_waited:
            self.open_for_waiting()

    def open_failed(self) -> None:
        """Ends the attempt that has waited longest, since a connection failed; others have their own."""
        if len(self._waiting.attempts) > self._soon_free():
            self._waiting.take_first().end(AttemptOutcome.NOT_CONNECTED)

    def open_not_started(self, now: float) -> None:
        """Gives up the attempts that have waited for long, since this machine can't begin a connection.

        Another node may have an idle connection, and this one must not seem to be silent.
        """
        for attempt in self._waiting.older_than(MAX_CONNECT_WAIT_MS, now):
            self.give_up(attempt, AttemptOutcome.NOT_SENT)

    def open_for_waiting(self) -> None:
        """Opens the connections that attempts wait for, as far as they may be opened."""
        while len(self._waiting.attempts) > self._soon_free() and self._opening.may_try():
            if not self._context.may_open(self):
                return
            self._opening.open()

    def _soon_free(self) -> int:
        """Returns how many connections the waiting attempts will soon have."""
        return self._opening.count + self._idle.count_unusable(self.now())

    def open_ahead(self, now: float) -> bool:
        """Opens connections before attempts need them.

        Returns whether any were wanted: then more may be, or there was no room for them.
        """
        if self._opening.fault is not None:
            return False
        wanted = self._policy.open_ahead_count(self.node, self.held, now)
        for _ in range(wanted):
            if not self._context.may_open_spare():
                break
            self._metrics.add(ConnectionEvent.OPENED_AHEAD, self.node)
            self._opening.open()
        return wanted > 0

    # Connections -----------------------------------------------------------------------------------

    @property
    def held(self) -> int:
        """How many connections there are, with those on their way."""
        return len(self.connections) + self._opening.count

    @property
    def unused(self) -> bool:
        """Whether nothing is left here."""
        return not (self.connections or self._opening.count or self._waiting.attempts)

    def became_free(self, connection: NodeConnection) -> None:
        """Gives the attempt that has waited longest to a connection that carries one less, or none."""
        unusable_ms = connection.usable_from_ms - self.now()
        while (
            connection.free
            and self._waiting.attempts
            and not connection.address_changed
            and unusable_ms <= 0.0
        ):
            attempt = self._waiting.take_first()
            sent = SendResult.LATE if self.too_late(attempt) else self._write(connection, attempt)
            if sent is SendResult.LATE:
                attempt.end(AttemptOutcome.NOT_CONNECTED)
            elif sent is SendResult.BROKEN:
                self.start(attempt)
                return
        if not connection.free:
            return
        if self.left or connection.address_changed:
            connection.drop(NodeCloseReason.NODE_LEFT)
            self.open_for_waiting()
            return
        self._idle.add(connection)
        if unusable_ms > 0.0:
            self.later(connection.usable_from_ms, lambda: self._became_usable(connection))

    def _became_usable(self, connection: NodeConnection) -> None:
        if connection in self._idle.connections and self._waiting.attempts:
            self._idle.remove(connection)
            self.became_free(connection)

    def _take_idle(self) -> NodeConnection | None:
        """Removes and returns the idle connection that was used last."""
        now = self.now()
        if self.is_origin and self._idle.connections and self._is_unresponsive(now):
            self.close_idle()  # those beside the dead connections are dead as well, or may be
        return self._idle.take_last_used(now)

    def _is_unresponsive(self, now: float) -> bool:
        oldest = [connection.attempts[0] for connection in self.connections if connection.attempts]
        written_ms = [attempt.written_ms for attempt in oldest if attempt.written_ms is not None]
        return bool(written_ms) and self._policy.is_unresponsive(self.node, min(written_ms), now)

    def retire(self, connection: NodeConnection) -> None:
        """Closes an idle connection."""
        self._metrics.add(ConnectionEvent.RETIRED, self.node)
        connection.drop(NodeCloseReason.RETIRED)

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self._idle.connections):
            self.retire(connection)

    def closed_idle_by_node(self) -> None:
        """Counts a connection that the node closed without an attempt on it."""
        self._metrics.add(ConnectionEvent.CLOSED_BY_NODE, self.node)

    def closed_by_node(self, loss: ConnectionLoss) -> None:
        """Counts a connection that the node closed with an attempt on it, and learns from that."""
        if loss.last_byte_unsent:
            event = ConnectionEvent.STALE_DETECTED
        elif loss.idle_age_ms is not None and not loss.answer_begun:
            event = ConnectionEvent.STALE
        else:
            event = ConnectionEvent.RESET
        self._metrics.add(event, self.node)
        if loss.refused_on_arrival:
            self._policy.record_connect_refused(self.node, len(self.connections) - 1, self.now())
        self._policy.record_loss(self.node, loss, self.now())

    def lost(self, connection: NodeConnection, reason: NodeCloseReason, requests: list[str]) -> None:
        """Forgets a connection that has ended; `requests` are the ids of those with an attempt on it."""
        self.partial_answers.pop(connection, None)
        if connection in self.connections:
            self._note_close(reason, requests)
            self.connections.remove(connection)
            self._context.wake(self)
            self._context.budget.release(DescriptorSide.NODES)
        self._idle.discard(connection)

    def _note_close(self, reason: NodeCloseReason, requests: list[str]) -> None:
        self._metrics.add(ConnectionEvent.NODE_CONNECTION_CLOSED, reason.value)
        asked = f", requests {' '.join(requests)}" if requests else ""
        self.log.info("node_close", f"{self.node}: {reason.value}{asked}")

    # The periodic sweep ----------------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Retires connections that are too old, and opens those that are waited for."""
        stalled = [
            connection
            for connection in self.connections
            if connection.stream is not None and now - connection.stream_data_ms >= STREAM_STALL_MS
        ]
        for connection in stalled:
            connection.framingLost("a long value stands still")
        limit_ms = self._policy.idle_limit_ms(self.node)
        idle = self._idle.connections
        while idle and now - idle[0].idle_since_ms >= limit_ms:
            self.retire(idle[0])
        self.open_for_waiting()

    def due_ms(self, now: float) -> float:
        """Returns until when a pool that was just swept needs no other sweep, unless its state changes.

        A connection that becomes idle, or begins a long value, after now is due only later.
        """
        if self._waiting.attempts or self.left:
            return now
        again_ms = self._policy.next_open_ahead_ms(self.node)
        if not self.connections:
            return again_ms
        data_ms = min((one.stream_data_ms for one in self.connections if one.stream), default=now)
        idle = self._idle.connections
        idle_since_ms = idle[0].idle_since_ms if idle else now
        return min(data_ms + STREAM_STALL_MS, idle_since_ms + self._policy.idle_limit_ms(self.node), again_ms)
