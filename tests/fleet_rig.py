"""A handful of real proxies, each with a wall clock of its own that the test steps, and their neighbours."""

from __future__ import annotations

import asyncio
import contextlib
import json
import mmap
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

from fleet_clients import Clients
from stepped_start import DOUBLE, SEEN_AT, SIZE, STEP_AT

from lab.invariant_checker import InvariantChecker
from lab.loopback.event_time import EventTime
from lab.loopback.nodes import CacheNode, Discovery, Origin
from lab.processes import PATIENCE_S, ROOT, free_port
from lab.proxy_testbed import SETTINGS
from lab.scenario import InvariantLimits

START = Path(__file__).with_name("stepped_start.py")
# Beyond each bound: a machine that is busy with other tests. What is wrong on a stepped clock is wrong by the
# step, which is seconds.
SLACK_S = 1.0
DRAIN_S = 1.0  # of `SETTINGS`
BEHIND_S = 3.0  # load behind a step
SEEN_WITHIN_S = 0.5  # the smallest step is of seconds


async def until(event: Callable[[], bool], what: str) -> None:
    """Waits for an event, no longer than the machine's patience."""
    until_s = time.monotonic() + PATIENCE_S
    while not event():
        assert time.monotonic() < until_s, what
        await asyncio.sleep(0.01)


class WallClock:
    """What one process takes for the time of day."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(SIZE))
        self.path = path
        with path.open("r+b") as file:
            self._shared = mmap.mmap(file.fileno(), SIZE)

    def step(self, by_s: float) -> float:
        """Moves it from where it is; the whole step since the start."""
        total_s = DOUBLE.unpack_from(self._shared, STEP_AT)[0] + by_s
        DOUBLE.pack_into(self._shared, STEP_AT, total_s)
        return total_s

    def seen(self, total_s: float) -> bool:
        """Whether the process reads the stepped time: a step that nobody sees would prove nothing."""
        return abs(DOUBLE.unpack_from(self._shared, SEEN_AT)[0] - total_s) < SEEN_WITHIN_S


class RealProxy:
    """One process of `python -m cloverwell`, its list, and the clients that ask it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.name = f"p{number}"
        self._fleet = fleet
        self._folder = fleet.folder / self.name
        self._folder.mkdir()
        self.address = ("127.0.0.1", free_port())
        self.clock = WallClock(self._folder / "clock")
        self.discovery = Discovery(self.name, fleet.members(), fleet.judge, fleet.event_time)
        self.clients = Clients(self.name, self.address, fleet.judge, fleet.event_time, number)
        self.processes: list[subprocess.Popen] = []
        self.operator = ("127.0.0.1", 0)  # of the newest process

    @property
    def log(self) -> str:
        """What all its processes have logged."""
        return "".join(path.read_text() for path in sorted(self._folder.glob("log-*")))

    def write_config(self, **changes: object) -> None:
        here = "{}:{}".format(*self.discovery.address)
        known = {"revision": 0, "complete": True, "members": self._fleet.members()}
        settings = self._fleet.settings
        limits = {"sockets": 384, "memory_mb": 192.0}
        document = {"listen": "{}:{}".format(*self.address), "discovery": here, "name": self.name}
        document |= {"limits": limits, "settings": settings, "known": known} | changes
        fresh = self._folder / "config.new"
        fresh.write_text(json.dumps(document))
        fresh.replace(self._folder / "config.json")

    def spawn(self) -> subprocess.Popen:
        """A process at this address; beside another it takes over from it."""
        self.operator = ("127.0.0.1", free_port())
        environ = os.environ | {
            "EDGE_CONFIG": str(self._folder / "config.json"),
            "EDGE_OPERATOR": "{}:{}".format(*self.operator),
            "TMPDIR": str(self._folder),
        }
        command = [sys.executable, str(START), str(self.clock.path), "cloverwell"]
        with (self._folder / f"log-{len(self.processes)}").open("w") as log:
            process = subprocess.Popen(command, cwd=ROOT, env=environ, stderr=log)
        self.processes.append(process)
        return process

    async def ready(self) -> None:
        until_s = time.monotonic() + PATIENCE_S
        while not await self._says_ready():
            assert self.processes[-1].poll() is None, self.log
            assert time.monotonic() < until_s, f"never ready\n{self.log}"
            await asyncio.sleep(0.02)

    async def _says_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.operator)
        except ConnectionError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: here\r\n\r\n")
        answer = await reader.readline()
        writer.close()
        return b" 200 " in answer

    async def ends(self, process: subprocess.Popen) -> int:
        """Waits for its exit code."""
        return await asyncio.to_thread(process.wait, PATIENCE_S)

    def close(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


class Fleet:
    """Proxies, cache nodes, the origin and a discovery for each proxy."""

    def __init__(self, folder: Path, settings: dict | None = None) -> None:
        self.folder = folder
        self.settings = settings or SETTINGS
        self.judge = InvariantChecker(rules=InvariantLimits(drain_s=DRAIN_S), slack_s=SLACK_S)
        self.event_time = EventTime()
        self.nodes: list[CacheNode] = []
        self.origin = Origin(self.judge, self.event_time)
        self.proxies: list[RealProxy] = []

    def members(self) -> list[dict]:
        """The list as it begins."""
        listed = [self.member(node) for node in self.nodes]
        return [*listed, {"id": "origin", "host_port": "{}:{}".format(*self.origin.address),
                          "flavor": "origin", "phase": "in_service", "up_since_ms": 0}]  # fmt: skip

    @staticmethod
    def member(node: CacheNode, phase: str = "in_service", up_since_ms: float = 0) -> dict:
        """A cache node's line of the list."""
        return {"id": node.name, "host_port": "{}:{}".format(*node.address), "locality": "east",
                "flavor": "large", "phase": phase, "up_since_ms": up_since_ms}  # fmt: skip

    async def start(self, nodes: int, before: Sequence[float]) -> None:
        """`before`: for each proxy the step of its wall clock before it starts."""
        self.event_time.start()
        await self.origin.start()
        for _ in range(nodes):
            await self.add_node()
        for number, step_s in enumerate(before):
            proxy = RealProxy(self, number)
            self.proxies.append(proxy)
            await proxy.discovery.start()
            proxy.write_config()
            proxy.clock.step(step_s)
            proxy.spawn()
        for proxy, step_s in zip(self.proxies, before, strict=True):
            await proxy.ready()
            await until(partial(proxy.clock.seen, step_s), "the step is not seen")

    async def add_node(self) -> CacheNode:
        """Serves, and is on no list yet."""
        node = CacheNode(f"s{len(self.nodes)}", self.judge, self.event_time)
        await node.start()
        self.nodes.append(node)
        return node

    async def step(self, steps: Sequence[float]) -> None:
        """Steps the clock of each proxy, all at once, and waits until each sees its own."""
        totals = [proxy.clock.step(by_s) for proxy, by_s in zip(self.proxies, steps, strict=True)]
        for proxy, total_s in zip(self.proxies, totals, strict=True):
            await until(partial(proxy.clock.seen, total_s), "the step is not seen")

    async def calls_of_discovery(self, before: Sequence[int]) -> None:
        """Waits until each proxy has called once more."""
        await until(
            lambda: all(p.discovery.calls > calls for p, calls in zip(self.proxies, before, strict=True)),
            "discovery is not called",
        )

    async def told(self, member: dict) -> None:
        """Waits until each proxy has been sent this line of the list."""
        await until(lambda: all(member in proxy.discovery.sent for proxy in self.proxies), "not told")

    async def move_discovery(self) -> None:
        """A new configuration for each proxy; where discovery was nobody answers any more."""
        for proxy in self.proxies:
            before = proxy.discovery
            proxy.discovery = Discovery(
                proxy.name, list(before.members.values()), self.judge, self.event_time
            )
            await proxy.discovery.start()
            proxy.write_config()
            proxy.processes[-1].send_signal(signal.SIGHUP)
            await before.stop()

    def load(self, number: int = 12, leavers: int = 2) -> None:
        for proxy in self.proxies:
            proxy.clients.start(number, leavers)

    async def served(self, more: int) -> None:
        """Waits until each proxy has served so many more."""
        wanted = [proxy.clients.served + more for proxy in self.proxies]
        await until(
            lambda: all(p.clients.served >= w for p, w in zip(self.proxies, wanted, strict=True)),
            "too few are served",
        )

    async def quiet(self) -> None:
        """No further requests; whatever is still out ends, and what might be forwarded late shows."""
        for proxy in self.proxies:
            await proxy.clients.stop()

    async def judged(self) -> None:
        """The load goes on for longer than any request waits, then ends, and all rules held."""
        served = [proxy.clients.served for proxy in self.proxies]
        await asyncio.sleep(BEHIND_S)
        await self.quiet()
        self.check()
        assert all(p.clients.served > s for p, s in zip(self.proxies, served, strict=True)), "none is served"

    def signal(self, number: signal.Signals) -> None:
        for proxy in self.proxies:
            proxy.clients.ending |= number == signal.SIGTERM
        for proxy in self.proxies:
            proxy.processes[-1].send_signal(number)

    def faults(self) -> list[Exception]:
        """Of the stand-ins themselves."""
        here = [*self.nodes, self.origin, *(proxy.discovery for proxy in self.proxies)]
        return [fault for one in here for fault in one.faults]

    def check(self) -> None:
        """All rules held, and there was something to hold them on."""
        lost = sum(len(proxy.clients.lost) for proxy in self.proxies)
        asked = sum(proxy.clients.asked for proxy in self.proxies)
        told = f"{lost} of {asked} requests lost; {dict(self.judge.counts)}; {self.judge.breaches[:5]}"
        assert not self.judge.counts, told
        assert not self.faults(), self.faults()
        assert asked, "nobody asked"

    async def close(self) -> None:
        await self.event_time.stop()
        for proxy in self.proxies:
            proxy.close()
            await proxy.discovery.stop()
        for node in [*self.nodes, self.origin]:
            with contextlib.suppress(AttributeError):
                await node.stop()
