"""Each reason for which nothing is taken over, or a process is refused, is one line of the log."""

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


def line_of(predecessor, listen=("127.0.0.1", 1)):
    """The line that is logged when nothing can be taken over."""
    lines = RecordingLog()
    assert request_handover(predecessor.path, listen, lines, WAIT_S) is None
    (line,) = lines.lines
    return line


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "the answer is cut off"),
        (b'{"version":1', "the answer is cut off"),
        (b" " * (messages.MAX_STATE_BYTES + 1), "the answer is too long"),
        (b'{"version":1,"listen":"x"}\n', "malformed: Object missing required field `sockets`"),
        (
            b'{"version":9,"sockets":1,"table":{"revision":1,"complete":true,"members":[]}}\n',
            "version 9, not 1",
        ),
        (messages.encode(BAD_ENDPOINTS), "not an address: 'nowhere'"),
        (messages.encode(STATE), "0 sockets came, not one"),
    ],
)
def test_an_answer_that_cannot_be_used_is_one_line(predecessor, data, reason):
    predecessor.data = data
    assert line_of(predecessor) == f"warn handover: nothing is taken over: {reason}"


def test_two_sockets_in_place_of_one_are_one_line(predecessor, listening):
    predecessor.data = messages.encode(STATE)
    predecessor.sockets = [listening, listening]
    expected = "warn handover: nothing is taken over: 2 sockets came, not one"
    assert line_of(predecessor, listening.getsockname()) == expected


def test_a_socket_at_another_address_is_one_line(predecessor, listening):
    predecessor.data = messages.encode(STATE)
    predecessor.sockets = [listening]
    expected = "warn handover: nothing is taken over: the socket that came does not listen at our address"
    assert line_of(predecessor) == expected


def test_a_socket_that_does_not_listen_is_one_line(predecessor):
    predecessor.data = messages.encode(STATE)
    expected = "warn handover: nothing is taken over: the socket that came does not listen at our address"
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        predecessor.sockets = [bound]
        assert line_of(predecessor, bound.getsockname()) == expected


def test_a_socket_at_which_nobody_listens_is_one_line(tmp_path):
    path = str(tmp_path / "stale.sock")
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(path)
    lines = RecordingLog()
    assert request_handover(path, ("127.0.0.1", 1), lines, WAIT_S) is None
    reason = "the process that left its socket there has gone"
    assert lines.lines == [f"warn handover: nothing is taken over: {reason}"]


def test_no_socket_at_all_is_no_line(tmp_path):
    lines = RecordingLog()
    assert request_handover(str(tmp_path / "none.sock"), ("127.0.0.1", 1), lines, WAIT_S) is None
    assert lines.lines == []
