"""Accepts that fail, in every way that Linux documents: no waiting connection is lost, no loop is busy."""

import errno
import re
import socket
from types import SimpleNamespace

import pytest
from faulty_sockets import CallFaults, inject_accept_faults
from rig import Rig, read, write
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock

from cloverwell.front import port as port_module
from cloverwell.front.port import BoundedFactory, BoundedPort, adopt, listen

SHORTAGES = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
ENDED = [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ETIMEDOUT]
ENDED += [errno.ENETUNREACH, errno.EHOSTDOWN, errno.ENONET, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINTR]
ITERATIONS = 100  # of the event loop


class RecordingFactory(BoundedFactory):
    """Records the accepted connections, the reported failures and the backoffs."""

    def __init__(self):
        self.accepted, self.failures, self.backoffs = [], [], 0

    def accept_limit(self):
        return 64

    def accept_failed(self, reason=""):
        self.failures.append(reason)

    def accept_paused(self):
        self.backoffs += 1

    def buildProtocol(self, addr):
        self.accepted.append(addr)
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

    def iterate(self, times=1):
        """Read each port so many times, as the event loop does."""
        for _ in range(times):
            for port in [one for one in self.readers if isinstance(one, BoundedPort)]:
                port.doRead()


@pytest.fixture
def listening():
    made = SimpleNamespace(loop=Loop(), factory=RecordingFactory(), clients=[])

    def clients(number):
        made.port = listen(made.loop, "127.0.0.1", 0, made.factory, 50)
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
def test_a_port_that_can_not_accept_is_tried_now_and_then_and_not_in_each_iteration(listening, number):
    made = listening(3)
    calls = inject_accept_faults(made.port, CallFaults(always=number)).calls
    made.loop.iterate(ITERATIONS)
    assert calls.count <= 1
    for _ in range(50):  # a second
        made.loop.advance(0.02)
        made.loop.iterate(ITERATIONS)
    assert 20 <= calls.count <= 60
    calls.always = None
    made.loop.advance(0.02)
    made.loop.iterate()
    assert len(made.factory.accepted) == 3
    assert all(still_open(client) for client in made.clients)


@pytest.mark.parametrize("number", SHORTAGES)
def test_failed_accepts_are_reported_once_a_second(listening, number):
    made = listening(1)
    inject_accept_faults(made.port, CallFaults(always=number))
    for _ in range(150):
        made.loop.iterate()
        made.loop.advance(0.02)
    assert 3 <= len(made.factory.failures) <= 4


def test_each_backoff_is_reported_also_where_its_reason_is_not(listening):
    made = listening(1)
    calls = inject_accept_faults(made.port, CallFaults(errno.ENFILE)).calls
    made.loop.iterate()
    made.loop.advance(0.02)
    made.loop.iterate()
    assert made.factory.backoffs == 1
    assert len(made.factory.accepted) == 1
    calls.always = errno.ENFILE
    for backoffs in range(2, 7):
        made.loop.iterate(ITERATIONS)
        assert made.factory.backoffs == backoffs
        assert len(made.factory.failures) == 1
        made.loop.advance(0.02)


@pytest.mark.parametrize("number", ENDED)
def test_a_connection_that_has_ended_in_the_queue_holds_none_behind_it_up(listening, number):
    made = listening(3)
    calls = inject_accept_faults(made.port, CallFaults(None, number, number)).calls
    made.loop.iterate()
    assert len(made.factory.accepted) == 3
    assert calls.failed == 2
    assert all(still_open(client) for client in made.clients)
    assert not made.factory.failures


@pytest.mark.parametrize("number", ENDED)
def test_a_queue_in_which_all_have_ended_does_not_stall_the_loop(listening, number):
    made = listening(1)
    calls = inject_accept_faults(made.port, CallFaults(always=number)).calls
    made.loop.iterate(ITERATIONS)
    assert calls.count <= 16
    calls.always = None
    made.loop.advance(0.02)
    made.loop.iterate()
    assert len(made.factory.accepted) == 1


def test_a_pause_and_a_backoff_end_each_by_itself(listening):
    made = listening(1)
    calls = inject_accept_faults(made.port, CallFaults(errno.ENFILE, errno.ENFILE)).calls
    made.loop.iterate()
    made.port.pauseProducing()
    made.loop.advance(0.02)
    made.loop.iterate()
    assert made.port not in made.loop.readers  # still paused, though the backoff is over
    assert calls.count == 1
    made.port.resumeProducing()
    made.loop.iterate()
    made.port.pauseProducing()
    made.port.resumeProducing()
    made.loop.iterate(ITERATIONS)
    assert made.port not in made.loop.readers  # it backs off, though the pause is over
    assert calls.count == 2
    made.loop.advance(0.02)
    made.loop.iterate()
    assert len(made.factory.accepted) == 1


def test_a_port_accepts_only_while_it_neither_backs_off_nor_is_paused(listening):
    made = listening(1)
    inject_accept_faults(made.port, CallFaults(errno.ENFILE))
    assert made.port.is_accepting
    assert made.port.has_waiting_connections()
    made.loop.iterate()
    assert not made.port.is_accepting
    made.port.pauseProducing()
    made.loop.advance(0.02)
    assert not made.port.is_accepting
    assert made.port.has_waiting_connections()
    made.port.resumeProducing()
    made.loop.iterate()
    assert made.port.is_accepting
    assert not made.port.has_waiting_connections()


def test_a_port_that_closes_while_it_backs_off_stays_closed(listening):
    made = listening(0)
    inject_accept_faults(made.port, CallFaults(errno.ENFILE))
    made.loop.iterate()
    made.port.stopListening()
    made.loop.advance(0.0)
    assert not made.loop.getDelayedCalls()
    assert made.port not in made.loop.readers
    made.port = SimpleNamespace(socket=SimpleNamespace(close=lambda: None))


@pytest.mark.parametrize("number", [*SHORTAGES, *ENDED])
def test_what_waits_at_the_end_is_accepted_though_accepts_fail(listening, number):
    made = listening(3)
    inject_accept_faults(made.port, CallFaults(number, None, number, number))
    made.port.stopListening()
    assert len(made.factory.accepted) == 3
    assert all(still_open(client) for client in made.clients)


# The first socket ---------------------------------------------------------------------------------


@pytest.fixture
def pauses(monkeypatch):
    slept = []
    monkeypatch.setattr(port_module, "time", SimpleNamespace(sleep=slept.append), raising=False)
    return slept


@pytest.mark.parametrize("number", SHORTAGES)
def test_a_machine_that_is_short_of_something_for_a_moment_does_not_end_the_start(
    number, pauses, monkeypatch
):
    calls, make = CallFaults(number, number), BoundedPort.createInternetSocket
    monkeypatch.setattr(BoundedPort, "createInternetSocket", lambda port: calls.check() or make(port))
    port = listen(Loop(), "127.0.0.1", 0, RecordingFactory(), 50)
    assert port.getHost().port
    assert len(pauses) == 2
    port.socket.close()


@pytest.mark.parametrize(("number", "tries"), [(errno.EADDRINUSE, 1), (errno.EACCES, 1), (errno.ENFILE, 25)])
def test_a_start_that_can_not_succeed_ends(number, tries, pauses, monkeypatch):
    calls = CallFaults(always=number)
    monkeypatch.setattr(BoundedPort, "createInternetSocket", lambda port: calls.check())
    with pytest.raises(CannotListenError):
        listen(Loop(), "127.0.0.1", 0, RecordingFactory(), 50)
    assert calls.count == tries


def test_a_socket_that_is_taken_over_is_taken_though_the_machine_is_short(pauses, monkeypatch):
    listening = socket.create_server(("127.0.0.1", 0))
    calls, make = CallFaults(errno.ENFILE), socket.fromfd
    monkeypatch.setattr(socket, "fromfd", lambda *where: calls.check() or make(*where))
    port = adopt(Loop(), listening.detach(), RecordingFactory())
    assert port.getHost().port
    assert len(pauses) == 1
    port.socket.close()


# A whole proxy ------------------------------------------------------------------------------------


@pytest.mark.parametrize("number", [*SHORTAGES, errno.ECONNABORTED])
def test_while_accepts_fail_accepted_clients_are_served_and_the_others_wait(number):
    proxy = Rig()
    try:
        inside = proxy.client(b"mn\r\n")
        proxy.receive_until(inside, b"MN")
        calls = inject_accept_faults(proxy.service._port, CallFaults(always=number)).calls
        outside = proxy.client(read(2))
        inside.sendall(read(1))
        node = proxy.nodes[0].accept()
        proxy.receive_until(node, b"mg k1 ")
        node.sendall(b"VA 1 O1\r\nx\r\n")
        assert proxy.receive_until(inside, b"x\r\n") == b"VA 1 O1\r\nx\r\n"
        calls.always = None
        proxy.receive_until(node, b"mg k2 ")
        node.sendall(b"VA 1 O2\r\ny\r\n")
        assert proxy.receive_until(outside, b"y\r\n") == b"VA 1 O2\r\ny\r\n"
    finally:
        proxy.close()


# Deadlines of requests that wait ------------------------------------------------------------------

WAIT_MS = 300.0


@pytest.fixture
def backing_off(monkeypatch):
    """A proxy whose port backs off until the test ends the backoff."""
    monkeypatch.setattr(port_module, "ACCEPT_BACKOFF_S", 3600.0)
    made = Rig()
    yield made
    made.close()


def end_backoff(proxy):
    proxy.service._port._backoff.reset(0)


def sent_deadline_ms_after_waiting(proxy):
    """Return the deadline sent with a request of 1900 ms that has waited in the queue of such a port."""
    proxy.client(write(1, 1900))
    proxy.advance_clock(WAIT_MS)
    end_backoff(proxy)
    return int(re.search(rb"d=(\d+)", proxy.receive_until(proxy.origin.accept(), b"\r\n"))[1])


def test_a_request_behind_a_second_backoff_is_sent_with_the_time_that_is_left(backing_off):
    # The port once reported one backoff a second; requests that waited for the others kept all their time.
    calls = inject_accept_faults(backing_off.service._port, CallFaults(errno.ENFILE)).calls
    first = backing_off.client(b"mn\r\n")
    backing_off.run_until(lambda: calls.failed == 1)
    end_backoff(backing_off)
    backing_off.receive_until(first, b"MN")
    calls.faults.append(errno.ENFILE)
    second = backing_off.client()
    backing_off.run_until(lambda: calls.failed == 2)
    assert sent_deadline_ms_after_waiting(backing_off) <= 1900 - WAIT_MS
    second.close()


def test_a_request_that_comes_late_in_a_backoff_is_sent_with_the_time_that_is_left(backing_off):
    # A check that found the queue empty once ended the record of a backoff that went on.
    calls = inject_accept_faults(backing_off.service._port, CallFaults(None, errno.ENFILE)).calls
    backing_off.receive_until(backing_off.client(b"mn\r\n"), b"MN")
    backing_off.run_until(lambda: calls.failed == 1)
    backing_off.advance_clock(200)
    assert sent_deadline_ms_after_waiting(backing_off) <= 1900 - WAIT_MS
