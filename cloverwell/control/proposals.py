"""Proposals at a control node: which are accepted, which await their commit, and how each is answered."""

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
    """A proposal whose entry is in the leader's log and was not seen to be committed yet."""

    request: int
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
        """Returns when `settle` is to be called at the latest."""
        return min((pending.deadline_ms for pending in self._pending), default=float("inf"))

    def propose(self, request: int, message: Propose, now: float) -> list[NodeEffect]:
        """Accepts or rejects a proposal; `request` is the caller's number for its answer."""
        rejection = self._find_rejection(message, now)
        if rejection is not None:
            return [self._answer(request, message.proposal, rejection)]
        index = self._find_index(message.proposal)
        if index is not None and index <= self._consensus.log.commit_index:
            return [self._answer(request, message.proposal, ProposalOutcome.COMMITTED, index)]
        if len(self._pending) >= self._timing.max_pending_proposals:
            return [self._answer(request, message.proposal, ProposalOutcome.BUSY)]
        if index is None and not self._expectation_holds(message):
            return [self._answer(request, message.proposal, ProposalOutcome.CONFLICT)]
        effects: list[NodeEffect] = []
        if index is None:
            effects = self._consensus.propose(message.kind, message.payload, message.proposal, now)
            index = self._consensus.log.last_index
        deadline_ms = now + self._timing.proposal_timeout_ms
        self._pending.append(PendingProposal(request, message.proposal, index, deadline_ms))
        self._pending_term = self._consensus.term
        return effects

    def settle(self, now: float) -> list[NodeEffect]:
        """Returns the answers that are due; to be called after each event."""
        if not self._pending:
            return []
        answers: list[NodeEffect] = []
        still_pending: list[PendingProposal] = []
        for pending in self._pending:
            outcome = self._outcome_of(pending, now)
            if outcome is None:
                still_pending.append(pending)
                continue
            index = pending.index if outcome is ProposalOutcome.COMMITTED else 0
            answers.append(self._answer(pending.request, pending.proposal, outcome, index))
        self._pending = still_pending
        return answers

    def _outcome_of(self, pending: PendingProposal, now: float) -> ProposalOutcome | None:
        """Returns what became of a pending proposal, or None while that is open.

        A leader that has lost its term can't tell any more whether the entry will be committed.
        """
        consensus = self._consensus
        leads_as_before = consensus.is_leader and consensus.term == self._pending_term
        if leads_as_before and pending.index <= consensus.log.commit_index:
            return ProposalOutcome.COMMITTED
        if not leads_as_before or now >= pending.deadline_ms:
            return ProposalOutcome.UNKNOWN
        return None

    def _find_rejection(self, message: Propose, now: float) -> ProposalOutcome | None:
        """Returns why a proposal is rejected whatever the log holds, or None."""
        if not 0 < len(message.proposal) <= MAX_PROPOSAL_CHARS or message.kind not in PROPOSABLE_KINDS:
            return ProposalOutcome.INVALID
        if len(message.payload) > MAX_PAYLOAD_BYTES:
            return ProposalOutcome.INVALID
        if not self._consensus.is_leader:
            return ProposalOutcome.NOT_LEADER if self._consensus.leader else ProposalOutcome.NO_QUORUM
        return None if self._consensus.has_quorum(now) else ProposalOutcome.NO_QUORUM

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
        self, request: int, proposal: str, outcome: ProposalOutcome, index: int = 0
    ) -> AnswerProposal:
        return AnswerProposal(request, ProposalAnswer(proposal, outcome, index, self._consensus.leader))
