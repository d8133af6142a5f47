"""Clients with connections in every state that a drain or a shutdown may meet, on real sockets of a `Rig`.

At every step, each client goes on with the behaviour that makes its state, until its connection ends. The
cache node answers after `ANSWER_MS`, and the start of a key decides how: `hang` is never answered, `long` has
a value that the proxy sends on while it arrives, `large` a value that the proxy sends in one piece.
"""

import contextlib
import itertools
import re
import socket
from collections import deque

from rig import reset

from cloverwell.front.client_connection import MAX_PIPELINED_COMMANDS

ANSWER_MS = 150.0  # the time after which the cache node answers
LONG_VALUE = b"v" * 3_000_000
SLOW_READ_BYTES = 4096
SMALL_BUFFER = 2048
REQUEST_COUNT = 200  # the number of requests that some clients send at once
LARGE_VALUE = b"x" * 60_000  # not long enough to be sent on while it arrives

ANSWER = re.compile(rb"(?:^|\n)(?:VA |HD |SERVER_ERROR busy \d|SERVER_ERROR failed)")
_ids = itertools.count(1)


def read(key="k", wait_ms=1900):
    """Returns a read command with an id of its own, and that id."""
    name = f"r{next(_ids)}"
    return f"mg {key}{name} v O{name} Pc=page,t=acme,d={wait_ms}\r\n".encode(), name


def write(key="k", wait_ms=1900):
    """Returns a write command with an id of its own, and that id."""
    name = f"r{next(_ids)}"
    return f"ms {key}{name} 1 O{name} Pc=order,t=acme,d={wait_ms}\r\na\r\n".encode(), name


class NodeDriver:
    """Drives the cache node of a rig, which answers, and the origin, which only accepts connections."""

    def __init__(self, rig):
        self._rig = rig
        self._buffers = {}
        self._due = deque()  # (time in ms, connection, bytes) of the answers that are not due yet
        self._unsent = {}

    def step(self):
        """Reads the commands that have come, and sends the answers that are due."""
        (node,) = self._rig.nodes
        for server in (node, self._rig.origin):
            while server.accept_nowait() is not None:
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
    """One client; each subclass makes one state. `received` has the bytes that the client has read."""

    reads = True  # whether the client reads at once what is sent to it
    may_lose = False  # whether a part of the answers may be lost when the connection is closed
    may_reset = False  # whether the connection may end with a reset
    receive_buffer = 0  # the size of the socket's receive buffer in bytes; 0 for the default
    is_accepted = True  # whether the test waits until the connection is accepted

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
        """Goes on with the behaviour that makes the state; `now` is the time in ms."""

    def send(self, data):
        """Sends as much as the connection accepts, and nothing if the connection has ended."""
        with contextlib.suppress(OSError):
            self.conn.send(data)

    def read_some(self, max_bytes=1 << 20):
        """Reads up to `max_bytes` of what has come."""
        if self.eof or self.was_reset:
            return
        try:
            data = self.conn.recv(max_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.was_reset = True
            return
        self.received += data
        self.eof = not data

    def advance(self, now):
        """Reads, if the client does, and takes one step of its behaviour."""
        if self.reads:
            self.read_some()
        if not (self.eof or self.was_reset):
            self.step(now)
        elif self.reads and self.conn.fileno() >= 0:
            self.conn.close()

    def answer_count(self):
        """Returns how many requests were answered, without the answers to probes and malformed commands."""
        return len(ANSWER.findall(self.received))


class Idle(Client):
    """Sends a probe, and then nothing."""

    def begin(self):
        self.send(b"mn\r\n")


class New(Client):
    """Never sends anything."""


class ClosedLoop(Client):
    """Sends its next request as soon as the last one is answered."""

    def begin(self):
        self.request_count = 0

    def step(self, now):
        if self.answer_count() == self.request_count:
            self.send(read()[0])
            self.request_count += 1


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
    """Sends its next request shortly before the last one is answered."""

    interval_ms = 140.0


class OverlappingAHang(Overlapping):
    """Sends a first request that is never answered, behind which the answers to the others wait."""

    def begin(self):
        super().begin()
        self.send(write("hang", 30_000)[0])


class PipelineCap(Client):
    """Sends more commands than the proxy reads while none is answered."""

    command_count = MAX_PIPELINED_COMMANDS + 20

    def begin(self):
        commands = [write("hang", 30_000)[0] for _ in range(self.command_count)]
        self.send(b"".join(commands[:MAX_PIPELINED_COMMANDS]))
        self.rig.run_iterations()
        self.send(b"".join(commands[MAX_PIPELINED_COMMANDS:]))  # These stay unread in the kernel.


class HalfCommand(Client):
    def begin(self):
        self.send(b"mg k v Oz Pc=pa")


class HalfValue(Client):
    def begin(self):
        self.send(b"ms k 5000 Oz Pc=order,t=acme,d=1500\r\nab")


class DrippingCommand(Client):
    """Sends a command one byte at a time, and never completes it."""

    def begin(self):
        self.send(b"mg k v Oz Pc=page,t=acme,d=1500")
        self.next_ms = 0.0

    def step(self, now):
        if now >= self.next_ms:
            self.send(b"0")
            self.next_ms = now + 100.0


class Malformed(Client):
    """Sends malformed commands, and a valid one now and then so that there are never too many in a row."""

    def begin(self):
        self.count = 0

    def step(self, now):
        self.count += 1
        self.send(b"mn\r\n" if self.count % 20 == 0 else b"no\r\n")


class Probing(Client):
    """Sends a probe at every step, which asks whether the process serves."""

    def step(self, now):
        self.send(b"mn\r\n")


class NotReading(Client):
    """Sends many requests at once and reads no answer; the kernel's buffers hold all answers."""

    reads = False
    receive_buffer = SMALL_BUFFER

    def begin(self):
        self.send(b"".join(read()[0] for _ in range(REQUEST_COUNT)))


class NotReadingMuch(NotReading):
    """Sends many requests at once and reads no answer; the answers exceed the kernel's buffers."""

    may_lose = True

    def begin(self):
        self.send(b"".join(read("large")[0] for _ in range(REQUEST_COUNT)))


class NotReadingAndSending(NotReading):
    """Reads no answer and goes on sending requests; one sent after the close resets the connection."""

    may_lose = may_reset = True

    def step(self, now):
        self.send(read()[0])


class Hanging(Client):
    """Sends one request that is never answered."""

    def begin(self):
        self.send(write("hang", 30_000)[0])


class SlowReader(Client):
    """Requests a long value, and reads it slowly."""

    reads = False
    receive_buffer = SMALL_BUFFER

    def begin(self):
        self.send(read("long")[0])

    def step(self, now):
        self.read_some(SLOW_READ_BYTES)


class NoReader(Client):
    """Requests a long value, and reads nothing of it."""

    reads = False
    may_lose = True
    receive_buffer = SMALL_BUFFER

    def begin(self):
        self.send(read("long")[0])


class Flood(Client):
    """Sends requests without pause, so that the proxy always has unread bytes."""

    may_lose = may_reset = True

    def begin(self):
        self.data = b"".join(read()[0] for _ in range(500))

    def step(self, now):
        self.send(self.data)


class Staying(Idle):
    """Sends a probe, and never closes its side."""

    def advance(self, now):
        self.read_some()


class Crowding(Staying):
    """Connects, as one of many at once, and sends nothing."""

    is_accepted = False

    def begin(self):
        pass


class LostFraming(Client):
    """Sends a request that is never answered, and then bytes that can't be divided into commands."""

    def begin(self):
        self.send(write("hang", 30_000)[0] + b"ms k x\r\n")


class HalfClosed(Client):
    """Sends a request and closes its sending side, which the proxy takes for a disconnect."""

    may_lose = may_reset = True

    def begin(self):
        self.send(read()[0])
        self.conn.shutdown(socket.SHUT_WR)


class Reset(Client):
    """Resets its connection while its request is open."""

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
