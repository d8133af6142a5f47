"""A failed accept, with any error that Linux documents, loses no connection and causes no busy loop."""

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

SHORTAGE_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
ABORTED_ERRORS = [
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
]
ABORTED_ERRORS += [
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EINTR,
]
ITERATIONS = 100  # iterations of the event loop


class RecordingFactory(BoundedFactory):
    """A factory that records the accepted connections, the reported failures and the backoffs."""

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
    """A reactor to which every listening port seems readable, as if its accept queue were never empty."""

    def __init__(self):
        super().__init__()
        self.readers = set()

    def addReader(self, reader):
        self.readers.add(reader)

    def removeReader(self, reader):
        self.readers.discard(reader)

    removeWriter = removeReader

    def iterate(self, times=1):
        """Let each port accept `times` times, as the event loop does."""
        for _ in range(times):
            for port in [one for one in self.readers if isinstance(one, BoundedPort)]:
                port.doRead()


@pytest.fixture
def listening():
    fixture = SimpleNamespace(loop=Loop(), factory=RecordingFactory(), clients=[])

    def clients(number):
        fixture.port = listen(fixture.loop, "127.0.0.1", 0, fixture.factory, 50)
        address = ("127.0.0.1", fixture.port.getHost().port)
        fixture.clients += [socket.create_connection(address, timeout=2.0) for _ in range(number)]
        return fixture

    yield clients
    for client in fixture.clients:
        client.close()
    fixture.port.socket.close()


def still_open(client):
    client.setblocking(False)
    with pytest.raises(BlockingIOError):
        client.recv(1)
    return True


@pytest.mark.parametrize("error_number", [*SHORTAGE_ERRORS, errno.EINVAL])
def test_a_port_that_cannot_accept_backs_off_instead_of_trying_in_each_iteration(listening, error_number):
    fixture = listening(3)
    calls = inject_accept_faults(fixture.port, CallFaults(always=error_number)).calls
    fixture.loop.iterate(ITERATIONS)
    assert calls.count <= 1
    for _ in range(50):  # 1 s
        fixture.loop.advance(0.02)
        fixture.loop.iterate(ITERATIONS)
    assert 20 <= calls.count <= 60
    calls.always = None
    fixture.loop.advance(0.02)
    fixture.loop.iterate()
    assert len(fixture.factory.accepted) == 3
    assert all(still_open(client) for client in fixture.clients)


@pytest.mark.parametrize("error_number", SHORTAGE_ERRORS)
def test_failed_accepts_are_reported_once_a_second(listening, error_number):
    fixture = listening(1)
    inject_accept_faults(fixture.port, CallFaults(always=error_number))
    for _ in range(150):
        fixture.loop.iterate()
        fixture.loop.advance(0.02)
    assert 3 <= len(fixture.factory.failures) <= 4


def test_each_backoff_is_reported_even_if_its_failure_is_not(listening):
    fixture = listening(1)
    calls = inject_accept_faults(fixture.port, CallFaults(errno.ENFILE)).calls
    fixture.loop.iterate()
    fixture.loop.advance(0.02)
    fixture.loop.iterate()
    assert fixture.factory.backoffs == 1
    assert len(fixture.factory.accepted) == 1
    calls.always = errno.ENFILE
    for backoffs in range(2, 7):
        fixture.loop.iterate(ITERATIONS)
        assert fixture.factory.backoffs == backoffs
        assert len(fixture.factory.failures) == 1
        fixture.loop.advance(0.02)


@pytest.mark.parametrize("error_number", ABORTED_ERRORS)
def test_a_connection_that_was_aborted_in_the_accept_queue_does_not_delay_the_next(listening, error_number):
    fixture = listening(3)
    calls = inject_accept_faults(fixture.port, CallFaults(None, error_number, error_number)).calls
    fixture.loop.iterate()
    assert len(fixture.factory.accepted) == 3
    assert calls.failed == 2
    assert all(still_open(client) for client in fixture.clients)
    assert not fixture.factory.failures


@pytest.mark.parametrize("error_number", ABORTED_ERRORS)
def test_an_accept_queue_of_aborted_connections_does_not_stall_the_event_loop(listening, error_number):
    fixture = listening(1)
    calls = inject_accept_faults(fixture.port, CallFaults(always=error_number)).calls
    fixture.loop.iterate(ITERATIONS)
    assert calls.count <= 16
    calls.always = None
    fixture.loop.advance(0.02)
    fixture.loop.iterate()
    assert len(fixture.factory.accepted) == 1


def test_a_pause_and_a_backoff_end_independently(listening):
    fixture = listening(1)
    calls = inject_accept_faults(fixture.port, CallFaults(errno.ENFILE, errno.ENFILE)).calls
    fixture.loop.iterate()
    fixture.port.pauseProducing()
    fixture.loop.advance(0.02)
    fixture.loop.iterate()
    assert fixture.port not in fixture.loop.readers  # It is still paused, although the backoff is over.
    assert calls.count == 1
    fixture.port.resumeProducing()
    fixture.loop.iterate()
    fixture.port.pauseProducing()
    fixture.port.resumeProducing()
    fixture.loop.iterate(ITERATIONS)
    assert fixture.port not in fixture.loop.readers  # It still backs off, although the pause is over.
    assert calls.count == 2
    fixture.loop.advance(0.02)
    fixture.loop.iterate()
    assert len(fixture.factory.accepted) == 1


def test_a_port_accepts_only_while_it_neither_backs_off_nor_is_paused(listening):
    fixture = listening(1)
    inject_accept_faults(fixture.port, CallFaults(errno.ENFILE))
    assert fixture.port.is_accepting
    assert fixture.port.has_waiting_connections()
    fixture.loop.iterate()
    assert not fixture.port.is_accepting
    fixture.port.pauseProducing()
    fixture.loop.advance(0.02)
    assert not fixture.port.is_accepting
    assert fixture.port.has_waiting_connections()
    fixture.port.resumeProducing()
    fixture.loop.iterate()
    assert fixture.port.is_accepting
    assert not fixture.port.has_waiting_connections()


def test_a_port_that_closes_while_it_backs_off_stays_closed(listening):
    fixture = listening(0)
    inject_accept_faults(fixture.port, CallFaults(errno.ENFILE))
    fixture.loop.iterate()
    fixture.port.stopListening()
    fixture.loop.advance(0.0)
    assert not fixture.loop.getDelayedCalls()
    assert fixture.port not in fixture.loop.readers
    fixture.port = SimpleNamespace(socket=SimpleNamespace(close=lambda: None))


@pytest.mark.parametrize("error_number", [*SHORTAGE_ERRORS, *ABORTED_ERRORS])
def test_a_closing_port_accepts_the_whole_queue_although_some_accepts_fail(listening, error_number):
    fixture = listening(3)
    inject_accept_faults(fixture.port, CallFaults(error_number, None, error_number, error_number))
    fixture.port.stopListening()
    assert len(fixture.factory.accepted) == 3
    assert all(still_open(client) for client in fixture.clients)


# Opening the socket at the start ------------------------------------------------------------------


@pytest.fixture
def pauses(monkeypatch):
    slept = []
    monkeypatch.setattr(port_module, "time", SimpleNamespace(sleep=slept.append), raising=False)
    return slept


@pytest.mark.parametrize("error_number", SHORTAGE_ERRORS)
def test_a_short_lack_of_resources_does_not_end_the_start(error_number, pauses, monkeypatch):
    calls, make = CallFaults(error_number, error_number), BoundedPort.createInternetSocket
    monkeypatch.setattr(BoundedPort, "createInternetSocket", lambda port: calls.check() or make(port))
    port = listen(Loop(), "127.0.0.1", 0, RecordingFactory(), 50)
    assert port.getHost().port
    assert len(pauses) == 2
    port.socket.close()


@pytest.mark.parametrize(
    ("error_number", "tries"), [(errno.EADDRINUSE, 1), (errno.EACCES, 1), (errno.ENFILE, 25)]
)
def test_a_start_that_cannot_succeed_fails(error_number, tries, pauses, monkeypatch):
    calls = CallFaults(always=error_number)
    monkeypatch.setattr(BoundedPort, "createInternetSocket", lambda port: calls.check())
    with pytest.raises(CannotListenError):
        listen(Loop(), "127.0.0.1", 0, RecordingFactory(), 50)
    assert calls.count == tries


def test_a_socket_is_adopted_despite_a_short_lack_of_resources(pauses, monkeypatch):
    listening = socket.create_server(("127.0.0.1", 0))
    calls, make = CallFaults(errno.ENFILE), socket.fromfd
    monkeypatch.setattr(socket, "fromfd", lambda *where: calls.check() or make(*where))
    port = adopt(Loop(), listening.detach(), RecordingFactory())
    assert port.getHost().port
    assert len(pauses) == 1
    port.socket.close()


# A whole proxy ------------------------------------------------------------------------------------


@pytest.mark.parametrize("error_number", [*SHORTAGE_ERRORS, errno.ECONNABORTED])
def test_while_accepts_fail_connected_clients_are_served_and_new_ones_wait(error_number):
    proxy = Rig()
    try:
        inside = proxy.client(b"mn\r\n")
        proxy.receive_until(inside, b"MN")
        calls = inject_accept_faults(proxy.service._port, CallFaults(always=error_number)).calls
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


# Deadlines of requests that wait in the accept queue ----------------------------------------------

WAIT_MS = 300.0


@pytest.fixture
def backing_off(monkeypatch):
    """A proxy whose port, once it backs off, does so until the test ends the backoff."""
    monkeypatch.setattr(port_module, "ACCEPT_BACKOFF_S", 3600.0)
    proxy = Rig()
    yield proxy
    proxy.close()


def end_backoff(proxy):
    proxy.service._port._backoff.reset(0)


def sent_deadline_ms_after_waiting(proxy):
    """Return the deadline in ms that the origin gets for a request of 1900 ms that waited in the queue."""
    proxy.client(write(1, 1900))
    proxy.advance_clock(WAIT_MS)
    end_backoff(proxy)
    return int(re.search(rb"d=(\d+)", proxy.receive_until(proxy.origin.accept(), b"\r\n"))[1])


def test_a_request_that_waits_during_a_second_backoff_is_sent_with_its_remaining_time(backing_off):
    # If the port reported only one backoff a second, as it does with failures, the wait during a second one
    # would not be subtracted from the deadline.
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


def test_a_request_that_comes_late_in_a_backoff_is_sent_with_its_remaining_time(backing_off):
    # The periodic check finds the accept queue empty during the backoff. The wait of a request that comes
    # later in the same backoff must be subtracted from its deadline all the same.
    calls = inject_accept_faults(backing_off.service._port, CallFaults(None, errno.ENFILE)).calls
    backing_off.receive_until(backing_off.client(b"mn\r\n"), b"MN")
    backing_off.run_until(lambda: calls.failed == 1)
    backing_off.advance_clock(200)
    assert sent_deadline_ms_after_waiting(backing_off) <= 1900 - WAIT_MS
