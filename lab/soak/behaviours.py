"""What clients of the soak do on a connection, one function a state of docs/design/ends.md.

Each goes on with what makes its state until its connection ends; where the client itself ends it, it returns.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from lab.loopback.requests import Request, new_name
from lab.soak.connection import READ_LIMIT, SoakConnection
from lab.soak.oracle import BAD_CLIENT_S, SLACK_S, Oracle

KINDS = {"key": 6, "slow": 2, "miss": 2, "hang": 1}  # of keys, how often each is asked for
CLASSES = {"page": 8, "adjust": 1, "order": 1}
MOST_OVERLAPPING = 150  # requests without an answer on one connection
BURST = 9
UNREAD = 40  # requests whose answers are not read: the kernel takes them all
LEAVES_AFTER_S = 0.05
PIPELINED = 60  # reads without an answer on one connection
WRITTEN_AT_ONCE = 12  # of them
PIPELINED_KINDS = {"large": 19, "long": 1}
LINK_BUFFER = 65_536  # bytes, of the client's kernel and of the client
MALFORMED_IN_A_ROW = 15


@dataclass(frozen=True)
class Behaviour:
    """One kind of client: what it does on each connection, and how many of it a proxy has."""

    name: str
    act: Callable[[SoakConnection, Asker, Oracle], Awaitable[None]]
    number: int = 1
    receive_buffer: int = 0
    read_limit: int = READ_LIMIT


@dataclass
class Asker:
    """Draws the requests of one client."""

    draw: random.Random
    longest_ms: int
    classes: dict[str, int] = field(default_factory=lambda: dict(CLASSES))

    def request(self, kind: str = "", class_name: str = "") -> Request:
        """Return a request; what is not given is drawn."""
        kind = kind or self.draw.choices(list(KINDS), list(KINDS.values()))[0]
        class_name = class_name or self.draw.choices(list(self.classes), list(self.classes.values()))[0]
        wait_ms = self.draw.randint(int(0.4 * self.longest_ms), self.longest_ms)
        return Request(new_name(), kind, class_name, wait_ms)


async def closed_loop(connection: SoakConnection, ask: Asker, _oracle: Oracle, pause_s: float) -> None:
    """Sends its next request when the last one is answered."""
    while connection.open:
        connection.send(ask.request())
        await connection.idle()
        await asyncio.sleep(pause_s)


async def overlapping(connection: SoakConnection, ask: Asker, _oracle: Oracle, interval_s: float) -> None:
    """Sends its next request before the last one is answered."""
    while connection.open:
        if connection.pending_count < MOST_OVERLAPPING:
            connection.send(ask.request())
        await asyncio.sleep(interval_s)


async def never_idle(connection: SoakConnection, ask: Asker, _oracle: Oracle) -> None:
    """Does so with requests that hang among them, so that it always has one open."""
    while connection.open:
        for kind in ("hang", "key", "slow"):
            if connection.pending_count < MOST_OVERLAPPING:
                connection.send(ask.request(kind, "page"))
            await asyncio.sleep(0.03)


async def behind_a_hang(connection: SoakConnection, ask: Asker, _oracle: Oracle) -> None:
    """Has the answers to its requests wait behind a write that is never answered."""
    while connection.open:
        connection.send(ask.request("hang", "order"))
        for _ in range(BURST):
            connection.send(ask.request("key"))
            await asyncio.sleep(0.05)
        await connection.idle()


async def burst(connection: SoakConnection, ask: Asker, _oracle: Oracle) -> None:
    """Sends many requests at once, and waits for all answers."""
    while connection.open:
        connection.send(*(ask.request() for _ in range(BURST)))
        await connection.idle()
        await asyncio.sleep(0.2)


async def rest(connection: SoakConnection, _ask: Asker, _oracle: Oracle) -> None:
    """Asks once, and stays until the proxy ends it."""
    connection.ask()
    await connection.ended.wait()


async def say_nothing(connection: SoakConnection, _ask: Asker, _oracle: Oracle) -> None:
    """Never sends anything."""
    await connection.ended.wait()


async def stop_in_the_middle(
    connection: SoakConnection, _ask: Asker, oracle: Oracle, data: bytes, drips: bool
) -> None:
    """Sends half a command or half a value, and perhaps a byte now and then."""
    since_s = time.monotonic()
    connection.send_raw(data)
    while connection.open and not connection.errors.is_set():
        if drips:
            connection.send_raw(b"0")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(connection.errors.wait(), 0.1)
        if time.monotonic() - since_s > BAD_CLIENT_S + 4 * SLACK_S:
            break
    oracle.kept_waiting(connection.story, since_s)
    if connection.open:
        await asyncio.sleep(0.5)


async def malformed(connection: SoakConnection, _ask: Asker, _oracle: Oracle) -> None:
    """Sends malformed commands, with a good one now and then so that they are never too many in a row."""
    count = 0
    while connection.open:
        count += 1
        if count % MALFORMED_IN_A_ROW:
            connection.send_raw(b"no\r\n", answers=1)
        else:
            connection.ask()
        await asyncio.sleep(0.03)


async def probe(connection: SoakConnection, _ask: Asker, _oracle: Oracle) -> None:
    """Asks whether the process serves, all the time, on one connection."""
    while connection.open:
        connection.ask()
        await asyncio.sleep(0.1)


async def leave(connection: SoakConnection, ask: Asker, _oracle: Oracle, reset: bool) -> None:
    """Closes or resets its connection while its request waits."""
    connection.send(ask.request("hang", "page"))
    await asyncio.sleep(LEAVES_AFTER_S)
    connection.leave(reset)
    await asyncio.sleep(0.2)


async def half_close(connection: SoakConnection, ask: Asker, _oracle: Oracle) -> None:
    """Closes its sending side behind a request."""
    connection.send(ask.request("slow", "page"))
    await asyncio.sleep(0.01)
    connection.end_sending()
    await asyncio.sleep(0.5)
    connection.leave()


async def read_nothing(connection: SoakConnection, ask: Asker, _oracle: Oracle, draw_s: float) -> None:
    """Sends many requests, and reads their answers only long after."""
    connection.hold()
    connection.send(*(ask.request("key", "page") for _ in range(UNREAD)))
    await asyncio.sleep(draw_s)
    connection.go_on()
    await connection.idle()


async def read_slowly(connection: SoakConnection, ask: Asker, _oracle: Oracle) -> None:
    """Asks for long values, and reads them with pauses."""
    while connection.open:
        connection.send(ask.request("long", "page"))
        while connection.open and connection.pending_count:
            connection.hold()
            await asyncio.sleep(0.05)
            connection.go_on()
            await asyncio.sleep(0.01)


async def pipeline(
    connection: SoakConnection, ask: Asker, _oracle: Oracle, bytes_per_s: float, in_batches: bool
) -> None:
    """Has many reads open over a slow link, most of large values, some of long ones.

    `in_batches`: it sends the next ones once all are answered, and not each as soon as one is.
    """
    connection.limit_rate(bytes_per_s)
    while connection.open:
        missing = max(0, PIPELINED - connection.pending_count)
        kinds = ask.draw.choices(list(PIPELINED_KINDS), list(PIPELINED_KINDS.values()), k=missing)
        for place in range(0, missing, WRITTEN_AT_ONCE):
            connection.send(*(ask.request(kind, "page") for kind in kinds[place : place + WRITTEN_AT_ONCE]))
            await asyncio.sleep(0.02)
        if in_batches:
            await connection.idle()
        await asyncio.sleep(0.2)


BEHAVIOURS = (
    Behaviour("closed loop, 0 ms", partial(closed_loop, pause_s=0.0)),
    Behaviour("closed loop, 5 ms", partial(closed_loop, pause_s=0.005)),
    Behaviour("closed loop, 100 ms", partial(closed_loop, pause_s=0.1), 2),
    Behaviour("overlapping, 20 ms", partial(overlapping, interval_s=0.02)),
    Behaviour("overlapping, 100 ms", partial(overlapping, interval_s=0.1)),
    Behaviour("overlapping, 140 ms", partial(overlapping, interval_s=0.14)),
    Behaviour("never idle", never_idle),
    Behaviour("behind a hang", behind_a_hang),
    Behaviour("burst", burst),
    Behaviour("rests", rest, 2),
    Behaviour("says nothing", say_nothing),
    Behaviour("half a command", partial(stop_in_the_middle, data=b"mg k v Oz Pc=pa", drips=False)),
    Behaviour("drips", partial(stop_in_the_middle, data=b"mg k v Oz Pc=page,t=acme,d=9", drips=True)),
    Behaviour(
        "half a value",
        partial(stop_in_the_middle, data=b"ms k 5000 Oz Pc=order,t=acme,d=900\r\na", drips=False),
    ),
    Behaviour("malformed", malformed),
    Behaviour("probes", probe),
    Behaviour("leaves", partial(leave, reset=False), 2),
    Behaviour("resets", partial(leave, reset=True)),
    Behaviour("half closes", half_close),
    Behaviour("reads nothing", partial(read_nothing, draw_s=5.0), 1, 2048),
    Behaviour("reads slowly", read_slowly, 1, 4096),
    Behaviour(
        "pipelines", partial(pipeline, bytes_per_s=10_000_000.0, in_batches=True), 1, LINK_BUFFER, LINK_BUFFER
    ),
)
# A client that always has as many reads open, over a link that is slower than an end waits for.
WITHOUT_PAUSE = Behaviour(
    "pipelines without pause",
    partial(pipeline, bytes_per_s=2_500_000.0, in_batches=False),
    2,
    LINK_BUFFER,
    LINK_BUFFER,
)
