"""One connection of a client of the soak: what is sent on it, and the answers in their order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque

from lab.loopback.requests import Request
from lab.soak.oracle import LATE_S, SLACK_S, Oracle, SentRequest
from lab.soak.story import ConnectionStory

READ_LIMIT = 1 << 20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECT_TIMEOUT_S = 5.0
IN_ORDER_S = 6.0  # an answer may wait for the ones before it, each for its own deadline


class SoakConnection:
    """A connection whose answers are read as they come, unless `hold` stops that."""

    def __init__(
        self,
        story: ConnectionStory,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        oracle: Oracle,
    ) -> None:
        """Read from now on."""
        self.story = story
        self.ended = asyncio.Event()  # the proxy's end has come, or the client has closed
        self.errors = asyncio.Event()  # an error has come that answers no request
        self._reader = reader
        self._writer = writer
        self._oracle = oracle
        self._pending: deque[SentRequest | None] = deque()  # None: a question that is no request
        self._answers = 0
        self._answered_s = -1.0e9
        self._was_held = False  # the client itself has had its answers wait
        self._bytes_per_s = 0.0  # what its link carries; 0: no limit
        self._idle = asyncio.Event()
        self._idle.set()
        self._may_read = asyncio.Event()
        self._may_read.set()
        self._task = asyncio.create_task(self._read())

    @property
    def open(self) -> bool:
        """Whether more can be sent."""
        return not self.ended.is_set()

    @property
    def pending_count(self) -> int:
        """How many answers are due."""
        return len(self._pending)

    # Sending --------------------------------------------------------------------------------------

    def send(self, *requests: Request) -> None:
        """Write requests at once."""
        for request in requests:
            self._pending.append(self._oracle.sent(request, self.story))
        self._idle.clear()
        self._write(b"".join(request.encode() for request in requests))

    def ask(self) -> None:
        """Write `mn`."""
        self._pending.append(None)
        self._idle.clear()
        self._write(b"mn\r\n")

    def send_raw(self, data: bytes, answers: int = 0) -> None:
        """Write bytes that are no request, and get so many error lines."""
        self._pending.extend([None] * answers)
        self._write(data)

    def _write(self, data: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(data)

    # Answers --------------------------------------------------------------------------------------

    def hold(self) -> None:
        """Read nothing until `go_on`: what is sent stays in the kernels."""
        self._was_held = True
        self._may_read.clear()
        self._writer.transport.pause_reading()  # type: ignore[attr-defined]

    def go_on(self) -> None:
        """Read again."""
        self._may_read.set()
        with contextlib.suppress(RuntimeError):
            self._writer.transport.resume_reading()  # type: ignore[attr-defined]

    def limit_rate(self, bytes_per_s: float) -> None:
        """Read no faster than that from now on, as over a slow link."""
        self._was_held = True
        self._bytes_per_s = bytes_per_s

    async def _read(self) -> None:
        how = "the proxy closes"
        try:
            while line := await self._read_answer():
                self._take(line)
                if self._bytes_per_s:
                    await asyncio.sleep(len(line) / self._bytes_per_s)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            how = f"the connection breaks ({type(error).__name__})"
        if not self.ended.is_set():
            self.ended.set()
            unanswered = [sent for sent in self._pending if sent is not None]
            self._oracle.connection_ended(unanswered, self.story, self._answers, how)
        self._pending.clear()
        self._idle.set()
        self._writer.close()

    async def _read_answer(self) -> bytes:
        await self._may_read.wait()
        line = await self._reader.readline()
        if line and not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        if line.startswith(b"VA "):
            line += await self._reader.readexactly(int(line.split()[1]) + 2)
        return line

    def _take(self, answer: bytes) -> None:
        if answer.startswith(b"CLIENT_ERROR") and not (self._pending and self._pending[0] is None):
            self.errors.set()
            return
        if not self._pending:
            self.errors.set()  # half a command was cut
            return
        sent = self._pending.popleft()
        if sent is not None:
            behind_s = 0.0 if self._was_held else time.monotonic() - self._answered_s
            self._oracle.answered(sent, answer, self.story, behind_s)
            self._answers += 1
            self._answered_s = time.monotonic()
        if not self._pending:
            self._idle.set()

    async def idle(self) -> None:
        """Wait until each request has its answer, or the connection has ended; judges the wait."""
        while self._pending and self.open:
            oldest = next((sent for sent in self._pending if sent is not None), None)
            late_s = 0.0 if oldest is None else oldest.deadline_s + LATE_S + IN_ORDER_S + SLACK_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._idle.wait(), max(0.1, late_s - time.monotonic()))
                return
            if oldest is not None and oldest in self._pending:
                self._oracle.never_answered(oldest, self.story)
                self.leave()

    # The client's own end -------------------------------------------------------------------------

    def leave(self, reset: bool = False) -> None:
        """Close, whatever is due."""
        if self.ended.is_set():
            return
        self.ended.set()
        self._oracle.left(sent for sent in self._pending if sent is not None)
        self.story.note("the client closes")
        if reset:
            handle = self._writer.get_extra_info("socket")
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._writer.transport.abort()
        self._writer.close()

    def end_sending(self) -> None:
        """Close the sending side alone, by which a client counts as gone."""
        self._oracle.left(sent for sent in self._pending if sent is not None)
        self._pending.clear()
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.write_eof()

    async def close(self) -> None:
        """Let the rest come, and end."""
        self.go_on()
        await self.idle()
        self.leave()
        await self._task


async def connect(
    address: tuple[str, int],
    kind: str,
    proxy: str,
    oracle: Oracle,
    receive_buffer: int = 0,
    read_limit: int = READ_LIMIT,
) -> SoakConnection | None:
    """Open a connection, on which some `read_limit` bytes are read ahead; None where none can be had."""
    handle = socket.socket()
    handle.setblocking(False)
    if receive_buffer:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    loop = asyncio.get_running_loop()
    try:
        await asyncio.wait_for(loop.sock_connect(handle, address), CONNECT_TIMEOUT_S)
        reader, writer = await asyncio.open_connection(sock=handle, limit=read_limit)
    except (OSError, TimeoutError):
        handle.close()
        return None
    story = ConnectionStory(kind, proxy, handle.getsockname()[1])
    return SoakConnection(story, reader, writer, oracle)
