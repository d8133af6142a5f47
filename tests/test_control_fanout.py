"""Fan-out at one control node, refusals of subscriptions and proposals, fleet counts, and node selection."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import AnswerProposal, CloseSubscriber, SendToPeer, SendToSubscriber
from cloverwell.control.entry import MAX_PAYLOAD_BYTES, START_POSITION, EntryKind, Position
from cloverwell.control.fleet import REPORT_TIMEOUT_MS, FleetView, bound_divisor
from cloverwell.control.messages import (
    MAX_REPORT_POSITIONS,
    Acknowledge,
    Entries,
    FleetCount,
    Goodbye,
    Heartbeat,
    PositionCount,
    ProposalOutcome,
    Propose,
    Refusal,
    RefusalCount,
    RefusalReason,
    SnapshotTransfer,
    Subscribe,
    SubscriberMoved,
    SubscriberReport,
    VoteAnswer,
)
from cloverwell.control.node_selection import ControlNodeSelector
from cloverwell.control.storage import StoredState
from cloverwell.control.subscriber import MAX_DISPLACED_RUNS
from cloverwell.control.subscribers import merge_positions
from cloverwell.control.timing import ControlNodeTiming, FanoutTiming, SubscriptionTiming

NODES = ("a", "b", "c")


def lone_leader(**fanout):
    """Returns the only control node of a log, which has led since 10,000 ms."""
    node = ControlNode(
        "a",
        ("a",),
        "main",
        StoredState(),
        Random(1),
        0.0,
        ControlNodeTiming(max_pending_proposals=1),
        FanoutTiming(**fanout),
    )
    node.tick(10_000.0)
    return node


def subscribe(name="p", run=1, attempt=1, log="main", position=START_POSITION, last_node=""):
    return Subscribe(name, run, attempt, log, position, position.index, 1.0, last_node)


def to_proxy(effects):
    return [effect.message for effect in effects if isinstance(effect, SendToSubscriber)]


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (subscribe(log="other"), RefusalReason.OTHER_LOG),
        (subscribe(position=Position(99, b"")), RefusalReason.BEHIND),
        (subscribe("third"), RefusalReason.FULL),
        (subscribe("first", attempt=0), RefusalReason.INVALID),
    ],
)
def test_a_subscription_that_cannot_be_accepted_is_refused_with_a_reason(message, reason):
    full = lone_leader(max_subscribers=2)
    full.receive_proxy(1, subscribe("first"), 10_000.0)
    full.receive_proxy(2, subscribe("second"), 10_000.0)
    effects = full.receive_proxy(3, message, 10_000.0)
    assert effects == [SendToSubscriber(3, Refusal(reason)), CloseSubscriber(3)]
    assert full.subscribers.subscriber_count == 2


def test_a_subscriber_gets_entries_and_a_heartbeat_or_a_snapshot_if_its_digest_differs():
    node = lone_leader()
    messages = to_proxy(node.receive_proxy(1, subscribe(), 10_000.0))
    assert [type(message) for message in messages] == [Entries, Heartbeat]
    assert messages[1].committed == START_POSITION.after(messages[0].entries[0])
    messages = to_proxy(node.receive_proxy(2, subscribe("q", position=Position(1, b"other")), 10_000.0))
    assert [type(message) for message in messages] == [SnapshotTransfer, Heartbeat]
    assert messages[0].snapshot.position == node.consensus.log.committed


def test_an_acknowledged_wrong_digest_causes_a_snapshot_and_an_unsent_position_the_end():
    node = lone_leader()
    node.receive_proxy(1, subscribe(), 10_000.0)
    assert to_proxy(node.receive_proxy(1, Acknowledge(Position(1, b"odd"), 2.0), 10_001.0))
    effects = node.receive_proxy(1, Acknowledge(Position(7, b""), 3.0), 10_002.0)
    assert effects == [SendToSubscriber(1, Refusal(RefusalReason.INVALID)), CloseSubscriber(1)]
    assert node.receive_proxy(1, Acknowledge(Position(1, b""), 3.0), 10_003.0) == []


def test_a_newer_subscription_of_a_proxy_takes_the_place_of_the_older_one():
    node = lone_leader()
    node.receive_proxy(1, subscribe(), 10_000.0)
    effects = node.receive_proxy(2, subscribe(attempt=2), 10_000.0)
    assert effects[0] == CloseSubscriber(1)
    node.proxy_disconnected(1, 10_001.0)
    report = node.subscribers.report("a")
    assert (report.alive, report.lost) == (1, 0)


@pytest.mark.parametrize("run", [6, 8])
def test_a_restart_takes_the_place_of_the_previous_run_whatever_its_number(run):
    """Guards against an order of runs.

    With start times as runs, a restart after the clock was stepped back was refused as older for 5 s or more.
    """
    node = lone_leader()
    node.receive_proxy(1, subscribe(run=7, attempt=3), 10_000.0)
    effects = node.receive_proxy(2, subscribe(run=run), 10_000.0)
    assert effects[0] == CloseSubscriber(1)
    assert 2 in node.subscribers
    report = node.subscribers.report("a")
    assert (report.alive, report.lost) == (1, 0)


@pytest.mark.parametrize("run", [6, 8])
def test_a_displaced_process_is_refused_while_its_successor_is_subscribed(run):
    node = lone_leader()
    node.receive_proxy(1, subscribe(run=7), 10_000.0)
    node.receive_proxy(2, subscribe(run=run), 10_000.0)
    refused = [SendToSubscriber(3, Refusal(RefusalReason.INVALID)), CloseSubscriber(3)]
    assert node.receive_proxy(3, subscribe(run=7, attempt=2), 10_001.0) == refused
    assert node.receive_proxy(4, subscribe(run=run, attempt=2), 10_002.0)[0] == CloseSubscriber(2)
    assert node.receive_proxy(3, subscribe(run=7, attempt=3), 10_003.0) == refused
    # Once the successor is lost, its predecessor may subscribe again.
    node.proxy_disconnected(4, 10_004.0)
    assert node.receive_proxy(5, subscribe(run=7, attempt=4), 10_005.0)[0] != refused[0]
    assert (node.subscribers.report("a").alive, node.subscribers.report("a").lost) == (1, 0)


@pytest.mark.parametrize("run", [6, 8])
def test_a_move_of_another_process_of_the_same_name_changes_nothing(run):
    follower = ControlNode("a", NODES, "main", StoredState(), Random(1), 0.0)
    follower.receive_proxy(1, subscribe(run=7), 1.0)
    assert follower.receive_peer("b", SubscriberMoved("p", run, 9), 2.0) == []
    assert follower.subscribers.subscriber_count == 1
    follower.proxy_disconnected(1, 3.0)
    follower.receive_peer("b", SubscriberMoved("p", run, 9), 4.0)
    assert follower.subscribers.report("a").lost == 1
    follower.receive_peer("b", SubscriberMoved("p", 7, 2), 5.0)
    assert follower.subscribers.report("a").lost == 0


def test_the_number_of_remembered_displaced_runs_is_bounded():
    node = lone_leader()
    for run in range(10 * MAX_DISPLACED_RUNS):
        node.receive_proxy(run, subscribe(run=run), 10_000.0)
    (subscriber,) = node.subscribers._subscribers.values()
    assert subscriber.displaced_runs == tuple(range(run - MAX_DISPLACED_RUNS, run))


def test_a_proxy_that_leaves_without_a_goodbye_is_lost_until_it_is_forgotten():
    node = lone_leader(silence_timeout_ms=5_000.0, forget_after_ms=60_000.0)
    for number, name in enumerate(["good", "ended", "silent"]):
        node.receive_proxy(number, subscribe(name), 10_000.0)
    assert node.receive_proxy(0, Goodbye(), 10_001.0) == [CloseSubscriber(0)]
    node.proxy_disconnected(1, 10_002.0)
    assert CloseSubscriber(2) in node.tick(15_001.0)
    assert (node.subscribers.report("a").alive, node.subscribers.report("a").lost) == (0, 2)
    node.tick(70_002.0)
    assert node.subscribers.report("a").lost == 1
    node.tick(75_002.0)
    assert node.subscribers.report("a").lost == 0


def test_a_proxy_that_moves_is_not_counted_twice():
    """The new node tells the previous one of the move; a message of an older move changes nothing."""
    nodes = {name: ControlNode(name, NODES, "main", StoredState(), Random(1), 0.0) for name in NODES}
    nodes["a"].receive_proxy(1, subscribe(), 1.0)
    nodes["a"].proxy_disconnected(1, 2.0)
    effects = nodes["b"].receive_proxy(1, subscribe(attempt=2, last_node="a"), 3.0)
    moved = SendToPeer("a", SubscriberMoved("p", 1, 2))
    assert moved in effects
    nodes["a"].receive_peer("b", moved.message, 4.0)
    assert nodes["a"].subscribers.report("a").lost == 0
    nodes["a"].receive_proxy(2, subscribe(attempt=3, last_node="b"), 5.0)
    assert nodes["a"].receive_peer("b", moved.message, 6.0) == []
    assert nodes["a"].subscribers.subscriber_count == 1
    assert nodes["a"].receive_peer("c", SubscriberMoved("p", 1, 4), 7.0) == [CloseSubscriber(2)]


def test_messages_of_unknown_senders_or_in_the_name_of_another_node_are_ignored():
    follower = ControlNode("a", NODES, "main", StoredState(), Random(1), 0.0)
    other = ControlNode("b", NODES, "main", StoredState(), Random(2), 0.0)
    request = next(effect.message for effect in other.tick(10_000.0) if isinstance(effect, SendToPeer))
    assert follower.receive_peer("stranger", request, 10_000.0) == []
    assert follower.receive_peer("c", request, 10_000.0) == []
    assert follower.receive_peer("b", request, 10_000.0) != []


@pytest.mark.parametrize(
    "message",
    [
        Propose("x", EntryKind.NOOP, b""),
        Propose("x", "unheard of", b""),
        Propose("", EntryKind.CONFIGURATION, b""),
        Propose("x" * 201, EntryKind.CONFIGURATION, b""),
        Propose("x", EntryKind.CONFIGURATION, bytes(MAX_PAYLOAD_BYTES + 1)),
    ],
)
def test_an_invalid_proposal_is_refused_at_once(message):
    (effect,) = lone_leader().propose(7, message, 10_000.0)
    assert isinstance(effect, AnswerProposal)
    assert (effect.request_id, effect.answer.outcome) == (7, ProposalOutcome.INVALID)


def test_proposals_beyond_the_bound_are_refused_and_an_uncommitted_one_becomes_unknown():
    leader = ControlNode(
        "a",
        NODES,
        "main",
        StoredState(),
        Random(1),
        0.0,
        ControlNodeTiming(max_pending_proposals=1, quorum_timeout_ms=1e9),
    )
    leader.tick(10_000.0)
    leader.receive_peer("b", VoteAnswer(0, "b", 1, True, pre_vote=True), 10_000.0)
    leader.receive_peer("b", VoteAnswer(1, "b", 1, True), 10_000.0)

    def answers(effects):
        return [effect.answer.outcome for effect in effects if isinstance(effect, AnswerProposal)]

    assert answers(leader.propose(1, Propose("one", "configuration", b""), 10_000.0)) == []
    assert answers(leader.propose(2, Propose("two", "configuration", b""), 10_000.0)) == [
        ProposalOutcome.BUSY
    ]
    assert leader.next_deadline() <= 10_000.0 + ControlNodeTiming().proposal_timeout_ms
    assert answers(leader.tick(10_000.0 + ControlNodeTiming().proposal_timeout_ms)) == [
        ProposalOutcome.UNKNOWN
    ]


@given(st.dictionaries(st.integers(0, 1000), st.integers(1, 50), max_size=60))
def test_merged_positions_count_each_proxy_and_none_further_than_it_is(positions):
    counts = merge_positions(Counter(positions))
    assert len(counts) <= MAX_REPORT_POSITIONS
    assert sum(count.proxies for count in counts) == sum(positions.values())
    for index in positions:
        reached_count = sum(proxies for reached_index, proxies in positions.items() if reached_index >= index)
        assert sum(count.proxies for count in counts if count.index >= index) <= reached_count
    assert not positions or counts[0].index == min(positions)


# The counts of the fleet


def test_the_proxies_of_a_node_without_reports_are_hidden_until_they_are_forgotten():
    view = FleetView(NODES, 60_000.0, 0.0)
    view.record_report(SubscriberReport("a", 60, 2), 100.0)
    assert view.fleet_count(100.0) == FleetCount(60, 2, complete=False)
    view.record_report(SubscriberReport("b", 70, 0), 100.0)
    view.record_report(SubscriberReport("c", 50, 0), 100.0)
    view.record_report(SubscriberReport("stranger", 999, 0), 100.0)
    assert view.fleet_count(100.0) == FleetCount(180, 2, complete=True)
    view.record_report(SubscriberReport("a", 60, 0), 100.0 + REPORT_TIMEOUT_MS)
    view.record_report(SubscriberReport("b", 70, 0), 100.0 + REPORT_TIMEOUT_MS)
    assert view.fleet_count(101.0 + REPORT_TIMEOUT_MS) == FleetCount(130, 50, complete=True)
    # By now no node has reported for long; the proxies of a and b are hidden, those of c forgotten.
    assert view.fleet_count(60_101.0).hidden == 60 + 70


def test_a_new_leaders_count_is_incomplete_until_all_nodes_have_reported():
    view = FleetView(NODES, 60_000.0, 0.0)
    view.record_report(SubscriberReport("a", 60, 0), 100.0)
    assert not view.fleet_count(60_000.0).complete
    # A node that never reports does not keep the count incomplete for ever.
    assert view.fleet_count(60_001.0).complete


def test_an_activation_count_separates_proxies_that_applied_an_entry_from_those_that_refused_it():
    view = FleetView(("a", "b"), 60_000.0, 0.0)
    view.record_report(SubscriberReport("a", 5, 0, (PositionCount(3, 1), PositionCount(7, 4))), 0.0)
    refusals = (RefusalCount(7, "limits", 2),)
    view.record_report(SubscriberReport("b", 6, 1, (PositionCount(7, 5), PositionCount(8, 1)), refusals), 0.0)
    report = view.activation_count(7, 0.0)
    assert (report.applied, report.refused, report.alive, report.hidden) == (8, 2, 11, 1)
    assert (report.oldest_index, report.complete, report.refusals) == (3, True, refusals)


@given(
    st.integers(0, 600),
    st.integers(0, 600),
    st.booleans(),
    st.integers(0, 480),
    st.booleans(),
    st.integers(0, 600),
)
def test_the_shares_of_all_proxies_never_exceed_the_bound(
    alive, hidden, complete, provisioned, current, live_proxies
):
    """The shares fit if no more proxies are alive than are counted or, without a lease, provisioned."""
    share = 1 / bound_divisor(FleetCount(alive, hidden, complete), provisioned, current)
    live_count = (
        min(live_proxies, alive + hidden, max(provisioned, alive))
        if current and complete
        else min(live_proxies, provisioned)
    )
    assert live_count * share <= 1.0 + 1e-9
    assert share <= 1.0


def test_the_divisor_of_a_fleet_wide_bound():
    counted = FleetCount(400, 30, complete=True)
    assert bound_divisor(counted, 480, has_lease=True) == 430
    assert bound_divisor(counted, 480, has_lease=False) == 480
    assert bound_divisor(FleetCount(400, 30, complete=False), 480, has_lease=True) == 480
    # Proxies that have moved may be counted twice.
    assert bound_divisor(FleetCount(400, 300, complete=True), 480, has_lease=True) == 480
    # More proxies are alive than are provisioned.
    assert bound_divisor(FleetCount(500, 0, complete=True), 480, has_lease=True) == 500
    assert bound_divisor(FleetCount(), 0, has_lease=False) == 1


# Selection of a control node


def test_the_own_region_is_tried_first_and_the_backoff_grows_with_each_round():
    selector = ControlNodeSelector(
        (("a", "b"), ("c", "d")), SubscriptionTiming(initial_backoff_ms=100, max_backoff_ms=300), Random(3)
    )
    backoffs_ms = []
    for _ in range(4):
        tried, waits_ms = [], []
        for _ in range(4):
            tried.append(selector.selected_node())
            waits_ms.append(selector.record_failure())
        assert set(tried[:2]) == {"a", "b"}
        assert set(tried[2:]) == {"c", "d"}
        assert waits_ms[:3] == [0.0] * 3
        backoffs_ms.append(waits_ms[3])
    assert 50 <= backoffs_ms[0] <= 100 <= backoffs_ms[1] <= 200
    assert 150 <= backoffs_ms[2] <= 300
    assert 150 <= backoffs_ms[3] <= 300


def test_after_a_node_that_served_fails_it_is_tried_last():
    selector = ControlNodeSelector((("a",), ("b", "c")), SubscriptionTiming(), Random(3))
    selector.record_served()
    assert selector.record_failure() == 0.0
    others = []
    for _ in range(2):
        others.append(selector.selected_node())
        selector.record_failure()
    assert (sorted(others), selector.selected_node()) == (["b", "c"], "a")


def test_a_proxy_at_another_regions_node_returns_to_its_own_region():
    selector = ControlNodeSelector((("a",), ("b",)), SubscriptionTiming(remote_stay_ms=1000.0), Random(3))
    assert selector.stay_ms() == float("inf")
    selector.record_failure()
    assert 500.0 <= selector.stay_ms() <= 1000.0
    selector.return_to_local()
    assert selector.selected_node() == "a"
