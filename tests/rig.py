"""A whole proxy on real sockets, one turn of its loop at a time: the crossing of two events is forced.

The proxy runs in this process on a reactor of its own, which turns only when `run_iterations` or `run_until`
is called; what the test does in between happens at one instant for the proxy. Its neighbours are plain
sockets in the test's hands. `advance_clock` moves its clock on without waiting.
"""

import contextlib
import io
import socket
import struct
import time

from twisted.internet.epollreactor import EPollReactor

from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.front.port import listen
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from cloverwell.timer_wheel import monotonic_ms
from lab.proxy_testbed import SETTINGS

WAIT_TIMEOUT_S = 5.0
RESET = struct.pack("ii", 1, 0)


class Reactor(EPollReactor):
    """Stopped, it closes what is left open, as the end of the program does."""

    stopped = closed = False

    def stop(self):
        self.stopped = True

    def finish(self):
        if not self.closed:
            self.closed = True
            self.disconnectAll()

    def installWaker(self):
        """No other thread calls."""


def reset(conn):
    """Closes it with a reset instead of an end."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()


def read(number, wait_ms=2000, cls="page"):
    return f"mg k{number} v O{number} Pc={cls},t=acme,d={wait_ms}\r\n".encode()


def write(number, wait_ms=2000, cls="order", value=b"a"):
    head = f"ms k{number} {len(value)} O{number} Pc={cls},t=acme,d={wait_ms}\r\n"
    return head.encode() + value + b"\r\n"


class Node:
    """A node, the origin or discovery: connections are taken when the test says so."""

    def __init__(self, rig, backlog=64):
        self.rig = rig
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(backlog)
        self.listening.setblocking(False)
        self.address = self.listening.getsockname()
        self.accepted = []
        self.queue_fillers = set()  # who fills the queue

    def accept(self):
        """The next connection of the proxy."""
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
        """Fills the queue, so that connections don't come up; the list of what must be closed to let them."""
        held = []
        for _ in range(8):
            conn = socket.socket()
            conn.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                conn.connect(self.address)
            held.append(conn)
            self.queue_fillers.add(conn.getsockname())
        self.rig.client_sockets += held
        return held

    def close(self):
        for conn in [*self.accepted, self.listening]:
            conn.close()


class Rig:
    def __init__(self, nodes=1, settings=SETTINGS, sockets=256, backlog=64):
        self.clock_offset_ms = 0.0
        self.client_sockets = []
        self.reactor = Reactor()
        self.origin, self.discovery = Node(self), Node(self)
        self.nodes = [Node(self, backlog) for _ in range(nodes)]
        members = [Endpoint(f"s{n}", "{}:{}".format(*node.address)) for n, node in enumerate(self.nodes, 1)]
        members.append(Endpoint("origin", "{}:{}".format(*self.origin.address), flavor="origin"))
        self.log = io.StringIO()
        known = EndpointList(41, True, members)
        told = (self.discovery.address, 1, Limits(sockets=sockets), known, read_settings(settings))
        config = Config("p", ("127.0.0.1", 0), *told)
        self.service = Proxy(self.reactor, config, Log(self.now, self.log), self.now, lambda: -1.0e9)
        self.service.start(listen)
        self.address = ("127.0.0.1", self.service._port.getHost().port)

    def now(self):
        return monotonic_ms() + self.clock_offset_ms

    def advance_clock(self, ms):
        """The proxy's clock moves on, and what is due by then is done."""
        end = self.clock_offset_ms + ms
        while self.clock_offset_ms < end:  # a tick of the wheel at a time, as in life
            self.clock_offset_ms = min(end, self.clock_offset_ms + 5.0)
            self.run_iterations(1)
        self.run_iterations()

    def stall(self, ms):
        """The loop is held up for so long: then its timers come first, before what has come is read."""
        self.clock_offset_ms += ms
        time.sleep(0.01)  # the reactor's own clock has to reach the wheel's next tick

    def run_iterations(self, times=3):
        for _ in range(times):
            self.reactor.runUntilCurrent()
            if self.reactor.stopped:
                self.reactor.finish()
            elif self.reactor._selectables:
                self.reactor.doIteration(0.002)

    def run_until(self, what, complaint="it did not happen"):
        """Turns until `what` gives something, and hands that over."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end:
            if got := what():
                return got
            self.run_iterations(1)
        raise AssertionError(f"{complaint}\n{self.log.getvalue()}")

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
        """Turns until so many of the wanted bytes have come, and hands over all that came."""
        data = b""

        def more():
            nonlocal data
            with contextlib.suppress(BlockingIOError):
                data += conn.recv(1 << 20)
            return data.count(wanted) >= times

        self.run_until(more, f"{wanted!r} did not come")
        return data

    def receive_to_end(self, conn):
        """What still came before the proxy's end of the connection; a reset counts as one, behind `RESET`."""
        data = b""

        def end():
            nonlocal data
            try:
                piece = conn.recv(1 << 20)
            except BlockingIOError:
                return None
            except ConnectionResetError:
                return data + b"RESET"
            data += piece
            return None if piece else data + b"END"

        return self.run_until(end, "it was not closed")

    def close(self):
        for conn in self.client_sockets:
            conn.close()
        for node in [*self.nodes, self.origin, self.discovery]:
            node.close()
        self.reactor.finish()
        self.reactor._poller.close()
