"""What one turn of the event loop does besides commands: answers, clients that leave, the last failures.

The other turns come between: work is counted by turn and never timed.
"""

import pytest
from rig import read, reset, write
from test_fair_turns import received

from cloverwell.back.pool import Pool
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.disconnect_detector import BURST_INTERVAL_MS
from lab.proxy_testbed import SETTINGS

MAX_EVENTS_PER_TURN = 64  # descriptors that are read, written, accepted at or found closed
MAX_CANCELLED_PER_TURN = 64  # requests whose attempts are cancelled
CLIENTS = NODES = 40
READS_OF_A_CLIENT = 10


def settings_with(**limits):
    return SETTINGS | {"limits": SETTINGS["limits"] | limits}


@pytest.fixture
def ended(monkeypatch):
    """The outcomes of the attempts that have ended, in their order."""
    outcomes = []
    end_attempt = Dispatcher._attempt_ended

    def record_and_end(dispatcher, attempt, outcome, body):
        outcomes.append(outcome)
        end_attempt(dispatcher, attempt, outcome, body)

    monkeypatch.setattr(Dispatcher, "_attempt_ended", record_and_end)
    return outcomes


def ended_by_turn(proxy, ended):
    """Runs twenty turns and returns the number of attempts that ended in each."""
    counts = []
    for _ in range(20):
        before = len(ended)
        proxy.run_iterations(1)
        counts.append(len(ended) - before)
    return counts


def accept_all(node):
    """Returns the connections that the proxy has opened to a node."""
    return list(iter(node.accept_nowait, None))


@pytest.fixture
def proxy_with_hundreds_of_attempts(rig, ended):
    """A proxy with 400 attempts, each on a connection of its own, its clients and these connections."""
    proxy = rig(nodes=NODES, settings=settings_with(**{"streams-per-conn": 1}), sockets=1024)
    proxy.stop_clock()
    clients = []
    for client in range(CLIENTS):
        numbers = range(client * READS_OF_A_CLIENT, (client + 1) * READS_OF_A_CLIENT)
        clients.append(proxy.client(b"".join(read(number, 60_000) for number in numbers)))
    proxy.run_iterations(30)
    asked = [conn for node in proxy.nodes for conn in accept_all(node)]
    proxy.run_iterations(30)
    ended.clear()
    return proxy, clients, asked


def test_a_turn_handles_the_answers_of_a_bounded_number_of_node_connections(
    proxy_with_hundreds_of_attempts, ended
):
    proxy, clients, asked = proxy_with_hundreds_of_attempts
    for conn in asked:
        for line in received(conn).split(b"\r\n")[:-1]:
            request_id = next(word for word in line.split() if word.startswith(b"O"))
            conn.sendall(b"VA 1 %s\r\nx\r\n" % request_id)
    counts = ended_by_turn(proxy, ended)
    assert len(ended) > 2 * MAX_EVENTS_PER_TURN  # There was more than one turn may handle.
    assert max(counts) <= MAX_EVENTS_PER_TURN
    assert any(received(client) for client in clients)


def test_the_attempts_of_clients_that_leave_together_are_cancelled_in_bounded_turns(
    proxy_with_hundreds_of_attempts, ended
):
    proxy, clients, _ = proxy_with_hundreds_of_attempts
    proxy.clock_offset_ms += 2 * BURST_INTERVAL_MS  # The first close starts a check that finds the others.
    assert_all_are_cancelled_in_bounded_turns(proxy, clients, ended)


def test_the_attempts_of_clients_found_to_leave_one_by_one_are_cancelled_in_bounded_turns(
    proxy_with_hundreds_of_attempts, ended
):
    proxy, clients, _ = proxy_with_hundreds_of_attempts
    proxy.clock_offset_ms += 2 * BURST_INTERVAL_MS
    proxy.service.client_connections.clients_disconnected([])  # Within 5 ms of this check there is no other.
    assert_all_are_cancelled_in_bounded_turns(proxy, clients, ended)


def assert_all_are_cancelled_in_bounded_turns(proxy, clients, ended):
    for client in clients:
        reset(client)
    counts = ended_by_turn(proxy, ended)
    assert len(ended) > 2 * MAX_CANCELLED_PER_TURN
    assert max(counts) <= MAX_CANCELLED_PER_TURN
    assert proxy.service.dispatcher.open_count == 0


def test_nothing_is_sent_for_a_client_that_left_while_its_attempts_wait_to_be_cancelled(rig):
    # Few connections can be opened, so that attempts wait for one that becomes free.
    proxy = rig(sockets=48)
    proxy.stop_clock()
    client = proxy.client(b"".join(write(number, 60_000) for number in range(60)))
    proxy.run_iterations(30)
    origin = accept_all(proxy.origin)
    proxy.run_iterations(5)
    sent_count = sum(received(conn).count(b"PUT") for conn in origin)
    (connection,) = proxy.service.client_connections.connections
    open_requests = [response.request for response in connection._responses.pending if response.request]
    assert 0 < sent_count < len(open_requests)
    for request in open_requests:
        request.mark_over()  # As for a client that has left, before its attempts are cancelled.
    for conn in origin:
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
    proxy.run_iterations(10)
    proxy.advance_clock(30)  # After an answer a connection to the origin is not used for 15 ms.
    assert [received(conn) for conn in origin] == [b""] * len(origin)
    assert accept_all(proxy.origin) == []
    reset(client)


def test_no_attempt_begins_while_all_open_requests_are_failed_at_the_end(rig, monkeypatch):
    # Reads share connections. Giving one up resets the others on its connection, and each of them was retried
    # although its own request was failed a moment later: twice the work in the last instants of a process.
    proxy = rig(nodes=2, settings=settings_with(**{"streams-per-conn": 32}), sockets=64)
    proxy.stop_clock()
    connections = [proxy.client(b"".join(read(100 * n + i, 60_000) for i in range(20))) for n in range(4)]
    proxy.run_iterations(30)
    for node in proxy.nodes:
        accept_all(node)
    open_count = proxy.service.dispatcher.open_count
    assert open_count > len(proxy.nodes[0].accepted) + len(proxy.nodes[1].accepted)  # Some share one.
    started = []
    start = Pool.start
    monkeypatch.setattr(Pool, "start", lambda pool, attempt: (started.append(attempt), start(pool, attempt)))
    proxy.service.dispatcher.fail_all_open()
    assert proxy.service.dispatcher.open_count == 0
    assert started == []
    for conn in connections:
        proxy.receive_until(conn, b"\r\n", 20)
