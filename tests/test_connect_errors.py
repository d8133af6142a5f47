"""Connections that fail to open, by a fault of this machine or by one of the server.

A fault of this machine must not count against the server, and its request is tried again while it has time.
"""

import contextlib
import errno
import os
from dataclasses import replace

import pytest
from faulty_sockets import CallFaults, OutgoingSockets, cancel_watch
from rig import read, write
from scenario import Player
from twisted.internet.error import ConnectError, TimeoutError, getConnectError
from twisted.python.failure import Failure

from cloverwell.connections.budget import DescriptorSide
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.connections.unsent_retry import MARGIN_TICKS, RETRY_DELAY_MS, UnsentRequest, retry_at_ms
from lab.proxy_testbed import SETTINGS

SOCKET_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
CONNECT_ERRORS = [
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENOBUFS,
    errno.ENOMEM,
]
CONNECT_ERRORS += [errno.ENETUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM]
LOCAL_FAULTS = [("socket", number) for number in SOCKET_ERRORS] + [
    ("connect", number) for number in CONNECT_ERRORS
]
LOCAL_FAULTS += [("error", errno.ENETUNREACH), ("error", errno.EADDRNOTAVAIL)]
SERVER_ERRORS = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNRESET]


@pytest.fixture
def outgoing(monkeypatch):
    return OutgoingSockets(monkeypatch)


def fail(outgoing, address, stage, *faults, always=None):
    """Makes a step of connecting to the address fail, with these faults in order or with one each time.

    The step is the making of the socket, the connect call, or the result of a connect in progress.
    """
    if stage == "socket":
        return outgoing.fail_socket(address, *faults, always=always)
    calls = CallFaults(*faults, always=always)
    if stage == "error":
        # SO_ERROR is read twice for each connection; the second time it is the result.
        calls.faults = [number for fault in calls.faults for number in (None, fault)]
    outgoing.plan_calls(address, **{stage: calls})
    return calls


def total(proxy, event):
    """Returns how often the event was counted, for all nodes."""
    return proxy.service.metrics.total(event)


def connection_with(proxy, node, wanted):
    """Returns the first connection on which the wanted bytes arrive, and checks that they arrive only once.

    A connection that fails after its handshake carries no bytes.
    """
    received = {}

    def find():
        while node.accept_nowait() is not None:
            pass
        for conn in node.accepted:
            try:
                received[conn] = received.get(conn, b"") + conn.recv(1 << 16)
            except (BlockingIOError, ConnectionResetError):
                continue
        found = [conn for conn, data in received.items() if wanted in data]
        assert sum(data.count(wanted) for data in received.values()) <= 1
        return found[0] if found else None

    return proxy.run_until(find, f"{wanted!r} did not come")


def read_now(proxy, conn):
    """Returns the bytes that can be read from the connection at once."""
    with contextlib.suppress(BlockingIOError):
        return conn.recv(1 << 16)
    return b""


@pytest.mark.parametrize(("stage", "number"), LOCAL_FAULTS)
def test_a_read_is_sent_soon_after_a_local_fault_which_does_not_count_against_its_node(
    rig, outgoing, stage, number
):
    proxy = rig()
    failing = fail(outgoing, proxy.nodes[0].address, stage, number)
    conn = proxy.client(read(1))
    node = connection_with(proxy, proxy.nodes[0], b"mg k1 ")
    node.sendall(b"VA 1 O1\r\nx\r\n")
    assert proxy.receive_until(conn, b"x\r\n") == b"VA 1 O1\r\nx\r\n"
    assert failing.failed == 1
    assert " ejected" not in proxy.log.getvalue()
    assert total(proxy, ConnectionEvent.CONNECT_REFUSED) == 0
    pool = proxy.service.pools.pool_of("s1")
    assert pool.opening_count == 0
    assert proxy.service.budget.held[DescriptorSide.NODES] == len(pool.connections)
    assert proxy.origin.accept_nowait() is None


@pytest.mark.parametrize(("stage", "number"), LOCAL_FAULTS)
def test_an_order_is_sent_once_after_a_local_fault(rig, outgoing, stage, number):
    proxy = rig()
    fail(outgoing, proxy.origin.address, stage, number)
    conn = proxy.client(write(1))
    node = connection_with(proxy, proxy.origin, b"PUT /k1 ")
    node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
    assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    proxy.advance_clock(300)
    assert proxy.origin.accept_nowait() is None


@pytest.mark.parametrize("make", [read, write])
@pytest.mark.parametrize(("stage", "number"), [("socket", errno.ENFILE), ("connect", errno.EADDRNOTAVAIL)])
def test_a_lasting_shortage_does_not_end_a_request_that_has_time_left(rig, outgoing, make, stage, number):
    proxy = rig()
    origin, cache = proxy.origin.address, proxy.nodes[0].address
    failing = [fail(outgoing, address, stage, always=number) for address in (origin, cache)]
    started_ms = proxy.now()
    conn = proxy.client(make(1, 1990))
    proxy.advance_clock(400)
    assert read_now(proxy, conn) == b""
    assert proxy.service.dispatcher.open_count == 1
    # Each server is tried once in 20 ms at most; a loop without a pause would try thousands of times.
    tries = sum(calls.failed for calls in failing)
    assert 5 <= tries <= 2 * (proxy.now() - started_ms) / 20 + 3
    for calls in failing:
        calls.always = None
    if make is read:
        node = proxy.run_until(lambda: proxy.nodes[0].accept_nowait() or proxy.origin.accept_nowait())
    else:
        node = proxy.origin.accept()
    wanted = proxy.receive_until(node, b"\r\n")
    assert b"k1 " in wanted
    node.sendall(
        b"VA 1 O1\r\nx\r\n" if wanted.startswith(b"mg") else b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
    )
    assert proxy.receive_until(conn, b"\r\n").startswith(b"VA 1 O1" if make is read else b"HD O1 cx")
    assert " ejected" not in proxy.log.getvalue()


@pytest.mark.parametrize("make", [read, write])
def test_a_request_is_refused_once_and_in_time_if_the_shortage_lasts_longer(rig, outgoing, make):
    proxy = rig()
    for address in (proxy.origin.address, proxy.nodes[0].address):
        fail(outgoing, address, "socket", always=errno.ENFILE)
    conn = proxy.client(make(1, 400))
    proxy.advance_clock(399)
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    proxy.advance_clock(500)
    assert read_now(proxy, conn) == b""
    assert not proxy.service.dispatcher.open_count
    assert not proxy.service.budget.held[DescriptorSide.NODES]


def fail_all_connects(player):
    """Makes each connection to a node that is being opened fail by a fault of this machine."""
    asked = player.reactor.tcpClients[player.requested_count :]
    player.requested_count += len(asked)
    for _, port, factory, *_ in asked:
        if port != player.ports["discovery"]:
            factory.clientConnectionFailed(None, Failure(ConnectError(osError=errno.ENFILE)))


@pytest.mark.parametrize("make", [read, write])
def test_a_request_that_can_not_be_sent_is_refused_whenever_its_last_try_falls(make):
    # The deadline timer of a request is rounded down to a tick, and the time of the next try up. If the timer
    # fired first, the request would end as failed instead of refused.
    for wait_ms in range(400, 470):
        player = Player()
        player.reactor.advance(0.0002)  # Each tick is a little late from now on, as on a real machine.
        protocol, transport = player.connection("client", 0)
        protocol.dataReceived(make(1, wait_ms))
        for _ in range(wait_ms):
            fail_all_connects(player)
            player.reactor.advance(0.001)
        assert transport.value().startswith(b"SERVER_ERROR busy"), wait_ms


@pytest.mark.parametrize("make", [read, write])
def test_a_request_that_could_not_be_sent_is_dropped_when_its_client_disconnects(rig, outgoing, make):
    proxy = rig()
    addresses = (proxy.origin.address, proxy.nodes[0].address)
    failing = [fail(outgoing, address, "socket", always=errno.ENFILE) for address in addresses]
    conn = proxy.client(make(1, 1900))
    proxy.advance_clock(200)
    conn.close()
    proxy.advance_clock(50)
    assert not proxy.service.dispatcher.open_count
    for calls in failing:
        calls.always = None
    proxy.advance_clock(300)
    assert proxy.origin.accept_nowait() is None
    assert proxy.nodes[0].accept_nowait() is None


def test_all_requests_are_served_if_only_one_connection_could_be_opened_at_first(rig, outgoing):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    failing = fail(outgoing, proxy.nodes[0].address, "socket", always=errno.ENFILE)
    others = proxy.client(b"".join(read(number) for number in range(2, 12)))
    proxy.advance_clock(30)
    # However many attempts wait, only one connection is tried at a time.
    assert 1 <= failing.failed <= 10 + 3
    failing.always = None
    node.sendall(b"VA 1 O1\r\nx\r\n")
    proxy.receive_until(conn, b"x\r\n")
    served, answers = set(), b""

    def answer_reads():
        nonlocal answers
        while proxy.nodes[0].accept_nowait() is not None:
            pass
        for one in proxy.nodes[0].accepted:
            try:
                data = one.recv(1 << 16)
            except BlockingIOError:
                continue
            for line in data.split(b"\r\n")[:-1]:
                assert line not in served
                served.add(line)
                one.sendall(b"VA 1 " + line.split()[3] + b"\r\ny\r\n")
        answers += read_now(proxy, others)
        return answers.count(b"\r\ny\r\n") == 10

    proxy.run_until(answer_reads, "not all were served")
    assert " ejected" not in proxy.log.getvalue()


@pytest.mark.parametrize("number", SERVER_ERRORS)
@pytest.mark.parametrize("stage", ["connect", "error"])
def test_a_failure_to_reach_a_node_counts_against_it(rig, outgoing, stage, number):
    proxy = rig()
    fail(outgoing, proxy.nodes[0].address, stage, number)
    proxy.client(read(1))
    proxy.run_until(lambda: "s1 ejected" in proxy.log.getvalue())
    assert total(proxy, ConnectionEvent.CONNECT_REFUSED) == 1


# Discovery -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(("stage", "number"), LOCAL_FAULTS)
def test_discovery_is_polled_soon_after_a_local_fault(rig, outgoing, stage, number):
    proxy = rig(settings=SETTINGS | {"membership-mode": "on_request"})
    failing = fail(outgoing, proxy.discovery.address, stage, number, *[number] * 3 * (stage != "error"))
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    connection_with(proxy, proxy.discovery, b"GET /v1/servers")
    assert failing.failed >= 1
    assert "call failed" not in proxy.log.getvalue()
    assert not proxy.service.endpoint_discovery._backoff.is_failing


def test_a_poll_of_discovery_that_can_not_be_sent_in_time_has_failed(rig, outgoing):
    proxy = rig()
    failing = fail(outgoing, proxy.discovery.address, "socket", always=errno.ENFILE)
    proxy.service.endpoint_discovery._revision = None  # a poll that is answered at once
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    started_ms = proxy.now()
    proxy.advance_clock(1950)
    assert "call failed: no answer in time" in proxy.log.getvalue()
    assert 20 <= failing.failed <= (proxy.now() - started_ms) / 50 + 3
    failing.always = None
    # The pause between polls counts from the beginning of the failed one, so little of it is left.
    connection_with(proxy, proxy.discovery, b"GET /v1/servers")


@pytest.mark.parametrize("number", SERVER_ERRORS)
def test_a_poll_fails_if_discovery_can_not_be_reached(rig, outgoing, number):
    proxy = rig()
    fail(outgoing, proxy.discovery.address, "connect", number)
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    proxy.run_until(lambda: "call failed: not connected" in proxy.log.getvalue())


# The classification by itself ---------------------------------------------------------------------------


@pytest.mark.parametrize("number", sorted({number for _, number in LOCAL_FAULTS}))
def test_errors_of_this_machine_are_classified_as_local_faults(number):
    from cloverwell.system_calls import connect_fault

    assert connect_fault(getConnectError((number, os.strerror(number)))) is not None
    assert connect_fault(OSError(number, os.strerror(number))) is not None


def test_a_failure_without_an_error_number_is_local_but_a_timeout_is_not():
    from cloverwell.system_calls import connect_fault

    assert connect_fault(ConnectError(string="closed")) is not None
    assert connect_fault(TimeoutError()) is None
    assert all(connect_fault(getConnectError((number, ""))) is None for number in SERVER_ERRORS)


UNSENT_REQUEST = UnsentRequest(
    is_over=False,
    has_attempt_in_flight=False,
    may_have_run=False,
    is_rejected_or_failed=True,
    is_ordered=False,
    answer_by_ms=1000.0,
)
TICK_MS = 5.0


def test_an_unsent_request_is_decided_again_while_there_is_time():
    latest_ms = 1000.0 - MARGIN_TICKS * TICK_MS - RETRY_DELAY_MS
    assert retry_at_ms(UNSENT_REQUEST, latest_ms - 0.1, TICK_MS) == latest_ms - 0.1 + RETRY_DELAY_MS
    assert retry_at_ms(UNSENT_REQUEST, latest_ms, TICK_MS) is None


@pytest.mark.parametrize(
    "change",
    [
        {"is_over": True},
        {"has_attempt_in_flight": True},
        {"may_have_run": True},
        {"is_rejected_or_failed": False},
        {"is_ordered": True},
    ],
)
def test_a_request_that_is_over_or_may_have_run_or_is_in_flight_is_not_decided_again(change):
    assert retry_at_ms(replace(UNSENT_REQUEST, **change), 0.0, TICK_MS) is None
