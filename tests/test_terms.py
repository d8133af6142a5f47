"""What the operators hold every version to, at the moments in which it is easily broken: on real sockets, one
turn of the loop at a time. docs/design/terms.md has the whole list, and which test forces what."""

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
from cloverwell.codec.lines import RingLineReceiver
from cloverwell.connections.accept_queue import AcceptQueue
from cloverwell.connections.client_policy import ClientStage
from cloverwell.front.client_connection import MAX_PIPELINED_COMMANDS, UNTHROTTLED_MALFORMED_COMMANDS
from lab.proxy_testbed import SETTINGS
from lab.scenario import load
from lab.simulation import Simulation

SLACK_MS = 150.0  # the page's, of the time that a node is given
HIT = b"VA 1 O%d\r\nx\r\n"


# A new connection of a process that is being emptied ----------------------------------------------


def test_the_first_request_of_a_connection_taken_as_the_port_closes_is_answered(rig):
    proxy = rig()
    proxy.service.stop()
    conn = proxy.client()  # its request is on the way
    proxy.stall(600)  # the port closes before the reactor has looked at it
    proxy.run_iterations()
    assert proxy.service.client_connections.connections
    assert proxy.service._port is None
    conn.sendall(read(1, 900))
    proxy.advance_clock(10)
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    node.sendall(HIT % 1)
    assert proxy.receive_to_end(conn) == HIT % 1 + b"END"


def test_a_drained_process_answers_who_connects_before_it_asks(rig):
    proxy = rig()
    proxy.service.drain()
    proxy.advance_clock(1000)
    conn = proxy.client()
    proxy.advance_clock(10)
    conn.sendall(b"mn\r\n")
    assert proxy.receive_to_end(conn) == b"SERVER_ERROR draining\r\nEND"


# A client that stops in the middle of a request ---------------------------------------------------


BAD_CLIENT_MS = 3000.0  # the page's: by then one that stops in the middle has its error


def play_until(proxy, end_ms):
    """`skip` takes real time too."""
    while proxy.now() < end_ms:
        proxy.advance_clock(5)


def test_half_a_command_behind_a_long_request_is_told_within_three_seconds_of_its_first_byte(rig):
    proxy = rig()
    first_byte_ms = proxy.now()
    conn = proxy.client(write(1) + b"mg k2 v O2")
    node = proxy.origin.accept()
    proxy.receive_until(node, b"PUT /k1 ")
    play_until(proxy, first_byte_ms + 1500)
    node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1")
    proxy.receive_until(conn, b"HD O1 cr1\r\n")
    play_until(proxy, first_byte_ms + BAD_CLIENT_MS - 400)
    assert (
        proxy.service.client_connections.policy.stage_of(
            next(iter(proxy.service.client_connections.connections))
        )
        is ClientStage.CLOSING
    )
    assert proxy.receive_to_end(conn) == b"CLIENT_ERROR half a command\r\nEND"


def test_whole_commands_behind_malformed_ones_are_not_cut_as_half_a_command(rig):
    # They have been read, and wait for the pause behind the errors: each is owed its answer.
    proxy = rig()
    resting = proxy.client(b"mn\r\n")
    stop_ms = proxy.now()
    proxy.service.stop()
    play_until(proxy, stop_ms + 400)
    errors = UNTHROTTLED_MALFORMED_COMMANDS + 9  # the last of their pauses is over 200 ms behind the cut
    conn = proxy.client(b"no\r\n" * errors + write(1, 900) + write(2, 900))
    proxy.advance_clock(1500)
    assert proxy.receive_to_end(resting).endswith(b"END")
    answers = proxy.receive_to_end(conn)
    assert answers.count(b"CLIENT_ERROR") == errors
    assert answers.count(b"SERVER_ERROR") == 2
    assert answers.endswith(b"END")


# What a client that leaves hands on ---------------------------------------------------------------


def places_taken(proxy):
    servers = proxy.service.facade._balancer._servers.values()
    return {name for server in servers for name, _number in server.in_flight}


@pytest.mark.parametrize("out", [b"", read(7)])
def test_a_key_whose_fetch_ends_as_its_client_leaves_is_not_asked_for_that_client_again(rig, begun, out):
    # The second read of a key waits for the first one's fetch, which waits for a place at the origin; both
    # are one client's. `out` is a third that is called off as it leaves, before the others are forgotten.
    proxy = rig()
    proxy.service.facade._balancer._origins[0].limit = 1.0
    proxy.client(write(9))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k9 ")
    conn = proxy.client(out + read(1))
    for number in (7, 1) if out else (1,):
        node = proxy.nodes[0].accept()
        proxy.receive_until(node, b"mg k%d " % number)
    node.sendall(b"EN O1\r\n")
    proxy.run_iterations()
    conn.sendall(read(2).replace(b"k2", b"k1"))
    proxy.run_until(lambda: proxy.service.dispatcher.open_count == 3 + bool(out))
    before = len(begun)
    conn.close()
    proxy.advance_clock(60)
    assert proxy.service.dispatcher.open_count == 1
    assert len(begun) == before
    assert places_taken(proxy) == {"9"}


# Since when a client's request is on its way -------------------------------------------------------


def answer_reads(proxy, node):
    """All that stands at the node's connections is answered."""
    while node.accept_nowait() is not None:
        pass
    for conn in node.accepted:
        with contextlib.suppress(BlockingIOError, ConnectionResetError):
            for line in conn.recv(1 << 16).split(b"\r\n"):
                if line.startswith(b"mg "):
                    conn.sendall(HIT % int(line.split()[3][1:]))


def test_a_connection_that_was_not_read_for_a_while_is_read_as_any_other_afterwards(rig):
    proxy = rig()
    conn = proxy.client(b"".join(read(number) for number in range(MAX_PIPELINED_COMMANDS)))
    proxy.run_until(lambda: proxy.service.client_connections.paused_connections)
    conn.sendall(
        read(MAX_PIPELINED_COMMANDS)
    )  # it stands unread when the first answer lets the reading go on
    proxy.run_iterations(5)
    # All answers are there at once, so that the connection is not held a second time.
    answer_reads(proxy, proxy.nodes[0])
    proxy.run_until(
        lambda: answer_reads(proxy, proxy.nodes[0]) or not proxy.service.client_connections.paused_connections
    )
    proxy.advance_clock(3000)
    conn.sendall(write(100))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k100 ")  # not refused as late


def propagated_deadline_ms(conn, proxy):
    """The time that an attempt gives its node."""
    return int(re.search(rb"d=(\d+)", proxy.receive_until(conn, b"\r\n"))[1])


def test_a_request_that_waited_to_be_accepted_tells_its_node_what_is_left_then(rig):
    # A crowd of idle clients takes all descriptors: the last one waits behind it in the machine's queue.
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


def test_a_request_whose_time_passed_while_it_waited_to_be_accepted_is_not_forwarded(rig):
    # Seen in the soak: what waited for 0.6 s with 0.3 s left told its node 86 ms. The queue gives a lower
    # bound of what is left, and the kernel knows when the bytes came.
    proxy = rig(sockets=64)
    crowd = [proxy.client() for _ in range(60)]
    proxy.run_iterations()
    assert proxy.service.client_connections._full
    conn = proxy.client()
    conn.sendall(write(1, 300))
    time.sleep(0.6)  # of the kernel's clock, which no test moves
    for idle in crowd:
        idle.close()
    assert proxy.receive_until(conn, b"\r\n").startswith(b"SERVER_ERROR busy")
    assert proxy.origin.accept_nowait() is None


def test_who_connects_when_the_crowd_is_over_has_all_of_its_time(rig):
    proxy = rig(sockets=64)
    crowd = [proxy.client() for _ in range(60)]
    proxy.run_iterations()
    assert proxy.service.client_connections._full
    proxy.advance_clock(300)
    for conn in crowd:
        conn.close()
    proxy.advance_clock(200)
    proxy.client(write(1, 900))
    assert propagated_deadline_ms(proxy.origin.accept(), proxy) > 900 - SLACK_MS


class QueueModel:
    """The machine's queue: first come first served, of bounded length."""

    def __init__(self, most):
        self.most = most
        self.came_ms = []
        self.queue = AcceptQueue(most)

    def connect(self, now, number):
        self.came_ms += [now] * min(number, self.most - len(self.came_ms))

    def accept(self, number):
        """Each that is accepted came no sooner than is said, or has not waited."""
        for _ in range(min(number, len(self.came_ms))):
            since_ms, came_ms = self.queue.record_accepted(), self.came_ms.pop(0)
            assert since_ms is not None
            assert since_ms <= came_ms
        if not self.came_ms:
            self.queue.record_empty()


STEPS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30), st.booleans()), max_size=200)


@given(steps=STEPS)
def test_no_connection_came_sooner_than_the_queue_says(steps):
    model = QueueModel(most=20)
    for now, (come, accepted, looks) in enumerate(steps):
        model.queue.record_reading_paused(float(now))
        model.connect(float(now), come)
        if looks:
            model.queue.record_connections_waiting(float(now))
        model.accept(accepted)


def test_in_a_queue_that_stands_the_wait_is_bounded_by_its_length():
    model = QueueModel(most=20)
    model.queue.record_reading_paused(0.0)
    for now in range(1, 200):
        model.connect(float(now), 20)
        model.queue.record_connections_waiting(float(now))
        model.accept(10)
    assert 199.0 - model.queue.record_accepted() <= 4.0


# A hold-up between the clock and the write ---------------------------------------------------------


STALL_MS = 150.0  # the page's: between the reading of the clock and the writing
WAY_MS = 50.0
GRACE_MS = 400.0


@pytest.mark.parametrize("waited_ms", [150, 190, 201, 340, 360])
def test_a_hold_up_before_the_write_is_within_the_time_of_the_drain(monkeypatch, waited_ms):
    rules = SETTINGS["guarantees"] | {"drain-grace": GRACE_MS}
    limits = SETTINGS["limits"] | {"connect-timeout": 900.0}
    player = Player(settings=SETTINGS | {"guarantees": rules, "limits": limits})
    player.play("wait 100\nclient send mg k1 v O1 Pc=page,t=acme,d=1900")
    drains = {"id": "s1", "host_port": "127.0.0.9:201", "flavor": "large", "phase": "terminating"}
    listing = {"revision": 42, "complete": False, "members": [drains]}
    player.play(f"discovery expect GET *\ndiscovery send 200 {json.dumps(listing)}")
    informed_s = player.reactor.rightNow
    player.reactor.rightNow += waited_ms / 1000.0
    written_s = []
    put = RingLineReceiver.try_write_command

    def held_up(connection, data):
        player.reactor.rightNow += STALL_MS / 1000.0
        written_s.append(player.reactor.rightNow)
        return put(connection, data)

    monkeypatch.setattr(RingLineReceiver, "try_write_command", held_up)
    player.connection("s1", 0)
    assert bool(written_s) == (waited_ms < GRACE_MS - STALL_MS - WAY_MS)
    assert all(at - informed_s <= (GRACE_MS - WAY_MS) / 1000.0 + 1e-6 for at in written_s)


# Cold nodes before few proxies, and small writes ----------------------------------------------------


HANDFUL = 5


def test_a_handful_of_proxies_keeps_the_budget_of_cold_nodes():
    summary = Simulation(msgspec.structs.replace(load("throng"), proxies=HANDFUL), 1).run()
    assert not any(summary["rules"].values()), summary["breaches"]
    assert summary["coldest_load"] < 0.95, summary["ends"]
    assert summary["service"] > 0.9, summary["ends"]


def test_the_judge_catches_a_handful_that_takes_cold_nodes_for_warm_ones(monkeypatch):
    monkeypatch.setattr(Server, "capacity_share", lambda server, now, start, warm_up_ms: 1.0)
    assert Simulation(msgspec.structs.replace(load("throng"), proxies=HANDFUL), 1).run()["rules"]["cold"]


def test_no_small_write_is_held_back_by_the_machine(rig):
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


def test_a_slow_reader_has_all_of_its_answer_though_the_process_is_emptied_meanwhile(rig):
    proxy = rig()
    proxy.client(write(9, 30_000))  # keeps the process from its end
    conn = proxy.client()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    conn.sendall(read(1))
    node = proxy.nodes[0].accept()
    proxy.receive_until(node, b"mg k1 ")
    answer = memoryview(b"VA %d O1\r\n" % len(VALUE) + VALUE + b"\r\n")
    got = bytearray()
    side = proxy.service.client_connections

    def pass_on():
        nonlocal answer
        with contextlib.suppress(BlockingIOError):
            answer = answer[node.send(answer) :] if answer else answer
        with contextlib.suppress(BlockingIOError):
            got.extend(conn.recv(10_000))
        return not (answer or side.stream_count)

    proxy.run_until(pass_on)
    proxy.service.drain()  # all has left for the machine, and the connection is let go
    proxy.advance_clock(2000)
    assert len(got) < len(VALUE)
    rest = proxy.receive_to_end(conn)
    assert rest.endswith(b"v\r\nEND")
    assert len(got) + len(rest) > len(VALUE)
