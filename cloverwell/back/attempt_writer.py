"""Writes attempts to a connection to a node.

Each attempt is written at once, or with its last byte held back: without that byte it can't run.
"""

from __future__ import annotations

from collections import deque
from typing import Any, assert_never

from cloverwell.back.connection_pool import ConnectionPool
from cloverwell.back.partial_write import PartialWrite
from cloverwell.back.send_result import SendResult
from cloverwell.codec.lines import BufferedLineReceiver
from cloverwell.codec.socket_state import PEEK_FLAGS
from cloverwell.codec.steady_socket import TryAgainError
from cloverwell.codec.write_result import CommandWriteResult
from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.memory_budget import Urgency
from cloverwell.request import MIN_PROPAGATED_MS, Attempt

LEAST_READ_BYTES = 4 * 1024  # read at once, however little memory is left
MAX_READ_BYTES = 64 * 1024  # read at once while there is memory
FRESH_MS = 10.0  # an unused connection that was opened less than this ago does not count as idle


class AttemptWriter(BufferedLineReceiver):
    """The writing side of a connection to a node, with its attempts in the order of their answers."""

    def __init__(self, pool: ConnectionPool[Any]) -> None:
        """Starts without an attempt."""
        super().__init__(pool.memory)
        self._pool = pool
        self.attempts: deque[Attempt] = deque()
        self.idle_since_ms = 0.0  # the time from which it has been idle
        self.has_served = False  # whether an attempt on it has been answered
        self._idle_age_ms: float | None = None  # the idle time before its oldest attempt was written
        self._first_byte_ms = 0.0  # the time at which the first byte of that attempt was written
        self._partial_write: PartialWrite | None = None  # the attempt whose last byte is held back

    def encode_command(self, attempt: Attempt) -> bytes:
        """Returns the command of an attempt, which a subclass encodes in its protocol."""
        raise NotImplementedError

    def drop(self, reason: NodeCloseReason) -> None:
        """Closes the connection, and ends each of its attempts."""
        raise NotImplementedError

    @property
    def has_partial_write(self) -> bool:
        """True if a command has been written except for its last byte."""
        return self._partial_write is not None

    def idle_age_ms(self, now: float) -> float | None:
        """Returns the time for which the connection has been idle, or None if it is fresh and unused."""
        age_ms = now - self.idle_since_ms
        return age_ms if self.has_served or age_ms > FRESH_MS else None

    def send(self, attempt: Attempt, use: ConnectionUse = ConnectionUse.WRITE_ALL) -> SendResult:
        """Writes an attempt; if `use` is `HOLD_LAST_BYTE`, its last byte is held back."""
        now = self._pool.now()
        hold_ms = self._pool.hold_ms() if use is ConnectionUse.HOLD_LAST_BYTE else 0.0
        # The timer wheel rounds the time at which the last byte is written up to its next tick.
        left_ms = attempt.time_left_ms(now, hold_ms + self._pool.tick_ms if hold_ms else 0.0)
        if left_ms < MIN_PROPAGATED_MS:
            return SendResult.TOO_LATE
        if not self.attempts and self._is_unusable():
            return SendResult.BROKEN
        attempt.propagated_ms = left_ms
        self.transport.bufferSize = self._memory.read_bytes(Urgency.PROMPT, LEAST_READ_BYTES, MAX_READ_BYTES)
        data = self.encode_command(attempt)
        unwritten_count = 1 if use is ConnectionUse.HOLD_LAST_BYTE else 0
        result = self.try_write_command(data[:-1] if unwritten_count else data)
        match result:
            case CommandWriteResult.SENT:
                pass
            case CommandWriteResult.LAST_BYTE_UNSENT:
                unwritten_count += 1
            case CommandWriteResult.NO_ROOM:
                return SendResult.NO_ROOM
            case CommandWriteResult.CLOSED:
                return SendResult.BROKEN
            case _:
                assert_never(result)
        if not self.attempts:
            self._idle_age_ms, self._first_byte_ms = self.idle_age_ms(now), now
        if unwritten_count:
            timer = self._pool.call_at(now + hold_ms, self._write_last_byte)
            self._partial_write = PartialWrite(attempt, data[-unwritten_count:], timer)
        else:
            self._record_written(attempt, now)
        return SendResult.WRITTEN

    def _record_written(self, attempt: Attempt, before_ms: float) -> None:
        """Records that an attempt is in flight; `before_ms` is the time before the write, which may block."""
        attempt.written_earliest_ms = before_ms
        attempt.written_ms = self._pool.now()
        self.attempts.append(attempt)

    def _write_last_byte(self) -> None:
        """Writes the last byte, so that the attempt runs, unless the node has closed the connection."""
        partial = self._partial_write
        assert partial is not None  # Removing the partial write cancels the timer of this call.
        if self._pool.is_too_late(partial.attempt):
            self._partial_write = None
            self.drop(NodeCloseReason.TOO_LATE_TO_WRITE)
            partial.attempt.end(AttemptOutcome.NOT_CONNECTED)
            return
        now = self._pool.now()
        # A last byte that is written later than planned would let the node work for too long: the command is
        # written again, with less time, to another connection.
        if self._is_unusable() or partial.attempt.exceeded_deadline_by_ms(now) > 0.0:
            self.drop(NodeCloseReason.UNUSABLE)
            return
        no_room = CommandWriteResult.NO_ROOM  # also while bytes before it are on their way
        result = no_room if self._writing else self.try_write_command(partial.unwritten)
        match result:
            case CommandWriteResult.SENT:
                self._partial_write = None
                self._record_written(partial.attempt, now)
            case CommandWriteResult.LAST_BYTE_UNSENT:
                partial.unwritten = partial.unwritten[-1:]
                self._write_last_byte_later(partial)
            case CommandWriteResult.NO_ROOM:
                self._write_last_byte_later(partial)
            case CommandWriteResult.CLOSED:
                self.drop(NodeCloseReason.UNUSABLE)
            case _:
                assert_never(result)

    def _write_last_byte_later(self, partial: PartialWrite) -> None:
        partial.timer = self._pool.call_at(self._pool.now() + self._pool.tick_ms, self._write_last_byte)

    def _is_unusable(self) -> bool:
        """Returns whether the node has closed the connection or sent data that answers no attempt.

        Such data would be read as the next attempt's answer, and after a close that attempt would be reset,
        perhaps after it ran. A connection whose state the kernel can't tell is unusable too.
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
