"""A control node as a whole: consensus, fan-out to proxies, proposals, and the counts of the fleet.

`ControlNode` is the one class that a transport needs at a control node. Every event returns effects to be
carried out in order: a `Write` is durable before what follows it is sent. Each event may change
`next_deadline`.
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
    AppendAnswer,
    AppendEntries,
    ConsensusMessage,
    FleetCount,
    FleetSummary,
    Goodbye,
    InstallSnapshot,
    PeerMessage,
    Propose,
    ProxyMessage,
    RequestVote,
    Subscribe,
    SubscriberMoved,
    SubscriberReport,
    VoteAnswer,
)
from cloverwell.control.proposals import Proposals
from cloverwell.control.storage import StoredState
from cloverwell.control.subscribers import SubscriberTable
from cloverwell.control.timing import ControlNodeTiming, FanoutTiming


class NodeStatus(msgspec.Struct, frozen=True):
    """The status of a control node for operators.

    `leader` is "" while none is known. `lease_ms` is the time for which `committed` may count as current.
    """

    role: Role
    term: int
    leader: str
    has_quorum: bool
    committed: Position
    lease_ms: float
    subscribers: int
    fleet: FleetCount


class ControlNode:
    """One control node. Every event takes the time in ms of this process's monotonic clock."""

    consensus_type = Consensus
    subscribers_type = SubscriberTable

    def __init__(
        self,
        node: str,
        nodes: tuple[str, ...],
        log_name: str,
        stored: StoredState,
        random: Random,
        now_ms: float,
        timing: ControlNodeTiming | None = None,
        fanout: FanoutTiming | None = None,
    ) -> None:
        """Starts the control node `node`, one of `nodes`, of the log `log_name` from what is stored."""
        self.node = node
        self.nodes = nodes
        self._timing = timing or ControlNodeTiming()
        self._fanout = fanout or FanoutTiming()
        self.consensus = self.consensus_type(node, nodes, stored, self._timing, random, now_ms)
        self.subscribers = self.subscribers_type(log_name, self.consensus.log, self._fanout)
        self._proposals = Proposals(self.consensus, self._timing)
        self._fleet_view: FleetView | None = None  # of the term `_fleet_view_term`, while this node leads
        self._fleet_view_term = 0
        self._fleet_count = FleetCount()  # the leader's latest count
        self._next_report_ms = now_ms + self._timing.report_interval_ms
        self._next_heartbeat_ms = now_ms + self._fanout.heartbeat_interval_ms

    # Queries

    def next_deadline(self) -> float:
        """Returns the time in ms at which `tick` must be called at the latest."""
        return min(
            self.consensus.next_deadline(),
            self._proposals.next_deadline(),
            self._next_report_ms,
            self._next_heartbeat_ms,
        )

    def status(self, now_ms: float) -> NodeStatus:
        """Returns the status for operators."""
        consensus = self.consensus
        return NodeStatus(
            consensus.role,
            consensus.term,
            consensus.leader,
            consensus.has_quorum(now_ms),
            consensus.log.committed,
            consensus.lease_ms(now_ms),
            self.subscribers.subscriber_count,
            self.fleet_count(now_ms),
        )

    def fleet_count(self, now_ms: float) -> FleetCount:
        """Returns the leader's latest count of proxies; it is incomplete where this node has no lease."""
        if self.consensus.lease_ms(now_ms) == 0:
            return FleetCount(self._fleet_count.alive, self._fleet_count.hidden, complete=False)
        return self._fleet_count

    def activation_count(self, index: int, now_ms: float) -> ActivationCount | None:
        """Returns at how many proxies an entry is active, or None on a node that does not lead."""
        if not self.consensus.is_leader or self._fleet_view is None:
            return None
        return self._fleet_view.activation_count(index, now_ms)

    # Events

    def tick(self, now_ms: float) -> list[NodeEffect]:
        """Handles the timers; to be called at `next_deadline`, and allowed at any other time."""
        effects = self._with_follow_up_effects(self.consensus.tick(now_ms), now_ms)
        if now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + self._timing.report_interval_ms
            effects += self._report(now_ms)
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + self._fanout.heartbeat_interval_ms
            effects += self.subscribers.expire(now_ms)
            effects += self.subscribers.heartbeats(
                self.consensus.lease_ms(now_ms), self.fleet_count(now_ms), now_ms
            )
        return effects

    def receive_peer(self, sender: str, message: PeerMessage, now_ms: float) -> list[NodeEffect]:
        """Handles a message of another control node, `sender` as the transport has authenticated it.

        Messages of other senders, and those that name another sender, are ignored.
        """
        if sender not in self.consensus.peers:
            return []
        match message:
            case SubscriberReport():
                if self._fleet_view is not None and message.node == sender:
                    self._fleet_view.record_report(message, now_ms)
                return []
            case FleetSummary():
                if message.term == self.consensus.term and sender == self.consensus.leader:
                    self._fleet_count = message.fleet
                return []
            case SubscriberMoved():
                return self.subscribers.handle_move(message)
        if _consensus_sender(message) != sender:
            return []
        return self._with_follow_up_effects(self.consensus.receive(message, now_ms), now_ms)

    def receive_proxy(self, connection_id: int, message: ProxyMessage, now_ms: float) -> list[NodeEffect]:
        """Handles a proxy's message; the transport gives each connection an id of its own."""
        match message:
            case Subscribe():
                return self._subscribe(connection_id, message, now_ms)
            case Acknowledge():
                return self.subscribers.acknowledge(connection_id, message, now_ms)
            case Goodbye():
                return self.subscribers.goodbye(connection_id)

    def proxy_disconnected(self, connection_id: int, now_ms: float) -> list[NodeEffect]:
        """Handles the end of a proxy's connection, whatever the reason."""
        self.subscribers.disconnected(connection_id, now_ms)
        return []

    def propose(self, request_id: int, message: Propose, now_ms: float) -> list[NodeEffect]:
        """Handles a proposal; one AnswerProposal with `request_id` is returned now or later."""
        return self._with_follow_up_effects(self._proposals.propose(request_id, message, now_ms), now_ms)

    # Steps

    def _subscribe(self, connection_id: int, message: Subscribe, now_ms: float) -> list[NodeEffect]:
        """Accepts or refuses a subscription.

        Once it is accepted, the proxy is sent a heartbeat, and its previous node is told of the move.
        """
        effects = self.subscribers.subscribe(connection_id, message, now_ms)
        if connection_id not in self.subscribers:
            return effects
        lease_ms = self.consensus.lease_ms(now_ms)
        effects += self.subscribers.heartbeat(connection_id, lease_ms, self.fleet_count(now_ms), now_ms)
        if message.last_node in self.consensus.peers:
            moved = SubscriberMoved(message.proxy, message.run, message.attempt)
            effects.append(SendToPeer(message.last_node, moved))
        return effects

    def _with_follow_up_effects(self, effects: list[NodeEffect], now_ms: float) -> list[NodeEffect]:
        """Returns the effects, followed by those that they cause for subscribers and proposers."""
        self._update_fleet_view(now_ms)
        if any(isinstance(effect, (EntriesCommitted, SnapshotInstalled)) for effect in effects):
            effects = effects + self.subscribers.send_due()
        return effects + self._proposals.answer_due(now_ms)

    def _update_fleet_view(self, now_ms: float) -> None:
        """Begins a view of the fleet with each term as leader, and ends it with the term."""
        if not self.consensus.is_leader:
            self._fleet_view = None
        elif self._fleet_view is None or self._fleet_view_term != self.consensus.term:
            self._fleet_view = FleetView(self.nodes, self._fanout.forget_after_ms, now_ms)
            self._fleet_view_term = self.consensus.term
            self._next_report_ms = now_ms

    def _report(self, now_ms: float) -> list[NodeEffect]:
        """Sends the leader this node's report or, at the leader, all other nodes the summary."""
        report = self.subscribers.report(self.node)
        if self._fleet_view is None:
            leader = self.consensus.leader
            return [SendToPeer(leader, report)] if leader else []
        self._fleet_view.record_report(report, now_ms)
        self._fleet_count = self._fleet_view.fleet_count(now_ms)
        summary = FleetSummary(self.consensus.term, self.node, self._fleet_count)
        return [SendToPeer(peer, summary) for peer in self.consensus.peers]


def _consensus_sender(message: ConsensusMessage) -> str:
    """Returns the control node that a consensus message names as its sender."""
    match message:
        case RequestVote():
            return message.candidate
        case VoteAnswer():
            return message.voter
        case AppendEntries() | InstallSnapshot():
            return message.leader
        case AppendAnswer():
            return message.follower
