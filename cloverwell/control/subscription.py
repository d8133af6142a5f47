"""The proxy's side of the control log: one control node at a time, entries loaded in order, and a lease.

A proxy without control goes on serving by what it has, unchanged; only its `current` ends, with the
lease. Loading is the caller's: one entry or snapshot at a time is given out and told back as loaded or
refused. A refused entry is passed over, stays told to the control node, and the next of its kind takes
its place.
"""

from __future__ import annotations

from collections import deque
from random import Random

import msgspec

from cloverwell.control.delivery import Delivery, DeliveryError
from cloverwell.control.effects import ConnectToNode, DisconnectFromNode, ProxyEffect, SendToControlNode
from cloverwell.control.entry import EntryKind, Position, Snapshot
from cloverwell.control.fleet import divide_by
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
from cloverwell.control.node_selection import NodeChoice
from cloverwell.control.timing import SubscriptionTiming, lease_end

MAX_LEASE_OFFERS = 8
NEVER = float("inf")


class LeaseOffer(msgspec.Struct, frozen=True):
    """A lease until `until` for who has taken in the log up to `committed`, or further."""

    committed: Position
    until: float


class SubscriptionStatus(msgspec.Struct, frozen=True):
    """For operators. `refused_index`: of the entry that could not be loaded and that none of its kind has
    replaced, 0: none. `last_failure`: why a control node was left last, "" if none was."""

    position: Position
    current: bool
    caught_up: bool
    gave_up: bool
    node: str
    refused_index: int
    refused_reason: str
    last_failure: str
    fleet: FleetCount


class Subscription:
    """One proxy's subscription to the log `log_name`; times are ms of its own monotonic clock.

    `proxy` and `run`: as in `Subscribe`. `nodes`: groups of control nodes, the own region's first;
    within a group they are tried in an order of this proxy's own, which `random` draws. `saved`: what a
    process before this one had; it is loaded at once and followed from there, or dropped if it isn't
    intact.
    """

    def __init__(
        self,
        proxy: str,
        run: int,
        log_name: str,
        nodes: tuple[tuple[str, ...], ...],
        random: Random,
        now: float,
        saved: Snapshot | None = None,
        timing: SubscriptionTiming | None = None,
    ) -> None:
        self._proxy = proxy
        self._run = run
        self._log_name = log_name
        self._timing = timing or SubscriptionTiming()
        self._choice = NodeChoice(nodes, self._timing, random)
        self._delivery = Delivery()
        self._saved = saved
        self._attempt = 0  # the number of the present connection or try, 0 before the first
        self._attempt_at = now
        self._trying = False
        self._connected = False
        self._last_node = ""
        self._last_failure = ""
        self._deadline = now  # of the present node to be heard of; where there is none, of the next try
        self._acknowledge_at = NEVER
        self._acknowledged_index = 0
        self._offers: deque[LeaseOffer] = deque(maxlen=MAX_LEASE_OFFERS)
        self._lease_until = float("-inf")
        self._lease_wanted_by = NEVER  # without a lease by then, another node is tried
        self._home_at = NEVER  # then a node of the own region is tried again
        self._wait_until = now + self._timing.wait_ms
        self._fleet = FleetCount()
        self.caught_up = False  # at some time since the start, all that was committed was loaded here

    # What others may ask

    @property
    def position(self) -> Position:
        """All entries up to here are loaded, or refused and passed over."""
        return self._delivery.position

    def next_deadline(self) -> float:
        """When `tick` has something to do at the latest."""
        return min(self._deadline, self._acknowledge_at, self._lease_wanted_by, self._home_at)

    def current(self, now: float) -> bool:
        """Whether all that was committed LEASE_MS ago is loaded, or was refused, here. Else: stale."""
        return now < self._lease_until

    def ready(self, now: float) -> bool:
        """Whether a starting proxy need not wait any longer: it is caught up, or has waited for the bound."""
        return self.caught_up or now >= self._wait_until

    def divide_by(self, provisioned: int, now: float) -> int:
        """By what a fleet-wide bound is divided at this proxy: see `fleet.divide_by`."""
        return divide_by(self._fleet, provisioned, self.current(now))

    def status(self, now: float) -> SubscriptionStatus:
        refused = self._delivery.refused
        return SubscriptionStatus(
            self.position,
            self.current(now),
            self.caught_up,
            not self.caught_up and self.ready(now),
            self._choice.node() if self._connected else "",
            refused.index if refused else 0,
            refused.reason if refused else "",
            self._last_failure,
            self._fleet,
        )

    # Events

    def start(self, now: float) -> list[ProxyEffect]:
        """The first event. What was saved is given out to be loaded, if it is intact."""
        if self._saved is not None and self._saved.intact:
            self._delivery.take_snapshot(self._saved)
        self._saved = None
        return [*self._loads(), *self._try_node(now)]

    def tick(self, now: float) -> list[ProxyEffect]:
        """To be called at `next_deadline`, or at any other time."""
        if now >= self._deadline:
            return self._fail("silent", now) if self._trying else self._try_node(now)
        if now >= self._lease_wanted_by:
            return self._fail("gives no lease", now)
        if now >= self._home_at:
            return self._go_home(now)
        return [self._acknowledge(now)] if now >= self._acknowledge_at else []

    def connected(self, attempt: int, now: float) -> list[ProxyEffect]:
        if attempt != self._attempt or not self._trying or self._connected:
            return []
        self._connected = True
        self._deadline = now + self._timing.silence_timeout_ms
        self._lease_wanted_by = now + self._timing.lease_timeout_ms
        self._acknowledge_at = now + self._timing.acknowledge_ms
        self._home_at = now + self._choice.away_ms()
        subscribe = Subscribe(
            self._proxy,
            self._run,
            attempt,
            self._log_name,
            self._delivery.received,
            self.position.index,
            now,
            self._last_node if self._last_node != self._choice.node() else "",
        )
        effects: list[ProxyEffect] = [SendToControlNode(attempt, subscribe)]
        if self._delivery.refused is not None:
            effects.append(self._acknowledge(now))
        return effects

    def disconnected(self, attempt: int, now: float) -> list[ProxyEffect]:
        """The connection has ended, or could not be made."""
        if attempt != self._attempt or not self._trying:
            return []
        return self._fail("disconnected", now, ended=True)

    def receive(self, attempt: int, message: NodeMessage, now: float) -> list[ProxyEffect]:
        if attempt != self._attempt or not self._connected:
            return []
        if isinstance(message, Refusal):
            return self._fail(f"refuses: {message.reason}", now)
        self._deadline = now + self._timing.silence_timeout_ms
        self._last_node = self._choice.node()
        try:
            match message:
                case SnapshotTransfer():
                    self._delivery.take_snapshot(message.snapshot)
                case Entries():
                    self._delivery.take_entries(message.previous, message.entries)
                case Heartbeat():
                    self._take_heartbeat(message, now)
        except DeliveryError as error:
            return self._fail(str(error), now)
        return self._advanced(now)

    def loaded(self, index: int, now: float) -> list[ProxyEffect]:
        """What was given out to be loaded up to `index` is in force."""
        return self._advanced(now) if self._delivery.loaded(index) else []

    def refused(
        self, index: int, reason: str, now: float, kind: str = EntryKind.CONFIGURATION
    ) -> list[ProxyEffect]:
        """What was given out could not be loaded; what was in force before still is. `kind`: see
        `Delivery`."""
        return self._advanced(now) if self._delivery.refuse(index, reason, kind) else []

    def stop(self) -> list[ProxyEffect]:
        """The proxy stops in good order: it won't be counted as one that may live unseen."""
        effects: list[ProxyEffect] = []
        if self._connected:
            effects.append(SendToControlNode(self._attempt, Goodbye()))
        if self._trying:
            effects.append(DisconnectFromNode(self._attempt))
        self._let_go(NEVER)
        return effects

    # Steps

    def _try_node(self, now: float) -> list[ProxyEffect]:
        self._attempt += 1
        self._attempt_at = now
        self._trying = True
        self._deadline = now + self._timing.connect_timeout_ms
        return [ConnectToNode(self._choice.node(), self._attempt)]

    def _fail(self, reason: str, now: float, ended: bool = False) -> list[ProxyEffect]:
        """Leaves the present node for the next one, at once or after a while."""
        self._last_failure = f"{self._choice.node()}: {reason}"
        effects: list[ProxyEffect] = [] if ended else [DisconnectFromNode(self._attempt)]
        wait = self._choice.failed()
        self._let_go(now + wait)
        return effects + (self._try_node(now) if not wait else [])

    def _go_home(self, now: float) -> list[ProxyEffect]:
        effects: list[ProxyEffect] = [DisconnectFromNode(self._attempt)]
        self._choice.go_home()
        self._let_go(now)
        return effects + self._try_node(now)

    def _let_go(self, next_try_at: float) -> None:
        self._trying = self._connected = False
        self._deadline = next_try_at
        self._acknowledge_at = self._lease_wanted_by = self._home_at = NEVER
        self._offers.clear()
        self._delivery.drop_pending()

    def _take_heartbeat(self, message: Heartbeat, now: float) -> None:
        received = self._delivery.received
        if message.committed.index == received.index and message.committed != received:
            raise DeliveryError("digest: this is not what the log holds")
        self._fleet = message.fleet
        if message.lease_ms > 0 and self._attempt_at <= message.echo <= now:
            self._lease_wanted_by = now + self._timing.lease_timeout_ms
            self._choice.served()
            self._offers.append(LeaseOffer(message.committed, lease_end(message.echo, message.lease_ms)))

    def _advanced(self, now: float) -> list[ProxyEffect]:
        """After news or a load: what to load next, what to acknowledge, which lease has been reached."""
        effects = self._loads()
        if self._connected and self._delivery.position.index > self._acknowledged_index:
            effects.append(self._acknowledge(now))
        while self._offers and self._reached(self._offers[0].committed):
            self._lease_until = max(self._lease_until, self._offers.popleft().until)
        if self.current(now):
            self.caught_up = True
        return effects

    def _reached(self, committed: Position) -> bool:
        """Whether all up to there is loaded here; of two positions of one index only the same is meant."""
        return self.position == committed or self.position.index > committed.index

    def _loads(self) -> list[ProxyEffect]:
        load = self._delivery.next_load()
        return [load] if load is not None else []

    def _acknowledge(self, now: float) -> ProxyEffect:
        self._acknowledge_at = now + self._timing.acknowledge_ms
        self._acknowledged_index = self.position.index
        refused = self._delivery.refused
        message = Acknowledge(
            self.position, now, refused.index if refused else 0, refused.reason if refused else ""
        )
        return SendToControlNode(self._attempt, message)
