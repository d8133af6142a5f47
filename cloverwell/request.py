"""A request and its attempts, independent of the protocol that the request came by.

`Request` owns the final answer, which is given once, and `Attempt` owns the outcome of one try at one node.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cloverwell.facade import AttemptOutcome, SendAttempt
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

# The propagated deadline `d` is a whole number of milliseconds, so an attempt with less left is not sent.
MIN_PROPAGATED_MS = 1


class AttemptPool(Protocol):
    """What the owner of an attempt needs of the connection pool that carries it."""

    kind: str  # `cache` or `origin`, as in the names of counters

    def start(self, attempt: Attempt) -> None:
        """Writes the attempt to a connection, or has it wait for one."""

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends the attempt with that outcome, whether it waits for a connection or is on one."""

    def is_unsent(self, attempt: Attempt) -> bool:
        """Tells whether the attempt's last byte has certainly not been sent."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one node. It ends exactly once, and reports its outcome to its owner."""

    decision: SendAttempt
    request: Request
    write_by_ms: float  # no byte of it is written later
    on_end: Callable[[Attempt, AttemptOutcome, bytes | StreamedValue], None]
    pool: AttemptPool
    deadline_ms: float  # it is given up then, which is at its client's deadline at the latest
    forbids_retry: bool = False  # it may not run twice: a reset after its last byte loses the request
    created_ms: float = 0.0  # when it was asked for
    reassignments: int = 0  # connections that were found closed before its last byte
    timer: Timer | None = None
    propagated_ms: int = 0  # the time left that its command tells its node, set when it is formatted
    written_ms: float | None = None  # when its last byte was handed to the kernel, at the latest
    written_earliest_ms: float = 0.0  # and at the earliest: the clock before that write
    is_over: bool = False

    def time_left_ms(self, now: float, delay_ms: float = 0.0) -> int:
        """Returns the propagated deadline in whole milliseconds for a command that is formatted now.

        Node and proxy then stop at the same moment. `delay_ms` is how much later the last byte is written.
        """
        return math.floor(self.deadline_ms - now - delay_ms)

    def exceeded_deadline_by_ms(self, now: float) -> float:
        """Returns by how much the propagated time exceeds what the client has left at `now`."""
        return now + self.propagated_ms - self.request.deadline_ms

    def start_unless_over(self) -> None:
        """Starts the attempt after a delay, unless it has ended meanwhile."""
        if not self.is_over:
            self.pool.start(self)

    def end(self, outcome: AttemptOutcome, body: bytes | StreamedValue = b"") -> None:
        """Reports the outcome to the owner. Calls after the first have no effect."""
        # A late answer or a second break must not be reported again, or reach another request.
        if self.is_over:
            return
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome, body)


@dataclass(slots=True, eq=False)
class Request:
    """One client request. `on_answer` is called exactly once, unless the client disconnects first."""

    id: str
    class_number: int
    tenant: int
    key: str
    is_write: bool
    time_left_ms: float
    value: bytes
    info: str  # its names and values as they came
    on_answer: Callable[[Request, FinalAnswer], None]
    deadline_ms: float = 0.0
    is_over: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)  # those in flight, by number
    last_outcome: AttemptOutcome | None = None  # of the attempt that ended last
    first_possible_run_ms: float | None = (
        None  # the clock before the write of the first attempt that may have run
    )
    # No new attempt is written before: until then a closed one may still be at its node.
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
        """Marks the request as over without an answer."""
        self.is_over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()

    def info_with_deadline(self, wait_ms: float) -> str:
        """Returns the names and values as they came, with `d` replaced by the time that this proxy waits."""
        parts = (f"d={int(wait_ms)}" if part.startswith("d=") else part for part in self.info.split(","))
        return ",".join(parts)
