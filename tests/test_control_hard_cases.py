"""Failures and races of the control log, each forced in virtual time.

`ControlInvariants` are checked at every event.
"""

from collections import Counter

import pytest
from control_rig import (
    ACTIVATION_MS,
    NODES,
    REGIONS,
    all_serve,
    is_current,
    propose_change,
    run_checking_leases,
    served_proposal,
    start_world,
    times_applied,
)

from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import ProposalOutcome, Propose
from cloverwell.control.timing import LEASE_MS
from lab.control_processes import Clock

# The control nodes


def test_the_leader_dies_between_commit_and_fan_out():
    world = start_world()
    log_length_before = len(world.rules.log)
    propose_change(world, "change-1")
    leader = world.leader().name
    world.run_until(lambda: len(world.rules.log) > log_length_before, 1_000)
    world.kill_node(leader, machine=True)
    assert not any(served_proposal(process) == "change-1" for process in world.proxies.values())
    assert world.run_until(all_serve(world, "change-1"), 60_000) <= ACTIVATION_MS
    assert all(times_applied(process, "change-1") == 1 for process in world.proxies.values())
    assert world.leader().name != leader


def test_a_control_node_dies_with_half_of_its_subscribers_notified():
    world = start_world(proxies=30)
    leader = world.leader().name
    node = next(name for name in ("n1", "s1", "n2", "s2") if name != leader)
    its_proxies = [
        process
        for process in world.proxies.values()
        if process.subscription.status(process.clock.at(world.now)).node == node
    ]
    assert len(its_proxies) >= 4
    propose_change(world, "change-1")

    def count_serving():
        return sum(served_proposal(process) == "change-1" for process in its_proxies)

    world.run_until(lambda: count_serving() >= len(its_proxies) // 2, 1_000)
    assert 0 < count_serving() < len(its_proxies)
    world.kill_node(node, machine=True)
    assert world.run_until(all_serve(world, "change-1"), 60_000) <= ACTIVATION_MS
    assert all(times_applied(process, "change-1") == 1 for process in its_proxies)
    run_checking_leases(world, 10_000)
    assert all(is_current(world, process) for process in its_proxies)


def test_a_node_that_was_cut_off_does_not_depose_the_leader_when_it_returns():
    world = start_world()
    leader = world.leader()
    cut_off_node = next(name for name in NODES if name != leader.name)
    term = leader.node.consensus.term
    for other in NODES:
        if other != cut_off_node:
            world.cut(cut_off_node, other)
    world.run(60_000)
    # Nobody granted its pre-votes, so it has not started an election.
    assert world.nodes[cut_off_node].node.consensus.term == term
    world.mend()
    propose_change(world, "change-1")
    run_checking_leases(world, 10_000)
    assert world.leader() is leader
    assert leader.node.consensus.term == term
    assert world.nodes[cut_off_node].node.consensus.log.committed == leader.node.consensus.log.committed


# Partitions between regions


@pytest.mark.parametrize(
    ("changes", "whole_region", "effects_after"),
    [(200, True, {ApplyEntry: 200}), (200, False, {ApplyEntry: 200}), (300, False, {ApplySnapshot: 1})],
)
def test_a_region_is_cut_off_for_minutes_while_changes_are_made(changes, whole_region, effects_after):
    """The cut takes off the region with its control nodes, or only its proxies, each from every node.

    Proxies that are then too many entries behind get a snapshot, and the others get the entries.
    """
    world = start_world()
    propose_change(world, "before")
    world.run_until(all_serve(world, "before"), 5_000)
    region = next(name for name in REGIONS if name != world.leader().region)
    cut_off_proxies = [process for process in world.proxies.values() if process.region == region]
    other_proxies = [process for process in world.proxies.values() if process.region != region]
    if whole_region:
        world.cut_off(region)
    for process in () if whole_region else cut_off_proxies:
        for node in NODES:
            world.cut(process.name, node)
    load_counts = {process.name: len(process.loads) for process in cut_off_proxies}
    for number in range(changes):
        propose_change(world, f"change-{number}")
        run_checking_leases(world, 180_000 / changes, 300.0)
    last_proposal = f"change-{changes - 1}"
    assert all_serve(world, last_proposal, other_proxies)()
    # The proxies that are cut off keep serving with the configuration that they have.
    assert all(served_proposal(process) == "before" for process in cut_off_proxies)
    assert all(len(process.loads) == load_counts[process.name] for process in cut_off_proxies)
    assert not any(is_current(world, process) for process in cut_off_proxies)
    world.mend()
    assert world.run_until(all_serve(world, last_proposal), 60_000) <= ACTIVATION_MS
    for process in cut_off_proxies:
        new_loads = process.loads[load_counts[process.name] :]
        assert Counter(type(effect) for effect in new_loads) == effects_after
    world.run(5_000)
    assert all(is_current(world, process) for process in cut_off_proxies)


def test_two_changes_are_proposed_at_once_on_both_sides_of_a_partition():
    world = start_world()
    old_leader = world.leader()
    cut_off_proxies = [process for process in world.proxies.values() if process.region == old_leader.region]
    other_proxies = [process for process in world.proxies.values() if process.region != old_leader.region]
    world.cut_off(old_leader.region)
    # The old leader does not know yet that it has lost its quorum.
    lost_request = world.change(old_leader.name, "lost", b"one side")
    other_nodes = [name for name, region in NODES.items() if region != old_leader.region]
    refused_request = world.change(other_nodes[0], "early", b"other side")
    world.run_until(lambda: world.leader() not in (None, old_leader), 30_000)
    committed_request = world.change(world.leader().name, "won", b"other side")
    leader = world.leader()
    world.run_until(
        lambda: lost_request in old_leader.answers and committed_request in leader.answers, 30_000
    )
    assert old_leader.answers[lost_request].outcome is ProposalOutcome.UNKNOWN
    assert world.nodes[other_nodes[0]].answers[refused_request].outcome is ProposalOutcome.NOT_LEADER
    assert leader.answers[committed_request].outcome is ProposalOutcome.COMMITTED
    # By now the old leader has stepped down, so nothing is appended.
    late_request = world.change(old_leader.name, "late", b"one side")
    assert old_leader.answers[late_request].outcome is ProposalOutcome.NO_QUORUM
    world.run_until(all_serve(world, "won", other_proxies), 10_000)
    assert not any(served_proposal(process) for process in cut_off_proxies)
    world.mend()
    world.run_until(all_serve(world, "won"), 30_000)
    assert "lost" not in [entry.proposal for entry in world.rules.log]
    repeated_request = world.change(world.leader().name, "lost", b"one side")  # The proposer retries.
    leader = world.leader()
    world.run_until(lambda: repeated_request in leader.answers, 5_000)
    assert leader.answers[repeated_request].outcome is ProposalOutcome.COMMITTED


def test_a_repeated_proposal_is_committed_once_and_one_with_an_outdated_expected_index_is_refused():
    world = start_world()
    leader = world.leader()
    first_request, repeated_request = propose_change(world, "change-1"), propose_change(world, "change-1")
    world.run(1_000)
    third_request = propose_change(world, "change-1")
    assert {leader.answers[number] for number in (first_request, repeated_request, third_request)} == {
        leader.answers[first_request]
    }
    index = leader.answers[first_request].index
    assert [entry.proposal for entry in world.rules.log].count("change-1") == 1
    for expected_index, outcome in [(0, ProposalOutcome.CONFLICT), (index, ProposalOutcome.COMMITTED)]:
        message = Propose(f"after-{expected_index}", EntryKind.CONFIGURATION, b"", expected_index)
        number = world.propose(leader.name, message)
        world.run(1_000)
        assert leader.answers[number].outcome is outcome


# Clocks


@pytest.mark.parametrize("seed", range(4))
def test_leases_hold_with_clocks_that_start_anywhere_and_run_at_different_rates(seed):
    world = start_world(seed=seed, drift=0.002)
    for number in range(60):
        leader = world.leader()
        if leader is not None:
            world.change(leader.name, f"change-{number}")
        if number % 20 == 5:
            world.cut_off(REGIONS[(seed + number // 20) % 3])
        if number % 20 == 15:
            world.mend()
        run_checking_leases(world, 1_000, 50.0)
    run_checking_leases(world, 10_000)
    assert all(is_current(world, process) for process in world.proxies.values())


def test_a_node_whose_clock_was_reset_accepts_no_lease_for_a_token_of_its_previous_run():
    world = start_world()
    leader = world.leader()
    process = next(each for each in world.nodes.values() if each.region != leader.region)
    process.clock = Clock(1e9, 1.0)
    world.kill_node(process.name)
    world.start_node(process.name)
    world.run(3_000)
    world.kill_node(process.name)
    process.clock = Clock(-world.now, 1.0)  # The machine was restarted: its clock shows 0.
    world.start_node(process.name)
    world.run(5_000)
    now_ms = process.clock.at(world.now)
    assert 0 < process.node.consensus.lease_ms(now_ms) <= LEASE_MS


def test_a_restarted_proxy_is_accepted_although_its_run_number_is_lower():
    """Two runs are only the same or different: neither number is taken for the older one.

    The nodes see no end of the first run, which is killed while it is cut off from all of them.
    """
    world = start_world()
    process = world.proxies["p0"]
    for node in NODES:
        world.cut("p0", node)  # No node learns that the process has ended.
    world.kill_proxy("p0")
    world.mend()
    process.run -= 2  # The next run's number is lower than this one's.
    world.start_proxy("p0")
    world.run_until(lambda: process.subscription.caught_up, 15_000)


# Bounds for the whole fleet


def test_a_change_is_active_everywhere_within_the_time_allowed_for_a_purge_while_nothing_fails():
    world = start_world(proxies=60)
    activation_times_ms = []
    for number in range(20):
        propose_change(world, f"change-{number}")
        activation_times_ms.append(world.run_until(all_serve(world, f"change-{number}"), 5_000))
        world.run(100)
    assert max(activation_times_ms) < 1_700


def test_without_a_quorum_leases_expire_and_all_proxies_keep_serving():
    world = start_world()
    propose_change(world, "change-1")
    world.run(2_000)
    for name in ("n1", "s1", "w1"):
        world.kill_node(name)
    run_checking_leases(world, LEASE_MS)
    assert not any(is_current(world, process) for process in world.proxies.values())
    load_counts = {process.name: len(process.loads) for process in world.proxies.values()}
    for name in ("n2", "s2"):
        number = world.change(name, "change-2")
        assert world.nodes[name].answers[number].outcome is ProposalOutcome.NO_QUORUM
    run_checking_leases(world, 60_000)
    assert all_serve(world, "change-1")()
    assert all(len(process.loads) == load_counts[process.name] for process in world.proxies.values())
    for name in ("n1", "s1", "w1"):
        world.start_node(name)
    world.run(20_000)
    assert all(is_current(world, process) for process in world.proxies.values())
