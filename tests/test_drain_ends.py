"""A real process that is drained closes all clients' connections within 4 s, whatever the clients do.

The process measures the 4 s by its own clock: at their end it logs the connections that are still open. By
then the clients must have seen the end of their connections.
"""

import contextlib
import socket
import threading
import time

import pytest
from rig import write

from cloverwell.serving import KILL_DELAY_MS, MAX_COUNTED_DEADLINE_MS
from lab.processes import PATIENCE_S, CacheNodeHandler, ProxyFixture

ANSWER_DELAY_S = 0.15  # of the cache node; longer than the time between two requests of a client
REQUEST_INTERVALS_S = (0.02, 0.1, 0.14)  # Each request is sent before the one before it is answered.
UNREAD_REQUESTS = 200  # requests whose responses the client does not read
RECEIVE_BUFFER_BYTES = 2048  # small, so that most responses stay in the proxy


class SlowCacheNodeHandler(CacheNodeHandler):
    """A cache node that answers each get after `ANSWER_DELAY_S`."""

    def handle(self):
        for line in self.rfile:
            time.sleep(ANSWER_DELAY_S)
            opaque_flag = next(word for word in line.split() if word.startswith(b"O"))
            with contextlib.suppress(OSError):
                self.wfile.write(b"VA %d %s\r\n%s\r\n" % (len(opaque_flag), opaque_flag, opaque_flag))


@pytest.fixture
def place(tmp_path):
    made = ProxyFixture(tmp_path)
    made.node.RequestHandlerClass = SlowCacheNodeHandler
    yield made
    made.close()


def read(number):
    return f"mg k{number} v O{number} Pc=page,t=acme,d=1900\r\n".encode()


class OverlappingClient:
    """Sends its next request before the last one is answered, until its connection ends."""

    def __init__(self, address, name, interval_s):
        self.sent = self.answered = 0
        self.ended = threading.Event()
        self._name = name
        self._interval_s = interval_s
        self._conn = socket.create_connection(address, PATIENCE_S)
        self._conn.settimeout(PATIENCE_S)
        self._threads = [threading.Thread(target=run, daemon=True) for run in (self._send, self._read)]
        for thread in self._threads:
            thread.start()

    def _send(self):
        with contextlib.suppress(OSError):
            while not self.ended.is_set():
                self._conn.sendall(read(f"{self._name}x{self.sent}"))
                self.sent += 1
                time.sleep(self._interval_s)

    def _read(self):
        with contextlib.suppress(OSError), self._conn.makefile("rb") as stream:
            for line in stream:
                self.answered += line.startswith((b"VA ", b"SERVER_ERROR "))
        self.ended.set()
        self._conn.close()


def drain(process):
    """Drains the process, and returns the line that it logs when the drain should be over."""
    assert process.call("PUT", "/drain") == 200
    process.wait_for_log(" held: ")
    return next(line for line in process.log.read_text().splitlines() if " held: " in line)


def test_a_client_that_pipelines_its_requests_is_disconnected_by_a_drain(place):
    process = place.start().ready()
    clients = [
        OverlappingClient(place.listen, n, interval_s) for n, interval_s in enumerate(REQUEST_INTERVALS_S)
    ]
    process.wait_for_log("taken=")
    held = drain(process)
    assert held.endswith("no client connection is open")
    assert all(client.ended.wait(PATIENCE_S) for client in clients)
    # The last request may have crossed the close of its connection, so only a lack of any answer is an error.
    assert all(client.answered for client in clients)


def test_a_client_that_reads_no_responses_is_disconnected_by_a_drain(place):
    process = place.start().ready()
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        conn.connect(place.listen)
        conn.sendall(b"".join(read(number) for number in range(UNREAD_REQUESTS)))
        process.wait_for_log("taken=")
        assert drain(process).endswith("no client connection is open")


def test_a_process_that_stops_exits_before_it_is_killed_although_a_client_stays_connected(rig):
    # The client's write is never answered, and the client neither reads nor closes its connection.
    proxy = rig()
    longest_ms = max(cls.deadline_ms for cls in proxy.service.facade.settings.classes)
    kill_ms = proxy.now() + min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    proxy.client(write(1, 30_000))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k1 ")
    proxy.service.stop()
    while proxy.now() < kill_ms and not proxy.reactor.stopped:
        proxy.advance_clock(5)
    assert proxy.reactor.stopped
