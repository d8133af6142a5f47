"""Deadlines and timeouts hold when the event loop has stalled.

Each action reads the clock again, and data that arrived during the stall is read before anything is given up
for its silence. The stall may happen anywhere. The tests force both orders: the sockets are read before the
late tick (`advance_without_turn`), or the tick comes before they are read (`stall`, `Rig.stall`).
"""

import io
import socket
from itertools import cycle
from random import Random
from unittest import mock

import pytest
from conftest import Driver
from held_client import HeldTransport
from hypothesis import given
from hypothesis import strategies as st
from rig import Rig, read
from scenario import Player
from twisted.internet.task import Clock

from balancer import api
from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool import STREAM_STALL_MS
from cloverwell.control.control_node import ControlNode
from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import AppendAnswer, ProposalOutcome, Propose, VoteAnswer
from cloverwell.control.storage import StoredState
from cloverwell.facade import AttemptOutcome, Facade
from cloverwell.gossip.membership_view import MembershipView
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import NO_PROXY, Datagram, DatagramKind, MembershipUpdate, MemberStatus
from cloverwell.handover import successor
from cloverwell.log import Log
from cloverwell.membership.poll_backoff import PollBackoff
from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES
from cloverwell.timer_wheel import TimerWheel
from lab.proxy_testbed import SETTINGS as SITE

GOSSIP_TIMING = GossipTiming()
SETTINGS = Driver().settings

ANSWER = b"VA 5 O1\r\nhello\r\n"


def advance_without_turn(player, ms):
    """Advances the clock without a turn of the event loop."""
    player.reactor.rightNow += ms / 1000.0


def written_to(player, party, number=1):
    """Returns what the proxy has written to the party's connection of that number, counted from 1."""
    return player.connection(party, number - 1)[1].value()


# Requests -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("stall_ms", [5.0, 11.0, 20.0, 100.0])
@pytest.mark.parametrize("stalled_call", ["decide", "_handle_event"])
def test_a_stall_at_the_decision_does_not_fail_a_request_that_the_balancer_would_reject(
    monkeypatch, stalled_call, stall_ms
):
    # If the attempt's timeout were counted from a reading of the clock after the stall, the dispatcher's
    # deadline timer would come before it, and fail a read that is safe to repeat.
    player = Player()
    real_call = getattr(Facade, stalled_call)

    def stalled(facade, *arguments):
        monkeypatch.undo()  # only one call stalls
        if stalled_call == "decide":
            advance_without_turn(player, stall_ms)
            return real_call(facade, *arguments)
        decision = real_call(facade, *arguments)
        advance_without_turn(player, stall_ms)
        return decision

    player.play("client send mn\nclient expect MN")
    monkeypatch.setattr(Facade, stalled_call, stalled)
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=500\ns1 expect mg k1 *")
    player.play("wait 500\nclient expect SERVER_ERROR busy*")
    assert "overdue" not in player.log.getvalue()


@pytest.mark.parametrize(
    "command", ["mg k1 v O1 Pc=page,t=acme,d=500|", "ms k1 1 O1 Pc=order,t=acme,d=500|a|"]
)
def test_a_request_that_was_unread_until_after_its_deadline_is_not_forwarded(command):
    player = Player()
    client, transport = player.connection("client", 0)
    advance_without_turn(player, 600)
    client.dataReceived(command.replace("|", "\r\n").encode())
    assert not [port for _, port, *_ in player.reactor.tcpClients if port >= player.ports["origin"]]
    assert transport.value().startswith(b"SERVER_ERROR busy")


def test_a_request_that_was_unread_for_a_while_propagates_only_the_time_left():
    player = Player()
    client, _ = player.connection("client", 0)
    advance_without_turn(player, 300)
    client.dataReceived(b"ms k1 1 O1 Pc=order,t=acme,d=900\r\na\r\n")
    propagated_ms = int(written_to(player, "origin").split(b"d=")[1].split(b"\r")[0])
    assert 500 < propagated_ms <= 900 - 295


@pytest.mark.parametrize(("waited_ms", "is_sent"), [(90, True), (101, False)])
def test_the_repeat_window_starts_before_the_write_when_the_proxy_stalls_after_it(
    monkeypatch, waited_ms, is_sent
):
    # Nodes recognise a repeated write for 1500 ms after the first one. The proxy stalls for 100 ms between
    # the write of the last byte and its next reading of the clock: counted from that reading, the window
    # would be too long.
    player = Player()
    write = NodeConnection.try_write_command

    def write_and_stall(connection, data):
        result = write(connection, data)
        advance_without_turn(player, 100)
        return result

    monkeypatch.setattr(NodeConnection, "try_write_command", write_and_stall)
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=1950|a\norigin expect PUT *")
    monkeypatch.undo()
    player.play("wait 1300\norigin close")
    advance_without_turn(player, waited_ms)
    assert bool(written_to(player, "origin", 2)) == is_sent


def test_an_attempt_that_waits_for_a_close_also_waits_when_the_close_leaves_late():
    # A connection is closed in the next turn of the event loop. If the proxy stalls before that turn, for
    # longer than the close takes to the node, the next attempt could be there at the same time as the first
    # one.
    player = Player(settings=SITE | {"limits": SITE["limits"] | {"second-copies": False}})
    player.service.node_policy.close_delay_bound_ms = lambda node: 40.0
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=900|a\norigin expect PUT *")
    attempt = player.service.dispatcher._open["1"].attempts[0]
    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
    stall(player, 100.0)
    player.play("wait 30")
    assert player.next_requested_factory("origin") is None
    assert player.service.dispatcher.open_count == 1
    player.play("wait 20\norigin#2 expect PUT /k1 *\norigin#2 send 200 r\nclient expect HD O1 cr")


# Given up by age, after a stall ---------------------------------------------------------------------


@pytest.fixture
def rig():
    proxy = Rig()
    yield proxy
    proxy.close()


def unread_answer():
    """Returns a player and a client that has not read its answer, which is the only thing still pending."""
    player = Player()
    _, transport = player.connection("client", 0)
    client = HeldTransport(transport)
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900\ns1 expect mg k1 *\ns1 send VA 5 O1|hello")
    connection = transport.protocol
    assert connection.has_unsent_responses
    assert not connection.has_open_request
    assert not client.received
    return player, client


def stall(player, ms):
    """Stalls the event loop, whose late tick then comes before its sockets are read or written."""
    player.reactor.advance(ms / 1000.0)


def test_an_answer_that_is_being_read_is_not_given_up_after_a_stall():
    # An answer that is not read for 10 s is given up. Here the proxy has stalled, and the client has read on.
    player, client = unread_answer()
    stall(player, 10_050.0)
    assert not client.transport.aborted
    client.read(100)
    assert client.received == ANSWER
    player.play("wait 100")
    assert not client.transport.aborted


def test_an_answer_that_nobody_reads_is_given_up_soon_after_a_stall():
    player, client = unread_answer()
    stall(player, 10_050.0)
    player.play("wait 10")
    assert client.transport.aborted


def test_the_end_of_the_program_waits_for_the_last_answers_after_a_stall():
    player, client = unread_answer()
    # By then all connections are being closed, and the last answers may still leave for half a second.
    player.play("proxy close\nwait 800")
    stall(player, 600.0)
    assert not player.reactor.hasStopped
    client.read(100)
    assert client.received == ANSWER
    player.play("wait 600\nproxy expect end")


def test_a_long_value_goes_on_after_a_stall(rig):
    client = rig.client(read(1))
    node = rig.nodes[0].accept()
    rig.receive_until(node, b"mg k1")
    value = b"v" * (STREAMING_THRESHOLD_BYTES + 1000)
    node.sendall(b"VA %d O1\r\n%s" % (len(value), value[:1000]))
    rig.receive_until(client, b"v")
    node.sendall(value[1000:] + b"\r\n")
    rig.stall(STREAM_STALL_MS + 50.0)
    rig.run_iterations()
    assert rig.receive_until(client, b"v\r\n")


def test_a_long_value_that_has_stopped_arriving_is_given_up_after_a_stall(rig):
    client = rig.client(read(1))
    node = rig.nodes[0].accept()
    rig.receive_until(node, b"mg k1")
    node.sendall(b"VA %d O1\r\n%s" % (STREAMING_THRESHOLD_BYTES + 1000, b"v" * 1000))
    rig.receive_until(client, b"v")
    rig.stall(STREAM_STALL_MS + 50.0)
    rig.advance_clock(100)
    rig.receive_to_end(client)


def test_half_an_answer_is_given_up_by_the_number_of_checks_and_not_by_the_time_of_stalls():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900\ns1 expect mg k1 *")
    node, transport = player.connection("s1", 0)
    node.dataReceived(b"VA 5 O1\r\nhe")
    for _ in range(3):  # longer than an answer may stop arriving, but in too few checks
        stall(player, 60.0)
    assert not transport.aborted
    player.play("wait 80")  # several checks, between which nothing has arrived
    assert transport.aborted


# Other processes, given up for their silence --------------------------------------------------------


def view_of_three():
    """Returns the view of one of three proxies, all of them alive, with a ping in flight."""
    view = MembershipView(0, 3, 1000, 1)
    for number in (1, 2):
        view.receive(0.0, Datagram(DatagramKind.PING, number, 1000, 1, NO_PROXY, ()))
    assert view.tick(0.0)
    assert view.alive_proxies() == {0, 1, 2}
    return view


def statuses(view):
    return {number: member.status for number, member in view.members.items()}


def test_a_proxy_that_has_stalled_does_not_count_silent_members_as_dead():
    view = view_of_three()
    view.tick(50.0)
    view.receive(
        50.0,
        Datagram(DatagramKind.PING, 1, 1000, 2, NO_PROXY, (MembershipUpdate(2, 1000, MemberStatus.SUSPECT),)),
    )
    view.tick(10_050.0)  # what both have sent meanwhile has not been read yet
    assert statuses(view) == {1: MemberStatus.ALIVE, 2: MemberStatus.SUSPECT}
    view.receive(10_051.0, Datagram(DatagramKind.PING, 2, 1001, 9, NO_PROXY, ()))
    view.tick(10_100.0)
    assert statuses(view) == {1: MemberStatus.ALIVE, 2: MemberStatus.ALIVE}


def test_a_silent_member_is_counted_as_dead_in_time_after_a_stall():
    view, now = view_of_three(), 10_000.0
    while now < 10_000.0 + 2 * GOSSIP_TIMING.protocol_period_ms + 2 * GOSSIP_TIMING.suspicion_timeout_ms:
        view.tick(now)
        now += GOSSIP_TIMING.protocol_period_ms / 4.0
    assert MemberStatus.DEAD in statuses(view).values()


def leader(now):
    """Returns a control node that leads three with a lease: the second has voted and accepted its entry."""
    node = ControlNode("a", ("a", "b", "c"), "log", StoredState(), Random(1), 0.0)
    node.tick(now)
    node.receive_peer("b", VoteAnswer(0, "b", 1, True, pre_vote=True), now)
    node.receive_peer("b", VoteAnswer(1, "b", 1, True), now)
    node.receive_peer("b", AppendAnswer(1, "b", True, 1, now, 0.0), now)
    assert node.status(now).has_quorum
    assert node.status(now).lease_ms > 0.0
    return node


@pytest.mark.parametrize("has_late_answer", [True, False])
def test_a_leader_that_has_stalled_does_not_act_as_leader_before_its_tick(has_late_answer):
    node, now = leader(4000.0), 14_000.0
    if has_late_answer:  # it was in the socket during the stall
        node.receive_peer("b", AppendAnswer(1, "b", True, 1, 4000.0, 0.0), now)
    assert not node.status(now).has_quorum
    assert node.status(now).lease_ms == 0.0
    answers = node.propose(7, Propose("name", EntryKind.CONFIGURATION, b"x"), now)
    assert [answer.answer.outcome for answer in answers] == [ProposalOutcome.NO_QUORUM]


# A predecessor --------------------------------------------------------------------------------------


def test_a_successor_waits_for_a_slow_predecessor_no_longer_than_wait_s(tmp_path, monkeypatch):
    # The limit holds for all steps of the handover together, and not for each of them.
    timeouts_s = []

    class SlowSocket(socket.socket):
        def settimeout(self, seconds):
            timeouts_s.append(seconds)
            super().settimeout(seconds)

        def connect(self, address):
            super().connect(address)
            clock[0] += 0.75

    clock = [100.0]
    path = str(tmp_path / "place")
    with socket.socket(socket.AF_UNIX) as listening:
        listening.bind(path)
        listening.listen()
        monkeypatch.setattr(successor.socket, "socket", SlowSocket)
        monkeypatch.setattr(successor.time, "monotonic", lambda: clock[0])
        assert (
            successor.request_handover(path, ("127.0.0.1", 1), Log(lambda: 0.0, io.StringIO()), wait_s=1.0)
            is None
        )
    assert timeouts_s[0] <= 1.0
    assert timeouts_s[-1] <= 0.25


# Steps of the wall clock ----------------------------------------------------------------------------

STATUSES = st.sampled_from([api.Status.RESET, api.Status.TIMEOUT, api.Status.FULL, api.Status.MISS])
# Attempts, each as (request class, time in ms after which it ends, status).
ATTEMPTS = st.lists(st.tuples(st.integers(0, 2), st.floats(0.0, 700.0), STATUSES), min_size=1, max_size=6)
WALL_STEPS = st.lists(st.floats(-1e9, 1e9), min_size=1, max_size=10)


def stepping_clock(steps):
    """Returns a wall clock that makes the next of these steps each time it is read."""
    wall_s, endless_steps = [1.7e9], cycle(steps)

    def read_wall():
        wall_s[0] += next(endless_steps)
        return wall_s[0]

    return read_wall


def retries_of(attempts):
    """Returns the decisions, with their times, for requests whose attempts end like this."""
    drive, decisions = Driver(), []
    for cls, after_ms, status in attempts:
        name = drive.ask("k", cls)
        while name not in drive.ended and name in drive.sends and len(decisions) < 200:
            drive.answer(name, status, after_ms)
            drive.pass_time(5.0)
            decisions.append((drive.now, tuple(drive.sends[name]), drive.ended.get(name)))
    return decisions


def poll_times_of(attempts):
    """Returns the times at which discovery is called again after calls that fail like these attempts."""
    clock = Clock()
    timer_wheel, backoff, times_ms = (
        TimerWheel(clock, 5.0, lambda: clock.seconds() * 1000.0),
        PollBackoff(SETTINGS, 7),
        [],
    )
    timer_wheel.start()
    for _, failed_after_ms, _ in attempts:
        timer_wheel.call_not_before(
            timer_wheel.now() + backoff.record_failure(failed_after_ms),
            lambda: times_ms.append(timer_wheel.now()),
        )
        clock.pump([0.02] * 350)
    return times_ms


@given(ATTEMPTS, WALL_STEPS)
def test_steps_of_the_wall_clock_change_no_retry(attempts, steps):
    with mock.patch("time.time", return_value=1.7e9):
        expected = retries_of(attempts), poll_times_of(attempts[:2])
    with mock.patch("time.time", stepping_clock(steps)):
        assert (retries_of(attempts), poll_times_of(attempts[:2])) == expected
    assert expected[0]
    assert len(expected[1]) == len(attempts[:2])
