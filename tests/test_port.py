"""The listening port on loopback: what is not accepted waits, and a want of descriptors ends nothing."""

import errno
import socket
from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from cloverwell.front.port import listen


class PortOwner(Factory):
    noisy = False

    def __init__(self, room):
        self.room, self.let_in, self.short = room, [], 0

    def may_accept(self):
        return self.room - len(self.let_in)

    def accept_failed(self, reason):
        self.short += 1

    def accepts_no_more(self):
        """Nothing hangs on it here."""

    def buildProtocol(self, addr):
        self.let_in.append(addr)
        return Protocol()


@pytest.fixture
def desk():
    made = SimpleNamespace(clients=[])

    def knock(room, number):
        made.factory = PortOwner(room)
        made.port = listen(reactor, "127.0.0.1", 0, made.factory, 50)
        address = ("127.0.0.1", made.port.getHost().port)
        made.clients += [socket.create_connection(address, timeout=2.0) for _ in range(number)]
        return made

    yield knock
    for client in made.clients:
        client.close()
    made.port.stopReading()
    made.port.socket.close()


def test_no_more_are_accepted_in_a_turn_than_there_is_room_for(desk):
    # Before, Twisted's own count was used: whoever came beyond the limit was reset with the request in it.
    made = desk(room=3, number=10)
    made.port.doRead()
    assert len(made.factory.let_in) == 3
    for client in made.clients[3:]:  # the others wait in the machine's queue, and are let in later
        client.settimeout(0.01)
        with pytest.raises(TimeoutError):
            client.recv(1)
    made.factory.room = 10
    made.port.doRead()
    assert len(made.factory.let_in) == 10


def test_a_want_of_descriptors_in_the_middle_ends_nothing(desk, monkeypatch):
    # Twisted by itself closes all that wait: four requests would be reset here.
    made = desk(room=10, number=4)
    listening, accepted = made.port.socket._listening, 0

    class Short:
        def accept(self):
            nonlocal accepted
            accepted += 1
            if accepted == 3:
                raise OSError(errno.EMFILE, "too many open files")
            return listening.accept()

        def __getattr__(self, name):
            return getattr(listening, name)

    monkeypatch.setattr(made.port.socket, "_listening", Short())
    made.port.doRead()
    assert len(made.factory.let_in) == 2 and made.factory.short == 1
    made.port.doRead()
    assert len(made.factory.let_in) == 4
