"""Connections on real sockets that open or close while a response is still owed."""

import socket

import pytest
from rig import read, reset, write

from cloverwell.front.client_connection import MAX_PIPELINED_COMMANDS, ClientConnection
from lab.proxy_testbed import SETTINGS


def served(rig, conn, node, number, value=b"x"):
    """The client's read is answered by the node's connection."""
    rig.receive_until(node, f"mg k{number} ".encode())
    node.sendall(f"VA {len(value)} O{number}\r\n".encode() + value + b"\r\n")
    return rig.receive_until(conn, value + b"\r\n")


# Clients that disconnect --------------------------------------------------------------------------


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
def test_a_close_is_seen_while_its_connection_is_held_and_nothing_that_waits_is_sent(rig, leave):
    # With 64 pending commands the connection is not read, and so its close is not reported.
    proxy = rig(backlog=0)
    proxy.nodes[0].fill_accept_queue()
    conn = proxy.client(b"".join(read(number) for number in range(3 * MAX_PIPELINED_COMMANDS)))
    proxy.run_until(lambda: proxy.service.dispatcher.open_count == MAX_PIPELINED_COMMANDS)
    assert proxy.service.client_connections.paused_connections
    leave(conn)
    proxy.advance_clock(100)
    assert proxy.service.dispatcher.open_count == 0
    assert not proxy.service.client_connections.connections


@pytest.mark.parametrize("number", [1, 40, 3 * MAX_PIPELINED_COMMANDS])
def test_clients_that_send_much_at_once_and_leave_have_nothing_sent_later(rig, number):
    proxy = rig()
    conn = proxy.client(b"".join(write(one) for one in range(number)))
    conn.close()
    proxy.advance_clock(60)
    sent = 0
    while (node := proxy.origin.accept_nowait()) is not None:
        sent += node in proxy.origin.accepted
    proxy.advance_clock(300)
    assert proxy.service.dispatcher.open_count <= sent
    assert not proxy.service.client_connections.connections
    assert proxy.origin.accept_nowait() is None


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
def test_what_was_read_long_after_its_client_left_is_not_sent_on(rig, leave):
    # After a stall the close is behind the request, which would be read first and sent for nobody.
    proxy = rig()
    conn = proxy.client(b"mn\r\n")
    proxy.receive_until(conn, b"MN")
    conn.sendall(write(1) + read(2))
    leave(conn)
    proxy.stall(350.0)
    proxy.run_iterations()
    assert not proxy.service.dispatcher.open_count
    assert not proxy.service.client_connections.connections
    assert proxy.origin.accept_nowait() is None
    assert proxy.nodes[0].accept_nowait() is None


# The close of an idle connection ------------------------------------------------------------------


def test_a_request_that_comes_between_the_decision_to_close_and_the_close_is_never_sent_on(rig, monkeypatch):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(b"VA 1 O1\r\nx\r\n")
    proxy.run_until(lambda: not proxy.service.dispatcher.open_count)
    check = ClientConnection.has_unread_bytes

    def crossing(client_connection):
        there = check(client_connection)
        conn.sendall(read(2))  # after the check, before the close
        return there

    monkeypatch.setattr(ClientConnection, "has_unread_bytes", crossing)
    proxy.advance_clock(10_050)
    # The answer before is whole, its end an end and no reset, and the client sends the other one elsewhere.
    assert proxy.receive_to_end(conn) == b"VA 1 O1\r\nx\r\nEND"
    proxy.advance_clock(300)
    assert not proxy.service.dispatcher.open_count
    assert b"k2" not in proxy.receive_to_end(node)


def test_a_request_that_stands_unread_keeps_its_connection_open(rig):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    served(proxy, conn, node, 1)
    # It is in the socket's buffer at the policy's check, and has time left: a stall counts against it.
    conn.sendall(read(2, 30_000))
    proxy.stall(10_050.0)
    served(proxy, conn, proxy.nodes[0].accept(), 2)


# Planned ends -------------------------------------------------------------------------------------


def test_at_a_planned_end_all_that_was_taken_is_answered_while_a_third_of_the_nodes_hang(rig):
    proxy = rig(nodes=3)
    flights = [proxy.client(b"".join(read(10 * place + n, 900) for n in range(5))) for place in range(6)]
    half = proxy.client(write(99, value=b"hello")[:-4])
    idle = proxy.client(b"mn\r\n")
    proxy.receive_until(idle, b"MN")
    proxy.service.stop()
    late = proxy.client(read(70, 900))  # it connects after the signal

    def play():
        for place, node in enumerate([*proxy.nodes, proxy.origin]):
            node.accept_nowait()
            for conn in node.accepted * (place != 0):  # the first node hangs
                try:
                    data = conn.recv(1 << 16)
                except BlockingIOError:
                    continue
                for line in data.split(b"\r\n"):
                    words = line.split()
                    if words[:1] == [b"mg"]:
                        conn.sendall(b"VA 1 " + words[3] + b"\r\nx\r\n")
                    elif words[:1] == [b"GET"]:
                        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")

    rejection = b""
    until_ms = proxy.now() + 1150.0  # past the cut, and before all that is left is closed
    while proxy.now() < until_ms:
        play()
        proxy.advance_clock(5)
        if not rejection and proxy.now() > until_ms - 350.0:
            # The rest of a partial command would complete a request: it is rejected, not reset.
            half.sendall(write(99, value=b"hello")[-4:])
            rejection = proxy.receive_to_end(half)
    assert rejection == b"SERVER_ERROR busy\r\nEND"
    for conn in flights:
        answers = proxy.receive_to_end(conn)
        assert answers.count(b"VA 1 ") + answers.count(b"SERVER_ERROR") == 5
        assert answers.endswith(b"END")
    assert proxy.receive_to_end(idle) == b"END"
    assert proxy.receive_to_end(late).count(b"\r\n") in (1, 2)
    proxy.advance_clock(1500)
    assert proxy.reactor.stopped
    assert not proxy.service.dispatcher.open_count


def test_what_comes_on_an_old_connection_up_to_the_end_is_answered(rig):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    served(proxy, conn, node, 1)
    proxy.service.stop()
    for number in range(2, 8):
        conn.sendall(read(number))
        served(proxy, conn, node, number)
    conn.sendall(read(8))
    proxy.stall(900.0)  # idle connections are closed from now on, and this one has an unread request
    proxy.receive_until(node, b"mg k8 ")
    node.sendall(b"VA 1 O8\r\nx\r\n")
    assert proxy.receive_to_end(conn) == b"VA 1 O8\r\nx\r\nEND"


def test_all_that_wait_to_be_accepted_are_accepted_before_the_port_closes(rig):
    proxy = rig()
    waiting = [socket.create_connection(proxy.address) for _ in range(100)]
    proxy.client_sockets += waiting
    for conn in waiting:
        conn.setblocking(False)
        conn.sendall(b"mn\r\n")
    proxy.service._port.stopListening()
    for conn in waiting:
        assert proxy.receive_until(conn, b"\r\n") == b"MN\r\n"


# What nodes do to their connections ---------------------------------------------------------------


@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_an_idle_connection_that_ends_as_it_is_taken_up_costs_no_order(rig, end):
    proxy = rig()
    conn = proxy.client(write(1))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
    proxy.receive_until(conn, b"cr1")
    conn.sendall(write(2))
    end(node)  # both are there when the loop turns
    second = proxy.origin.accept()
    proxy.advance_clock(60)
    proxy.receive_until(second, b"PUT /k2 ")
    second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr2")
    proxy.receive_until(conn, b"cr2")


@pytest.mark.parametrize(
    "noise", [b"VA 1 O1\r\nx\r\n", b"VA 1", b"SERVER_ERROR busy\r\n", b"SERVER_ERROR failed\r\n"]
)
def test_a_second_or_half_answer_a_little_late_never_reaches_the_next_request(rig, noise):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    served(proxy, conn, node, 1)
    node.sendall(noise)  # it is there, and not read yet, when the next request is
    next(iter(proxy.service.client_connections.connections)).dataReceived(read(2))
    second = proxy.nodes[0].accept()
    served(proxy, conn, second, 2, b"two")
    assert proxy.receive_to_end(node).endswith((b"END", b"RESET"))


@pytest.mark.parametrize("body", [b"", b"half of th"])
@pytest.mark.parametrize("head", [b"Connection: close\r\n", b"Connection: close\r\nContent-Type: x\r\n"])
def test_an_answer_without_a_length_that_is_reset_is_never_served(rig, head, body):
    proxy = rig()
    conn = proxy.client(write(1, 900))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    node.sendall(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body)
    proxy.run_iterations()
    reset(node)
    assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR failed\r\n"


@pytest.mark.parametrize("cut", [8, 12])
def test_a_node_that_resets_in_the_middle_of_its_answer_has_it_asked_elsewhere(rig, cut):
    proxy = rig(nodes=2)
    conn = proxy.client(read(1))
    taken = proxy.run_until(lambda: [c for c in (node.accept_nowait() for node in proxy.nodes) if c])[0]
    proxy.receive_until(taken, b"mg k1 ")
    taken.sendall(b"VA 5 O1\r\nhello\r\n"[:cut])
    proxy.run_iterations()
    reset(taken)
    again = proxy.run_until(lambda: [c for c in (node.accept_nowait() for node in proxy.nodes) if c])[0]
    proxy.receive_until(again, b"mg k1 ")
    again.sendall(b"VA 5 O1\r\nworld\r\n")
    assert proxy.receive_until(conn, b"\r\n", 2) == b"VA 5 O1\r\nworld\r\n"


def put(conn, receipt):
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + receipt)


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("after_ms", [0, 600])
@pytest.mark.parametrize(("cls", "again"), [("order", False), ("adjust", True)])
def test_a_connection_that_ends_under_a_whole_request_may_have_run_it(rig, end, after_ms, cls, again):
    proxy = rig()
    # On a busy machine handshakes take long enough for one more to be opened ahead of need.
    proxy.service.node_policy.open_ahead_count = lambda node, opened, now: 0
    conn = proxy.client(write(1, cls=cls))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    proxy.advance_clock(after_ms)  # behind the last byte, and long after
    end(node)
    if again:
        second = proxy.origin.accept()
        proxy.receive_until(second, b"PUT /k1 ")
        put(second, b"r1")
        assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    else:
        assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR failed\r\n"
        proxy.advance_clock(300)
        assert proxy.origin.accept_nowait() is None


def test_a_connection_that_is_reset_in_the_middle_of_a_request_has_not_run_it(rig):
    proxy = rig()
    proxy.origin.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn = proxy.client(write(1))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    put(node, b"r1")
    proxy.receive_until(conn, b"cr1")
    proxy.advance_clock(20)
    (ours,) = proxy.service.pools.pool_of("origin").connections
    ours.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    conn.sendall(write(2, value=b"v" * 60_000))
    proxy.run_until(lambda: ours._writing, "the machine took it all")
    reset(node)
    second = proxy.origin.accept()  # an order: it goes again only if it can't have run
    assert proxy.receive_until(second, b"v" * 60_000).startswith(b"PUT /k2 ")
    put(second, b"r2")
    proxy.receive_until(conn, b"cr2")


# Connections that do not come up ------------------------------------------------------------------


def test_a_connection_that_never_comes_up_ends_its_attempt_in_time_and_gives_its_place_back(rig):
    proxy = rig(backlog=0)
    proxy.nodes[0].fill_accept_queue()
    held = dict(proxy.service.budget.held)
    conn = proxy.client(read(1, 900))
    proxy.run_until(lambda: proxy.service.pools.pool_of("s1").opening_count)
    proxy.run_until(lambda: not proxy.service.dispatcher.open_count, "the attempt went on")
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    conn.close()
    proxy.run_until(lambda: proxy.service.budget.held == held, "its descriptor was kept")
    assert not proxy.service.pools.pool_of("s1").opening_count
    assert not proxy.service.pools.pool_of("s1")._waiting.attempts


def test_a_connection_that_comes_up_late_is_the_next_requests_and_not_the_dead_ones(rig):
    limits = SETTINGS["limits"] | {"connect-timeout": 9000.0}  # the node's machine asks again after a second
    proxy = rig(backlog=0, settings=SETTINGS | {"limits": limits})
    held = proxy.nodes[0].fill_accept_queue()
    conn = proxy.client(read(1, 400))
    proxy.run_until(lambda: proxy.service.pools.pool_of("s1").opening_count)
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    assert not proxy.service.pools.pool_of("s1")._waiting.attempts
    for one in held:
        one.close()
    late = proxy.nodes[0].accept()
    conn.sendall(read(2, 4000))
    assert proxy.receive_until(late, b"mg k2 ").startswith(b"mg k2 ")
    late.sendall(b"VA 1 O2\r\nx\r\n")
    assert proxy.receive_until(conn, b"x\r\n") == b"VA 1 O2\r\nx\r\n"
