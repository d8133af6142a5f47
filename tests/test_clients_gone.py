"""No attempt, first or retry, begins for a client more than 0.1 s after it has disconnected.

The tests use real sockets and force the races: `Rig.stall` stalls the event loop while the close is unread,
or the test calls `dataReceived` with the bytes that the reactor would read before the close.
"""

import socket

import pytest
from rig import read, reset, write
from twisted.internet import tcp

from cloverwell.codec import socket_state
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

DISCONNECT_LIMIT_MS = 100.0  # No attempt may begin later than this after the client's close.
CLOSE_OR_RESET = pytest.mark.parametrize("leave", [socket.socket.close, reset])
EVENT_LOOP_STALL_MS = 300.0


@pytest.fixture
def rig(started_attempts, rig):
    """The fixture `rig`, with every attempt of its proxies recorded in `started_attempts`."""
    return rig


def half_close(conn):
    """Close only the client's sending side, which counts as a disconnect."""
    conn.shutdown(socket.SHUT_WR)


def nothing_is_sent(proxy, started_attempts, before):
    """Return whether no request is open, and no attempt after the first `before` ones was sent to a node."""
    proxy.advance_clock(600)
    left = [attempt for attempt in started_attempts[before:] if attempt.written_ms is not None]
    return not left and not proxy.service.dispatcher.open_count


def test_a_disconnect_is_detected_within_half_of_the_limit():
    # The interval between two checks of the paused connections, and the longest delay that is not a stall.
    assert DISCONNECT_CHECK_INTERVAL_MS + STALL_MS <= DISCONNECT_LIMIT_MS / 2


# Paused connections -------------------------------------------------------------------------------


@pytest.mark.parametrize("leave", [socket.socket.close, reset, half_close])
def test_requests_after_malformed_commands_are_not_sent_for_a_disconnected_client(
    rig, started_attempts, leave
):
    # Each error pauses reading for 50 ms. The close must be detected although no request is open.
    proxy = rig()
    errors = MAX_MALFORMED_COMMANDS - 2
    conn = proxy.client(b"no\r\n" * errors + read(1) + write(2))
    proxy.advance_clock(20)
    assert errors > UNTHROTTLED_MALFORMED_COMMANDS + 4
    assert not started_attempts
    leave(conn)
    proxy.advance_clock(50 * errors)
    assert not started_attempts
    assert not proxy.service.client_connections.connections


@CLOSE_OR_RESET
def test_a_close_behind_unread_commands_is_detected_within_half_of_the_limit(rig, leave):
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


def test_all_paused_connections_are_checked_in_one_system_call(rig, monkeypatch):
    proxy = rig(sockets=512)
    conns = [proxy.client() for _ in range(60)]
    side = proxy.service.client_connections
    proxy.run_until(lambda: len(side.connections) == 60)
    for connection in side.connections:
        connection.hold()
    calls = []
    real_poll = socket_state.select.poll

    class CountingPoll:
        def __init__(self):
            self._poll = real_poll()
            self.register = self._poll.register

        def poll(self, *args):
            calls.append(args)
            return self._poll.poll(*args)

    for conn in conns[:20]:
        conn.close()
    monkeypatch.setattr(socket_state.select, "poll", CountingPoll)
    side.check_paused_connections()
    assert len(calls) == 1
    assert len(side.paused_connections) == 40


# Connections that wait to be accepted -------------------------------------------------------------


@CLOSE_OR_RESET
@pytest.mark.parametrize("data", [read(1), write(1), read(1) + write(2) + b"ms k3 5 O3 Pc=or"])
def test_nothing_is_sent_for_a_client_that_disconnected_in_the_accept_queue(
    rig, started_attempts, leave, data
):
    proxy = rig()
    proxy.service._port.pauseProducing()  # as is done when no descriptor is left
    conn = proxy.client(data)
    leave(conn)
    proxy.advance_clock(400)
    proxy.run_until(lambda: proxy.service.timer_wheel.unread_delay_ms < STALL_MS / 2)
    proxy.service._port.resumeProducing()
    proxy.advance_clock(400)
    assert not started_attempts
    assert not proxy.service.dispatcher.open_count


# After an event-loop stall ------------------------------------------------------------------------


def client_with_attempts(proxy, started_attempts, data, number=1):
    """Connects a client, and waits until its `number`-th attempt has been written to a node."""
    conn = proxy.client(data)
    proxy.run_until(
        lambda: len(started_attempts) >= number and started_attempts[number - 1].written_ms is not None
    )
    return conn


@CLOSE_OR_RESET
@pytest.mark.parametrize("answer", [b"EN O1\r\n", b"SERVER_ERROR busy\r\n", b"SERVER_ERROR failed\r\n"])
def test_an_answer_that_is_read_before_its_clients_close_starts_no_further_attempt(
    rig, started_attempts, leave, answer
):
    # After a stall both the answer and the close are unread, and the reactor reads the node's answer first.
    proxy = rig(nodes=2)
    conn = client_with_attempts(proxy, started_attempts, read(1))
    (node,) = started_attempts[0].pool.connections
    leave(conn)
    proxy.clock_offset_ms += EVENT_LOOP_STALL_MS
    node.dataReceived(answer)
    assert all(attempt.is_over for attempt in started_attempts)
    assert nothing_is_sent(proxy, started_attempts, 1)


@CLOSE_OR_RESET
def test_a_place_that_becomes_free_after_a_stall_is_not_given_to_a_disconnected_client(
    rig, started_attempts, leave
):
    proxy = rig(nodes=0, sockets=512)
    conns = [proxy.client(read(number)) for number in range(60)]
    proxy.run_iterations(5)
    before = len(started_attempts)
    assert 1 < before < 60
    (first,) = [conn for conn in proxy.service.pools.pool_of("origin").connections if conn.attempts][:1]
    for conn in conns:
        leave(conn)
    proxy.clock_offset_ms += EVENT_LOOP_STALL_MS
    first.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
    assert nothing_is_sent(proxy, started_attempts, before)
    assert len(started_attempts) <= before + 1
    assert all(attempt.is_over for attempt in started_attempts)


@CLOSE_OR_RESET
def test_the_first_tick_after_a_stall_sends_nothing_for_a_disconnected_client(rig, started_attempts, leave):
    # After a stall the timers run before the sockets are read. An attempt that times out then must not be
    # retried for a client whose close is still unread.
    limits = SETTINGS["limits"] | {"cancel": False}
    proxy = rig(nodes=3, settings=SETTINGS | {"limits": limits})
    conn = client_with_attempts(proxy, started_attempts, read(1))
    leave(conn)
    proxy.stall(1000.0)  # the attempt's timeout, half of the request's
    proxy.run_iterations(1)
    assert len(started_attempts) == 1
    assert nothing_is_sent(proxy, started_attempts, 1)


@CLOSE_OR_RESET
def test_the_first_tick_after_a_stall_sends_no_retry_that_waited_for_the_end_of_an_attempt(
    rig, started_attempts, leave
):
    limits = SETTINGS["limits"] | {"second-copies": False}
    proxy = rig(nodes=3, settings=SETTINGS | {"limits": limits})
    proxy.service.node_policy.close_delay_bound_ms = lambda node: 40.0
    conn = client_with_attempts(proxy, started_attempts, read(1))
    started_attempts[0].pool.give_up(started_attempts[0], AttemptOutcome.TIMED_OUT)
    assert proxy.service.dispatcher.open_count == 1
    assert len(started_attempts) == 1
    leave(conn)
    proxy.stall(EVENT_LOOP_STALL_MS)
    proxy.run_iterations(1)
    assert len(started_attempts) == 1
    assert nothing_is_sent(proxy, started_attempts, 1)


@CLOSE_OR_RESET
def test_a_connection_that_is_established_after_a_stall_is_not_used_for_a_disconnected_client(
    rig, started_attempts, leave
):
    proxy = rig()
    conn = proxy.client()
    proxy.run_iterations()
    (connection,) = proxy.service.client_connections.connections
    connection.dataReceived(write(1))  # starts a connection to the origin
    proxy.reactor.runUntilCurrent()
    opening = [one for one in proxy.reactor._selectables.values() if isinstance(one, tcp.BaseClient)]
    (connector,) = [one for one in opening if one.addr == proxy.origin.address]
    leave(conn)
    proxy.clock_offset_ms += EVENT_LOOP_STALL_MS / 2
    connector.doConnect()
    assert nothing_is_sent(proxy, started_attempts, 0)


# Many at once -------------------------------------------------------------------------------------


@CLOSE_OR_RESET
@pytest.mark.parametrize("number", [60, 300])
def test_in_a_burst_of_disconnects_no_client_is_given_the_place_of_another(
    rig, started_attempts, leave, number
):
    # Each close cancels an open read, whose place at the origin must not go to another disconnected client.
    proxy = rig(nodes=0, sockets=1024)
    conns = [proxy.client(read(n, 30_000)) for n in range(number)]
    proxy.run_until(lambda: len(proxy.service.client_connections.connections) == number)
    proxy.run_iterations(5)
    before = len(started_attempts)
    assert 1 < before < number
    for conn in conns:
        leave(conn)
    proxy.run_iterations(5)
    assert len(started_attempts) == before
    assert not proxy.service.dispatcher.open_count


def test_no_request_of_a_disconnected_client_is_given_the_place_of_another_one(rig, started_attempts):
    proxy = rig(nodes=0)
    conn = proxy.client(b"".join(read(n) for n in range(MAX_PIPELINED_COMMANDS - 1)))
    proxy.run_iterations(5)
    before = len(started_attempts)
    assert 1 < before < MAX_PIPELINED_COMMANDS - 1
    conn.close()
    proxy.run_iterations(5)
    assert len(started_attempts) == before
    assert not proxy.service.dispatcher.open_count


# A long value that is being sent ------------------------------------------------------------------


@CLOSE_OR_RESET
def test_requests_queued_behind_a_long_value_are_not_sent_for_a_disconnected_client(
    rig, started_attempts, leave
):
    proxy = rig(backlog=0)
    conn = client_with_attempts(proxy, started_attempts, read(1))
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
    assert nothing_is_sent(proxy, started_attempts, 1)


# Whole runs of the simulation, with its invariant checker -----------------------------------------


def late_attempts(summary):
    return summary["rules"]["left"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_sent_late_for_clients_that_disconnect_alone_or_in_hundreds(seed):
    summary = Simulation(load("leave"), seed).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["ends"]["left"] > 150, summary["ends"]
    assert summary["service"] > 0.8, summary["ends"]


def ignore_disconnects(patch):
    patch.setattr(Dispatcher, "client_disconnected", lambda self, requests: None)


def detect_late(patch, ms):
    original = ClientConnections.clients_disconnected

    def clients_disconnected(self, connections):
        self.timer_wheel.call_not_before(self.timer_wheel.now() + ms, lambda: original(self, connections))

    patch.setattr(ClientConnections, "clients_disconnected", clients_disconnected)


@pytest.mark.parametrize(("late_ms", "breaks"), [(None, True), (150.0, True), (60.0, False)])
def test_the_checker_allows_a_tenth_of_a_second_after_a_disconnect(monkeypatch, late_ms, breaks):
    ignore_disconnects(monkeypatch) if late_ms is None else detect_late(monkeypatch, late_ms)
    assert bool(late_attempts(Simulation(load("leave"), 1).run())) == breaks
