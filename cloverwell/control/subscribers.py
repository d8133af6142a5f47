"""Fan-out at one control node: tracks the proxies that follow the log here, and what each is sent next.

A subscriber has no queue of its own, only a position in the log. At most a window of entries, or one
snapshot, is in flight to it. A subscriber that is more than `max_entries_behind` entries behind gets a
snapshot, so a slow one costs no more than a fast one.

A proxy's process is identified by its run, a random number: two runs are the same or different, never older
or newer. Of two runs of one name the one that subscribed later takes precedence, and the run that it has
displaced is refused while it is subscribed. So a restart is recognised without comparing wall clocks, and
two processes of one name that run at the same time don't keep displacing each other.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from cloverwell.control.effects import CloseSubscriber, NodeEffect, SendToSubscriber
from cloverwell.control.entry import Position, Snapshot
from cloverwell.control.messages import (
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
from cloverwell.control.subscriber import InFlightEntry, RunAttempt, Subscriber
from cloverwell.control.timing import FanoutTiming


class LostSubscriber(NamedTuple):
    """A subscriber that has left without a goodbye, and the time at which it is forgotten."""

    run_attempt: RunAttempt
    forget_at_ms: float


class SubscriberTable:
    """The proxies that are subscribed to one control node."""

    def __init__(self, log_name: str, log: CommittedLog, timing: FanoutTiming) -> None:
        """Starts without subscribers. Proxies that follow another log than `log_name` are refused."""
        self._log_name = log_name
        self._log = log
        self._timing = timing
        self._subscribers: dict[int, Subscriber] = {}  # by connection
        self._connections: dict[str, int] = {}  # by proxy
        self._lost: dict[str, LostSubscriber] = {}  # by proxy, the first to be forgotten first
        self._snapshot: Snapshot | None = None  # the latest one, reused until the commit index advances

    # Events

    def subscribe(self, connection_id: int, message: Subscribe, now_ms: float) -> list[NodeEffect]:
        """Handles a proxy's first message. The caller sends a heartbeat after these effects."""
        if connection_id in self._subscribers:
            self._record_loss(connection_id, now_ms)
            return self._refuse(connection_id, RefusalReason.INVALID)
        reason = self._refusal_reason(message)
        if reason is not None:
            return self._refuse(connection_id, reason)
        effects: list[NodeEffect] = []
        displaced_runs: tuple[int, ...] = ()
        previous_connection = self._connections.get(message.proxy)
        if previous_connection is not None:
            displaced_runs = self._remove(previous_connection).displaced_runs_after(message)
            effects.append(CloseSubscriber(previous_connection))
        self._lost.pop(message.proxy, None)
        subscriber = Subscriber(message, now_ms, displaced_runs)
        self._subscribers[connection_id] = subscriber
        self._connections[message.proxy] = connection_id
        return effects + self._send_due(connection_id, subscriber)

    def acknowledge(self, connection_id: int, message: Acknowledge, now_ms: float) -> list[NodeEffect]:
        """Handles an acknowledgement; it is ignored if it was sent before its connection was closed here."""
        subscriber = self._subscribers.get(connection_id)
        if subscriber is None:
            return []
        if message.position.index > subscriber.sent.index:
            self._record_loss(connection_id, now_ms)
            return self._refuse(connection_id, RefusalReason.INVALID)
        subscriber.record_acknowledgement(message, now_ms)
        if self._has_diverged(subscriber, message.position):
            return self._send_snapshot(connection_id, subscriber)
        return self._send_due(connection_id, subscriber)

    def goodbye(self, connection_id: int) -> list[NodeEffect]:
        """Handles the graceful shutdown of a proxy, which counts as neither alive nor lost after that."""
        if connection_id not in self._subscribers:
            return []
        self._remove(connection_id)
        return [CloseSubscriber(connection_id)]

    def disconnected(self, connection_id: int, now_ms: float) -> None:
        """Handles the end of a connection without a goodbye; the proxy may still be alive."""
        if connection_id in self._subscribers:
            self._record_loss(connection_id, now_ms)

    def handle_move(self, message: SubscriberMoved) -> list[NodeEffect]:
        """Handles a message that a proxy is now subscribed to another node.

        The message is outdated if that proxy, or another process of its name, has subscribed here since.
        """
        subscription_elsewhere = RunAttempt(message.run, message.attempt)
        lost = self._lost.get(message.proxy)
        if lost is not None and lost.run_attempt.precedes(subscription_elsewhere):
            del self._lost[message.proxy]
        connection_id = self._connections.get(message.proxy)
        if connection_id is None or not self._subscribers[connection_id].run_attempt.precedes(
            subscription_elsewhere
        ):
            return []
        self._remove(connection_id)
        return [CloseSubscriber(connection_id)]

    def send_due(self) -> list[NodeEffect]:
        """Sends each subscriber the entries or snapshot that it is due; to be called after a commit."""
        effects: list[NodeEffect] = []
        for connection_id, subscriber in self._subscribers.items():
            effects += self._send_due(connection_id, subscriber)
        return effects

    def expire(self, now_ms: float) -> list[NodeEffect]:
        """Closes the subscribers that have been silent for too long, and forgets those lost long ago."""
        oldest_contact_ms = now_ms - self._timing.silence_timeout_ms
        expired = [
            connection_id
            for connection_id, subscriber in self._subscribers.items()
            if subscriber.last_contact_ms < oldest_contact_ms
        ]
        for connection_id in expired:
            self._record_loss(connection_id, now_ms)
        self._lost = {proxy: lost for proxy, lost in self._lost.items() if lost.forget_at_ms > now_ms}
        return [CloseSubscriber(connection_id) for connection_id in expired]

    def heartbeats(self, lease_ms: float, fleet: FleetCount, now_ms: float) -> list[NodeEffect]:
        """Sends a heartbeat to each subscriber; the arguments are those of `heartbeat`."""
        effects: list[NodeEffect] = []
        for connection_id in self._subscribers:
            effects += self.heartbeat(connection_id, lease_ms, fleet, now_ms)
        return effects

    def heartbeat(
        self, connection_id: int, lease_ms: float, fleet: FleetCount, now_ms: float
    ) -> list[NodeEffect]:
        """Sends a heartbeat to one subscriber, if it still is one.

        `lease_ms` is what is left of this node's own lease, 0 without one.
        """
        subscriber = self._subscribers.get(connection_id)
        if subscriber is None:
            return []
        # The subscriber counts its lease from when it sent its token, which arrived at the last contact.
        subscriber_lease_ms = lease_ms + now_ms - subscriber.last_contact_ms if lease_ms else 0.0
        message = Heartbeat(self._log.committed, subscriber.token, subscriber_lease_ms, fleet)
        return [SendToSubscriber(connection_id, message)]

    # Queries

    def __contains__(self, connection_id: int) -> bool:
        """Returns whether a connection is that of a subscriber."""
        return connection_id in self._subscribers

    @property
    def subscriber_count(self) -> int:
        """The number of subscribers."""
        return len(self._subscribers)

    def report(self, node: str) -> SubscriberReport:
        """Returns this node's report to the leader; `node` is this node's name."""
        positions = Counter(subscriber.acknowledged for subscriber in self._subscribers.values())
        return SubscriberReport(
            node, len(self._subscribers), len(self._lost), merge_positions(positions), self._refusal_counts()
        )

    def _refusal_counts(self) -> tuple[RefusalCount, ...]:
        """Returns the counts of refusals for the latest entries that were refused, oldest first."""
        refusing = [subscriber for subscriber in self._subscribers.values() if subscriber.refused_index]
        proxy_counts = Counter(subscriber.refused_index for subscriber in refusing)
        reasons = {subscriber.refused_index: subscriber.refused_reason for subscriber in refusing}
        latest_indexes = sorted(proxy_counts)[-MAX_REPORT_POSITIONS:]
        return tuple(RefusalCount(index, reasons[index], proxy_counts[index]) for index in latest_indexes)

    # Steps

    def _refusal_reason(self, message: Subscribe) -> RefusalReason | None:
        """Returns why a subscription is refused, or None."""
        if message.log != self._log_name:
            return RefusalReason.OTHER_LOG
        if message.position.index > self._log.committed.index:
            return RefusalReason.BEHIND
        previous_connection = self._connections.get(message.proxy)
        if previous_connection is None:
            return RefusalReason.FULL if self.subscriber_count >= self._timing.max_subscribers else None
        previous = self._subscribers[previous_connection]
        return None if previous.yields_to(message) else RefusalReason.INVALID

    def _refuse(self, connection_id: int, reason: RefusalReason) -> list[NodeEffect]:
        return [SendToSubscriber(connection_id, Refusal(reason)), CloseSubscriber(connection_id)]

    def _has_diverged(self, subscriber: Subscriber, position: Position) -> bool:
        """Returns whether the log reaches back to the subscriber's position but differs from what it has."""
        if subscriber.snapshot_index is not None or position.index < self._log.base_index:
            return False
        return not self._log.contains(position)

    def _send_due(self, connection_id: int, subscriber: Subscriber) -> list[NodeEffect]:
        """Sends a subscriber entries, a snapshot, or nothing while a snapshot is in flight."""
        if subscriber.snapshot_index is not None:
            return []
        entries_behind = self._log.committed.index - subscriber.acknowledged
        if entries_behind > self._timing.max_entries_behind or not self._may_send_entries_after(
            subscriber.sent
        ):
            return self._send_snapshot(connection_id, subscriber)
        return self._send_entries(connection_id, subscriber)

    def _may_send_entries_after(self, position: Position) -> bool:
        """Returns whether entries may follow a position: only if the log has the same ones up to it."""
        return self._log.contains(position)

    def _send_entries(self, connection_id: int, subscriber: Subscriber) -> list[NodeEffect]:
        """Sends the next entries, as far as the window allows."""
        window_entries = self._timing.window_entries - len(subscriber.in_flight)
        window_bytes = self._timing.window_bytes - subscriber.in_flight_bytes
        if window_entries <= 0 or window_bytes <= 0:
            return []
        entries = self._log.committed_after(subscriber.sent.index, window_entries, window_bytes)
        if not entries:
            return []
        message = Entries(subscriber.sent, entries)
        in_flight = [InFlightEntry(entry.index, len(entry.payload)) for entry in entries]
        subscriber.record_entries_sent(self._log.position_at(entries[-1].index), in_flight)
        return [SendToSubscriber(connection_id, message)]

    def _send_snapshot(self, connection_id: int, subscriber: Subscriber) -> list[NodeEffect]:
        if self._snapshot is None or self._snapshot.position != self._log.committed:
            self._snapshot = self._log.committed_snapshot()
        subscriber.record_snapshot_sent(self._snapshot.position)
        return [SendToSubscriber(connection_id, SnapshotTransfer(self._snapshot))]

    def _remove(self, connection_id: int) -> Subscriber:
        subscriber = self._subscribers.pop(connection_id)
        del self._connections[subscriber.proxy]
        return subscriber

    def _record_loss(self, connection_id: int, now_ms: float) -> None:
        """Moves a subscriber to the lost ones, of which at most `max_subscribers` are remembered."""
        subscriber = self._remove(connection_id)
        forget_at_ms = now_ms + self._timing.forget_after_ms
        self._lost[subscriber.proxy] = LostSubscriber(subscriber.run_attempt, forget_at_ms)
        while len(self._lost) > self._timing.max_subscribers:
            del self._lost[next(iter(self._lost))]


def merge_positions(positions: Counter[int]) -> tuple[PositionCount, ...]:
    """Returns at most MAX_REPORT_POSITIONS counts, oldest first.

    The latest positions keep counts of their own; all older ones are merged at the oldest.
    """
    if not positions:
        return ()
    indexes = sorted(positions)
    surplus_count = max(0, len(indexes) - MAX_REPORT_POSITIONS)
    merged_indexes, separate_indexes = indexes[: surplus_count + 1], indexes[surplus_count + 1 :]
    oldest_count = PositionCount(merged_indexes[0], sum(positions[index] for index in merged_indexes))
    return (oldest_count, *(PositionCount(index, positions[index]) for index in separate_indexes))
