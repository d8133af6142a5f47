"""Tiers of hundreds of proxies: what each sends does not grow with the tier, and all learn of a death."""

import pytest

from cloverwell.gossip.membership_view import MembershipView
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_PROXIES,
    MAX_UPDATES,
    UPDATE_BYTES,
    VERSION,
    Datagram,
    DatagramError,
    DatagramKind,
    MembershipUpdate,
    MemberStatus,
    decode,
    encode,
)
from lab.datagrams import DatagramNetwork

SMALL, LARGE = 32, 128
PERIODS = 50  # in ten seconds


def test_a_datagram_names_proxies_beyond_a_thousand():
    assert MAX_PROXIES >= 1024
    assert HEADER_BYTES + MAX_UPDATES * UPDATE_BYTES <= MAX_DATAGRAM_BYTES
    updates = tuple(
        MembershipUpdate(number, 2**48 - 1, MemberStatus.DEAD) for number in range(1000, 1000 + MAX_UPDATES)
    )
    datagram = Datagram(DatagramKind.PING_REQ, 1023, 1, 2**16 - 1, 1022, updates)
    assert decode(encode(datagram)) == datagram
    assert MembershipView(1023, 1024, 1, 1).alive_proxies() == {1023}
    with pytest.raises(ValueError, match="number: must be under total"):
        MembershipView(0, MAX_PROXIES + 1, 1, 1)


@pytest.mark.parametrize("version", [0, VERSION - 1, VERSION + 1, 255])
def test_another_version_is_refused_whatever_its_length(version):
    ours = encode(Datagram(DatagramKind.PING, 1, 1, 1))
    # Version 1 had a header of 13 bytes, which is shorter than the current one.
    for data in (bytes([version]), bytes([version]) + bytes(12), bytes([version]) + ours[1:]):
        with pytest.raises(DatagramError, match=r"^version$"):
            decode(data)


def test_an_empty_datagram_is_short():
    with pytest.raises(DatagramError, match=r"^short$"):
        decode(b"")


def pinged(view, now):
    return [out.receiver for out in view.tick(now)]


def test_unreachable_members_are_pinged_in_turn_and_few_at_a_time():
    view = MembershipView(0, 100, 1, 1)
    rounds = [pinged(view, 1000.0 * second) for second in range(8)]
    assert all(len(members) == GossipTiming().reconnect_pings == len(set(members)) for members in rounds)
    first = [number for members in rounds[:6] for number in members]
    assert len(set(first)) == len(first) == 96  # None is pinged a second time before each was pinged once.
    assert set(first) | set(rounds[6]) == set(range(1, 100))


def test_a_reconnect_ping_carries_no_update_but_the_receivers_own_death():
    view = MembershipView(0, 40, 1, 1)
    updates = (
        MembershipUpdate(2, 7, MemberStatus.DEAD),
        MembershipUpdate(3, 7, MemberStatus.ALIVE),
        MembershipUpdate(4, 7, MemberStatus.ALIVE),
    )
    view.receive(0.0, Datagram(DatagramKind.ACK, 1, 5, 1, updates=updates))
    received = {}
    for second in range(1, 5):
        outs = [out for out in view.tick(1000.0 * second) if out.receiver not in (1, 3, 4)]
        received |= {out.receiver: out.datagram.updates for out in outs}
    assert len(received) == 36
    assert received.pop(2) == (updates[0],)
    assert set(received.values()) == {()}


def met(total, seed, **more):
    net = DatagramNetwork(total, seed, **more)
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
    assert {death.dead for death in net.deaths()} == {5}


def test_what_a_proxy_sends_does_not_grow_with_the_tier():
    per_proxy = []
    for total in (SMALL, LARGE):
        net = met(total, 1)
        for number in range(3):
            net.crash(number)
        net.run(10.0)  # Some stay dead, and are pinged for ever.
        net.sent.clear()
        net.run(10.0)
        per_proxy.append(sum(net.sent.values()) / (total - 3))
    # A ping and an ack in each period, and three reconnect pings a second.
    assert max(per_proxy) <= 1.1 * (2 * PERIODS + 30)
    assert per_proxy[1] <= 1.05 * per_proxy[0]


def test_a_suspect_is_not_drowned_by_its_tier():
    received = []
    for total in (SMALL, LARGE):
        net = met(total, 3)
        net.run(5.0)
        net.addressed.clear()
        net.stop(7)  # It is suspected for 600 ms, and each member that knows decides every 80 ms.
        net.run(1.5)
        received.append(net.addressed[7])
    # Without a bound each of the others would ping it some seven times.
    assert max(received) <= 16 * 12 + 60
    assert net.addressed[7] < 3 * (LARGE - 1)


@pytest.mark.parametrize("seed", range(1, 4))
def test_lost_datagrams_are_no_deaths_in_a_large_tier(seed):
    net = met(64, seed, loss=0.1)
    net.run(20.0)
    assert not net.deaths()
