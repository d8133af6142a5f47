"""System calls that fail between one process and the next: nothing is taken for gone that is there."""

import errno
import os
from types import SimpleNamespace

import pytest
from faulty_sockets import CallFaults
from twisted.internet.task import Clock

from cloverwell.handover import predecessor as handover
from cloverwell.handover.successor import Predecessor

PASSING = [errno.ENOMEM, errno.ENOBUFS, errno.EINTR]


class Reactor(Clock):
    def __init__(self):
        super().__init__()
        self.readers = []

    def addReader(self, reader):
        self.readers.append(reader)

    def removeReader(self, reader):
        self.readers.remove(reader)


class Conversation:
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


@pytest.mark.parametrize("number", [*PASSING, errno.EAGAIN])
def test_a_predecessor_learns_that_we_serve_and_is_not_taken_for_gone(number):
    gone, reactor = [], Reactor()
    conversation = Conversation(CallFaults(number), CallFaults(number, None, number, most=6))
    predecessor = Predecessor(None, -1, conversation)
    predecessor.watch(reactor, lambda: gone.append(True))
    for _ in range(6):
        reactor.advance(0.02)
    assert conversation.sent == b'{"serves":true}\n'
    predecessor.doRead()
    assert not gone
    assert predecessor in reactor.readers
    predecessor.doRead()  # now it has ended
    assert gone
    assert conversation.closed
    assert not reactor.readers


def test_a_place_that_can_not_be_looked_at_ends_no_start(tmp_path, monkeypatch):
    def remove_stale_socket(path):
        raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))

    monkeypatch.setattr(handover, "remove_stale_socket", remove_stale_socket)
    warnings = []
    log = SimpleNamespace(warn=lambda where, what: warnings.append(what))
    timer_wheel = SimpleNamespace()
    listener = handover.SuccessorListener(
        Reactor(), str(tmp_path / "x.sock"), ("127.0.0.1", 1), None, timer_wheel, log
    )
    listener.open()
    assert len(warnings) == 1
    assert warnings[0].startswith("no successor can ask")
