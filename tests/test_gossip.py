"""Membership by gossip in virtual time: deaths, cut links, stopped processes and restarts."""

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

KNOWN_S = 2.0  # By then all survivors of a tier of up to four proxies have detected a death.
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
def test_a_datagram_is_decoded_to_what_was_encoded_with_the_updates_that_fit(datagram):
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
def test_no_datagram_makes_a_view_hold_more_than_its_tier(steps):
    view, now_ms = MembershipView(0, 4, 1000, 1), 0.0
    for ticks, datagram in steps:
        now_ms += 50.0
        outs = view.tick(now_ms) if ticks else view.receive(now_ms, datagram)
        assert all(len(encode(out.datagram)) <= MAX_DATAGRAM_BYTES for out in outs)
        assert 0 in view.alive_proxies()
        assert view.alive_proxies() <= set(range(4))
        assert set(view.members) <= {1, 2, 3}
        assert view.pending_indirect_probes <= 4
        assert view.pending_updates <= 4


def met(total, seed, **more):
    net = DatagramNetwork(total, seed, **more)
    net.run(2.5)
    assert net.agree(set(range(total)))
    return net


@pytest.mark.parametrize("seed", SEEDS)
def test_a_death_is_known_to_all_and_nobody_else_is_taken_for_dead(seed):
    net = met(3 + seed % 6, seed, loss=0.05)
    net.crash(1)
    net.run(KNOWN_S + 1.0)
    assert net.agree(set(range(len(net.processes))) - {1})
    assert {death.dead for death in net.deaths()} == {1}


@pytest.mark.parametrize("both", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_cut_link_between_two_is_no_death(seed, both):
    net = met(3, seed)
    net.cut_link(0, 1, both)
    net.run(20.0)
    assert net.agree({0, 1, 2})
    assert not net.deaths()


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sides_of_a_cut_tier_hold_their_own_and_meet_again(seed):
    net = met(4, seed)
    for here in (0, 1):
        for there in (2, 3):
            net.cut_link(here, there)
    net.run(4.0)
    assert net.agree({0, 1})
    assert net.agree({2, 3})
    net.cut_links.clear()
    net.run(4.0)
    assert net.agree({0, 1, 2, 3})


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_was_stopped_refutes_its_death_by_a_higher_incarnation(seed):
    net = met(3, seed)
    first = net.processes[2].view.incarnation
    net.stop(2)
    net.run(3.0)
    assert net.agree({0, 1})
    net.resume(2)
    net.run(3.0)
    assert net.agree({0, 1, 2})
    assert net.processes[2].view.incarnation > first
    assert all(net.processes[n].view.members[2].incarnation > first for n in (0, 1))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restart_within_a_second_is_another_incarnation_and_the_old_one_is_stale(seed):
    net = met(3, seed)
    old = Datagram(DatagramKind.PING, 2, net.processes[2].view.incarnation, 7)
    net.crash(2)
    net.run(0.4)
    net.restart(2)
    net.run(3.0)
    assert net.agree({0, 1, 2})
    view = net.processes[0].view
    assert view.members[2].incarnation > old.incarnation
    before = view.stale_datagrams
    assert view.receive(1000.0 * net.now_s, old) == []
    assert view.stale_datagrams == before + 1


@pytest.mark.parametrize("step_ms", [-3_600_000, -1000, 3_600_000])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_restart_after_a_step_of_the_clock_is_alive_and_not_taken_for_dead(seed, step_ms):
    net = met(3, seed)
    before, since_s = net.processes[2].view.incarnation, net.now_s
    net.crash(2)
    net.run(0.1)
    net.processes[2] = ProxyProcess(MembershipView(2, 3, before + 100 + step_ms, seed))
    net.run(KNOWN_S)
    again = net.processes[2].view.incarnation
    assert net.agree({0, 1, 2})
    assert not net.deaths(since_s)
    assert again > before
    assert all(net.processes[n].view.members[2].incarnation == again for n in (0, 1))


def test_a_member_refutes_a_suspicion_of_a_higher_incarnation_than_its_own():
    """Its clock was stepped back, so others drop its datagrams until they suspect it and tell it so."""
    view = MembershipView(0, 3, 1000, 1)
    outs = view.receive(
        0.0,
        Datagram(DatagramKind.PING, 1, 1000, 1, updates=(MembershipUpdate(0, 5000, MemberStatus.SUSPECT),)),
    )
    assert view.incarnation == 5001
    assert outs[0].datagram.incarnation == 5001


@pytest.mark.parametrize("seed", SEEDS)
def test_three_of_four_die_at_once(seed):
    net = met(4, seed)
    for number in (0, 1, 3):
        net.crash(number)
    net.run(KNOWN_S)
    assert net.agree({2})


def false_deaths(seed, timing=None):
    """Count the deaths observed in a minute in which one datagram in ten is lost and nobody dies."""
    net = DatagramNetwork(4, seed, loss=0.1, timing=timing)
    net.run(60.0)
    return len(net.deaths())


def test_lost_datagrams_are_no_deaths():
    assert not any(false_deaths(seed) for seed in range(1, 9))


def test_without_suspicion_they_would_be():
    assert sum(false_deaths(seed, GossipTiming(suspicion_timeout_ms=0.0)) for seed in range(1, 5)) > 4


def deaths_behind_a_cut(seed, indirect_probes):
    net = met(3, seed, timing=GossipTiming(indirect_probes=indirect_probes))
    net.cut_link(0, 1)
    net.run(5.0)
    return net.deaths()


def test_without_indirect_probes_a_cut_link_would_be_a_death():
    assert any(deaths_behind_a_cut(seed, indirect_probes=0) for seed in SEEDS)
    assert not any(deaths_behind_a_cut(seed, indirect_probes=3) for seed in SEEDS)


def test_without_incarnations_one_that_comes_back_would_stay_dead(monkeypatch):
    monkeypatch.setattr(membership_view, "MAX_INCARNATION", 0)
    net = met(3, 1)
    net.stop(2)
    net.run(3.0)
    net.resume(2)
    net.run(5.0)
    assert not net.agree({0, 1, 2})
