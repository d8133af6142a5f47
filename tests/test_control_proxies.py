"""What is hard for the control log's proxies, each case forced in virtual time."""

from collections import Counter

import pytest
from control_rig import (
    NODES,
    all_serve,
    change,
    run_checked,
    serving,
    world,
)

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import LogState, Position, Snapshot
from cloverwell.control.timing import FanoutTiming, SubscriptionTiming
from lab.control_world import ControlWorld

# Proxies that come back


def kept(process):
    """What a process hands to the one after it."""
    position = process.subscription.position
    state = LogState()
    for entry in process.serving.values():
        state = state.after(entry)
    return Snapshot.of(position, 1, state)


def test_a_proxy_back_with_an_older_snapshot_gets_the_tail():
    played = world()
    change(played, "change-1")
    played.run(2_000)
    snapshot = kept(played.proxies["p0"])
    played.kill_proxy("p0")
    change(played, "change-2")
    played.run(2_000)
    played.start_proxy("p0", snapshot)
    process = played.proxies["p0"]
    played.run(0.5)
    assert serving(process) == "change-1"  # at once, before control was reached
    assert not process.subscription.caught_up
    played.run_until(lambda: process.subscription.caught_up, 2_000)
    assert [type(load) for load in process.loads] == [ApplySnapshot, ApplyEntry]
    assert serving(process) == "change-2"


def test_a_proxy_back_with_a_newer_snapshot_never_goes_back_and_serves_on_by_it():
    played = world()
    change(played, "change-1")
    played.run(2_000)
    played.kill_proxy("p0")
    state = LogState().after(played.rules.log[-1])
    ahead = Snapshot.of(Position(len(played.rules.log) + 50, b"ahead"), 9, state)
    played.start_proxy("p0", ahead)
    process = played.proxies["p0"]
    run_checked(played, 20_000)
    assert [type(load) for load in process.loads] == [ApplySnapshot]
    assert process.subscription.position == ahead.position
    status = process.subscription.status(process.clock.at(played.now))
    assert (status.current, status.caught_up, status.catch_up_abandoned) == (False, False, True)


@pytest.mark.parametrize("damage", ["checksum", "digest"])
def test_a_proxy_back_with_a_corrupt_snapshot_gets_the_logs(damage):
    played = world()
    change(played, "change-1")
    played.run(2_000)
    good = kept(played.proxies["p0"])
    played.kill_proxy("p0")
    if damage == "checksum":
        bad = Snapshot(good.position, good.term, LogState(), good.checksum)
    else:
        bad = Snapshot.of(Position(good.position.index, b"not this log's"), 1, LogState())
    played.start_proxy("p0", bad)
    process = played.proxies["p0"]
    played.run_until(lambda: process.subscription.caught_up, 2_000)
    assert serving(process) == "change-1"
    assert process.subscription.position == good.position
    snapshots = [load.snapshot for load in process.loads if isinstance(load, ApplySnapshot)]
    assert (bad in snapshots) == (damage == "digest")


def test_85_proxies_of_480_restart_at_once():
    nodes = {f"c{number}": f"region{number % 6}" for number in range(7)}
    proxies = {f"p{number}": f"region{number % 6}" for number in range(480)}
    played = ControlWorld(nodes, proxies, seed=5)
    played.run_until(lambda: played.leader() is not None, 10_000)
    for name in proxies:
        played.start_proxy(name)
    played.run(3_000)
    change(played, "change-1", bytes(50_000))
    played.run(3_000)
    count = played.leader().node.fleet_count(played.leader().clock.at(played.now))
    assert (count.alive, count.hidden, count.complete) == (480, 0, True)
    names = list(proxies)[:85]
    for name in names:
        played.kill_proxy(name)
    for name in names:
        played.start_proxy(name)
    restarted = [played.proxies[name] for name in names]
    played.run_until(lambda: all(process.subscription.caught_up for process in restarted), 2_000)
    assert all_serve(played, "change-1")()
    played.run(3_000)
    count = played.leader().node.fleet_count(played.leader().clock.at(played.now))
    assert (count.alive, count.complete) == (480, True)
    assert count.hidden <= 85  # those that came back at another node than they had left unannounced


def test_a_proxy_that_reaches_no_control_node_gives_up_waiting_and_is_ready():
    played = world()
    played.kill_proxy("p0")
    for node in NODES:
        played.cut("p0", node)
    played.start_proxy("p0")
    process = played.proxies["p0"]
    bound = SubscriptionTiming().catch_up_timeout_ms
    played.run(bound - 10)
    assert not process.subscription.is_ready(process.clock.at(played.now))
    played.run(20)
    assert process.subscription.is_ready(process.clock.at(played.now))
    assert process.subscription.status(process.clock.at(played.now)).catch_up_abandoned
    assert bound < 10_000  # nine in ten are ready in 10 s
    played.mend()
    played.run_until(lambda: process.subscription.caught_up, 10_000)


# Proxies that differ


def test_a_change_that_one_proxy_cannot_load():
    played = world()
    change(played, "good")
    played.run(2_000)
    process = played.proxies["p3"]
    process.load = lambda entry: "limits: unknown name" if entry.proposal == "bad here" else None
    change(played, "bad here")
    played.run(3_000)
    leader = played.leader()
    index = len(played.rules.log)
    report = leader.node.activation_count(index, leader.clock.at(played.now))
    assert (report.applied, report.refused, report.alive, report.oldest_index) == (11, 1, 12, index)
    assert [(each.index, each.reason) for each in report.refusals] == [(index, "limits: unknown name")]
    assert serving(process) == "good"
    assert all_serve(played, "bad here", [each for each in played.proxies.values() if each is not process])()
    change(played, "mended")
    played.run(3_000)
    report = leader.node.activation_count(index + 1, leader.clock.at(played.now))
    assert (report.applied, report.refused, report.refusals) == (12, 0, ())
    assert all_serve(played, "mended")()


def test_a_slow_proxy_among_fast_ones_gets_a_snapshot_and_holds_nobody_up():
    fanout = FanoutTiming(window_entries=4, max_entries_behind=16)
    played = world(fanout=fanout)
    slow = played.proxies["p1"]
    slow.load_ms = 400.0
    fast = [process for process in played.proxies.values() if process is not slow]
    for number in range(100):
        change(played, f"change-{number}")
        assert played.run_until(all_serve(played, f"change-{number}", fast), 2_000) < 1_700
        for node in played.nodes.values():
            subscribers = node.node.subscribers._subscribers.values()
            assert all(len(each.in_flight) <= fanout.window_entries for each in subscribers)
    assert serving(slow) != "change-99"
    played.run_until(all_serve(played, "change-99"), 8_000)
    kinds = Counter(type(load) for load in slow.loads)
    assert kinds[ApplySnapshot] >= 1
    assert kinds[ApplyEntry] < 100
