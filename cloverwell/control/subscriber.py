"""A control node's record of one subscribed proxy: its progress, and the entries in flight to it."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from cloverwell.control.entry import Position
from cloverwell.control.messages import MAX_REASON_CHARS, Acknowledge, Subscribe

MAX_DISPLACED_RUNS = 8  # remembered of one proxy while it is subscribed


class RunAttempt(NamedTuple):
    """One subscription of a process: the random number of its run, and that of its attempt to connect."""

    run: int
    attempt: int

    def precedes(self, other: RunAttempt) -> bool:
        """Returns whether both subscriptions are of one process, and `other` is the later one."""
        return self.run == other.run and self.attempt < other.attempt


class InFlightEntry(NamedTuple):
    """An entry that was sent and is not acknowledged yet."""

    entry_index: int
    payload_bytes: int


class Subscriber:
    """One proxy that follows the log over one connection.

    `acknowledged` is the index up to which the proxy has applied the log, `sent` the position after what was
    sent to it. `snapshot_index` is that of a snapshot in flight, None without one. `displaced_runs` are the
    earlier runs of this proxy's name that it has displaced here, the latest last.
    """

    __slots__ = (
        "acknowledged",
        "displaced_runs",
        "in_flight",
        "in_flight_bytes",
        "last_contact_ms",
        "proxy",
        "refused_index",
        "refused_reason",
        "run_attempt",
        "sent",
        "snapshot_index",
        "token",
    )

    def __init__(self, message: Subscribe, now_ms: float, displaced_runs: tuple[int, ...] = ()) -> None:
        """Starts from a proxy's first message."""
        self.proxy = message.proxy
        self.run_attempt = RunAttempt(message.run, message.attempt)
        self.displaced_runs = displaced_runs
        self.acknowledged = message.applied_index
        self.sent = message.position
        self.in_flight: deque[InFlightEntry] = deque()
        self.in_flight_bytes = 0
        self.snapshot_index: int | None = None
        self.last_contact_ms = now_ms
        self.token = message.token
        self.refused_index = 0
        self.refused_reason = ""

    def displaced_runs_after(self, message: Subscribe) -> tuple[int, ...]:
        """Returns the displaced runs once `message` has taken the place of this subscriber."""
        displaced = () if message.run == self.run_attempt.run else (self.run_attempt.run,)
        return (*self.displaced_runs, *displaced)[-MAX_DISPLACED_RUNS:]

    def yields_to(self, message: Subscribe) -> bool:
        """Returns whether `message` begins a later subscription, which takes the place of this one."""
        if message.run == self.run_attempt.run:
            return self.run_attempt.attempt < message.attempt
        return message.run not in self.displaced_runs

    def record_entries_sent(self, sent: Position, entries: list[InFlightEntry]) -> None:
        """Records that entries were sent, and that `sent` is the position after them."""
        self.sent = sent
        self.in_flight.extend(entries)
        self.in_flight_bytes += sum(entry.payload_bytes for entry in entries)

    def record_snapshot_sent(self, position: Position) -> None:
        """Records that a snapshot of `position` was sent in place of all that was in flight."""
        self.sent = position
        self.snapshot_index = position.index
        self.in_flight.clear()
        self.in_flight_bytes = 0

    def record_acknowledgement(self, message: Acknowledge, now_ms: float) -> None:
        """Records the proxy's position, and removes the entries up to it from those in flight."""
        self.last_contact_ms = now_ms
        self.token = message.token
        self.acknowledged = message.position.index
        self.refused_index = message.refused_index
        self.refused_reason = message.refused_reason[:MAX_REASON_CHARS]
        while self.in_flight and self.in_flight[0].entry_index <= self.acknowledged:
            self.in_flight_bytes -= self.in_flight.popleft().payload_bytes
        if self.snapshot_index is not None and self.acknowledged >= self.snapshot_index:
            self.snapshot_index = None
