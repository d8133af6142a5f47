"""Accepts that fail, in every way that Linux documents: the queue and the port live, and nothing spins."""

import errno
import re
import socket
from types import SimpleNamespace

import pytest
from faulty_sockets import Calls, accepting
from rig import Rig, read, write
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from cloverwell.front import port as port_module
from cloverwell.front.port import BoundedPort, adopt, listen

SHORTAGES = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
ENDED = [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ETIMEDOUT]
ENDED += [errno.ENETUNREACH, errno.EHOSTDOWN, errno.ENONET, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINTR]
TURNS = 100


class PortOwner(Factory):
    noisy = False

    def __init__(self):
        self.let_in, self.failures, self.rests = [], [], 0

    def may_accept(self):
        return 64

    def accept_failed(self, reason=""):
        self.failures.append(reason)

    def accepts_no_more(self):
        self.rests += 1

    def buildProtocol(self, addr):
        self.let_in.append(addr)
        return Protocol()


class Loop(Clock):
    """A reactor whose listening port is always readable, as with a queue that is never empty."""

    def __init__(self):
        super().__init__()
        self.readers = set()

    def addReader(self, reader):
        self.readers.add(reader)

    def removeReader(self, reader):
        self.readers.discard(reader)

    removeWriter = removeReader

    def turn(self, times=1):
        for _ in range(times):
            for port in [one for one in self.readers if isinstance(one, BoundedPort)]:
                port.doRead()


@pytest.fixture
def knock():
    made = SimpleNamespace(loop=Loop(), desk=PortOwner(), clients=[])

    def clients(number):
        made.port = listen(made.loop, "127.0.0.1", 0, made.desk, 50)
        address = ("127.0.0.1", made.port.getHost().port)
        made.clients += [socket.create_connection(address, timeout=2.0) for _ in range(number)]
        return made

    yield clients
    for client in made.clients:
        client.close()
    made.port.socket.close()


def still_open(client):
    client.setblocking(False)
    with pytest.raises(BlockingIOError):
        client.recv(1)
    return True


@pytest.mark.parametrize("number", [*SHORTAGES, errno.EINVAL])
def test_a_port_that_can_not_accept_is_tried_now_and_then_and_not_in_each_turn(knock, number):
    made = knock(3)
    calls = accepting(made.port, Calls(always=number)).calls
    made.loop.turn(TURNS)
    assert calls.count <= 1
    for _ in range(50):  # a second
        made.loop.advance(0.02)
        made.loop.turn(TURNS)
    assert 20 <= calls.count <= 60
    calls.always = None
    made.loop.advance(0.02)
    made.loop.turn()
    assert len(made.desk.let_in) == 3 and all(still_open(client) for client in made.clients)


@pytest.mark.parametrize("number", SHORTAGES)
def test_the_word_that_accepts_fail_comes_once_a_second(knock, number):
    made = knock(1)
    accepting(made.port, Calls(always=number))
    for _ in range(150):
        made.loop.turn()
        made.loop.advance(0.02)
    assert 3 <= len(made.desk.failures) <= 4


def test_each_rest_is_told_also_where_its_reason_is_not(knock):
    made = knock(1)
    calls = accepting(made.port, Calls(errno.ENFILE)).calls
    made.loop.turn()
    made.loop.advance(0.02)
    made.loop.turn()
    assert made.desk.rests == 1 and len(made.desk.let_in) == 1
    calls.always = errno.ENFILE
    for rests in range(2, 7):
        made.loop.turn(TURNS)
        assert made.desk.rests == rests and len(made.desk.failures) == 1
        made.loop.advance(0.02)


@pytest.mark.parametrize("number", ENDED)
def test_a_connection_that_has_ended_in_the_queue_holds_none_behind_it_up(knock, number):
    made = knock(3)
    calls = accepting(made.port, Calls(None, number, number)).calls
    made.loop.turn()
    assert len(made.desk.let_in) == 3 and calls.failed == 2
    assert all(still_open(client) for client in made.clients) and not made.desk.failures


@pytest.mark.parametrize("number", ENDED)
def test_a_queue_in_which_all_have_ended_does_not_hold_the_loop_up(knock, number):
    made = knock(1)
    calls = accepting(made.port, Calls(always=number)).calls
    made.loop.turn(TURNS)
    assert calls.count <= 16
    calls.always = None
    made.loop.advance(0.02)
    made.loop.turn()
    assert len(made.desk.let_in) == 1


def test_a_pause_and_a_rest_end_each_by_itself(knock):
    made = knock(1)
    calls = accepting(made.port, Calls(errno.ENFILE, errno.ENFILE)).calls
    made.loop.turn()
    made.port.pauseProducing()
    made.loop.advance(0.02)
    made.loop.turn()
    assert made.port not in made.loop.readers and calls.count == 1  # paused, though the rest is over
    made.port.resumeProducing()
    made.loop.turn()
    made.port.pauseProducing()
    made.port.resumeProducing()
    made.loop.turn(TURNS)
    assert made.port not in made.loop.readers and calls.count == 2  # it rests, though the pause is over
    made.loop.advance(0.02)
    made.loop.turn()
    assert len(made.desk.let_in) == 1


def test_a_port_accepts_only_while_neither_a_rest_nor_a_pause_lasts(knock):
    made = knock(1)
    accepting(made.port, Calls(errno.ENFILE))
    assert made.port.accepting and made.port.waits()
    made.loop.turn()
    assert not made.port.accepting
    made.port.pauseProducing()
    made.loop.advance(0.02)
    assert not made.port.accepting and made.port.waits()
    made.port.resumeProducing()
    made.loop.turn()
    assert made.port.accepting and not made.port.waits()


def test_a_port_that_closes_while_it_rests_stays_closed(knock):
    made = knock(0)
    accepting(made.port, Calls(errno.ENFILE))
    made.loop.turn()
    made.port.stopListening()
    made.loop.advance(0.0)
    assert not made.loop.getDelayedCalls() and made.port not in made.loop.readers
    made.port = SimpleNamespace(socket=SimpleNamespace(close=lambda: None))


@pytest.mark.parametrize("number", [*SHORTAGES, *ENDED])
def test_what_waits_at_the_end_is_let_in_though_accepts_fail(knock, number):
    made = knock(3)
    accepting(made.port, Calls(number, None, number, number))
    made.port.stopListening()
    assert len(made.desk.let_in) == 3 and all(still_open(client) for client in made.clients)


# The first socket ----------------------------------------------------------------------------------


@pytest.fixture
def naps(monkeypatch):
    slept = []
    monkeypatch.setattr(port_module, "time", SimpleNamespace(sleep=slept.append), raising=False)
    return slept


@pytest.mark.parametrize("number", SHORTAGES)
def test_a_machine_that_is_short_of_something_for_a_moment_does_not_end_the_start(number, naps, monkeypatch):
    calls, make = Calls(number, number), BoundedPort.createInternetSocket
    monkeypatch.setattr(BoundedPort, "createInternetSocket", lambda port: calls.check() or make(port))
    port = listen(Loop(), "127.0.0.1", 0, PortOwner(), 50)
    assert port.getHost().port and len(naps) == 2
    port.socket.close()


@pytest.mark.parametrize("number, tries", [(errno.EADDRINUSE, 1), (errno.EACCES, 1), (errno.ENFILE, 25)])
def test_a_start_that_can_not_succeed_ends(number, tries, naps, monkeypatch):
    calls = Calls(always=number)
    monkeypatch.setattr(BoundedPort, "createInternetSocket", lambda port: calls.check())
    with pytest.raises(CannotListenError):
        listen(Loop(), "127.0.0.1", 0, PortOwner(), 50)
    assert calls.count == tries


def test_a_socket_that_is_taken_over_is_taken_though_the_machine_is_short(naps, monkeypatch):
    listening = socket.create_server(("127.0.0.1", 0))
    calls, make = Calls(errno.ENFILE), socket.fromfd
    monkeypatch.setattr(socket, "fromfd", lambda *where: calls.check() or make(*where))
    port = adopt(Loop(), listening.detach(), PortOwner())
    assert port.getHost().port and len(naps) == 1
    port.socket.close()


# A whole proxy -------------------------------------------------------------------------------------


@pytest.mark.parametrize("number", [*SHORTAGES, errno.ECONNABORTED])
def test_while_accepts_fail_those_who_are_in_are_served_and_the_others_wait(number):
    proxy = Rig()
    try:
        inside = proxy.client(b"mn\r\n")
        proxy.got(inside, b"MN")
        calls = accepting(proxy.service._port, Calls(always=number)).calls
        outside = proxy.client(read(2))
        inside.sendall(read(1))
        node = proxy.nodes[0].take()
        proxy.got(node, b"mg k1 ")
        node.sendall(b"VA 1 O1\r\nx\r\n")
        assert proxy.got(inside, b"x\r\n") == b"VA 1 O1\r\nx\r\n"
        calls.always = None
        proxy.got(node, b"mg k2 ")
        node.sendall(b"VA 1 O2\r\ny\r\n")
        assert proxy.got(outside, b"y\r\n") == b"VA 1 O2\r\ny\r\n"
    finally:
        proxy.close()


# The time of those who wait ------------------------------------------------------------------------

WAIT_MS = 300.0


@pytest.fixture
def resting(monkeypatch):
    """A proxy whose port rests until the test ends the rest."""
    monkeypatch.setattr(port_module, "REST_S", 3600.0)
    made = Rig()
    yield made
    made.close()


def end_rest(proxy):
    proxy.service._port._backoff.reset(0)


def told_ms_after_waiting(proxy):
    """What a request with 1900 ms tells its node after it has waited in the queue of a port that rests."""
    proxy.client(write(1, 1900))
    proxy.skip(WAIT_MS)
    end_rest(proxy)
    return int(re.search(rb"d=(\d+)", proxy.got(proxy.origin.take(), b"\r\n"))[1])


def test_a_request_behind_a_further_rest_tells_its_node_what_is_left_then(resting):
    # Seen: the port told one rest a second, and who waited for the others had all of their time.
    calls = accepting(resting.service._port, Calls(errno.ENFILE)).calls
    first = resting.client(b"mn\r\n")
    resting.until(lambda: calls.failed == 1)
    end_rest(resting)
    resting.got(first, b"MN")
    calls.faults.append(errno.ENFILE)
    second = resting.client()
    resting.until(lambda: calls.failed == 2)
    assert told_ms_after_waiting(resting) <= 1900 - WAIT_MS
    second.close()


def test_a_request_that_comes_late_in_a_rest_tells_its_node_what_is_left_then(resting):
    # Seen: a look at the queue that found it empty forgot the rest, which went on.
    calls = accepting(resting.service._port, Calls(None, errno.ENFILE)).calls
    resting.got(resting.client(b"mn\r\n"), b"MN")
    resting.until(lambda: calls.failed == 1)
    resting.skip(200)
    assert told_ms_after_waiting(resting) <= 1900 - WAIT_MS
