"""One process takes over from another: real processes on loopback, waited for by what they say."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.connections.budget import Budget, Side
from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverError, HandoverState, Hello
from cloverwell.membership.listing import Listing, Member
from lab.processes import PATIENCE_S, Clients, Place


@pytest.fixture
def place(tmp_path):
    here = Place(tmp_path)
    yield here
    here.close()


def test_a_successor_takes_over_under_load_and_nothing_is_lost(place):
    old = place.start().ready()
    clients = Clients(place.listen)
    clients.more()
    for _ in range(2):  # and is succeeded in its turn
        new = place.start().ready()
        old.says("the successor serves")
        clients.more()
        assert old.end(signal.SIGTERM) == 0
        new.says("the predecessor has gone: 256 descriptors")
        clients.more()
        old = new
    clients.stop()
    # At most the one request that crosses its connection's close, for each client and replacement.
    assert clients.crossed <= 2 * 8
    assert old.end(signal.SIGTERM) == 0 and not os.path.exists(place.path)


def test_the_old_process_killed_leaves_the_port_to_the_new(place):
    old, new = place.start().ready(), place.start().ready()
    old.end(signal.SIGKILL)
    new.says("the predecessor has gone")
    clients = Clients(place.listen)
    clients.more()
    clients.stop()


def test_the_old_process_serves_on_when_its_successor_dies(place):
    old, new = place.start().ready(), place.start().ready()
    old.says("the successor serves")
    new.end(signal.SIGKILL)
    old.says("the successor has gone")
    clients = Clients(place.listen)
    clients.more()
    third = place.start().ready()
    old.says("the successor serves")
    assert old.end(signal.SIGTERM) == 0
    third.says("the predecessor has gone")
    clients.more()
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
    clients = Clients(place.listen)
    clients.more()
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
    assert run.returncode == 2 and "cloverwell: operator: " in run.stderr


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    for kind in (Hello, HandoverState):
        with contextlib.suppress(HandoverError):
            messages.decode(data, kind)


def test_a_handover_state_is_read_as_it_was_written():
    handover_state = HandoverState(1, 200, Listing(7, True, [Member("a", "127.0.0.1:1", up_since_ms=5.0)]))
    assert messages.decode(messages.encode(handover_state).rstrip(), HandoverState) == handover_state
    handover_state.table.members[0].host_port = "nowhere"
    with pytest.raises(HandoverError):
        messages.decode(messages.encode(handover_state), HandoverState)


def test_a_smaller_budget_takes_no_more_until_enough_is_given_back():
    budget = Budget(100)
    for _ in range(60):
        budget.take(Side.FRONT)
    budget.resize(50)
    assert budget.over == 10 and not budget.room(Side.FRONT) and not budget.room(Side.BACK)
    for _ in range(40):
        budget.give_back(Side.FRONT)
    assert budget.over == 0 and budget.room(Side.FRONT) == 50 - budget.floors[Side.BACK] - 20
    budget.resize(100)
    assert budget.room(Side.FRONT) == 45
