"""The interface through which a connection to a node reports to its pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from cloverwell.connections.close_reason import NodeCloseReason
from cloverwell.connections.connection_loss import ConnectionLoss
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.facade import AttemptOutcome
from cloverwell.log import Log
from cloverwell.memory_budget import MemoryBudget
from cloverwell.request import Attempt
from cloverwell.timer_wheel import Timer

ConnectionT = TypeVar("ConnectionT")


class ConnectionPool(Protocol[ConnectionT]):
    """The methods of a pool that its connections call. Times are milliseconds of the timer wheel's clock."""

    node: str
    address: tuple[str, int] | None
    log: Log
    metrics: ConnectionMetrics
    memory: MemoryBudget
    tick_ms: float  # the most ms by which a call of `call_at` is late
    partial_answers: dict[ConnectionT, int]  # the number of checks since the last data of an answer

    @property
    def forbids_concurrent_attempts(self) -> bool:
        """True if a request must not have two attempts in flight at once."""

    def now(self) -> float:
        """Returns the current time."""

    def call_at(self, when_ms: float, call: Callable[[], None]) -> Timer:
        """Calls `call` at the time `when_ms`, or up to a tick later."""

    def call_in_next_turn(self, call: Callable[[], None]) -> None:
        """Calls `call` in the next turn of the event loop."""

    def hold_ms(self) -> float:
        """Returns the time in ms for which the last byte of an attempt is held back."""

    def is_too_late(self, attempt: Attempt) -> bool:
        """Returns whether it is too late to write a byte of the attempt."""

    def add(self, connection: ConnectionT) -> None:
        """Adds a connection that has been opened."""

    def connection_freed(self, connection: ConnectionT) -> None:
        """Is called when an attempt on the connection has ended; a free connection may carry another."""

    def remove(self, connection: ConnectionT, reason: NodeCloseReason, requests: list[str]) -> None:
        """Removes a connection that has ended; `requests` are the ids of the requests with attempts on it."""

    def reassign(self, attempt: Attempt) -> None:
        """Writes an attempt to another connection, since its own ended before the last byte was written."""

    def close_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt in flight whose connection the proxy itself has closed."""

    def record_answer(self, idle_age_ms: float | None, first_byte_ms: float) -> None:
        """Records an answer; `idle_age_ms` is the idle time before it, None on a fresh connection."""

    def record_silence(self, idle_age_ms: float | None, first_byte_ms: float) -> None:
        """Records an attempt that was given up before any byte of its answer arrived."""

    def record_idle_close(self) -> None:
        """Records that the node closed a connection without an attempt on it."""

    def record_loss(self, loss: ConnectionLoss) -> None:
        """Records that the node closed a connection with an attempt on it."""
