"""Neighbours of real proxies, in one event loop: cache nodes, the origin and discovery.

What a key begins with says what becomes of it at a cache node: `hang` is never answered, `miss` is not there,
`slow` takes a while, `long` has a value that is passed on while it comes, `large` one that is nearly so long,
and all else is served with a value that names the request it was made for. A node's `mode` does the same to
all that it is asked.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from lab.invariant_checker import InvariantChecker
from lab.loopback.answer_forms import AnswerForms, FramedAnswer
from lab.loopback.event_time import EventTime
from lab.loopback.requests import receipt_for, value_of
from lab.member_row import MemberRow

SLOW_S = 0.15
LATE_S = 0.6
CLOSE_CHECK_S = 0.05
PIECE_BYTES = 7
PIECE_PAUSE_S = 0.004
USUAL_FORMS = AnswerForms(0, malformed_share=0.0, rare_share=0.0)
MAX_PIECES = 20  # then the rest in one


class NodeMode(Enum):
    """What becomes of all that a node is asked."""

    NORMAL = "normal"
    HANG = "hang"  # It takes requests, and answers none.
    RESET = "reset"  # It resets the connection of each.
    LATE = "late"  # It answers after `LATE_S`.
    PIECES = "pieces"  # It answers in small pieces.


class DiscoveryMode(Enum):
    """What becomes of calls to discovery."""

    NORMAL = "normal"
    SILENT = "silent"  # Calls are taken, and never answered.
    SLOW = "slow"  # Each answer takes `DISCOVERY_SLOW_S` longer.
    HALF = "half"  # Half of a list is sent, and nothing more.
    DOWN = "down"  # Each call is closed.


DISCOVERY_SLOW_S = 1.0


def propagated_ms(info: str) -> float:
    """Return the time that an attempt's list of names and values tells its node."""
    values = dict(part.partition("=")[::2] for part in info.split(","))
    return float(values["d"])


class StandIn:
    """A server; its connections end with it. `faults` are errors that nothing expected."""

    def __init__(self, event_time: EventTime) -> None:
        """Listen nowhere before `start`."""
        self.event_time = event_time
        self.address = ("", 0)
        self.faults: list[Exception] = []  # a rule that was not looked at may be broken
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self._server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        except Exception as error:
            self.faults.append(error)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Listen no more, and end all connections."""
        if self._server is None:
            return
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _write_in_mode(writer: asyncio.StreamWriter, data: bytes, mode: NodeMode) -> None:
    """Write an answer as the node's mode has it."""
    if mode is NodeMode.PIECES:
        for _ in range(MAX_PIECES):
            if len(data) <= PIECE_BYTES:
                break  # behind the last piece the next request is read at once
            writer.write(data[:PIECE_BYTES])
            data = data[PIECE_BYTES:]
            await asyncio.sleep(PIECE_PAUSE_S)
    writer.write(data)
    await writer.drain()


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the other side closes: behind a request that hangs no other is answered."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(CLOSE_CHECK_S)


def _reset(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()
    raise ConnectionResetError


class CacheNode(StandIn):
    """Reads alone come here: writes are the origin's."""

    def __init__(
        self, name: str, checker: InvariantChecker, event_time: EventTime, forms: AnswerForms | None = None
    ) -> None:
        """Report each attempt to the checker; `arrived` is called with each request's name.

        `forms` draws the forms of the answers, which are usual ones without it.
        """
        super().__init__(event_time)
        self._forms = forms or USUAL_FORMS
        self.name = name
        self.mode = NodeMode.NORMAL
        self.attempts = 0
        self.arrived: Callable[[str], None] = lambda _request: None
        self._checker = checker

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take each read as it comes, and answer them in their order."""
        taken: asyncio.Queue[tuple[str, str]] = asyncio.Queue()
        answering = asyncio.create_task(self._answer_in_order(writer, taken))
        try:
            while line := await reader.readline():
                taken.put_nowait(self._take(line.decode().split()))
        finally:
            answering.cancel()
            await asyncio.gather(answering, return_exceptions=True)
        if not answering.cancelled() and (error := answering.exception()) is not None:
            raise error

    def _take(self, words: list[str]) -> tuple[str, str]:
        """Report an attempt, and return its key and its request's name."""
        name = next(word[1:] for word in words if word.startswith("O"))
        info = next(word[1:] for word in words if word.startswith("P"))
        self.attempts += 1
        self._checker.attempt(self.event_time.came_s(), name, self.name, propagated_ms(info))
        self.arrived(name)
        return words[1], name

    async def _answer_in_order(
        self, writer: asyncio.StreamWriter, taken: asyncio.Queue[tuple[str, str]]
    ) -> None:
        while True:
            key, name = await taken.get()
            await self._answer(writer, key, name)

    async def _answer(self, writer: asyncio.StreamWriter, key: str, name: str) -> None:
        if key.startswith("hang") or self.mode is NodeMode.HANG:
            await asyncio.Event().wait()  # until the connection ends: behind it no other is answered
        if self.mode is NodeMode.RESET:
            _reset(writer)
        if key.startswith("slow"):
            await asyncio.sleep(SLOW_S)
        if self.mode is NodeMode.LATE:
            await asyncio.sleep(LATE_S)
        if key.startswith("miss"):
            self._checker.never_ran(name)
            answer = FramedAnswer(f"EN O{name}\r\n".encode())
        else:
            answer = self._forms.value(value_of(key, name), name)
        self._checker.settled(name)
        await _write_in_mode(writer, answer.data, self.mode)
        if answer.is_malformed:
            await asyncio.Event().wait()  # Nothing more comes on this connection.


class Origin(StandIn):
    """Fetches and writes, over HTTP/1.1."""

    name = "origin"

    def __init__(
        self, checker: InvariantChecker, event_time: EventTime, forms: AnswerForms | None = None
    ) -> None:
        """Report each attempt to the checker; `forms` draws the forms of the answers, else all are usual."""
        super().__init__(event_time)
        self._forms = forms or USUAL_FORMS
        self.mode = NodeMode.NORMAL
        self._checker = checker

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection in their order."""
        while True:
            method, target, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            name = headers["request-id"]
            self._checker.attempt(
                self.event_time.came_s(), name, self.name, propagated_ms(headers["request-info"])
            )
            if target.startswith("/hang") or self.mode is NodeMode.HANG:
                await _until_closed(reader)
                return
            if self.mode is NodeMode.RESET:
                _reset(writer)
            if self.mode is NodeMode.LATE:
                await asyncio.sleep(LATE_S)
            body = receipt_for(name) if method == "PUT" else value_of(target[1:], name)
            answer = self._forms.http(body, name)
            self._checker.settled(name)
            await _write_in_mode(writer, answer.data, self.mode)
            if answer.is_malformed:
                await _until_closed(reader)
            if answer.is_malformed or answer.closes:
                return


class Discovery(StandIn):
    """One proxy's view of the list. What is written to it is what it has been told."""

    def __init__(
        self, proxy: str, members: list[MemberRow], checker: InvariantChecker, event_time: EventTime
    ) -> None:
        """Report to the checker what the proxy is told; `members` is the list as it begins."""
        super().__init__(event_time)
        self.proxy = proxy
        self.revision = 1
        self.mode = DiscoveryMode.NORMAL
        self.calls = 0
        self.sent: list[MemberRow] = []  # the lines of the last list that was written
        self.members = {member["id"]: member for member in members}
        self._checker = checker
        self._changed = asyncio.Condition()

    async def change(self, *members: MemberRow) -> None:
        """Take lines of the list that are new, or other than before."""
        async with self._changed:
            self.revision += 1
            self.members |= {member["id"]: member for member in members}
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer polls and watches in their order."""
        while True:
            _, target, _ = await read_head(reader)
            self.calls += 1
            if self.mode is DiscoveryMode.DOWN:
                _reset(writer)
            query = {name: int(values[0]) for name, values in parse_qs(urlsplit(target).query).items()}
            await self._wait_for_change(query.get("after"), query.get("wait_ms", 0) / 1000.0)
            if self.mode is DiscoveryMode.SILENT:
                await asyncio.Event().wait()
            if self.mode is DiscoveryMode.SLOW:
                await asyncio.sleep(DISCOVERY_SLOW_S)
            await self._send_list(writer)

    async def _send_list(self, writer: asyncio.StreamWriter) -> None:
        members = list(self.members.values())
        body = json.dumps({"revision": self.revision, "complete": True, "members": members}).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.mode is DiscoveryMode.HALF:
            writer.write(answer[: len(answer) // 2])
            await asyncio.Event().wait()
        writer.write(answer)
        self.sent = members
        for member in members:
            self._checker.told(time.monotonic(), self.proxy, member)

    async def _wait_for_change(self, after: int | None, wait_s: float) -> None:
        if after is None or after < self.revision or not wait_s:
            return
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: self.revision > after), wait_s)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """Return method, target and headers of an HTTP request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split()
    headers = dict(line.split(": ", 1) for line in lines)
    return method, target, {name.lower(): text for name, text in headers.items()}
