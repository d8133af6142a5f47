"""One control node of a quorum: writes before messages, votes, replication, snapshots and leases."""

from random import Random

import pytest

from cloverwell.control.consensus import Consensus, NotLeaderError, Role
from cloverwell.control.effects import EntriesCommitted, SendToPeer, SnapshotInstalled
from cloverwell.control.entry import EMPTY_SNAPSHOT, START_POSITION, Entry, EntryKind, LogState, Snapshot
from cloverwell.control.messages import (
    NO_TOKEN,
    AppendAnswer,
    AppendEntries,
    InstallSnapshot,
    RequestVote,
    VoteAnswer,
)
from cloverwell.control.replicated_log import CommittedEntryError, ReplicatedLog
from cloverwell.control.storage import MemoryStorage, StoredState, Write
from cloverwell.control.timing import LEASE_MS, ControlNodeTiming, lease_end_ms

NODES = ("a", "b", "c")
TIMING = ControlNodeTiming()


def entries(*terms, first=1):
    return tuple(
        Entry(index, term, EntryKind.CONFIGURATION, b"%d" % index) for index, term in enumerate(terms, first)
    )


def consensus(stored=None, now_ms=0.0, timing=TIMING, nodes=NODES):
    return Consensus("a", nodes, stored or StoredState(), timing, Random(1), now_ms)


def leader(stored=None):
    """Returns a node that was elected at 10,000 ms."""
    node = consensus(stored)
    node.tick(10_000.0)
    node.receive(VoteAnswer(node.term, "b", node.term + 1, True, pre_vote=True), 10_000.0)
    node.receive(VoteAnswer(node.term, "b", node.term, True), 10_000.0)
    assert node.role is Role.LEADER
    return node


def sent(effects, kind):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, kind)
    ]


def append(term, previous, new, commit=0, **fields):
    """Returns entries from the leader b; `previous` is the index and term of the entry before them."""
    return AppendEntries(term, "b", *previous, new, commit, fields.pop("token", 1.0), **fields)


def test_a_vote_is_stored_before_it_is_sent():
    node = consensus()
    effects = node.receive(RequestVote(1, "b", 0, 0), 1.0)
    writes = [effect for effect in effects if isinstance(effect, Write)]
    assert (writes[-1].term, writes[-1].vote) == (1, "b")
    assert isinstance(effects[-1], SendToPeer)
    assert effects[-1].message.granted


def test_entries_are_stored_before_they_are_acknowledged_and_before_they_are_sent():
    node = consensus()
    effects = node.receive(append(1, (0, 0), entries(1)), 1.0)
    kinds = [type(effect) for effect in effects]
    assert kinds.index(SendToPeer) > max(number for number, kind in enumerate(kinds) if kind is Write)
    effects = leader().propose("configuration", b"", "x", 10_001.0)
    assert isinstance(effects[0], Write)


def test_a_candidate_stores_its_vote_for_itself_before_it_requests_votes():
    node = consensus()
    requests = sent(node.tick(10_000.0), RequestVote)
    assert [message.pre_vote for message in requests] == [True, True]
    assert (node.term, node.vote) == (0, "")
    effects = node.receive(VoteAnswer(0, "c", 1, True, pre_vote=True), 10_000.0)
    assert isinstance(effects[0], Write)
    assert (effects[0].term, effects[0].vote) == (1, "a")


def test_a_node_votes_once_in_a_term_and_never_for_an_older_log():
    node = consensus(StoredState(2, "", EMPTY_SNAPSHOT, entries(1, 2)))
    assert not sent(node.receive(RequestVote(3, "b", 5, 1), 1.0), VoteAnswer)[0].granted
    assert not sent(node.receive(RequestVote(3, "b", 1, 2), 1.0), VoteAnswer)[0].granted
    assert sent(node.receive(RequestVote(3, "c", 2, 2), 1.0), VoteAnswer)[0].granted
    assert sent(node.receive(RequestVote(3, "c", 2, 2), 1.0), VoteAnswer)[0].granted
    assert not sent(node.receive(RequestVote(3, "b", 9, 2), 1.0), VoteAnswer)[0].granted


def test_no_pre_vote_is_granted_while_the_leader_was_heard_lately():
    node = consensus()
    node.receive(append(1, (0, 0), ()), 100.0)
    request = RequestVote(2, "c", 0, 0, pre_vote=True)
    assert not sent(node.receive(request, 100.0 + TIMING.min_election_timeout_ms - 1), VoteAnswer)[0].granted
    assert sent(node.receive(request, 100.0 + TIMING.min_election_timeout_ms), VoteAnswer)[0].granted
    assert node.term == 1


def test_a_leader_without_a_quorum_refuses_proposals_and_then_steps_down():
    node = leader()
    assert node.has_quorum(10_000.0 + TIMING.quorum_timeout_ms)
    assert not node.has_quorum(10_001.0 + TIMING.quorum_timeout_ms)
    node.tick(10_000.0 + TIMING.step_down_timeout_ms)
    assert node.role is Role.LEADER
    node.tick(10_001.0 + TIMING.step_down_timeout_ms)
    assert node.role is Role.FOLLOWER
    with pytest.raises(NotLeaderError, match="not the leader"):
        node.propose("configuration", b"", "x", 20_000.0)


def test_a_leader_gives_no_lease_before_an_entry_of_its_own_term_is_committed():
    node = leader(StoredState(1, "", EMPTY_SNAPSHOT, entries(1)))
    node.receive(AppendAnswer(2, "c", False, 0, 10_000.0, 5.0), 10_050.0)  # a quorum confirms the leader
    assert node.leadership.quorum_confirmed_ms == 10_000.0
    assert node.lease_ms(10_050.0) == 0.0
    effects = node.receive(AppendAnswer(2, "c", True, 2, 10_050.0, 6.0), 10_100.0)
    assert effects[0] == EntriesCommitted((*entries(1), Entry(2, 2, EntryKind.NOOP)))
    remaining_ms = lease_end_ms(10_050.0, LEASE_MS) - 10_100.0
    assert node.lease_ms(10_100.0) == remaining_ms < LEASE_MS - 50.0
    heartbeat = sent(effects, AppendEntries)[1]
    assert (heartbeat.echo, heartbeat.lease_ms) == (6.0, remaining_ms)


def test_a_follower_counts_its_lease_from_its_own_token_and_ignores_tokens_of_other_runs():
    node = consensus(now_ms=1_000.0)
    for echo, now_ms, expected_ms in [
        (500.0, 1_100.0, 0.0),
        (1_200.0, 1_100.0, 0.0),
        (NO_TOKEN, 1_100.0, 0.0),
    ]:
        node.receive(append(1, (0, 0), (), echo=echo, lease_ms=LEASE_MS), now_ms)
        assert node.lease_ms(now_ms) == expected_ms
    node.receive(append(1, (0, 0), (), 1, echo=1_050.0, lease_ms=LEASE_MS), 1_100.0)
    assert node.lease_ms(1_100.0) == 0.0  # The follower lacks a committed entry.
    node.receive(append(1, (0, 0), entries(1), 1, echo=1_050.0, lease_ms=LEASE_MS), 1_100.0)
    assert LEASE_MS - 100.0 < node.lease_ms(1_100.0) <= LEASE_MS - 50.0


def test_entries_that_conflict_with_the_leaders_are_dropped_and_equal_ones_stay():
    node = consensus(StoredState(2, "", EMPTY_SNAPSHOT, entries(1, 1, 2)))
    effects = node.receive(append(3, (1, 1), entries(1, 3, first=2)), 1.0)
    write = next(effect for effect in effects if isinstance(effect, Write) and effect.entries)
    assert (write.truncate_from, write.entries) == (3, entries(3, first=3))
    assert [entry.term for entry in node.log.entries] == [1, 1, 3]
    # A delayed message with fewer entries drops none.
    late_effects = node.receive(append(3, (1, 1), entries(1, first=2)), 2.0)
    assert [entry.term for entry in node.log.entries] == [1, 1, 3]
    assert sent(late_effects, AppendAnswer)[0].match_index == 2


def test_a_rejection_goes_back_over_a_whole_term_at_once():
    node = consensus(StoredState(3, "", EMPTY_SNAPSHOT, entries(1, 2, 2, 2)))
    answer = sent(node.receive(append(4, (4, 3), ()), 1.0), AppendAnswer)[0]
    assert (answer.success, answer.match_index) == (False, 1)
    answer = sent(node.receive(append(4, (9, 3), ()), 1.0), AppendAnswer)[0]
    assert (answer.success, answer.match_index) == (False, 4)


def test_a_committed_entry_cannot_be_dropped():
    node = consensus()
    node.receive(append(1, (0, 0), entries(1), 1), 1.0)
    with pytest.raises(CommittedEntryError, match="committed"):
        node.receive(append(2, (0, 0), entries(2)), 2.0)


def test_a_snapshot_is_stored_with_the_entries_after_it_and_a_corrupt_or_older_one_is_ignored():
    state, position = LogState(), START_POSITION
    for entry in entries(1, 1):
        state, position = state.after(entry), position.after(entry)
    snapshot = Snapshot.of(position, 1, state)
    node = consensus(StoredState(1, "", EMPTY_SNAPSHOT, entries(1, 1, 1)))
    corrupt = Snapshot(position, 1, LogState(), snapshot.checksum)
    assert node.receive(InstallSnapshot(1, "b", corrupt, 1.0), 1.0) == []
    effects = node.receive(InstallSnapshot(1, "b", snapshot, 1.0), 1.0)
    storage = MemoryStorage(StoredState(1, "", EMPTY_SNAPSHOT, entries(1, 1, 1)))
    for effect in effects:
        if isinstance(effect, Write):
            storage.write(effect)
    assert SnapshotInstalled(snapshot) in effects
    assert storage.load() == StoredState(1, "", snapshot, entries(1, first=3))
    assert node.log.committed == position
    effects = node.receive(InstallSnapshot(1, "b", EMPTY_SNAPSHOT, 1.0), 1.0)
    assert [type(effect) for effect in effects] == [SendToPeer]


def test_a_follower_too_far_behind_is_sent_a_snapshot_again_only_after_the_retry_interval():
    stored = StoredState(
        1, "", Snapshot.of(START_POSITION.after(entries(1)[0]), 1, LogState().after(entries(1)[0]))
    )
    node = leader(stored)
    effects = node.receive(AppendAnswer(2, "c", False, 0, 10_000.0, 5.0), 10_010.0)
    assert sent(effects, InstallSnapshot)[0].snapshot == stored.snapshot
    assert not sent(node.tick(10_300.0), InstallSnapshot)
    node.receive(AppendAnswer(2, "b", True, 2, 10_300.0, 5.0), 10_310.0)
    assert sent(node.tick(10_010.0 + TIMING.snapshot_retry_interval_ms), InstallSnapshot)


@pytest.mark.parametrize(("payload", "kept_count"), [(b"x", 4), (bytes(400), 2)])
def test_the_log_is_compacted_when_it_holds_too_many_entries_or_bytes(payload, kept_count):
    log = ReplicatedLog(StoredState(), keep_entries=4, keep_bytes=1_000)
    for index in range(1, 10):
        log.append(Entry(index, 1, EntryKind.CONFIGURATION, payload))
    position = log.position_at(9)
    assert log.compact() is None  # Nothing is committed yet.
    log.commit(9)
    base = log.compact()
    assert base.is_intact
    assert (len(log.entries), log.base_index, log.committed) == (kept_count, 9 - kept_count, position)
    assert base.state.latest["configuration"].index == 9 - kept_count
    restored_log = ReplicatedLog(StoredState(1, "", base, tuple(log.entries)), 4, 1_000)
    restored_log.commit(9)
    assert restored_log.committed_snapshot() == log.committed_snapshot()


def test_the_only_node_of_a_log_leads_and_commits_at_once():
    node = consensus(nodes=("a",))
    effects = node.tick(10_000.0)
    assert EntriesCommitted((Entry(1, 1, EntryKind.NOOP),)) in effects
    assert node.has_quorum(10_000.0)
    assert node.lease_ms(10_000.0) == lease_end_ms(10_000.0, LEASE_MS) - 10_000.0


@pytest.mark.parametrize("nodes", [("b", "c"), ("a", "a", "b")])
def test_nodes_must_be_distinct_and_name_this_one(nodes):
    with pytest.raises(ValueError, match="nodes"):
        consensus(nodes=nodes)
