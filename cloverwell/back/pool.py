"""The pool of connections to one node, with the attempts that are on them or wait for one.

The pool carries out what `connections.node_policy` decides. An attempt is written to the idle connection
that was used last. If none is idle, one more is opened, and the attempt takes whichever becomes free first.
Only if no more may be opened is it written to a connection that already carries attempts: it then waits for
their answers, and giving up one of them closes the connection for all.
"""

from __future__ import annotations

from cloverwell.back.idle_connections import IdleConnections
from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.opener import OpeningConnections
from cloverwell.back.pool_context import PoolContext
from cloverwell.back.send_result import SendResult, outcome_without_write
from cloverwell.back.waiting_attempts import WaitingAttempts
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.connections.budget import DescriptorSide
from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.connections.connect_retry import MAX_CONNECT_WAIT_MS
from cloverwell.connections.connection_loss import ConnectionLoss
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt

STREAM_STALL_MS = 10_000.0  # the time without data after which a long value is given up
MAX_REASSIGNMENTS = 4  # the most connections on which an attempt may fail before its last byte is written


class Pool:
    """The connections to one node, and the attempts that are on them or wait for one."""

    def __init__(self, context: PoolContext[Pool], node: str, is_origin: bool) -> None:
        """Starts without a connection and an address; `NodePools` sets the address."""
        self._context = context
        self._policy = context.node_policy
        self.metrics = context.metrics
        self.node = node
        self.is_origin = is_origin
        self.kind = "origin" if is_origin else "cache"
        self.address: tuple[str, int] | None = None
        self.log = context.log
        self.now = context.timer_wheel.now
        self.memory = context.memory
        self.call_at = context.timer_wheel.call_not_before  # may call up to a tick later
        self.call_in_next_turn = context.timer_wheel.call_in_next_turn
        self.tick_ms = context.timer_wheel.granularity_ms
        self.connections: list[NodeConnection] = []
        self.has_left = False  # whether the node drains, or is no longer in the endpoint list
        self.partial_answers = context.partial_answers
        self._idle = IdleConnections(self, context.idle)
        self._waiting = WaitingAttempts(context.timer_wheel, self._give_up_unsent)
        self._opening = OpeningConnections(self, context)

    # Attempts --------------------------------------------------------------------------------------

    def is_too_late(self, attempt: Attempt) -> bool:
        """Returns whether it is too late to write a byte of the attempt.

        The attempt may have waited for a connection, or for the close of an earlier attempt, and timers can
        be late. Meanwhile its client may have disconnected, or its node may have left.
        """
        self._context.timer_wheel.check_after_stall()
        now = self.now()
        if attempt.is_over or attempt.request.is_over or self.address is None:
            return True
        return now > attempt.write_by_ms or self._policy.is_past_grace(self.node, now)

    def start(self, attempt: Attempt) -> None:
        """Writes a new attempt to a connection, or has it wait for one."""
        if self.is_too_late(attempt):
            attempt.end(AttemptOutcome.NOT_CONNECTED)
            return
        now = self.now()
        in_use_count = len(self.connections) - len(self._idle.connections) + 1
        self._policy.record_attempt(self.node, in_use_count, now)
        if self._policy.may_open_ahead(self.node):
            self._context.wake(self)
        self._write_or_wait(attempt)

    def reassign(self, attempt: Attempt) -> None:
        """Writes an attempt to another connection, since its own ended before the last byte was written."""
        attempt.reassignments += 1
        if attempt.is_over:
            return
        if attempt.reassignments > MAX_REASSIGNMENTS or self.is_too_late(attempt):
            attempt.end(AttemptOutcome.NOT_CONNECTED)
        else:
            self._write_or_wait(attempt)

    def _write_or_wait(self, attempt: Attempt) -> None:
        while (connection := self._take_idle()) is not None:
            result = self._write(connection, attempt)
            if result is SendResult.TOO_LATE or result is SendResult.NO_ROOM:
                self.connection_freed(connection)
                attempt.end(outcome_without_write(result))
            if result is not SendResult.BROKEN:
                return
        one_is_free_soon = self._count_soon_free() > len(self._waiting.attempts)
        if one_is_free_soon or self._context.may_open(self):
            self._wait(attempt)
            if not one_is_free_soon and self._opening.may_try():
                self._opening.open()
            return
        self._write_behind_others(attempt)

    def _write(self, connection: NodeConnection, attempt: Attempt) -> SendResult:
        """Writes an attempt to an idle connection, or closes the connection, as the policy decides."""
        idle_age_ms = connection.idle_age_ms(self.now())
        use = self._policy.choose_use(self.node, idle_age_ms, attempt.forbids_retry)
        if use is ConnectionUse.RETIRE:
            self.retire(connection)
            return SendResult.BROKEN
        result = connection.send(attempt, use)
        if result is SendResult.BROKEN:
            connection.drop(NodeCloseReason.UNUSABLE)
        elif result is SendResult.WRITTEN and idle_age_ms is not None:
            self.metrics.add(ConnectionEvent.REUSED, self.node)
        return result

    def _write_behind_others(self, attempt: Attempt) -> None:
        """Writes an attempt to the connection with the fewest attempts, or queues it if it may share none."""
        shared = [connection for connection in self.connections if self._may_share(connection, attempt)]
        result = SendResult.BROKEN
        if shared:
            result = min(shared, key=lambda connection: len(connection.attempts)).send(attempt)
        if result is SendResult.TOO_LATE:
            attempt.end(AttemptOutcome.NOT_CONNECTED)
        elif result is not SendResult.WRITTEN:
            self._wait(attempt)

    def _may_share(self, connection: NodeConnection, attempt: Attempt) -> bool:
        """Returns whether the attempt may be written to a connection that already carries attempts.

        Giving up one attempt resets all of them, so a write never shares a connection: if it is reset, it may
        not be retried. Nor does an attempt at the origin, whose answers contain no id: a duplicate answer
        would be read as that of the next attempt.
        """
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
        """Ends an attempt that has waited for a connection for too long; it has not run."""
        self.give_up(attempt, self._unsent_outcome)

    @property
    def _unsent_outcome(self) -> AttemptOutcome:
        """The outcome of an attempt without a connection; a local fault does not count against the node."""
        return AttemptOutcome.NOT_CONNECTED if self._opening.fault is None else AttemptOutcome.NOT_SENT

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt with `outcome`, whether it waits or is on a connection."""
        if attempt.is_over:
            return
        if self._waiting.remove(attempt):
            # No byte of it was written, so it has not run: a timeout counts as a failure to connect.
            attempt.end(self._unsent_outcome if outcome is AttemptOutcome.TIMED_OUT else outcome)
            return
        if not any(connection.give_up(attempt, outcome) for connection in list(self.connections)):
            attempt.end(outcome)

    def is_unsent(self, attempt: Attempt) -> bool:
        """Returns whether the last byte of the attempt was not written, so that it can't have run."""
        return attempt.written_ms is None

    @property
    def forbids_concurrent_attempts(self) -> bool:
        """True if a request must not have two attempts in flight at once."""
        return self._context.single_attempt_in_flight

    def close_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt in flight whose connection the proxy itself has closed.

        Where a request must not have two attempts in flight at once, this one counts as in flight until the
        close has reached its node. No further attempt is written before, as it might reach its node sooner.
        """
        if self.forbids_concurrent_attempts and attempt.written_ms is not None:
            request = attempt.request
            closed_ms = self.now() + self._policy.close_delay_bound_ms(self.node)
            request.earliest_next_attempt_ms = max(request.earliest_next_attempt_ms, closed_ms)
        attempt.end(outcome)

    def record_answer(self, idle_age_ms: float | None, first_byte_ms: float) -> None:
        """Reports an answer to the policy."""
        now = self.now()
        self._policy.record_answer(self.node, idle_age_ms, now - first_byte_ms, now)

    def record_silence(self, idle_age_ms: float | None, first_byte_ms: float) -> None:
        """Reports to the policy that an attempt was given up before any byte of its answer arrived."""
        now = self.now()
        self._policy.record_silence(self.node, idle_age_ms, now - first_byte_ms, now)

    def hold_ms(self) -> float:
        """Returns the time in ms for which the last byte of an attempt is held back."""
        return self._policy.hold_back_ms(self.node)

    # Opening ---------------------------------------------------------------------------------------

    @property
    def opening_count(self) -> int:
        """The number of connections that are being opened."""
        return self._opening.count

    def add(self, connection: NodeConnection) -> None:
        """Adds a connection that has been opened."""
        others_postponed = self._opening.record_connected()
        self.connections.append(connection)
        now = connection.idle_since_ms = self.now()
        self.metrics.add(ConnectionEvent.OPENED, self.node)
        self._policy.record_connected(self.node, now - connection.open_started_ms, now)
        self.connection_freed(connection)
        if others_postponed:
            self.open_for_waiting()

    def open_failed(self) -> None:
        """Ends the attempt that has waited longest, unless other connections are enough for all that wait."""
        if len(self._waiting.attempts) > self._count_soon_free():
            self._waiting.take_first().end(AttemptOutcome.NOT_CONNECTED)

    def open_not_started(self, now: float) -> None:
        """Gives up attempts that have waited too long, since this machine can't open a connection.

        Another node may have an idle connection for their requests. They end before they time out, since this
        node would otherwise count as one that does not answer.
        """
        for attempt in self._waiting.older_than(MAX_CONNECT_WAIT_MS, now):
            self.give_up(attempt, AttemptOutcome.NOT_SENT)

    def open_for_waiting(self) -> None:
        """Opens connections for the attempts that wait, as far as the limits allow."""
        while len(self._waiting.attempts) > self._count_soon_free() and self._opening.may_try():
            if not self._context.may_open(self):
                return
            self._opening.open()

    def _count_soon_free(self) -> int:
        """Returns the number of connections that are being opened or become usable in a few ms."""
        return self._opening.count + self._idle.count_not_yet_usable(self.now())

    def open_ahead(self, now: float) -> bool:
        """Opens connections before attempts need them.

        Returns whether the policy wanted any, so that the next sweep has to ask it again.
        """
        if self._opening.fault is not None:
            return False
        wanted_count = self._policy.open_ahead_count(self.node, self.connection_count, now)
        for _ in range(wanted_count):
            if not self._context.may_open_spare():
                break
            self.metrics.add(ConnectionEvent.OPENED_AHEAD, self.node)
            self._opening.open()
        return wanted_count > 0

    # Connections -----------------------------------------------------------------------------------

    @property
    def connection_count(self) -> int:
        """The number of connections, including those that are being opened."""
        return len(self.connections) + self._opening.count

    @property
    def is_unused(self) -> bool:
        """True if there are no connections and no waiting attempts."""
        return not (self.connections or self._opening.count or self._waiting.attempts)

    def connection_freed(self, connection: NodeConnection) -> None:
        """Writes the attempt that has waited longest to a connection that is free, or lists it as idle."""
        usable_in_ms = connection.usable_from_ms - self.now()
        while (
            connection.is_free
            and self._waiting.attempts
            and not connection.address_changed
            and usable_in_ms <= 0.0
        ):
            attempt = self._waiting.take_first()
            result = SendResult.TOO_LATE if self.is_too_late(attempt) else self._write(connection, attempt)
            if result is SendResult.TOO_LATE or result is SendResult.NO_ROOM:
                attempt.end(outcome_without_write(result))
            elif result is SendResult.BROKEN:
                self.start(attempt)
                return
        if not connection.is_free:
            return
        if self.has_left or connection.address_changed:
            connection.drop(NodeCloseReason.NODE_LEFT)
            self.open_for_waiting()
            return
        self._idle.add(connection)
        if usable_in_ms > 0.0:
            self.call_at(connection.usable_from_ms, lambda: self._became_usable(connection))

    def _became_usable(self, connection: NodeConnection) -> None:
        if connection in self._idle.connections and self._waiting.attempts:
            self._idle.remove(connection)
            self.connection_freed(connection)

    def _take_idle(self) -> NodeConnection | None:
        """Removes and returns the usable idle connection that was used last, or None if there is none."""
        now = self.now()
        if self.is_origin and self._idle.connections and self._is_unresponsive(now):
            # The fault that broke the connection of the overdue attempt may have broken the idle ones too.
            self.close_idle()
        return self._idle.take_last_used(now)

    def _is_unresponsive(self, now: float) -> bool:
        """Returns whether the oldest attempt is overdue, and no other was answered since it was written."""
        oldest = [connection.attempts[0] for connection in self.connections if connection.attempts]
        written_ms = [attempt.written_ms for attempt in oldest if attempt.written_ms is not None]
        return bool(written_ms) and self._policy.is_unresponsive(self.node, min(written_ms), now)

    def retire(self, connection: NodeConnection) -> None:
        """Closes an idle connection."""
        self.metrics.add(ConnectionEvent.RETIRED, self.node)
        connection.drop(NodeCloseReason.RETIRED)

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self._idle.connections):
            self.retire(connection)

    def record_idle_close(self) -> None:
        """Counts a connection that the node closed without an attempt on it."""
        self.metrics.add(ConnectionEvent.CLOSED_BY_NODE, self.node)

    def record_loss(self, loss: ConnectionLoss) -> None:
        """Counts a connection that the node closed with an attempt on it, and reports it to the policy."""
        if loss.last_byte_unsent:
            event = ConnectionEvent.STALE_DETECTED
        elif loss.idle_age_ms is not None and not loss.answer_begun:
            event = ConnectionEvent.STALE
        else:
            event = ConnectionEvent.RESET
        self.metrics.add(event, self.node)
        if loss.refused_on_arrival:
            self._policy.record_connect_refused(self.node, len(self.connections) - 1, self.now())
        self._policy.record_loss(self.node, loss, self.now())

    def remove(self, connection: NodeConnection, reason: NodeCloseReason, requests: list[str]) -> None:
        """Removes a connection that has ended; `requests` are the ids of the requests with attempts on it."""
        self.partial_answers.pop(connection, None)
        if connection in self.connections:
            self._record_close(reason, requests)
            self.connections.remove(connection)
            self._context.wake(self)
            self._context.budget.release(DescriptorSide.NODES)
        self._idle.discard(connection)

    def _record_close(self, reason: NodeCloseReason, requests: list[str]) -> None:
        self.metrics.add(ConnectionEvent.NODE_CONNECTION_CLOSED, reason.value)
        request_ids = f", requests {' '.join(requests)}" if requests else ""
        self.log.info("node_close", f"{self.node}: {reason.value}{request_ids}")

    # The periodic sweep ----------------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Closes stalled and old connections, and opens those for which attempts wait."""
        for connection in self.connections.copy():
            if connection.stream and now - connection.stream_awaited_since_ms(now) >= STREAM_STALL_MS:
                connection.framingLost(MalformedMessageError(MalformedReason.STALLED_VALUE))
        limit_ms = self._policy.idle_limit_ms(self.node)
        idle = self._idle.connections
        while idle and now - idle[0].idle_since_ms >= limit_ms:
            self.retire(idle[0])
        self.open_for_waiting()

    def next_sweep_ms(self, now: float) -> float:
        """Returns the time of the next sweep of a pool that was just swept, unless its state changes before.

        A connection that becomes idle, or begins a long value, after `now` is due only after that time.
        """
        if self._waiting.attempts or self.has_left:
            return now
        open_ahead_due_ms = self._policy.next_open_ahead_ms(self.node)
        if not self.connections:
            return open_ahead_due_ms
        streaming = [one for one in self.connections if one.stream]
        last_data_ms = min((one.stream_awaited_since_ms(now) for one in streaming), default=now)
        idle_since_ms = self._idle.connections[0].idle_since_ms if self._idle.connections else now
        return min(
            last_data_ms + STREAM_STALL_MS,
            idle_since_ms + self._policy.idle_limit_ms(self.node),
            open_ahead_due_ms,
        )
