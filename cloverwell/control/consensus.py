"""Raft (Ongaro and Ousterhout 2014) for one control node: election with pre-vote, replication, commit,
snapshots.

No membership change: `nodes` is fixed. What differs from the paper, each after Ongaro's dissertation: a
candidate asks first whether it would win (pre-vote, 9.6), so a node that was cut off doesn't unseat the
leader when it is back; a leader that no quorum answers steps down (check quorum, 6.2) and refuses proposals
even before. A leader sends on without waiting for answers (pipelining) and falls back to what the follower
holds when one is refused.

A `Write` among the effects stands ahead of the messages that depend on it: see `storage`.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random

from cloverwell.control.effects import EntriesCommitted, NodeEffect, SendToPeer, SnapshotInstalled
from cloverwell.control.entry import Entry, EntryKind, Snapshot
from cloverwell.control.leadership import Leadership, Progress
from cloverwell.control.messages import (
    NO_TOKEN,
    AppendAnswer,
    AppendEntries,
    ConsensusMessage,
    InstallSnapshot,
    RequestVote,
    VoteAnswer,
)
from cloverwell.control.replicated_log import ReplicatedLog
from cloverwell.control.storage import StoredState, Write
from cloverwell.control.timing import LEASE_MS, Timing, lease_end


class Role(StrEnum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Consensus:
    """One node of the quorum. Events go in with the time (ms, monotonic), effects come out."""

    def __init__(
        self,
        node: str,
        nodes: tuple[str, ...],
        stored: StoredState,
        timing: Timing,
        random: Random,
        now: float,
    ) -> None:
        if node not in nodes or len(set(nodes)) != len(nodes):
            raise ValueError("nodes: must be distinct and name this node")
        self.node = node
        self.peers = tuple(name for name in nodes if name != node)
        self.quorum = len(nodes) // 2 + 1
        self.log = ReplicatedLog(stored, timing.keep_entries, timing.keep_bytes)
        self.term = stored.term
        self.vote = stored.vote
        self.role = Role.FOLLOWER
        self.leader = ""  # "" while none is known
        self.leadership: Leadership | None = None  # of the present term, while this node leads
        self._timing = timing
        self._random = random
        self._votes: set[str] = set()
        self._heard_leader_at = float("-inf")
        self._started_at = now
        self._lease_until = float("-inf")
        self._election_at = 0.0
        self._put_off_election(now)

    # What others may ask

    def next_deadline(self) -> float:
        """When `tick` has something to do at the latest."""
        if self.leadership is not None:
            return self.leadership.next_deadline()
        return self._election_at

    def has_quorum(self, now: float) -> bool:
        """Whether this node leads and a quorum has said so lately: else a proposal is refused."""
        return self.leadership is not None and self.leadership.has_quorum(now)

    def lease_ms(self, now: float) -> float:
        """How long from now the commit position may count as current: it was all there was at most
        LEASE_MS before the end of that. 0 if it may not."""
        if self.leadership is None:
            return max(0.0, self._lease_until - now)
        if self.log.term_at(self.log.commit_index) != self.term:
            return 0.0  # entries of older terms may be committed that this leader can't tell yet
        return max(0.0, lease_end(self.leadership.confirmed_at, LEASE_MS) - now)

    # Events

    def tick(self, now: float) -> list[NodeEffect]:
        """To be called at `next_deadline`, or at any other time."""
        if self.leadership is not None:
            if not self.leadership.may_go_on(now):
                return self._follow(self.term, "", now)
            return self._heartbeat(now) if self.leadership.heartbeat_due(now) else []
        if now >= self._election_at:
            return self._ask_before_election(now)
        return []

    def receive(self, message: ConsensusMessage, now: float) -> list[NodeEffect]:
        match message:
            case RequestVote(pre_vote=True):
                return self._pre_vote_asked(message, now)
            case RequestVote():
                return self._newer_term(message.term, now) + self._vote_asked(message, now)
            case VoteAnswer():
                return self._newer_term(message.term, now) + self._vote_answered(message, now)
            case AppendEntries():
                return self._newer_term(message.term, now) + self._append(message, now)
            case InstallSnapshot():
                return self._newer_term(message.term, now) + self._install(message, now)
            case AppendAnswer():
                return self._newer_term(message.term, now) + self._append_answered(message, now)

    def propose(self, kind: str, payload: bytes, proposal: str, now: float) -> tuple[Entry, list[NodeEffect]]:
        """Appends an entry to the leader's log and sends it. Raises ValueError on a node that doesn't
        lead."""
        if self.leadership is None:
            raise ValueError("not the leader")
        entry = Entry(self.log.last_index + 1, self.term, kind, payload, proposal)
        self.log.append(entry)
        effects = [self._write(entries=(entry,))]
        effects += self._replicate(now)
        effects += self._commit_if_held(now)
        return entry, effects

    # Elections

    def _put_off_election(self, now: float) -> None:
        self._election_at = now + self._random.uniform(
            self._timing.election_min_ms, self._timing.election_max_ms
        )

    def _newer_term(self, term: int, now: float) -> list[NodeEffect]:
        return self._follow(term, "", now) if term > self.term else []

    def _follow(self, term: int, leader: str, now: float) -> list[NodeEffect]:
        """Becomes or stays a follower in a term not older than the present one."""
        effects: list[NodeEffect] = []
        if self.role is not Role.FOLLOWER:
            self._put_off_election(now)
        self.role, self.leader, self.leadership = Role.FOLLOWER, leader, None
        if term > self.term:
            self.term, self.vote = term, ""
            effects.append(self._write())
        return effects

    def _ask_before_election(self, now: float) -> list[NodeEffect]:
        self.role, self.leader, self._votes = Role.PRE_CANDIDATE, "", {self.node}
        self._put_off_election(now)
        if len(self._votes) >= self.quorum:
            return self._stand(now)
        return self._ask_votes(self.term + 1, pre_vote=True)

    def _stand(self, now: float) -> list[NodeEffect]:
        self.role, self._votes = Role.CANDIDATE, {self.node}
        self.term, self.vote = self.term + 1, self.node
        self._put_off_election(now)
        effects: list[NodeEffect] = [self._write()]
        if len(self._votes) >= self.quorum:
            return effects + self._lead(now)
        return effects + self._ask_votes(self.term, pre_vote=False)

    def _ask_votes(self, term: int, pre_vote: bool) -> list[NodeEffect]:
        request = RequestVote(term, self.node, self.log.last_index, self.log.last_term, pre_vote)
        return [SendToPeer(peer, request) for peer in self.peers]

    def _pre_vote_asked(self, message: RequestVote, now: float) -> list[NodeEffect]:
        """Nothing changes here; no to whoever stands against a leader that was heard of lately."""
        led = self.role is Role.LEADER or now - self._heard_leader_at < self._timing.election_min_ms
        granted = message.term > self.term and not led and self._up_to_date(message)
        answer = VoteAnswer(self.term, self.node, message.term, granted, pre_vote=True)
        return [SendToPeer(message.candidate, answer)]

    def _vote_asked(self, message: RequestVote, now: float) -> list[NodeEffect]:
        effects: list[NodeEffect] = []
        free = self.vote in ("", message.candidate)
        granted = message.term == self.term and free and self._up_to_date(message)
        if granted:
            self._put_off_election(now)
            if not self.vote:
                self.vote = message.candidate
                effects.append(self._write())
        answer = VoteAnswer(self.term, self.node, message.term, granted)
        return [*effects, SendToPeer(message.candidate, answer)]

    def _up_to_date(self, message: RequestVote) -> bool:
        return (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)

    def _vote_answered(self, message: VoteAnswer, now: float) -> list[NodeEffect]:
        asked = self.term + 1 if message.pre_vote else self.term
        role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        if not message.granted or self.role is not role or message.asked_term != asked:
            return []
        self._votes.add(message.voter)
        if len(self._votes) < self.quorum:
            return []
        return self._stand(now) if message.pre_vote else self._lead(now)

    def _lead(self, now: float) -> list[NodeEffect]:
        self.role, self.leader = Role.LEADER, self.node
        self.leadership = Leadership(self.peers, self.quorum, self.log.last_index, self._timing, now)
        _, effects = self.propose(EntryKind.NOOP, b"", "", now)
        return effects

    # Replication, at the leader

    def _heartbeat(self, now: float) -> list[NodeEffect]:
        assert self.leadership is not None
        self.leadership.heartbeat_sent(now)
        return self._replicate(now)

    def _replicate(self, now: float) -> list[NodeEffect]:
        """To each follower the entries that it is next to get, or a heartbeat."""
        return [effect for peer in self.peers for effect in self._replicate_to(peer, now)]

    def _replicate_to(self, peer: str, now: float) -> list[NodeEffect]:
        assert self.leadership is not None
        progress = self.leadership.progress[peer]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None or previous < self.log.base_index:
            if not progress.snapshot_due(now):
                return []
            progress.snapshot_sent_at = now
            return [SendToPeer(peer, InstallSnapshot(self.term, self.node, self.log.base, now))]
        entries = self.log.after(previous, self._timing.append_entries, self._timing.append_bytes)
        progress.next_index += len(entries)
        message = AppendEntries(
            self.term,
            self.node,
            previous,
            previous_term,
            entries,
            self.log.commit_index,
            now,
            progress.token,
            self._lease_for(progress, now),
        )
        return [SendToPeer(peer, message)]

    def _lease_for(self, progress: Progress, now: float) -> float:
        """What is left of this node's own lease, from when the follower sent its token."""
        left = self.lease_ms(now)
        return left + now - progress.token_at if left and progress.token != NO_TOKEN else 0.0

    def _append_answered(self, message: AppendAnswer, now: float) -> list[NodeEffect]:
        if self.leadership is None or message.term != self.term:
            return []
        progress = self.leadership.progress[message.follower]
        self.leadership.answered(message, now)
        if not message.success:
            progress.fall_back(message.match_index)
            return self._replicate_to(message.follower, now)
        progress.matched(message.match_index)
        effects = self._commit_if_held(now)
        if progress.next_index <= self.log.last_index:
            effects += self._replicate_to(message.follower, now)
        return effects

    def _commit_if_held(self, now: float) -> list[NodeEffect]:
        """Commits what a quorum holds, and tells the followers at once."""
        assert self.leadership is not None
        index = self.leadership.held_by_quorum(self.log.last_index)
        if index <= self.log.commit_index or not self._may_commit(index):
            return []
        effects = self._commit(index)
        return effects + self._replicate(now)

    def _may_commit(self, index: int) -> bool:
        """Only an entry of the present term is committed by counting (5.4.2); older ones come with it."""
        return self.log.term_at(index) == self.term

    def _commit(self, index: int) -> list[NodeEffect]:
        entries = self.log.commit(index)
        if not entries:
            return []
        effects: list[NodeEffect] = [EntriesCommitted(entries)]
        if (base := self.log.compact()) is not None:
            effects.append(self._write(snapshot=base))
        return effects

    # Replication, at a follower

    def _append(self, message: AppendEntries, now: float) -> list[NodeEffect]:
        if message.term < self.term:
            return [self._answer(message, False, 0, now)]
        effects = self._hear_leader(message, now)
        mismatch = self._mismatch(message)
        if mismatch is not None:
            return [*effects, self._answer(message, False, mismatch, now)]
        effects += self._take(message.entries)
        held = message.previous_index + len(message.entries)
        effects += self._commit(min(message.commit_index, held))
        if self.log.commit_index >= message.commit_index:
            self._take_lease(message, now)
        return [*effects, self._answer(message, True, held, now)]

    def _take_lease(self, message: AppendEntries, now: float) -> None:
        """An echo from outside this run's time isn't this run's: the clock has begun anew."""
        if message.lease_ms > 0 and self._started_at <= message.echo <= now:
            self._lease_until = max(self._lease_until, lease_end(message.echo, message.lease_ms))

    def _mismatch(self, message: AppendEntries) -> int | None:
        """None if the entry before the message's is held here; else an index up to which the logs may
        agree."""
        previous = message.previous_index
        if previous < self.log.base_index:
            return None  # all up to the base is committed, so it is the leader's as well
        term = self.log.term_at(previous)
        if term == message.previous_term:
            return None
        if term is None:
            return self.log.last_index
        while previous > self.log.commit_index and self.log.term_at(previous) == term:
            previous -= 1  # back over the whole term at once
        return previous

    def _take(self, entries: tuple[Entry, ...]) -> list[NodeEffect]:
        """Appends what is new; what stands against it goes."""
        fresh = [e for e in entries if e.index > self.log.base_index and self.log.term_at(e.index) != e.term]
        if not fresh:
            return []
        truncate_from = None
        if fresh[0].index <= self.log.last_index:
            truncate_from = fresh[0].index
            self.log.truncate_from(truncate_from)
        for entry in fresh:
            self.log.append(entry)
        return [self._write(truncate_from=truncate_from, entries=tuple(fresh))]

    def _install(self, message: InstallSnapshot, now: float) -> list[NodeEffect]:
        if message.term < self.term:
            return [self._answer(message, False, 0, now)]
        effects = self._hear_leader(message, now)
        position = message.snapshot.position
        if not message.snapshot.intact:
            return effects  # asked for again by the next heartbeat's refusal
        if position.index > self.log.commit_index:
            self.log.install(message.snapshot)
            kept = tuple(self.log.entries)
            effects.append(self._write(position.index + 1, kept, message.snapshot))
            effects.append(SnapshotInstalled(message.snapshot))
        return [*effects, self._answer(message, True, position.index, now)]

    def _hear_leader(self, message: AppendEntries | InstallSnapshot, now: float) -> list[NodeEffect]:
        effects = self._follow(message.term, message.leader, now)
        self._heard_leader_at = now
        self._put_off_election(now)
        return effects

    def _answer(
        self, message: AppendEntries | InstallSnapshot, success: bool, match_index: int, now: float
    ) -> NodeEffect:
        answer = AppendAnswer(self.term, self.node, success, match_index, message.token, now)
        return SendToPeer(message.leader, answer)

    def _write(
        self,
        truncate_from: int | None = None,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> Write:
        return Write(self.term, self.vote, truncate_from, entries, snapshot)
