"""A control node put together: the quorum's log, the fan-out to its proxies, proposals, and the counts of
the fleet.

This is the one class that a transport needs at a control node. Every event returns effects, to be
carried out in order: a `Write` is durable before what follows it is sent. After each event
`next_deadline` may have changed.
"""

from __future__ import annotations

from random import Random

import msgspec

from cloverwell.control.consensus import Consensus, Role
from cloverwell.control.effects import EntriesCommitted, NodeEffect, SendToPeer, SnapshotInstalled
from cloverwell.control.entry import Position
from cloverwell.control.fleet import ActivationCount, FleetView
from cloverwell.control.messages import (
    Acknowledge,
    FleetCount,
    FleetSummary,
    Goodbye,
    PeerMessage,
    Propose,
    ProxyMessage,
    Subscribe,
    SubscriberMoved,
    SubscriberReport,
)
from cloverwell.control.proposals import Proposals
from cloverwell.control.storage import StoredState
from cloverwell.control.subscribers import SubscriberTable
from cloverwell.control.timing import FanoutTiming, Timing


class NodeStatus(msgspec.Struct, frozen=True):
    """For operators. `leader`: "" while none is known. `lease_ms`: how long `committed` may count as
    current."""

    role: Role
    term: int
    leader: str
    has_quorum: bool
    committed: Position
    lease_ms: float
    subscribers: int
    fleet: FleetCount


class ControlNode:
    """One of `nodes`, the control nodes of the log `log_name`. Times: ms of this process's monotonic
    clock."""

    consensus_type = Consensus
    subscribers_type = SubscriberTable

    def __init__(
        self,
        node: str,
        nodes: tuple[str, ...],
        log_name: str,
        stored: StoredState,
        random: Random,
        now: float,
        timing: Timing | None = None,
        fanout: FanoutTiming | None = None,
    ) -> None:
        self.node = node
        self.nodes = nodes
        self._timing = timing or Timing()
        self._fanout = fanout or FanoutTiming()
        self.consensus = self.consensus_type(node, nodes, stored, self._timing, random, now)
        self.subscribers = self.subscribers_type(log_name, self.consensus.log, self._fanout)
        self._proposals = Proposals(self.consensus, self._timing)
        self._view: FleetView | None = None  # while this node leads, of its term
        self._view_term = 0
        self._fleet = FleetCount()  # as the leader told it last
        self._report_at = now + self._timing.report_ms
        self._heartbeat_at = now + self._fanout.heartbeat_ms

    # What others may ask

    def next_deadline(self) -> float:
        """When `tick` has something to do at the latest."""
        return min(
            self.consensus.next_deadline(),
            self._proposals.next_deadline(),
            self._report_at,
            self._heartbeat_at,
        )

    def status(self, now: float) -> NodeStatus:
        consensus = self.consensus
        return NodeStatus(
            consensus.role,
            consensus.term,
            consensus.leader,
            consensus.has_quorum(now),
            consensus.log.committed,
            consensus.lease_ms(now),
            self.subscribers.alive,
            self.fleet(now),
        )

    def fleet(self, now: float) -> FleetCount:
        """How many proxies live, as the leader knows it; not complete where this node has no lease."""
        if self.consensus.lease_ms(now) == 0:
            return FleetCount(self._fleet.alive, self._fleet.hidden, complete=False)
        return self._fleet

    def in_force(self, index: int, now: float) -> ActivationCount | None:
        """Where the entry at an index is in force; None on a node that doesn't lead."""
        return self._view.in_force(index, now) if self._leads() and self._view is not None else None

    # Events

    def tick(self, now: float) -> list[NodeEffect]:
        """To be called at `next_deadline`, or at any other time."""
        effects = self._settled(self.consensus.tick(now), now)
        if now >= self._report_at:
            self._report_at = now + self._timing.report_ms
            effects += self._report(now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._fanout.heartbeat_ms
            effects += self.subscribers.drop_silent(now)
            effects += self.subscribers.heartbeats(self.consensus.lease_ms(now), self.fleet(now), now)
        return effects

    def receive_peer(self, sender: str, message: PeerMessage, now: float) -> list[NodeEffect]:
        """A message of another control node; `sender` as the transport knows it. Others are ignored."""
        if sender not in self.consensus.peers:
            return []
        match message:
            case SubscriberReport():
                if self._view is not None and message.node == sender:
                    self._view.take(message, now)
                return []
            case FleetSummary():
                if message.term == self.consensus.term and sender == self.consensus.leader:
                    self._fleet = message.fleet
                return []
            case SubscriberMoved():
                return self.subscribers.moved(message)
        if message_sender(message) != sender:
            return []
        return self._settled(self.consensus.receive(message, now), now)

    def receive_proxy(self, connection: int, message: ProxyMessage, now: float) -> list[NodeEffect]:
        """A proxy's message over a connection; the transport gives each connection a number of its own."""
        match message:
            case Subscribe():
                return self._subscribe(connection, message, now)
            case Acknowledge():
                return self.subscribers.acknowledge(connection, message, now)
            case Goodbye():
                return self.subscribers.goodbye(connection)

    def proxy_disconnected(self, connection: int, now: float) -> list[NodeEffect]:
        """A proxy's connection has ended, whatever the reason."""
        self.subscribers.disconnected(connection, now)
        return []

    def propose(self, request: int, message: Propose, now: float) -> list[NodeEffect]:
        """A proposal; one AnswerProposal with the number `request` comes now or later."""
        return self._settled(self._proposals.propose(request, message, now), now)

    # Steps

    def _subscribe(self, connection: int, message: Subscribe, now: float) -> list[NodeEffect]:
        """Takes or refuses it; a heartbeat follows at once, and the node that had the proxy before is
        told."""
        effects = self.subscribers.subscribe(connection, message, now)
        if connection not in self.subscribers:
            return effects
        lease_ms = self.consensus.lease_ms(now)
        effects += self.subscribers.heartbeat(connection, lease_ms, self.fleet(now), now)
        if message.last_node in self.consensus.peers:
            moved = SubscriberMoved(message.proxy, message.run, message.attempt)
            effects.append(SendToPeer(message.last_node, moved))
        return effects

    def _leads(self) -> bool:
        return self.consensus.is_leader

    def _settled(self, effects: list[NodeEffect], now: float) -> list[NodeEffect]:
        """The effects with what follows from them: to proxies what was committed, to proposers their
        answers."""
        self._follow_leadership(now)
        if any(isinstance(effect, (EntriesCommitted, SnapshotInstalled)) for effect in effects):
            effects = effects + self.subscribers.feed()
        return effects + self._proposals.settle(now)

    def _follow_leadership(self, now: float) -> None:
        """A view of the fleet begins with a term as leader and ends with it."""
        if not self._leads():
            self._view = None
        elif self._view is None or self._view_term != self.consensus.term:
            self._view = FleetView(self.nodes, self._fanout.forget_ms, now)
            self._view_term = self.consensus.term
            self._report_at = now

    def _report(self, now: float) -> list[NodeEffect]:
        """To the leader this node's sums; from the leader to all what they come to."""
        report = self.subscribers.report(self.node)
        if self._view is None:
            leader = self.consensus.leader
            return [SendToPeer(leader, report)] if leader else []
        self._view.take(report, now)
        self._fleet = self._view.count(now)
        summary = FleetSummary(self.consensus.term, self.node, self._fleet)
        return [SendToPeer(peer, summary) for peer in self.consensus.peers]


def message_sender(message: PeerMessage) -> str:
    """The control node that a consensus message names as its sender."""
    for name in ("candidate", "voter", "leader", "follower"):
        if (sender := getattr(message, name, None)) is not None:
            return sender
    return ""
