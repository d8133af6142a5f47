"""Idle clients hold all descriptors that they may while discovery is down; the reserved ones stay free."""

import contextlib
import json
import os
import selectors
import socket
import threading

import pytest

from lab.processes import PATIENCE_S, CacheNodeHandler, CacheNodeServer, ProxyFixture, wait_for
from lab.web import serving

DESCRIPTORS = 64  # the smallest limit of descriptors that the proxy may be given
RESERVED = 12  # the descriptors for the watch, an operator's call, and ten for cache nodes and the origin
# The log line that says that clients hold all the descriptors that they may hold has this text.
FULL_LOG_TEXT = "no descriptor is left for more"
READ = b"mg k v O%d Pc=page,t=acme,d=2000\r\n"
WRITE = b"ms k 5 O%d Pc=adjust,t=acme,d=2000,k=a\r\nhello\r\n"
# The bytes that idle clients send before they are silent: none, a partial command, or a probe.
FIRST_BYTES = {"silent": [b""], "mixed": [b"", b"mg k v O1 P", b"mn\r\n"]}


class IdleClients:
    """A thread that keeps `number` idle connections, and opens a new one for each that is closed."""

    def __init__(self, address, number, first_bytes):
        self.address = address
        self.first_bytes = first_bytes
        self.number = number
        self.is_running = True
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _open(self, selector, index):
        conn = socket.socket()
        conn.setblocking(False)
        conn.connect_ex(self.address)
        # The first bytes are sent once the connection is established.
        selector.register(conn, selectors.EVENT_WRITE, self.first_bytes[index % len(self.first_bytes)])

    def _run(self):
        with selectors.DefaultSelector() as selector:
            for index in range(self.number):
                self._open(selector, index)
            while self.is_running:
                for key, _ in selector.select(0.02):
                    self._serve(selector, key)
            for key in list(selector.get_map().values()):
                key.fileobj.close()

    def _serve(self, selector, key):
        conn, first_bytes = key.fileobj, key.data
        with contextlib.suppress(OSError):
            if first_bytes is not None:
                conn.send(first_bytes) if first_bytes else conn.getpeername()
                selector.modify(conn, selectors.EVENT_READ, None)
                return
            if conn.recv(4096):
                return
        selector.unregister(conn)
        conn.close()
        if self.is_running:
            self._open(selector, hash(conn))

    def stop(self):
        self.is_running = False
        self.thread.join()


def address(server):
    host, port = server.server_address[:2]
    return f"{host}:{port}"


def descriptor_count(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


def request_once(address, text):
    """Returns the answer to one request on a new connection; nothing if it was closed before the request."""
    with contextlib.suppress(OSError), socket.create_connection(address, PATIENCE_S) as conn:
        conn.sendall(text)
        conn.settimeout(PATIENCE_S)
        return conn.recv(4096)
    return b""


@pytest.fixture
def proxy_files(tmp_path):
    fixture = ProxyFixture(tmp_path, sockets=DESCRIPTORS)
    yield fixture
    fixture.close()


@pytest.fixture
def second_node():
    """Yields a cache node that only the restarted discovery lists."""
    node = CacheNodeServer(("127.0.0.1", 0), CacheNodeHandler)
    node.value = b"of-the-second"
    threading.Thread(target=node.serve_forever, daemon=True).start()
    yield node
    node.shutdown()
    node.server_close()


class BusyProxy:
    """A proxy whose descriptors are held by idle clients."""

    def __init__(self, proxy_files, first_bytes):
        self.config = json.loads(proxy_files.config.read_text())
        self.listen = proxy_files.listen
        self.process = proxy_files.start().ready()
        self.descriptor_counts = []
        self.clients = IdleClients(proxy_files.listen, 2 * DESCRIPTORS, first_bytes)
        self._request_count = 0

    def count_descriptors(self):
        self.descriptor_counts.append(descriptor_count(self.process))

    def failed_call_count(self):
        """Returns how many calls to discovery have failed so far."""
        self.count_descriptors()
        return self.process.log.read_text().count("call failed")

    def served(self, request, expected):
        """Returns whether a request on a new connection gets the expected response."""
        self.count_descriptors()
        self._request_count += 1
        return expected in request_once(self.listen, request % self._request_count)


@pytest.fixture(params=FIRST_BYTES)
def proxy(request, proxy_files):
    busy_proxy = BusyProxy(proxy_files, FIRST_BYTES[request.param])
    yield busy_proxy
    busy_proxy.clients.stop()


def restarted_discovery(config, node, origin):
    """Returns a context manager that serves discovery; the node listed before is terminating."""
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


def test_the_watch_reopens_and_requests_are_served_while_idle_clients_hold_all_their_descriptors(
    proxy, second_node
):
    # Calls to discovery must be made, and fail, while clients hold all descriptors that they may.
    proxy.process.wait_for_log(FULL_LOG_TEXT)
    failed_before = proxy.failed_call_count()
    wait_for(lambda: proxy.failed_call_count() >= failed_before + 2, "two more failed calls")
    assert max(proxy.descriptor_counts) <= DESCRIPTORS - RESERVED, "idle clients hold reserved descriptors"
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
