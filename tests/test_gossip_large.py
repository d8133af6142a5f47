"""Tiers of hundreds of proxies: what each sends does not grow with the tier, and all learn of a death."""

import pytest

from cloverwell.gossip.membership_view import GossipTiming, MembershipView
from cloverwell.gossip.wire import (
    HEAD,
    MOST_BYTES,
    MOST_PROXIES,
    MOST_RUMOURS,
    RUMOUR,
    VERSION,
    DatagramKind,
    MembershipUpdate,
    MemberStatus,
    Message,
    WireError,
    decode,
    encode,
)
from lab.datagrams import Datagrams

SMALL, LARGE = 32, 128
PERIODS = 50  # in ten seconds


def test_a_datagram_names_proxies_beyond_a_thousand():
    assert MOST_PROXIES >= 1024 and HEAD + MOST_RUMOURS * RUMOUR <= MOST_BYTES
    rumours = tuple(
        MembershipUpdate(number, 2**48 - 1, MemberStatus.DEAD) for number in range(1000, 1000 + MOST_RUMOURS)
    )
    message = Message(DatagramKind.ASK, 1023, 1, 2**16 - 1, 1022, rumours)
    assert decode(encode(message)) == message
    assert MembershipView(1023, 1024, 1, 1).alive() == {1023}
    with pytest.raises(ValueError):
        MembershipView(0, MOST_PROXIES + 1, 1, 1)


@pytest.mark.parametrize("version", [0, VERSION - 1, VERSION + 1, 255])
def test_another_version_is_refused_whatever_its_length(version):
    ours = encode(Message(DatagramKind.PING, 1, 1, 1))
    # Version 1 had a head of 13 bytes: one alone is shorter than ours.
    for data in (bytes([version]), bytes([version]) + bytes(12), bytes([version]) + ours[1:]):
        with pytest.raises(WireError, match=r"^version$"):
            decode(data)


def test_an_empty_datagram_is_short():
    with pytest.raises(WireError, match=r"^short$"):
        decode(b"")


def calls_of(view, now):
    return [out.to for out in view.tick(now)]


def test_the_lost_are_called_in_turn_and_few_at_a_time():
    view = MembershipView(0, 100, 1, 1)
    rounds = [calls_of(view, 1000.0 * second) for second in range(8)]
    assert all(len(called) == GossipTiming().calls == len(set(called)) for called in rounds)
    first = [number for called in rounds[:6] for number in called]
    assert len(set(first)) == len(first) == 96  # none a second time before each had its turn
    assert set(first) | set(rounds[6]) == set(range(1, 100))


def test_a_call_carries_no_news_but_tells_the_dead_that_they_are():
    view = MembershipView(0, 40, 1, 1)
    rumours = (
        MembershipUpdate(2, 7, MemberStatus.DEAD),
        MembershipUpdate(3, 7, MemberStatus.ALIVE),
        MembershipUpdate(4, 7, MemberStatus.ALIVE),
    )
    view.receive(0.0, Message(DatagramKind.ACK, 1, 5, 1, rumours=rumours))
    told = {}
    for second in range(1, 5):
        outs = [out for out in view.tick(1000.0 * second) if out.to not in (1, 3, 4)]
        told |= {out.to: out.message.rumours for out in outs}
    assert len(told) == 36 and told.pop(2) == (rumours[0],)
    assert set(told.values()) == {()}


def met(total, seed, **more):
    net = Datagrams(total, seed, **more)
    for _ in range(20):
        net.run(0.5)
        if net.agree(set(range(total))):
            return net
    raise AssertionError("they have not met")


@pytest.mark.parametrize("seed", [1, 2])
def test_a_large_tier_meets_and_all_learn_of_a_death_and_of_a_return(seed):
    net = met(LARGE, seed, loss=0.02)
    net.crash(5)
    net.run(4.0)
    assert net.agree(set(range(LARGE)) - {5})
    net.restart(5)
    net.run(4.0)
    assert net.agree(set(range(LARGE)))
    assert {whom for _, _, whom in net.deaths()} == {5}


def test_what_a_proxy_sends_does_not_grow_with_the_tier():
    per_proxy = []
    for total in (SMALL, LARGE):
        net = met(total, 1)
        for number in range(3):
            net.crash(number)
        net.run(10.0)  # some are dead for good: they are called for ever
        net.sent.clear()
        net.run(10.0)
        per_proxy.append(sum(net.sent.values()) / (total - 3))
    # A ping and an answer a period, and three calls a second.
    assert max(per_proxy) <= 1.1 * (2 * PERIODS + 30)
    assert per_proxy[1] <= 1.05 * per_proxy[0]


def test_a_suspect_is_not_drowned_by_its_tier():
    received = []
    for total in (SMALL, LARGE):
        net = met(total, 3)
        net.run(5.0)
        net.received.clear()
        net.stop(7)  # its suspicion stands for 600 ms, and each who holds it looks each 80 ms
        net.run(1.5)
        received.append(net.received[7])
    # Without a bound each of the others would ping it some seven times.
    assert max(received) <= 16 * 12 + 60
    assert net.received[7] < 3 * (LARGE - 1)


@pytest.mark.parametrize("seed", range(1, 4))
def test_lost_datagrams_are_no_deaths_in_a_large_tier(seed):
    net = met(64, seed, loss=0.1)
    net.run(20.0)
    assert not net.deaths()
