"""Clients of real proxies, in the stand-ins' event loop: each request's one answer goes to the judge."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from lab.invariant_checker import InvariantChecker, RequestHistory
from lab.loopback.event_time import EventTime
from lab.loopback.requests import EFFECTS, Request, new_name

KINDS = {"key": 5, "hang": 3, "miss": 1, "slow": 1}  # how often each is asked for
WINDOW_S = 1.5  # of `adjust`
LATE_S = 3.0  # what is not answered so long after its time is lost, on the busiest machine
LEAVES_AFTER_S = 0.05
NEVER = "never answered"


class Clients:
    """Steady load on one proxy until `stop`; each of them has one request out at a time."""

    def __init__(
        self, proxy: str, address: tuple[str, int], judge: InvariantChecker, event_time: EventTime, seed: int
    ) -> None:
        self._proxy = proxy
        self._address = address
        self._judge = judge
        self._event_time = event_time
        self._random = random.Random(seed)
        self._going = True
        self.kinds = KINDS
        self._tasks: list[asyncio.Task] = []
        self.asked = self.served = 0
        self.lost: list[str] = []  # names of requests that got no answer
        self.ending = False  # a process here ends as planned: its closes may cross requests
        self.crossed = 0  # closed on before anything was forwarded for them

    def start(self, number: int, leavers: int = 0) -> None:
        """`leavers`: so many more ask, close at once, and come again."""
        self._tasks += [asyncio.create_task(self._ask()) for _ in range(number)]
        self._tasks += [asyncio.create_task(self._leave()) for _ in range(leavers)]

    async def stop(self) -> None:
        """Whoever waits for an answer still gets it."""
        self._going = False
        await asyncio.gather(*self._tasks)

    def _draw(self) -> Request:
        kind = self._random.choices(list(self.kinds), list(self.kinds.values()))[0]
        class_name = self._random.choices(list(EFFECTS), [8, 1, 1])[0]
        return Request(new_name(), kind, class_name, self._random.randrange(300, 900))

    def _sent(self, request: Request) -> None:
        now = time.monotonic()
        effect = EFFECTS[request.class_name]
        deadline_s = now + request.wait_ms / 1000.0
        self._judge.taken(RequestHistory(request.name, self._proxy, effect, now, deadline_s, WINDOW_S))
        self.asked += 1

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        with contextlib.suppress(ConnectionError):
            return await asyncio.open_connection(*self._address)
        await asyncio.sleep(0.05)
        return None

    async def _ask(self) -> None:
        stream = None
        while self._going:
            stream = stream or await self._connect()
            if stream is None:
                continue
            kept = await self._one(stream, self._draw())
            if not kept:
                stream[1].close()
                stream = None
        if stream is not None:
            stream[1].close()

    async def _one(self, stream: tuple[asyncio.StreamReader, asyncio.StreamWriter], request: Request) -> bool:
        """Whether the connection is good for a further request."""
        reader, writer = stream
        self._sent(request)
        try:
            writer.write(request.encode())
            answer = await asyncio.wait_for(self._read(reader), request.wait_ms / 1000.0 + LATE_S)
        except TimeoutError:
            return self._is_lost(request, NEVER)
        except ConnectionError:
            return self._is_lost(request, "its connection was reset")
        if not answer:
            return self._is_lost(request, "its connection was closed")
        self._answered(request, answer)
        return True

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        line = await reader.readline()
        if line.startswith(b"VA "):
            line += await reader.readexactly(int(line.split()[1]) + 2)
        return line

    def _answered(self, request: Request, answer: bytes) -> None:
        served = answer.startswith((b"VA ", b"HD "))
        refused = answer.startswith(b"SERVER_ERROR busy")
        self.served += served
        how = "served" if served else "refused" if refused else "failed"
        right = answer == request.right if served else answer.startswith(b"SERVER_ERROR")
        self._judge.answered(self._event_time.came_s(), request.name, how, right)

    def _is_lost(self, request: Request, why: str) -> bool:
        if self.ending and why != NEVER and not self._judge.histories[request.name].attempts:
            self.crossed += 1  # it was not read: a client would send it once more on a new connection
            self._judge.forget(request.name)
            return False
        self.lost.append(request.name)
        self._judge.lost(time.monotonic(), request.name, why)
        self._judge.left(time.monotonic(), request.name)
        return False

    async def _leave(self) -> None:
        """Asks for what hangs, and closes without an answer: nothing may begin for it after that."""
        while self._going:
            stream = await self._connect()
            if stream is None:
                continue
            request = Request(new_name(), "hang", "page", 1500)
            self._sent(request)
            stream[1].write(request.encode())
            await asyncio.sleep(LEAVES_AFTER_S)
            stream[1].close()
            self._judge.left(time.monotonic(), request.name)
            await asyncio.sleep(0.2)
