"""Stand-ins for the neighbours of a proxy, and the start of the program by the deploy file's command.

Everything listens on 127.0.0.1. Each cache node, the origin and discovery follow the operators' pages; a case
gives them the behaviour that it is about.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_WAIT_S = 30.0  # the longest start that the pages allow

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


def free_port() -> int:
    """Return a port that nobody listens at."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """The file `record.txt` of a case: one line an event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def line(self, text: str) -> None:
        """Write one event."""
        self._file.write(f"{time.monotonic() - self._began_s:9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class StandIn:
    """A server on loopback whose connections are served by `serve`."""

    def __init__(self, name: str, record: Record) -> None:
        """Listen nowhere before `start`."""
        self.name = name
        self.record = record
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Listen no more, and end all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def value_for(request_id: str, size: int = 0) -> bytes:
    """Return the one right value of a read; `size` is its least length."""
    text = f"value-of-{request_id};".encode()
    return text * max(1, -(-size // len(text)))


class CacheNode(StandIn):
    """A cache node: answers reads in the order of a connection, and a key that begins with `miss` by a miss.

    `max_connections` is the number of connections that it holds; one more is closed at once, as by a node
    whose table is full. `answer` may be replaced by a case.
    """

    def __init__(self, name: str, record: Record, max_connections: int = 10_000) -> None:
        """Set up a node that answers at once."""
        super().__init__(name, record)
        self.max_connections = max_connections
        self.answer: Callable[[Reader, Writer, str, str], Awaitable[None]] = self.answer_read
        self.open_connections = 0
        self.refused = 0
        self.reads = 0

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Begin each command when its last byte has come, and answer them in their order."""
        if self.open_connections >= self.max_connections:
            self.refused += 1
            writer.transport.abort()
            return
        self.open_connections += 1
        taken: asyncio.Queue[tuple[str, str]] = asyncio.Queue()
        answering = asyncio.create_task(self._answer_in_order(reader, writer, taken))
        try:
            while line := await reader.readline():
                if not line.endswith(b"\r\n"):
                    break
                words = line.decode().split()
                request_id = next(word[1:] for word in words[2:] if word.startswith("O"))
                if words[0] == "ms":
                    await reader.readexactly(int(words[2]) + 2)
                    words[1] = "miss"
                self.reads += 1
                taken.put_nowait((words[1], request_id))
        finally:
            self.open_connections -= 1
            answering.cancel()
            await asyncio.gather(answering, return_exceptions=True)

    async def _answer_in_order(
        self, reader: Reader, writer: Writer, taken: asyncio.Queue[tuple[str, str]]
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                key, request_id = await taken.get()
                await self.answer(reader, writer, key, request_id)

    async def answer_read(self, _reader: Reader, writer: Writer, key: str, request_id: str) -> None:
        """Answer one read."""
        if key.startswith("miss"):
            writer.write(f"EN O{request_id}\r\n".encode())
        else:
            value = value_for(request_id)
            writer.write(f"VA {len(value)} O{request_id}\r\n".encode() + value + b"\r\n")
        await writer.drain()


async def read_head(reader: Reader) -> tuple[str, str, dict[str, str]]:
    """Return method, target and headers of an HTTP request; the names of the headers are in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split()
    pairs = (line.split(":", 1) for line in lines)
    return method, target, {name.strip().lower(): text.strip() for name, text in pairs}


class Origin(StandIn):
    """The origin. Each request that it has begun is recorded; `delay_s` is what one takes."""

    def __init__(self, record: Record, delay_s: float = 0.02) -> None:
        """Set up an origin that answers every request."""
        super().__init__("origin", record)
        self.delay_s = delay_s
        self.begun: list[tuple[float, str, str]] = []  # (time, method, request id)
        self.size_of: Callable[[str], int] = lambda _key: 0  # the least length of a key's value
        self.answer: Callable[[Writer, str, str, str], Awaitable[None]] = self.answer_ok

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Answer the requests of a connection in their order."""
        while True:
            method, target, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            request_id = headers["request-id"]
            self.begun.append((time.monotonic(), method, request_id))
            await self.answer(writer, method, unquote(target[1:]), request_id)

    async def answer_ok(self, writer: Writer, method: str, key: str, request_id: str) -> None:
        """Answer with the value or the receipt."""
        await asyncio.sleep(self.delay_s)
        if method == "GET":
            body = value_for(request_id, self.size_of(key))
        else:
            body = b"receipt-" + request_id.encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()


class Discovery(StandIn):
    """Discovery, with whole lists and watches; `answer_delay_s` is the wait of a call in its queue."""

    def __init__(self, record: Record) -> None:
        """Set up discovery without a member."""
        super().__init__("discovery", record)
        self.members: dict[str, dict[str, object]] = {}
        self.revision = 1
        self.answer_delay_s = 0.0
        self._changed = asyncio.Condition()

    def member(self, name: str, address: str, flavor: str, phase: str = "in_service") -> dict[str, object]:
        """Return a line of the list."""
        return {
            "id": name, "host_port": address, "locality": "here", "flavor": flavor, "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": 0,
        }  # fmt: skip

    def listing(self) -> dict[str, object]:
        """Return the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def change(self, *members: dict[str, object]) -> None:
        """Change lines of the list."""
        async with self._changed:
            self.revision += 1
            for member in members:
                self.members[str(member["id"])] = member
            self._changed.notify_all()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Answer calls in their order."""
        while True:
            _, target, _ = await read_head(reader)
            query = {name: int(values[0]) for name, values in parse_qs(urlsplit(target).query).items()}
            after, wait_s = query.get("after"), query.get("wait_ms", 0) / 1000.0
            if after is not None and after >= self.revision and wait_s:
                with contextlib.suppress(TimeoutError):
                    async with self._changed:
                        await asyncio.wait_for(
                            self._changed.wait_for(lambda after=after: self.revision > after), wait_s
                        )
            await asyncio.sleep(self.answer_delay_s)
            body = json.dumps(self.listing()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()


def settings(**changes: object) -> dict[str, object]:
    """Return the settings object of a small deployment; `changes` replace whole sections."""
    base: dict[str, object] = {
        "classes": [
            {"name": "catalogue-page", "effect": "retryable", "objective": 1500, "deadline": 4000,
             "importance": 1, "late-value": 0.2},
            {"name": "price-check", "effect": "retryable", "objective": 600, "deadline": 1500,
             "importance": 2, "late-value": 0.25},
            {"name": "stock-adjust", "effect": "dedup", "group": "all", "window": 1500, "objective": 600,
             "deadline": 1500, "importance": 3, "late-value": 0.2},
            {"name": "order-place", "effect": "fragile", "objective": 800, "deadline": 2500,
             "importance": 2, "late-value": 0.2},
        ],
        "tenants": [{"name": "far-north", "share": 1.0}],
        "zones": ["here"],
        "machine-types": ["large", "origin"],
        "membership-mode": "on_request",
        "granularity": 5,
        "peers-total": 1,
        "guarantees": {"answer-slack": 20, "ask-within": 10000, "cold": 8700, "start-capacity": 0.32,
                       "drain-grace": 1000, "fall": 3000, "fall-multiple": 3},
        "limits": {"cancel": True, "second-copies": True, "send-cap": 3, "connect-timeout": 250,
                   "idle-close": 5000, "streams-per-conn": 32, "retry-after": True,
                   "max-retry-after": 2000, "max-open": 28210},
        "specifics": {"mode": "aside", "origin-kind": 1},
    }  # fmt: skip
    return base | changes


class ProxyProcess:
    """One proxy, started by the `run` command of the deploy file."""

    def __init__(self, folder: Path, config: dict[str, object], record: Record, name: str = "n1") -> None:
        """Write the configuration; `folder` is the case's temporary folder."""
        self.name = name
        self.record = record
        self.port = free_port()
        self.operator_port = free_port()
        self._folder = folder
        self.config = folder / f"config-{name}.json"
        self.log = folder / f"log-{name}.txt"
        self.config.write_text(json.dumps(config | {"listen": f"{HOST}:{self.port}"}))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, operator_port: int | None = None) -> None:
        """Start the process; it is ready later."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmpdir = self._folder / "tmp"
        tmpdir.mkdir(exist_ok=True)
        environment = dict(os.environ) | {
            "EDGE_CONFIG": str(self.config),
            "EDGE_NAME": self.name,
            "EDGE_OPERATOR": f"{HOST}:{operator_port or self.operator_port}",
            "TMPDIR": str(tmpdir),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.record.line(f"started proxy {self.name}, pid {self.process.pid}, port {self.port}")

    async def wait_ready(self) -> None:
        """Wait until the proxy answers `mn` with `MN`."""
        until_s = time.monotonic() + READY_WAIT_S
        while time.monotonic() < until_s:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRunError(f"the proxy ended: {self.log.read_text()[-400:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"mn\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"MN\r\n":
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the proxy did not become ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.record.line(f"{number.name} to proxy {self.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """Discovery, cache nodes, an origin and one proxy; all end with the context."""

    def __init__(self, record: Record, nodes: int, **node_options: int) -> None:
        """Set up `nodes` cache nodes."""
        self.record = record
        self.discovery = Discovery(record)
        self.origin = Origin(record)
        self.nodes = [CacheNode(f"node-{number}", record, **node_options) for number in range(1, nodes + 1)]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.proxy: ProxyProcess | None = None

    async def __aenter__(self) -> World:
        """Start the stand-ins."""
        for stand_in in (self.discovery, self.origin, *self.nodes):
            await stand_in.start()
        lines = [self.discovery.member(node.name, node.address, "large") for node in self.nodes]
        lines.append(self.discovery.member("origin", self.origin.address, "origin"))
        self.discovery.members = {str(line["id"]): line for line in lines}
        return self

    async def start_proxy(
        self, deployment: dict[str, object], sockets: int = 256, memory_mb: int = 192
    ) -> ProxyProcess:
        """Start the proxy with these settings and wait until it is ready."""
        config: dict[str, object] = {
            "name": "n1", "discovery": self.discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.discovery.listing(), "settings": deployment,
        }  # fmt: skip
        self.proxy = ProxyProcess(Path(self._folder.name), config, self.record)
        self.proxy.start()
        await self.proxy.wait_ready()
        self.record.line("the proxy is ready")
        return self.proxy

    async def __aexit__(self, *_: object) -> None:
        """End all."""
        if self.proxy is not None:
            self.proxy.end()
        for stand_in in (self.discovery, self.origin, *self.nodes):
            await stand_in.stop()
        self._folder.cleanup()


HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_RUN_S = 110.0


def has_trouble() -> bool:
    """Return whether the case plays its disruption: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Record], Awaitable[list[str]]]) -> int:
    """Play a case, which returns the breaches of its rule; return the exit code of its script."""
    record = Record(folder / "record.txt")
    record.line(f"trouble: {'yes' if has_trouble() else 'no'}")

    async def play() -> list[str]:
        playing = asyncio.ensure_future(_awaited(case(record)))
        # Ended by a signal, the case still ends all processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        return await asyncio.wait_for(playing, LONGEST_RUN_S)

    try:
        breaches = asyncio.run(play())
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return CANNOT_RUN
    for breach in breaches:
        record.line(f"BROKEN: {breach}")
    verdict = f"broken {len(breaches)} times" if breaches else "held"
    record.line(f"the rule: {verdict}")
    print(f"the rule: {verdict}", *breaches[:5], sep="\n")
    record.close()
    return BROKEN if breaches else HELD


async def _awaited(case: Awaitable[list[str]]) -> list[str]:
    return await case
