"""The follower of the control log, with control nodes that the test simulates."""

from random import Random
from types import SimpleNamespace

import pytest
from control_net_rig import Reactor, RecordingLog, frame, lose_connection

from cloverwell.control.entry import START_POSITION, Entry, LogState, Snapshot
from cloverwell.control.messages import (
    Acknowledge,
    Entries,
    FleetCount,
    Goodbye,
    Heartbeat,
    Refusal,
    RefusalReason,
    SnapshotTransfer,
    Subscribe,
)
from cloverwell.control.net.errors import EntryRefusedError
from cloverwell.control.net.follower import Follower
from cloverwell.control.timing import SubscriptionTiming
from lab.control_follower import follower_factory

LOCAL_NODES = {"north-1": ("127.0.0.1", 1)}
REMOTE_NODES = {"south-1": ("127.0.0.1", 2), "west-1": ("127.0.0.1", 3)}
TIMING = SubscriptionTiming()


def entry(index, kind="configuration"):
    return Entry(index, 1, kind, b"%d" % index, f"p{index}")


def positions(entries):
    """Returns the positions before each entry, and the one after the last."""
    all_positions = [START_POSITION]
    for one in entries:
        all_positions.append(all_positions[-1].after(one))
    return all_positions


class FollowerRig:
    """A follower without a proxy, which applies all entries except those in `refused_indexes`."""

    def __init__(self):
        self.reactor, self.log = Reactor(), RecordingLog()
        self.applied, self.refused_indexes, self.purges_missed_count = [], set(), 0
        self.follower = Follower(
            self.reactor,
            (LOCAL_NODES, REMOTE_NODES),
            "fleet",
            "proxy-1",
            self.apply_entry,
            self.log,
            self.purges_missed,
            now=self.reactor.now_ms,
            random=Random(1),
            timing=TIMING,
        )
        self.follower.start()

    def apply_entry(self, entry):
        if entry.index in self.refused_indexes:
            raise EntryRefusedError("field: no")
        self.applied.append(entry.index)

    def purges_missed(self):
        self.purges_missed_count += 1

    @property
    def last_attempt(self):
        return self.reactor.attempts[-1]

    def connect(self):
        """Lets the last connection attempt succeed, and returns the `Subscribe` that the follower sends."""
        (message,) = self.last_attempt.succeed().messages()
        assert isinstance(message, Subscribe)
        return message

    def receive(self, *messages):
        """Makes the follower receive messages on its last connection."""
        self.last_attempt.protocol.dataReceived(b"".join(map(frame, messages)))

    def sent(self):
        """Returns the messages that the follower has sent on its last connection since the last call."""
        return self.last_attempt.transport.messages()


@pytest.fixture
def rig():
    return FollowerRig()


def test_the_own_region_is_tried_first_and_the_others_after_a_failure(rig):
    assert rig.last_attempt.address == LOCAL_NODES["north-1"]
    rig.last_attempt.fail()
    rig.last_attempt.fail()
    assert {attempt.address for attempt in rig.reactor.attempts[1:]} == set(REMOTE_NODES.values())
    rig.last_attempt.fail()
    assert len(rig.reactor.attempts) == 3  # All nodes have failed, so the next attempt waits.
    rig.reactor.advance(TIMING.max_backoff_ms / 1000)
    assert len(rig.reactor.attempts) == 4


def test_two_processes_have_different_runs_even_with_the_same_clock_and_seed(monkeypatch):
    monkeypatch.setattr("time.time", lambda: 0.0)
    runs = {FollowerRig().connect().run for _ in range(3)}
    assert len(runs) == 3
    assert all(0 <= run < 2**53 for run in runs)


def test_entries_are_applied_in_order_and_acknowledged(rig):
    entries = tuple(entry(index) for index in (1, 2, 3))
    position_after = positions(entries)
    subscribe = rig.connect()
    assert (subscribe.proxy, subscribe.log, subscribe.position) == ("proxy-1", "fleet", START_POSITION)
    rig.receive(Entries(START_POSITION, entries[:2]), Entries(position_after[2], entries[2:]))
    assert rig.applied == [1, 2, 3]
    acknowledged = [m.position for m in rig.sent() if isinstance(m, Acknowledge)]
    assert acknowledged[-1] == position_after[3] == rig.follower.status.position


def test_a_refused_entry_is_reported_until_a_later_one_replaces_it(rig):
    entries = tuple(entry(index) for index in (1, 2, 3))
    position_after = positions(entries)
    rig.refused_indexes = {2}
    rig.connect()
    rig.receive(Entries(START_POSITION, entries[:2]))
    last = rig.sent()[-1]
    assert (last.position, last.refused_index, last.refused_reason) == (position_after[2], 2, "field: no")
    assert rig.applied == [1]
    assert rig.follower.status.refused_index == 2
    rig.receive(Entries(position_after[2], entries[2:]))
    assert rig.applied == [1, 3]
    assert rig.sent()[-1].refused_index == 0


def test_a_snapshot_applies_the_latest_entry_of_each_kind_and_the_purges_not_applied_yet(rig):
    entries = [entry(1, "purge"), entry(2), entry(3), entry(4, "purge"), entry(5, "purge")]
    position_after, state = positions(entries), LogState()
    for one in entries:
        state = state.after(one)
    rig.connect()
    rig.receive(Entries(START_POSITION, tuple(entries[:2])))
    assert rig.applied == [1, 2]
    rig.receive(SnapshotTransfer(Snapshot.of(position_after[5], 1, state)))
    assert rig.applied == [1, 2, 3, 4, 5]
    assert rig.purges_missed_count == 0
    assert rig.follower.status.position == position_after[5]


def test_purges_that_a_snapshot_no_longer_lists_are_reported_as_missed(rig):
    position = START_POSITION
    for index in range(1, 10):
        position = position.after(entry(index))
    state = LogState({"configuration": entry(9)}, (), purges_complete_from=5)
    rig.connect()
    rig.receive(SnapshotTransfer(Snapshot.of(position, 1, state)))
    assert rig.purges_missed_count == 1
    assert rig.applied == [9]


def test_a_silent_node_is_left_for_another(rig):
    rig.connect()
    rig.reactor.advance(TIMING.silence_timeout_ms / 1000 + 0.1)
    assert len(rig.reactor.attempts) == 2
    assert rig.reactor.attempts[0].transport.closed
    assert "warn control: stopped following north-1: silent" in rig.log.lines


def test_a_connection_that_opens_after_its_attempt_was_abandoned_is_aborted(rig):
    first = rig.last_attempt
    rig.reactor.advance(TIMING.connect_timeout_ms / 1000 + 0.1)
    assert first.disconnected
    assert len(rig.reactor.attempts) == 2
    assert first.succeed().aborted
    lose_connection(first.protocol)
    assert len(rig.reactor.attempts) == 2


def test_a_refusal_a_lost_connection_and_an_invalid_message_all_lead_to_the_next_node(rig):
    rig.connect()
    rig.receive(Refusal(RefusalReason.BEHIND))
    assert len(rig.reactor.attempts) == 2
    rig.connect()
    lose_connection(rig.last_attempt.protocol)
    assert len(rig.reactor.attempts) == 3
    rig.connect()
    third = rig.last_attempt
    third.protocol.dataReceived(frame(Goodbye()))
    assert third.transport.aborted
    lose_connection(third.protocol)
    rig.reactor.advance(TIMING.max_backoff_ms / 1000)
    assert len(rig.reactor.attempts) == 4


def test_a_heartbeat_with_a_lease_makes_the_proxy_current_and_gives_the_number_of_live_proxies(rig):
    subscribe = rig.connect()
    assert not rig.follower.ready
    rig.receive(Heartbeat(START_POSITION, subscribe.token, 5000.0, FleetCount(30, 2, True)))
    assert rig.follower.ready
    assert rig.follower.status.current
    assert rig.follower.divide_by(480) == 32
    rig.reactor.advance(20)  # The lease expires, as no further heartbeat arrives.
    assert not rig.follower.status.current
    assert rig.follower.divide_by(480) == 480


def test_a_start_without_any_reachable_node_waits_for_a_bounded_time(rig):
    while rig.reactor.now_ms() < TIMING.catch_up_timeout_ms:
        assert not rig.follower.ready
        if rig.last_attempt.factory is not None:
            rig.last_attempt.fail()
        rig.reactor.advance(0.25)
    assert rig.follower.ready
    assert not rig.follower.status.caught_up


def test_a_stop_says_goodbye_and_cancels_all_timers(rig):
    rig.connect()
    transport = rig.last_attempt.transport
    rig.follower.stop()
    assert transport.messages() == [Goodbye()]
    assert transport.closed
    lose_connection(rig.last_attempt.protocol)
    rig.reactor.advance(60)
    assert len(rig.reactor.attempts) == 1
    assert not rig.reactor.getDelayedCalls()


def test_a_stopped_follower_may_be_started_again(rig):
    entries = (entry(1), entry(2))
    rig.connect()
    rig.receive(Entries(START_POSITION, entries[:1]))
    rig.follower.stop()
    lose_connection(rig.last_attempt.protocol)
    rig.follower.start()
    assert rig.connect().position == positions(entries)[1]
    rig.receive(Entries(positions(entries)[1], entries[1:]))
    assert rig.applied == [1, 2]


def test_a_hollow_proxy_follows_the_log_without_a_service():
    reported = []
    context = SimpleNamespace(
        name="hollow-1", reactor=Reactor(), in_force=lambda *arguments: reported.append(arguments)
    )
    regions = {"north": LOCAL_NODES, "south": REMOTE_NODES}
    follower = follower_factory(regions, lambda proxy: "south")(context)
    follower.start()
    assert context.reactor.attempts[0].address in REMOTE_NODES.values()
    transport = context.reactor.attempts[0].succeed()
    assert transport.messages()[0].proxy == "hollow-1"
    context.reactor.attempts[0].protocol.dataReceived(frame(Entries(START_POSITION, (entry(1), entry(2)))))
    assert reported == [("control", 1, False, 1), ("control", 2, False, 1)]
    follower.stop()
    assert transport.messages()[-1] == Goodbye()
