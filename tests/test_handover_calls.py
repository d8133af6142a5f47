"""System calls of a handover that fail for a moment: the other process must not count as exited for that."""

import errno
import os
from types import SimpleNamespace

import pytest
from faulty_sockets import CallFaults
from twisted.internet.task import Clock

from cloverwell.handover import predecessor as handover
from cloverwell.handover.successor import Predecessor

TRANSIENT_ERRORS = [errno.ENOMEM, errno.ENOBUFS, errno.EINTR]


class Reactor(Clock):
    def __init__(self):
        super().__init__()
        self.readers = []

    def addReader(self, reader):
        self.readers.append(reader)

    def removeReader(self, reader):
        self.readers.remove(reader)


class FakeSocket:
    """The socket between two processes, as `Predecessor` uses it."""

    def __init__(self, recv, send):
        self.recv_calls, self.send_calls = recv, send
        self.sent, self.closed = b"", False

    def setblocking(self, _on):
        pass

    def recv(self, _size):
        self.recv_calls.check()
        return b""

    def send(self, data):
        self.send_calls.check()
        taken = data[: self.send_calls.most]
        self.sent += taken
        return len(taken)

    def close(self):
        self.closed = True


@pytest.mark.parametrize("error_number", [*TRANSIENT_ERRORS, errno.EAGAIN])
def test_a_predecessor_learns_that_the_successor_serves_and_does_not_count_as_exited(error_number):
    exits, reactor = [], Reactor()
    connection = FakeSocket(CallFaults(error_number), CallFaults(error_number, None, error_number, most=6))
    predecessor = Predecessor(None, -1, connection)
    predecessor.watch(reactor, lambda: exits.append(True))
    for _ in range(6):
        reactor.advance(0.02)
    assert connection.sent == b'{"serves":true}\n'
    predecessor.doRead()
    assert not exits
    assert predecessor in reactor.readers
    predecessor.doRead()  # This read finds the end of the connection.
    assert exits
    assert connection.closed
    assert not reactor.readers


def test_a_socket_path_that_cannot_be_checked_does_not_end_the_start(tmp_path, monkeypatch):
    def remove_stale_socket(path):
        raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))

    monkeypatch.setattr(handover, "remove_stale_socket", remove_stale_socket)
    warnings = []
    log = SimpleNamespace(warn=lambda source, text: warnings.append(text))
    timer_wheel = SimpleNamespace()
    listener = handover.SuccessorListener(
        Reactor(), str(tmp_path / "x.sock"), ("127.0.0.1", 1), None, timer_wheel, log
    )
    listener.open()
    assert len(warnings) == 1
    assert warnings[0].startswith("can't listen for a successor")
