"""One process takes over from another: real processes on loopback, which are awaited by their log lines."""

import contextlib
import io
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from scenario import EPOCH_MS, Player

from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverError, HandoverState, Hello
from cloverwell.handover.successor import request_handover
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.membership.node_starts import KnownStarts, NodeStart
from cloverwell.proxy import Proxy
from cloverwell.timer_wheel import monotonic_ms
from lab.processes import PATIENCE_S, ProxyFixture, SteadyClients


@pytest.fixture
def proxy_fixture(tmp_path):
    fixture = ProxyFixture(tmp_path)
    yield fixture
    fixture.close()


def test_a_successor_takes_over_under_load_and_nothing_is_lost(proxy_fixture):
    old = proxy_fixture.start().ready()
    clients = SteadyClients(proxy_fixture.listen)
    clients.wait_for_answers()
    for _ in range(2):  # The second successor takes over from the first one.
        new = proxy_fixture.start().ready()
        old.wait_for_log("the successor serves")
        clients.wait_for_answers()
        assert old.end(signal.SIGTERM) == 0
        new.wait_for_log("the predecessor has exited: 256 descriptors")
        clients.wait_for_answers()
        old = new
    clients.stop()
    # For each client and replacement, at most one request crosses the close of its connection.
    assert clients.crossed <= 2 * 8
    assert old.end(signal.SIGTERM) == 0
    assert not os.path.exists(proxy_fixture.path)


def test_a_predecessor_that_is_killed_leaves_the_port_to_its_successor(proxy_fixture):
    old, new = proxy_fixture.start().ready(), proxy_fixture.start().ready()
    old.end(signal.SIGKILL)
    new.wait_for_log("the predecessor has exited")
    clients = SteadyClients(proxy_fixture.listen)
    clients.wait_for_answers()
    clients.stop()


def test_the_predecessor_goes_on_serving_when_its_successor_is_killed(proxy_fixture):
    old, new = proxy_fixture.start().ready(), proxy_fixture.start().ready()
    old.wait_for_log("the successor serves")
    new.end(signal.SIGKILL)
    old.wait_for_log("the successor has exited")
    clients = SteadyClients(proxy_fixture.listen)
    clients.wait_for_answers()
    third = proxy_fixture.start().ready()
    old.wait_for_log("the successor serves")
    assert old.end(signal.SIGTERM) == 0
    third.wait_for_log("the predecessor has exited")
    clients.wait_for_answers()
    clients.stop()


@pytest.mark.parametrize("answer", [b"", b'{"version":0,"sockets":9}\n', b"\xff\n", b"silence"])
def test_a_malformed_answer_is_logged_once_and_the_address_is_shared(proxy_fixture, answer):
    old = proxy_fixture.start().ready()
    os.unlink(proxy_fixture.path)  # A process of another version listens at the path instead.
    with socket.socket(socket.AF_UNIX) as other:
        other.bind(proxy_fixture.path)
        other.listen()

        def reply():
            with contextlib.suppress(OSError):
                caller, _ = other.accept()
                with caller:
                    caller.recv(100)
                    caller.sendall(answer if answer != b"silence" else b"")
                    while answer == b"silence" and caller.recv(100):
                        pass

        threading.Thread(target=reply, daemon=True).start()
        new = proxy_fixture.start().ready()
    assert new.log.read_text().count("the handover failed") == 1
    assert old.end(signal.SIGTERM) == 0
    clients = SteadyClients(proxy_fixture.listen)
    clients.wait_for_answers()
    clients.stop()


def test_a_stale_socket_is_removed_and_malformed_requests_do_not_disturb_the_proxy(proxy_fixture):
    proxy_fixture.start().ready().end(signal.SIGKILL)
    assert os.path.exists(proxy_fixture.path)
    process = proxy_fixture.start().ready()
    assert "the process that created the socket has exited" in process.log.read_text()
    assert os.stat(proxy_fixture.path).st_mode & 0o777 == 0o600
    for malformed in (
        b"\xff\xfe\n",
        b'{"version":9,"listen":"x"}\n',
        b"x" * 9000,
        b'{"version":1,"listen":"x"}\n',
    ):
        with socket.socket(socket.AF_UNIX) as caller:
            caller.settimeout(PATIENCE_S)
            caller.connect(proxy_fixture.path)
            with contextlib.suppress(OSError):
                caller.sendall(malformed)
                assert caller.recv(100) == b""
    assert process.log.read_text().count("a process can't become the successor") == 4
    for reason in (
        "malformed: ",
        "version 9 is not supported, only version 1",
        "its message is too long",
        "it serves at another address: 'x'",
    ):
        assert process.log.read_text().count(f"a process can't become the successor: {reason}") == 1
    assert proxy_fixture.start().ready().log.read_text().count("the handover failed") == 0


def test_an_operators_address_in_use_ends_the_program_with_exit_code_2_and_names_the_field(proxy_fixture):
    proxy_fixture.start().ready()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        environ = os.environ | {
            "EDGE_CONFIG": str(proxy_fixture.config),
            "EDGE_OPERATOR": f"127.0.0.1:{taken.getsockname()[1]}",
        }
        run = subprocess.run(
            [sys.executable, "-m", "cloverwell"], env=environ, capture_output=True, text=True
        )
    assert run.returncode == 2
    assert "cloverwell: operator: " in run.stderr


@given(st.binary(max_size=200))
def test_decoding_any_bytes_raises_no_other_error_than_a_handover_error(data):
    for message_type in (Hello, HandoverState):
        with contextlib.suppress(HandoverError):
            messages.decode(data, message_type)


def test_a_handover_state_is_read_as_it_was_written():
    handover_state = HandoverState(
        1, 200, EndpointList(7, True, [Endpoint("a", "127.0.0.1:1", up_since_ms=5.0)])
    )
    assert messages.decode(messages.encode(handover_state).rstrip(), HandoverState) == handover_state
    handover_state.table.members[0].host_port = "nowhere"
    with pytest.raises(HandoverError):
        messages.decode(messages.encode(handover_state), HandoverState)


# Starts of nodes -------------------------------------------------------------------------------------

HOUR_MS = 3_600_000.0


def test_a_successor_whose_wall_clock_was_stepped_back_does_not_warm_up_a_warm_node():
    old = Player()
    old.play("wait 100\ndiscovery expect GET *")
    up_since_ms_of = {"warm": old.now() - EPOCH_MS - 5000.0, "cold": old.now() - EPOCH_MS - 100.0}
    rows = [
        {"id": name, "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": up_since_ms}
        for name, up_since_ms in up_since_ms_of.items()
    ]
    listing = {"revision": 42, "complete": False, "members": rows}
    old.play(f"discovery send 200 {json.dumps(listing)}")
    endpoint_discovery = old.service.endpoint_discovery
    state = HandoverState(
        messages.PROTOCOL_VERSION, 200, endpoint_discovery.current_list(), endpoint_discovery.node_starts()
    )
    state = messages.decode(messages.encode(state).rstrip(), HandoverState)
    predecessor = SimpleNamespace(
        handover_state=state, listening_descriptor=0, watch=lambda reactor, on_exit: None
    )
    epoch_ms = EPOCH_MS + HOUR_MS
    new = Proxy(old.reactor, old.config, Log(old.now, old.log), old.now, lambda: epoch_ms, predecessor)
    new.start(adopt=lambda reactor, descriptor, factory: None)
    cold_ms = {name: new.node_policy._nodes[name].cold_until_ms - old.now() for name in up_since_ms_of}
    assert cold_ms["warm"] < 0.0
    assert cold_ms["cold"] == pytest.approx(900.0, abs=1.0)


STARTS = KnownStarts(5000.0, 4000.0, {"a": NodeStart(5.0, 3000.0)})


@pytest.mark.parametrize(
    ("requested_ms", "received_ms", "kept"), [(4999, 5001, True), (5001, 5900, False), (0, 4999, False)]
)
def test_starts_that_were_written_by_another_clock_are_dropped(requested_ms, received_ms, kept):
    state = HandoverState(1, 200, EndpointList(7, True, []), STARTS)
    assert state.check_clock(requested_ms, received_ms) is kept
    assert state.node_starts == (STARTS if kept else None)


@pytest.mark.parametrize(("offset_ms", "kept"), [(0.0, True), (HOUR_MS, False), (-HOUR_MS, False)])
def test_the_nodes_starts_of_a_predecessor_that_reads_another_clock_are_not_used(tmp_path, offset_ms, kept):
    path, log = str(tmp_path / "handover.sock"), io.StringIO()
    with socket.socket() as listening, socket.socket(socket.AF_UNIX) as predecessor:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        predecessor.bind(path)
        predecessor.listen()

        def answer():
            caller, _ = predecessor.accept()
            with caller:
                caller.recv(1000)
                starts = msgspec.structs.replace(STARTS, clock_ms=monotonic_ms() + offset_ms)
                state = HandoverState(1, 200, EndpointList(7, True, []), starts)
                socket.send_fds(caller, [messages.encode(state)], [listening.fileno()])
                caller.recv(1)

        thread = threading.Thread(target=answer)
        thread.start()
        handover = request_handover(path, listening.getsockname(), Log(monotonic_ms, log), PATIENCE_S)
        assert handover is not None, log.getvalue()
        os.close(handover.listening_descriptor)
        handover._connection.close()
        thread.join()
    assert (handover.handover_state.node_starts is not None) is kept
    assert log.getvalue().count("reads another clock") == (not kept)


class OlderHandoverState(msgspec.Struct):
    """The state as the release before wrote and read it."""

    version: int
    sockets: int
    table: EndpointList


def test_processes_of_an_older_and_a_newer_release_understand_each_other():
    table = EndpointList(7, True, [Endpoint("a", "127.0.0.1:1", up_since_ms=5.0)])
    written = messages.encode(OlderHandoverState(1, 200, table)).rstrip()
    assert messages.decode(written, HandoverState) == HandoverState(1, 200, table, None)
    written = messages.encode(HandoverState(1, 200, table, STARTS)).rstrip()
    assert msgspec.json.decode(written, type=OlderHandoverState) == OlderHandoverState(1, 200, table)
    assert messages.decode(written, HandoverState).node_starts == STARTS


def test_a_smaller_budget_grants_no_descriptors_until_enough_are_released():
    budget = DescriptorBudget(100)
    for _ in range(60):
        budget.acquire(DescriptorSide.CLIENTS)
    budget.resize(50)
    assert budget.excess == 10
    assert not budget.available(DescriptorSide.CLIENTS)
    assert not budget.available(DescriptorSide.NODES)
    for _ in range(40):
        budget.release(DescriptorSide.CLIENTS)
    assert budget.excess == 0
    assert budget.available(DescriptorSide.CLIENTS) == 50 - budget.floors[DescriptorSide.NODES] - 20
    budget.resize(100)
    assert budget.available(DescriptorSide.CLIENTS) == 45
