"""Who lives, as proxies tell each other over datagrams: deaths, cuts, stops and restarts in virtual time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.gossip import membership_view as peers
from cloverwell.gossip.membership_view import GossipTiming, MembershipView
from cloverwell.gossip.wire import (
    MOST_BYTES,
    DatagramKind,
    MembershipUpdate,
    MemberStatus,
    Message,
    WireError,
    decode,
    encode,
)
from lab.datagrams import Datagrams, Host

KNOWN_S = 2.0  # by then all survivors of a tier of four or fewer hold a death
SEEDS = range(1, 21)

NUMBER, LIFE = st.integers(0, 2**16 - 1), st.integers(0, 2**48 - 1)
RUMOURS = st.lists(st.builds(MembershipUpdate, NUMBER, LIFE, st.sampled_from(MemberStatus)), max_size=40)
MESSAGES = st.builds(
    Message,
    st.sampled_from(DatagramKind),
    NUMBER,
    LIFE,
    st.integers(0, 2**16 - 1),
    NUMBER,
    RUMOURS.map(tuple),
)


@given(MESSAGES)
def test_a_message_comes_back_whole_but_for_rumours_that_have_no_room(message):
    data = encode(message)
    again = decode(data)
    assert len(data) <= MOST_BYTES and again.rumours == message.rumours[: len(again.rumours)]
    assert len(again.rumours) == min(26, len(message.rumours))
    assert encode(again) == data


@given(st.binary(max_size=300))
def test_whatever_comes_is_a_message_or_refused_by_a_word(data):
    try:
        assert encode(decode(data)) == data
    except WireError as error:
        assert str(error) in ("long", "short", "version", "kind", "state", "length")


@given(st.lists(st.tuples(st.booleans(), MESSAGES), max_size=30))
def test_no_message_makes_a_view_hold_more_than_its_tier(messages):
    view, now = MembershipView(0, 4, 1000, 1), 0.0
    for ticks, message in messages:
        now += 50.0
        outs = view.tick(now) if ticks else view.receive(now, message)
        assert all(len(encode(out.message)) <= MOST_BYTES for out in outs)
        assert 0 in view.alive() and view.alive() <= set(range(4)) and set(view.known) <= {1, 2, 3}
        assert len(view._errands) <= 4 and len(view._news) <= 4


def met(total, seed, **more):
    net = Datagrams(total, seed, **more)
    net.run(2.5)
    assert net.agree(set(range(total)))
    return net


@pytest.mark.parametrize("seed", SEEDS)
def test_a_death_is_known_to_all_and_nobody_else_is_taken_for_dead(seed):
    net = met(3 + seed % 6, seed, loss=0.05)
    net.crash(1)
    net.run(KNOWN_S + 1.0)
    assert net.agree(set(range(len(net.hosts))) - {1})
    assert {whom for _, _, whom in net.deaths()} == {1}


@pytest.mark.parametrize("both", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_cut_link_between_two_is_no_death(seed, both):
    net = met(3, seed)
    net.sever(0, 1, both)
    net.run(20.0)
    assert net.agree({0, 1, 2}) and not net.deaths()


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sides_of_a_cut_tier_hold_their_own_and_meet_again(seed):
    net = met(4, seed)
    for here in (0, 1):
        for there in (2, 3):
            net.sever(here, there)
    net.run(4.0)
    assert net.agree({0, 1}) and net.agree({2, 3})
    net.cut.clear()
    net.run(4.0)
    assert net.agree({0, 1, 2, 3})


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_was_stopped_denies_its_death_by_a_higher_incarnation(seed):
    net = met(3, seed)
    born = net.hosts[2].view.incarnation
    net.stop(2)
    net.run(3.0)
    assert net.agree({0, 1})
    net.go_on(2)
    net.run(3.0)
    assert net.agree({0, 1, 2}) and net.hosts[2].view.incarnation > born
    assert all(net.hosts[n].view.known[2].incarnation > born for n in (0, 1))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restart_within_a_second_is_another_incarnation_and_the_old_one_is_not_heard(seed):
    net = met(3, seed)
    old = Message(DatagramKind.PING, 2, net.hosts[2].view.incarnation, 7)
    net.crash(2)
    net.run(0.4)
    net.restart(2)
    net.run(3.0)
    assert net.agree({0, 1, 2})
    view = net.hosts[0].view
    assert view.known[2].incarnation > old.incarnation
    before = view.stale
    assert view.receive(1000.0 * net.now_s, old) == [] and view.stale == before + 1


@pytest.mark.parametrize("step_ms", [-3_600_000, -1000, 3_600_000])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_restart_after_a_step_of_the_clock_is_heard_and_not_taken_for_dead(seed, step_ms):
    net = met(3, seed)
    before, since_s = net.hosts[2].view.incarnation, net.now_s
    net.crash(2)
    net.run(0.1)
    net.hosts[2] = Host(MembershipView(2, 3, before + 100 + step_ms, seed))
    net.run(KNOWN_S)
    again = net.hosts[2].view.incarnation
    assert net.agree({0, 1, 2}) and not net.deaths(since_s)
    assert again > before and all(net.hosts[n].view.known[2].incarnation == again for n in (0, 1))


def test_an_incarnation_that_is_not_heard_is_denied_by_the_member_itself():
    """Stepped back it is dropped as of an old process, until its silence makes it a suspect: told so, it
    takes a higher one."""
    view = MembershipView(0, 3, 1000, 1)
    outs = view.receive(
        0.0,
        Message(DatagramKind.PING, 1, 1000, 1, rumours=(MembershipUpdate(0, 5000, MemberStatus.SUSPECT),)),
    )
    assert view.incarnation == 5001 and outs[0].message.incarnation == 5001


@pytest.mark.parametrize("seed", SEEDS)
def test_three_of_four_die_at_once(seed):
    net = met(4, seed)
    for number in (0, 1, 3):
        net.crash(number)
    net.run(KNOWN_S)
    assert net.agree({2})


def calm(seed, figures=None):
    """Deaths that are held in a minute in which one datagram in ten is lost and nobody dies."""
    net = Datagrams(4, seed, loss=0.1, figures=figures)
    net.run(60.0)
    return len(net.deaths())


def test_lost_datagrams_are_no_deaths():
    assert not any(calm(seed) for seed in range(1, 9))


def test_without_suspicion_they_would_be():
    assert sum(calm(seed, GossipTiming(suspect_ms=0.0)) for seed in range(1, 5)) > 4


def deaths_behind_a_cut(seed, helpers):
    net = met(3, seed, figures=GossipTiming(helpers=helpers))
    net.sever(0, 1)
    net.run(5.0)
    return net.deaths()


def test_without_helpers_a_cut_link_would_be_a_death():
    assert any(deaths_behind_a_cut(seed, helpers=0) for seed in SEEDS)
    assert not any(deaths_behind_a_cut(seed, helpers=3) for seed in SEEDS)


def test_without_incarnations_one_that_comes_back_would_stay_dead(monkeypatch):
    monkeypatch.setattr(peers, "MOST_INCARNATION", 0)
    net = met(3, 1)
    net.stop(2)
    net.run(3.0)
    net.go_on(2)
    net.run(5.0)
    assert not net.agree({0, 1, 2})
