"""Accepts proposals at a control node, tracks those that await their commit, and answers each."""

from __future__ import annotations

import msgspec

from cloverwell.control.consensus import Consensus
from cloverwell.control.effects import AnswerProposal, NodeEffect
from cloverwell.control.entry import MAX_PAYLOAD_BYTES, Entry, EntryKind
from cloverwell.control.messages import ANY_INDEX, ProposalAnswer, ProposalOutcome, Propose
from cloverwell.control.timing import ControlNodeTiming

MAX_PROPOSAL_CHARS = 200
PROPOSABLE_KINDS = frozenset(EntryKind) - {EntryKind.NOOP}


class PendingProposal(msgspec.Struct, frozen=True):
    """A proposal whose entry is in the leader's log and is not known to be committed yet."""

    request_id: int
    proposal: str
    index: int
    deadline_ms: float


class Proposals:
    """The proposals at one control node.

    Each is answered exactly once, at the latest `ControlNodeTiming.proposal_timeout_ms` after it was made.
    """

    def __init__(self, consensus: Consensus, timing: ControlNodeTiming) -> None:
        """Proposes to `consensus`, with the bounds of `timing`."""
        self._consensus = consensus
        self._timing = timing
        self._pending: list[PendingProposal] = []
        self._pending_term = 0  # the term in which the pending proposals were accepted

    def next_deadline(self) -> float:
        """Returns the time in ms at which `answer_due` must be called at the latest."""
        return min((pending.deadline_ms for pending in self._pending), default=float("inf"))

    def propose(self, request_id: int, message: Propose, now_ms: float) -> list[NodeEffect]:
        """Accepts or rejects a proposal; `request_id` is the caller's id for the answer."""
        rejection = self._find_rejection(message, now_ms)
        if rejection is not None:
            return [self._answer(request_id, message.proposal, rejection)]
        index = self._find_index(message.proposal)
        if index is not None and index <= self._consensus.log.commit_index:
            return [self._answer(request_id, message.proposal, ProposalOutcome.COMMITTED, index)]
        if len(self._pending) >= self._timing.max_pending_proposals:
            return [self._answer(request_id, message.proposal, ProposalOutcome.BUSY)]
        if index is None and not self._expectation_holds(message):
            return [self._answer(request_id, message.proposal, ProposalOutcome.CONFLICT)]
        effects: list[NodeEffect] = []
        if index is None:
            effects = self._consensus.propose(message.kind, message.payload, message.proposal, now_ms)
            index = self._consensus.log.last_index
        deadline_ms = now_ms + self._timing.proposal_timeout_ms
        self._pending.append(PendingProposal(request_id, message.proposal, index, deadline_ms))
        self._pending_term = self._consensus.term
        return effects

    def answer_due(self, now_ms: float) -> list[NodeEffect]:
        """Returns the answers that are due; must be called after each event."""
        if not self._pending:
            return []
        answers: list[NodeEffect] = []
        still_pending: list[PendingProposal] = []
        for pending in self._pending:
            outcome = self._decided_outcome(pending, now_ms)
            if outcome is None:
                still_pending.append(pending)
                continue
            index = pending.index if outcome is ProposalOutcome.COMMITTED else 0
            answers.append(self._answer(pending.request_id, pending.proposal, outcome, index))
        self._pending = still_pending
        return answers

    def _decided_outcome(self, pending: PendingProposal, now_ms: float) -> ProposalOutcome | None:
        """Returns the outcome of a pending proposal, or None while it is undecided.

        A node that no longer leads in that term can't tell whether the entry will be committed.
        """
        consensus = self._consensus
        still_leads = consensus.is_leader and consensus.term == self._pending_term
        if still_leads and pending.index <= consensus.log.commit_index:
            return ProposalOutcome.COMMITTED
        if not still_leads or now_ms >= pending.deadline_ms:
            return ProposalOutcome.UNKNOWN
        return None

    def _find_rejection(self, message: Propose, now_ms: float) -> ProposalOutcome | None:
        """Returns why a proposal is rejected whatever the log holds, or None."""
        if not 0 < len(message.proposal) <= MAX_PROPOSAL_CHARS or message.kind not in PROPOSABLE_KINDS:
            return ProposalOutcome.INVALID
        if len(message.payload) > MAX_PAYLOAD_BYTES:
            return ProposalOutcome.INVALID
        if not self._consensus.is_leader:
            return ProposalOutcome.NOT_LEADER if self._consensus.leader else ProposalOutcome.NO_QUORUM
        return None if self._consensus.has_quorum(now_ms) else ProposalOutcome.NO_QUORUM

    def _visible_entries(self) -> list[Entry]:
        """Returns the entries that the log and its base state still show, oldest first."""
        state = self._consensus.log.base.state
        return [*state.latest.values(), *state.purges, *self._consensus.log.entries]

    def _find_index(self, proposal: str) -> int | None:
        """Returns the index at which a proposal is in the log already, or None."""
        for entry in reversed(self._visible_entries()):
            if entry.proposal == proposal:
                return entry.index
        return None

    def _expectation_holds(self, message: Propose) -> bool:
        """Returns whether the latest entry of the kind is the one that the proposer expects."""
        if message.expected_index == ANY_INDEX:
            return True
        indexes = (entry.index for entry in self._visible_entries() if entry.kind == message.kind)
        return max(indexes, default=0) == message.expected_index

    def _answer(
        self, request_id: int, proposal: str, outcome: ProposalOutcome, index: int = 0
    ) -> AnswerProposal:
        return AnswerProposal(request_id, ProposalAnswer(proposal, outcome, index, self._consensus.leader))
