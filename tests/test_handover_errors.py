"""Each reason for which a handover fails on the successor's side is logged in one line."""

import contextlib
import socket
import threading
from types import SimpleNamespace

import pytest
from control_net_rig import RecordingLog

from cloverwell.handover import messages
from cloverwell.handover.messages import HandoverState
from cloverwell.handover.successor import request_handover
from cloverwell.membership.endpoint_list import Endpoint, EndpointList

WAIT_S = 5.0  # Much longer than the other thread needs to answer.
STATE = HandoverState(messages.PROTOCOL_VERSION, 200, EndpointList(7, True, []))
BAD_ENDPOINTS = HandoverState(
    messages.PROTOCOL_VERSION, 200, EndpointList(7, True, [Endpoint("a", "nowhere")])
)


@pytest.fixture
def predecessor(tmp_path):
    """A process that answers the next hello with given bytes, and with the descriptors of given sockets."""
    path = str(tmp_path / "handover.sock")
    with socket.socket(socket.AF_UNIX) as waiting:
        waiting.bind(path)
        waiting.listen()
        answer = SimpleNamespace(path=path, data=b"", sockets=[])

        def serve():
            caller, _ = waiting.accept()
            with caller, contextlib.suppress(OSError):
                caller.recv(1000)
                if answer.sockets:
                    descriptors = [each.fileno() for each in answer.sockets]
                    socket.send_fds(caller, [answer.data], descriptors)
                else:
                    caller.sendall(answer.data)

        thread = threading.Thread(target=serve)
        thread.start()
        yield answer
        thread.join()


@pytest.fixture
def listening():
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        made.listen()
        yield made


def failure_line(predecessor, listen=("127.0.0.1", 1)):
    """Requests a handover that fails, and returns the line that is logged."""
    lines = RecordingLog()
    assert request_handover(predecessor.path, listen, lines, WAIT_S) is None
    (line,) = lines.lines
    return line


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "the answer is incomplete"),
        (b'{"version":1', "the answer is incomplete"),
        (b" " * (messages.MAX_STATE_BYTES + 1), "the answer is too long"),
        (b'{"version":1,"listen":"x"}\n', "malformed: Object missing required field `sockets`"),
        (
            b'{"version":9,"sockets":1,"table":{"revision":1,"complete":true,"members":[]}}\n',
            "version 9 is not supported, only version 1",
        ),
        (messages.encode(BAD_ENDPOINTS), "not an address: 'nowhere'"),
        (messages.encode(STATE), "0 sockets were received instead of one"),
    ],
)
def test_a_malformed_answer_is_logged_in_one_line(predecessor, data, reason):
    predecessor.data = data
    assert failure_line(predecessor) == f"warn handover: the handover failed: {reason}"


def test_two_sockets_instead_of_one_are_logged_in_one_line(predecessor, listening):
    predecessor.data = messages.encode(STATE)
    predecessor.sockets = [listening, listening]
    expected = "warn handover: the handover failed: 2 sockets were received instead of one"
    assert failure_line(predecessor, listening.getsockname()) == expected


def test_a_socket_at_another_address_is_logged_in_one_line(predecessor, listening):
    predecessor.data = messages.encode(STATE)
    predecessor.sockets = [listening]
    expected = "warn handover: the handover failed: the received socket does not listen at this address"
    assert failure_line(predecessor) == expected


def test_a_socket_that_does_not_listen_is_logged_in_one_line(predecessor):
    predecessor.data = messages.encode(STATE)
    expected = "warn handover: the handover failed: the received socket does not listen at this address"
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        predecessor.sockets = [bound]
        assert failure_line(predecessor, bound.getsockname()) == expected


def test_a_stale_handover_socket_is_logged_in_one_line(tmp_path):
    path = str(tmp_path / "stale.sock")
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(path)
    lines = RecordingLog()
    assert request_handover(path, ("127.0.0.1", 1), lines, WAIT_S) is None
    reason = "the process that created the socket has exited"
    assert lines.lines == [f"warn handover: the handover failed: {reason}"]


def test_a_missing_handover_socket_is_not_logged(tmp_path):
    lines = RecordingLog()
    assert request_handover(str(tmp_path / "none.sock"), ("127.0.0.1", 1), lines, WAIT_S) is None
    assert lines.lines == []
