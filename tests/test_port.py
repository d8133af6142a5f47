"""The listening port on loopback: connections that are not accepted wait, also for want of descriptors."""

import errno
import socket
from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Protocol

from cloverwell.front.port import BoundedFactory, listen


class FactoryWithRoom(BoundedFactory):
    """Accepts so many connections."""

    def __init__(self, room):
        self.room, self.accepted, self.failures = room, [], 0

    def accept_limit(self):
        return self.room - len(self.accepted)

    def accept_failed(self, reason):
        self.failures += 1

    def buildProtocol(self, addr):
        self.accepted.append(addr)
        return Protocol()


@pytest.fixture
def listening():
    made = SimpleNamespace(clients=[])

    def listen_with_clients(room, number):
        made.factory = FactoryWithRoom(room)
        made.port = listen(reactor, "127.0.0.1", 0, made.factory, 50)
        address = ("127.0.0.1", made.port.getHost().port)
        made.clients += [socket.create_connection(address, timeout=2.0) for _ in range(number)]
        return made

    yield listen_with_clients
    for client in made.clients:
        client.close()
    made.port.stopReading()
    made.port.socket.close()


def test_no_more_are_accepted_at_once_than_there_is_room_for(listening):
    # By Twisted's own count, connections beyond the limit would be accepted and reset with their requests.
    made = listening(room=3, number=10)
    made.port.doRead()
    assert len(made.factory.accepted) == 3
    for client in made.clients[3:]:  # the others wait in the kernel's queue, and are accepted later
        client.settimeout(0.01)
        with pytest.raises(TimeoutError):
            client.recv(1)
    made.factory.room = 10
    made.port.doRead()
    assert len(made.factory.accepted) == 10


def test_a_want_of_descriptors_in_the_middle_ends_nothing(listening, monkeypatch):
    # Twisted by itself closes all that wait: four requests would be reset here.
    made = listening(room=10, number=4)
    real_socket, calls = made.port.socket._listening, 0

    class Short:
        def accept(self):
            nonlocal calls
            calls += 1
            if calls == 3:
                raise OSError(errno.EMFILE, "too many open files")
            return real_socket.accept()

        def __getattr__(self, name):
            return getattr(real_socket, name)

    monkeypatch.setattr(made.port.socket, "_listening", Short())
    made.port.doRead()
    assert len(made.factory.accepted) == 2
    assert made.factory.failures == 1
    made.port.doRead()
    assert len(made.factory.accepted) == 4
