"""A request's life, whatever protocol it came by: the single owner of its final answer and of its
attempts."""

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
    """`body`: a value for a read, a receipt for a write. A flow is a long value that has begun to come: from
    then on no other attempt is made and nothing is refused, and a break ends the client's connection."""

    body: bytes | StreamedValue


@dataclass(slots=True, frozen=True)
class Rejected:
    retry_after_ms: float


@dataclass(slots=True, frozen=True)
class Failed:
    pass


FinalAnswer = Served | Rejected | Failed

LEAST_TOLD_MS = 1  # `d` counts whole milliseconds: less can't be told, and an attempt that would is not sent


class AttemptPool(Protocol):
    """What the owner of an attempt needs of the connection pool that carries it."""

    kind: str  # `cache` or `origin`, as the counts have it

    def start(self, attempt: Attempt) -> None:
        """Writes it to a connection, or has it wait for one."""

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends it by that outcome, wherever it is."""

    def unsent(self, attempt: Attempt) -> bool:
        """Whether its last byte has certainly not left."""


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that is out: it ends exactly once, and tells its owner how."""

    choice: SendAttempt
    request: Request
    write_by_ms: float  # no byte of it leaves later
    done: Callable[[Attempt, AttemptOutcome, bytes | StreamedValue], None]
    pool: AttemptPool
    ends_ms: float  # it is given up then, at its client's deadline at the latest
    dear: bool = False  # it may not run twice: a reset behind its last byte loses the request
    asked_ms: float = 0.0  # when it was asked for
    moves: int = 0  # connections that were found closed before its last byte
    timer: Timer | None = None
    told_ms: int = 0  # the time that its command told its node, once the first byte was formatted
    written_ms: float | None = None  # when its last byte was handed to the machine, at the latest
    runs_from_ms: float = 0.0  # and at the soonest: the clock before that
    over: bool = False

    def left_ms(self, now: float, held_ms: float = 0.0) -> int:
        """The time that its command may tell its node, in whole ms, if it is formatted now.

        Node and proxy then stop at the same moment. `held_ms`: so much later will its last byte leave."""
        return math.floor(self.ends_ms - now - held_ms)

    def over_told_ms(self, now: float) -> float:
        """By how much it told more than its client has left, if its last byte is written now."""
        return now + self.told_ms - self.request.deadline_ms

    def end(self, outcome: AttemptOutcome, body: bytes | StreamedValue = b"") -> None:
        # A late answer or a second break must not be reported again, or reach another request.
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(self, outcome, body)


@dataclass(slots=True, eq=False)
class Request:
    """Of one request: `answer` is called exactly once unless the client leaves first."""

    id: str
    class_number: int
    tenant: int
    key: str
    write: bool
    left_ms: float
    value: bytes
    info: str  # its names and values as they came
    answer: Callable[[Request, FinalAnswer], None]
    deadline_ms: float = 0.0
    over: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)  # those out, by number
    ran_ms: float | None = None  # the clock before the first attempt that may have run was written
    # no new attempt is written sooner: one that we closed may be out at its node until then
    clear_ms: float = 0.0
    guard: Timer | None = None

    def finish(self, answer: FinalAnswer) -> bool:
        """Gives the one final answer; False if it has been given."""
        if self.over:
            return False
        self.close()
        self.answer(self, answer)
        return True

    def close(self) -> None:
        self.over = True
        if self.guard is not None:
            self.guard.cancel()

    def info_with(self, wait_ms: float) -> str:
        """The names and values with `d` as the time that we will wait, all else as it came."""
        parts = (f"d={int(wait_ms)}" if part.startswith("d=") else part for part in self.info.split(","))
        return ",".join(parts)
