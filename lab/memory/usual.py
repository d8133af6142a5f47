"""Usual clients beside a crowd: short reads and writes, each of which is owed one answer in time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

DEADLINE_MS = 2000
LATE_S = 0.5  # beyond the deadline an answer may still come so late
INTERVAL_S = 0.2
LARGE_WRITE_BYTES = 20_000
LARGE_WRITE_EVERY = 5


@dataclass
class UsualAnswers:
    """What became of the requests."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    crossed: int = 0  # A connection was closed between requests: the request is sent again.
    lost: list[str] = field(default_factory=list)
    slowest_s: float = 0.0
    unconnected: int = 0  # No connection could be made in time.

    @property
    def answered(self) -> int:
        """The number of requests with an answer."""
        return self.served + self.rejected + self.failed


class UsualClients:
    """Some clients that each send a request now and then, half of them on connections that they keep."""

    def __init__(self, address: tuple[str, int], number: int = 4) -> None:
        """Start nothing yet."""
        self.answers = UsualAnswers()
        self._address = address
        self._number = number
        self._going = True
        self._tasks: list[asyncio.Task[None]] = []
        self._count = 0

    def start(self) -> None:
        """Start the clients."""
        self._tasks = [
            asyncio.create_task(self._run(keeps_connection=number % 2 == 0)) for number in range(self._number)
        ]

    async def stop(self) -> UsualAnswers:
        """Wait for the last answers, and return what became of all requests."""
        self._going = False
        await asyncio.gather(*self._tasks)
        return self.answers

    async def _run(self, keeps_connection: bool) -> None:
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while self._going:
            began_s = time.monotonic()
            if streams is None:
                streams = await self._connect()
            if streams is not None:
                streams = await self._ask(*streams)
            if streams is not None and not keeps_connection:
                streams[1].close()
                streams = None
            await asyncio.sleep(max(0.0, began_s + INTERVAL_S - time.monotonic()))
        if streams is not None:
            streams[1].close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            return await asyncio.wait_for(asyncio.open_connection(*self._address), DEADLINE_MS / 1000.0)
        except (OSError, TimeoutError):
            self.answers.unconnected += 1
            return None

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Send one request; return the connection if it is still open."""
        self._count += 1
        name = f"u{self._count}"
        sent_s = time.monotonic()
        with contextlib.suppress(OSError):
            writer.write(self._request(name))
        try:
            answer = await asyncio.wait_for(self._answer(reader), DEADLINE_MS / 1000.0 + LATE_S)
        except TimeoutError:
            self.answers.lost.append(f"{name}: no answer")
            writer.close()
            return None
        except (OSError, asyncio.IncompleteReadError):
            answer = b""
        self.answers.slowest_s = max(self.answers.slowest_s, time.monotonic() - sent_s)
        if not answer:
            self.answers.crossed += 1
            writer.close()
            return None
        self._count_answer(answer)
        return reader, writer

    def _request(self, name: str) -> bytes:
        if self._count % LARGE_WRITE_EVERY:
            return f"mg size1000-{name} v O{name} Pc=page,t=acme,d={DEADLINE_MS}\r\n".encode()
        head = f"ms w{name} {LARGE_WRITE_BYTES} O{name} Pc=adjust,t=acme,d={DEADLINE_MS},k={name}\r\n"
        return head.encode() + b"x" * LARGE_WRITE_BYTES + b"\r\n"

    @staticmethod
    async def _answer(reader: asyncio.StreamReader) -> bytes:
        line = await reader.readline()
        if line.startswith(b"VA "):
            line += await reader.readexactly(int(line.split()[1]) + 2)
        return line

    def _count_answer(self, answer: bytes) -> None:
        if answer.startswith((b"VA ", b"HD ")):
            self.answers.served += 1
        elif answer.startswith(b"SERVER_ERROR busy"):
            self.answers.rejected += 1
        else:
            self.answers.failed += 1
