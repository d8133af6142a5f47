"""The crowds of hostile clients of a run, and the bound on the memory of its proxies."""

from __future__ import annotations

import asyncio
import subprocess
import sys

from lab.memory.run import resident_mb
from lab.processes import ROOT
from lab.soak.oracle import Oracle
from lab.soak.processes import ProxySeat

SAMPLE_INTERVAL_S = 0.05
RECONNECT_S = 0.3  # from the end of a hostile connection to the next
MEMORY_RULE = "memory"


class HostileCrowd:
    """A crowd before one proxy, in a process of its own."""

    def __init__(self, seat: ProxySeat, numbers: dict[str, int]) -> None:
        """Start it; it connects again and again until `stop`."""
        words = [f"{kind}:{number}" for kind, number in numbers.items()]
        command = [sys.executable, "-m", "lab.memory.crowd", str(seat.address[1]), str(RECONNECT_S), *words]
        self._popen = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE)

    def stop(self) -> None:
        """End it."""
        self._popen.kill()
        self._popen.communicate()


class MemoryWatch:
    """Samples the memory of each proxy, all of whose processes count together."""

    def __init__(self, seats: list[ProxySeat], oracle: Oracle, memory_mb: float) -> None:
        """Watch nothing before `start`."""
        self._seats = seats
        self._oracle = oracle
        self._memory_mb = memory_mb
        self._highest_mb = {seat.name: 0.0 for seat in seats}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to sample."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Sample no more, and record a breach for each proxy that passed its limit."""
        if self._task is not None:
            self._task.cancel()
        for name, highest_mb in self._highest_mb.items():
            self._oracle.counts["highest_mb"] = max(self._oracle.counts["highest_mb"], int(highest_mb))
            if highest_mb > self._memory_mb:
                why = f"its processes took {highest_mb:.1f} MB of {self._memory_mb:g}"
                self._oracle.breach(MEMORY_RULE, name, why)

    async def _run(self) -> None:
        while True:
            for seat in self._seats:
                total_mb = sum(resident_mb(one.popen.pid) for one in seat.processes if one.runs)
                self._highest_mb[seat.name] = max(self._highest_mb[seat.name], total_mb)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
