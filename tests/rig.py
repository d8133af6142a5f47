"""Runs a whole proxy on real sockets, one event-loop iteration at a time, so that tests can force races.

The proxy runs in this process on a reactor of its own, which iterates only when the test calls
`run_iterations` or `run_until`. All that the test does between two calls happens at one instant for the
proxy. The clients, cache nodes, origin and discovery are plain sockets that the test reads and writes.
`advance_clock` moves the proxy's clock forward without waiting.
"""

import contextlib
import io
import socket
import struct
import time

from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.front.port import listen
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.monotonic_reactor import MonotonicReactor
from cloverwell.proxy import Proxy
from cloverwell.timer_wheel import monotonic_ms
from lab.proxy_testbed import SETTINGS

WAIT_TIMEOUT_S = 5.0  # real time after which `run_until` fails the test
RESET_LINGER = struct.pack("ii", 1, 0)  # the SO_LINGER value with which a close sends a reset


class Reactor(MonotonicReactor):
    """A reactor that closes all open connections when it is stopped, as the end of the program does."""

    stopped = closed = False

    def stop(self):
        self.stopped = True

    def close_connections(self):
        if not self.closed:
            self.closed = True
            self.disconnectAll()

    def installWaker(self):
        """Install no waker, since no other thread calls the reactor."""


def reset(conn):
    """Closes a connection with a TCP reset instead of an orderly close."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    conn.close()


def read(number, wait_ms=2000, cls="page"):
    """Returns the command of a read of key kNUMBER, whose id is the number."""
    return f"mg k{number} v O{number} Pc={cls},t=acme,d={wait_ms}\r\n".encode()


def write(number, wait_ms=2000, cls="order", value=b"a"):
    """Returns the command of a write to key kNUMBER, whose id is the number."""
    head = f"ms k{number} {len(value)} O{number} Pc={cls},t=acme,d={wait_ms}\r\n"
    return head.encode() + value + b"\r\n"


class Node:
    """A cache node, the origin or discovery, whose connections are accepted when the test says so."""

    def __init__(self, rig, backlog=64):
        self.rig = rig
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(backlog)
        self.listening.setblocking(False)
        self.address = self.listening.getsockname()
        self.accepted = []
        self.queue_fillers = set()  # the addresses of the connections that fill the accept queue

    def accept(self):
        """Waits for the next connection of the proxy and returns it."""
        return self.rig.run_until(self.accept_nowait, "no connection came")

    def accept_nowait(self):
        try:
            conn, peer = self.listening.accept()
        except BlockingIOError:
            return None
        if peer in self.queue_fillers:
            conn.close()
            return self.accept_nowait()
        conn.setblocking(False)
        self.accepted.append(conn)
        return conn

    def fill_accept_queue(self):
        """Fills the accept queue, so that new connections are not established.

        Returns the connections that fill it; they are established again once these are closed.
        """
        fillers = []
        for _ in range(8):
            conn = socket.socket()
            conn.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                conn.connect(self.address)
            fillers.append(conn)
            self.queue_fillers.add(conn.getsockname())
        self.rig.client_sockets += fillers
        return fillers

    def close(self):
        for conn in [*self.accepted, self.listening]:
            conn.close()


class Rig:
    """A proxy with its cache nodes, origin, discovery and clients, on loopback sockets."""

    def __init__(self, nodes=1, settings=SETTINGS, sockets=256, backlog=64):
        self.clock_offset_ms = 0.0
        self.stopped_at_ms = None  # the machine's clock when the proxy's clock was stopped
        self.client_sockets = []
        self.reactor = Reactor()
        self.origin, self.discovery = Node(self), Node(self)
        self.nodes = [Node(self, backlog) for _ in range(nodes)]
        endpoints = [Endpoint(f"s{n}", "{}:{}".format(*node.address)) for n, node in enumerate(self.nodes, 1)]
        endpoints.append(Endpoint("origin", "{}:{}".format(*self.origin.address), flavor="origin"))
        self.log = io.StringIO()
        known = EndpointList(41, True, endpoints)
        config_fields = (self.discovery.address, 1, Limits(sockets=sockets), known, read_settings(settings))
        config = Config("p", ("127.0.0.1", 0), *config_fields)
        self.service = Proxy(self.reactor, config, Log(self.now, self.log), self.now, lambda: -1.0e9)
        self.service.start(listen)
        self.address = ("127.0.0.1", self.service._port.getHost().port)

    def now(self):
        return (monotonic_ms() if self.stopped_at_ms is None else self.stopped_at_ms) + self.clock_offset_ms

    def stop_clock(self):
        """Lets the proxy's clock stand still but for `advance_clock`, however long the test takes."""
        self.stopped_at_ms = monotonic_ms()

    def advance_clock(self, ms):
        """Moves the proxy's clock forward and runs all timers that come due."""
        end = self.clock_offset_ms + ms
        while self.clock_offset_ms < end:  # one tick of the timer wheel at a time, as in real operation
            self.clock_offset_ms = min(end, self.clock_offset_ms + 5.0)
            self.run_iterations(1)
        self.run_iterations()

    def stall(self, ms):
        """Stalls the event loop: its next iteration runs the due timers before it reads what has come."""
        self.clock_offset_ms += ms
        time.sleep(0.01)  # The reactor's own clock has to reach the timer wheel's next tick.

    def run_iterations(self, times=3):
        for _ in range(times):
            self.reactor.runUntilCurrent()
            if self.reactor.stopped:
                self.reactor.close_connections()
            elif self.reactor._selectables:
                self.reactor.doIteration(0.002)

    def run_until(self, condition, failure_text="it did not happen"):
        """Runs iterations until `condition` returns a true value, and returns that value."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end:
            if result := condition():
                return result
            self.run_iterations(1)
        raise AssertionError(f"{failure_text}\n{self.log.getvalue()}")

    def client(self, data=b""):
        conn = socket.create_connection(self.address)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.setblocking(False)
        self.client_sockets.append(conn)
        if data:
            conn.sendall(data)
            self.run_iterations()
        return conn

    def receive_until(self, conn, wanted, times=1):
        """Runs iterations until `wanted` has come `times` times, and returns all bytes that came."""
        data = b""

        def has_enough():
            nonlocal data
            with contextlib.suppress(BlockingIOError):
                data += conn.recv(1 << 20)
            return data.count(wanted) >= times

        self.run_until(has_enough, f"{wanted!r} did not come")
        return data

    def receive_to_end(self, conn):
        """Runs iterations until the proxy ends the connection.

        Returns the bytes that still came, with END or, for a reset, RESET appended.
        """
        data = b""

        def read_to_end():
            nonlocal data
            try:
                received = conn.recv(1 << 20)
            except BlockingIOError:
                return None
            except ConnectionResetError:
                return data + b"RESET"
            data += received
            return None if received else data + b"END"

        return self.run_until(read_to_end, "it was not closed")

    def close(self):
        for conn in self.client_sockets:
            conn.close()
        for node in [*self.nodes, self.origin, self.discovery]:
            node.close()
        self.reactor.close_connections()
        self.reactor._poller.close()
