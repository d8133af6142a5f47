"""Large tiers: what each proxy sends does not grow with the tier, and all proxies detect a death."""

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
PERIODS = 50  # protocol periods in ten seconds


def test_a_datagram_names_proxies_beyond_a_thousand():
    assert MAX_PROXIES >= 1024
    assert HEADER_BYTES + MAX_UPDATES * UPDATE_BYTES <= MAX_DATAGRAM_BYTES
    updates = tuple(
        MembershipUpdate(number, 2**48 - 1, MemberStatus.DEAD) for number in range(1000, 1000 + MAX_UPDATES)
    )
    datagram = Datagram(DatagramKind.PING_REQ, 1023, 1, 2**16 - 1, 1022, updates)
    assert decode(encode(datagram)) == datagram
    assert MembershipView(1023, 1024, 1, 1).alive_proxies() == {1023}
    with pytest.raises(ValueError, match="number: must be below the tier size"):
        MembershipView(0, MAX_PROXIES + 1, 1, 1)


@pytest.mark.parametrize("version", [0, VERSION - 1, VERSION + 1, 255])
def test_another_version_is_rejected_whatever_its_length(version):
    current_data = encode(Datagram(DatagramKind.PING, 1, 1, 1))
    # Version 1 had a header of 13 bytes, which is shorter than the current one.
    for data in (bytes([version]), bytes([version]) + bytes(12), bytes([version]) + current_data[1:]):
        with pytest.raises(DatagramError, match=r"^version$"):
            decode(data)


def test_an_empty_datagram_is_rejected_as_too_short():
    with pytest.raises(DatagramError, match=r"^short$"):
        decode(b"")


def pinged_members(view, now_ms):
    return [outgoing_datagram.receiver for outgoing_datagram in view.tick(now_ms)]


def test_unreachable_members_are_pinged_in_turn_and_few_at_a_time():
    view = MembershipView(0, 100, 1, 1)
    rounds = [pinged_members(view, 1000.0 * second) for second in range(8)]
    assert all(len(members) == GossipTiming().reconnect_pings == len(set(members)) for members in rounds)
    first_members = [number for members in rounds[:6] for number in members]
    # No member is pinged a second time before each was pinged once.
    assert len(set(first_members)) == len(first_members) == 96
    assert set(first_members) | set(rounds[6]) == set(range(1, 100))


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
        outgoing = [
            outgoing_datagram
            for outgoing_datagram in view.tick(1000.0 * second)
            if outgoing_datagram.receiver not in (1, 3, 4)
        ]
        received |= {
            outgoing_datagram.receiver: outgoing_datagram.datagram.updates for outgoing_datagram in outgoing
        }
    assert len(received) == 36
    assert received.pop(2) == (updates[0],)
    assert set(received.values()) == {()}


def converged_network(total, seed, **options):
    network = DatagramNetwork(total, seed, **options)
    for _ in range(20):
        network.run(0.5)
        if network.agree(set(range(total))):
            return network
    raise AssertionError("the views have not converged within 10 s")


@pytest.mark.parametrize("seed", [1, 2])
def test_a_large_tier_converges_and_all_detect_a_death_and_a_return(seed):
    network = converged_network(LARGE, seed, loss=0.02)
    network.crash(5)
    network.run(4.0)
    assert network.agree(set(range(LARGE)) - {5})
    network.restart(5)
    network.run(4.0)
    assert network.agree(set(range(LARGE)))
    assert {death.dead for death in network.deaths()} == {5}


def test_what_a_proxy_sends_does_not_grow_with_the_tier():
    sent_per_proxy = []
    for total in (SMALL, LARGE):
        network = converged_network(total, 1)
        for number in range(3):
            network.crash(number)
        network.run(10.0)  # Three stay dead, and are pinged without end.
        network.sent.clear()
        network.run(10.0)
        sent_per_proxy.append(sum(network.sent.values()) / (total - 3))
    # A ping and an ack in each period, and three reconnect pings a second.
    assert max(sent_per_proxy) <= 1.1 * (2 * PERIODS + 30)
    assert sent_per_proxy[1] <= 1.05 * sent_per_proxy[0]


def test_a_suspect_is_not_overloaded_by_the_pings_of_its_tier():
    received = []
    for total in (SMALL, LARGE):
        network = converged_network(total, 3)
        network.run(5.0)
        network.addressed.clear()
        # It is suspected for 600 ms, in which each member decides every 80 ms whether to ping it.
        network.stop(7)
        network.run(1.5)
        received.append(network.addressed[7])
    # Without the bound each of the others would ping it about seven times.
    assert max(received) <= 16 * 12 + 60
    assert network.addressed[7] < 3 * (LARGE - 1)


@pytest.mark.parametrize("seed", range(1, 4))
def test_lost_datagrams_cause_no_deaths_in_a_large_tier(seed):
    network = converged_network(64, seed, loss=0.1)
    network.run(20.0)
    assert not network.deaths()
