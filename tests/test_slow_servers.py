"""A server that is slow for one request costs it neither its long value nor its final answer in time.

Real processes: a cache node that writes a long value in pieces for longer than the deadline, an origin that
takes a large write a few kilobytes a second, and a new node at the address of one that was killed.
"""

import contextlib
import json
import os
import socket
import struct
import threading
import time

import pytest

from lab.processes import PATIENCE_S, ProxyFixture

DEADLINE_MS = 2000
LATE_S = 0.5  # an answer may come so late beyond its deadline
VALUE_BYTES = 400_000
PIECES = 20
PIECE_PAUSE_S = 0.2  # all pieces take twice the deadline
WRITE_BYTES = 60_000
READ_BYTES_PER_S = 5000
RESET_LINGER = struct.pack("ii", 1, 0)  # with it a close sends a reset, as the end of a process does


class Server:
    """A server whose connections are handled by `handle`, a thread each; `stop` resets them all."""

    def __init__(self, handle, port=0, receive_buffer=0):
        self.handle = handle
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listening.bind(("127.0.0.1", port))
        self.listening.listen(64)
        self.address = self.listening.getsockname()
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self.listening.accept()
                self.connections.append(conn)
                threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn):
        with contextlib.suppress(OSError, StopIteration):
            self.handle(conn)

    def stop(self):
        with contextlib.suppress(OSError):
            self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        for conn in self.connections:
            with contextlib.suppress(OSError):
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                os.close(conn.detach())  # `close` would wait for the file that reads from it


def reads_of(conn):
    """The words of each read that comes."""
    for line in conn.makefile("rb"):
        yield line.decode().split()


def opaque_of(words):
    return next(word for word in words if word.startswith("O"))


def write_slowly(conn):
    for words in reads_of(conn):
        conn.sendall(f"VA {VALUE_BYTES} {opaque_of(words)}\r\n".encode())
        for _ in range(PIECES):
            time.sleep(PIECE_PAUSE_S)
            conn.sendall(b"v" * (VALUE_BYTES // PIECES))
        conn.sendall(b"\r\n")


def read_slowly(conn):
    while conn.recv(READ_BYTES_PER_S // 10):
        time.sleep(0.1)


def refuse_all(conn):
    conn.close()


@pytest.fixture
def start(tmp_path):
    """Returns a function that starts a proxy before these servers, by their ids."""
    started = []

    def start_proxy(servers):
        fixture = ProxyFixture(tmp_path)
        config = json.loads(fixture.config.read_text())
        config["known"]["members"] = [
            {"id": name, "host_port": "{}:{}".format(*server.address), "flavor": flavor}
            for name, (server, flavor) in servers.items()
        ]
        fixture.config.write_text(json.dumps(config))
        started.append(fixture)
        started.extend(server for server, _ in servers.values())
        fixture.start().ready()
        return fixture

    yield start_proxy
    for one in started:
        getattr(one, "close", None) and one.close() if isinstance(one, ProxyFixture) else one.stop()


def ask(fixture, command, timeout_s=PATIENCE_S):
    """Returns the answer to one command on a new connection, with its value, and the time it took."""
    began_s = time.monotonic()
    with socket.create_connection(fixture.listen, timeout_s) as conn:
        conn.sendall(command)
        stream = conn.makefile("rb")
        answer = stream.readline()
        if answer.startswith(b"VA "):
            answer += stream.read(int(answer.split()[1]) + 2)
        return answer, time.monotonic() - began_s


def read(name):
    return f"mg k{name} v O{name} Pc=page,t=acme,d={DEADLINE_MS}\r\n".encode()


def write(name, cls):
    head = f"ms k{name} {WRITE_BYTES} O{name} Pc={cls},t=acme,d={DEADLINE_MS},k=a{name}\r\n"
    return head.encode() + b"w" * WRITE_BYTES + b"\r\n"


def test_a_long_value_that_its_node_writes_slowly_is_not_cut(start):
    fixture = start({"s1": (Server(write_slowly), "large"), "origin": (Server(refuse_all), "origin")})
    answer, took_s = ask(fixture, read("r1"))
    assert answer == b"VA %d Or1\r\n" % VALUE_BYTES + b"v" * VALUE_BYTES + b"\r\n"
    assert took_s > DEADLINE_MS / 1000.0


@pytest.mark.parametrize("cls", ["adjust", "order"])
def test_a_write_that_its_origin_reads_slowly_has_its_answer_in_time(start, cls):
    origin = Server(read_slowly, receive_buffer=2048)
    fixture = start({"s1": (Server(write_slowly), "large"), "origin": (origin, "origin")})
    answer, took_s = ask(fixture, write("w1", cls))
    assert answer.startswith(b"SERVER_ERROR")
    assert took_s <= DEADLINE_MS / 1000.0 + LATE_S


class NamedNode:
    """A cache node that answers each read with its own name, and knows what it was asked."""

    def __init__(self, name, port=0):
        self.name = name
        self.asked = []
        self.server = Server(self._handle, port)

    def _handle(self, conn):
        for words in reads_of(conn):
            self.asked.append(opaque_of(words))
            value = self.name.encode()
            conn.sendall(f"VA {len(value)} {opaque_of(words)}\r\n".encode() + value + b"\r\n")


def test_each_read_is_answered_once_when_a_new_node_comes_up_at_the_address_of_a_killed_one(start):
    old, other = NamedNode("old"), NamedNode("other")
    servers = {"s1": (old.server, "large"), "s2": (other.server, "large")}
    fixture = start({**servers, "origin": (Server(refuse_all), "origin")})
    answers = {}
    new = None
    for number in range(120):
        if number == 40:
            old.server.stop()
        if number == 60:
            new = NamedNode("new", old.server.address[1])
        answers[number], _ = ask(fixture, read(f"r{number}"))
        time.sleep(0.03)  # An ejected node is asked again after a while.
    new.server.stop()
    values = {answer.split(b"\r\n")[1] for answer in answers.values() if answer.startswith(b"VA ")}
    assert all(answer.startswith((b"VA ", b"SERVER_ERROR")) for answer in answers.values())
    assert values == {b"old", b"new", b"other"}
    for number in range(60, 120):
        value = answers[number].split(b"\r\n")[1]
        assert value != b"old"
        # What was served came from the node that the request was sent to.
        asked = [node for node in (new, other) if f"Or{number}" in node.asked]
        assert not answers[number].startswith(b"VA ") or value.decode() in [node.name for node in asked]
