"""Plays one plan: starts processes, load and faults, and has the oracle judge what comes of it."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from lab.loopback.answer_forms import AnswerForms
from lab.loopback.event_time import EventTime
from lab.loopback.nodes import CacheNode, DiscoveryMode, NodeMode, Origin
from lab.member_row import IN_SERVICE, MemberRow
from lab.soak.crowds import MEMORY_RULE, HostileCrowd, MemoryWatch
from lab.soak.faults import FaultPlayer
from lab.soak.oracle import Oracle
from lab.soak.plan import NODES, SoakPlan
from lab.soak.processes import ProxySeat, SoakStartError
from lab.soak.result import SoakResult, Verdict

# A machine on which this process alone waits so long for its turn says nothing about the proxies, except that
# they take too much memory.
MAX_LATE_S = 0.25
LOG_FAULTS = (" warn fault: ", " warn overdue: ")


class SoakRun:
    """One run; its files go into a folder."""

    def __init__(self, plan: SoakPlan, folder: Path, defect: str = "") -> None:
        """`defect`: one that is put into the processes, by name."""
        self._plan = plan
        self._folder = folder
        self._defect = defect
        self._event_time = EventTime()
        self._oracle = Oracle(self._event_time, plan.crowd or bool(plan.hostile))
        checker = self._oracle.checker
        forms = AnswerForms(plan.seed) if plan.answer_forms else None
        self._nodes = [CacheNode(f"s{number}", checker, self._event_time, forms) for number in range(NODES)]
        self._origin = Origin(checker, self._event_time, forms)
        self._seats: list[ProxySeat] = []
        self._hostile: list[HostileCrowd] = []

    async def play(self) -> SoakResult:
        """Return what came of it; the run ends by itself."""
        begun_s = time.monotonic()
        self._event_time.start()
        try:
            await self._start()
            await self._play_faults()
        except SoakStartError as error:
            return SoakResult(self._plan.seed, Verdict.NOT_RUN, str(error), time.monotonic() - begun_s)
        finally:
            await self._stop()
        return self._judged(time.monotonic() - begun_s)

    async def _start(self) -> None:
        for stand_in in (*self._nodes, self._origin):
            await stand_in.start()
        members = self._members()
        for number in range(self._plan.proxies):
            seat = ProxySeat(number, self._folder, self._plan, self._oracle, members, self._defect)
            self._seats.append(seat)
            await seat.discovery.start()
            seat.write_config()
            seat.spawn()
        for seat in self._seats:
            if not await seat.process.until_ready():
                raise SoakStartError(f"{seat.name} is not ready: {seat.process.log[-200:]}")
        self._oracle.zero_s = time.monotonic()
        for seat in self._seats:
            seat.clients.start(self._plan.crowd)
        if self._plan.hostile:
            self._hostile = [HostileCrowd(seat, self._plan.hostile) for seat in self._seats]

    def _members(self) -> list[MemberRow]:
        rows = [self._row(node.name, node.address, "large") for node in self._nodes]
        return [*rows, self._row("origin", self._origin.address, "origin")]

    @staticmethod
    def _row(name: str, address: tuple[str, int], flavor: str) -> MemberRow:
        return MemberRow(
            id=name,
            host_port="{}:{}".format(*address),
            locality="east",
            flavor=flavor,
            cell=0,
            phase=IN_SERVICE,
            size=1.0,
            up_since_ms=0,
        )

    async def _play_faults(self) -> None:
        memory = MemoryWatch(self._seats, self._oracle, self._plan.memory_mb)
        memory.start()
        player = FaultPlayer(self._plan, self._seats, self._nodes, self._origin, self._oracle)
        for fault in self._plan.faults:
            await self._until(fault.at_s)
            player.begin(fault)
        await self._until(self._plan.duration_s)
        await player.finish()
        memory.stop()
        self._end_hostile()
        self._calm()
        await asyncio.gather(*(seat.clients.stop() for seat in self._seats))

    def _end_hostile(self) -> None:
        for crowd in self._hostile:
            crowd.stop()
        self._hostile = []

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._oracle.zero_s + at_s - time.monotonic()))

    def _calm(self) -> None:
        """End what nodes and discovery do, so that the last answers come."""
        self._origin.mode = NodeMode.NORMAL
        for node in self._nodes:
            node.mode = NodeMode.NORMAL
        for seat in self._seats:
            seat.discovery.mode = DiscoveryMode.NORMAL

    async def _stop(self) -> None:
        self._end_hostile()
        for seat in self._seats:
            seat.kill_all()
            await seat.discovery.stop()
        for stand_in in (*self._nodes, self._origin):
            await stand_in.stop()
        await self._event_time.stop()

    def _judged(self, took_s: float) -> SoakResult:
        self._check_logs()
        breaches = self._oracle.finish()
        faults = [
            fault
            for stand_in in (*self._nodes, self._origin, *(seat.discovery for seat in self._seats))
            for fault in stand_in.faults
        ]
        late_s = self._event_time.most_late_s
        verdict, why = Verdict.PASSED, ""
        if faults:
            verdict, why = Verdict.NOT_RUN, f"a stand-in failed: {faults[0]!r}"
        elif late_s > MAX_LATE_S and not any(breach.rule == MEMORY_RULE for breach in breaches):
            verdict, why = Verdict.NOT_RUN, f"the machine was too busy: {late_s:.2f} s without a turn"
        elif breaches:
            verdict = Verdict.BROKEN
        return SoakResult(self._plan.seed, verdict, why, took_s, late_s, dict(self._oracle.counts), breaches)

    def _check_logs(self) -> None:
        for seat in self._seats:
            for process in seat.processes:
                for line in process.log.splitlines():
                    if any(kind in line for kind in LOG_FAULTS):
                        self._oracle.logged_fault(seat.name, line)


async def play(plan: SoakPlan, defect: str = "", folder: Path | None = None) -> SoakResult:
    """Play a plan; the processes' logs are kept where a folder is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await SoakRun(plan, folder, defect).play()
    with tempfile.TemporaryDirectory(prefix="soak-") as made:
        return await SoakRun(plan, Path(made), defect).play()
