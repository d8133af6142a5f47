"""Whole processes on loopback: killed and started again all at once, and ended with requests in hand."""

import contextlib
import json
import signal
import socket
import time

import pytest

from lab.processes import PATIENCE_S, CacheNodeHandler, ProxyFixture, SteadyClients

FLEET = 6
READY_S = 10.0  # nine in ten of those that come back have so long


class Hanging(CacheNodeHandler):
    """Takes what asks for a key in `h`, and never answers it."""

    def handle(self):
        for line in self.rfile:
            key, name = line.split()[1], line.split()[3]
            if not key.startswith(b"h"):
                self.wfile.write(b"VA %d %s\r\n%s\r\n" % (len(name), name, name))


@pytest.fixture
def places(tmp_path):
    made = []

    def make(number=1, discovery=None):
        for _ in range(number):
            folder = tmp_path / str(len(made))
            folder.mkdir()
            made.append(here := ProxyFixture(folder))
            if discovery is not None:
                document = json.loads(here.config.read_text()) | {"discovery": "{}:{}".format(*discovery)}
                here.config.write_text(json.dumps(document))
        return made[-number:]

    yield make
    for one in made:
        one.close()


def connect(place):
    conn = socket.create_connection(place.listen, PATIENCE_S)
    conn.settimeout(PATIENCE_S)
    return conn


def says_mn(place):
    try:
        with connect(place) as conn:
            conn.sendall(b"mn\r\n")
            return conn.recv(100) == b"MN\r\n"
    except ConnectionError:
        return False


def read(key, name, wait_ms=1000):
    return f"mg {key} v O{name} Pc=page,t=acme,d={wait_ms}\r\n".encode()


def all_that_comes(conn):
    data = b""
    while piece := conn.recv(1 << 16):
        data += piece
    return data


@pytest.mark.parametrize("discovery", ["down", "overbooked"])
def test_a_fleet_killed_with_requests_in_hand_comes_back_at_once_and_serves(places, discovery):
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        if discovery == "overbooked":  # connections come up, and calls are never answered
            full.listen(4 * FLEET)
        fleet = places(FLEET, full.getsockname())
        for place in fleet:
            place.node.RequestHandlerClass = Hanging
        before = [place.start() for place in fleet]
        for process in before:
            process.ready()
        held = [connect(place) for place in fleet]
        for conn in held:
            conn.sendall(read("hang", "1"))
        for process in before:
            process.end(signal.SIGKILL)
        for conn in held:
            with contextlib.suppress(ConnectionResetError):
                assert conn.recv(100) == b""
        begun = time.monotonic()
        for place in fleet:
            place.start()
        waiting = set(fleet)
        while waiting and time.monotonic() - begun < READY_S:
            waiting -= {place for place in waiting if says_mn(place)}
            time.sleep(0.01)
        assert not waiting
        for place in fleet:
            clients = SteadyClients(place.listen, 2)
            clients.wait_for_answers(10)
            clients.stop()


def test_ended_with_requests_in_hand_it_answers_each_and_exits_with_0(places):
    (place,) = places()
    place.node.RequestHandlerClass = Hanging
    process = place.start().ready()
    piped, resting, half, hung = (connect(place) for _ in range(4))
    resting.sendall(b"mn\r\n")
    assert resting.recv(100) == b"MN\r\n"
    hung.sendall(read("h1", "h1", 1500))
    piped.sendall(b"".join(read("h" if n % 3 == 0 else "k", f"p{n}", 900) for n in range(9)))
    half.sendall(read("k", "half")[:-9])
    process.popen.send_signal(signal.SIGTERM)
    process.wait_for_log("draining")
    resting.sendall(read("k", "late"))  # on an open connection, after the signal
    new = connect(place)
    new.sendall(read("k", "new"))
    for conn, number in ((resting, 1), (new, 1), (piped, 9), (hung, 1)):
        answers = all_that_comes(conn)  # its end is an end, and no reset
        assert answers.count(b"VA ") + answers.count(b"SERVER_ERROR busy") == number, answers
    assert all_that_comes(half) == b"SERVER_ERROR busy\r\n"
    assert process.popen.wait(PATIENCE_S) == 0
