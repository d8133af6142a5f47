"""Membership by SWIM in virtual time: deaths, cut links, stopped processes and restarts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.gossip import membership_view
from cloverwell.gossip.membership_view import MembershipView
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    DatagramError,
    DatagramKind,
    MembershipUpdate,
    MemberStatus,
    decode,
    encode,
)
from lab.datagrams import DatagramNetwork, ProxyProcess

DETECTION_S = 2.0  # The time in which all survivors of a tier of up to four proxies detect a death.
SEEDS = range(1, 21)

NUMBER, INCARNATION = st.integers(0, 2**16 - 1), st.integers(0, 2**48 - 1)
UPDATE = st.builds(MembershipUpdate, NUMBER, INCARNATION, st.sampled_from(MemberStatus))
UPDATES = st.lists(UPDATE, max_size=40)
DATAGRAMS = st.builds(
    Datagram,
    st.sampled_from(DatagramKind),
    NUMBER,
    INCARNATION,
    st.integers(0, 2**16 - 1),
    NUMBER,
    UPDATES.map(tuple),
)


@given(DATAGRAMS)
def test_a_decoded_datagram_equals_the_encoded_one_with_the_updates_that_fit(datagram):
    data = encode(datagram)
    decoded = decode(data)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decoded.updates == datagram.updates[: len(decoded.updates)]
    assert len(decoded.updates) == min(26, len(datagram.updates))
    assert encode(decoded) == data


def decoded_or_error(data):
    try:
        return decode(data)
    except DatagramError as error:
        return error


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_rejected_with_a_label_for_the_counters(data):
    result = decoded_or_error(data)
    if isinstance(result, DatagramError):
        assert str(result) == result.fault.value
        assert str(result) in ("long", "short", "version", "kind", "state", "length")
    else:
        assert encode(result) == data


@given(st.lists(st.tuples(st.booleans(), DATAGRAMS), max_size=30))
def test_no_datagram_makes_a_view_hold_more_members_than_its_tier_has(steps):
    view, now_ms = MembershipView(0, 4, 1000, 1), 0.0
    for ticks, datagram in steps:
        now_ms += 50.0
        outgoing = view.tick(now_ms) if ticks else view.receive(now_ms, datagram)
        assert all(
            len(encode(outgoing_datagram.datagram)) <= MAX_DATAGRAM_BYTES for outgoing_datagram in outgoing
        )
        assert 0 in view.alive_proxies()
        assert view.alive_proxies() <= set(range(4))
        assert set(view.members) <= {1, 2, 3}
        assert view.pending_indirect_probes <= 4
        assert view.pending_updates <= 4


def converged_network(total, seed, **options):
    network = DatagramNetwork(total, seed, **options)
    network.run(2.5)
    assert network.agree(set(range(total)))
    return network


@pytest.mark.parametrize("seed", SEEDS)
def test_all_members_detect_a_death_and_consider_no_other_member_dead(seed):
    network = converged_network(3 + seed % 6, seed, loss=0.05)
    network.crash(1)
    network.run(DETECTION_S + 1.0)
    assert network.agree(set(range(len(network.processes))) - {1})
    assert {death.dead for death in network.deaths()} == {1}


@pytest.mark.parametrize("both_directions", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_cut_link_between_two_proxies_causes_no_death(seed, both_directions):
    network = converged_network(3, seed)
    network.cut_link(0, 1, both_directions)
    network.run(20.0)
    assert network.agree({0, 1, 2})
    assert not network.deaths()


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sides_of_a_partition_keep_their_own_members_and_converge_when_it_heals(seed):
    network = converged_network(4, seed)
    for sender in (0, 1):
        for receiver in (2, 3):
            network.cut_link(sender, receiver)
    network.run(4.0)
    assert network.agree({0, 1})
    assert network.agree({2, 3})
    network.cut_links.clear()
    network.run(4.0)
    assert network.agree({0, 1, 2, 3})


@pytest.mark.parametrize("seed", SEEDS)
def test_a_process_that_was_stopped_refutes_its_death_by_a_higher_incarnation(seed):
    network = converged_network(3, seed)
    first_incarnation = network.processes[2].view.incarnation
    network.stop(2)
    network.run(3.0)
    assert network.agree({0, 1})
    network.resume(2)
    network.run(3.0)
    assert network.agree({0, 1, 2})
    assert network.processes[2].view.incarnation > first_incarnation
    assert all(network.processes[number].view.members[2].incarnation > first_incarnation for number in (0, 1))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restart_within_a_second_has_a_higher_incarnation_and_the_old_one_is_stale(seed):
    network = converged_network(3, seed)
    old_datagram = Datagram(DatagramKind.PING, 2, network.processes[2].view.incarnation, 7)
    network.crash(2)
    network.run(0.4)
    network.restart(2)
    network.run(3.0)
    assert network.agree({0, 1, 2})
    view = network.processes[0].view
    assert view.members[2].incarnation > old_datagram.incarnation
    stale_count_before = view.stale_datagrams
    assert view.receive(1000.0 * network.now_s, old_datagram) == []
    assert view.stale_datagrams == stale_count_before + 1


@pytest.mark.parametrize("step_ms", [-3_600_000, -1000, 3_600_000])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_process_restarted_after_a_step_of_the_clock_is_not_considered_dead(seed, step_ms):
    network = converged_network(3, seed)
    incarnation_before, since_s = network.processes[2].view.incarnation, network.now_s
    network.crash(2)
    network.run(0.1)
    network.processes[2] = ProxyProcess(MembershipView(2, 3, incarnation_before + 100 + step_ms, seed))
    network.run(DETECTION_S)
    new_incarnation = network.processes[2].view.incarnation
    assert network.agree({0, 1, 2})
    assert not network.deaths(since_s)
    assert new_incarnation > incarnation_before
    assert all(network.processes[number].view.members[2].incarnation == new_incarnation for number in (0, 1))


def test_a_member_refutes_a_suspicion_of_a_higher_incarnation_than_its_own():
    """If its clock was stepped back, others drop its datagrams until they suspect it and tell it so."""
    view = MembershipView(0, 3, 1000, 1)
    outgoing = view.receive(
        0.0,
        Datagram(DatagramKind.PING, 1, 1000, 1, updates=(MembershipUpdate(0, 5000, MemberStatus.SUSPECT),)),
    )
    assert view.incarnation == 5001
    assert outgoing[0].datagram.incarnation == 5001


@pytest.mark.parametrize("seed", SEEDS)
def test_the_last_of_four_detects_that_the_others_have_died_at_once(seed):
    network = converged_network(4, seed)
    for number in (0, 1, 3):
        network.crash(number)
    network.run(DETECTION_S)
    assert network.agree({2})


def false_deaths(seed, timing=None):
    """Count the deaths observed in a minute in which one datagram in ten is lost and nobody dies."""
    network = DatagramNetwork(4, seed, loss=0.1, timing=timing)
    network.run(60.0)
    return len(network.deaths())


def test_lost_datagrams_cause_no_deaths():
    assert not any(false_deaths(seed) for seed in range(1, 9))


def test_without_suspicion_lost_datagrams_would_cause_deaths():
    assert sum(false_deaths(seed, GossipTiming(suspicion_timeout_ms=0.0)) for seed in range(1, 5)) > 4


def deaths_behind_a_cut(seed, indirect_probes):
    network = converged_network(3, seed, timing=GossipTiming(indirect_probes=indirect_probes))
    network.cut_link(0, 1)
    network.run(5.0)
    return network.deaths()


def test_without_indirect_probes_a_cut_link_would_cause_a_death():
    assert any(deaths_behind_a_cut(seed, indirect_probes=0) for seed in SEEDS)
    assert not any(deaths_behind_a_cut(seed, indirect_probes=3) for seed in SEEDS)


def test_without_incarnations_a_resumed_process_would_stay_dead(monkeypatch):
    monkeypatch.setattr(membership_view, "MAX_INCARNATION", 0)
    network = converged_network(3, 1)
    network.stop(2)
    network.run(3.0)
    network.resume(2)
    network.run(5.0)
    assert not network.agree({0, 1, 2})
