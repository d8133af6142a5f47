"""One process takes over from another: real processes on loopback, waited for by what they say."""

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
def place(tmp_path):
    here = ProxyFixture(tmp_path)
    yield here
    here.close()


def test_a_successor_takes_over_under_load_and_nothing_is_lost(place):
    old = place.start().ready()
    clients = SteadyClients(place.listen)
    clients.wait_for_answers()
    for _ in range(2):  # and is succeeded in its turn
        new = place.start().ready()
        old.wait_for_log("the successor serves")
        clients.wait_for_answers()
        assert old.end(signal.SIGTERM) == 0
        new.wait_for_log("the predecessor has gone: 256 descriptors")
        clients.wait_for_answers()
        old = new
    clients.stop()
    # At most the one request that crosses its connection's close, for each client and replacement.
    assert clients.crossed <= 2 * 8
    assert old.end(signal.SIGTERM) == 0
    assert not os.path.exists(place.path)


def test_the_old_process_killed_leaves_the_port_to_the_new(place):
    old, new = place.start().ready(), place.start().ready()
    old.end(signal.SIGKILL)
    new.wait_for_log("the predecessor has gone")
    clients = SteadyClients(place.listen)
    clients.wait_for_answers()
    clients.stop()


def test_the_old_process_serves_on_when_its_successor_dies(place):
    old, new = place.start().ready(), place.start().ready()
    old.wait_for_log("the successor serves")
    new.end(signal.SIGKILL)
    old.wait_for_log("the successor has gone")
    clients = SteadyClients(place.listen)
    clients.wait_for_answers()
    third = place.start().ready()
    old.wait_for_log("the successor serves")
    assert old.end(signal.SIGTERM) == 0
    third.wait_for_log("the predecessor has gone")
    clients.wait_for_answers()
    clients.stop()


@pytest.mark.parametrize("answer", [b"", b'{"version":0,"sockets":9}\n', b"\xff\n", b"silence"])
def test_what_can_not_be_understood_costs_one_line_and_the_port_is_shared(place, answer):
    old = place.start().ready()
    os.unlink(place.path)  # another process, of another version, stands there instead
    with socket.socket(socket.AF_UNIX) as other:
        other.bind(place.path)
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
        new = place.start().ready()
    assert new.log.read_text().count("nothing is taken over") == 1
    assert old.end(signal.SIGTERM) == 0
    clients = SteadyClients(place.listen)
    clients.wait_for_answers()
    clients.stop()


def test_a_stale_socket_is_removed_and_garbage_does_not_disturb_who_serves(place):
    place.start().ready().end(signal.SIGKILL)
    assert os.path.exists(place.path)
    process = place.start().ready()
    assert "has gone" in process.log.read_text()
    assert os.stat(place.path).st_mode & 0o777 == 0o600
    for garbage in (
        b"\xff\xfe\n",
        b'{"version":9,"listen":"x"}\n',
        b"x" * 9000,
        b'{"version":1,"listen":"x"}\n',
    ):
        with socket.socket(socket.AF_UNIX) as caller:
            caller.settimeout(PATIENCE_S)
            caller.connect(place.path)
            with contextlib.suppress(OSError):
                caller.sendall(garbage)
                assert caller.recv(100) == b""
    assert process.log.read_text().count("a caller is refused") == 4
    for reason in ("malformed: ", "version 9, not 1", "it says too much", "it serves at 'x'"):
        assert process.log.read_text().count(f"a caller is refused: {reason}") == 1
    assert place.start().ready().log.read_text().count("nothing is taken over") == 0


def test_an_operators_address_that_is_taken_ends_with_2_and_the_field(place):
    place.start().ready()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        environ = os.environ | {
            "EDGE_CONFIG": str(place.config),
            "EDGE_OPERATOR": f"127.0.0.1:{taken.getsockname()[1]}",
        }
        run = subprocess.run(
            [sys.executable, "-m", "cloverwell"], env=environ, capture_output=True, text=True
        )
    assert run.returncode == 2
    assert "cloverwell: operator: " in run.stderr


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    for kind in (Hello, HandoverState):
        with contextlib.suppress(HandoverError):
            messages.decode(data, kind)


def test_a_handover_state_is_read_as_it_was_written():
    handover_state = HandoverState(
        1, 200, EndpointList(7, True, [Endpoint("a", "127.0.0.1:1", up_since_ms=5.0)])
    )
    assert messages.decode(messages.encode(handover_state).rstrip(), HandoverState) == handover_state
    handover_state.table.members[0].host_port = "nowhere"
    with pytest.raises(HandoverError):
        messages.decode(messages.encode(handover_state), HandoverState)


# When the nodes started ------------------------------------------------------------------------------

HOUR_MS = 3_600_000.0


def test_a_successor_whose_wall_clock_was_stepped_back_takes_no_warm_node_for_a_cold_one():
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
    left = SimpleNamespace(handover_state=state, listening_descriptor=0, watch=lambda reactor, gone: None)
    epoch_ms = EPOCH_MS + HOUR_MS
    new = Proxy(old.reactor, old.config, Log(old.now, old.log), old.now, lambda: epoch_ms, left)
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
def test_a_predecessor_that_reads_another_clock_leaves_all_but_the_starts(tmp_path, offset_ms, kept):
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
        left = request_handover(path, listening.getsockname(), Log(monotonic_ms, log), PATIENCE_S)
        assert left is not None, log.getvalue()
        os.close(left.listening_descriptor)
        left._connection.close()
        thread.join()
    assert (left.handover_state.node_starts is not None) is kept
    assert log.getvalue().count("reads another clock") == (not kept)


class OlderHandoverState(msgspec.Struct):
    """As the version before wrote and read it."""

    version: int
    sockets: int
    table: EndpointList


def test_an_older_process_beside_a_newer_one_is_understood_either_way():
    table = EndpointList(7, True, [Endpoint("a", "127.0.0.1:1", up_since_ms=5.0)])
    written = messages.encode(OlderHandoverState(1, 200, table)).rstrip()
    assert messages.decode(written, HandoverState) == HandoverState(1, 200, table, None)
    written = messages.encode(HandoverState(1, 200, table, STARTS)).rstrip()
    assert msgspec.json.decode(written, type=OlderHandoverState) == OlderHandoverState(1, 200, table)
    assert messages.decode(written, HandoverState).node_starts == STARTS


def test_a_smaller_budget_takes_no_more_until_enough_is_given_back():
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
