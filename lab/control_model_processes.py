"""The processes of the model check: the real modules, with their stores, as values that can be copied and
compared.

Time stands still and every bound in ms is 0 or endless: any timer may fire at any time, none has to. So
a step is a function of a process's state and an event, and is worked out once; `Interner` keeps both by
number.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

import msgspec

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import ApplyEntry, ApplySnapshot, NodeEffect, ProxyEffect
from cloverwell.control.entry import START, EntryKind, LogState, Position, Snapshot
from cloverwell.control.messages import NodeMessage, PeerMessage, Propose, ProxyMessage, VoteAnswer
from cloverwell.control.storage import StoredState, Write
from cloverwell.control.subscription import Subscription
from cloverwell.control.timing import FanoutTiming, SubscriptionTiming, Timing

NOW = 0.0
ENDLESS = 1e12
LOG_NAME = "main"
ONLY_TOLD = {"_last_failure"}  # attributes that operators see and that decide nothing
TIMING = Timing(
    heartbeat_ms=0.0,
    election_min_ms=0.0,
    election_max_ms=0.0,
    quorum_ms=ENDLESS,
    step_down_ms=ENDLESS,
    snapshot_retry_ms=0.0,
    append_entries=1,
    proposal_ms=ENDLESS,
    keep_entries=2,
    report_ms=ENDLESS,
)
FANOUT = FanoutTiming(
    heartbeat_ms=ENDLESS, silence_timeout_ms=ENDLESS, forget_ms=ENDLESS, window_entries=1, tail_entries=2
)
SUBSCRIPTION = SubscriptionTiming(
    connect_timeout_ms=ENDLESS,
    silence_timeout_ms=ENDLESS,
    backoff_ms=0.0,
    backoff_max_ms=0.0,
    lease_timeout_ms=ENDLESS,
)


class NoChance(Random):
    """Draws the lowest, and leaves orders as they are."""

    def uniform(self, a: float, b: float) -> float:
        return a

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list:
        return list(population)[:k]

    def __reduce__(self) -> tuple:
        return NoChance, ()


def freeze(value: Any) -> Hashable:
    """A value that is equal for equal states: what an object holds, without its chance and its constants."""
    if isinstance(value, (str, bytes, int, float, type(None), Enum)):
        return value
    if isinstance(value, (list, tuple, deque)):
        return tuple(freeze(item) for item in value)
    if isinstance(value, dict):
        return tuple(sorted((freeze(key), freeze(item)) for key, item in value.items()))
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(freeze(item) for item in value))
    if isinstance(value, type):
        return value.__name__
    if isinstance(value, (Random, Timing, FanoutTiming, SubscriptionTiming)):
        return ""
    if isinstance(value, msgspec.Struct):
        return (type(value).__name__, *(freeze(getattr(value, name)) for name in value.__struct_fields__))
    names = value.__slots__ if hasattr(value, "__slots__") else sorted(vars(value).keys() - ONLY_TOLD)
    return (type(value).__name__, *(freeze(getattr(value, name)) for name in names))


class Interner:
    """Values by number, equal ones by the same; each is given out as a copy of its own."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self._pickles: list[bytes] = []

    def number(self, value: Any) -> int:
        key = freeze(value)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._pickles)
            self._pickles.append(pickle.dumps(value, pickle.HIGHEST_PROTOCOL))
        return number

    def copy(self, number: int) -> Any:
        return pickle.loads(self._pickles[number])

    def __len__(self) -> int:
        return len(self._pickles)


class NodeCell:
    """A control node and its disk."""

    def __init__(self, name: str, nodes: tuple[str, ...], node_type: type[ControlNode]) -> None:
        self.name, self.nodes, self.node_type = name, nodes, node_type
        self.stored = StoredState()
        self.restart()

    def __getstate__(self) -> dict[str, Any]:
        return self.__dict__

    def restart(self) -> list[NodeEffect]:
        self.node = self.node_type(
            self.name, self.nodes, LOG_NAME, self.stored, NoChance(), NOW, TIMING, FANOUT
        )
        return []

    def tick(self) -> list[NodeEffect]:
        return self._written(self.node.tick(NOW))

    def stand(self) -> list[NodeEffect]:
        """Its timer fires, and it is told that it would win, whether it would or not."""
        self.node.tick(NOW)
        consensus = self.node.consensus
        answers = [
            VoteAnswer(consensus.term, peer, consensus.term + 1, True, pre_vote=True)
            for peer in consensus.peers[: consensus.quorum - 1]
        ]
        effects = [
            effect for answer in answers for effect in self.node.receive_peer(answer.voter, answer, NOW)
        ]
        return self._written(effects)

    def propose(self) -> list[NodeEffect]:
        """A change, of an id that no other has."""
        consensus = self.node.consensus
        proposal = f"{self.name} {consensus.term} {consensus.log.last_index}"
        message = Propose(proposal, EntryKind.CONFIGURATION, proposal.encode())
        return self._written(self.node.propose(0, message, NOW))

    def receive_peer(self, sender: str, message: PeerMessage) -> list[NodeEffect]:
        return self._written(self.node.receive_peer(sender, message, NOW))

    def receive_proxy(self, connection: int, message: ProxyMessage) -> list[NodeEffect]:
        return self._written(self.node.receive_proxy(connection, message, NOW))

    def disconnected(self, connection: int) -> list[NodeEffect]:
        return self._written(self.node.proxy_disconnected(connection, NOW))

    def _written(self, effects: list[NodeEffect]) -> list[NodeEffect]:
        for effect in effects:
            if isinstance(effect, Write):
                self.stored = self.stored.after(effect)
        return effects


@dataclass
class Kept:
    """What a proxy has loaded in all its runs, as a process after it may find it."""

    position: Position = START
    state: LogState = LogState()  # noqa: RUF009 -- frozen
    term: int = 0


class Saved(Enum):
    """What a proxy that starts again finds."""

    NOTHING = "nothing"
    OWN = "its own"
    DAMAGED = "damaged"  # the checksum tells
    FOREIGN = "another log's"  # of the same length, and intact
    AHEAD = "ahead"  # intact, and longer than any log here


class Started(msgspec.Struct, frozen=True):
    """Stands among a proxy's effects at its start: what it has found, if it can be loaded."""

    saved: Snapshot | None


class ProxyCell:
    """A proxy that loads at once whatever it is given."""

    def __init__(self, name: str, nodes: tuple[str, ...]) -> None:
        self.name, self.nodes = name, nodes
        self.run = 0
        self.kept = Kept()

    def start(self, saved: Saved) -> list[ProxyEffect | Started]:
        self.run += 1
        snapshot = self._saved(saved)
        self.kept = Kept()
        groups = (self.nodes,)
        self.subscription = Subscription(
            self.name, self.run, LOG_NAME, groups, NoChance(), NOW, snapshot, SUBSCRIPTION
        )
        loadable = snapshot if snapshot is not None and snapshot.intact else None
        return [Started(loadable), *self._loaded(self.subscription.start(NOW))]

    def connected(self, attempt: int) -> list[ProxyEffect]:
        return self._loaded(self.subscription.connected(attempt, NOW))

    def disconnected(self, attempt: int) -> list[ProxyEffect]:
        return self._loaded(self.subscription.disconnected(attempt, NOW))

    def receive(self, attempt: int, message: NodeMessage) -> list[ProxyEffect]:
        return self._loaded(self.subscription.receive(attempt, message, NOW))

    def _loaded(self, effects: list[ProxyEffect]) -> list[ProxyEffect]:
        """The effects, with those of loading what they give out."""
        done: list[ProxyEffect] = []
        while effects:
            effect = effects.pop(0)
            done.append(effect)
            if isinstance(effect, ApplyEntry):
                self.kept.state = self.kept.state.after(effect.entry)
                self.kept.term = effect.entry.term
                effects += self._keep(effect.entry.index)
            elif isinstance(effect, ApplySnapshot):
                self.kept.state, self.kept.term = effect.snapshot.state, effect.snapshot.term
                effects += self._keep(effect.snapshot.position.index)
        return done

    def _keep(self, index: int) -> list[ProxyEffect]:
        effects = self.subscription.loaded(index, NOW)
        self.kept.position = self.subscription.position
        return effects

    def _saved(self, saved: Saved) -> Snapshot | None:
        kept = self.kept
        if saved is Saved.NOTHING:
            return None
        if saved is Saved.OWN:
            return Snapshot.of(kept.position, kept.term, kept.state)
        if saved is Saved.DAMAGED:
            return Snapshot(kept.position, kept.term, kept.state, b"damaged")
        index = kept.position.index if saved is Saved.FOREIGN else kept.position.index + 100
        return Snapshot.of(Position(max(index, 1), b"another log's"), kept.term, LogState())
