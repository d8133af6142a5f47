"""Connections on real sockets that open or close while a response is pending.

No request may be lost, sent for a client that has disconnected, or answered with another request's answer.
"""

import socket

import pytest
from rig import read, reset, write

from cloverwell.front.client_connection import MAX_PIPELINED_COMMANDS, ClientConnection
from lab.proxy_testbed import SETTINGS


def served(rig, conn, node, number, value=b"x"):
    """Answers the client's read on the node's connection, and returns what the client received."""
    rig.receive_until(node, f"mg k{number} ".encode())
    node.sendall(f"VA {len(value)} O{number}\r\n".encode() + value + b"\r\n")
    return rig.receive_until(conn, value + b"\r\n")


# Clients that disconnect --------------------------------------------------------------------------


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
def test_a_disconnect_is_detected_while_reading_is_paused_and_no_queued_request_is_sent(rig, leave):
    # With 64 pending commands reading is paused, so the reactor does not report the client's close.
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
def test_no_request_is_sent_later_for_a_client_that_sent_many_and_disconnected(rig, number):
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
def test_a_request_read_long_after_its_client_disconnected_is_not_sent(rig, leave):
    # After a stall the request and the close behind it are both unread. The request is read first, and
    # without a check for the close it would be sent although nobody waits for it.
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


def test_a_request_that_comes_between_the_idle_check_and_the_close_is_never_sent(rig, monkeypatch):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(b"VA 1 O1\r\nx\r\n")
    proxy.run_until(lambda: not proxy.service.dispatcher.open_count)
    check = ClientConnection.has_unread_bytes

    def send_after_check(client_connection):
        has_unread = check(client_connection)
        conn.sendall(read(2))  # It comes after the check and before the close.
        return has_unread

    monkeypatch.setattr(ClientConnection, "has_unread_bytes", send_after_check)
    proxy.advance_clock(10_050)
    # The first response is complete, and the connection ends in order rather than by a reset. The client can
    # then send its second request elsewhere.
    assert proxy.receive_to_end(conn) == b"VA 1 O1\r\nx\r\nEND"
    proxy.advance_clock(300)
    assert not proxy.service.dispatcher.open_count
    assert b"k2" not in proxy.receive_to_end(node)


def test_an_unread_request_keeps_its_connection_open(rig):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    served(proxy, conn, node, 1)
    # After the stall the connection is past its idle timeout, but the request is still unread in the socket's
    # buffer. Its own timeout is longer than the stall, so it must be answered.
    conn.sendall(read(2, 30_000))
    proxy.stall(10_050.0)
    served(proxy, conn, proxy.nodes[0].accept(), 2)


# Shutdowns ----------------------------------------------------------------------------------------


def test_a_shutdown_answers_all_accepted_requests_while_a_third_of_the_nodes_hang(rig):
    proxy = rig(nodes=3)
    pipelining_clients = [
        proxy.client(b"".join(read(10 * place + n, 900) for n in range(5))) for place in range(6)
    ]
    half = proxy.client(write(99, value=b"hello")[:-4])
    idle = proxy.client(b"mn\r\n")
    proxy.receive_until(idle, b"MN")
    proxy.service.stop()
    late = proxy.client(read(70, 900))  # It connects after the shutdown has begun.

    def answer_reads():
        for place, node in enumerate([*proxy.nodes, proxy.origin]):
            node.accept_nowait()
            for conn in node.accepted * (place != 0):  # The first node never answers.
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
    # At this time partial commands have been rejected, and the last connections are not closed yet.
    until_ms = proxy.now() + 1150.0
    while proxy.now() < until_ms:
        answer_reads()
        proxy.advance_clock(5)
        if not rejection and proxy.now() > until_ms - 350.0:
            # The rest of a partial command completes a request, which must be rejected and not reset.
            half.sendall(write(99, value=b"hello")[-4:])
            rejection = proxy.receive_to_end(half)
    assert rejection == b"SERVER_ERROR busy\r\nEND"
    for conn in pipelining_clients:
        answers = proxy.receive_to_end(conn)
        assert answers.count(b"VA 1 ") + answers.count(b"SERVER_ERROR") == 5
        assert answers.endswith(b"END")
    assert proxy.receive_to_end(idle) == b"END"
    assert proxy.receive_to_end(late).count(b"\r\n") in (1, 2)
    proxy.advance_clock(1500)
    assert proxy.reactor.stopped
    assert not proxy.service.dispatcher.open_count


def test_requests_on_an_open_connection_are_answered_until_it_is_closed_by_a_shutdown(rig):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    served(proxy, conn, node, 1)
    proxy.service.stop()
    for number in range(2, 8):
        conn.sendall(read(number))
        served(proxy, conn, node, number)
    conn.sendall(read(8))
    proxy.stall(900.0)  # Idle connections are closed from now on, but this one has an unread request.
    proxy.receive_until(node, b"mg k8 ")
    node.sendall(b"VA 1 O8\r\nx\r\n")
    assert proxy.receive_to_end(conn) == b"VA 1 O8\r\nx\r\nEND"


def test_all_connections_in_the_accept_queue_are_accepted_before_the_port_closes(rig):
    proxy = rig()
    waiting = [socket.create_connection(proxy.address) for _ in range(100)]
    proxy.client_sockets += waiting
    for conn in waiting:
        conn.setblocking(False)
        conn.sendall(b"mn\r\n")
    proxy.service._port.stopListening()
    for conn in waiting:
        assert proxy.receive_until(conn, b"\r\n") == b"MN\r\n"


# Connections that nodes close ---------------------------------------------------------------------


@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_a_write_is_not_lost_if_the_node_closes_the_idle_connection_it_would_use(rig, end):
    proxy = rig()
    conn = proxy.client(write(1))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
    proxy.receive_until(conn, b"cr1")
    conn.sendall(write(2))
    end(node)  # The request and the close are both unread in the next iteration.
    second = proxy.origin.accept()
    proxy.advance_clock(60)
    proxy.receive_until(second, b"PUT /k2 ")
    second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr2")
    proxy.receive_until(conn, b"cr2")


@pytest.mark.parametrize(
    "extra_answer", [b"VA 1 O1\r\nx\r\n", b"VA 1", b"SERVER_ERROR busy\r\n", b"SERVER_ERROR failed\r\n"]
)
def test_a_late_extra_or_partial_answer_never_reaches_the_next_request(rig, extra_answer):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    served(proxy, conn, node, 1)
    node.sendall(extra_answer)  # It is still unread when the next request comes.
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
def test_a_read_whose_answer_is_cut_by_a_reset_is_retried(rig, cut):
    proxy = rig(nodes=2)
    conn = proxy.client(read(1))
    first = proxy.run_until(lambda: [c for c in (node.accept_nowait() for node in proxy.nodes) if c])[0]
    proxy.receive_until(first, b"mg k1 ")
    first.sendall(b"VA 5 O1\r\nhello\r\n"[:cut])
    proxy.run_iterations()
    reset(first)
    second = proxy.run_until(lambda: [c for c in (node.accept_nowait() for node in proxy.nodes) if c])[0]
    proxy.receive_until(second, b"mg k1 ")
    second.sendall(b"VA 5 O1\r\nworld\r\n")
    assert proxy.receive_until(conn, b"\r\n", 2) == b"VA 5 O1\r\nworld\r\n"


def answer_write(conn, receipt):
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + receipt)


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("after_ms", [0, 600])
@pytest.mark.parametrize(("cls", "again"), [("order", False), ("adjust", True)])
def test_a_request_that_was_sent_whole_may_have_run_when_its_connection_ends(rig, end, after_ms, cls, again):
    proxy = rig()
    # No spare connection is opened here. On a busy machine handshakes take long enough to cause one.
    proxy.service.node_policy.open_ahead_count = lambda node, opened, now: 0
    conn = proxy.client(write(1, cls=cls))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    proxy.advance_clock(after_ms)  # The connection ends right after the last byte, or long after it.
    end(node)
    if again:
        second = proxy.origin.accept()
        proxy.receive_until(second, b"PUT /k1 ")
        answer_write(second, b"r1")
        assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    else:
        assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR failed\r\n"
        proxy.advance_clock(300)
        assert proxy.origin.accept_nowait() is None


def test_a_request_that_was_sent_in_part_has_not_run_when_its_connection_is_reset(rig):
    proxy = rig()
    proxy.origin.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn = proxy.client(write(1))
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    answer_write(node, b"r1")
    proxy.receive_until(conn, b"cr1")
    proxy.advance_clock(20)
    (connection,) = proxy.service.pools.pool_of("origin").connections
    connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    conn.sendall(write(2, value=b"v" * 60_000))
    proxy.run_until(lambda: connection._writing, "the kernel took all of the request")
    reset(node)
    second = proxy.origin.accept()  # A write of the class order is retried only if it can't have run.
    assert proxy.receive_until(second, b"v" * 60_000).startswith(b"PUT /k2 ")
    answer_write(second, b"r2")
    proxy.receive_until(conn, b"cr2")


# Connections that are not established -------------------------------------------------------------


def test_an_attempt_whose_connection_is_never_established_ends_in_time_and_frees_its_descriptor(rig):
    proxy = rig(backlog=0)
    proxy.nodes[0].fill_accept_queue()
    held = dict(proxy.service.budget.held)
    conn = proxy.client(read(1, 900))
    proxy.run_until(lambda: proxy.service.pools.pool_of("s1").opening_count)
    proxy.run_until(lambda: not proxy.service.dispatcher.open_count, "the attempt did not end")
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    conn.close()
    proxy.run_until(lambda: proxy.service.budget.held == held, "its descriptor was not released")
    assert not proxy.service.pools.pool_of("s1").opening_count
    assert not proxy.service.pools.pool_of("s1")._waiting.attempts


def test_a_connection_that_is_established_late_serves_the_next_request_and_not_the_expired_one(rig):
    limits = SETTINGS["limits"] | {"connect-timeout": 9000.0}  # The kernel repeats a lost SYN after 1 s.
    proxy = rig(backlog=0, settings=SETTINGS | {"limits": limits})
    queue_fillers = proxy.nodes[0].fill_accept_queue()
    conn = proxy.client(read(1, 400))
    proxy.run_until(lambda: proxy.service.pools.pool_of("s1").opening_count)
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    assert not proxy.service.pools.pool_of("s1")._waiting.attempts
    for one in queue_fillers:
        one.close()
    late = proxy.nodes[0].accept()
    conn.sendall(read(2, 4000))
    assert proxy.receive_until(late, b"mg k2 ").startswith(b"mg k2 ")
    late.sendall(b"VA 1 O2\r\nx\r\n")
    assert proxy.receive_until(conn, b"x\r\n") == b"VA 1 O2\r\nx\r\n"
