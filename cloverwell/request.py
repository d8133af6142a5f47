"""A request and its attempts, independent of the protocol that the request came by.

`Request` gives its final answer exactly once, and `Attempt` reports the outcome of one try at one node once.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cloverwell.facade import AttemptOutcome, SendAttempt
from cloverwell.memory_budget import Urgency
from cloverwell.streamed_value import StreamedValue
from cloverwell.timer_wheel import Timer


@dataclass(slots=True, frozen=True)
class Served:
    """The request was served.

    `body` is a value for a read and a receipt for a write. A `StreamedValue` is a long value that has begun
    to arrive: from then on no other attempt is made, the request is not rejected any more, and a break of the
    stream closes the client's connection.
    """

    body: bytes | StreamedValue


@dataclass(slots=True, frozen=True)
class Rejected:
    """The request did not run: the client may retry it, best after `retry_after_ms`."""

    retry_after_ms: float


@dataclass(slots=True, frozen=True)
class Failed:
    """The request failed, and may or may not have run."""


FinalAnswer = Served | Rejected | Failed


@dataclass(slots=True, frozen=True)
class NoMemory:
    """A node has begun to give a value, and this process has no memory for it: the value is discarded."""


AttemptBody = bytes | StreamedValue | NoMemory

# The propagated deadline `d` is a whole number of ms, so an attempt with less time left is not sent.
MIN_PROPAGATED_MS = 1


class AttemptPool(Protocol):
    """The part of a connection pool that the owner of an attempt uses."""

    kind: str  # `cache` or `origin`, the prefix of the pool's counters

    def start(self, attempt: Attempt) -> None:
        """Writes the attempt to a connection, or has it wait for one."""

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends the attempt with that outcome, whether it waits for a connection or is on one."""

    def is_unsent(self, attempt: Attempt) -> bool:
        """Tells whether the attempt's last byte has certainly not been sent."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one node. It ends exactly once, and then reports its outcome to its owner."""

    decision: SendAttempt
    request: Request
    write_by_ms: float  # the time after which no byte of the attempt may be written
    on_end: Callable[[Attempt, AttemptOutcome, AttemptBody], None]
    pool: AttemptPool
    deadline_ms: float  # the time at which the attempt is given up, not after its client's deadline
    # The request must not run twice, so a reset after the last byte of the attempt fails it.
    forbids_retry: bool = False
    created_ms: float = 0.0
    reassignments: int = 0  # how often its connection was found closed before its last byte was written
    timer: Timer | None = None  # gives the attempt up at its deadline
    propagated_ms: int = 0  # the time left that its command tells its node, set when it is formatted
    # The clock's readings after and before the write that handed the attempt's last byte to the kernel. The
    # write happened between them.
    written_ms: float | None = None
    written_earliest_ms: float = 0.0
    is_over: bool = False

    def time_left_ms(self, now: float, delay_ms: float = 0.0) -> int:
        """Returns the propagated deadline in whole milliseconds for a command that is formatted at `now`.

        With it the node gives up at the same moment as this proxy. `delay_ms` is the time from `now` to the
        write of the last byte.
        """
        return math.floor(self.deadline_ms - now - delay_ms)

    def exceeded_deadline_by_ms(self, now: float) -> float:
        """Returns by how much the propagated time exceeds what the client has left at `now`."""
        return now + self.propagated_ms - self.request.deadline_ms

    def start_unless_over(self) -> None:
        """Starts an attempt whose start was delayed, unless it has ended meanwhile."""
        if not self.is_over:
            self.pool.start(self)

    def end(self, outcome: AttemptOutcome, body: AttemptBody = b"") -> None:
        """Reports the outcome to the owner. Calls after the first have no effect."""
        # A late answer, or a connection that breaks after the end, must not be reported a second time.
        if self.is_over:
            return
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, body)


@dataclass(slots=True, eq=False)
class Request:
    """One client request. `on_answer` gets the final answer exactly once, unless the client disconnects."""

    id: str
    class_number: int
    tenant: int
    key: str
    is_write: bool
    time_left_ms: float  # when the dispatcher gets the request; the client's deadline is then so far away
    value: bytes  # what a write stores; empty for a read
    info: str  # the client's names and values, `NAME=VALUE,...`, as they came
    on_answer: Callable[[Request, FinalAnswer], None]
    # Says how urgent the memory for the request and its answer is: a client that does not take its responses
    # can wait for more of them.
    memory_urgency: Callable[[], Urgency] = lambda: Urgency.PROMPT
    held_bytes: int = 0  # the memory that the request holds while it is open
    deadline_ms: float = 0.0  # the clock's reading at the deadline
    is_over: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)  # the attempts in flight, by number
    last_outcome: AttemptOutcome | None = None  # the outcome of the attempt that ended last
    # The clock's reading before the write of the first attempt that may have run.
    first_possible_run_ms: float | None = None
    holds_id: bool = False  # whether its id is claimed, since it must not run twice
    # The time before which no new attempt is written, because a closed one may still be at its node.
    earliest_next_attempt_ms: float = 0.0
    deadline_timer: Timer | None = None

    def complete(self, answer: FinalAnswer) -> bool:
        """Gives the final answer. Returns False, and does nothing, if the request is already over."""
        if self.is_over:
            return False
        self.mark_over()
        self.on_answer(self, answer)
        return True

    def mark_over(self) -> None:
        """Marks the request as ended, without giving an answer."""
        self.is_over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()

    def info_with_deadline(self, wait_ms: float) -> str:
        """Returns the client's names and values with `d` replaced by `wait_ms`, the time this proxy waits."""
        parts = (f"d={int(wait_ms)}" if part.startswith("d=") else part for part in self.info.split(","))
        return ",".join(parts)
