"""Fan-out at one control node: which proxies follow the log here, how far each is, and what each is sent
next.

There is no queue for a subscriber: the log is the queue, and a subscriber is a place in it. At most a
window of entries, or one snapshot, is on its way to it unacknowledged. Who falls further behind than the
tail that is kept for it gets a snapshot, so a slow one costs no more than a fast one.

A proxy's process is known by its run, a random number: runs are the same or another, never older or newer. Of
two runs of one name the one that came later stands, and the one that it has displaced is refused while it is
here. So a restart is a restart whatever the wall clocks say, and two processes that live beside each other
don't displace one another in turn.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from cloverwell.control.effects import CloseSubscriber, NodeEffect, SendToSubscriber
from cloverwell.control.entry import Position, Snapshot
from cloverwell.control.messages import (
    MAX_REASON_CHARS,
    MAX_REPORT_POSITIONS,
    Acknowledge,
    Entries,
    FleetCount,
    Heartbeat,
    PositionCount,
    Refusal,
    RefusalCount,
    RefusalReason,
    SnapshotTransfer,
    Subscribe,
    SubscriberMoved,
    SubscriberReport,
)
from cloverwell.control.replicated_log import CommittedLog
from cloverwell.control.timing import FanoutTiming

MAX_DISPLACED_RUNS = 8  # of one proxy that are remembered while it is here


class RunAttempt(NamedTuple):
    """One subscription of a process: which process, and which of its tries at a connection."""

    run: int
    attempt: int

    def precedes(self, other: RunAttempt) -> bool:
        """Whether both are of one process, and the other is its later one."""
        return self.run == other.run and self.attempt < other.attempt


class Subscriber:
    """One proxy that follows the log over one connection.

    `displaced_runs`: of this proxy's name, whose places it has taken here, the latest last.
    """

    __slots__ = (
        "acknowledged",
        "displaced_runs",
        "heard_at",
        "in_flight",
        "in_flight_bytes",
        "proxy",
        "refused_index",
        "refused_reason",
        "run_attempt",
        "sent",
        "snapshot_index",
        "token",
    )

    def __init__(self, message: Subscribe, now: float, displaced_runs: tuple[int, ...] = ()) -> None:
        self.proxy = message.proxy
        self.run_attempt = RunAttempt(message.run, message.attempt)
        self.displaced_runs = displaced_runs
        self.acknowledged = message.applied_index
        self.sent = message.position
        self.in_flight: deque[tuple[int, int]] = deque()  # index, bytes of payload
        self.in_flight_bytes = 0
        self.snapshot_index: int | None = None  # of the snapshot that is on its way
        self.heard_at = now
        self.token = message.token
        self.refused_index = 0
        self.refused_reason = ""

    def displaced_by(self, message: Subscribe) -> tuple[int, ...]:
        """The runs that have been displaced once this message has taken the place of this subscriber."""
        own = () if message.run == self.run_attempt.run else (self.run_attempt.run,)
        return (*self.displaced_runs, *own)[-MAX_DISPLACED_RUNS:]

    def gives_way_to(self, message: Subscribe) -> bool:
        """Whether the message is of a later subscription than this one."""
        coming = RunAttempt(message.run, message.attempt)
        if coming.run == self.run_attempt.run:
            return self.run_attempt.precedes(coming)
        return coming.run not in self.displaced_runs

    def entries_sent(self, sent: Position, sizes: list[tuple[int, int]]) -> None:
        self.sent = sent
        self.in_flight.extend(sizes)
        self.in_flight_bytes += sum(size for _, size in sizes)

    def snapshot_sent(self, position: Position) -> None:
        self.sent = position
        self.snapshot_index = position.index
        self.in_flight.clear()
        self.in_flight_bytes = 0

    def acknowledge(self, message: Acknowledge, now: float) -> None:
        self.heard_at, self.token = now, message.token
        self.acknowledged = message.position.index
        self.refused_index = message.refused_index
        self.refused_reason = message.refused_reason[:MAX_REASON_CHARS]
        while self.in_flight and self.in_flight[0][0] <= self.acknowledged:
            self.in_flight_bytes -= self.in_flight.popleft()[1]
        if self.snapshot_index is not None and self.acknowledged >= self.snapshot_index:
            self.snapshot_index = None


class SubscriberTable:
    """The proxies at one control node. `log_name`: which log this is; proxies of another are refused."""

    def __init__(self, log_name: str, log: CommittedLog, timing: FanoutTiming) -> None:
        self._log_name = log_name
        self._log = log
        self._timing = timing
        self._subscribers: dict[int, Subscriber] = {}  # by connection
        self._connections: dict[str, int] = {}  # by proxy
        self._lost: dict[str, tuple[RunAttempt, float]] = {}  # by proxy: which one, when to forget it
        self._snapshot: Snapshot | None = None  # the last one made, for all who come at its position

    # Events

    def subscribe(self, connection: int, message: Subscribe, now: float) -> list[NodeEffect]:
        """A proxy's first message. The caller sends a heartbeat after what this returns."""
        if connection in self._subscribers:
            self._lose(connection, now)
            return self._refuse(connection, RefusalReason.INVALID)
        if (reason := self._reason_against(message)) is not None:
            return self._refuse(connection, reason)
        effects: list[NodeEffect] = []
        displaced_runs: tuple[int, ...] = ()
        if (old := self._connections.get(message.proxy)) is not None:
            displaced_runs = self._remove(old).displaced_by(message)
            effects.append(CloseSubscriber(old))
        self._lost.pop(message.proxy, None)
        subscriber = Subscriber(message, now, displaced_runs)
        self._subscribers[connection] = subscriber
        self._connections[message.proxy] = connection
        return effects + self._feed(connection, subscriber)

    def acknowledge(self, connection: int, message: Acknowledge, now: float) -> list[NodeEffect]:
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return []  # it was let go while this was on its way
        if message.position.index > subscriber.sent.index:
            self._lose(connection, now)
            return self._refuse(connection, RefusalReason.INVALID)
        subscriber.acknowledge(message, now)
        if self._strays(subscriber, message.position):
            return self._send_snapshot(connection, subscriber)
        return self._feed(connection, subscriber)

    def goodbye(self, connection: int) -> list[NodeEffect]:
        """The proxy stops: it is neither alive nor lost."""
        if connection not in self._subscribers:
            return []
        self._remove(connection)
        return [CloseSubscriber(connection)]

    def disconnected(self, connection: int, now: float) -> None:
        """The connection has ended without a goodbye; the proxy may still serve."""
        if connection in self._subscribers:
            self._lose(connection, now)

    def moved(self, message: SubscriberMoved) -> list[NodeEffect]:
        """The proxy is subscribed elsewhere, unless it or another of its name has come here since."""
        elsewhere = RunAttempt(message.run, message.attempt)
        if message.proxy in self._lost and self._lost[message.proxy][0].precedes(elsewhere):
            del self._lost[message.proxy]
        connection = self._connections.get(message.proxy)
        if connection is None or not self._subscribers[connection].run_attempt.precedes(elsewhere):
            return []
        self._remove(connection)
        return [CloseSubscriber(connection)]

    def feed(self) -> list[NodeEffect]:
        """To each subscriber what it may be sent now; to be called when entries have been committed."""
        subscribers = list(self._subscribers.items())
        return [effect for connection, sub in subscribers for effect in self._feed(connection, sub)]

    def drop_silent(self, now: float) -> list[NodeEffect]:
        """Lets those go that have not been heard of for too long, and forgets those lost long ago."""
        since = now - self._timing.silence_timeout_ms
        silent = [number for number, sub in self._subscribers.items() if sub.heard_at < since]
        for connection in silent:
            self._lose(connection, now)
        self._lost = {proxy: lost for proxy, lost in self._lost.items() if lost[1] > now}
        return [CloseSubscriber(connection) for connection in silent]

    def heartbeats(self, lease_ms: float, fleet: FleetCount, now: float) -> list[NodeEffect]:
        return [
            effect for number in self._subscribers for effect in self.heartbeat(number, lease_ms, fleet, now)
        ]

    def heartbeat(self, connection: int, lease_ms: float, fleet: FleetCount, now: float) -> list[NodeEffect]:
        """A heartbeat to one subscriber, if it still is one. `lease_ms`: what is left of this node's own
        lease."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return []
        lease_ms = lease_ms + now - subscriber.heard_at if lease_ms else 0.0
        return [
            SendToSubscriber(connection, Heartbeat(self._log.committed, subscriber.token, lease_ms, fleet))
        ]

    # Sums

    def __contains__(self, connection: int) -> bool:
        return connection in self._subscribers

    @property
    def alive(self) -> int:
        return len(self._subscribers)

    def report(self, node: str) -> SubscriberReport:
        positions = Counter(sub.acknowledged for sub in self._subscribers.values())
        refusals = Counter(sub.refused_index for sub in self._subscribers.values() if sub.refused_index)
        reasons = {sub.refused_index: sub.refused_reason for sub in self._subscribers.values()}
        latest = sorted(refusals, reverse=True)[:MAX_REPORT_POSITIONS]
        return SubscriberReport(
            node,
            len(self._subscribers),
            len(self._lost),
            summed_up(positions),
            tuple(RefusalCount(index, reasons[index], refusals[index]) for index in sorted(latest)),
        )

    # Steps

    def _reason_against(self, message: Subscribe) -> RefusalReason | None:
        if message.log != self._log_name:
            return RefusalReason.OTHER_LOG
        if message.position.index > self._log.committed.index:
            return RefusalReason.BEHIND
        old = self._connections.get(message.proxy)
        if old is None:
            return RefusalReason.FULL if self.alive >= self._timing.max_subscribers else None
        return None if self._subscribers[old].gives_way_to(message) else RefusalReason.INVALID

    def _refuse(self, connection: int, reason: RefusalReason) -> list[NodeEffect]:
        return [SendToSubscriber(connection, Refusal(reason)), CloseSubscriber(connection)]

    def _strays(self, subscriber: Subscriber, position: Position) -> bool:
        """Whether it has told a position that the log, which still goes back so far, does not have."""
        if subscriber.snapshot_index is not None or position.index < self._log.base_index:
            return False
        return not self._log.contains(position)

    def _feed(self, connection: int, subscriber: Subscriber) -> list[NodeEffect]:
        if subscriber.snapshot_index is not None:
            return []
        behind = self._log.committed.index - subscriber.acknowledged
        if behind > self._timing.tail_entries or not self._may_tail(subscriber.sent):
            return self._send_snapshot(connection, subscriber)
        return self._send_tail(connection, subscriber)

    def _may_tail(self, position: Position) -> bool:
        """Whether what follows this position can be sent: only to who has the very same entries up to it."""
        return self._log.contains(position)

    def _send_tail(self, connection: int, subscriber: Subscriber) -> list[NodeEffect]:
        room = self._timing.window_entries - len(subscriber.in_flight)
        room_bytes = self._timing.window_bytes - subscriber.in_flight_bytes
        if room <= 0 or room_bytes <= 0:
            return []
        entries = self._log.committed_after(subscriber.sent.index, room, room_bytes)
        if not entries:
            return []
        message = Entries(subscriber.sent, entries)
        sizes = [(entry.index, len(entry.payload)) for entry in entries]
        subscriber.entries_sent(self._log.position_at(entries[-1].index), sizes)
        return [SendToSubscriber(connection, message)]

    def _send_snapshot(self, connection: int, subscriber: Subscriber) -> list[NodeEffect]:
        if self._snapshot is None or self._snapshot.position != self._log.committed:
            self._snapshot = self._log.committed_snapshot()
        subscriber.snapshot_sent(self._snapshot.position)
        return [SendToSubscriber(connection, SnapshotTransfer(self._snapshot))]

    def _remove(self, connection: int) -> Subscriber:
        subscriber = self._subscribers.pop(connection)
        del self._connections[subscriber.proxy]
        return subscriber

    def _lose(self, connection: int, now: float) -> None:
        subscriber = self._remove(connection)
        self._lost[subscriber.proxy] = (subscriber.run_attempt, now + self._timing.forget_ms)
        while len(self._lost) > self._timing.max_subscribers:
            del self._lost[next(iter(self._lost))]


def summed_up(positions: Counter[int]) -> tuple[PositionCount, ...]:
    """At most MAX_REPORT_POSITIONS counts, oldest first: the latest stand, older ones are added to the
    oldest."""
    indexes = sorted(positions)
    spare = max(0, len(indexes) - MAX_REPORT_POSITIONS)
    older = sum(positions[index] for index in indexes[: spare + 1])
    if not indexes:
        return ()
    rest = (PositionCount(index, positions[index]) for index in indexes[spare + 1 :])
    return (PositionCount(indexes[0], older), *rest)
