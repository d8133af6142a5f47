"""System calls on open connections that fail, are interrupted, or transfer only a part of the data.

A transient error must change nothing for a client. An error that ends a connection must not lose a request
that can still be sent, nor repeat one that may have run.
"""

import contextlib
import errno
import select
import signal
import socket
import sys
from types import SimpleNamespace

import pytest
from faulty_sockets import CallFaults, OutgoingSockets, cancel_watch, inject_accept_faults
from rig import Rig, read, write

from cloverwell.codec import socket_state
from cloverwell.codec.socket_state import closed_by_peer, is_readable, received_ago_ms
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.node_policy import ConnectionUse
from lab.proxy_testbed import SETTINGS

TRANSIENT = [errno.ENOMEM, errno.ENOBUFS, errno.EINTR]
CONNECTION_ERRORS = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET]
RECEIPT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1"


@pytest.fixture
def outgoing(monkeypatch):
    return OutgoingSockets(monkeypatch)


@pytest.fixture
def proxy(outgoing):
    """A proxy with a connect timeout that is longer than any request.

    With the usual 250 ms, a delay of the test machine would have a node marked as missed.
    """
    made = Rig(settings=SETTINGS | {"limits": SETTINGS["limits"] | {"connect-timeout": 9000.0}})
    # On a busy machine handshakes may be so slow that a further connection would be opened ahead.
    made.service.node_policy.open_ahead_count = lambda node, opened, now: 0
    yield made
    made.close()


def connection_with(proxy, node, begin, end):
    """Returns the connection on which the whole command from `begin` to `end` has arrived.

    If the load of the machine makes a last byte late, the command is written again to another connection,
    with less time.
    """
    received = {}

    def find():
        node.accept_nowait()
        for one in node.accepted:
            with contextlib.suppress(BlockingIOError, ConnectionResetError):
                received[one] = received.get(one, b"") + one.recv(1 << 16)
        return [one for one, data in received.items() if begin in data and data.endswith(end)]

    (found,) = proxy.run_until(find, f"{begin!r} did not come")
    assert received[found].count(begin) == 1
    return found


def exchange(proxy, conn, number, value=b"x" * 300):
    """Plays a read that a cache node answers and an order at the origin, on one connection of a client."""
    conn.sendall(read(number))
    node = connection_with(
        proxy, proxy.nodes[0], f"mg k{number} v O{number} Pc=page,t=acme,d=".encode(), b"\r\n"
    )
    node.sendall(f"VA {len(value)} O{number}\r\n".encode() + value + b"\r\n")
    assert (
        proxy.receive_until(conn, b"\r\n", 2) == f"VA {len(value)} O{number}\r\n".encode() + value + b"\r\n"
    )
    conn.sendall(write(number + 1, value=value))
    origin = connection_with(proxy, proxy.origin, f"PUT /k{number + 1} ".encode(), value)
    origin.sendall(RECEIPT)
    assert proxy.receive_until(conn, b"\r\n") == f"HD O{number + 1} cr1\r\n".encode()
    proxy.advance_clock(20)  # The origin's answer has no id, so its connection rests for a moment.


# Transient errors ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("calls", ["recv", "send"])
@pytest.mark.parametrize("number", TRANSIENT)
def test_a_transient_error_on_a_clients_connection_changes_nothing(proxy, number, calls):
    failing = CallFaults(number, number)
    inject_accept_faults(proxy.service._port, **{calls: failing})
    exchange(proxy, proxy.client(), 1)
    assert failing.failed == 2


@pytest.mark.parametrize("calls", ["recv", "send"])
@pytest.mark.parametrize("number", TRANSIENT)
def test_a_transient_error_on_a_nodes_connection_changes_nothing(proxy, outgoing, number, calls):
    at_node, at_origin = CallFaults(number, number), CallFaults(number, number)
    outgoing.plan_calls(proxy.nodes[0].address, **{calls: at_node})
    outgoing.plan_calls(proxy.origin.address, **{calls: at_origin})
    exchange(proxy, proxy.client(), 1)
    assert at_node.failed == at_origin.failed == 2
    if calls == "recv":
        assert len(proxy.nodes[0].accepted) == len(proxy.origin.accepted) == 1
        assert proxy.origin.accept_nowait() is None


@pytest.mark.parametrize("calls", ["recv", "send"])
@pytest.mark.parametrize("number", TRANSIENT)
def test_a_transient_error_on_the_connection_to_discovery_changes_nothing(proxy, outgoing, number, calls):
    failing = CallFaults(number)
    outgoing.plan_calls(proxy.discovery.address, **{calls: failing})
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    discovery = connection_with(proxy, proxy.discovery, b"GET /v1/servers", b"\r\n\r\n")
    body = b'{"revision":42,"complete":false,"members":[]}'
    discovery.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    proxy.receive_until(discovery, b"GET /v1/servers?after=42")
    assert failing.failed == 1
    assert "call failed" not in proxy.log.getvalue()


def test_a_clients_connection_is_not_closed_if_the_check_for_unread_data_fails(proxy):
    # A request may be unread in the connection, and would be lost by the close.
    peek = CallFaults()
    inject_accept_faults(proxy.service._port, peek=peek)
    conn = proxy.client()
    exchange(proxy, conn, 1)
    peek.faults = [errno.ENOMEM]
    conn.sendall(read(5, 30_000))
    (connection,) = proxy.service.client_connections.connections
    # The sweep calls this for an overdue connection.
    assert not connection.close_overdue(CloseReason.PARTIAL_COMMAND)
    assert peek.failed == 1
    (node,) = proxy.nodes[0].accepted
    proxy.receive_until(node, b"mg k5 ")
    node.sendall(b"VA 1 O5\r\ny\r\n")
    assert proxy.receive_until(conn, b"y\r\n") == b"VA 1 O5\r\ny\r\n"


@pytest.mark.parametrize("number", TRANSIENT)
def test_a_nodes_connection_is_not_used_if_the_check_for_unread_data_fails(proxy, outgoing, number):
    peek = CallFaults()
    outgoing.plan_calls(proxy.nodes[0].address, peek=peek)
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(b"VA 1 O1\r\nx\r\n")
    proxy.receive_until(conn, b"x\r\n")
    node.sendall(b"VA 1 O1\r\nx\r\n")  # a duplicate, which the failed check would have found
    peek.faults = [number]
    next(iter(proxy.service.client_connections.connections)).dataReceived(read(2))
    second = proxy.nodes[0].accept()
    proxy.receive_until(second, b"mg k2 ")
    second.sendall(b"VA 3 O2\r\ntwo\r\n")
    assert proxy.receive_until(conn, b"two\r\n") == b"VA 3 O2\r\ntwo\r\n"
    assert peek.failed == 1


# Short reads and writes ----------------------------------------------------------------------------


# With one byte sent in each turn of the event loop, a command would be later than its propagated deadline.
@pytest.mark.parametrize(("calls", "most"), [("recv", 1), ("recv", 7), ("send", 16), ("send", 50)])
def test_short_reads_and_writes_change_nothing(proxy, outgoing, calls, most):
    inject_accept_faults(proxy.service._port, **{calls: CallFaults(most=most)})
    for node in (proxy.nodes[0], proxy.origin):
        outgoing.plan_calls(node.address, **{calls: CallFaults(most=most)})
    conn = proxy.client()
    exchange(proxy, conn, 1)
    exchange(proxy, conn, 3)


# Signals --------------------------------------------------------------------------


class InterruptedPoller:
    """An epoll object of which every second wait is interrupted by a signal."""

    def __init__(self, poller):
        self._poller, self.wait_count = poller, 0

    def poll(self, *arguments):
        self.wait_count += 1
        if self.wait_count % 2:
            raise InterruptedError(errno.EINTR, "a signal came")
        return self._poller.poll(*arguments)

    def __getattr__(self, name):
        return getattr(self._poller, name)


def test_interrupted_waits_change_nothing(proxy):
    proxy.reactor._poller = InterruptedPoller(proxy.reactor._poller)
    exchange(proxy, proxy.client(), 1)
    assert proxy.reactor._poller.wait_count > 2


def test_frequent_signals_change_nothing(proxy):
    signal_count = 0

    def count(*_):
        nonlocal signal_count
        signal_count += 1

    before = signal.signal(signal.SIGALRM, count)
    signal.setitimer(signal.ITIMER_REAL, 0.0005, 0.0005)
    try:
        conn, number = proxy.client(), 1
        while signal_count < 100:
            exchange(proxy, conn, number)
            number += 2
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, before)


@pytest.fixture
def failing_polls(monkeypatch):
    """Returns a function that makes the next polls fail because the kernel is short of memory."""

    def fail(times):
        calls = CallFaults(*[errno.ENOMEM] * times)

        class Poll:
            def __init__(self):
                self._poll = select.poll()
                self.register = self._poll.register

            def poll(self, wait):
                calls.check()
                return self._poll.poll(wait)

        fake = SimpleNamespace(poll=Poll, POLLRDHUP=select.POLLRDHUP, POLLIN=select.POLLIN)
        monkeypatch.setattr(socket_state, "select", fake)

    return fail


@pytest.mark.parametrize(("fails", "seen"), [(1, True), (2, True), (3, False)])
def test_a_failed_poll_for_disconnected_clients_is_repeated(fails, seen, failing_polls):
    failing_polls(fails)
    ours, theirs = socket.socketpair()
    with ours:
        theirs.close()
        assert closed_by_peer([ours]) == ({ours.fileno()} if seen else set())


@pytest.mark.parametrize(("fails", "seen"), [(0, False), (2, False), (3, True)])
def test_a_failed_poll_for_readable_sockets_is_repeated_and_then_counts_as_readable(
    fails, seen, failing_polls
):
    failing_polls(fails)
    ours, theirs = socket.socketpair()
    with ours, theirs:
        assert is_readable(ours) is seen


# Errors that end a connection ----------------------------------------------------------------------------


@pytest.mark.parametrize("number", CONNECTION_ERRORS)
@pytest.mark.parametrize(("cls", "is_retried"), [("order", False), ("adjust", True)])
def test_a_request_may_have_run_if_its_connection_breaks_after_the_last_byte(
    proxy, outgoing, number, cls, is_retried
):
    broken = CallFaults(number)
    outgoing.plan_calls(proxy.origin.address, recv=broken)
    conn = proxy.client(write(1, cls=cls))
    origin = proxy.origin.accept()
    proxy.receive_until(origin, b"PUT /k1 ")
    origin.sendall(RECEIPT)  # The receipt arrives, but the read fails.
    if is_retried:
        second = proxy.origin.accept()
        proxy.receive_until(second, b"PUT /k1 ")
        second.sendall(RECEIPT)
        assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    else:
        assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR failed\r\n"
        proxy.advance_clock(300)
        assert proxy.origin.accept_nowait() is None
    assert broken.failed == 1


@pytest.mark.parametrize("number", CONNECTION_ERRORS)
def test_a_request_has_not_run_if_its_connection_breaks_before_the_last_byte(proxy, outgoing, number):
    proxy.service.node_policy.choose_use = lambda node, age_ms, unsafe: ConnectionUse.HOLD_LAST_BYTE
    proxy.service.node_policy.hold_back_ms = lambda node: 1500.0
    broken = CallFaults(number)
    outgoing.plan_calls(proxy.origin.address, recv=broken)
    conn = proxy.client(write(1, value=b"ab"))
    origin = proxy.origin.accept()
    assert proxy.receive_until(origin, b"\r\n\r\na").endswith(b"\r\n\r\na")
    proxy.service.node_policy.hold_back_ms = lambda node: 5.0
    origin.sendall(b"x")
    second = connection_with(proxy, proxy.origin, b"PUT /k1 ", b"\r\n\r\nab")
    assert second is not origin
    second.sendall(RECEIPT)
    assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    assert broken.failed == 1


@pytest.mark.parametrize("number", [*CONNECTION_ERRORS, errno.EPIPE])
def test_a_command_goes_to_another_connection_if_no_byte_of_it_could_be_sent(proxy, outgoing, number):
    broken = CallFaults(number)
    outgoing.plan_calls(proxy.origin.address, send=broken)
    conn = proxy.client(write(1))
    connection_with(proxy, proxy.origin, b"PUT /k1 ", b"a").sendall(RECEIPT)
    assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    assert broken.failed == 1
    assert " ejected" not in proxy.log.getvalue()


@pytest.mark.parametrize("number", CONNECTION_ERRORS)
@pytest.mark.parametrize("head", [b"Connection: close\r\n", b"Content-Length: 9\r\n"])
def test_an_answer_is_incomplete_if_its_connection_breaks(proxy, outgoing, number, head):
    outgoing.plan_calls(proxy.origin.address, recv=CallFaults(None, number))
    conn = proxy.client(write(1, 900))
    origin = proxy.origin.accept()
    proxy.receive_until(origin, b"PUT /k1 ")
    origin.sendall(b"HTTP/1.1 200 OK\r\n" + head + b"\r\nreceipt")
    proxy.run_iterations()
    origin.close()  # This close would complete the answer, but the read fails.
    assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR failed\r\n"


@pytest.mark.parametrize("answer", [b"VA 5 O1\r\nhello", b"VA 5 O1\r\n", b"EN", b"VA 5 O1\r\nhello\r"])
def test_the_close_of_a_connection_does_not_complete_a_cache_nodes_answer(proxy, answer):
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(answer)
    proxy.run_iterations()
    node.close()
    second = proxy.run_until(lambda: proxy.nodes[0].accept_nowait() or proxy.origin.accept_nowait())
    if b"GET" in proxy.receive_until(second, b"\r\n"):
        second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nworld")
    else:
        second.sendall(b"VA 5 O1\r\nworld\r\n")
    assert proxy.receive_until(conn, b"\r\n", 2) == b"VA 5 O1\r\nworld\r\n"


@pytest.mark.parametrize("number", CONNECTION_ERRORS)
def test_a_broken_connection_of_a_client_counts_as_disconnected(proxy, outgoing, number):
    inject_accept_faults(proxy.service._port, recv=CallFaults(None, number))
    failing = outgoing.fail_socket(proxy.origin.address, always=errno.ENFILE)
    conn = proxy.client(write(1, 1900))
    proxy.run_until(lambda: proxy.service.dispatcher.open_count == 1)
    conn.sendall(b"m")
    proxy.run_until(lambda: not proxy.service.dispatcher.open_count)
    failing.always = None
    proxy.advance_clock(300)
    assert proxy.origin.accept_nowait() is None
    assert not proxy.service.client_connections.connections


class SocketWithInfo:
    """A socket whose TCP_INFO is these bytes, or fails with this error."""

    def __init__(self, info):
        self.info = info

    def getsockopt(self, level, option, size):
        if isinstance(self.info, OSError):
            raise self.info
        return self.info[:size]


@pytest.mark.parametrize("info", [OSError(errno.ENOPROTOOPT, ""), OSError(errno.EINVAL, ""), b"", b"x" * 54])
def test_received_bytes_count_as_new_if_the_kernel_can_not_tell_their_age(info):
    assert received_ago_ms(SocketWithInfo(info)) == 0.0


def test_the_age_of_the_last_received_bytes_is_read():
    assert (
        received_ago_ms(SocketWithInfo(bytes(52) + (1234).to_bytes(4, sys.byteorder) + bytes(40))) == 1234.0
    )
    left, right = socket.socketpair()
    with left, right:  # no TCP connection
        assert received_ago_ms(left) == 0.0
