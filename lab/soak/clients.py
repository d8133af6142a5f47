"""The clients of one proxy: those of each behaviour, a front that asks whether it serves, and a crowd."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from lab.soak.behaviours import BEHAVIOURS, Asker, Behaviour
from lab.soak.connection import SoakConnection, connect
from lab.soak.oracle import Oracle

FRONT_INTERVAL_S = 0.1
FRONT_TIMEOUT_S = 1.0
STOPS_AFTER_NO_S = 0.2  # new connections go on for so long behind a no
RECONNECT_S = 0.05
CROWD = 130
CROWD_RECONNECT_S = 0.2
SERVING = b"MN\r\n"


class Front:
    """Asks a proxy whether it serves, on a new connection each time, as the layer before the proxies does."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Nobody is sent there before the first yes."""
        self._address = address
        self.yes_s = -1.0e9  # of the last yes
        self._says_yes = False

    @property
    def sends_clients(self) -> bool:
        """Whether new connections are opened there."""
        return self._says_yes or time.monotonic() - self.yes_s < STOPS_AFTER_NO_S

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            self._says_yes = await self.ask()
            if self._says_yes:
                self.yes_s = time.monotonic()
            await asyncio.sleep(FRONT_INTERVAL_S)

    async def ask(self) -> bool:
        """Return whether the answer is yes."""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self._address), FRONT_TIMEOUT_S)
            try:
                writer.write(b"mn\r\n")
                return await asyncio.wait_for(reader.readline(), FRONT_TIMEOUT_S) == SERVING
            finally:
                writer.close()
        return False


class Clients:
    """All clients of one proxy, as tasks."""

    def __init__(
        self, proxy: str, address: tuple[str, int], oracle: Oracle, draw: random.Random, longest_ms: int
    ) -> None:
        """Start nothing yet."""
        self.front = Front(address)
        self._proxy = proxy
        self._address = address
        self._oracle = oracle
        self._draw = draw
        self._longest_ms = longest_ms
        self._going = True
        self._tasks: list[asyncio.Task[None]] = []
        self._front_task: asyncio.Task[None] | None = None
        self._crowd: list[asyncio.Task[None]] = []
        self._connections: set[SoakConnection] = set()

    def start(self, crowd: bool) -> None:
        """Start them all; with a crowd of idle connections, which fills the descriptors."""
        self._front_task = asyncio.create_task(self.front.run())
        for behaviour in BEHAVIOURS:
            for _ in range(behaviour.number):
                asker = Asker(random.Random(self._draw.random()), self._longest_ms)
                self._tasks.append(asyncio.create_task(self._run(behaviour, asker)))
        if crowd:
            self._crowd = [asyncio.create_task(self._stay()) for _ in range(CROWD)]

    def connection_of(self, port: int) -> SoakConnection | None:
        """Return the open connection whose client has that port."""
        return next((one for one in self._connections if one.story.port == port), None)

    async def _run(self, behaviour: Behaviour, asker: Asker) -> None:
        while self._going:
            await asyncio.sleep(RECONNECT_S)
            if not self.front.sends_clients:
                continue
            connection = await connect(
                self._address,
                behaviour.name,
                self._proxy,
                self._oracle,
                behaviour.receive_buffer,
                behaviour.read_limit,
            )
            if connection is None:
                continue
            self._connections.add(connection)
            acting = asyncio.ensure_future(behaviour.act(connection, asker, self._oracle))
            try:
                await self._until_over(acting)
            finally:
                acting.cancel()
                await connection.close()
                self._connections.discard(connection)

    async def _until_over(self, acting: asyncio.Future[None]) -> None:
        """Wait until the client is done with its connection, or the run with its clients."""
        while self._going and not acting.done():
            await asyncio.wait([acting], timeout=0.1)
        if acting.done():
            acting.result()

    async def _stay(self) -> None:
        """One of a crowd: connects, says nothing, and connects again when it is closed."""
        while self._going:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self._address)
                try:
                    while self._going:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(reader.read(1), 0.5)
                            break
                finally:
                    writer.close()
            await asyncio.sleep(CROWD_RECONNECT_S)

    async def stop(self) -> None:
        """Let each get its last answers, and end."""
        self._going = False
        await asyncio.gather(*self._tasks, *self._crowd)
        if self._front_task is not None:
            self._front_task.cancel()
