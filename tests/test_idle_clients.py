"""Idle clients take all descriptors while discovery is down: the rest of the proxy keeps what it needs."""

import contextlib
import json
import os
import selectors
import socket
import threading

import pytest

from lab.processes import PATIENCE_S, CacheNodeHandler, CacheNodeServer, ProxyFixture, wait_for
from lab.web import serving

DESCRIPTORS = 64  # the fewest that a site may allow
RESERVED = 12  # of them: for the watch, an operator's call, and ten for cache nodes and the origin
FULL = "no descriptor is left for more"  # the log's word once clients hold all descriptors that they may
READ = b"mg k v O%d Pc=page,t=acme,d=2000\r\n"
WRITE = b"ms k 5 O%d Pc=adjust,t=acme,d=2000,k=a\r\nhello\r\n"
# What idle clients send before they are silent: nothing, a partial command, a question that is answered.
FIRST_BYTES = {"silent": [b""], "mixed": [b"", b"mg k v O1 P", b"mn\r\n"]}


class IdleClients:
    """Twice as many idle connections as the proxy has descriptors; each that is closed is opened again."""

    def __init__(self, address, number, first_bytes):
        self.address = address
        self.first_bytes = first_bytes
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
    made = ProxyFixture(tmp_path, sockets=DESCRIPTORS)
    yield made
    made.close()


@pytest.fixture
def second_node():
    """A cache node that only the restarted discovery lists."""
    node = CacheNodeServer(("127.0.0.1", 0), CacheNodeHandler)
    node.value = b"of-the-second"
    threading.Thread(target=node.serve_forever, daemon=True).start()
    yield node
    node.shutdown()
    node.server_close()


class BusyProxy:
    """A proxy whose descriptors are taken by idle clients."""

    def __init__(self, place, first_bytes):
        self.config = json.loads(place.config.read_text())
        self.listen = place.listen
        self.process = place.start().ready()
        self.descriptor_counts = []
        self.clients = IdleClients(place.listen, 2 * DESCRIPTORS, first_bytes)
        self._requests = 0

    def count_descriptors(self):
        self.descriptor_counts.append(descriptors(self.process))

    def failed_calls(self):
        """The calls to discovery that have failed so far."""
        self.count_descriptors()
        return self.process.log.read_text().count("call failed")

    def served(self, request, expected):
        """Whether a request on a new connection gets the expected response."""
        self.count_descriptors()
        self._requests += 1
        return expected in ask(self.listen, request % self._requests)


@pytest.fixture(params=FIRST_BYTES)
def proxy(request, place):
    made = BusyProxy(place, FIRST_BYTES[request.param])
    yield made
    made.clients.stop()


def restarted_discovery(config, node, origin):
    """Discovery at its configured address; the node listed before is terminating."""
    host, port = config["discovery"].split(":")
    first_address = config["known"]["members"][0]["host_port"]
    return serving(
        (host, int(port)),
        [
            {"id": "s1", "host_port": first_address, "phase": "terminating"},
            {"id": "s2", "host_port": address(node), "flavor": "large"},
            {"id": "origin", "host_port": address(origin), "flavor": "origin"},
        ],
    )


def test_the_watch_reopens_and_requests_are_served_while_idle_clients_hold_all_places(proxy, second_node):
    # Full, and calls to discovery made and failed while it is.
    proxy.process.wait_for_log(FULL)
    before = proxy.failed_calls()
    wait_for(lambda: proxy.failed_calls() >= before + 2, "two more failed calls")
    assert max(proxy.descriptor_counts) <= DESCRIPTORS - RESERVED, "idle clients have what the others need"
    assert proxy.process.call("GET", "/ready") == 200
    with (
        serving(("127.0.0.1", 0)) as origin,
        restarted_discovery(proxy.config, second_node, origin) as discovery,
    ):
        # The second call is the watch that follows the first one's answer.
        wait_for(lambda: discovery.calls >= 2, "a watch")
        wait_for(lambda: proxy.served(READ, b"of-the-second"), "a read at the node that discovery lists")
        wait_for(lambda: proxy.served(WRITE, b"creceipt"), "a write at the origin")
        assert origin.calls >= 1
        assert proxy.process.call("GET", "/ready") == 200
    proxy.clients.stop()
    assert max(proxy.descriptor_counts) <= DESCRIPTORS
    assert "no descriptor could be had" not in proxy.process.log.read_text()
