"""Raft consensus for one control node: elections, replication, commitment and snapshots.

The section numbers in this package are those of "In Search of an Understandable Consensus Algorithm" (Ongaro
and Ousterhout, 2014), or, where it says so, of Ongaro's dissertation "Consensus: Bridging Theory and
Practice" (2014). Terms, votes, roles and indexes have the names that are used there.

The set of nodes is fixed; membership changes (section 6) are not implemented. These extensions are:

- Pre-vote (dissertation, 9.6). A node asks whether it would win before it increases its term, so that a node
  that was partitioned does not depose the leader when it returns.
- Check quorum (dissertation, 6.2). A leader that does not hear from a quorum refuses proposals, and later
  steps down.
- Pipelining (dissertation, 10.2.1). A leader sends entries without waiting for earlier answers, and moves
  `next_index` back when a follower rejects some.
- Leases (dissertation, 6.4.1). Followers hold leases too; the leader passes on what is left of its own.

What the leader tracks about its followers is in `leadership`. A `Write` stands among the effects ahead of the
messages that depend on it: see `storage`.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random

from cloverwell.control.effects import EntriesCommitted, NodeEffect, SendToPeer, SnapshotInstalled
from cloverwell.control.entry import Entry, EntryKind, Snapshot
from cloverwell.control.errors import ControlError
from cloverwell.control.leadership import Leadership
from cloverwell.control.messages import (
    AppendAnswer,
    AppendEntries,
    ConsensusMessage,
    InstallSnapshot,
    RequestVote,
    VoteAnswer,
)
from cloverwell.control.replicated_log import ReplicatedLog
from cloverwell.control.storage import StoredState, Write
from cloverwell.control.timing import ControlNodeTiming, lease_end_ms

NO_NODE = ""  # stands for a node's name while no leader is known or no vote was cast


class NotLeaderError(ControlError):
    """An entry was proposed at a node that does not lead."""

    def __init__(self, node: str) -> None:
        """Makes the message from the name of the node."""
        super().__init__(f"{node} is not the leader")
        self.node = node


class Role(StrEnum):
    """The state of a node (section 5.1); a pre-candidate is collecting pre-votes."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Consensus:
    """The Raft state machine of one node.

    Every event takes the time in ms of this process's monotonic clock and returns the effects that the caller
    has to carry out, in order.
    """

    def __init__(
        self,
        node: str,
        nodes: tuple[str, ...],
        stored: StoredState,
        timing: ControlNodeTiming,
        random: Random,
        now_ms: float,
    ) -> None:
        """Starts as a follower from what is stored.

        `nodes` names all nodes of the quorum, `node` among them; else ValueError is raised. `random` spreads
        the election timeouts.
        """
        if node not in nodes or len(set(nodes)) != len(nodes):
            raise ValueError("nodes: must be distinct and name this node")
        self.node = node
        self.peers = tuple(name for name in nodes if name != node)
        self.quorum_size = len(nodes) // 2 + 1
        self.log = ReplicatedLog(stored, timing.keep_entries, timing.keep_bytes)
        self.term = stored.term
        self.vote = stored.vote
        self.role = Role.FOLLOWER
        self.leader = NO_NODE
        self.leadership: Leadership | None = None  # None while this node does not lead
        self._timing = timing
        self._random = random
        self._voters: set[str] = set()
        self._last_leader_contact_ms = float("-inf")
        self._started_at_ms = now_ms
        self._lease_end_ms = float("-inf")  # the end of this node's lease as a follower
        self._election_deadline_ms = 0.0
        self._reset_election_timer(now_ms)

    # Queries

    @property
    def is_leader(self) -> bool:
        """True if this node leads in the current term, as far as it knows."""
        return self.leadership is not None

    def next_deadline(self) -> float:
        """Returns the time in ms at which `tick` must be called at the latest."""
        if self.leadership is not None:
            return self.leadership.next_deadline()
        return self._election_deadline_ms

    def has_quorum(self, now_ms: float) -> bool:
        """Returns whether this node leads and a quorum has confirmed that lately."""
        return self.leadership is not None and self.leadership.has_quorum(now_ms)

    def lease_ms(self, now_ms: float) -> float:
        """Returns for how many ms from now the commit index may count as current; 0 without a lease.

        Current means that it covers everything that was committed LEASE_MS before the end of that time.
        """
        if self.leadership is None:
            return max(0.0, self._lease_end_ms - now_ms)
        return self.leadership.lease_ms(self.log, now_ms)

    # Events

    def tick(self, now_ms: float) -> list[NodeEffect]:
        """Handles the timers; to be called at `next_deadline`, and allowed at any other time."""
        if self.leadership is not None:
            return self._tick_leader(self.leadership, now_ms)
        if now_ms >= self._election_deadline_ms:
            return self._start_pre_vote(now_ms)
        return []

    def receive(self, message: ConsensusMessage, now_ms: float) -> list[NodeEffect]:
        """Handles a message of another node of the quorum."""
        if isinstance(message, RequestVote) and message.pre_vote:
            return self._handle_pre_vote_request(message, now_ms)  # a pre-vote's term has not begun
        effects = self._observe_term(message.term, now_ms)
        match message:
            case RequestVote():
                return effects + self._handle_vote_request(message, now_ms)
            case VoteAnswer():
                return effects + self._handle_vote_answer(message, now_ms)
            case AppendEntries():
                return effects + self._handle_append_entries(message, now_ms)
            case InstallSnapshot():
                return effects + self._handle_install_snapshot(message, now_ms)
            case AppendAnswer():
                return effects + self._handle_append_answer(message, now_ms)

    def propose(self, kind: str, payload: bytes, proposal: str, now_ms: float) -> list[NodeEffect]:
        """Appends an entry to the leader's log, where it has the index `log.last_index`, and replicates it.

        Raises NotLeaderError on a node that does not lead.
        """
        if self.leadership is None:
            raise NotLeaderError(self.node)
        entry = Entry(self.log.last_index + 1, self.term, kind, payload, proposal)
        self.log.append(entry)
        effects: list[NodeEffect] = [self._write(entries=(entry,))]
        effects += self.leadership.replicate(self.log, now_ms)
        effects += self._advance_commit_index(now_ms)
        return effects

    # Elections (section 5.2)

    def _reset_election_timer(self, now_ms: float) -> None:
        timeout_ms = self._random.uniform(
            self._timing.min_election_timeout_ms, self._timing.max_election_timeout_ms
        )
        self._election_deadline_ms = now_ms + timeout_ms

    def _observe_term(self, term: int, now_ms: float) -> list[NodeEffect]:
        """Becomes a follower if another node is in a newer term (section 5.1)."""
        return self._become_follower(term, NO_NODE, now_ms) if term > self.term else []

    def _become_follower(self, term: int, leader: str, now_ms: float) -> list[NodeEffect]:
        """Becomes or stays a follower in a term that is not older than the current one."""
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer(now_ms)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leadership = None
        if term <= self.term:
            return []
        self.term = term
        self.vote = NO_NODE
        return [self._write()]

    def _start_pre_vote(self, now_ms: float) -> list[NodeEffect]:
        """Asks whether a quorum would vote for this node in the next term (dissertation, 9.6)."""
        self.role = Role.PRE_CANDIDATE
        self.leader = NO_NODE
        self._voters = {self.node}
        self._reset_election_timer(now_ms)
        if self._has_majority():
            return self._start_election(now_ms)
        return self._request_votes(self.term + 1, pre_vote=True)

    def _start_election(self, now_ms: float) -> list[NodeEffect]:
        """Increases the term, votes for this node and requests the votes of the others."""
        self.role = Role.CANDIDATE
        self._voters = {self.node}
        self.term += 1
        self.vote = self.node
        self._reset_election_timer(now_ms)
        effects: list[NodeEffect] = [self._write()]
        if self._has_majority():
            return effects + self._become_leader(now_ms)
        return effects + self._request_votes(self.term, pre_vote=False)

    def _request_votes(self, term: int, pre_vote: bool) -> list[NodeEffect]:
        request = RequestVote(term, self.node, self.log.last_index, self.log.last_term, pre_vote)
        return [SendToPeer(peer, request) for peer in self.peers]

    def _handle_pre_vote_request(self, message: RequestVote, now_ms: float) -> list[NodeEffect]:
        """Answers a pre-vote without a change of state; a node that has a leader grants none."""
        since_contact_ms = now_ms - self._last_leader_contact_ms
        has_leader = self.role is Role.LEADER or since_contact_ms < self._timing.min_election_timeout_ms
        granted = message.term > self.term and not has_leader and self._is_up_to_date(message)
        answer = VoteAnswer(self.term, self.node, message.term, granted, pre_vote=True)
        return [SendToPeer(message.candidate, answer)]

    def _handle_vote_request(self, message: RequestVote, now_ms: float) -> list[NodeEffect]:
        """Answers a request for a vote; a node votes for at most one candidate in a term."""
        effects: list[NodeEffect] = []
        may_vote = self.vote in (NO_NODE, message.candidate)
        granted = message.term == self.term and may_vote and self._is_up_to_date(message)
        if granted:
            self._reset_election_timer(now_ms)
            if self.vote == NO_NODE:
                self.vote = message.candidate
                effects.append(self._write())
        answer = VoteAnswer(self.term, self.node, message.term, granted)
        return [*effects, SendToPeer(message.candidate, answer)]

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Returns whether the candidate's log is at least as up to date as this one (section 5.4.1)."""
        return (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)

    def _handle_vote_answer(self, message: VoteAnswer, now_ms: float) -> list[NodeEffect]:
        requested_term = self.term + 1 if message.pre_vote else self.term
        requesting_role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        is_awaited = self.role is requesting_role and message.asked_term == requested_term
        if not message.granted or not is_awaited:
            return []
        self._voters.add(message.voter)
        if not self._has_majority():
            return []
        return self._start_election(now_ms) if message.pre_vote else self._become_leader(now_ms)

    def _has_majority(self) -> bool:
        return len(self._voters) >= self.quorum_size

    def _become_leader(self, now_ms: float) -> list[NodeEffect]:
        """Begins to lead with an entry of its own term, so that older ones can be committed (section 8)."""
        self.role = Role.LEADER
        self.leader = self.node
        self.leadership = Leadership(
            self.node, self.term, self.peers, self.quorum_size, self.log.last_index, self._timing, now_ms
        )
        return self.propose(EntryKind.NOOP, b"", "", now_ms)

    # Replication at the leader (section 5.3)

    def _tick_leader(self, leadership: Leadership, now_ms: float) -> list[NodeEffect]:
        if leadership.must_step_down(now_ms):
            return self._become_follower(self.term, NO_NODE, now_ms)
        return leadership.heartbeat(self.log, now_ms) if leadership.is_heartbeat_due(now_ms) else []

    def _handle_append_answer(self, message: AppendAnswer, now_ms: float) -> list[NodeEffect]:
        if self.leadership is None or message.term != self.term:
            return []
        self.leadership.record_answer(message, now_ms)
        if not message.success:
            return self.leadership.replicate_to(message.follower, self.log, now_ms)
        effects = self._advance_commit_index(now_ms)
        if self.leadership.is_behind(message.follower, self.log):
            effects += self.leadership.replicate_to(message.follower, self.log, now_ms)
        return effects

    def _advance_commit_index(self, now_ms: float) -> list[NodeEffect]:
        """Commits what a quorum has stored, and tells the followers at once."""
        assert self.leadership is not None
        index = self.leadership.quorum_match_index(self.log.last_index)
        if index <= self.log.commit_index or not self._may_commit(index):
            return []
        effects = self._commit(index)
        return effects + self.leadership.replicate(self.log, now_ms)

    def _may_commit(self, index: int) -> bool:
        """Returns whether the entry may be committed by counting replicas (section 5.4.2).

        It may if it is of the current term; entries of earlier terms are committed with it.
        """
        return self.log.term_at(index) == self.term

    def _commit(self, index: int) -> list[NodeEffect]:
        entries = self.log.commit(index)
        if not entries:
            return []
        effects: list[NodeEffect] = [EntriesCommitted(entries)]
        if (new_base := self.log.compact()) is not None:
            effects.append(self._write(snapshot=new_base))
        return effects

    # Replication at a follower (sections 5.3 and 7)

    def _handle_append_entries(self, message: AppendEntries, now_ms: float) -> list[NodeEffect]:
        if message.term < self.term:
            return [self._append_answer(message, False, 0, now_ms)]
        effects = self._observe_leader(message, now_ms)
        retry_index = self.log.find_mismatch(message.previous_index, message.previous_term)
        if retry_index is not None:
            return [*effects, self._append_answer(message, False, retry_index, now_ms)]
        effects += self._store_entries(message.entries)
        match_index = message.previous_index + len(message.entries)
        effects += self._commit(min(message.commit_index, match_index))
        if self.log.commit_index >= message.commit_index:
            self._accept_lease(message, now_ms)
        return [*effects, self._append_answer(message, True, match_index, now_ms)]

    def _accept_lease(self, message: AppendEntries, now_ms: float) -> None:
        # An echo from before this process's start, or from the future, is that of an earlier run's clock.
        if message.lease_ms > 0 and self._started_at_ms <= message.echo <= now_ms:
            self._lease_end_ms = max(self._lease_end_ms, lease_end_ms(message.echo, message.lease_ms))

    def _store_entries(self, entries: tuple[Entry, ...]) -> list[NodeEffect]:
        """Appends the entries that the log lacks, and drops those that conflict with them."""
        new_entries = self.log.select_new(entries)
        if not new_entries:
            return []
        truncate_from = None
        if new_entries[0].index <= self.log.last_index:
            truncate_from = new_entries[0].index
            self.log.truncate_from(truncate_from)
        for entry in new_entries:
            self.log.append(entry)
        return [self._write(truncate_from=truncate_from, entries=new_entries)]

    def _handle_install_snapshot(self, message: InstallSnapshot, now_ms: float) -> list[NodeEffect]:
        if message.term < self.term:
            return [self._append_answer(message, False, 0, now_ms)]
        effects = self._observe_leader(message, now_ms)
        if not message.snapshot.is_intact:
            return effects  # This node rejects the next heartbeat, so the leader sends a snapshot again.
        index = message.snapshot.position.index
        if index > self.log.commit_index:
            self.log.install(message.snapshot)
            retained_entries = tuple(self.log.entries)
            effects.append(self._write(index + 1, retained_entries, message.snapshot))
            effects.append(SnapshotInstalled(message.snapshot))
        return [*effects, self._append_answer(message, True, index, now_ms)]

    def _observe_leader(self, message: AppendEntries | InstallSnapshot, now_ms: float) -> list[NodeEffect]:
        """Follows the leader that has sent a message of the current term or a newer one."""
        effects = self._become_follower(message.term, message.leader, now_ms)
        self._last_leader_contact_ms = now_ms
        self._reset_election_timer(now_ms)
        return effects

    def _append_answer(
        self, message: AppendEntries | InstallSnapshot, success: bool, match_index: int, now_ms: float
    ) -> SendToPeer:
        answer = AppendAnswer(self.term, self.node, success, match_index, message.token, now_ms)
        return SendToPeer(message.leader, answer)

    def _write(
        self,
        truncate_from: int | None = None,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> Write:
        return Write(self.term, self.vote, truncate_from, entries, snapshot)
