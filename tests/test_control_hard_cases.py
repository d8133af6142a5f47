"""Hard cases of the control log, each forced in virtual time, with `ControlInvariants` at every step."""

from collections import Counter

import pytest
from control_rig import (
    ACTIVATION_MS,
    NODES,
    REGIONS,
    all_serve,
    change,
    current,
    run_checked,
    serving,
    times_applied,
    world,
)

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import ProposalOutcome, Propose
from cloverwell.control.timing import LEASE_MS
from lab.control_processes import Clock

# The control nodes


def test_the_leader_dies_between_commit_and_fan_out():
    played = world()
    before = len(played.rules.log)
    change(played, "change-1")
    leader = played.leader().name
    played.run_until(lambda: len(played.rules.log) > before, 1_000)
    played.kill_node(leader, machine=True)
    assert not any(serving(process) == "change-1" for process in played.proxies.values())
    assert played.run_until(all_serve(played, "change-1"), 60_000) <= ACTIVATION_MS
    assert all(times_applied(process, "change-1") == 1 for process in played.proxies.values())
    assert played.leader().name != leader


def test_a_control_node_dies_with_half_of_its_subscribers_notified():
    played = world(proxies=30)
    leader = played.leader().name
    node = next(name for name in ("n1", "s1", "n2", "s2") if name != leader)
    own = [
        process
        for process in played.proxies.values()
        if process.subscription.status(process.clock.at(played.now)).node == node
    ]
    assert len(own) >= 4
    change(played, "change-1")

    def count_serving():
        return sum(serving(process) == "change-1" for process in own)

    played.run_until(lambda: count_serving() >= len(own) // 2, 1_000)
    assert 0 < count_serving() < len(own)
    played.kill_node(node, machine=True)
    assert played.run_until(all_serve(played, "change-1"), 60_000) <= ACTIVATION_MS
    assert all(times_applied(process, "change-1") == 1 for process in own)
    run_checked(played, 10_000)
    assert all(current(played, process) for process in own)


def test_a_node_that_was_cut_off_does_not_unseat_the_leader_when_it_is_back():
    played = world()
    leader = played.leader()
    away = next(name for name in NODES if name != leader.name)
    term = leader.node.consensus.term
    for other in NODES:
        if other != away:
            played.cut(away, other)
    played.run(60_000)
    assert played.nodes[away].node.consensus.term == term  # it asked before it stood, and nobody answered
    played.mend()
    change(played, "change-1")
    run_checked(played, 10_000)
    assert played.leader() is leader
    assert leader.node.consensus.term == term
    assert played.nodes[away].node.consensus.log.committed == leader.node.consensus.log.committed


# Regions that lose each other


@pytest.mark.parametrize(
    ("changes", "whole_region", "effects_after"),
    [(200, True, {ApplyEntry: 200}), (200, False, {ApplyEntry: 200}), (300, False, {ApplySnapshot: 1})],
)
def test_a_region_is_cut_off_for_minutes_while_changes_are_made(changes, whole_region, effects_after):
    """With its control node, or its proxies without one: then the tail may have grown too long."""
    played = world()
    change(played, "before")
    played.run_until(all_serve(played, "before"), 5_000)
    region = next(name for name in REGIONS if name != played.leader().region)
    away = [process for process in played.proxies.values() if process.region == region]
    rest = [process for process in played.proxies.values() if process.region != region]
    if whole_region:
        played.cut_off(region)
    for process in () if whole_region else away:
        for node in NODES:
            played.cut(process.name, node)
    loads = {process.name: len(process.loads) for process in away}
    for number in range(changes):
        change(played, f"change-{number}")
        run_checked(played, 180_000 / changes, 300.0)
    last = f"change-{changes - 1}"
    assert all_serve(played, last, rest)()
    assert all(serving(process) == "before" for process in away)  # serves on, unchanged
    assert all(len(process.loads) == loads[process.name] for process in away)
    assert not any(current(played, process) for process in away)
    played.mend()
    assert played.run_until(all_serve(played, last), 60_000) <= ACTIVATION_MS
    for process in away:
        given = process.loads[loads[process.name] :]
        assert Counter(type(effect) for effect in given) == effects_after
    played.run(5_000)
    assert all(current(played, process) for process in away)


def test_two_changes_proposed_at_once_in_cut_regions():
    played = world()
    old = played.leader()
    away = [process for process in played.proxies.values() if process.region == old.region]
    rest = [process for process in played.proxies.values() if process.region != old.region]
    played.cut_off(old.region)
    lost = played.change(old.name, "lost", b"one side")  # it can't know yet
    elsewhere = [name for name, region in NODES.items() if region != old.region]
    refused = played.change(elsewhere[0], "early", b"other side")
    played.run_until(lambda: played.leader() not in (None, old), 30_000)
    won = played.change(played.leader().name, "won", b"other side")
    leader = played.leader()
    played.run_until(lambda: lost in old.answers and won in leader.answers, 30_000)
    assert old.answers[lost].outcome is ProposalOutcome.UNKNOWN
    assert played.nodes[elsewhere[0]].answers[refused].outcome is ProposalOutcome.NOT_LEADER
    assert leader.answers[won].outcome is ProposalOutcome.COMMITTED
    later = played.change(old.name, "late", b"one side")  # now it knows: nothing is done
    assert old.answers[later].outcome is ProposalOutcome.NO_QUORUM
    played.run_until(all_serve(played, "won", rest), 10_000)
    assert not any(serving(process) for process in away)
    played.mend()
    played.run_until(all_serve(played, "won"), 30_000)
    assert "lost" not in [entry.proposal for entry in played.rules.log]
    again = played.change(played.leader().name, "lost", b"one side")  # the proposer asks again
    leader = played.leader()
    played.run_until(lambda: again in leader.answers, 5_000)
    assert leader.answers[again].outcome is ProposalOutcome.COMMITTED


def test_a_change_proposed_again_with_its_id_is_made_once_and_one_made_on_old_knowledge_is_refused():
    played = world()
    leader = played.leader()
    first, again = change(played, "change-1"), change(played, "change-1")
    played.run(1_000)
    third = change(played, "change-1")
    assert {leader.answers[number] for number in (first, again, third)} == {leader.answers[first]}
    index = leader.answers[first].index
    assert [entry.proposal for entry in played.rules.log].count("change-1") == 1
    for expected, outcome in [(0, ProposalOutcome.CONFLICT), (index, ProposalOutcome.COMMITTED)]:
        message = Propose(f"after-{expected}", EntryKind.CONFIGURATION, b"", expected)
        number = played.propose(leader.name, message)
        played.run(1_000)
        assert leader.answers[number].outcome is outcome


# Clocks


@pytest.mark.parametrize("seed", range(4))
def test_leases_hold_with_clocks_that_start_anywhere_and_run_at_different_rates(seed):
    played = world(seed=seed, drift=0.002)
    for number in range(60):
        leader = played.leader()
        if leader is not None:
            played.change(leader.name, f"change-{number}")
        if number % 20 == 5:
            played.cut_off(REGIONS[(seed + number // 20) % 3])
        if number % 20 == 15:
            played.mend()
        run_checked(played, 1_000, 50.0)
    run_checked(played, 10_000)
    assert all(current(played, process) for process in played.proxies.values())


def test_a_node_whose_clock_began_anew_takes_no_lease_from_a_token_of_its_run_before():
    played = world()
    leader = played.leader()
    process = next(each for each in played.nodes.values() if each.region != leader.region)
    process.clock = Clock(1e9, 1.0)
    played.kill_node(process.name)
    played.start_node(process.name)
    played.run(3_000)
    played.kill_node(process.name)
    process.clock = Clock(-played.now, 1.0)  # the machine was started again: its clock shows 0
    played.start_node(process.name)
    played.run(5_000)
    reading = process.clock.at(played.now)
    assert 0 < process.node.consensus.lease_ms(reading) <= LEASE_MS


def test_a_proxy_whose_wall_clock_was_set_back_is_taken_when_its_former_run_is_lost():
    """`run` is the only time that is compared between processes, and only for its order."""
    played = world()
    process = played.proxies["p0"]
    for node in NODES:
        played.cut("p0", node)  # nobody hears of the end
    played.kill_proxy("p0")
    played.mend()
    process.run -= 2  # so that the next one is lower than the last
    played.start_proxy("p0")
    played.run_until(lambda: process.subscription.caught_up, 15_000)


# Figures that the fleet needs


def test_a_change_is_in_force_everywhere_within_the_time_of_a_purge_while_nothing_fails():
    played = world(proxies=60)
    times = []
    for number in range(20):
        change(played, f"change-{number}")
        times.append(played.run_until(all_serve(played, f"change-{number}"), 5_000))
        played.run(100)
    assert max(times) < 1_700


def test_without_a_quorum_leases_run_out_and_everybody_serves_on():
    played = world()
    change(played, "change-1")
    played.run(2_000)
    for name in ("n1", "s1", "w1"):
        played.kill_node(name)
    run_checked(played, LEASE_MS)
    assert not any(current(played, process) for process in played.proxies.values())
    loads = {process.name: len(process.loads) for process in played.proxies.values()}
    for name in ("n2", "s2"):
        number = played.change(name, "change-2")
        assert played.nodes[name].answers[number].outcome is ProposalOutcome.NO_QUORUM
    run_checked(played, 60_000)
    assert all_serve(played, "change-1")()
    assert all(len(process.loads) == loads[process.name] for process in played.proxies.values())
    for name in ("n1", "s1", "w1"):
        played.start_node(name)
    played.run(20_000)
    assert all(current(played, process) for process in played.proxies.values())
