"""A connection to a cache node or the origin, independent of the protocol that it speaks.

It writes attempts, all at once or with the last byte held back, and ends each with the answer whose turn it
is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.back.partial_write import PartialWrite
from cloverwell.codec.lines import PEEK_FLAGS, RingLineReceiver
from cloverwell.codec.steady_socket import TryAgainError
from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.connections.connection_loss import ConnectionLoss
from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.log import Log
from cloverwell.request import MIN_PROPAGATED_MS, Attempt
from cloverwell.streamed_value import StreamedValue
from cloverwell.timer_wheel import Timer

STREAM_READ_BYTES = 32 * 1024  # of a long value that are read at once, and wait for a slow reader
FRESH_MS = 10.0  # a connection that came up so lately has not stood idle
LATE_DATA_MS = 15.0  # a duplicate of an answer, or noise behind it, may arrive so much later


class SendResult(Enum):
    """What became of an attempt that a connection was given."""

    OUT = auto()  # its first byte has been written
    BROKEN = auto()  # no byte has been: the connection is unusable
    LATE = auto()  # no byte has been: the attempt has no time left to propagate to its node


class ConnectionPool(Protocol):
    """What a connection needs of its pool. Times are milliseconds of the timer wheel's clock."""

    node: str
    address: tuple[str, int] | None
    log: Log
    tick_ms: float  # by so much `later` may be late
    partial_answers: dict[NodeConnection, int]  # the checks since the last data, by connection

    @property
    def forbids_concurrent_attempts(self) -> bool:
        """Whether a request must not have two attempts in flight at once."""

    def now(self) -> float:
        """Returns the time."""

    def later(self, when_ms: float, call: Callable[[], None]) -> Timer:
        """Calls back at that time or up to a tick later."""

    def hold_ms(self) -> float:
        """Returns how long a last byte is held back."""

    def too_late(self, attempt: Attempt) -> bool:
        """Tells whether no byte of the attempt may be written any more."""

    def opened(self, connection: NodeConnection) -> None:
        """Takes a connection that has come up."""

    def became_free(self, connection: NodeConnection) -> None:
        """Takes notice that the connection carries one attempt less, or none."""

    def lost(self, connection: NodeConnection, reason: NodeCloseReason, requests: list[str]) -> None:
        """Forgets a connection that has ended; `requests` are the ids of those with an attempt on it."""

    def reassign(self, attempt: Attempt) -> None:
        """Gives an attempt whose connection ended before its last byte to another connection."""

    def close_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt in flight whose connection the proxy itself has closed."""

    def answered(self, age_ms: float | None, first_byte_ms: float) -> None:
        """Learns from an answer; `age_ms` is how long the connection had stood idle, None on a fresh one."""

    def silent(self, age_ms: float | None, first_byte_ms: float) -> None:
        """Learns from an attempt that was given up without a byte of an answer."""

    def closed_idle_by_node(self) -> None:
        """Learns that the node closed a connection without an attempt."""

    def closed_by_node(self, loss: ConnectionLoss) -> None:
        """Learns that the node closed a connection with an attempt."""


class NodeConnection(RingLineReceiver):
    """A connection to a node, with its attempts in the order in which their answers are due."""

    def __init__(self, pool: ConnectionPool, asked_ms: float) -> None:
        """Makes the protocol of a connection that `pool` asked for at `asked_ms`."""
        super().__init__()
        self._pool = pool
        self.attempts: deque[Attempt] = deque()
        self.asked_ms = asked_ms
        self.idle_since_ms = 0.0
        self.served = False  # an attempt has ended on it
        self.usable_from_ms = 0.0  # no attempt is written to it before
        self.address_changed = False  # the node has moved: attempts in flight here may finish
        self.stream: StreamedValue | None = None  # the long value that is arriving
        self.stream_data_ms = 0.0  # when a piece of it last arrived
        self._age_ms: float | None = None  # how long it had stood idle before its oldest attempt
        self._first_byte_ms = 0.0  # when that attempt's first byte was written
        self._partial_write: PartialWrite | None = None
        self._close_after_answer = False  # nothing may follow on it

    def encode_command(self, attempt: Attempt) -> bytes:
        """Returns the bytes of an attempt; a subclass encodes them in its protocol."""
        raise NotImplementedError

    def connectionMade(self) -> None:
        """Joins the pool."""
        super().connectionMade()
        self._pool.opened(self)

    @property
    def free(self) -> bool:
        """Whether it may be given an attempt."""
        return not (self.ended or self.attempts or self._partial_write or self.stream)

    @property
    def has_partial_write(self) -> bool:
        """Whether a command has been written in part."""
        return self._partial_write is not None

    def age_ms(self, now: float) -> float | None:
        """Returns how long it has stood idle, None on a fresh one."""
        age = now - self.idle_since_ms
        return age if self.served or age > FRESH_MS else None

    def is_settled(self, now: float) -> bool:
        """Tells whether data that comes late behind the last answer has arrived by now.

        The check before the next attempt then finds it.
        """
        return not self.served or now - self.idle_since_ms >= LATE_DATA_MS

    # Writing an attempt ---------------------------------------------------------------------------

    def send(self, attempt: Attempt, use: ConnectionUse = ConnectionUse.WRITE_ALL) -> SendResult:
        """Writes an attempt, with its last byte held back where `use` is `SPLIT`."""
        now = self._pool.now()
        hold_ms = self._pool.hold_ms() if use is ConnectionUse.HOLD_LAST_BYTE else 0.0
        # The timer wheel rounds the wait up to its next tick.
        left_ms = attempt.time_left_ms(now, hold_ms + self._pool.tick_ms if hold_ms else 0.0)
        if left_ms < MIN_PROPAGATED_MS:
            return SendResult.LATE
        if not self.attempts and self._is_unusable():
            return SendResult.BROKEN
        attempt.propagated_ms = left_ms
        data = self.encode_command(attempt)
        rest = data[-1:] if use is ConnectionUse.HOLD_LAST_BYTE else b""
        untaken = self.try_write_command(data[:-1] if rest else data)
        if untaken is None:
            return SendResult.BROKEN
        if not self.attempts:
            self._age_ms, self._first_byte_ms = self.age_ms(now), now
        if rest := untaken + rest:
            timer = self._pool.later(now + hold_ms, self._write_rest)
            self._partial_write = PartialWrite(attempt, rest, timer)
        else:
            self._written(attempt, now)
        return SendResult.OUT

    def _written(self, attempt: Attempt, before_ms: float) -> None:
        """Takes an attempt as in flight; `before_ms` is the clock before the write, which can stall."""
        attempt.written_earliest_ms = before_ms
        attempt.written_ms = self._pool.now()
        self.attempts.append(attempt)

    def _write_rest(self) -> None:
        """Writes the last byte: no reset has come, so the node is there, and the attempt may run."""
        partial = self._partial_write
        assert partial is not None  # the timer is cancelled with it
        if self._pool.too_late(partial.attempt):
            self._partial_write = None
            self.drop(NodeCloseReason.TOO_LATE_TO_WRITE)
            partial.attempt.end(AttemptOutcome.NOT_CONNECTED)
            return
        now = self._pool.now()
        # The propagated deadline counts from the last byte on: a command that is later is written anew.
        if self._is_unusable() or partial.attempt.exceeded_deadline_by_ms(now) > 0.0:
            self.drop(NodeCloseReason.UNUSABLE)
            return
        untaken = partial.rest if self._writing else self.try_write_command(partial.rest)
        if untaken is None:
            self.drop(NodeCloseReason.UNUSABLE)
        elif untaken:
            partial.rest = untaken
            partial.timer = self._pool.later(self._pool.now() + self._pool.tick_ms, self._write_rest)
        else:
            self._partial_write = None
            self._written(partial.attempt, now)

    def _is_unusable(self) -> bool:
        """Tells whether the node has closed the connection, or sent data that no attempt is owed.

        That data would be read as the next attempt's answer, or the attempt be reset after it ran. So is a
        connection of which the kernel can't tell.
        """
        try:
            self._socket.recv(1, PEEK_FLAGS)
        except TryAgainError:
            return True
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    # Answers --------------------------------------------------------------------------------------

    def finish_attempt(self, outcome: AttemptOutcome, body: bytes = b"", named: bool = True) -> None:
        """Ends the oldest attempt, which has its answer; `named` tells that the answer bore its id."""
        attempt = self._take_answered()
        self._answer_ended(named)
        attempt.end(outcome, body)

    def _take_answered(self) -> Attempt:
        attempt = self.attempts.popleft()
        self._pool.answered(self._age_ms, self._first_byte_ms)
        self._age_ms, self.served = None, True
        return attempt

    def _answer_ended(self, named: bool = True) -> None:
        """Makes the connection free. A late duplicate of an answer without an id must not meet an attempt."""
        if self._close_after_answer:
            self.drop(NodeCloseReason.LAST_ANSWER)
        elif not self.attempts and self.unparsed_bytes:
            # A duplicate or noise behind a good answer would be read as the answer of the next attempt.
            self._pool.log.info("answer", f"more than the answer came from {self._pool.node}")
            self.drop(NodeCloseReason.SURPLUS_DATA)
        else:
            if not self.attempts:
                self.idle_since_ms = self._pool.now()
                self.usable_from_ms = 0.0 if named else self.idle_since_ms + LATE_DATA_MS
            self._pool.became_free(self)

    def dataReceived(self, data: bytes) -> None:
        """Reads data, and has the pool check that an answer which has begun goes on."""
        super().dataReceived(data)
        # The rest of a long value has its own time limit.
        if (
            not self.ended
            and self.stream is None
            and (self._awaited_bytes or self._streamed_left or len(self._incoming))
        ):
            self._pool.partial_answers[self] = 0
        else:
            self._pool.partial_answers.pop(self, None)

    def framingLost(self, reason: str) -> None:
        """Drops the connection: what the node sent is malformed, or stopped short."""
        self._pool.log.warn("answer", f"malformed answer of {self._pool.node}: {reason}")
        self.drop(NodeCloseReason.MALFORMED)

    # A long value ---------------------------------------------------------------------------------

    def begin_stream(self, length: int) -> None:
        """Ends the oldest attempt with a long value whose head is sound and whose body follows."""
        attempt = self._take_answered()
        stream = self.stream = StreamedValue(
            length, self.hold, self.release, lambda: self.drop(NodeCloseReason.VALUE_DROPPED)
        )
        self.stream_data_ms = self._pool.now()
        self.transport.bufferSize = STREAM_READ_BYTES
        self.expect_pieces(length)
        self.hold()  # until its turn has come at the client
        attempt.end(AttemptOutcome.SERVED, stream)
        if not stream.has_sink:  # too late, or its client has disconnected
            stream.cancel()

    def pieceReceived(self, data: bytes) -> None:
        """Passes on a piece of a long value."""
        self.stream_data_ms = self._pool.now()
        assert self.stream is not None  # pieces are expected only for one
        self.stream.receive(data)

    def end_stream(self, named: bool = True) -> None:
        """Completes a long value, all of which has come and whose end is sound."""
        stream, self.stream = self.stream, None
        assert stream is not None
        del self.transport.bufferSize  # the class has its own
        stream.complete()
        if not self.ended:
            self._answer_ended(named)

    def _break_stream(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.abort()

    # The end --------------------------------------------------------------------------------------

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> bool:
        """Ends that attempt and with it the connection. Returns False if the attempt is not here."""
        if self._partial_write is not None and self._partial_write.attempt is attempt:
            self.drop(NodeCloseReason.ATTEMPT_ABANDONED, outcome, attempt)
            return True
        if attempt not in self.attempts:
            return False
        if self.stream is not None and not self._pool.forbids_concurrent_attempts:
            # It stands behind a long value, which goes on, and the connection closes after that. The attempt
            # is in flight until then: where a request may have but one, the value breaks off instead.
            self._close_after_answer = True
            self.attempts.remove(attempt)
            attempt.end(outcome)
            return True
        if attempt is self.attempts[0] and self not in self._pool.partial_answers:
            self._pool.silent(self._age_ms, self._first_byte_ms)
        self.drop(NodeCloseReason.ATTEMPT_ABANDONED, outcome, attempt)
        return True

    def drop(
        self,
        reason: NodeCloseReason,
        outcome: AttemptOutcome = AttemptOutcome.RESET,
        target: Attempt | None = None,
    ) -> None:
        """Closes the connection, and ends `target` with that outcome and each other attempt with a reset."""
        requests = self._request_ids()
        unsent = self._take_unsent()
        attempts, self.attempts = self.attempts, deque()
        self.end(abort=True)
        self._pool.lost(self, reason, requests)
        self._break_stream()
        for attempt in attempts:
            self._pool.close_attempt(attempt, outcome if attempt is target else AttemptOutcome.RESET)
        if unsent is not None and unsent is target:
            # Without its last byte it can't have run: to cancel it, or time it out, leaves nothing behind.
            unsent.end(AttemptOutcome.NOT_CONNECTED if outcome is AttemptOutcome.TIMED_OUT else outcome)
        elif unsent is not None:
            self._pool.reassign(unsent)

    def _request_ids(self) -> list[str]:
        """Returns the ids of the requests that have an attempt here, one that is not written whole last."""
        ids = [attempt.request.id for attempt in self.attempts]
        if self._partial_write is not None:
            ids.append(self._partial_write.attempt.request.id)
        return ids

    def _take_unsent(self) -> Attempt | None:
        """Removes and returns the attempt whose last byte has not been written, if there is one."""
        partial, self._partial_write = self._partial_write, None
        if partial is None:
            return None
        partial.timer.cancel()
        return partial.attempt

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ends the attempts with a reset; one whose last byte was not written goes to another connection."""
        by_node = not self.ended
        super().connectionLost(reason)
        requests = self._request_ids()
        unsent = self._take_unsent()
        attempts, self.attempts = self.attempts, deque()
        if by_node:
            self._report_closed_by_node(attempts, unsent, by_reset=not reason.check(ConnectionDone))
        self._pool.lost(
            self, NodeCloseReason.BY_NODE_MID_ATTEMPT if requests else NodeCloseReason.BY_NODE, requests
        )
        self._break_stream()
        for attempt in attempts:
            attempt.end(AttemptOutcome.RESET)
        if unsent is not None:
            self._pool.reassign(unsent)

    def _report_closed_by_node(
        self, attempts: deque[Attempt], unsent: Attempt | None, by_reset: bool
    ) -> None:
        if not attempts and unsent is None:
            self._pool.closed_idle_by_node()
            return
        # From the last bytes on: how long they were held back says nothing of the network.
        written_ms = attempts[0].written_ms if attempts else None
        since_ms = self._first_byte_ms if written_ms is None else written_ms
        self._pool.closed_by_node(
            ConnectionLoss(
                idle_age_ms=self._age_ms,
                since_write_ms=self._pool.now() - since_ms,
                answer_begun=self in self._pool.partial_answers,
                last_byte_unsent=unsent is not None,
                by_reset=by_reset,
                had_served=self.served,
            )
        )
