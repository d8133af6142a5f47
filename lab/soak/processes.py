"""The proxies of a run: real processes at one address each, with their own discovery and clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import cast

from lab.loopback.nodes import Discovery
from lab.member_row import MemberRow
from lab.processes import ROOT, free_port
from lab.proxy_testbed import SETTINGS
from lab.soak.clients import Clients
from lab.soak.oracle import Oracle
from lab.soak.plan import SoakPlan

READY_S = 10.0  # of the page, for restarted processes
CALL_TIMEOUT_S = 1.0
OBJECTIVE_SHARE = 0.4  # of the longest deadline


class SoakStartError(Exception):
    """A process could not be started: the run says nothing about the program."""


class SoakProcess:
    """One process of the program."""

    def __init__(self, folder: Path, number: int, defect: str) -> None:
        """Start it; its log goes into the folder. `defect`: one that is put in, by name."""
        self.operator = ("127.0.0.1", free_port())
        self.log_path = folder / f"log-{number}"
        environ = os.environ | {
            "EDGE_CONFIG": str(folder / "config.json"),
            "EDGE_OPERATOR": "{}:{}".format(*self.operator),
            "TMPDIR": str(folder),
        }
        program = ["-m", "lab.soak.defective_proxy", defect] if defect else ["-m", "cloverwell"]
        with self.log_path.open("w") as log:
            try:
                self.popen = subprocess.Popen([sys.executable, *program], cwd=ROOT, env=environ, stderr=log)
            except OSError as error:
                raise SoakStartError(str(error)) from None
        self.started_s = time.monotonic()
        self.stopped_s: float | None = None  # when it was first sent SIGTERM
        self.drained_s: float | None = None
        self.killed = False

    @property
    def runs(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    @property
    def log(self) -> str:
        """What it has logged."""
        return self.log_path.read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)

    async def call(self, method: str, path: str) -> bool | None:
        """Make an operator's call; None where it is not answered in time."""
        with contextlib.suppress(OSError, TimeoutError, IndexError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.operator), CALL_TIMEOUT_S)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: here\r\n\r\n".encode())
                answer = await asyncio.wait_for(reader.readline(), CALL_TIMEOUT_S)
                return answer.split()[1].startswith(b"2")
            finally:
                writer.close()
        return None

    async def until_ready(self) -> bool:
        """Wait until it is ready; False if it is not in time, or ends."""
        while time.monotonic() - self.started_s < READY_S and self.runs:
            if await self.call("GET", "/ready"):
                return True
            await asyncio.sleep(0.03)
        return False


class ProxySeat:
    """One proxy's address, and the processes that serve there one after the other."""

    def __init__(
        self, number: int, folder: Path, plan: SoakPlan, oracle: Oracle, members: list[MemberRow], defect: str
    ) -> None:
        """Start nothing yet."""
        self.name = f"p{number}"
        self.address = ("127.0.0.1", free_port())
        self.processes: list[SoakProcess] = []
        self.discovery = Discovery(self.name, members, oracle.checker, oracle.event_time)
        longest_ms = int(1000.0 * plan.longest_deadline_s)
        draw = random.Random(plan.seed * 100 + number)
        self.clients = Clients(self.name, self.address, oracle, draw, longest_ms)
        self._folder = folder / self.name
        self._folder.mkdir()
        self._plan = plan
        self._members = members
        self._defect = defect
        self._changes = 0

    @property
    def process(self) -> SoakProcess:
        """The newest process."""
        return self.processes[-1]

    def write_config(self) -> None:
        """Write the configuration file; each time the settings differ in what is read at the next start."""
        longest_ms = 1000.0 * self._plan.longest_deadline_s
        classes = [
            request_class | {"deadline": longest_ms, "objective": OBJECTIVE_SHARE * longest_ms}
            for request_class in cast(list[dict[str, object]], SETTINGS["classes"])
        ]
        peers_total = self._plan.proxies + self._changes
        self._changes += 1
        document = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.discovery.address),
            "limits": {"sockets": self._plan.sockets, "memory_mb": self._plan.memory_mb},
            "settings": SETTINGS | {"classes": classes, "peers-total": peers_total},
            "known": {"revision": 0, "complete": True, "members": self._members},
        }
        fresh = self._folder / "config.new"
        fresh.write_text(json.dumps(document))
        fresh.replace(self._folder / "config.json")

    def spawn(self) -> SoakProcess:
        """Start a process at the address; beside another one it takes over from it."""
        process = SoakProcess(self._folder, len(self.processes), self._defect)
        self.processes.append(process)
        return process

    def kill_all(self) -> None:
        """End whatever runs."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.popen.kill()
            process.popen.wait()
