"""A proxy's side of the control log: it follows one control node at a time, and holds a lease.

A proxy without a control node keeps serving with what it has applied; only its position stops counting as
current when the lease ends. Entries are applied by the caller: one entry or snapshot at a time is given out,
and reported back as applied or refused. A refused entry is skipped, and reported to the control node until an
entry of its kind is applied.
"""

from __future__ import annotations

from collections import deque
from random import Random

import msgspec

from cloverwell.control.delivery import Delivery, DeliveryError, RefusedEntry
from cloverwell.control.effects import ConnectToNode, DisconnectFromNode, ProxyEffect, SendToControlNode
from cloverwell.control.entry import EntryKind, Position, Snapshot
from cloverwell.control.fleet import bound_divisor
from cloverwell.control.messages import (
    Acknowledge,
    Entries,
    FleetCount,
    Goodbye,
    Heartbeat,
    NodeMessage,
    Refusal,
    SnapshotTransfer,
    Subscribe,
)
from cloverwell.control.node_selection import ControlNodeSelector
from cloverwell.control.timing import SubscriptionTiming, lease_end_ms

MAX_LEASE_OFFERS = 8  # the latest ones, kept until their entries are applied
NEVER = float("inf")
NO_REFUSAL = RefusedEntry(0, "")


class LeaseOffer(msgspec.Struct, frozen=True):
    """A lease until `end_ms` for a proxy that has applied the log up to `committed`, or further."""

    committed: Position
    end_ms: float


class SubscriptionStatus(msgspec.Struct, frozen=True):
    """The status of a subscription for operators.

    `catch_up_abandoned` says that the proxy is ready without being caught up. `refused_index` is that of the
    latest entry that could not be applied and was not replaced, 0 for none. `last_failure` says why the
    proxy last left a control node, "" if it has left none.
    """

    position: Position
    current: bool
    caught_up: bool
    catch_up_abandoned: bool
    node: str
    refused_index: int
    refused_reason: str
    last_failure: str
    fleet: FleetCount


class Subscription:
    """One proxy's subscription. Every event takes the time in ms of this process's monotonic clock."""

    def __init__(
        self,
        proxy: str,
        run: int,
        log_name: str,
        nodes: tuple[tuple[str, ...], ...],
        random: Random,
        now_ms: float,
        saved: Snapshot | None = None,
        timing: SubscriptionTiming | None = None,
    ) -> None:
        """Prepares a subscription of `proxy` to the log `log_name`; `start` begins it.

        `proxy` and `run` are as in `Subscribe`. `nodes` are groups of control nodes, the local region's
        first, each in an order that `random` draws. `saved` is a snapshot that an earlier process has
        stored: it is applied at once and the log followed from there, or it is dropped if it isn't intact.
        """
        self._proxy = proxy
        self._run = run
        self._log_name = log_name
        self._timing = timing or SubscriptionTiming()
        self._selector = ControlNodeSelector(nodes, self._timing, random)
        self._delivery = Delivery()
        self._saved = saved
        self._attempt = 0  # the number of the latest connection or attempt to connect
        self._attempt_started_ms = now_ms
        self._has_attempt = False  # True while connected or connecting
        self._connected = False
        self._last_node = ""
        self._last_failure = ""
        self._contact_deadline_ms = now_ms  # for the node's answer, or for the next attempt
        self._acknowledge_at_ms = NEVER
        self._acknowledged_index = 0
        self._lease_offers: deque[LeaseOffer] = deque(maxlen=MAX_LEASE_OFFERS)
        self._lease_end_ms = float("-inf")
        self._lease_deadline_ms = NEVER  # without a lease by this time, another node is tried
        self._return_to_local_ms = NEVER  # the time at which a node of the local region is tried again
        self._ready_by_ms = now_ms + self._timing.catch_up_timeout_ms
        self._fleet_count = FleetCount()
        self.caught_up = False  # True once all that was committed at some time since the start is applied

    # Queries

    @property
    def position(self) -> Position:
        """The position up to which all entries are applied, or refused and skipped."""
        return self._delivery.position

    def next_deadline(self) -> float:
        """Returns the time in ms at which `tick` must be called at the latest."""
        return min(
            self._contact_deadline_ms,
            self._acknowledge_at_ms,
            self._lease_deadline_ms,
            self._return_to_local_ms,
        )

    def is_current(self, now_ms: float) -> bool:
        """Returns whether all that was committed LEASE_MS ago is applied or was refused here."""
        return now_ms < self._lease_end_ms

    def is_ready(self, now_ms: float) -> bool:
        """Returns whether a starting proxy may serve: it is caught up, or has waited for long enough."""
        return self.caught_up or now_ms >= self._ready_by_ms

    def bound_divisor(self, provisioned: int, now_ms: float) -> int:
        """Returns the number by which this proxy divides a fleet-wide bound: see `fleet.bound_divisor`."""
        return bound_divisor(self._fleet_count, provisioned, self.is_current(now_ms))

    def status(self, now_ms: float) -> SubscriptionStatus:
        """Returns the status for operators."""
        refused = self._delivery.refused or NO_REFUSAL
        return SubscriptionStatus(
            self.position,
            self.is_current(now_ms),
            self.caught_up,
            not self.caught_up and self.is_ready(now_ms),
            self._selector.selected_node() if self._connected else "",
            refused.index,
            refused.reason,
            self._last_failure,
            self._fleet_count,
        )

    # Events

    def start(self, now_ms: float) -> list[ProxyEffect]:
        """Begins the subscription; the saved snapshot is given out to be applied if it is intact."""
        if self._saved is not None and self._saved.is_intact:
            self._delivery.receive_snapshot(self._saved)
        self._saved = None
        return [*self._apply_next(), *self._connect(now_ms)]

    def tick(self, now_ms: float) -> list[ProxyEffect]:
        """Handles the timers; to be called at `next_deadline`, and allowed at any other time."""
        if now_ms >= self._contact_deadline_ms:
            return self._fail_over("silent", now_ms) if self._has_attempt else self._connect(now_ms)
        if now_ms >= self._lease_deadline_ms:
            return self._fail_over("gives no lease", now_ms)
        if now_ms >= self._return_to_local_ms:
            return self._return_to_local(now_ms)
        return [self._acknowledge(now_ms)] if now_ms >= self._acknowledge_at_ms else []

    def connected(self, attempt: int, now_ms: float) -> list[ProxyEffect]:
        """Handles a new connection: the proxy subscribes."""
        if attempt != self._attempt or not self._has_attempt or self._connected:
            return []
        self._connected = True
        self._contact_deadline_ms = now_ms + self._timing.silence_timeout_ms
        self._lease_deadline_ms = now_ms + self._timing.lease_timeout_ms
        self._acknowledge_at_ms = now_ms + self._timing.acknowledge_interval_ms
        self._return_to_local_ms = now_ms + self._selector.stay_ms()
        effects: list[ProxyEffect] = [SendToControlNode(attempt, self._subscribe_message(now_ms))]
        if self._delivery.refused is not None:
            effects.append(self._acknowledge(now_ms))
        return effects

    def disconnected(self, attempt: int, now_ms: float) -> list[ProxyEffect]:
        """Handles the end of a connection, or of an attempt that has failed."""
        if attempt != self._attempt or not self._has_attempt:
            return []
        return self._fail_over("disconnected", now_ms, is_disconnected=True)

    def receive(self, attempt: int, message: NodeMessage, now_ms: float) -> list[ProxyEffect]:
        """Handles a message of the control node."""
        if attempt != self._attempt or not self._connected:
            return []
        if isinstance(message, Refusal):
            return self._fail_over(f"refuses: {message.reason}", now_ms)
        self._contact_deadline_ms = now_ms + self._timing.silence_timeout_ms
        self._last_node = self._selector.selected_node()
        try:
            match message:
                case SnapshotTransfer():
                    self._delivery.receive_snapshot(message.snapshot)
                case Entries():
                    self._delivery.receive_entries(message.previous, message.entries)
                case Heartbeat():
                    self._receive_heartbeat(message, now_ms)
        except DeliveryError as error:
            return self._fail_over(error.reason, now_ms)
        return self._advance(now_ms)

    def applied(self, index: int, now_ms: float) -> list[ProxyEffect]:
        """Handles the caller's report that the entry or snapshot of `index` is applied."""
        return self._advance(now_ms) if self._delivery.record_applied(index) else []

    def refused(
        self, index: int, reason: str, now_ms: float, kind: str = EntryKind.CONFIGURATION
    ) -> list[ProxyEffect]:
        """Handles the caller's report that the entry or snapshot of `index` could not be applied.

        What was applied before stays active. `kind` is as in `Delivery.record_refused`.
        """
        return self._advance(now_ms) if self._delivery.record_refused(index, reason, kind) else []

    def stop(self) -> list[ProxyEffect]:
        """Handles a graceful shutdown, after which the proxy does not count as hidden."""
        effects: list[ProxyEffect] = []
        if self._connected:
            effects.append(SendToControlNode(self._attempt, Goodbye()))
        if self._has_attempt:
            effects.append(DisconnectFromNode(self._attempt))
        self._release_node(NEVER)
        return effects

    # Connections

    def _connect(self, now_ms: float) -> list[ProxyEffect]:
        self._attempt += 1
        self._attempt_started_ms = now_ms
        self._has_attempt = True
        self._contact_deadline_ms = now_ms + self._timing.connect_timeout_ms
        return [ConnectToNode(self._selector.selected_node(), self._attempt)]

    def _subscribe_message(self, now_ms: float) -> Subscribe:
        last_node = self._last_node if self._last_node != self._selector.selected_node() else ""
        return Subscribe(
            self._proxy,
            self._run,
            self._attempt,
            self._log_name,
            self._delivery.received,
            self.position.index,
            now_ms,
            last_node,
        )

    def _fail_over(self, reason: str, now_ms: float, is_disconnected: bool = False) -> list[ProxyEffect]:
        """Leaves the control node for the next one, at once or after a backoff.

        `is_disconnected` says that there is no connection left to close.
        """
        self._last_failure = f"{self._selector.selected_node()}: {reason}"
        effects: list[ProxyEffect] = [] if is_disconnected else [DisconnectFromNode(self._attempt)]
        backoff_ms = self._selector.record_failure()
        self._release_node(now_ms + backoff_ms)
        return effects + (self._connect(now_ms) if not backoff_ms else [])

    def _return_to_local(self, now_ms: float) -> list[ProxyEffect]:
        """Leaves a control node of another region for one of the local region."""
        effects: list[ProxyEffect] = [DisconnectFromNode(self._attempt)]
        self._selector.return_to_local()
        self._release_node(now_ms)
        return effects + self._connect(now_ms)

    def _release_node(self, next_attempt_ms: float) -> None:
        """Resets the state of the connection; the next attempt is due at `next_attempt_ms`."""
        self._has_attempt = False
        self._connected = False
        self._contact_deadline_ms = next_attempt_ms
        self._acknowledge_at_ms = NEVER
        self._lease_deadline_ms = NEVER
        self._return_to_local_ms = NEVER
        self._lease_offers.clear()
        self._delivery.drop_pending()

    # Progress

    def _receive_heartbeat(self, message: Heartbeat, now_ms: float) -> None:
        received = self._delivery.received
        if message.committed.index == received.index and message.committed != received:
            raise DeliveryError("the digest at the commit index differs from the control node's")
        self._fleet_count = message.fleet
        if message.lease_ms > 0 and self._attempt_started_ms <= message.echo <= now_ms:
            self._lease_deadline_ms = now_ms + self._timing.lease_timeout_ms
            self._selector.record_served()
            self._lease_offers.append(
                LeaseOffer(message.committed, lease_end_ms(message.echo, message.lease_ms))
            )

    def _advance(self, now_ms: float) -> list[ProxyEffect]:
        """Applies, acknowledges and accepts leases as far as the latest message or report allows."""
        effects = self._apply_next()
        if self._connected and self.position.index > self._acknowledged_index:
            effects.append(self._acknowledge(now_ms))
        while self._lease_offers and self._has_applied(self._lease_offers[0].committed):
            self._lease_end_ms = max(self._lease_end_ms, self._lease_offers.popleft().end_ms)
        if self.is_current(now_ms):
            self.caught_up = True
        return effects

    def _has_applied(self, committed: Position) -> bool:
        """Returns whether all entries up to a position are applied; at its index the digest must match."""
        return self.position == committed or self.position.index > committed.index

    def _apply_next(self) -> list[ProxyEffect]:
        effect = self._delivery.next_to_apply()
        return [effect] if effect is not None else []

    def _acknowledge(self, now_ms: float) -> ProxyEffect:
        self._acknowledge_at_ms = now_ms + self._timing.acknowledge_interval_ms
        self._acknowledged_index = self.position.index
        refused = self._delivery.refused or NO_REFUSAL
        message = Acknowledge(self.position, now_ms, refused.index, refused.reason)
        return SendToControlNode(self._attempt, message)
