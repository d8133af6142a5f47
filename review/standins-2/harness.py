"""Stand-ins of a small deployment for the cases 6 to 10: servers, clients and the platform, on loopback.

A case is a coroutine that gets a `Case`; it returns the list of broken rules. `main` runs it, writes the
record, ends all processes that were started, and turns the result into the exit code of `run.sh`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
MAX_RUN_S = 110.0
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2

Member = dict[str, Any]


class CaseCannotRunError(Exception):
    """The case could not be run, so it shows nothing."""


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file."""
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time in seconds since the beginning."""
        self._file.write(f"{time.monotonic() - self._began_s:9.3f} {text}\n")
        self._file.flush()


class Server:
    """A TCP server on loopback, whose connections end with it."""

    def __init__(self, record: Record, name: str) -> None:
        """Listen nowhere before `start`."""
        self.record, self.name = record, name
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accepted, HOST, self.port, limit=8 << 20)
        self.port = int(self._server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """Return the address as `host:port`."""
        return f"{HOST}:{self.port}"

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def close_port(self) -> None:
        """Accept no new connection."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Listen no more, and end all connections."""
        self.close_port()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class CacheNode(Server):
    """A cache node: answers reads from its store, or with a miss; it never fetches."""

    def __init__(self, record: Record, name: str) -> None:
        """Begin with an empty store."""
        super().__init__(record, name)
        self.store: dict[str, bytes] = {}
        self.commands: list[tuple[float, str]] = []  # time and line of each command

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of a connection in their order."""
        while line := await reader.readline():
            words = line.decode().split()
            self.commands.append((time.monotonic(), line.decode().strip()))
            self.record.add(f"{self.name} < {line.decode().strip()}")
            request_id = next((word[1:] for word in words if word.startswith("O")), "")
            if words[0] == "ms":
                value = (await reader.readexactly(int(words[2]) + 2))[:-2]
                answer = self.answer_write(words[1], request_id, value)
            else:
                answer = self.answer_read(words[1], request_id)
            self.record.add(f"{self.name} > {answer[:60]!r}")
            writer.write(answer)
            await writer.drain()

    def answer_read(self, key: str, request_id: str) -> bytes:
        """Return the value, or a miss."""
        value = self.store.get(key)
        if value is None:
            return f"EN O{request_id}\r\n".encode()
        return f"VA {len(value)} O{request_id}\r\n".encode() + value + b"\r\n"

    def answer_write(self, key: str, request_id: str, value: bytes) -> bytes:
        """Store the value, as the command says, and return a receipt of this node's own."""
        self.store[key] = value
        return f"HD O{request_id} c{self.name}-{request_id}\r\n".encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """Return method, target and headers of an HTTP request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split()
    headers = dict(line.split(": ", 1) for line in lines)
    return method, target, {name.lower(): text for name, text in headers.items()}


class Origin(Server):
    """The origin: keeps all values, gives each write a receipt; `send_value` may be replaced."""

    def __init__(self, record: Record, name: str = "origin") -> None:
        """Begin with an empty store."""
        super().__init__(record, name)
        self.values: dict[str, bytes] = {}
        self.writes: list[tuple[str, str]] = []  # request id and key of each write that has run
        self.send_value: Callable[[asyncio.StreamWriter, str, bytes], Awaitable[bool]] = self.send_plain

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection in their order."""
        while True:
            method, target, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            key, request_id = unquote(target[1:]), headers["request-id"]
            self.record.add(f"{self.name} < {method} {key} {request_id}")
            if method == "PUT":
                self.values[key] = body
                self.writes.append((request_id, key))
                await self.send_plain(writer, key, f"origin-{request_id}".encode())
            elif not await self.send_value(writer, key, self.values.get(key, b"none")):
                return

    async def send_plain(self, writer: asyncio.StreamWriter, key: str, value: bytes) -> bool:
        """Send an answer with its length; return whether the connection stays open."""
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(value)}\r\n\r\n".encode() + value)
        await writer.drain()
        self.record.add(f"{self.name} > {key} {len(value)} bytes")
        return True


class Discovery(Server):
    """Discovery: the whole list, and watches that wait for a change."""

    def __init__(self, record: Record, members: list[Member], name: str = "discovery") -> None:
        """Begin with this list, at revision 1."""
        super().__init__(record, name)
        self.revision = 1
        self.members = {member["id"]: member for member in members}
        self.changes: list[tuple[int, Member]] = [(1, member) for member in members]
        self.told: list[tuple[float, int]] = []  # time and revision of each answer
        self._changed = asyncio.Event()

    def change(self, member: Member) -> None:
        """Take a line of the list that is new, or other than before; `terminated` removes it."""
        self.revision += 1
        self.changes.append((self.revision, member))
        if member["phase"] == "terminated":
            self.members.pop(member["id"], None)
        else:
            self.members[member["id"]] = member
        self.record.add(f"{self.name}: revision {self.revision}: {member['id']} {member['phase']}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def before_call(self, _is_watch: bool) -> None:
        """Wait before a call is handled; a case may replace it."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of a connection in their order."""
        while True:
            _, target, _ = await read_head(reader)
            self.record.add(f"{self.name} < {target}")
            query = {name: int(values[0]) for name, values in parse_qs(urlsplit(target).query).items()}
            after, wait_s = query.get("after"), query.get("wait_ms", 0) / 1000.0
            await self.before_call(wait_s > 0)
            deadline_s = time.monotonic() + wait_s
            while (
                after is not None and after >= self.revision and (left_s := deadline_s - time.monotonic()) > 0
            ):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
            await self._send_list(writer, after)

    async def _send_list(self, writer: asyncio.StreamWriter, after: int | None) -> None:
        if after is None:
            members = list(self.members.values())
        else:
            members = list({m["id"]: m for revision, m in self.changes if revision > after}.values())
        document = {"revision": self.revision, "complete": after is None, "members": members}
        body = json.dumps(document).encode()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        self.told.append((time.monotonic(), self.revision))
        self.record.add(f"{self.name} > revision {self.revision}, {len(members)} lines")


def member(server: Server, flavor: str = "large", **fields: object) -> Member:
    """Return a server's line of the list."""
    line = {"id": server.name, "host_port": server.address, "locality": "here", "flavor": flavor, "cell": 0}
    return {**line, "phase": "in_service", "size": 1.0, "up_since_ms": 0, **fields}


def settings(**changes: object) -> dict[str, Any]:
    """Return the settings of a small deployment: those of the project's example, and one more class."""
    example = json.loads((ROOT / "examples" / "config.json").read_text())
    chosen: dict[str, Any] = example["settings"]
    page = {"name": "catalogue-page", "effect": "retryable", "objective": 1500, "deadline": 4000}
    chosen["classes"].insert(0, {**page, "importance": 1, "late-value": 0.2})
    chosen.update(changes)
    return chosen


class Proxy:
    """One proxy, started as the platform does: with the command `run` of the deploy file."""

    def __init__(self, case: Case, discovery: Discovery, known: list[Member], **changes: object) -> None:
        """Write the configuration; nothing runs before `start`."""
        self._case = case
        self.port, self.operator_port = free_port(), free_port()
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "operator": f"{HOST}:{self.operator_port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": discovery.revision, "complete": True, "members": known},
            "settings": settings(**changes),
        }
        self.config_path = case.folder / f"config-{self.port}.json"
        self.log_path = case.folder / f"log-{self.port}.txt"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program, and wait until it answers `mn` with `MN`."""
        self.config_path.write_text(json.dumps(self.config))
        self.process = await self._case.start_program(
            "run", {"EDGE_CONFIG": str(self.config_path)}, self.log_path
        )
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError, CaseCannotRunError):
                client = await Client.open(self._case.record, self.port)
                answer = await client.probe()
                client.close()
                if answer == b"MN\r\n":
                    return
            await asyncio.sleep(0.05)
        raise CaseCannotRunError("the proxy was not ready in time")


class Client:
    """One client's connection, which sends a request once the one before it is answered."""

    _numbers = itertools.count(1)
    _open: ClassVar[list[asyncio.StreamWriter]] = []

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use an open connection."""
        self._record, self._reader, self._writer = record, reader, writer
        self._open.append(writer)

    @classmethod
    async def open(cls, record: Record, port: int) -> Client:
        """Connect to a proxy."""
        reader, writer = await asyncio.open_connection(HOST, port, limit=8 << 20)
        return cls(record, reader, writer)

    async def probe(self) -> bytes:
        """Return the answer to `mn`."""
        self._writer.write(b"mn\r\n")
        return await asyncio.wait_for(self._reader.readline(), 1.0)

    async def read(self, key: str, wait_ms: int = 1500, class_name: str = "price-check") -> bytes | None:
        """Return the value, or None if the answer is another one or none comes."""
        head = await self.send_read(key, wait_ms, class_name)
        return await self.read_value(head) if head.startswith(b"VA ") else None

    async def send_read(self, key: str, wait_ms: int, class_name: str) -> bytes:
        """Send a read, and return the line that answers it; b"" if none comes in time."""
        request_id = f"{next(self._numbers):016x}"
        line = f"mg {key} v O{request_id} Pc={class_name},t=far-north,d={wait_ms}"
        return await self._ask(line.encode() + b"\r\n", wait_ms)

    async def read_value(self, head: bytes) -> bytes:
        """Return the value behind the line `head`."""
        return (await self._reader.readexactly(int(head.split()[1]) + 2))[:-2]

    async def write(self, key: str, value: bytes, class_name: str, wait_ms: int = 1500) -> bytes:
        """Return the line that answers a write."""
        request_id = f"{next(self._numbers):016x}"
        info = f"c={class_name},t=far-north,d={wait_ms},k=key{request_id}"
        line = f"ms {key} {len(value)} O{request_id} P{info}"
        return await self._ask(line.encode() + b"\r\n" + value + b"\r\n", wait_ms)

    async def _ask(self, data: bytes, wait_ms: int) -> bytes:
        self._record.add(f"client > {data[:100]!r}")
        self._writer.write(data)
        head = b""
        with contextlib.suppress(TimeoutError, ConnectionError):
            head = await asyncio.wait_for(self._reader.readline(), wait_ms / 1000.0 + 0.5)
        self._record.add(f"client < {head[:100]!r}")
        return head

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    @classmethod
    async def close_all(cls) -> None:
        """Close the connections that are still open."""
        for writer in cls._open:
            writer.close()
        await asyncio.gather(*(writer.wait_closed() for writer in cls._open), return_exceptions=True)


class Case:
    """What a case has: the record, a temporary folder, and the programs that it starts."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        """`trouble` says whether the disruption takes place."""
        self.record, self.folder, self.trouble = record, folder, trouble
        self.servers: list[Server] = []
        self._programs: list[asyncio.subprocess.Process] = []

    async def serve(self, *servers: Server) -> None:
        """Start servers, which end with the case."""
        for server in servers:
            await server.start()
            self.servers.append(server)

    async def start_program(
        self, command: str, environ: dict[str, str], log_path: Path
    ) -> asyncio.subprocess.Process:
        """Start a program with a command of the deploy file, in a process group of its own."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        return await self._start(["/bin/sh", "-c", deploy[command]], environ, log_path)

    async def start_python(self, log_path: Path, *arguments: str) -> asyncio.subprocess.Process:
        """Start a Python program with what the deploy file builds, for the project's other programs."""
        python = str(ROOT / ".venv" / "bin" / "python")
        return await self._start([python, *arguments], {"PYTHONPATH": str(ROOT)}, log_path)

    async def _start(
        self, command: list[str], environ: dict[str, str], log_path: Path
    ) -> asyncio.subprocess.Process:
        with log_path.open("ab") as log:
            program = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, "TMPDIR": str(self.folder), **environ},
            )
        self._programs.append(program)
        self.record.add(f"platform: started process {program.pid}")
        return program

    async def end(self) -> None:
        """End all programs and servers."""
        for program in self._programs:
            if program.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(program.pid, signal.SIGKILL)
                await program.wait()
        await Client.close_all()
        for server in self.servers:
            await server.stop()


def main(folder: Path, case: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Run a case whose files are in `folder`, and exit with 1, 0 or 2."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {trouble}")

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as name:
            context = Case(record, Path(name), trouble)
            try:
                broken = await asyncio.wait_for(case(context), MAX_RUN_S)
            except Exception as error:  # A fault of the case itself shows nothing.
                record.add(f"not run: {error!r}")
                return NOT_RUN
            finally:
                await context.end()
                for log in sorted(Path(name).glob("log-*.txt")):
                    for line in log.read_text(errors="replace").splitlines():
                        record.add(f"{log.name}: {line}")
            for text in broken:
                record.add(f"broken: {text}")
            record.add("the rule was broken" if broken else "the rule held")
            sys.stdout.write("".join(f"broken: {text}\n" for text in broken[:5]))
            return RULE_BROKEN if broken else RULE_HELD

    try:
        code = asyncio.run(run())
    except asyncio.CancelledError:  # SIGTERM; what the case has started is ended by then.
        code = NOT_RUN
    sys.exit(code)
