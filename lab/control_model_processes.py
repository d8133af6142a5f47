"""The processes of the model check: the real modules with their storage, as values to copy and compare.

Time stands still, and every timeout is 0 or endless: any timer may fire at any time, and none has to. So a
step is a function of a process's state and an event, and is computed once; `Interner` numbers the states.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Generic, TypeVar

import msgspec

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import ApplyEntry, ApplySnapshot, NodeEffect, ProxyEffect
from cloverwell.control.entry import START_POSITION, EntryKind, LogState, Position, Snapshot
from cloverwell.control.messages import NodeMessage, PeerMessage, Propose, ProxyMessage, VoteAnswer
from cloverwell.control.storage import StoredState, Write
from cloverwell.control.subscription import Subscription
from cloverwell.control.timing import ControlNodeTiming, FanoutTiming, SubscriptionTiming

NOW = 0.0
ENDLESS = 1e12
LOG_NAME = "main"
STATUS_ATTRIBUTES = {"_last_failure"}  # shown to operators, and without influence on any decision
TIMING = ControlNodeTiming(
    heartbeat_interval_ms=0.0,
    min_election_timeout_ms=0.0,
    max_election_timeout_ms=0.0,
    quorum_timeout_ms=ENDLESS,
    step_down_timeout_ms=ENDLESS,
    snapshot_retry_interval_ms=0.0,
    max_append_entries=1,
    proposal_timeout_ms=ENDLESS,
    keep_entries=2,
    report_interval_ms=ENDLESS,
)
FANOUT = FanoutTiming(
    heartbeat_interval_ms=ENDLESS,
    silence_timeout_ms=ENDLESS,
    forget_after_ms=ENDLESS,
    window_entries=1,
    max_entries_behind=2,
)
SUBSCRIPTION = SubscriptionTiming(
    connect_timeout_ms=ENDLESS,
    silence_timeout_ms=ENDLESS,
    lease_timeout_ms=ENDLESS,
    initial_backoff_ms=0.0,
    max_backoff_ms=0.0,
)

Value = TypeVar("Value")


class ConstantRandom(Random):
    """A random source that draws the lowest value and leaves orders as they are."""

    def uniform(self, a: float, b: float) -> float:
        """Returns the lowest value."""
        return min(a, b)

    def sample(
        self,
        population: Sequence[Value],
        k: int,
        *,
        counts: object = None,
    ) -> list[Value]:
        """Returns the first `k` values."""
        assert counts is None, "the control modules draw without counts"
        return list(population)[:k]

    def __reduce__(self) -> tuple[type[ConstantRandom], tuple[()]]:
        """Makes copies new objects, as there is no state."""
        return ConstantRandom, ()


def freeze(value: object) -> Hashable:
    """Returns a hashable value, equal for objects of equal state; random sources and timings don't count."""
    if isinstance(value, (str, bytes, int, float, type(None), Enum)):
        return value
    if isinstance(value, (list, tuple, deque)):
        return tuple(freeze(item) for item in value)
    if isinstance(value, dict):
        return tuple(sorted((freeze(key), freeze(item)) for key, item in value.items()))
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(freeze(item) for item in value))  # type: ignore[type-var]
    if isinstance(value, type):
        return value.__name__
    if isinstance(value, (Random, ControlNodeTiming, FanoutTiming, SubscriptionTiming)):
        return ""
    return (type(value).__name__, *(freeze(getattr(value, name)) for name in _attribute_names(value)))


def _attribute_names(value: object) -> Sequence[str]:
    if isinstance(value, msgspec.Struct):
        return value.__struct_fields__
    slots: Sequence[str] | None = getattr(value, "__slots__", None)
    return slots if slots is not None else sorted(vars(value).keys() - STATUS_ATTRIBUTES)


class Interner(Generic[Value]):
    """Numbers for values, the same for equal ones; a value is handed out as a copy of its own."""

    def __init__(self) -> None:
        """Starts without values."""
        self._numbers: dict[Hashable, int] = {}
        self._pickles: list[bytes] = []

    def number(self, value: Value) -> int:
        """Returns the number of a value."""
        key = freeze(value)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._pickles)
            self._pickles.append(pickle.dumps(value, pickle.HIGHEST_PROTOCOL))
        return number

    def copy(self, number: int) -> Value:
        """Returns a copy of the value with a number."""
        value: Value = pickle.loads(self._pickles[number])
        return value


class ModelNode:
    """A control node and its storage."""

    def __init__(self, name: str, nodes: tuple[str, ...], node_type: type[ControlNode]) -> None:
        """Starts the control node `name` with an empty storage."""
        self.name = name
        self.nodes = nodes
        self.node_type = node_type
        self.stored = StoredState()
        self.restart()

    def restart(self) -> list[NodeEffect]:
        """Starts again from what is stored."""
        self.node = self.node_type(
            self.name, self.nodes, LOG_NAME, self.stored, ConstantRandom(), NOW, TIMING, FANOUT
        )
        return []

    def tick(self) -> list[NodeEffect]:
        """Lets a timer fire."""
        return self._store(self.node.tick(NOW))

    def start_election(self) -> list[NodeEffect]:
        """Lets the election timer fire, and grants the pre-vote of a quorum whether it would or not."""
        self.node.tick(NOW)
        consensus = self.node.consensus
        effects: list[NodeEffect] = []
        for peer in consensus.peers[: consensus.quorum_size - 1]:
            answer = VoteAnswer(consensus.term, peer, consensus.term + 1, True, pre_vote=True)
            effects += self.node.receive_peer(peer, answer, NOW)
        return self._store(effects)

    def propose(self) -> list[NodeEffect]:
        """Proposes an entry with an identifier that no other one has."""
        consensus = self.node.consensus
        proposal = f"{self.name} {consensus.term} {consensus.log.last_index}"
        message = Propose(proposal, EntryKind.CONFIGURATION, proposal.encode())
        return self._store(self.node.propose(0, message, NOW))

    def receive_peer(self, sender: str, message: PeerMessage) -> list[NodeEffect]:
        """Handles a message of another control node."""
        return self._store(self.node.receive_peer(sender, message, NOW))

    def receive_proxy(self, connection: int, message: ProxyMessage) -> list[NodeEffect]:
        """Handles a message of a proxy."""
        return self._store(self.node.receive_proxy(connection, message, NOW))

    def disconnected(self, connection: int) -> list[NodeEffect]:
        """Handles the end of a proxy's connection."""
        return self._store(self.node.proxy_disconnected(connection, NOW))

    def _store(self, effects: list[NodeEffect]) -> list[NodeEffect]:
        for effect in effects:
            if isinstance(effect, Write):
                self.stored = self.stored.after(effect)
        return effects


@dataclass
class AppliedLog:
    """What a proxy has applied, as a process after it may find it saved."""

    position: Position = START_POSITION
    state: LogState = LogState()  # noqa: RUF009 -- frozen
    term: int = 0


class Saved(Enum):
    """What a proxy finds saved when it starts."""

    NOTHING = "nothing"
    OWN = "its own"
    DAMAGED = "damaged"  # the checksum does not match
    FOREIGN = "another log's"  # of the same length, and intact
    AHEAD = "ahead"  # intact, and longer than any log here


class ProxyStarted(msgspec.Struct, frozen=True):
    """Stands first among a proxy's effects at its start: what it has found saved, if it is intact."""

    saved: Snapshot | None


ModelProxyEffect = ProxyEffect | ProxyStarted


class ModelProxy:
    """A proxy that applies at once whatever it is given."""

    def __init__(self, name: str, nodes: tuple[str, ...]) -> None:
        """Prepares the proxy `name`, which tries `nodes` in their order; `start` starts it."""
        self.name = name
        self.nodes = nodes
        self.run = 0
        self.applied = AppliedLog()

    def start(self, saved: Saved) -> list[ModelProxyEffect]:
        """Starts a new process with what it finds saved."""
        self.run += 1
        snapshot = self._find_saved(saved)
        self.applied = AppliedLog()
        groups = (self.nodes,)
        self.subscription = Subscription(
            self.name, self.run, LOG_NAME, groups, ConstantRandom(), NOW, snapshot, SUBSCRIPTION
        )
        intact = snapshot if snapshot is not None and snapshot.is_intact else None
        return [ProxyStarted(intact), *self._apply_all(self.subscription.start(NOW))]

    def connected(self, attempt: int) -> list[ProxyEffect]:
        """Handles a new connection."""
        return self._apply_all(self.subscription.connected(attempt, NOW))

    def disconnected(self, attempt: int) -> list[ProxyEffect]:
        """Handles the end of a connection."""
        return self._apply_all(self.subscription.disconnected(attempt, NOW))

    def receive(self, attempt: int, message: NodeMessage) -> list[ProxyEffect]:
        """Handles a message of a control node."""
        return self._apply_all(self.subscription.receive(attempt, message, NOW))

    def _apply_all(self, effects: list[ProxyEffect]) -> list[ProxyEffect]:
        """Applies what is given out; returns the effects with those that follow from that."""
        handled: list[ProxyEffect] = []
        while effects:
            effect = effects.pop(0)
            handled.append(effect)
            if isinstance(effect, ApplyEntry):
                self.applied.state = self.applied.state.after(effect.entry)
                self.applied.term = effect.entry.term
                effects += self._report_applied(effect.entry.index)
            elif isinstance(effect, ApplySnapshot):
                self.applied.state = effect.snapshot.state
                self.applied.term = effect.snapshot.term
                effects += self._report_applied(effect.snapshot.position.index)
        return handled

    def _report_applied(self, index: int) -> list[ProxyEffect]:
        effects = self.subscription.applied(index, NOW)
        self.applied.position = self.subscription.position
        return effects

    def _find_saved(self, saved: Saved) -> Snapshot | None:
        applied = self.applied
        index = applied.position.index
        match saved:
            case Saved.NOTHING:
                return None
            case Saved.OWN:
                return Snapshot.of(applied.position, applied.term, applied.state)
            case Saved.DAMAGED:
                return Snapshot(applied.position, applied.term, applied.state, b"damaged")
            case Saved.FOREIGN:
                return self._foreign_snapshot(index)
            case Saved.AHEAD:
                return self._foreign_snapshot(index + 100)

    def _foreign_snapshot(self, index: int) -> Snapshot:
        position = Position(max(index, 1), b"another log's")
        return Snapshot.of(position, self.applied.term, LogState())
