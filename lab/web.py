"""Stand-ins on loopback for what speaks HTTP to real processes: discovery, and the origin."""

from __future__ import annotations

import contextlib
import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Address = tuple[str, int]


class WebServer(ThreadingHTTPServer):
    """Counts its calls; `delay_s`: each is answered so much later."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, address: Address, members: list[dict[str, Any]], delay_s: float = 0.0) -> None:
        """`members`: rows of the endpoint list that discovery sends."""
        self.listing: dict[str, Any] = {"revision": 2, "complete": True, "members": members}
        self.calls = 0
        self.ending = threading.Event()
        self.delay_s = delay_s
        super().__init__(address, Handler)

    def handle_error(self, request: object, client_address: object) -> None:
        """Proxies end while they wait for an answer: their connections break."""


class Handler(BaseHTTPRequestHandler):
    """Answers as discovery, or as the origin."""

    protocol_version = "HTTP/1.1"
    server: WebServer

    def do_GET(self) -> None:
        """Discovery's call: the whole list, or after that nothing new for as long as the call may wait."""
        self.server.calls += 1
        self.server.ending.wait(self.server.delay_s)
        target, _, query = self.path.partition("?")
        asked = dict(part.split("=") for part in query.split("&") if part)
        if target != "/v1/servers":
            self._answer(b"value")
        elif int(asked.get("after", 0)) < self.server.listing["revision"]:
            self._answer(json.dumps(self.server.listing, indent=2).encode())
        else:
            self.server.ending.wait(int(asked.get("wait_ms", 0)) / 1000.0)
            self._answer(json.dumps(self.server.listing | {"complete": False, "members": []}).encode())

    def do_PUT(self) -> None:
        """The origin's: a write."""
        self.server.calls += 1
        self.rfile.read(int(self.headers["Content-Length"]))
        self._answer(b"receipt")

    def _answer(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_line: object) -> None:
        """Writes nothing."""


@contextlib.contextmanager
def serving(
    address: Address, members: list[dict[str, Any]] | None = None, delay_s: float = 0.0
) -> Iterator[WebServer]:
    """Serves on the address, in a thread of its own, until the block ends."""
    server = WebServer(address, members or [], delay_s)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.ending.set()
        server.shutdown()
        server.server_close()
        thread.join()
