"""Idle clients fill the descriptors while discovery is down: what else the proxy does keeps what it needs."""

import contextlib
import json
import os
import selectors
import socket
import threading

import pytest

from lab.processes import PATIENCE_S, CacheNode, Place, Server, wait_for
from lab.web import serving

FEWEST = 64  # descriptors that a day may allow
NEEDED = 12  # of them: for the watch, an operator's call, and ten for cache nodes and the origin
FULL = "fill their part"  # the log's, as the clients' part is full
# What an idle client sends before it is silent: nothing, half a command, a question that was answered.
IDLE_HABITS = {"silent": [b""], "mixed": [b"", b"mg k v O1 P", b"mn\r\n"]}


class Crowd:
    """Twice as many idle connections as the proxy has descriptors; each that is closed is opened again."""

    def __init__(self, address, number, habit):
        self.address = address
        self.first_bytes = IDLE_HABITS[habit]
        self.number = number
        self.going = True
        self.thread = threading.Thread(target=self._stay)
        self.thread.start()

    def _open(self, selector, place):
        conn = socket.socket()
        conn.setblocking(False)
        conn.connect_ex(self.address)
        # What can't be sent yet is sent once it is connected.
        selector.register(conn, selectors.EVENT_WRITE, self.first_bytes[place % len(self.first_bytes)])

    def _stay(self):
        with selectors.DefaultSelector() as selector:
            for place in range(self.number):
                self._open(selector, place)
            while self.going:
                for key, _ in selector.select(0.02):
                    self._serve(selector, key)
            for key in list(selector.get_map().values()):
                key.fileobj.close()

    def _serve(self, selector, key):
        conn, first = key.fileobj, key.data
        with contextlib.suppress(OSError):
            if first is not None:
                conn.send(first) if first else conn.getpeername()
                selector.modify(conn, selectors.EVENT_READ, None)
                return
            if conn.recv(4096):
                return
        selector.unregister(conn)
        conn.close()
        if self.going:
            self._open(selector, hash(conn))

    def stop(self):
        self.going = False
        self.thread.join()


def address(server):
    host, port = server.server_address[:2]
    return f"{host}:{port}"


def descriptors(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


def ask(address, text):
    """Answers to one request on a new connection; nothing where it was shut unread, as may be in a crowd."""
    with contextlib.suppress(OSError), socket.create_connection(address, PATIENCE_S) as conn:
        conn.sendall(text)
        conn.settimeout(PATIENCE_S)
        return conn.recv(4096)
    return b""


@pytest.fixture
def place(tmp_path):
    made = Place(tmp_path, sockets=FEWEST)
    yield made
    made.close()


@pytest.mark.parametrize("habit", IDLE_HABITS)
def test_the_watch_reopens_and_requests_are_served_while_idle_clients_hold_all_places(place, habit):
    told = json.loads(place.config.read_text())
    host, port = told["discovery"].split(":")
    process = place.start().ready()
    most = []
    crowd = Crowd(place.listen, 2 * FEWEST, habit)
    second = Server(("127.0.0.1", 0), CacheNode)
    second.value = b"of-the-second"
    threading.Thread(target=second.serve_forever, daemon=True).start()

    def failed_calls():
        most.append(descriptors(process))
        return process.log.read_text().count("call failed")

    try:
        # Full, and calls for lists made and failed while it is.
        process.says(FULL)
        before = failed_calls()
        wait_for(lambda: failed_calls() >= before + 2, "two more failed calls")
        assert max(most) <= FEWEST - NEEDED, "idle clients have what the others need"
        assert process.call("GET", "/ready") == 200
        with (
            serving(("127.0.0.1", 0)) as origin,
            serving(
                (host, int(port)),
                [
                    {
                        "id": "s1",
                        "host_port": told["known"]["members"][0]["host_port"],
                        "phase": "terminating",
                    },
                    {"id": "s2", "host_port": address(second), "flavor": "large"},
                    {
                        "id": "origin",
                        "host_port": address(origin),
                        "flavor": "origin",
                    },
                ],
            ) as discovery,
        ):
            # The second call is the watch that goes on behind the first one's answer.
            wait_for(lambda: discovery.calls >= 2, "a watch")
            read = b"mg k v O%d Pc=page,t=acme,d=2000\r\n"
            write = b"ms k 5 O%d Pc=adjust,t=acme,d=2000,k=a\r\nhello\r\n"
            answers = []

            def served(text, wanted):
                most.append(descriptors(process))
                answers.append(ask(place.listen, text % len(answers)))
                return wanted in answers[-1]

            wait_for(lambda: served(read, b"of-the-second"), "a read at the node that discovery told")
            wait_for(lambda: served(write, b"creceipt"), "a write at the origin")
            assert origin.calls >= 1
            assert process.call("GET", "/ready") == 200
    finally:
        crowd.stop()
        second.shutdown()
        second.server_close()
    assert max(most) <= FEWEST
    assert "no descriptor could be had" not in process.log.read_text()
