"""Stand-ins round real proxies, in one event loop: cache nodes, the origin and discovery.

What a key begins with says what becomes of it at a cache node: `hang` is never answered, `miss` is not there,
`slow` takes a while, and all else is served with a value that names the request it was made for.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from event_time import EventTime

from lab.invariant_checker import InvariantChecker

SLOW_S = 0.15


def value_for(name: str) -> bytes:
    """The one right value of a read."""
    return b"value-of-" + name.encode()


def receipt_for(name: str) -> bytes:
    """The one right receipt of a write."""
    return b"receipt-of-" + name.encode()


def told_ms(info: str) -> float:
    """The time that an attempt's list of names and values tells its node."""
    values = dict(part.partition("=")[::2] for part in info.split(","))
    return float(values["d"])


class StandIn:
    """A server of this world; its connections end with it."""

    def __init__(self, event_time: EventTime) -> None:
        self.event_time = event_time
        self.address = ("", 0)
        self.faults: list[
            Exception
        ] = []  # what nothing expected: a rule that was not looked at may be broken
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self._server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        except Exception as error:
            self.faults.append(error)
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class CacheNode(StandIn):
    """Reads alone come here: writes are the origin's."""

    def __init__(self, name: str, judge: InvariantChecker, event_time: EventTime) -> None:
        super().__init__(event_time)
        self.name = name
        self.attempts = 0
        self.arrived: Callable[[str], None] = lambda request: None
        self._judge = judge

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.decode().split()
            key = words[1]
            name = next(word[1:] for word in words if word.startswith("O"))
            info = next(word[1:] for word in words if word.startswith("P"))
            self.attempts += 1
            self._judge.attempt(self.event_time.came_s(), name, self.name, told_ms(info))
            self.arrived(name)
            await self._answer(writer, key, name)

    async def _answer(self, writer: asyncio.StreamWriter, key: str, name: str) -> None:
        if key.startswith("hang"):
            return
        if key.startswith("slow"):
            await asyncio.sleep(SLOW_S)
        if key.startswith("miss"):
            self._judge.never_ran(name)
            writer.write(f"EN O{name}\r\n".encode())
        else:
            value = value_for(name)
            writer.write(b"VA %d O%s\r\n%s\r\n" % (len(value), name.encode(), value))
        self._judge.settled(name)


class Origin(StandIn):
    """Fetches and writes, over HTTP/1.1."""

    name = "origin"

    def __init__(self, judge: InvariantChecker, event_time: EventTime) -> None:
        super().__init__(event_time)
        self._judge = judge

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            method, target, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            name = headers["request-id"]
            self._judge.attempt(self.event_time.came_s(), name, self.name, told_ms(headers["request-info"]))
            if target.startswith("/hang"):
                continue
            body = receipt_for(name) if method == "PUT" else value_for(name)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nRequest-Id: {name}\r\n\r\n"
            writer.write(head.encode() + body)
            self._judge.settled(name)


class Discovery(StandIn):
    """One proxy's view of the list. What is written to it is what it has been told."""

    def __init__(
        self, proxy: str, members: list[dict], judge: InvariantChecker, event_time: EventTime
    ) -> None:
        super().__init__(event_time)
        self.proxy = proxy
        self.revision = 1
        self.silent = False  # calls are taken, and never answered
        self.calls = 0
        self.sent: list[dict] = []  # the lines of the last list that was written
        self.members = {member["id"]: member for member in members}
        self._judge = judge
        self._changed = asyncio.Condition()

    async def change(self, *members: dict) -> None:
        """Lines of the list that are new, or other than before."""
        async with self._changed:
            self.revision += 1
            self.members |= {member["id"]: member for member in members}
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, target, _ = await read_head(reader)
            self.calls += 1
            query = {name: int(values[0]) for name, values in parse_qs(urlsplit(target).query).items()}
            await self._news(query.get("after"), query.get("wait_ms", 0) / 1000.0)
            if self.silent:
                await asyncio.Event().wait()
            members = list(self.members.values())
            body = json.dumps({"revision": self.revision, "complete": True, "members": members}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self.sent = members
            for member in members:
                self._judge.told(time.monotonic(), self.proxy, member)

    async def _news(self, after: int | None, wait_s: float) -> None:
        if after is None or after < self.revision or not wait_s:
            return
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: self.revision > after), wait_s)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """Method, target and headers of an HTTP request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split()
    headers = dict(line.split(": ", 1) for line in lines)
    return method, target, {name.lower(): text for name, text in headers.items()}
