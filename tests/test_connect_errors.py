"""Connections that this machine can't begin, and those that servers refuse: who is held to account."""

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

SOCKET = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
CONNECT = [errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM]
CONNECT += [errno.ENETUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM]
LOCAL = [("socket", number) for number in SOCKET] + [("connect", number) for number in CONNECT]
LOCAL += [("error", errno.ENETUNREACH), ("error", errno.EADDRNOTAVAIL)]
SERVERS = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNRESET]


@pytest.fixture
def outgoing(monkeypatch):
    return OutgoingSockets(monkeypatch)


def fail(outgoing, address, stage, *faults, always=None):
    """Has that step of connections to the address fail so."""
    if stage == "socket":
        return outgoing.fail_socket(address, *faults, always=always)
    calls = CallFaults(*faults, always=always)
    if stage == "error":
        calls.faults = [
            one for fault in calls.faults for one in (None, fault)
        ]  # the second look is the result
    outgoing.at(address, **{stage: calls})
    return calls


def figure(proxy, what):
    return proxy.service.metrics.total(what)


def reached(proxy, node, wanted):
    """The first connection on which the wanted bytes come: one that failed behind its handshake has none."""
    heard = {}

    def look():
        while node.accept_nowait() is not None:
            pass
        for conn in node.accepted:
            try:
                heard[conn] = heard.get(conn, b"") + conn.recv(1 << 16)
            except (BlockingIOError, ConnectionResetError):
                continue
        found = [conn for conn, data in heard.items() if wanted in data]
        assert sum(data.count(wanted) for data in heard.values()) <= 1
        return found[0] if found else None

    return proxy.run_until(look, f"{wanted!r} did not come")


def answers(proxy, conn):
    with contextlib.suppress(BlockingIOError):
        return conn.recv(1 << 16)
    return b""


@pytest.mark.parametrize(("stage", "number"), LOCAL)
def test_a_read_whose_connection_could_not_be_begun_is_sent_soon_and_its_node_not_blamed(
    rig, outgoing, stage, number
):
    proxy = rig()
    failing = fail(outgoing, proxy.nodes[0].address, stage, number)
    conn = proxy.client(read(1))
    node = reached(proxy, proxy.nodes[0], b"mg k1 ")
    node.sendall(b"VA 1 O1\r\nx\r\n")
    assert proxy.receive_until(conn, b"x\r\n") == b"VA 1 O1\r\nx\r\n"
    assert failing.failed == 1
    assert "marked missed" not in proxy.log.getvalue()
    assert figure(proxy, ConnectionEvent.CONNECT_REFUSED) == 0
    pool = proxy.service.pools.pool_of("s1")
    assert pool.opening_count == 0
    assert proxy.service.budget.held[DescriptorSide.NODES] == len(pool.connections)
    assert proxy.origin.accept_nowait() is None


@pytest.mark.parametrize(("stage", "number"), LOCAL)
def test_an_order_whose_connection_could_not_be_begun_is_sent_once(rig, outgoing, stage, number):
    proxy = rig()
    fail(outgoing, proxy.origin.address, stage, number)
    conn = proxy.client(write(1))
    node = reached(proxy, proxy.origin, b"PUT /k1 ")
    node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
    assert proxy.receive_until(conn, b"\r\n") == b"HD O1 cr1\r\n"
    proxy.advance_clock(300)
    assert proxy.origin.accept_nowait() is None


@pytest.mark.parametrize("make", [read, write])
@pytest.mark.parametrize(("stage", "number"), [("socket", errno.ENFILE), ("connect", errno.EADDRNOTAVAIL)])
def test_a_shortage_that_lasts_ends_no_request_that_has_time(rig, outgoing, make, stage, number):
    proxy = rig()
    origin, cache = proxy.origin.address, proxy.nodes[0].address
    failing = [fail(outgoing, address, stage, always=number) for address in (origin, cache)]
    begun_ms = proxy.now()
    conn = proxy.client(make(1, 1990))
    proxy.advance_clock(400)
    assert answers(proxy, conn) == b""
    assert proxy.service.dispatcher.open_count == 1
    # One try in 20 ms at the most, at each of the two; a loop without a pause would make thousands.
    tries = sum(calls.failed for calls in failing)
    assert 5 <= tries <= 2 * (proxy.now() - begun_ms) / 20 + 3
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
    assert "marked missed" not in proxy.log.getvalue()


@pytest.mark.parametrize("make", [read, write])
def test_a_shortage_that_outlasts_a_request_ends_it_by_one_refusal_in_time(rig, outgoing, make):
    proxy = rig()
    for address in (proxy.origin.address, proxy.nodes[0].address):
        fail(outgoing, address, "socket", always=errno.ENFILE)
    conn = proxy.client(make(1, 400))
    proxy.advance_clock(399)
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    proxy.advance_clock(500)
    assert answers(proxy, conn) == b""
    assert not proxy.service.dispatcher.open_count
    assert not proxy.service.budget.held[DescriptorSide.NODES]


def fail_all_connects(player):
    """Each connection to a node that has been asked for ends by a fault of this machine."""
    asked = player.reactor.tcpClients[player.asked :]
    player.asked += len(asked)
    for _, port, factory, *_ in asked:
        if port != player.ports["discovery"]:
            factory.clientConnectionFailed(None, Failure(ConnectError(osError=errno.ENFILE)))


@pytest.mark.parametrize("make", [read, write])
def test_wherever_its_last_try_falls_between_two_ticks_such_a_request_is_refused(make):
    # A request's guard is rounded down to a tick and the wait for a try up: the guard must not be first.
    for wait_ms in range(400, 470):
        player = Player()
        player.reactor.advance(0.0002)  # each tick comes a little late from now on, as in life
        protocol, transport = player.connection("client", 0)
        protocol.dataReceived(make(1, wait_ms))
        for _ in range(wait_ms):
            fail_all_connects(player)
            player.reactor.advance(0.001)
        assert transport.value().startswith(b"SERVER_ERROR busy"), wait_ms


@pytest.mark.parametrize("make", [read, write])
def test_a_client_that_leaves_while_its_request_can_not_be_sent_has_nothing_sent_later(rig, outgoing, make):
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


def test_with_one_connection_in_hand_the_others_can_not_be_opened_and_all_are_served(rig, outgoing):
    proxy = rig()
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    failing = fail(outgoing, proxy.nodes[0].address, "socket", always=errno.ENFILE)
    others = proxy.client(b"".join(read(number) for number in range(2, 12)))
    proxy.advance_clock(30)
    # However many wait, they are tried for by one.
    assert 1 <= failing.failed <= 10 + 3
    failing.always = None
    node.sendall(b"VA 1 O1\r\nx\r\n")
    proxy.receive_until(conn, b"x\r\n")
    served, told = set(), b""

    def play():
        nonlocal told
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
        told += answers(proxy, others)
        return told.count(b"\r\ny\r\n") == 10

    proxy.run_until(play, "not all were served")
    assert "marked missed" not in proxy.log.getvalue()


@pytest.mark.parametrize("number", SERVERS)
@pytest.mark.parametrize("stage", ["connect", "error"])
def test_a_node_that_can_not_be_reached_is_held_to_account_as_before(rig, outgoing, stage, number):
    proxy = rig()
    fail(outgoing, proxy.nodes[0].address, stage, number)
    proxy.client(read(1))
    proxy.run_until(lambda: "s1 marked missed" in proxy.log.getvalue())
    assert figure(proxy, ConnectionEvent.CONNECT_REFUSED) == 1


# Discovery -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(("stage", "number"), LOCAL)
def test_discovery_is_asked_soon_where_this_machine_could_not(rig, outgoing, stage, number):
    proxy = rig(settings=SETTINGS | {"membership-mode": "on_request"})
    failing = fail(outgoing, proxy.discovery.address, stage, number, *[number] * 3 * (stage != "error"))
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    reached(proxy, proxy.discovery, b"GET /v1/servers")
    assert failing.failed >= 1
    assert "call failed" not in proxy.log.getvalue()
    assert not proxy.service.endpoint_discovery._backoff.is_failing


def test_a_call_to_discovery_that_can_not_be_made_in_its_time_is_a_failed_one(rig, outgoing):
    proxy = rig()
    failing = fail(outgoing, proxy.discovery.address, "socket", always=errno.ENFILE)
    proxy.service.endpoint_discovery._revision = None  # a call that does not wait for news
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    begun_ms = proxy.now()
    proxy.advance_clock(1950)
    assert "call failed: no answer in time" in proxy.log.getvalue()
    assert 20 <= failing.failed <= (proxy.now() - begun_ms) / 50 + 3
    failing.always = None
    # Its pause counts from its beginning, and is short behind a call that took so long.
    reached(proxy, proxy.discovery, b"GET /v1/servers")


@pytest.mark.parametrize("number", SERVERS)
def test_a_discovery_that_can_not_be_reached_has_failed(rig, outgoing, number):
    proxy = rig()
    fail(outgoing, proxy.discovery.address, "connect", number)
    cancel_watch(proxy)
    proxy.service.endpoint_discovery.request_poll()
    proxy.run_until(lambda: "call failed: not connected" in proxy.log.getvalue())


# The judgement by itself ---------------------------------------------------------------------------


@pytest.mark.parametrize("number", sorted({number for _, number in LOCAL}))
def test_a_fault_of_this_machine_is_told_from_a_servers(number):
    from cloverwell.system_calls import connect_fault

    assert connect_fault(getConnectError((number, os.strerror(number)))) is not None
    assert connect_fault(OSError(number, os.strerror(number))) is not None


def test_a_connection_that_ended_without_a_number_never_began_but_a_time_out_did():
    from cloverwell.system_calls import connect_fault

    assert connect_fault(ConnectError(string="closed")) is not None
    assert connect_fault(TimeoutError()) is None
    assert all(connect_fault(getConnectError((number, ""))) is None for number in SERVERS)


UNSENT = UnsentRequest(
    is_over=False,
    has_attempt_in_flight=False,
    may_have_run=False,
    is_rejected_or_failed=True,
    is_ordered=False,
    answer_by_ms=1000.0,
)
TICK_MS = 5.0


def test_a_request_that_nothing_was_sent_for_is_decided_again_while_there_is_time_for_it():
    latest_ms = 1000.0 - MARGIN_TICKS * TICK_MS - RETRY_DELAY_MS
    assert retry_at_ms(UNSENT, latest_ms - 0.1, TICK_MS) == latest_ms - 0.1 + RETRY_DELAY_MS
    assert retry_at_ms(UNSENT, latest_ms, TICK_MS) is None


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
def test_a_request_that_is_over_has_run_or_has_another_attempt_keeps_its_decision(change):
    assert retry_at_ms(replace(UNSENT, **change), 0.0, TICK_MS) is None
