"""A write that must not run twice runs once, whichever process of an upgrade its client comes to again.

Real processes: the old one still serves its connections while the new one accepts. The origin takes half a
second for each write, and counts how often each id was begun.
"""

import contextlib
import json
import signal
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from lab.processes import PATIENCE_S, ProxyFixture

WRITES = 20
ORIGIN_TAKES_S = 0.5
LEAVES_AFTER_S = 0.05
COMES_AGAIN_EACH_S = 0.15
REPEATS = 5
DEADLINE_MS = 2000


class OriginHandler(BaseHTTPRequestHandler):
    """Counts each write as it begins, and takes its time."""

    protocol_version = "HTTP/1.1"

    def do_PUT(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.server.begun[self.headers["Request-Id"]] += 1
        time.sleep(ORIGIN_TAKES_S)
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", "7")
            self.end_headers()
            self.wfile.write(b"receipt")

    def log_message(self, *_args):
        """Log nothing."""


@pytest.fixture
def origin():
    server = ThreadingHTTPServer(("127.0.0.1", 0), OriginHandler)
    server.daemon_threads = True
    server.begun = Counter()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def proxies(tmp_path, origin):
    fixture = ProxyFixture(tmp_path)
    config = json.loads(fixture.config.read_text())
    address = f"127.0.0.1:{origin.server_address[1]}"
    config["known"]["members"].append({"id": "origin", "host_port": address, "flavor": "origin"})
    fixture.config.write_text(json.dumps(config))
    yield fixture
    fixture.close()


def write(name):
    return f"ms k{name} 2 O{name} Pc=order,t=acme,d={DEADLINE_MS}\r\nab\r\n".encode()


def connect(proxies):
    conn = socket.create_connection(proxies.listen, PATIENCE_S)
    conn.settimeout(PATIENCE_S)
    return conn


def connections_to_the_old_process(proxies):
    """Connections that the old process has accepted, and on which it has answered."""
    found = [connect(proxies) for _ in range(WRITES)]
    for conn in found:
        conn.sendall(b"mn\r\n")
        assert conn.recv(100) == b"MN\r\n"
    return found


def send_once(proxies, name):
    """Sends the write on a new connection, and returns what came within the interval."""
    conn = connect(proxies)
    with conn, contextlib.suppress(OSError):
        conn.sendall(write(name))
        conn.settimeout(COMES_AGAIN_EACH_S)
        return conn.recv(100)
    return b""


def play(number, first, proxies, stays):
    """Sends one write on the connection `first`, and the same again and again on new ones."""
    name = f"w{number}"
    first.sendall(write(name))
    time.sleep(LEAVES_AFTER_S)
    if not stays:
        first.close()
    for _ in range(REPEATS):
        began_s = time.monotonic()
        send_once(proxies, name)
        time.sleep(max(0.0, began_s + COMES_AGAIN_EACH_S - time.monotonic()))


def play_all(connections, proxies, stays):
    players = [
        threading.Thread(target=play, args=(number, conn, proxies, stays))
        for number, conn in enumerate(connections)
    ]
    for player in players:
        player.start()
    return players


def check(origin, players):
    for player in players:
        player.join()
    twice = {name: count for name, count in origin.begun.items() if count > 1}
    assert len(origin.begun) >= WRITES // 2
    assert twice == {}


@pytest.mark.parametrize("stays", [True, False], ids=["client_stays", "client_leaves"])
def test_a_write_to_the_old_process_does_not_run_again_at_the_new_one(proxies, origin, stays):
    # The fault: the new process knew nothing of the ids that the old one had open.
    proxies.start().ready()
    connections = connections_to_the_old_process(proxies)
    proxies.start().ready()
    check(origin, play_all(connections, proxies, stays))


def test_a_write_that_a_killed_process_had_sent_does_not_run_again_at_the_new_one(proxies, origin):
    old = proxies.start().ready()
    connections = connections_to_the_old_process(proxies)
    proxies.start().ready()
    players = play_all(connections, proxies, stays=True)
    time.sleep(0.1)
    old.end(signal.SIGKILL)
    check(origin, players)


def test_a_write_to_the_new_process_does_not_run_again_at_the_old_one(proxies, origin):
    proxies.start().ready()
    connections = connections_to_the_old_process(proxies)
    proxies.start().ready()
    for number, conn in enumerate(connections):
        new = connect(proxies)
        new.sendall(write(f"w{number}"))
        time.sleep(0.01)
        conn.sendall(write(f"w{number}"))
        if number % 2:
            new.close()
    time.sleep(2 * ORIGIN_TAKES_S)
    check(origin, [])


def test_a_write_whose_client_left_does_not_run_again_once_it_has_run(proxies, origin):
    # The fault: an id was known only while its attempt was out; its client may come again behind that.
    proxies.start().ready()
    players = play_all([connect(proxies) for _ in range(WRITES)], proxies, stays=False)
    check(origin, players)
