"""Plays one crowd before one process of the program, and measures its resident memory."""

from __future__ import annotations

import asyncio
import compileall
import json
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from lab.memory.usual import UsualAnswers, UsualClients
from lab.processes import ROOT, free_port
from lab.proxy_testbed import SETTINGS

NODE_PROCESSES = 3
NODES_PER_PROCESS = 4
SAMPLE_INTERVAL_S = 0.02
RECONNECT_S = 0.05  # from the end of a hostile connection to the next
READY_TIMEOUT_S = 20.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1024 * 1024


@dataclass(frozen=True)
class CrowdPlan:
    """One run: the limits of the process, the crowd, and its times in s.

    `numbers` has the number of clients of each kind of `lab.memory.crowd`.
    """

    memory_mb: float
    numbers: dict[str, int]
    sockets: int = 1024
    crowd_s: float = 10.0
    rest_s: float = 2.0
    after_s: float = 4.0


@dataclass
class CrowdResult:
    """Resident memory in MB at rest, at its highest and behind the crowd, and what usual clients got."""

    memory_mb: float
    rest_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    exit_code: int | None = None  # None while the process runs
    usual: UsualAnswers = field(default_factory=UsualAnswers)
    log: str = ""


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 when it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * PAGE_BYTES / BYTES_PER_MB


def compile_program() -> None:
    """Compile the program's modules as the deploy file's `build` does."""
    for package in ("cloverwell", "balancer"):
        compileall.compile_dir(ROOT / package, quiet=2)


class CrowdRun:
    """One process of the program, its neighbours, a crowd and usual clients."""

    def __init__(self, plan: CrowdPlan, folder: Path) -> None:
        """Start nothing yet; files go into the folder."""
        self._plan = plan
        self._folder = folder
        self._neighbours: list[subprocess.Popen[bytes]] = []
        self._node_addresses: list[str] = []
        self._origin_address = ""
        self.address = ("127.0.0.1", free_port())
        self.operator = ("127.0.0.1", free_port())
        self.result = CrowdResult(plan.memory_mb)
        self._process: subprocess.Popen[bytes] | None = None
        self._crowd: subprocess.Popen[bytes] | None = None

    async def play(self) -> CrowdResult:
        """Return what was measured; all processes have ended by then."""
        compile_program()
        sampling: asyncio.Task[None] | None = None
        try:
            await self._start()
            sampling = asyncio.create_task(self._sample())
            await self._play_crowd()
        finally:
            if sampling is not None:
                sampling.cancel()
            self._stop()
        self.result.log = (self._folder / "log").read_text(errors="replace")
        return self.result

    def _start_neighbours(self) -> None:
        command = [sys.executable, "-m", "lab.memory.neighbours", str(NODES_PER_PROCESS)]
        for words in [["origin"], *[[]] * (NODE_PROCESSES - 1)]:
            self._neighbours.append(
                subprocess.Popen([*command, *words], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            )
        for neighbour in self._neighbours:
            assert neighbour.stdout is not None
            addresses = neighbour.stdout.readline().decode().split()
            self._node_addresses += addresses[:NODES_PER_PROCESS]
            self._origin_address = self._origin_address or addresses[-1]

    async def _start(self) -> None:
        self._start_neighbours()
        config = self._folder / "config.json"
        config.write_text(json.dumps(self._configuration()))
        environ = os.environ | {
            "EDGE_CONFIG": str(config),
            "TMPDIR": str(self._folder),
            "EDGE_OPERATOR": "{}:{}".format(*self.operator),
        }
        with (self._folder / "log").open("w") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "cloverwell"], cwd=ROOT, env=environ, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while "info start:" not in (self._folder / "log").read_text():
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _configuration(self) -> dict[str, object]:
        members = [
            {"id": f"s{number}", "host_port": address, "flavor": "large"}
            for number, address in enumerate(self._node_addresses)
        ]
        origin = {"id": "origin", "host_port": self._origin_address, "flavor": "origin"}
        return {
            "name": "p1",
            "listen": "{}:{}".format(*self.address),
            "discovery": f"127.0.0.1:{free_port()}",
            "limits": {"sockets": self._plan.sockets, "memory_mb": self._plan.memory_mb},
            "settings": SETTINGS,
            "known": {"revision": 1, "complete": True, "members": [*members, origin]},
        }

    async def _sample(self) -> None:
        assert self._process is not None
        while True:
            self.result.peak_mb = max(self.result.peak_mb, resident_mb(self._process.pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _play_crowd(self) -> None:
        assert self._process is not None
        usual = UsualClients(self.address)
        usual.start()
        await asyncio.sleep(self._plan.rest_s)
        self.result.rest_mb = resident_mb(self._process.pid)
        words = [f"{kind}:{number}" for kind, number in self._plan.numbers.items()]
        command = [sys.executable, "-m", "lab.memory.crowd", str(self.address[1]), str(RECONNECT_S), *words]
        self._crowd = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE)
        await asyncio.sleep(self._plan.crowd_s)
        self._end_crowd()
        await asyncio.sleep(self._plan.after_s)
        self.result.usual = await usual.stop()
        self.result.after_mb = resident_mb(self._process.pid)
        self.result.exit_code = self._process.poll()

    def _end_crowd(self) -> None:
        if self._crowd is not None:
            self._crowd.kill()
            self._crowd.communicate()

    def _stop(self) -> None:
        self._end_crowd()
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        for neighbour in self._neighbours:
            neighbour.kill()
            neighbour.communicate()


async def play(plan: CrowdPlan, folder: Path | None = None) -> CrowdResult:
    """Play a plan; the process's log is kept where a folder is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await CrowdRun(plan, folder).play()
    with tempfile.TemporaryDirectory(prefix="memory-") as made:
        return await CrowdRun(plan, Path(made)).play()
