"""Waits that end by themselves even if the other side does nothing, on real sockets."""

import socket

import pytest
from closing_states import (
    LARGE_VALUE,
    LONG_VALUE,
    SLOW_READ_BYTES,
    SMALL_BUFFER,
    NodeDriver,
    NotReadingMuch,
    read,
)
from rig import write

from cloverwell.connections.client_policy import (
    CLOSE_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    NOT_READING_TIMEOUT_MS,
    CloseClient,
)
from cloverwell.connections.close_reason import CloseReason
from cloverwell.serving import KILL_DELAY_MS, MAX_COUNTED_DEADLINE_MS

SLACK_MS = 300.0  # the interval between the policy's checks, and the steps of the test


def run_until(proxy, has_happened, by_ms):
    """Lets time pass until the event has happened; returns whether it happened in time."""
    while not has_happened() and proxy.now() < by_ms:
        proxy.advance_clock(20)
    return has_happened()


def connections(proxy):
    return proxy.service.client_connections.connections


def unreading_client(proxy, data):
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    conn.connect(proxy.address)
    conn.setblocking(False)
    proxy.client_sockets.append(conn)
    proxy.run_iterations()
    conn.sendall(data)
    proxy.run_iterations()
    return conn


def test_a_long_value_that_stalls_frees_its_connection_although_the_client_reads_nothing(rig):
    proxy = rig()
    unreading_client(proxy, read("long")[0])
    node = proxy.nodes[0].accept()
    name = proxy.receive_until(node, b"\r\n").split()[3][1:]
    node.sendall(b"VA %d O%s\r\n" % (len(LONG_VALUE), name))
    proxy.run_until(lambda: proxy.service.client_connections.stream_count)

    def are_buffers_full():
        try:
            node.send(LONG_VALUE[:100_000])
        except BlockingIOError:
            return True
        return False

    proxy.run_until(are_buffers_full)  # the client's, the proxy's, and the kernel's on both sides
    (connection,) = connections(proxy)
    acknowledged_bytes, taken_ms = -1, proxy.now()
    while connections(proxy):  # The kernel fills the last bytes of the client's buffer in several steps.
        if connection.delivery().acknowledged_bytes > acknowledged_bytes:
            acknowledged_bytes, taken_ms = connection.delivery().acknowledged_bytes, proxy.now()
        assert proxy.now() <= taken_ms + NOT_READING_TIMEOUT_MS + SLACK_MS
        proxy.advance_clock(20)
    assert not proxy.service.client_connections.stream_count
    assert acknowledged_bytes < 2 * SMALL_BUFFER
    assert ": not_reading, " in proxy.log.getvalue()  # It is the client that the value waits for.


def test_a_client_that_keeps_its_side_open_after_the_proxy_closed_is_disconnected(rig):
    proxy = rig()
    conn = proxy.client(b"mn\r\n")
    assert run_until(proxy, lambda: not connections(proxy), proxy.now() + IDLE_TIMEOUT_MS + 2000.0)
    assert proxy.receive_to_end(conn).startswith(b"MN\r\n")
    assert "idle, open for 11" in proxy.log.getvalue()
    assert CLOSE_TIMEOUT_MS == 1000.0


def test_a_client_that_reads_none_of_its_answers_is_disconnected(rig):
    proxy = rig()
    driver = NodeDriver(proxy)
    NotReadingMuch(proxy)
    all_answered_ms = proxy.now() + 3000.0
    while proxy.now() < all_answered_ms:
        proxy.advance_clock(20)
        driver.step()
    by_ms = proxy.now() + NOT_READING_TIMEOUT_MS + SLACK_MS
    assert run_until(proxy, lambda: not connections(proxy), by_ms)
    assert ": not_reading, " in proxy.log.getvalue()


def test_a_client_that_reads_slowly_is_not_disconnected(rig):
    proxy = rig()
    driver = NodeDriver(proxy)
    client = NotReadingMuch(proxy)
    by_ms = proxy.now() + 1.5 * NOT_READING_TIMEOUT_MS
    while proxy.now() < by_ms:
        proxy.advance_clock(20)
        driver.step()
        client.read_some(SLOW_READ_BYTES)
    assert connections(proxy)


def test_a_write_whose_client_has_disconnected_does_not_delay_the_end_of_a_process_that_stops(rig):
    proxy = rig()
    conn = proxy.client(write(1, 30_000))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k1 ")
    conn.close()
    proxy.run_until(lambda: not connections(proxy))
    assert proxy.service.dispatcher.open_count
    longest_ms = max(cls.deadline_ms for cls in proxy.service.facade.settings.classes)
    kill_ms = proxy.now() + min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    proxy.service.stop()
    assert run_until(proxy, lambda: proxy.reactor.stopped, kill_ms)


@pytest.mark.parametrize("reason", [CloseReason.MAKE_ROOM, CloseReason.SILENT])
def test_freeing_a_needed_descriptor_discards_no_answer_of_a_client_that_reads_slowly(rig, reason):
    # The fault: a client counted as idle once the kernel had its whole answer. If a descriptor was needed
    # 0.1 s later, the connection was reset, and the part of the answer that the client had not read was lost.
    # The test forces the choice that the policy makes while no descriptor is available.
    proxy = rig()
    slow = unreading_client(proxy, read("k")[0])
    node = proxy.nodes[0].accept()
    name = proxy.receive_until(node, b"\r\n").split()[3][1:]
    answer = b"VA %d O%s\r\n" % (len(LARGE_VALUE), name) + LARGE_VALUE + b"\r\n"
    node.sendall(answer)
    (connection,) = connections(proxy)
    proxy.run_until(lambda: not (connection.has_open_request or connection.has_unsent_responses))
    proxy.service.client_connections._closer.close([CloseClient(connection, reason, abort=True)], 1)
    proxy.run_until(lambda: not connections(proxy))  # The descriptor is free then.
    response = b""
    while len(response) < len(answer):
        response += proxy.run_until(lambda: receive_available(slow), "the rest of the answer did not come")
    assert response == answer
    assert proxy.receive_to_end(slow) == b"END"


def receive_available(conn):
    """Returns the bytes that have come; raises if the connection was reset."""
    try:
        return conn.recv(4096)
    except BlockingIOError:
        return b""
