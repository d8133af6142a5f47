"""Disconnected clients: no attempt, first or retry, begins for one more than 0.1 s after its close.

On real sockets. The crossing is forced: `lag` stalls the event loop with the close unread, and the test hands
the proxy what its reactor would read first.
"""

import socket

import pytest
from rig import read, reset, write
from twisted.internet import tcp

from cloverwell.codec import lines
from cloverwell.dispatcher import Dispatcher
from cloverwell.facade import AttemptOutcome
from cloverwell.front.client_connection import (
    MAX_MALFORMED_COMMANDS,
    MAX_PIPELINED_COMMANDS,
    UNTHROTTLED_MALFORMED_COMMANDS,
)
from cloverwell.front.client_connections import DISCONNECT_CHECK_INTERVAL_MS, ClientConnections
from cloverwell.timer_wheel import STALL_MS
from lab.proxy_testbed import SETTINGS
from lab.scenario import load
from lab.simulation import Simulation

DISCONNECT_LIMIT_MS = 100.0  # an attempt that begins later than that after the close breaks the rule
LEAVE = pytest.mark.parametrize("leave", [socket.socket.close, reset])
LAG_MS = 300.0


@pytest.fixture
def rig(begun, rig):
    """Every attempt from the first on is noted."""
    return rig


def half_close(conn):
    """Close the client's side only: that counts as a disconnect."""
    conn.shutdown(socket.SHUT_WR)


def nothing_begins(proxy, begun, before):
    """Return whether nothing is open, and no attempt was sent to a node since there were so many."""
    proxy.advance_clock(600)
    left = [attempt for attempt in begun[before:] if attempt.written_ms is not None]
    return not left and not proxy.service.dispatcher.open_count


def test_the_bounds_on_the_way_to_knowing_of_a_close_leave_half_the_time():
    # A check of the connections that are not read, in a loop that is as late as one may be without a stall.
    assert DISCONNECT_CHECK_INTERVAL_MS + STALL_MS <= DISCONNECT_LIMIT_MS / 2


# Connections that are not read --------------------------------------------------------------------


@pytest.mark.parametrize("leave", [socket.socket.close, reset, half_close])
def test_what_stands_behind_malformed_commands_is_not_sent_for_a_client_that_left(rig, begun, leave):
    # Each error pauses reading for 50 ms; without an open request the close was once not checked for.
    proxy = rig()
    errors = MAX_MALFORMED_COMMANDS - 2
    conn = proxy.client(b"no\r\n" * errors + read(1) + write(2))
    proxy.advance_clock(20)
    assert errors > UNTHROTTLED_MALFORMED_COMMANDS + 4
    assert not begun
    leave(conn)
    proxy.advance_clock(50 * errors)
    assert not begun
    assert not proxy.service.client_connections.connections


@LEAVE
def test_a_close_behind_unread_commands_is_known_within_half_the_time(rig, leave):
    proxy = rig(backlog=0)
    proxy.nodes[0].fill_accept_queue()
    conn = proxy.client(
        b"".join(read(number) for number in range(3 * MAX_PIPELINED_COMMANDS)) + b"mg half a comm"
    )
    proxy.run_until(lambda: proxy.service.dispatcher.open_count == MAX_PIPELINED_COMMANDS)
    leave(conn)
    proxy.advance_clock(DISCONNECT_LIMIT_MS / 2 - 10)
    assert not proxy.service.dispatcher.open_count
    assert not proxy.service.client_connections.connections


def test_all_connections_that_are_not_read_are_checked_in_one_call(rig, monkeypatch):
    proxy = rig(sockets=512)
    conns = [proxy.client() for _ in range(60)]
    side = proxy.service.client_connections
    proxy.run_until(lambda: len(side.connections) == 60)
    for connection in side.connections:
        connection.hold()
    calls = []
    real = lines.select.poll

    class Counted:
        def __init__(self):
            self._poll = real()
            self.register = self._poll.register

        def poll(self, *args):
            calls.append(args)
            return self._poll.poll(*args)

    for conn in conns[:20]:
        conn.close()
    monkeypatch.setattr(lines.select, "poll", Counted)
    side.check_paused_connections()
    assert len(calls) == 1
    assert len(side.paused_connections) == 40


# Connections that wait to be accepted -------------------------------------------------------------


@LEAVE
@pytest.mark.parametrize("data", [read(1), write(1), read(1) + write(2) + b"ms k3 5 O3 Pc=or"])
def test_a_client_that_left_while_it_waited_to_be_accepted_has_nothing_sent(rig, begun, leave, data):
    proxy = rig()
    proxy.service._port.pauseProducing()  # as when the descriptors are used up
    conn = proxy.client(data)
    leave(conn)
    proxy.advance_clock(400)
    proxy.run_until(lambda: proxy.service.timer_wheel.unread_delay_ms < STALL_MS / 2)
    proxy.service._port.resumeProducing()
    proxy.advance_clock(400)
    assert not begun
    assert not proxy.service.dispatcher.open_count


# After an event-loop stall ------------------------------------------------------------------------


def taken(proxy, begun, data, number=1):
    """A client whose requests are sent to a node, or queued."""
    conn = proxy.client(data)
    proxy.run_until(lambda: len(begun) >= number and begun[number - 1].written_ms is not None)
    return conn


@LEAVE
@pytest.mark.parametrize("answer", [b"EN O1\r\n", b"SERVER_ERROR busy\r\n", b"SERVER_ERROR failed\r\n"])
def test_an_answer_read_before_its_clients_old_close_brings_no_further_attempt(rig, begun, leave, answer):
    # Both are in their buffers after a stall, and the reactor reads the node's first.
    proxy = rig(nodes=2)
    conn = taken(proxy, begun, read(1))
    (node,) = begun[0].pool.connections
    leave(conn)
    proxy.clock_offset_ms += LAG_MS
    node.dataReceived(answer)
    assert all(attempt.over for attempt in begun)
    assert nothing_begins(proxy, begun, 1)


@LEAVE
def test_a_place_that_comes_free_behind_a_lag_is_not_given_to_a_client_that_left(rig, begun, leave):
    proxy = rig(nodes=0, sockets=512)
    conns = [proxy.client(read(number)) for number in range(60)]
    proxy.run_iterations(5)
    before = len(begun)
    assert 1 < before < 60
    (first,) = [conn for conn in proxy.service.pools.pool_of("origin").connections if conn.attempts][:1]
    for conn in conns:
        leave(conn)
    proxy.clock_offset_ms += LAG_MS
    first.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
    assert nothing_begins(proxy, begun, before)
    assert len(begun) <= before + 1
    assert all(attempt.over for attempt in begun)


@LEAVE
def test_the_first_tick_after_a_lag_sends_nothing_for_a_client_that_left(rig, begun, leave):
    # The tick comes before the reads: it ends attempts whose time is over, and what followed was sent.
    limits = SETTINGS["limits"] | {"cancel": False}
    proxy = rig(nodes=3, settings=SETTINGS | {"limits": limits})
    conn = taken(proxy, begun, read(1))
    leave(conn)
    proxy.stall(1000.0)  # the attempt's time, half of the request's
    proxy.run_iterations(1)
    assert len(begun) == 1
    assert nothing_begins(proxy, begun, 1)


@LEAVE
def test_an_attempt_that_waits_for_the_close_of_the_one_before_is_not_sent_by_that_tick(rig, begun, leave):
    limits = SETTINGS["limits"] | {"second-copies": False}
    proxy = rig(nodes=3, settings=SETTINGS | {"limits": limits})
    proxy.service.node_policy.close_delay_bound_ms = lambda node: 40.0
    conn = taken(proxy, begun, read(1))
    begun[0].pool.give_up(begun[0], AttemptOutcome.TIMED_OUT)
    assert proxy.service.dispatcher.open_count == 1
    assert len(begun) == 1
    leave(conn)
    proxy.stall(LAG_MS)
    proxy.run_iterations(1)
    assert len(begun) == 1
    assert nothing_begins(proxy, begun, 1)


@LEAVE
def test_a_connection_that_comes_up_behind_a_lag_is_not_used_for_a_client_that_left(rig, begun, leave):
    proxy = rig()
    conn = proxy.client()
    proxy.run_iterations()
    (connection,) = proxy.service.client_connections.connections
    connection.dataReceived(write(1))  # taken: its connection to the origin is on the way
    proxy.reactor.runUntilCurrent()
    opening = [one for one in proxy.reactor._selectables.values() if isinstance(one, tcp.BaseClient)]
    (connector,) = [one for one in opening if one.addr == proxy.origin.address]
    leave(conn)
    proxy.clock_offset_ms += LAG_MS / 2
    connector.doConnect()
    assert nothing_begins(proxy, begun, 0)


# Many at once -------------------------------------------------------------------------------------


@LEAVE
@pytest.mark.parametrize("number", [60, 300])
def test_of_a_burst_that_leaves_none_is_given_the_place_of_another(rig, begun, leave, number):
    # Each close once cancelled an open read; its place at the origin went to the next disconnected client.
    proxy = rig(nodes=0, sockets=1024)
    conns = [proxy.client(read(n, 30_000)) for n in range(number)]
    proxy.run_until(lambda: len(proxy.service.client_connections.connections) == number)
    proxy.run_iterations(5)
    before = len(begun)
    assert 1 < before < number
    for conn in conns:
        leave(conn)
    proxy.run_iterations(5)
    assert len(begun) == before
    assert not proxy.service.dispatcher.open_count


def test_of_one_connections_commands_none_is_given_the_place_of_another(rig, begun):
    proxy = rig(nodes=0)
    conn = proxy.client(b"".join(read(n) for n in range(MAX_PIPELINED_COMMANDS - 1)))
    proxy.run_iterations(5)
    before = len(begun)
    assert 1 < before < MAX_PIPELINED_COMMANDS - 1
    conn.close()
    proxy.run_iterations(5)
    assert len(begun) == before
    assert not proxy.service.dispatcher.open_count


# A long value under way ---------------------------------------------------------------------------


@LEAVE
def test_what_waits_behind_a_long_value_is_not_sent_for_a_client_that_left(rig, begun, leave):
    proxy = rig(backlog=0)
    conn = taken(proxy, begun, read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(b"VA 1000000 O1\r\n" + b"v" * 200_000)
    proxy.run_until(lambda: proxy.service.client_connections.stream_count)
    proxy.nodes[0].fill_accept_queue()
    conn.sendall(
        b"".join(read(number) for number in range(2, 2 + 2 * MAX_PIPELINED_COMMANDS)) + b"ms k9 70 O9"
    )
    proxy.run_until(lambda: proxy.service.client_connections.paused_connections)
    leave(conn)
    proxy.advance_clock(DISCONNECT_LIMIT_MS / 2 - 10)
    assert not proxy.service.dispatcher.open_count
    assert not proxy.service.client_connections.connections
    assert not proxy.service.client_connections.stream_count
    assert nothing_begins(proxy, begun, 1)


# In the simulation: an invariant checker, over whole runs -----------------------------------------


def left(summary):
    return summary["rules"]["left"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_clients_that_leave_alone_and_by_hundreds_have_nothing_sent_later(seed):
    summary = Simulation(load("leave"), seed).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["ends"]["left"] > 150, summary["ends"]
    assert summary["service"] > 0.8, summary["ends"]


def ignore_disconnects(patch):
    patch.setattr(Dispatcher, "client_disconnected", lambda self, requests: None)


def detect_late(patch, ms):
    real = ClientConnections.clients_disconnected

    def clients_disconnected(self, connections):
        self.timer_wheel.not_before(self.timer_wheel.now() + ms, lambda: real(self, connections))

    patch.setattr(ClientConnections, "clients_disconnected", clients_disconnected)


@pytest.mark.parametrize(("late_ms", "breaks"), [(None, True), (150.0, True), (60.0, False)])
def test_the_checker_allows_a_tenth_of_a_second_after_a_client_left(monkeypatch, late_ms, breaks):
    ignore_disconnects(monkeypatch) if late_ms is None else detect_late(monkeypatch, late_ms)
    assert bool(left(Simulation(load("leave"), 1).run())) == breaks
