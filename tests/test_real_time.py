"""What is bound by time holds when the loop was held up: each act looks at the clock itself, and what came
meanwhile is read before anything is judged by its age.

The proxy may have been stopped anywhere. Two orders are forced: its sockets are read before the late tick
(`late`), or the tick comes before they are read (`Rig.stall`).
"""

import io
import socket
from itertools import cycle
from random import Random
from unittest import mock

import pytest
from conftest import Driver
from hypothesis import given
from hypothesis import strategies as st
from rig import Rig, read
from scenario import Player
from test_streamed_value import Slow
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
from cloverwell.streamed_value import LONG
from cloverwell.timer_wheel import TimerWheel
from lab.proxy_testbed import SETTINGS as SITE

GOSSIP_TIMING = GossipTiming()
SETTINGS = Driver().settings

ANSWER = b"VA 5 O1\r\nhello\r\n"


def late(player, ms):
    """The clock goes on, and the loop has no turn."""
    player.reactor.rightNow += ms / 1000.0


def sent(player, party, place=1):
    return player.connection(party, place - 1)[1].value()


# Requests -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("stall_ms", [5.0, 11.0, 20.0, 100.0])
@pytest.mark.parametrize("where", ["pick", "_hand_over"])
def test_a_stall_at_the_decision_does_not_have_the_guard_fail_what_the_balancer_would_reject(
    monkeypatch, where, stall_ms
):
    # Seen in the soak, in the first second of a process: the guard came before the attempt's own timeout,
    # which had been counted from a later reading of the clock, and failed a read that is safe to repeat.
    player = Player()
    real = getattr(Facade, where)

    def stalled(facade, *arguments):
        monkeypatch.undo()  # once
        if where == "pick":
            late(player, stall_ms)
            return real(facade, *arguments)
        decision = real(facade, *arguments)
        late(player, stall_ms)
        return decision

    player.play("client send mn\nclient expect MN")
    monkeypatch.setattr(Facade, where, stalled)
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=500\ns1 expect mg k1 *")
    player.play("wait 500\nclient expect SERVER_ERROR busy*")
    assert "overdue" not in player.log.getvalue()


@pytest.mark.parametrize(
    "command", ["mg k1 v O1 Pc=page,t=acme,d=500|", "ms k1 1 O1 Pc=order,t=acme,d=500|a|"]
)
def test_a_request_that_lay_unread_past_its_time_is_not_forwarded(command):
    player = Player()
    client, transport = player.connection("client", 0)
    late(player, 600)
    client.dataReceived(command.replace("|", "\r\n").encode())
    assert not [port for _, port, *_ in player.reactor.tcpClients if port >= player.ports["origin"]]
    assert transport.value().startswith(b"SERVER_ERROR busy")


def test_a_request_that_lay_unread_tells_its_node_what_is_left():
    player = Player()
    client, _ = player.connection("client", 0)
    late(player, 300)
    client.dataReceived(b"ms k1 1 O1 Pc=order,t=acme,d=900\r\na\r\n")
    told = int(sent(player, "origin").split(b"d=")[1].split(b"\r")[0])
    assert 500 < told <= 900 - 295


@pytest.mark.parametrize(("waited", "leaves"), [(90, True), (101, False)])
def test_a_window_counts_from_before_the_write_where_the_proxy_is_held_up_behind_it(
    monkeypatch, waited, leaves
):
    # Nodes drop a repeat for 1500 ms from when the first came. The proxy is stopped for 100 ms between the
    # write of its last byte and the next look at the clock.
    player = Player()
    write = NodeConnection.try_write_command

    def write_and_stop(connection, data):
        kept = write(connection, data)
        late(player, 100)
        return kept

    monkeypatch.setattr(NodeConnection, "try_write_command", write_and_stop)
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=1950|a\norigin expect PUT *")
    monkeypatch.undo()
    player.play("wait 1300\norigin close")
    late(player, waited)
    assert bool(sent(player, "origin", 2)) == leaves


def test_an_attempt_that_waits_for_a_close_waits_for_one_that_left_late():
    # A connection is closed with the loop's next turn. The proxy is stopped before that, for longer than the
    # close may take on its way: the next attempt would meet the first at the node.
    player = Player(settings=SITE | {"limits": SITE["limits"] | {"second-copies": False}})
    player.service.node_policy.close_delay_bound_ms = lambda node: 40.0
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=900|a\norigin expect PUT *")
    attempt = player.service.dispatcher._open["1"].attempts[0]
    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
    held_up(player, 100.0)
    player.play("wait 30")
    assert player.next_asked("origin") is None
    assert player.service.dispatcher.open_count == 1
    player.play("wait 20\norigin#2 expect PUT /k1 *\norigin#2 send 200 r\nclient expect HD O1 cr")


# Judged by age, behind a hold-up ---------------------------------------------------------------------


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.close()


def half_read():
    """A client that has not read its answer: it is still with the proxy, and no request is open."""
    player = Player()
    _, transport = player.connection("client", 0)
    client = Slow(transport)
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900\ns1 expect mg k1 *\ns1 send VA 5 O1|hello")
    connection = transport.protocol
    assert connection.has_unsent_responses
    assert not connection.has_open_request
    assert not client.got
    return player, client


def held_up(player, ms):
    """The loop is held up for so long, and its late tick comes before its sockets are read or written."""
    player.reactor.advance(ms / 1000.0)


def test_an_answer_that_is_being_read_is_not_cut_off_behind_a_hold_up():
    # After 10 s nobody waits for an answer; but the proxy was stopped, and its client has read on.
    player, client = half_read()
    held_up(player, 10_050.0)
    assert not client.transport.aborted
    client.read(100)
    assert client.got == ANSWER
    player.play("wait 100")
    assert not client.transport.aborted


def test_an_answer_that_nobody_reads_is_given_up_all_the_same():
    player, client = half_read()
    held_up(player, 10_050.0)
    player.play("wait 10")
    assert client.transport.aborted


def test_the_end_of_the_program_waits_for_the_last_answers_behind_a_hold_up():
    player, client = half_read()
    player.play(
        "proxy close\nwait 800"
    )  # past the cut, in the half second in which the last answers may leave
    held_up(player, 600.0)
    assert not player.reactor.hasStopped
    client.read(100)
    assert client.got == ANSWER
    player.play("wait 600\nproxy expect end")


def test_a_long_value_goes_on_behind_a_hold_up(rig):
    client = rig.client(read(1))
    node = rig.nodes[0].accept()
    rig.receive_until(node, b"mg k1")
    value = b"v" * (LONG + 1000)
    node.sendall(b"VA %d O1\r\n%s" % (len(value), value[:1000]))
    rig.receive_until(client, b"v")
    node.sendall(value[1000:] + b"\r\n")
    rig.stall(STREAM_STALL_MS + 50.0)
    rig.run_iterations()
    assert rig.receive_until(client, b"v\r\n")


def test_a_long_value_that_stands_still_is_given_up_all_the_same(rig):
    client = rig.client(read(1))
    node = rig.nodes[0].accept()
    rig.receive_until(node, b"mg k1")
    node.sendall(b"VA %d O1\r\n%s" % (LONG + 1000, b"v" * 1000))
    rig.receive_until(client, b"v")
    rig.stall(STREAM_STALL_MS + 50.0)
    rig.advance_clock(100)
    rig.receive_to_end(client)


def test_half_an_answer_is_given_up_by_looks_and_not_by_a_clock_that_ran_on_unread():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900\ns1 expect mg k1 *")
    node, transport = player.connection("s1", 0)
    node.dataReceived(b"VA 5 O1\r\nhe")
    for _ in range(3):  # longer than it may stand still, in fewer looks
        held_up(player, 60.0)
    assert not transport.aborted
    player.play("wait 80")  # nothing has come in between
    assert transport.aborted


# Other processes, judged by their silence -----------------------------------------------------------


def met():
    """A view of a tier of three, all of them alive, and a ping out."""
    view = MembershipView(0, 3, 1000, 1)
    for number in (1, 2):
        view.receive(0.0, Datagram(DatagramKind.PING, number, 1000, 1, NO_PROXY, ()))
    assert view.tick(0.0)
    assert view.alive() == {0, 1, 2}
    return view


def states(view):
    return {number: member.status for number, member in view.members.items()}


def test_a_proxy_that_was_stopped_takes_nobody_elses_silence_for_a_death():
    view = met()
    view.tick(50.0)
    view.receive(
        50.0,
        Datagram(DatagramKind.PING, 1, 1000, 2, NO_PROXY, (MembershipUpdate(2, 1000, MemberStatus.SUSPECT),)),
    )
    view.tick(10_050.0)  # what both have sent meanwhile is not read yet
    assert states(view) == {1: MemberStatus.ALIVE, 2: MemberStatus.SUSPECT}
    view.receive(10_051.0, Datagram(DatagramKind.PING, 2, 1001, 9, NO_PROXY, ()))
    view.tick(10_100.0)
    assert states(view) == {1: MemberStatus.ALIVE, 2: MemberStatus.ALIVE}


def test_behind_a_stop_a_silent_one_dies_in_its_time():
    view, now = met(), 10_000.0
    while now < 10_000.0 + 2 * GOSSIP_TIMING.protocol_period_ms + 2 * GOSSIP_TIMING.suspicion_timeout_ms:
        view.tick(now)
        now += GOSSIP_TIMING.protocol_period_ms / 4.0
    assert MemberStatus.DEAD in states(view).values()


def leader(now):
    """A control node that leads, with a lease: the second of three has voted for it and taken its entry."""
    node = ControlNode("a", ("a", "b", "c"), "log", StoredState(), Random(1), 0.0)
    node.tick(now)
    node.receive_peer("b", VoteAnswer(0, "b", 1, True, pre_vote=True), now)
    node.receive_peer("b", VoteAnswer(1, "b", 1, True), now)
    node.receive_peer("b", AppendAnswer(1, "b", True, 1, now, 0.0), now)
    assert node.status(now).has_quorum
    assert node.status(now).lease_ms > 0.0
    return node


@pytest.mark.parametrize("late_answer", [True, False])
def test_a_leader_that_was_stopped_serves_nobody_as_one_before_its_tick(late_answer):
    node, now = leader(4000.0), 14_000.0
    if late_answer:  # it has lain in the socket
        node.receive_peer("b", AppendAnswer(1, "b", True, 1, 4000.0, 0.0), now)
    assert not node.status(now).has_quorum
    assert node.status(now).lease_ms == 0.0
    answers = node.propose(7, Propose("name", EntryKind.CONFIGURATION, b"x"), now)
    assert [answer.answer.outcome for answer in answers] == [ProposalOutcome.NO_QUORUM]


# A predecessor --------------------------------------------------------------------------------------


def test_a_successor_waits_for_a_slow_predecessor_no_longer_than_it_says(tmp_path, monkeypatch):
    # Each step may take its time, all of them together no more than one of them.
    waits = []

    class Slow(socket.socket):
        def settimeout(self, seconds):
            waits.append(seconds)
            super().settimeout(seconds)

        def connect(self, address):
            super().connect(address)
            clock[0] += 0.75

    clock = [100.0]
    path = str(tmp_path / "place")
    with socket.socket(socket.AF_UNIX) as listening:
        listening.bind(path)
        listening.listen()
        monkeypatch.setattr(successor.socket, "socket", Slow)
        monkeypatch.setattr(successor.time, "monotonic", lambda: clock[0])
        assert (
            successor.request_handover(path, ("127.0.0.1", 1), Log(lambda: 0.0, io.StringIO()), wait_s=1.0)
            is None
        )
    assert waits[0] <= 1.0
    assert waits[-1] <= 0.25


# Steps of the wall clock ----------------------------------------------------------------------------

STATUSES = st.sampled_from([api.Status.RESET, api.Status.TIMEOUT, api.Status.FULL, api.Status.MISS])
TURNS = st.lists(st.tuples(st.integers(0, 2), st.floats(0.0, 700.0), STATUSES), min_size=1, max_size=6)
WALL_STEPS = st.lists(st.floats(-1e9, 1e9), min_size=1, max_size=10)


def stepping(steps):
    """A wall clock that steps each time it is read."""
    wall_s, endless = [1.7e9], cycle(steps)

    def read_wall():
        wall_s[0] += next(endless)
        return wall_s[0]

    return read_wall


def retries_of(turns):
    """What becomes of requests whose attempts end so, each after so long: the decisions with their times."""
    drive, decided = Driver(), []
    for cls, after_ms, status in turns:
        name = drive.ask("k", cls)
        while name not in drive.ended and name in drive.sends and len(decided) < 200:
            drive.answer(name, status, after_ms)
            drive.pass_time(5.0)
            decided.append((drive.now, tuple(drive.sends[name]), drive.ended.get(name)))
    return decided


def pauses_of(turns):
    """When discovery is called again, on the wheel, behind calls that fail after so long."""
    clock = Clock()
    timer_wheel, retry, calls = (
        TimerWheel(clock, 5.0, lambda: clock.seconds() * 1000.0),
        PollBackoff(SETTINGS, 7),
        [],
    )
    timer_wheel.start()
    for _, took_ms, _ in turns:
        timer_wheel.not_before(
            timer_wheel.now() + retry.record_failure(took_ms), lambda: calls.append(timer_wheel.now())
        )
        clock.pump([0.02] * 350)
    return calls


@given(TURNS, WALL_STEPS)
def test_steps_of_the_wall_clock_change_no_retry(turns, steps):
    with mock.patch("time.time", return_value=1.7e9):
        steady = retries_of(turns), pauses_of(turns[:2])
    with mock.patch("time.time", stepping(steps)):
        assert (retries_of(turns), pauses_of(turns[:2])) == steady
    assert steady[0]
    assert len(steady[1]) == len(turns[:2])
