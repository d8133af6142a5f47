"""Forces the races in which the operators' requirements are easily broken, on real sockets.

The proxy runs one event-loop iteration at a time, see `rig.Rig`. docs/design/terms.md lists the requirements
and the test of each.
"""

import contextlib
import json
import re
import socket
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from rig import read, write
from scenario import Player

from balancer.request_state import Server
from cloverwell.codec.lines import BufferedLineReceiver
from cloverwell.connections.accept_queue import AcceptQueue
from cloverwell.connections.client_policy import ClientStage
from cloverwell.front.client_connection import MAX_PIPELINED_COMMANDS, UNTHROTTLED_MALFORMED_COMMANDS
from lab.proxy_testbed import SETTINGS
from lab.scenario import load
from lab.simulation import Simulation

SLACK_MS = 150.0  # the most by which a deadline that is sent to a node may be too long
HIT_RESPONSE = b"VA 1 O%d\r\nx\r\n"


# A new connection of a process that drains or stops ------------------------------------------------------


def test_the_first_request_of_a_connection_taken_as_the_port_closes_is_answered(rig):
    proxy = rig()
    proxy.service.stop()
    conn = proxy.client()  # Its request has not come yet.
    proxy.stall(600)  # The port closes before the reactor has read from it.
    proxy.run_iterations()
    assert proxy.service.client_connections.connections
    assert proxy.service._port is None
    conn.sendall(read(1, 900))
    proxy.advance_clock(10)
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(HIT_RESPONSE % 1)
    assert proxy.receive_to_end(conn) == HIT_RESPONSE % 1 + b"END"


def test_a_drained_process_answers_a_client_that_connects_before_it_sends(rig):
    proxy = rig()
    proxy.stop_clock()
    proxy.service.drain()
    proxy.advance_clock(1000)
    conn = proxy.client()
    proxy.advance_clock(10)
    conn.sendall(b"mn\r\n")
    answer = proxy.receive_until(conn, b"\r\n")
    proxy.advance_clock(5)
    assert answer + proxy.receive_to_end(conn) == b"SERVER_ERROR draining\r\nEND"


# A client that stops in the middle of a request ---------------------------------------------------


BAD_CLIENT_MS = 3000.0  # A client that stops in the middle of a command has its error within this time.


def advance_until(proxy, end_ms):
    """Advance the clock until `end_ms`; a step may take longer, since it takes real time too."""
    while proxy.now() < end_ms:
        proxy.advance_clock(5)


def test_a_partial_command_behind_a_long_request_is_rejected_within_3_s_of_its_first_byte(rig):
    proxy = rig()
    first_byte_ms = proxy.now()
    conn = proxy.client(write(1) + b"mg k2 v O2")
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    advance_until(proxy, first_byte_ms + 1500)
    node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
    proxy.receive_until(conn, b"HD O1 cr1\r\n")
    advance_until(proxy, first_byte_ms + BAD_CLIENT_MS - 400)
    assert (
        proxy.service.client_connections.policy.stage_of(
            next(iter(proxy.service.client_connections.connections))
        )
        is ClientStage.CLOSING
    )
    assert proxy.receive_to_end(conn) == b"CLIENT_ERROR half a command\r\nEND"


def test_complete_commands_behind_malformed_ones_are_not_rejected_as_partial(rig):
    # The commands have been read, but wait for the end of the pause that the malformed ones cause. Each must
    # be answered.
    proxy = rig()
    idle = proxy.client(b"mn\r\n")
    stop_ms = proxy.now()
    proxy.service.stop()
    advance_until(proxy, stop_ms + 400)
    # The pause after the last error ends over 200 ms after partial commands are rejected.
    errors = UNTHROTTLED_MALFORMED_COMMANDS + 9
    conn = proxy.client(b"no\r\n" * errors + write(1, 900) + write(2, 900))
    proxy.advance_clock(1500)
    assert proxy.receive_to_end(idle).endswith(b"END")
    answers = proxy.receive_to_end(conn)
    assert answers.count(b"CLIENT_ERROR") == errors
    assert answers.count(b"SERVER_ERROR") == 2
    assert answers.endswith(b"END")


# A fetch whose client disconnects -----------------------------------------------------------------


def requests_with_places(proxy):
    servers = proxy.service.facade._balancer._servers.values()
    return {name for server in servers for name, _number in server.in_flight}


@pytest.mark.parametrize("other_read", [b"", read(7)])
def test_a_fetch_that_ends_because_its_client_disconnects_is_not_repeated_for_that_client(
    rig, started_attempts, other_read
):
    # A client reads a key twice: the second read waits for the first one's fetch, which waits for a place at
    # the origin. When the client disconnects, neither may start an attempt. `other_read` is a third read that
    # is cancelled before these two.
    proxy = rig()
    proxy.stop_clock()
    proxy.service.facade._balancer._origins[0].limit = 1.0
    proxy.client(write(9))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k9 ")
    conn = proxy.client(other_read + read(1))
    for number in (7, 1) if other_read else (1,):
        node = proxy.nodes[0].accept()
        proxy.receive_until(node, b"mg k%d " % number)
    node.sendall(b"EN O1\r\n")
    proxy.run_iterations()
    conn.sendall(read(2).replace(b"k2", b"k1"))
    proxy.run_until(lambda: proxy.service.dispatcher.open_count == 3 + bool(other_read))
    before = len(started_attempts)
    conn.close()
    proxy.advance_clock(60)
    assert proxy.service.dispatcher.open_count == 1
    assert len(started_attempts) == before
    assert requests_with_places(proxy) == {"9"}


# The time since a client sent its request ----------------------------------------------------------


def answer_reads(proxy, node):
    """Answer all reads that have come on the node's connections."""
    while node.accept_nowait() is not None:
        pass
    for conn in node.accepted:
        with contextlib.suppress(BlockingIOError, ConnectionResetError):
            for line in conn.recv(1 << 16).split(b"\r\n"):
                if line.startswith(b"mg "):
                    conn.sendall(HIT_RESPONSE % int(line.split()[3][1:]))


def test_a_pause_of_reading_does_not_shorten_the_deadlines_of_later_requests(rig):
    proxy = rig()
    conn = proxy.client(b"".join(read(number) for number in range(MAX_PIPELINED_COMMANDS)))
    proxy.run_until(lambda: proxy.service.client_connections.paused_connections)
    # This command is unread when the first answer resumes reading.
    conn.sendall(read(MAX_PIPELINED_COMMANDS))
    proxy.run_iterations(5)
    # All answers come at once, so that reading is not paused a second time.
    answer_reads(proxy, proxy.nodes[0])
    proxy.run_until(
        lambda: answer_reads(proxy, proxy.nodes[0]) or not proxy.service.client_connections.paused_connections
    )
    proxy.advance_clock(3000)
    conn.sendall(write(100))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k100 ")  # The write is not refused as late.


def propagated_deadline_ms(conn, proxy):
    """Return the deadline in ms that an attempt sends to its node."""
    return int(re.search(rb"d=(\d+)", proxy.receive_until(conn, b"\r\n"))[1])


def test_a_request_that_waited_in_the_accept_queue_is_sent_with_its_remaining_time(rig):
    # Many idle clients take all descriptors, so the last client waits behind them in the accept queue.
    proxy = rig(sockets=64)
    for _ in range(220):
        proxy.client()
    conn = proxy.client()
    conn.sendall(write(1, 1900))
    sent_ms = proxy.now()
    while (node := proxy.origin.accept_nowait()) is None and proxy.now() < sent_ms + 1900:
        proxy.advance_clock(5)
    waited_ms = proxy.now() - sent_ms
    assert waited_ms > 2 * SLACK_MS
    assert propagated_deadline_ms(node, proxy) <= 1900 - waited_ms + SLACK_MS


def test_a_request_that_expired_in_the_accept_queue_is_not_sent(rig):
    # A request with a timeout of 0.3 s waits 0.6 s in the accept queue. `AcceptQueue` has only a lower bound
    # of the time that is left, so the request would be sent, with 86 ms. The kernel knows when it came.
    proxy = rig(sockets=64)
    idle_clients = [proxy.client() for _ in range(60)]
    proxy.run_iterations()
    assert proxy.service.client_connections._accepting_paused
    conn = proxy.client()
    conn.sendall(write(1, 300))
    time.sleep(0.6)  # in real time, since the kernel's clock can't be advanced by a test
    for idle_client in idle_clients:
        idle_client.close()
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    assert proxy.origin.accept_nowait() is None


def test_a_client_that_connects_after_the_accept_queue_was_empty_has_its_whole_time(rig):
    proxy = rig(sockets=64)
    idle_clients = [proxy.client() for _ in range(60)]
    proxy.run_iterations()
    assert proxy.service.client_connections._accepting_paused
    proxy.advance_clock(300)
    for conn in idle_clients:
        conn.close()
    proxy.advance_clock(200)
    proxy.client(write(1, 900))
    assert propagated_deadline_ms(proxy.origin.accept(), proxy) > 900 - SLACK_MS


class QueueModel:
    """The kernel's accept queue: first come, first served, of bounded length."""

    def __init__(self, max_length):
        self.max_length = max_length
        self.came_ms = []
        self.queue = AcceptQueue(max_length)

    def connect(self, now, number):
        self.came_ms += [now] * min(number, self.max_length - len(self.came_ms))

    def accept(self, number):
        """Check for each accepted connection that it came no sooner than `AcceptQueue` says."""
        for _ in range(min(number, len(self.came_ms))):
            since_ms, came_ms = self.queue.record_accepted(), self.came_ms.pop(0)
            assert since_ms is not None
            assert since_ms <= came_ms
        if not self.came_ms:
            self.queue.record_empty()


STEPS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30), st.booleans()), max_size=200)


@given(steps=STEPS)
def test_no_connection_came_before_the_time_that_the_queue_gives(steps):
    model = QueueModel(max_length=20)
    for now, (connecting, accepted, is_checked) in enumerate(steps):
        model.queue.record_reading_paused(float(now))
        model.connect(float(now), connecting)
        if is_checked:
            model.queue.record_connections_waiting(float(now))
        model.accept(accepted)


def test_the_wait_in_a_queue_that_is_never_empty_is_bounded_by_its_length():
    model = QueueModel(max_length=20)
    model.queue.record_reading_paused(0.0)
    for now in range(1, 200):
        model.connect(float(now), 20)
        model.queue.record_connections_waiting(float(now))
        model.accept(10)
    assert 199.0 - model.queue.record_accepted() <= 4.0


# A stall between the reading of the clock and the write --------------------------------------------


STALL_MS = 150.0  # the longest stall between reading the clock and writing that the requirements allow for
ONE_WAY_DELAY_MS = 50.0  # the most that a command takes to reach its node
DRAIN_GRACE_MS = 400.0  # the time after the start of a drain within which a node still takes commands


@pytest.mark.parametrize("waited_ms", [150, 190, 201, 340, 360])
def test_a_stall_before_the_write_does_not_exceed_the_grace_of_a_drain(monkeypatch, waited_ms):
    rules = SETTINGS["guarantees"] | {"drain-grace": DRAIN_GRACE_MS}
    limits = SETTINGS["limits"] | {"connect-timeout": 900.0}
    player = Player(settings=SETTINGS | {"guarantees": rules, "limits": limits})
    player.play("wait 100\nclient send mg k1 v O1 Pc=page,t=acme,d=1900")
    draining_node = {"id": "s1", "host_port": "127.0.0.9:201", "flavor": "large", "phase": "terminating"}
    listing = {"revision": 42, "complete": False, "members": [draining_node]}
    player.play(f"discovery expect GET *\ndiscovery send 200 {json.dumps(listing)}")
    informed_s = player.reactor.rightNow
    player.reactor.rightNow += waited_ms / 1000.0
    written_s = []
    put_command = BufferedLineReceiver.try_write_command

    def stalled_put(connection, data):
        player.reactor.rightNow += STALL_MS / 1000.0
        written_s.append(player.reactor.rightNow)
        return put_command(connection, data)

    monkeypatch.setattr(BufferedLineReceiver, "try_write_command", stalled_put)
    player.connection("s1", 0)
    assert bool(written_s) == (waited_ms < DRAIN_GRACE_MS - STALL_MS - ONE_WAY_DELAY_MS)
    assert all(at - informed_s <= (DRAIN_GRACE_MS - ONE_WAY_DELAY_MS) / 1000.0 + 1e-6 for at in written_s)


# Cold nodes with few proxies, and small writes ------------------------------------------------------


FEW_PROXIES = 5


def test_a_few_proxies_keep_to_the_budget_of_cold_nodes():
    summary = Simulation(msgspec.structs.replace(load("throng"), proxies=FEW_PROXIES), 1).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["coldest_load"] < 0.95, summary["ends"]
    assert summary["service"] > 0.9, summary["ends"]


def test_the_checker_detects_a_few_proxies_that_take_cold_nodes_for_warm_ones(monkeypatch):
    monkeypatch.setattr(Server, "capacity_share", lambda server, now, start, warm_up_ms: 1.0)
    assert Simulation(msgspec.structs.replace(load("throng"), proxies=FEW_PROXIES), 1).run()["rules"]["cold"]


def test_no_small_write_is_delayed_by_the_kernel(rig):
    proxy = rig()
    proxy.client(read(1) + write(2))
    proxy.run_until(lambda: proxy.service.pools.pool_of("s1").connections)
    proxy.run_until(lambda: proxy.service.pools.pool_of("origin").connections)
    pools = [proxy.service.pools.pool_of(name) for name in ("s1", "origin")]
    made = [
        *proxy.service.client_connections.connections,
        *(one for pool in pools for one in pool.connections),
    ]
    assert len(made) == 3
    for connection in made:
        handle = connection.transport.getHandle()
        assert handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# A client that reads slowly ------------------------------------------------------------------------


VALUE = b"v" * 3_000_000


def test_a_client_that_reads_slowly_gets_its_whole_response_during_a_drain(rig):
    proxy = rig()
    proxy.client(write(9, 30_000))  # Its open request keeps the process running.
    conn = proxy.client()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    conn.sendall(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    answer = memoryview(b"VA %d O1\r\n" % len(VALUE) + VALUE + b"\r\n")
    got = bytearray()
    side = proxy.service.client_connections

    def forward_and_read():
        nonlocal answer
        with contextlib.suppress(BlockingIOError):
            answer = answer[node.send(answer) :] if answer else answer
        with contextlib.suppress(BlockingIOError):
            got.extend(conn.recv(10_000))
        return not (answer or side.stream_count)

    proxy.run_until(forward_and_read)
    proxy.service.drain()  # The kernel has taken the whole response, and the connection is closed.
    proxy.advance_clock(2000)
    assert len(got) < len(VALUE)
    rest = proxy.receive_to_end(conn)
    assert rest.endswith(b"v\r\nEND")
    assert len(got) + len(rest) > len(VALUE)
