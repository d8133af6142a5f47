"""Real proxies as processes on loopback, with one cache node and clients: what virtual time can't simulate.

No test here measures by the clock: it waits for an event, and fails after `PATIENCE_S`.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import socket
import socketserver
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import BinaryIO, cast

from cloverwell.handover.messages import handover_socket_path
from lab.proxy_testbed import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 30.0
CHECK_INTERVAL_S = 0.01
# They lie below the ports that the system gives to outgoing connections: one of these, or a client that
# connects to itself while nothing listens yet, would take the port before the process does.
PORTS = range(16_000, 32_000)
_ports = iter(random.sample(PORTS, len(PORTS)))


class CacheNodeHandler(socketserver.StreamRequestHandler):
    """Answers each get with its opaque token, or with the server's value if there is one."""

    server: CacheNodeServer

    def handle(self) -> None:
        """Answers the gets of a connection until it ends."""
        for line in self.rfile:
            opaque = next(word for word in line.split() if word.startswith(b"O"))
            value = self.server.value or opaque
            self.wfile.write(b"VA %d %s\r\n%s\r\n" % (len(value), opaque, value))


class CacheNodeServer(socketserver.ThreadingTCPServer):
    """Serves connections in a thread each; an empty `value` stands for the opaque token of each get."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256
    value = b""

    def handle_error(self, request: object, client_address: object) -> None:
        """Does nothing: connections break when the tests kill processes."""


def free_port() -> int:
    """Returns a free port of `PORTS`; none is returned twice."""
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port


def share_ports(place: int, number: int) -> None:
    """Restricts `free_port` to ports that no other of `number` test processes uses; `place` counts from 0."""
    global _ports
    own = PORTS[place::number]
    _ports = iter(random.sample(own, len(own)))


class ProxyFixture:
    """An address to serve at, a cache node, and the proxies that are started there."""

    def __init__(
        self, folder: Path, value: bytes = b"", sockets: int = 256, memory_mb: float = 192.0
    ) -> None:
        """Starts the node, and writes the proxies' configuration file into the folder."""
        self.folder = folder
        self.listen = ("127.0.0.1", free_port())
        self.node = CacheNodeServer(("127.0.0.1", 0), CacheNodeHandler)
        self.node.value = value
        threading.Thread(target=self.node.serve_forever, daemon=True).start()
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(self._configuration(sockets, memory_mb)))
        self.processes: list[LoopbackProxy] = []
        self.path = handover_socket_path(str(folder), self.listen)

    def _configuration(self, sockets: int, memory_mb: float) -> dict[str, object]:
        address = f"127.0.0.1:{self.node.server_address[1]}"
        members = [{"id": "s1", "host_port": address, "flavor": "large"}]
        return {
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": f"127.0.0.1:{free_port()}",
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
            "settings": SETTINGS,
            "known": {"revision": 1, "complete": True, "members": members},
        }

    def start(self) -> LoopbackProxy:
        """Starts a proxy, without waiting until it is ready."""
        process = LoopbackProxy(self)
        self.processes.append(process)
        return process

    def close(self) -> None:
        """Kills all proxies and ends the node."""
        for process in self.processes:
            process.popen.kill()
            process.popen.wait()
        self.node.shutdown()
        self.node.server_close()


class LoopbackProxy:
    """One proxy, started by `python -m cloverwell` as in production."""

    def __init__(self, place: ProxyFixture) -> None:
        """Starts the proxy with the place's configuration; its log goes into the place's folder."""
        self.operator = ("127.0.0.1", free_port())
        self.log = place.folder / f"log-{len(place.processes)}"
        environ = os.environ | {
            "EDGE_CONFIG": str(place.config),
            "TMPDIR": str(place.folder),
            "EDGE_OPERATOR": f"127.0.0.1:{self.operator[1]}",
        }
        command = [sys.executable, "-m", "cloverwell"]
        with self.log.open("w") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, env=environ, stderr=log)

    def wait_for_log(self, text: str) -> None:
        """Waits until its log has the text, and fails if the process ends without it."""

        def is_logged() -> bool:
            """Returns whether the log has the text."""
            assert self.popen.poll() is None or text in self.log.read_text(), self.log.read_text()
            return text in self.log.read_text()

        wait_for(is_logged, text)

    def call(self, method: str, path: str) -> int:
        """Makes a call to the operators' address, and returns the status; 0 if nothing listens there yet."""
        connection = HTTPConnection(*self.operator, timeout=PATIENCE_S)
        try:
            connection.request(method, path)
            return connection.getresponse().status
        except ConnectionRefusedError:
            assert self.popen.poll() is None, self.log.read_text()
            return 0
        finally:
            connection.close()

    def ready(self) -> LoopbackProxy:
        """Waits until the proxy is ready, and returns it."""
        wait_for(lambda: self.call("GET", "/ready") == 200, "/ready")
        return self

    def end(self, number: int) -> int:
        """Ends the process by that signal, and returns its exit code."""
        self.popen.send_signal(number)
        return self.popen.wait(PATIENCE_S)


def wait_for(event: Callable[[], bool], what: str) -> None:
    """Waits until `event` returns True; fails after `PATIENCE_S` with a text that names `what`."""
    until = time.monotonic() + PATIENCE_S
    while not event():
        assert time.monotonic() < until, f"{what}: never came"
        time.sleep(CHECK_INTERVAL_S)


class SteadyClients:
    """Clients that send steadily, each on a connection that it keeps.

    A request that is sent while the proxy closes the connection is sent once more on a new one, and counted
    as `crossed`. A connection that fails, or a wrong answer, is kept in `wrong` and ends its client.
    """

    def __init__(self, address: tuple[str, int], number: int = 8) -> None:
        """Starts the clients, a thread each."""
        self.address = address
        self.going = True
        self.answered = 0
        self.crossed = 0
        self.wrong: list[object] = []
        self.threads = [threading.Thread(target=self._run, args=(n,)) for n in range(number)]
        for thread in self.threads:
            thread.start()

    def _run(self, client: int) -> None:
        stream: BinaryIO | None = None
        count = 0
        while self.going and not self.wrong:
            count += 1
            opaque = f"O{client}x{count}"
            try:
                stream, answer = self._send(stream, f"k{count}", opaque)
            except OSError as error:
                self.wrong.append(error)
                return
            self._check(opaque, answer)
            self.answered += 1
            time.sleep(0.001)

    def _send(self, stream: BinaryIO | None, key: str, opaque: str) -> tuple[BinaryIO | None, bytes]:
        """Sends a get at most twice; returns the connection that is left, and the answer.

        Raises OSError if no connection can be made.
        """
        for _ in range(2):
            if stream is None:
                stream = self._connect()
            if answer := _exchange(stream, key, opaque):
                return stream, answer
            self.crossed += 1
            stream = None
        return None, b""

    def _connect(self) -> BinaryIO:
        return cast(BinaryIO, socket.create_connection(self.address, PATIENCE_S).makefile("rwb"))

    def _check(self, opaque: str, answer: bytes) -> None:
        # A rejection is an answer too: a busy machine must not fail the test.
        served = f"VA {len(opaque)} {opaque}\r\n{opaque}\r\n".encode()
        if answer != served and not answer.startswith(b"SERVER_ERROR busy"):
            self.wrong.append(answer)

    def wait_for_answers(self, number: int = 200) -> None:
        """Waits for so many further answers, or until something is wrong."""
        wanted = self.answered + number
        wait_for(lambda: self.answered >= wanted or bool(self.wrong), "answers")

    def stop(self) -> None:
        """Ends the clients, and fails if something was wrong."""
        self.going = False
        for thread in self.threads:
            thread.join()
        assert not self.wrong, self.wrong[:3]


def _exchange(stream: BinaryIO, key: str, opaque: str) -> bytes:
    """Sends a get and returns its answer, or what came of it before the connection ended."""
    answer = b""
    with contextlib.suppress(OSError):
        stream.write(f"mg {key} v {opaque} Pc=page,t=acme,d=2000\r\n".encode())
        stream.flush()
        answer = stream.readline()
        if answer.startswith(b"VA"):
            answer += stream.readline()
    return answer
