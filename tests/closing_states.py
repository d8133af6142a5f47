"""Clients' connections in every state that a drain or a shutdown may meet, on the real sockets of a `Rig`.

Each client goes on with what makes its state, at every step, until its connection ends. The cache node
answers after a while, and a key says what else becomes of its request: `hang` is never answered, `long` has a
value that is passed on while it comes.
"""

import contextlib
import itertools
import re
import socket
from collections import deque

from rig import reset

from cloverwell.front.client_connection import MAX_PIPELINED_COMMANDS, ClientConnection

ANSWER_MS = 150.0  # of the cache node
LONG_VALUE = b"v" * 3_000_000
SLOW_READ_BYTES = 4096
SMALL_BUFFER = 2048
MANY = 200  # requests at once
LARGE_VALUE = b"x" * 60_000  # not passed on while it comes: it is kept, and written at once

ANSWER = re.compile(rb"(?:^|\n)(?:VA |HD |SERVER_ERROR busy \d|SERVER_ERROR failed)")
_ids = itertools.count(1)


def read(key="k", wait_ms=1900):
    """A read under an id of its own, and that id."""
    name = f"r{next(_ids)}"
    return f"mg {key}{name} v O{name} Pc=page,t=acme,d={wait_ms}\r\n".encode(), name


def write(key="k", wait_ms=1900):
    """A write, and its id."""
    name = f"r{next(_ids)}"
    return f"ms {key}{name} 1 O{name} Pc=order,t=acme,d={wait_ms}\r\na\r\n".encode(), name


class NodeDriver:
    """Answers at the cache node of a rig; the origin takes all and answers nothing."""

    def __init__(self, rig):
        self._rig = rig
        self._buffers = {}
        self._due = deque()  # when, connection, bytes
        self._unsent = {}

    def step(self):
        """Reads what has come, and answers what is due."""
        (node,) = self._rig.nodes
        for taker in (node, self._rig.origin):
            while taker.accept_nowait() is not None:
                pass
        for conn in node.accepted:
            self._read(conn)
        while self._due and self._due[0][0] <= self._rig.now():
            _, conn, data = self._due.popleft()
            self._unsent[conn] = self._unsent.get(conn, b"") + data
        for conn, data in self._unsent.items():
            with contextlib.suppress(OSError):
                self._unsent[conn] = data[conn.send(data) :] if data else data

    def _read(self, conn):
        with contextlib.suppress(OSError):
            self._buffers[conn] = self._buffers.get(conn, b"") + conn.recv(1 << 16)
        *lines, self._buffers[conn] = self._buffers.get(conn, b"").split(b"\r\n")
        for line in lines:
            words = line.decode().split()
            if words and words[0] == "mg" and not words[1].startswith("hang"):
                name = next(word[1:] for word in words if word.startswith("O"))
                value = LONG_VALUE if words[1].startswith("long") else name.encode()
                value = LARGE_VALUE if words[1].startswith("large") else value
                answer = f"VA {len(value)} O{name}\r\n".encode() + value + b"\r\n"
                self._due.append((self._rig.now() + ANSWER_MS, conn, answer))


class Client:
    """One client; a subclass is one state. `received` are the bytes that it has read."""

    reads = True  # what is sent to it, at once
    may_lose = False  # a part of what was sent to it may be dropped at the end
    may_reset = False
    receive_buffer = 0
    is_accepted = True  # before anything else happens

    def __init__(self, rig):
        self.rig = rig
        self.received = b""
        self.eof = self.was_reset = False
        self.conn = socket.socket()
        if self.receive_buffer:
            self.conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.conn.connect(rig.address)
        self.conn.setblocking(False)
        rig.client_sockets.append(self.conn)
        if self.is_accepted:
            rig.run_iterations()
        self.peer = "{}:{}".format(*self.conn.getsockname())
        self.begin()
        if self.is_accepted:
            rig.run_iterations()

    def begin(self):
        """Brings the connection into its state."""

    def step(self, now):
        """Goes on with it."""

    def send(self, data):
        """Sends what fits; a connection that has ended takes nothing."""
        with contextlib.suppress(OSError):
            self.conn.send(data)

    def read_some(self, most=1 << 20):
        """Reads what has come."""
        if self.eof or self.was_reset:
            return
        try:
            data = self.conn.recv(most)
        except BlockingIOError:
            return
        except OSError:
            self.was_reset = True
            return
        self.received += data
        self.eof = not data

    def advance(self, now):
        """One step: the client's own, and reading."""
        if self.reads:
            self.read_some()
        if not (self.eof or self.was_reset):
            self.step(now)
        elif self.reads and self.conn.fileno() >= 0:
            self.conn.close()

    def answers(self):
        """How many requests were answered; what a question or a malformed command got does not count."""
        return len(ANSWER.findall(self.received))


class Idle(Client):
    def begin(self):
        self.send(b"mn\r\n")


class New(Client):
    """Never sends anything."""


class ClosedLoop(Client):
    """Sends its next request as soon as the last one is answered."""

    def begin(self):
        self.asked = 0

    def step(self, now):
        if self.answers() == self.asked:
            self.send(read()[0])
            self.asked += 1


class Overlapping(Client):
    """Sends its next request before the last one is answered."""

    interval_ms = 20.0
    key = "k"

    def begin(self):
        self.next_ms = 0.0

    def step(self, now):
        if now >= self.next_ms:
            self.send(read(self.key)[0])
            self.next_ms = now + self.interval_ms


class OverlappingSlowly(Overlapping):
    interval_ms = 140.0


class OverlappingAHang(Overlapping):
    """Its first request is never answered, and the others wait behind it."""

    def begin(self):
        super().begin()
        self.send(write("hang", 30_000)[0])


class PipelineCap(Client):
    """More commands than are read while none is answered."""

    sent = MAX_PIPELINED_COMMANDS + 20

    def begin(self):
        commands = [write("hang", 30_000)[0] for _ in range(self.sent)]
        self.send(b"".join(commands[:MAX_PIPELINED_COMMANDS]))
        self.rig.run_iterations()
        self.send(b"".join(commands[MAX_PIPELINED_COMMANDS:]))  # these stay in the kernel


class HalfCommand(Client):
    def begin(self):
        self.send(b"mg k v Oz Pc=pa")


class HalfValue(Client):
    def begin(self):
        self.send(b"ms k 5000 Oz Pc=order,t=acme,d=1500\r\nab")


class DrippingCommand(Client):
    """A byte now and then."""

    def begin(self):
        self.send(b"mg k v Oz Pc=page,t=acme,d=1500")
        self.next_ms = 0.0

    def step(self, now):
        if now >= self.next_ms:
            self.send(b"0")
            self.next_ms = now + 100.0


class Malformed(Client):
    """Malformed commands, with a good one now and then so that they are never too many in a row."""

    def begin(self):
        self.count = 0

    def step(self, now):
        self.count += 1
        self.send(b"mn\r\n" if self.count % 20 == 0 else b"no\r\n")


class Probing(Client):
    """Asks whether the process serves, all the time."""

    def step(self, now):
        self.send(b"mn\r\n")


class NotReading(Client):
    """Many requests at once, whose answers it does not read; the kernel takes them."""

    reads = False
    receive_buffer = SMALL_BUFFER

    def begin(self):
        self.send(b"".join(read()[0] for _ in range(MANY)))


class NotReadingMuch(NotReading):
    """The same with more than the kernel takes."""

    may_lose = True

    def begin(self):
        self.send(b"".join(read("large")[0] for _ in range(MANY)))


class NotReadingAndSending(NotReading):
    """The same, and it goes on asking: what it sends behind the close resets the connection."""

    may_lose = may_reset = True

    def step(self, now):
        self.send(read()[0])


class Hanging(Client):
    """One request that is never answered."""

    def begin(self):
        self.send(write("hang", 30_000)[0])


class SlowReader(Client):
    """Reads a long value slowly."""

    reads = False
    receive_buffer = SMALL_BUFFER

    def begin(self):
        self.send(read("long")[0])

    def step(self, now):
        self.read_some(SLOW_READ_BYTES)


class NoReader(Client):
    """Asks for a long value, and reads nothing of it."""

    reads = False
    may_lose = True
    receive_buffer = SMALL_BUFFER

    def begin(self):
        self.send(read("long")[0])


class Flood(Client):
    """Sends without pause: something is always unread."""

    may_lose = may_reset = True

    def begin(self):
        self.data = b"".join(read()[0] for _ in range(500))

    def step(self, now):
        self.send(self.data)


class Staying(Idle):
    """Never closes its side."""

    def advance(self, now):
        self.read_some()


class Crowding(Staying):
    """One of many that come at once and say nothing."""

    is_accepted = False

    def begin(self):
        pass


class LostFraming(Client):
    """A request that is never answered, and behind it what can't be cut into commands."""

    def begin(self):
        self.send(write("hang", 30_000)[0] + b"ms k x\r\n")


class HalfClosed(Client):
    """Closes its sending side behind a request, which counts as gone."""

    may_lose = may_reset = True

    def begin(self):
        self.send(read()[0])
        self.conn.shutdown(socket.SHUT_WR)


class Reset(Client):
    """Resets its connection in the middle of a request."""

    may_lose = may_reset = True

    def begin(self):
        self.send(read("hang", 30_000)[0])
        self.rig.run_iterations()
        reset(self.conn)
        self.was_reset = True

    def advance(self, now):
        pass


STATES = [
    Idle, New, ClosedLoop, Overlapping, OverlappingSlowly, OverlappingAHang, PipelineCap, HalfCommand,
    HalfValue, DrippingCommand, Malformed, Probing, NotReading, NotReadingMuch, NotReadingAndSending, Hanging,
    SlowReader, NoReader, Flood, Staying, LostFraming, HalfClosed, Reset,
]  # fmt: skip


class Record:
    """What the proxy has read on each connection, and when it was closed."""

    def __init__(self, rig, monkeypatch):
        self.read = {}  # by the client's address
        self.closed_ms = {}
        self.accepted_ms = {}
        real_request, real_lost = ClientConnection.request_received, ClientConnection.connectionLost
        real_made = ClientConnection.connectionMade

        def made(connection):
            self.accepted_ms[connection.peer] = rig.now()
            real_made(connection)

        def request_received(connection, fields, write, value):
            self.read.setdefault(connection.peer, []).append(fields.id)
            real_request(connection, fields, write, value)

        def lost(connection, *reason):
            self.closed_ms.setdefault(connection.peer, rig.now())
            real_lost(connection, *reason)

        monkeypatch.setattr(ClientConnection, "connectionMade", made)
        monkeypatch.setattr(ClientConnection, "request_received", request_received)
        monkeypatch.setattr(ClientConnection, "connectionLost", lost)
