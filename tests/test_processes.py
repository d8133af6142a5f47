"""Real processes on loopback: killed and restarted all at once, and shut down with open requests."""

import contextlib
import json
import signal
import socket
import time

import pytest

from lab.processes import PATIENCE_S, CacheNodeHandler, ProxyFixture, SteadyClients

FLEET_SIZE = 6
READY_S = 10.0  # the time within which nine in ten restarted proxies must be ready


class HangingHandler(CacheNodeHandler):
    """Never answers requests whose key begins with `h`, and answers all others."""

    def handle(self):
        for line in self.rfile:
            key, name = line.split()[1], line.split()[3]
            if not key.startswith(b"h"):
                self.wfile.write(b"VA %d %s\r\n%s\r\n" % (len(name), name, name))


@pytest.fixture
def make_proxies(tmp_path):
    fixtures = []

    def make(count=1, discovery=None):
        for _ in range(count):
            folder = tmp_path / str(len(fixtures))
            folder.mkdir()
            fixtures.append(fixture := ProxyFixture(folder))
            if discovery is not None:
                document = json.loads(fixture.config.read_text()) | {"discovery": "{}:{}".format(*discovery)}
                fixture.config.write_text(json.dumps(document))
        return fixtures[-count:]

    yield make
    for created in fixtures:
        created.close()


def connect(proxy):
    conn = socket.create_connection(proxy.listen, PATIENCE_S)
    conn.settimeout(PATIENCE_S)
    return conn


def is_ready(proxy):
    try:
        with connect(proxy) as conn:
            conn.sendall(b"mn\r\n")
            return conn.recv(100) == b"MN\r\n"
    except ConnectionError:
        return False


def read_command(key, request_id, deadline_ms=1000):
    return f"mg {key} v O{request_id} Pc=page,t=acme,d={deadline_ms}\r\n".encode()


def read_to_end(conn):
    data = b""
    while received := conn.recv(1 << 16):
        data += received
    return data


@pytest.mark.parametrize("discovery", ["down", "silent"])
def test_a_fleet_that_is_killed_with_open_requests_is_ready_and_serves_soon(make_proxies, discovery):
    with socket.socket() as discovery_socket:
        discovery_socket.bind(("127.0.0.1", 0))
        if discovery == "silent":  # Connections are established, and polls are never answered.
            discovery_socket.listen(4 * FLEET_SIZE)
        fleet = make_proxies(FLEET_SIZE, discovery_socket.getsockname())
        for proxy in fleet:
            proxy.node.RequestHandlerClass = HangingHandler
        first_processes = [proxy.start() for proxy in fleet]
        for process in first_processes:
            process.ready()
        connections = [connect(proxy) for proxy in fleet]
        for conn in connections:
            conn.sendall(read_command("hang", "1"))
        for process in first_processes:
            process.end(signal.SIGKILL)
        for conn in connections:
            with contextlib.suppress(ConnectionResetError):
                assert conn.recv(100) == b""
        started_s = time.monotonic()
        for proxy in fleet:
            proxy.start()
        waiting = set(fleet)
        while waiting and time.monotonic() - started_s < READY_S:
            waiting -= {proxy for proxy in waiting if is_ready(proxy)}
            time.sleep(0.01)
        assert not waiting
        for proxy in fleet:
            clients = SteadyClients(proxy.listen, 2)
            clients.wait_for_answers(10)
            clients.stop()


def test_a_shutdown_answers_all_open_requests_and_exits_with_0(make_proxies):
    (proxy,) = make_proxies()
    proxy.node.RequestHandlerClass = HangingHandler
    process = proxy.start().ready()
    pipelined, idle, partial, hung = (connect(proxy) for _ in range(4))
    idle.sendall(b"mn\r\n")
    assert idle.recv(100) == b"MN\r\n"
    hung.sendall(read_command("h1", "h1", 1500))
    pipelined.sendall(b"".join(read_command("h" if n % 3 == 0 else "k", f"p{n}", 900) for n in range(9)))
    partial.sendall(read_command("k", "half")[:-9])
    process.popen.send_signal(signal.SIGTERM)
    process.wait_for_log("draining")
    idle.sendall(read_command("k", "late"))  # On an open connection, after the signal.
    new = connect(proxy)
    new.sendall(read_command("k", "new"))
    for conn, request_count in ((idle, 1), (new, 1), (pipelined, 9), (hung, 1)):
        answers = read_to_end(conn)  # A reset of the connection would raise.
        assert answers.count(b"VA ") + answers.count(b"SERVER_ERROR busy") == request_count, answers
    assert read_to_end(partial) == b"SERVER_ERROR busy\r\n"
    assert process.popen.wait(PATIENCE_S) == 0
