"""The listening port on loopback: connections that can't be accepted stay in the kernel's accept queue.

Twisted's own port would accept and reset them, and their requests would be lost.
"""

import errno
import socket
from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Protocol

from cloverwell.front.port import BoundedFactory, listen


class FactoryWithRoom(BoundedFactory):
    """A factory that accepts `room` connections in all."""

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
    fixture = SimpleNamespace(clients=[])

    def listen_with_clients(room, number):
        fixture.factory = FactoryWithRoom(room)
        fixture.port = listen(reactor, "127.0.0.1", 0, fixture.factory, 50)
        address = ("127.0.0.1", fixture.port.getHost().port)
        fixture.clients += [socket.create_connection(address, timeout=2.0) for _ in range(number)]
        return fixture

    yield listen_with_clients
    for client in fixture.clients:
        client.close()
    fixture.port.stopReading()
    fixture.port.socket.close()


def test_no_more_connections_are_accepted_than_the_factory_has_room_for(listening):
    # Twisted's own port would accept connections beyond the limit and reset them, with their requests.
    fixture = listening(room=3, number=10)
    fixture.port.doRead()
    assert len(fixture.factory.accepted) == 3
    for client in fixture.clients[3:]:  # The others wait in the accept queue and are accepted later.
        client.settimeout(0.01)
        with pytest.raises(TimeoutError):
            client.recv(1)
    fixture.factory.room = 10
    fixture.port.doRead()
    assert len(fixture.factory.accepted) == 10


def test_a_lack_of_descriptors_between_two_accepts_closes_no_connection(listening, monkeypatch):
    # When an accept fails, Twisted's own port closes all connections in the queue, with their requests.
    fixture = listening(room=10, number=4)
    real_socket, calls = fixture.port.socket._listening_socket, 0

    class FailingThirdAccept:
        def accept(self):
            nonlocal calls
            calls += 1
            if calls == 3:
                raise OSError(errno.EMFILE, "too many open files")
            return real_socket.accept()

        def __getattr__(self, name):
            return getattr(real_socket, name)

    monkeypatch.setattr(fixture.port.socket, "_listening_socket", FailingThirdAccept())
    fixture.port.doRead()
    assert len(fixture.factory.accepted) == 2
    assert fixture.factory.failures == 1
    fixture.port.doRead()
    assert len(fixture.factory.accepted) == 4
