"""A connection to a cache node or the origin, independent of its protocol.

Answers arrive in the order of the attempts: each answer ends the oldest attempt on the connection.
"""

from __future__ import annotations

from collections import deque

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.back.attempt_writer import LEAST_READ_BYTES, AttemptWriter
from cloverwell.back.connection_pool import ConnectionPool
from cloverwell.codec.discarded_value import DiscardedValue
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.connections.connection_loss import ConnectionLoss
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.facade import AttemptOutcome
from cloverwell.memory_budget import Urgency
from cloverwell.request import Attempt, NoMemory
from cloverwell.streamed_value import StreamedValue

STREAM_READ_BYTES = 32 * 1024  # the part of a long value that is read at once, and buffered for a slow client
LATE_DATA_MS = 15.0  # a duplicate of an answer, or data after it, may arrive up to this much later


class NodeConnection(AttemptWriter):
    """A connection to a node, with its attempts in the order in which their answers are due."""

    def __init__(self, pool: ConnectionPool[NodeConnection], open_started_ms: float) -> None:
        """Starts without an attempt; `pool` began to open the connection at `open_started_ms`."""
        super().__init__(pool)
        self.open_started_ms = open_started_ms
        self.usable_from_ms = 0.0  # the time before which no attempt is written to it
        self.address_changed = False  # whether the node has a new address; attempts in flight here continue
        self.stream: StreamedValue | None = None  # the long value that is arriving, if any
        # The time at which the last piece of it arrived, or from which the next one has been waited for.
        self.last_stream_data_ms = 0.0
        self._discarded: DiscardedValue | None = None  # the value that is arriving, if it has no memory
        self._close_after_answer = False  # whether it is closed after the answer that is arriving

    def connectionMade(self) -> None:
        """Adds the connection to its pool."""
        super().connectionMade()
        self._pool.add(self)

    @property
    def is_free(self) -> bool:
        """True if the connection is open and carries nothing, so that an attempt may be written to it."""
        return not (self.ended or self.attempts or self._partial_write or self.stream or self._discarded)

    def is_settled(self, now: float) -> bool:
        """Returns whether any late data after the last answer must have arrived by now.

        The check before the next attempt finds such data.
        """
        return not self.has_served or now - self.idle_since_ms >= LATE_DATA_MS

    # Answers --------------------------------------------------------------------------------------

    def finish_attempt(self, outcome: AttemptOutcome, body: bytes = b"", has_id: bool = True) -> None:
        """Ends the oldest attempt with its answer; `has_id` says whether the answer contained its id."""
        attempt = self._remove_answered_attempt()
        self._answer_complete(has_id)
        attempt.end(outcome, body)

    def _remove_answered_attempt(self) -> Attempt:
        attempt = self.attempts.popleft()
        self._pool.record_answer(self._idle_age_ms, self._first_byte_ms)
        self._idle_age_ms, self.has_served = None, True
        return attempt

    def _answer_complete(self, has_id: bool = True) -> None:
        """Frees the connection after a complete answer, or closes it.

        After an answer without an id it is not used for some ms, since a late duplicate would be read as the
        next attempt's answer.
        """
        if self._close_after_answer:
            self.drop(NodeCloseReason.LAST_ANSWER)
        elif not self.attempts and self.unparsed_bytes:
            # A duplicate, or other data after the answer, would be read as the answer of the next attempt.
            self._pool.log.info("answer", f"{self._pool.node} sent surplus data after an answer")
            self.drop(NodeCloseReason.SURPLUS_DATA)
        else:
            if not self.attempts:
                self.idle_since_ms = self._pool.now()
                self.usable_from_ms = 0.0 if has_id else self.idle_since_ms + LATE_DATA_MS
            self._pool.connection_freed(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses data, and lets the pool watch an answer that has begun, in case it never ends."""
        super().dataReceived(data)
        # A long value is not watched here, since it has a time limit of its own.
        if not self.ended and self.stream is None and self.is_mid_message:
            self._pool.partial_answers[self] = 0
        else:
            self._pool.partial_answers.pop(self, None)

    def framingLost(self, error: MalformedMessageError) -> None:
        """Drops the connection, since the node sent a malformed answer, or only a part of one."""
        self._pool.metrics.add(ConnectionEvent.MALFORMED_ANSWER, error.reason.name.lower())
        self._pool.log.warn("answer", f"malformed answer from {self._pool.node}: {error}")
        self.drop(NodeCloseReason.MALFORMED)

    # A value without memory -----------------------------------------------------------------------

    def has_memory_for(self, size_bytes: int) -> bool:
        """Returns whether so many bytes may be held for the answer to the oldest attempt."""
        memory = self._memory
        is_ample = memory.held_bytes <= memory.ample_bytes
        return is_ample or memory.grants(self.attempts[0].request.memory_urgency(), size_bytes)

    def memory_refused(self) -> None:
        """Discards the rest of a value; the beginning of a line is short, and read in any case."""
        if self._awaited_bytes and self.attempts:
            self.refuse_value(self.discard_value())

    def refuse_value(self, discarded: DiscardedValue) -> None:
        """Ends the oldest attempt, whose value is discarded as it arrives; only its line end is checked."""
        attempt = self._remove_answered_attempt()
        self._discarded = discarded
        attempt.end(AttemptOutcome.SERVED, NoMemory())

    # A long value ---------------------------------------------------------------------------------

    def begin_stream(self, length: int) -> None:
        """Ends the oldest attempt with a long value, of which only the valid head has arrived."""
        if not self._memory.grants(Urgency.SLOW, STREAM_READ_BYTES):
            attempt = self._remove_answered_attempt()
            self.drop(NodeCloseReason.NO_MEMORY)
            attempt.end(AttemptOutcome.SERVED, NoMemory())
            return
        attempt = self._remove_answered_attempt()
        stream = self.stream = StreamedValue(
            length, self.hold, self.release, lambda: self.drop(NodeCloseReason.VALUE_DROPPED)
        )
        self.last_stream_data_ms = self._pool.now()
        self.transport.bufferSize = self._memory.read_bytes(Urgency.SLOW, LEAST_READ_BYTES, STREAM_READ_BYTES)
        self.expect_pieces(length)
        self.hold()  # Reading continues once the earlier answers to the same client have been sent.
        attempt.end(AttemptOutcome.SERVED, stream)
        if not stream.has_sink:  # The answer is too late, or the client has disconnected.
            stream.cancel()

    def pieceReceived(self, data: bytes) -> None:
        """Passes on a piece of a long value, or drops it."""
        if self._discarded is not None:
            self._discard(self._discarded, data)
            return
        self.last_stream_data_ms = self._pool.now()
        assert self.stream is not None  # Pieces are expected only while a long value arrives.
        self.stream.receive(data)

    def _discard(self, discarded: DiscardedValue, data: bytes) -> None:
        """Drops a piece of a value, and frees the connection behind the last one."""
        discarded.receive(data)
        if self._streamed_bytes_left:
            return
        if not discarded.has_line_end:
            raise MalformedMessageError(MalformedReason.VALUE_END)
        self._discarded = None
        self._answer_complete()

    def release(self) -> None:
        """Continues reading; while a long value waited for its client, the node could not give any of it."""
        if self._held:
            self.last_stream_data_ms = self._pool.now()
        super().release()
        if not self.is_mid_message:  # The answer was completed by what had been read before.
            self._pool.partial_answers.pop(self, None)

    def stream_awaited_since_ms(self, now: float) -> float:
        """Returns since when the next piece of a long value is due; `now` while it waits for its client."""
        return now if self._held else self.last_stream_data_ms

    def end_stream(self, has_id: bool = True) -> None:
        """Completes a long value that has arrived whole, with a valid end."""
        stream, self.stream = self.stream, None
        assert stream is not None
        stream.complete()
        self.release()  # Its client may have paused it with the last bytes, and resumes only open values.
        if not self.ended:
            self._answer_complete(has_id)

    def _end_broken_stream(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.abort()

    # The end --------------------------------------------------------------------------------------

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> bool:
        """Ends an attempt, and closes the connection. Returns False if the attempt is not on it."""
        if self._partial_write is not None and self._partial_write.attempt is attempt:
            self.drop(NodeCloseReason.ATTEMPT_ABANDONED, outcome, attempt)
            return True
        if attempt not in self.attempts:
            return False
        if self.stream is not None and not self._pool.forbids_concurrent_attempts:
            # The attempt waits behind a long value, after which the connection is closed. Until then it may
            # run: where a request may have only one attempt in flight, the connection is closed now.
            self._close_after_answer = True
            self.attempts.remove(attempt)
            attempt.end(outcome)
            return True
        if attempt is self.attempts[0] and self not in self._pool.partial_answers:
            self._pool.record_silence(self._idle_age_ms, self._first_byte_ms)
        self.drop(NodeCloseReason.ATTEMPT_ABANDONED, outcome, attempt)
        return True

    def drop(
        self,
        reason: NodeCloseReason,
        outcome: AttemptOutcome = AttemptOutcome.RESET,
        target: Attempt | None = None,
    ) -> None:
        """Closes the connection; ends `target` with `outcome`, and each other attempt with a reset."""
        requests = self._request_ids()
        unsent = self._take_partly_written()
        attempts, self.attempts = self.attempts, deque()
        self.end(abort=True)
        self._pool.remove(self, reason, requests)
        self._end_broken_stream()
        for attempt in attempts:
            self._pool.close_attempt(attempt, outcome if attempt is target else AttemptOutcome.RESET)
        if unsent is not None and unsent is target:
            # Its last byte was not written, so it has not run: a timeout counts as a failure to connect.
            unsent.end(AttemptOutcome.NOT_CONNECTED if outcome is AttemptOutcome.TIMED_OUT else outcome)
        elif unsent is not None:
            self._pool.reassign(unsent)

    def _request_ids(self) -> list[str]:
        """Returns the ids of the requests with an attempt here; a partly written one is last."""
        partly_written = [] if self._partial_write is None else [self._partial_write.attempt]
        return [attempt.request.id for attempt in [*self.attempts, *partly_written]]

    def _take_partly_written(self) -> Attempt | None:
        """Removes and returns the attempt whose last byte has not been written, if there is one."""
        partial, self._partial_write = self._partial_write, None
        if partial is None:
            return None
        partial.timer.cancel()
        return partial.attempt

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ends the attempts with a reset; one whose last byte was not written moves to another connection."""
        closed_by_node = not self.ended
        super().connectionLost(reason)
        requests = self._request_ids()
        unsent = self._take_partly_written()
        attempts, self.attempts = self.attempts, deque()
        if closed_by_node:
            self._report_closed_by_node(attempts, unsent, by_reset=not reason.check(ConnectionDone))
        self._pool.remove(
            self, NodeCloseReason.BY_NODE_MID_ATTEMPT if requests else NodeCloseReason.BY_NODE, requests
        )
        self._end_broken_stream()
        for attempt in attempts:
            attempt.end(AttemptOutcome.RESET)
        if unsent is not None:
            self._pool.reassign(unsent)

    def _report_closed_by_node(
        self, attempts: deque[Attempt], unsent: Attempt | None, by_reset: bool
    ) -> None:
        if not attempts and unsent is None:
            self._pool.record_idle_close()
            return
        # The time counts from the last byte, since the delay before it does not depend on the network.
        written_ms = attempts[0].written_ms if attempts else None
        since_ms = self._first_byte_ms if written_ms is None else written_ms
        self._pool.record_loss(
            ConnectionLoss(
                idle_age_ms=self._idle_age_ms,
                since_write_ms=self._pool.now() - since_ms,
                answer_begun=self in self._pool.partial_answers,
                last_byte_unsent=unsent is not None,
                by_reset=by_reset,
                had_served=self.has_served,
            )
        )
