"""The parts of the membership view, each by itself: member table, dissemination, and probes."""

from itertools import product
from random import Random

import pytest

from cloverwell.gossip.composer import DatagramComposer
from cloverwell.gossip.dissemination import UpdateQueue
from cloverwell.gossip.indirect_probes import IndirectProbes
from cloverwell.gossip.member_table import MemberChange, MemberTable
from cloverwell.gossip.probing import FailureDetector, ShuffledRoundRobin
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import NO_PROXY, Datagram, DatagramKind, MembershipUpdate, MemberStatus

TOTAL = 8
ALIVE, SUSPECT, DEAD = MemberStatus


def table_with(*updates):
    table = MemberTable(0, TOTAL)
    for update in updates:
        table.apply(0.0, MembershipUpdate(*update))
    return table


# Member table (SWIM, section 4.2) ---------------------------------------------------------------------


@pytest.mark.parametrize(("known", "status"), list(product(MemberStatus, MemberStatus)))
@pytest.mark.parametrize("incarnation", [4, 5, 6])
def test_a_higher_incarnation_overrides_and_at_the_same_one_the_higher_status(known, status, incarnation):
    table = table_with((3, 5, known))
    table.take_changes()
    table.apply(1.0, MembershipUpdate(3, incarnation, status))
    overrides = incarnation == 6 or (incarnation == 5 and status > known)
    expected = MembershipUpdate(3, incarnation, status) if overrides else MembershipUpdate(3, 5, known)
    assert table.update_of(3) == expected
    assert table.take_changes() == ([MemberChange(3, status, incarnation)] if overrides else [])


@pytest.mark.parametrize(
    ("status", "suspects", "reachable"), [(ALIVE, set(), {3}), (SUSPECT, {3}, {3}), (DEAD, set(), set())]
)
def test_each_member_is_in_the_sets_of_its_status(status, suspects, reachable):
    table = table_with((3, 5, ALIVE), (3, 5, status))
    assert table.suspects == suspects
    assert table.reachable == reachable
    assert table.unreachable == set(range(1, TOTAL)) - reachable


def test_a_member_that_was_never_heard_of_is_unreachable_and_not_stale():
    table = MemberTable(0, TOTAL)
    assert table.unreachable == set(range(1, TOTAL))
    assert not table.is_stale(3, 0)
    assert table.suspicion_of(3) is None


def test_an_earlier_incarnation_is_stale():
    table = table_with((3, 5, ALIVE))
    assert table.is_stale(3, 4)
    assert not table.is_stale(3, 5)


def test_a_suspicion_of_this_proxys_own_is_marked_and_ends_with_another_status():
    table = table_with((3, 5, ALIVE))
    table.suspect(1.0, 3)
    assert table.members[3].suspected_here
    table.declare_dead(2.0, 3)
    assert table.suspicion_of(3) == MembershipUpdate(3, 5, DEAD)
    assert not table.members[3].suspected_here


def test_a_stall_does_not_age_a_suspicion():
    table = table_with((3, 5, SUSPECT), (4, 5, ALIVE))
    table.exclude_stall(700.0)
    assert table.members[3].since_ms == 700.0
    assert table.members[4].since_ms == 0.0


# Dissemination (section 4.1) --------------------------------------------------------------------------


@pytest.mark.parametrize(("total", "transmissions"), [(2, 6), (8, 12), (480, 27)])
def test_an_update_is_sent_a_number_of_times_that_grows_with_the_logarithm_of_the_tier(total, transmissions):
    queue = UpdateQueue(total)
    queue.enqueue(1)
    assert [queue.take(5) for _ in range(transmissions + 1)] == [[1]] * transmissions + [[]]
    assert len(queue) == 0


def test_the_least_often_sent_update_goes_first():
    queue = UpdateQueue(TOTAL)
    queue.enqueue(5)
    queue.enqueue(2)
    assert queue.take(1) == [2]
    queue.enqueue(7)
    assert queue.take(2) == [5, 7]
    assert queue.take(3) == [2, 5, 7]


# Order of probes (section 4.3) ------------------------------------------------------------------------


def test_each_eligible_member_is_picked_once_in_a_round_and_in_another_order_in_the_next():
    order = ShuffledRoundRobin(Random(1))
    members = set(range(20))
    rounds = [[order.next(members) for _ in members] for _ in range(3)]
    assert all(sorted(members_of_round) == sorted(members) for members_of_round in rounds)
    assert rounds[0] != rounds[1] != rounds[2]


def test_a_member_that_is_no_longer_eligible_is_skipped():
    order = ShuffledRoundRobin(Random(1))
    first = order.next({1, 2, 3})
    _, still_eligible = {1, 2, 3} - {first}
    assert [order.next({still_eligible}) for _ in range(3)] == [still_eligible] * 3
    assert order.next(set()) is None


# Probes (section 3.1) ---------------------------------------------------------------------------------


def detector_with_one_probe():
    """Returns a table, its failure detector, which has sent its first ping at 0 ms, and that ping."""
    table = table_with(*((number, 1, ALIVE) for number in range(1, TOTAL)))
    composer = DatagramComposer(0, 1, table)
    detector = FailureDetector(table, composer, GossipTiming(), TOTAL, Random(1))
    (ping,) = detector.tick(0.0)
    return table, detector, ping


def ack_of(ping, subject):
    return Datagram(DatagramKind.ACK, subject, 1, ping.datagram.sequence, subject)


def test_a_member_that_answers_within_the_ping_timeout_is_not_probed_indirectly():
    table, detector, ping = detector_with_one_probe()
    detector.acknowledge(ack_of(ping, ping.receiver))
    assert detector.tick(100.0) == []
    (next_ping,) = detector.tick(200.0)
    assert next_ping.receiver != ping.receiver
    assert not table.suspects


def test_a_member_that_answers_nobody_is_probed_by_others_once_and_then_suspected():
    table, detector, ping = detector_with_one_probe()
    requests = detector.tick(80.0)
    assert (
        len({request.receiver for request in requests} - {0, ping.receiver}) == GossipTiming().indirect_probes
    )
    assert {request.datagram.kind for request in requests} == {DatagramKind.PING_REQ}
    assert {request.datagram.subject for request in requests} == {ping.receiver}
    assert {request.datagram.sequence for request in requests} == {ping.datagram.sequence}
    assert detector.tick(160.0) == []
    detector.tick(200.0)
    assert table.suspects == {ping.receiver}


@pytest.mark.parametrize("wrong", ["subject", "sequence"])
def test_an_ack_of_another_probe_does_not_count(wrong):
    table, detector, ping = detector_with_one_probe()
    other = ack_of(ping, ping.receiver % (TOTAL - 1) + 1)
    if wrong == "sequence":
        other = Datagram(DatagramKind.ACK, ping.receiver, 1, ping.datagram.sequence + 1, ping.receiver)
    detector.acknowledge(other)
    detector.tick(80.0)
    detector.tick(200.0)
    assert table.suspects == {ping.receiver}


# Indirect probes on behalf of others ------------------------------------------------------------------


def ping_request(sender, sequence, subject):
    return Datagram(DatagramKind.PING_REQ, sender, 1, sequence, subject)


@pytest.fixture
def indirect_probes():
    return IndirectProbes(DatagramComposer(0, 1, MemberTable(0, TOTAL)), max_age_ms=200.0, max_probes=2)


def test_an_ack_is_relayed_once_under_the_requesters_sequence_number(indirect_probes):
    (ping,) = indirect_probes.start(0.0, ping_request(1, 900, 2))
    assert (ping.receiver, ping.datagram.kind, ping.datagram.subject) == (2, DatagramKind.PING, NO_PROXY)
    relayed = indirect_probes.relay(ack_of(ping, 2))
    assert (relayed.receiver, relayed.datagram.kind) == (1, DatagramKind.ACK)
    assert (relayed.datagram.sequence, relayed.datagram.subject) == (900, 2)
    assert indirect_probes.relay(ack_of(ping, 2)) is None


def test_a_request_beyond_the_limit_is_ignored_until_the_older_ones_expire(indirect_probes):
    indirect_probes.start(0.0, ping_request(1, 900, 2))
    indirect_probes.start(10.0, ping_request(3, 901, 2))
    assert indirect_probes.start(200.0, ping_request(4, 902, 2)) == []
    assert len(indirect_probes.start(201.0, ping_request(4, 903, 2))) == 1
    assert len(indirect_probes) == 2
