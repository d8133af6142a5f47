"""Proposals at a leader: which are taken, which wait for their commit, and what their proposers are told."""

from __future__ import annotations

import msgspec

from cloverwell.control.consensus import Consensus
from cloverwell.control.effects import AnswerProposal, NodeEffect
from cloverwell.control.entry import MAX_PAYLOAD_BYTES, Entry, EntryKind
from cloverwell.control.messages import ANY_INDEX, ProposalAnswer, ProposalOutcome, Propose
from cloverwell.control.timing import Timing

MAX_NAME_CHARS = 200
PROPOSED_KINDS = frozenset(EntryKind) - {EntryKind.NOOP}


class PendingProposal(msgspec.Struct, frozen=True):
    """A proposal whose entry is in the leader's log and not committed yet."""

    request: int
    proposal: str
    index: int
    until: float


class Proposals:
    """The proposals of one control node. Each is answered once, at the latest after `Timing.proposal_ms`."""

    def __init__(self, consensus: Consensus, timing: Timing) -> None:
        self._consensus = consensus
        self._timing = timing
        self._waiting: list[PendingProposal] = []
        self._term = 0  # in which those that wait were taken

    def next_deadline(self) -> float:
        return min((waiting.until for waiting in self._waiting), default=float("inf"))

    def propose(self, request: int, message: Propose, now: float) -> list[NodeEffect]:
        refused = self._reason_against(message, now)
        if refused is not None:
            return [self._answer(request, message.proposal, refused)]
        index = self._index_of(message.proposal)
        if index is not None and index <= self._consensus.log.commit_index:
            return [self._answer(request, message.proposal, ProposalOutcome.COMMITTED, index)]
        if len(self._waiting) >= self._timing.proposals:
            return [self._answer(request, message.proposal, ProposalOutcome.BUSY)]
        if index is None and not self._as_expected(message):
            return [self._answer(request, message.proposal, ProposalOutcome.CONFLICT)]
        effects: list[NodeEffect] = []
        if index is None:
            entry, effects = self._consensus.propose(message.kind, message.payload, message.proposal, now)
            index = entry.index
        self._term = self._consensus.term
        self._waiting.append(
            PendingProposal(request, message.proposal, index, now + self._timing.proposal_ms)
        )
        return effects

    def settle(self, now: float) -> list[NodeEffect]:
        """The answers that have become due; to be called after each event."""
        if not self._waiting:
            return []
        leads = self._consensus.leadership is not None and self._consensus.term == self._term
        answers: list[NodeEffect] = []
        still: list[PendingProposal] = []
        for waiting in self._waiting:
            if leads and waiting.index <= self._consensus.log.commit_index:
                outcome = ProposalOutcome.COMMITTED
                answers.append(self._answer(waiting.request, waiting.proposal, outcome, waiting.index))
            elif not leads or now >= waiting.until:
                answers.append(self._answer(waiting.request, waiting.proposal, ProposalOutcome.UNKNOWN))
            else:
                still.append(waiting)
        self._waiting = still
        return answers

    def _reason_against(self, message: Propose, now: float) -> ProposalOutcome | None:
        too_long = len(message.proposal) > MAX_NAME_CHARS
        if too_long or not message.proposal or message.kind not in PROPOSED_KINDS:
            return ProposalOutcome.INVALID
        if len(message.payload) > MAX_PAYLOAD_BYTES:
            return ProposalOutcome.INVALID
        if self._consensus.leadership is None:
            return ProposalOutcome.NOT_LEADER if self._consensus.leader else ProposalOutcome.NO_QUORUM
        return None if self._consensus.has_quorum(now) else ProposalOutcome.NO_QUORUM

    def _entries(self) -> list[Entry]:
        """All that the log and its base state still show, oldest first."""
        state = self._consensus.log.base.state
        return [*state.latest.values(), *state.purges, *self._consensus.log.entries]

    def _index_of(self, proposal: str) -> int | None:
        return next((entry.index for entry in reversed(self._entries()) if entry.proposal == proposal), None)

    def _as_expected(self, message: Propose) -> bool:
        if message.expected_index == ANY_INDEX:
            return True
        indexes = (entry.index for entry in self._entries() if entry.kind == message.kind)
        return max(indexes, default=0) == message.expected_index

    def _answer(
        self, request: int, proposal: str, outcome: ProposalOutcome, index: int = 0
    ) -> AnswerProposal:
        return AnswerProposal(request, ProposalAnswer(proposal, outcome, index, self._consensus.leader))
