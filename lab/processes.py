"""Real proxies as processes on loopback, one node before them, and clients: what virtual time can't play.

Nothing is measured by the clock here; whoever waits, waits for an event, and no longer than `PATIENCE_S`.
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

from cloverwell.handover.messages import place
from lab.proxy_testbed import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 30.0
PORTS = range(16_000, 32_000)
_ports = iter(random.sample(PORTS, len(PORTS)))


class CacheNode(socketserver.StreamRequestHandler):
    """Answers each read with its own id, or with the server's value."""

    server: Server

    def handle(self) -> None:
        for line in self.rfile:
            name = next(word for word in line.split() if word.startswith(b"O"))
            value = self.server.value or name
            self.wfile.write(b"VA %d %s\r\n%s\r\n" % (len(value), name, value))


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = allow_reuse_address = True
    request_queue_size = 256
    value = b""

    def handle_error(self, request: object, client_address: object) -> None:
        """Processes are killed here: their connections break."""


def free_port() -> int:
    """Below those that the machine gives to connections going out: one of them, or a caller that meets itself
    while nobody listens yet, would take it before the process does. None is given twice."""
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port


def share_ports(place: int, number: int) -> None:
    """From now on only ports that none of `number` processes takes but the one at this place, from 0 on."""
    global _ports
    own = PORTS[place::number]
    _ports = iter(random.sample(own, len(own)))


class Place:
    """An address to serve at, one node, and the processes that are started there."""

    def __init__(
        self, folder: Path, value: bytes = b"", sockets: int = 256, memory_mb: float = 192.0
    ) -> None:
        self.folder = folder
        self.listen = ("127.0.0.1", free_port())
        self.node = Server(("127.0.0.1", 0), CacheNode)
        self.node.value = value
        threading.Thread(target=self.node.serve_forever, daemon=True).start()
        members = [{"id": "s1", "host_port": f"127.0.0.1:{self.node.server_address[1]}", "flavor": "large"}]
        self.config = folder / "config.json"
        self.config.write_text(json.dumps({
            "listen": f"127.0.0.1:{self.listen[1]}", "discovery": f"127.0.0.1:{free_port()}",
            "limits": {"sockets": sockets, "memory_mb": memory_mb}, "settings": SETTINGS,
            "known": {"revision": 1, "complete": True, "members": members},
        }))  # fmt: skip
        self.processes: list[Process] = []
        self.path = place(str(folder), self.listen)

    def start(self) -> Process:
        process = Process(self)
        self.processes.append(process)
        return process

    def close(self) -> None:
        for process in self.processes:
            process.popen.kill()
            process.popen.wait()
        self.node.shutdown()
        self.node.server_close()


class Process:
    """One proxy, by `python -m cloverwell` as in service."""

    def __init__(self, place: Place) -> None:
        self.operator = ("127.0.0.1", free_port())
        self.log = place.folder / f"log-{len(place.processes)}"
        environ = os.environ | {
            "EDGE_CONFIG": str(place.config), "TMPDIR": str(place.folder),
            "EDGE_OPERATOR": f"127.0.0.1:{self.operator[1]}",
        }  # fmt: skip
        command = [sys.executable, "-m", "cloverwell"]
        with self.log.open("w") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, env=environ, stderr=log)

    def says(self, text: str) -> None:
        """Waits until its log has the text."""

        def said() -> bool:
            assert self.popen.poll() is None or text in self.log.read_text(), self.log.read_text()
            return text in self.log.read_text()

        wait_for(said, text)

    def call(self, method: str, path: str) -> int:
        """An operator's call; 0 where nobody listens yet."""
        connection = HTTPConnection(*self.operator, timeout=PATIENCE_S)
        try:
            connection.request(method, path)
            return connection.getresponse().status
        except ConnectionRefusedError:
            assert self.popen.poll() is None, self.log.read_text()
            return 0
        finally:
            connection.close()

    def ready(self) -> Process:
        wait_for(lambda: self.call("GET", "/ready") == 200, "/ready")
        return self

    def end(self, number: int) -> int:
        """By that signal; its exit code."""
        self.popen.send_signal(number)
        return self.popen.wait(PATIENCE_S)


def wait_for(event: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + PATIENCE_S
    while not event():
        assert time.monotonic() < until, f"{what}: never came"
        time.sleep(0.01)


class Clients:
    """Steady load: each keeps its connection, and sends once more what crossed its close."""

    def __init__(self, address: tuple[str, int], number: int = 8) -> None:
        self.address = address
        self.going = True
        self.answered = self.crossed = 0
        self.wrong: list[object] = []
        self.threads = [threading.Thread(target=self._ask, args=(n,)) for n in range(number)]
        for thread in self.threads:
            thread.start()

    def _ask(self, number: int) -> None:
        stream, count = None, 0
        while self.going and not self.wrong:
            count += 1
            name, answer = f"O{number}x{count}", b""
            for _ in range(2):
                if stream is None:
                    try:
                        stream = socket.create_connection(self.address, PATIENCE_S).makefile("rwb")
                    except OSError as error:
                        self.wrong.append(error)
                        return
                with contextlib.suppress(OSError):
                    stream.write(f"mg k{count} v {name} Pc=page,t=acme,d=2000\r\n".encode())
                    stream.flush()
                    answer = stream.readline()
                    answer += stream.readline() if answer.startswith(b"VA") else b""
                if answer:
                    break
                self.crossed += 1
                stream = None
            # A refusal is an answer too: a busy machine must not fail the test.
            served = f"VA {len(name)} {name}\r\n{name}\r\n".encode()
            if answer != served and not answer.startswith(b"SERVER_ERROR busy"):
                self.wrong.append(answer)
            self.answered += 1
            time.sleep(0.001)

    def more(self, number: int = 200) -> None:
        """Waits for so many further answers."""
        wanted = self.answered + number
        wait_for(lambda: self.answered >= wanted or self.wrong, "answers")

    def stop(self) -> None:
        self.going = False
        for thread in self.threads:
            thread.join()
        assert not self.wrong, self.wrong[:3]
