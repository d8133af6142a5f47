"""Proxies of the control log that restart, are slow or refuse an entry, each case forced in virtual time."""

from collections import Counter

import pytest
from control_rig import (
    NODES,
    all_serve,
    propose_change,
    run_checking_leases,
    served_proposal,
    start_world,
)

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import LogState, Position, Snapshot
from cloverwell.control.timing import FanoutTiming, SubscriptionTiming
from lab.control_world import ControlWorld

# Proxies that restart


def saved_snapshot(process):
    """Returns the snapshot that a process saves for its successor."""
    position = process.subscription.position
    state = LogState()
    for entry in process.serving.values():
        state = state.after(entry)
    return Snapshot.of(position, 1, state)


def test_a_proxy_restarted_with_an_older_snapshot_gets_the_entries_after_it():
    world = start_world()
    propose_change(world, "change-1")
    world.run(2_000)
    snapshot = saved_snapshot(world.proxies["p0"])
    world.kill_proxy("p0")
    propose_change(world, "change-2")
    world.run(2_000)
    world.start_proxy("p0", snapshot)
    process = world.proxies["p0"]
    world.run(0.5)
    assert served_proposal(process) == "change-1"  # It serves at once, before it has reached a control node.
    assert not process.subscription.caught_up
    world.run_until(lambda: process.subscription.caught_up, 2_000)
    assert [type(load) for load in process.loads] == [ApplySnapshot, ApplyEntry]
    assert served_proposal(process) == "change-2"


def test_a_proxy_restarted_with_a_snapshot_ahead_of_the_log_keeps_serving_with_it():
    world = start_world()
    propose_change(world, "change-1")
    world.run(2_000)
    world.kill_proxy("p0")
    state = LogState().after(world.rules.log[-1])
    newer_snapshot = Snapshot.of(Position(len(world.rules.log) + 50, b"ahead"), 9, state)
    world.start_proxy("p0", newer_snapshot)
    process = world.proxies["p0"]
    run_checking_leases(world, 20_000)
    assert [type(load) for load in process.loads] == [ApplySnapshot]
    assert process.subscription.position == newer_snapshot.position
    status = process.subscription.status(process.clock.at(world.now))
    assert (status.current, status.caught_up, status.catch_up_abandoned) == (False, False, True)


@pytest.mark.parametrize("damage", ["checksum", "digest"])
def test_a_proxy_restarted_with_a_corrupt_snapshot_gets_that_of_the_log(damage):
    world = start_world()
    propose_change(world, "change-1")
    world.run(2_000)
    intact_snapshot = saved_snapshot(world.proxies["p0"])
    world.kill_proxy("p0")
    if damage == "checksum":
        damaged_snapshot = Snapshot(
            intact_snapshot.position, intact_snapshot.term, LogState(), intact_snapshot.checksum
        )
    else:
        damaged_snapshot = Snapshot.of(
            Position(intact_snapshot.position.index, b"not this log's"), 1, LogState()
        )
    world.start_proxy("p0", damaged_snapshot)
    process = world.proxies["p0"]
    world.run_until(lambda: process.subscription.caught_up, 2_000)
    assert served_proposal(process) == "change-1"
    assert process.subscription.position == intact_snapshot.position
    snapshots = [load.snapshot for load in process.loads if isinstance(load, ApplySnapshot)]
    assert (damaged_snapshot in snapshots) == (damage == "digest")


def test_85_proxies_of_480_restart_at_once():
    nodes = {f"c{number}": f"region{number % 6}" for number in range(7)}
    proxies = {f"p{number}": f"region{number % 6}" for number in range(480)}
    world = ControlWorld(nodes, proxies, seed=5)
    world.run_until(lambda: world.leader() is not None, 10_000)
    for name in proxies:
        world.start_proxy(name)
    world.run(3_000)
    propose_change(world, "change-1", bytes(50_000))
    world.run(3_000)
    count = world.leader().node.fleet_count(world.leader().clock.at(world.now))
    assert (count.alive, count.hidden, count.complete) == (480, 0, True)
    restarted_names = list(proxies)[:85]
    for name in restarted_names:
        world.kill_proxy(name)
    for name in restarted_names:
        world.start_proxy(name)
    restarted = [world.proxies[name] for name in restarted_names]
    world.run_until(lambda: all(process.subscription.caught_up for process in restarted), 2_000)
    assert all_serve(world, "change-1")()
    world.run(3_000)
    count = world.leader().node.fleet_count(world.leader().clock.at(world.now))
    assert (count.alive, count.complete) == (480, True)
    # A proxy stays hidden if it returns to another node than the one that it left without a goodbye.
    assert count.hidden <= 85


def test_a_proxy_that_reaches_no_control_node_is_ready_after_the_catch_up_timeout():
    world = start_world()
    world.kill_proxy("p0")
    for node in NODES:
        world.cut("p0", node)
    world.start_proxy("p0")
    process = world.proxies["p0"]
    timeout_ms = SubscriptionTiming().catch_up_timeout_ms
    world.run(timeout_ms - 10)
    assert not process.subscription.is_ready(process.clock.at(world.now))
    world.run(20)
    assert process.subscription.is_ready(process.clock.at(world.now))
    assert process.subscription.status(process.clock.at(world.now)).catch_up_abandoned
    assert timeout_ms < 10_000  # Nine in ten proxies must be ready within 10 s.
    world.mend()
    world.run_until(lambda: process.subscription.caught_up, 10_000)


# Proxies that differ


def test_a_change_that_one_proxy_refuses_is_counted_until_a_later_one_replaces_it():
    world = start_world()
    propose_change(world, "good")
    world.run(2_000)
    process = world.proxies["p3"]
    process.load = lambda entry: "limits: unknown name" if entry.proposal == "bad here" else None
    propose_change(world, "bad here")
    world.run(3_000)
    leader = world.leader()
    index = len(world.rules.log)
    report = leader.node.activation_count(index, leader.clock.at(world.now))
    assert (report.applied, report.refused, report.alive, report.oldest_index) == (11, 1, 12, index)
    assert [(each.index, each.reason) for each in report.refusals] == [(index, "limits: unknown name")]
    assert served_proposal(process) == "good"
    assert all_serve(world, "bad here", [each for each in world.proxies.values() if each is not process])()
    propose_change(world, "mended")
    world.run(3_000)
    report = leader.node.activation_count(index + 1, leader.clock.at(world.now))
    assert (report.applied, report.refused, report.refusals) == (12, 0, ())
    assert all_serve(world, "mended")()


def test_a_slow_proxy_among_fast_ones_gets_a_snapshot_and_delays_no_other():
    fanout = FanoutTiming(window_entries=4, max_entries_behind=16)
    world = start_world(fanout=fanout)
    slow_proxy = world.proxies["p1"]
    slow_proxy.load_ms = 400.0
    fast_proxies = [process for process in world.proxies.values() if process is not slow_proxy]
    for number in range(100):
        propose_change(world, f"change-{number}")
        assert world.run_until(all_serve(world, f"change-{number}", fast_proxies), 2_000) < 1_700
        for node in world.nodes.values():
            subscribers = node.node.subscribers._subscribers.values()
            assert all(len(each.in_flight) <= fanout.window_entries for each in subscribers)
    assert served_proposal(slow_proxy) != "change-99"
    world.run_until(all_serve(world, "change-99"), 8_000)
    kinds = Counter(type(load) for load in slow_proxy.loads)
    assert kinds[ApplySnapshot] >= 1
    assert kinds[ApplyEntry] < 100
