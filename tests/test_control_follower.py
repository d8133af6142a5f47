"""A proxy's connection to the control log, against control nodes played by the test."""

from random import Random
from types import SimpleNamespace

import pytest
from control_net_rig import Lines, Reactor, end, frame

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
    """Before each entry, and after the last."""
    made = [START_POSITION]
    for one in entries:
        made.append(made[-1].after(one))
    return made


class Played:
    """A follower without a proxy, which applies all entries but those in `refused_indexes`."""

    def __init__(self):
        self.reactor, self.lines = Reactor(), Lines()
        self.applied, self.refused_indexes, self.missed = [], set(), 0
        self.follower = Follower(
            self.reactor,
            (LOCAL_NODES, REMOTE_NODES),
            "fleet",
            "proxy-1",
            self.in_force,
            self.lines,
            self.purges_missed,
            now=self.reactor.now_ms,
            random=Random(1),
            timing=TIMING,
        )
        self.follower.start()

    def in_force(self, entry):
        if entry.index in self.refused_indexes:
            raise EntryRefusedError("field: no")
        self.applied.append(entry.index)

    def purges_missed(self):
        self.missed += 1

    @property
    def last(self):
        return self.reactor.tries[-1]

    def connect(self):
        """The try that is out comes up; its `Subscribe`."""
        (message,) = self.last.succeed().messages()
        assert isinstance(message, Subscribe)
        return message

    def tell(self, *messages):
        self.last.protocol.dataReceived(b"".join(map(frame, messages)))

    def said(self):
        return self.last.transport.messages()


@pytest.fixture
def played():
    return Played()


def test_the_own_region_comes_first_and_the_next_after_a_failure(played):
    assert played.last.address == LOCAL_NODES["north-1"]
    played.last.fail()
    played.last.fail()
    assert {t.address for t in played.reactor.tries[1:]} == set(REMOTE_NODES.values())
    played.last.fail()
    assert len(played.reactor.tries) == 3  # all have failed: not at once
    played.reactor.advance(TIMING.max_backoff_ms / 1000)
    assert len(played.reactor.tries) == 4


def test_no_two_processes_are_one_run_whatever_their_clocks_and_seeds_say(monkeypatch):
    monkeypatch.setattr("time.time", lambda: 0.0)
    runs = {Played().connect().run for _ in range(3)}
    assert len(runs) == 3
    assert all(0 <= run < 2**53 for run in runs)


def test_entries_are_put_in_force_in_order_and_acknowledged(played):
    entries = tuple(entry(index) for index in (1, 2, 3))
    at = positions(entries)
    subscribe = played.connect()
    assert (subscribe.proxy, subscribe.log, subscribe.position) == ("proxy-1", "fleet", START_POSITION)
    played.tell(Entries(START_POSITION, entries[:2]), Entries(at[2], entries[2:]))
    assert played.applied == [1, 2, 3]
    acknowledged = [m.position for m in played.said() if isinstance(m, Acknowledge)]
    assert acknowledged[-1] == at[3] == played.follower.status.position


def test_an_entry_that_is_refused_is_reported_and_the_next_one_replaces_it(played):
    entries = tuple(entry(index) for index in (1, 2, 3))
    at = positions(entries)
    played.refused_indexes = {2}
    played.connect()
    played.tell(Entries(START_POSITION, entries[:2]))
    last = played.said()[-1]
    assert (last.position, last.refused_index, last.refused_reason) == (at[2], 2, "field: no")
    assert played.applied == [1]
    assert played.follower.status.refused_index == 2
    played.tell(Entries(at[2], entries[2:]))
    assert played.applied == [1, 3]
    assert played.said()[-1].refused_index == 0


def test_a_snapshot_brings_the_last_of_each_kind_and_the_purges_since(played):
    entries = [entry(1, "purge"), entry(2), entry(3), entry(4, "purge"), entry(5, "purge")]
    at, state = positions(entries), LogState()
    for one in entries:
        state = state.after(one)
    played.connect()
    played.tell(Entries(START_POSITION, tuple(entries[:2])))
    assert played.applied == [1, 2]
    played.tell(SnapshotTransfer(Snapshot.of(at[5], 1, state)))
    assert played.applied == [1, 2, 3, 4, 5]
    assert played.missed == 0
    assert played.follower.status.position == at[5]


def test_purges_that_nobody_can_name_any_more_are_reported(played):
    position = START_POSITION
    for index in range(1, 10):
        position = position.after(entry(index))
    state = LogState({"configuration": entry(9)}, (), purges_complete_from=5)
    played.connect()
    played.tell(SnapshotTransfer(Snapshot.of(position, 1, state)))
    assert played.missed == 1
    assert played.applied == [9]


def test_a_node_that_falls_silent_is_left_for_the_next(played):
    played.connect()
    played.reactor.advance(TIMING.silence_timeout_ms / 1000 + 0.1)
    assert len(played.reactor.tries) == 2
    assert played.reactor.tries[0].transport.closed
    assert "warn control: left north-1: silent" in played.lines.lines


def test_a_connection_that_comes_up_after_it_was_given_up_is_not_used(played):
    first = played.last
    played.reactor.advance(TIMING.connect_timeout_ms / 1000 + 0.1)
    assert first.given_up
    assert len(played.reactor.tries) == 2
    assert first.succeed().aborted
    end(first.protocol)
    assert len(played.reactor.tries) == 2


def test_a_refusal_a_broken_connection_and_nonsense_all_lead_to_the_next(played):
    played.connect()
    played.tell(Refusal(RefusalReason.BEHIND))
    assert len(played.reactor.tries) == 2
    played.connect()
    end(played.last.protocol)
    assert len(played.reactor.tries) == 3
    played.connect()
    third = played.last
    third.protocol.dataReceived(frame(Goodbye()))
    assert third.transport.aborted
    end(third.protocol)
    played.reactor.advance(TIMING.max_backoff_ms / 1000)
    assert len(played.reactor.tries) == 4


def test_a_heartbeat_with_a_lease_makes_it_current_and_tells_how_many_live(played):
    subscribe = played.connect()
    assert not played.follower.ready
    played.tell(Heartbeat(START_POSITION, subscribe.token, 5000.0, FleetCount(30, 2, True)))
    assert played.follower.ready
    assert played.follower.status.current
    assert played.follower.divide_by(480) == 32
    played.reactor.advance(20)  # nothing more is received: the lease ends
    assert not played.follower.status.current
    assert played.follower.divide_by(480) == 480


def test_a_start_without_any_node_waits_for_a_bounded_time(played):
    while played.reactor.now_ms() < TIMING.catch_up_timeout_ms:
        assert not played.follower.ready
        if played.last.factory is not None:
            played.last.fail()
        played.reactor.advance(0.25)
    assert played.follower.ready
    assert not played.follower.status.caught_up


def test_a_stop_takes_leave_and_ends_all_timers(played):
    played.connect()
    transport = played.last.transport
    played.follower.stop()
    assert transport.messages() == [Goodbye()]
    assert transport.closed
    end(played.last.protocol)
    played.reactor.advance(60)
    assert len(played.reactor.tries) == 1
    assert not played.reactor.getDelayedCalls()


def test_it_may_be_started_again(played):
    entries = (entry(1), entry(2))
    played.connect()
    played.tell(Entries(START_POSITION, entries[:1]))
    played.follower.stop()
    end(played.last.protocol)
    played.follower.start()
    assert played.connect().position == positions(entries)[1]
    played.tell(Entries(positions(entries)[1], entries[1:]))
    assert played.applied == [1, 2]


def test_a_hollow_proxy_follows_without_a_service():
    reported = []
    context = SimpleNamespace(
        name="hollow-1", reactor=Reactor(), in_force=lambda *arguments: reported.append(arguments)
    )
    regions = {"north": LOCAL_NODES, "south": REMOTE_NODES}
    follower = follower_factory(regions, lambda proxy: "south")(context)
    follower.start()
    assert context.reactor.tries[0].address in REMOTE_NODES.values()
    transport = context.reactor.tries[0].succeed()
    assert transport.messages()[0].proxy == "hollow-1"
    context.reactor.tries[0].protocol.dataReceived(frame(Entries(START_POSITION, (entry(1), entry(2)))))
    assert reported == [("control", 1, False, 1), ("control", 2, False, 1)]
    follower.stop()
    assert transport.messages()[-1] == Goodbye()
