"""A scale run: starts the processes of a world, plays its changes and faults, measures, and ends all."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from pathlib import Path

from cloverwell.membership.endpoint_list import EndpointList
from lab.scale import machine, messages, plan, start
from lab.scale.faults import far_region, link_state
from lab.scale.measure import InForceMeasure, ProcessCost
from lab.scale.membership import MemberList
from lab.scale.process_group import ChildProcess, ProcessEnded, ProcessGroup
from lab.scale.result import Outcome
from lab.scale.scenario import LINK_FAULTS, Fault, World

START_S = 60.0  # what a process may take until it is ready
SAMPLE_S = 1.0
LOOK_S = 0.05
TERM_S = 8.0  # what a planned end may take


class Stopped(Exception):
    """The run was interrupted."""


class ScaleRun:
    """One run of a world. `folder` is for configuration files and logs."""

    def __init__(self, world: World, folder: Path) -> None:
        self.world = world
        self._folder = folder
        self._addresses = start.Addresses.free(world)
        self._listing = start.first_listing(world, self._addresses)
        self._replica = MemberList(self._listing.revision, self._listing.members)
        self._hollow_groups = plan.hollow_groups(world)
        self._real_places = plan.place_proxies(world, "real", world.real.count)
        self._measures = {messages.SERVER_LIST: InForceMeasure()}  # by source
        self._incarnations: dict[str, int] = {}
        self._active: list[Fault] = []
        self._changing = False
        self._changes_ended = asyncio.Event()
        self._first_samples: dict[str, tuple[int, machine.Sample]] = {}
        self._most_rss_mb: dict[str, float] = {}
        self._faults_done: list[str] = []
        self._group: ProcessGroup

    async def run(self) -> Outcome:
        """Raises `Stopped`, `ProcessEnded` or `TimeoutError`; all processes have ended in any case."""
        self._group = ProcessGroup(self._folder, self._reported)
        loop = asyncio.get_running_loop()
        interrupted: asyncio.Future[None] = loop.create_future()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, _interrupt, interrupted)
        playing = asyncio.create_task(self._play())
        try:
            waited = {playing, self._group.crash, interrupted}
            done, _ = await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            playing.cancel()
            with suppress(asyncio.CancelledError, Exception):
                await playing
            await self._group.end_all()
            interrupted.cancel()

    async def _play(self) -> Outcome:
        load_before = machine.load_average()
        await self._start_all()
        await asyncio.sleep(self.world.warm_s)
        began_s = time.monotonic()
        self._begin_samples()
        self._switch_changes(True)
        await self._changes_and_faults()
        self._switch_changes(False)
        seconds = time.monotonic() - began_s
        costs = self._costs()
        await self._settle()
        return await self._finish(seconds, costs, load_before)

    async def _changes_and_faults(self) -> None:
        faults = [asyncio.create_task(self._fault(fault)) for fault in self.world.faults]
        sampling = asyncio.create_task(self._sample_memory())
        try:
            await asyncio.sleep(self.world.run_s)
            await asyncio.gather(*faults)
        finally:
            # Nothing may start a process again once the run is being ended.
            for task in (*faults, sampling):
                task.cancel()
            await asyncio.gather(*faults, sampling, return_exceptions=True)

    # Processes ---------------------------------------------------------------------------------

    async def _start_all(self) -> None:
        self._listing_now()
        await self._start_process("discovery")
        await self._start_process("nodes")
        if self._addresses.relay:
            await self._start_process("relay")
        names = [f"hollow-{number}" for number in range(len(self._hollow_groups))]
        names += [f"real-{number}" for number in range(self.world.real.count)]
        await asyncio.gather(*(self._start_process(name) for name in [start.EMPTY, *names]))
        if self.world.real.count:
            await self._start_process("load")

    async def _start_process(self, name: str) -> None:
        """Until it is ready."""
        if name.startswith("real-"):
            child = await self._start_real(int(name.removeprefix("real-")))
            await asyncio.wait_for(self._listens(child), START_S)
            return
        child = await self._group.start_child(name, self._first_message(name))
        await asyncio.wait_for(child.ready.wait(), START_S)

    def _first_message(self, name: str) -> messages.Start:
        world, addresses = self.world, self._addresses
        match name:
            case "discovery":
                return start.discovery(world, addresses, self._listing_now())
            case "nodes":
                return start.nodes(world, addresses)
            case "relay":
                return start.relay(world, addresses)
            case "load":
                return start.load(world, addresses)
        group = [] if name == start.EMPTY else self._hollow_groups[int(name.removeprefix("hollow-"))]
        incarnation = self._incarnations[name] = self._incarnations.get(name, -1) + 1
        return start.hollow(world, name, incarnation, group, addresses, self._listing_now())

    def _listing_now(self) -> EndpointList:
        """The list as discovery told it to us last."""
        return self._replica.listing()

    async def _start_real(self, number: int) -> ChildProcess:
        place, addresses = self._real_places[number], self._addresses
        path = start.write_real(self.world, self._folder, number, place, addresses, self._listing_now())
        return await self._group.start_proxy(f"real-{number}", path)

    async def _listens(self, child: ChildProcess) -> None:
        number = int(child.name.removeprefix("real-"))
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(start.HOST, self._addresses.real[number])
                writer.close()
                return
            await asyncio.sleep(LOOK_S)

    def _reported(self, child: ChildProcess, report: messages.Report) -> None:
        match report:
            case messages.Changed():
                if report.source == messages.SERVER_LIST:
                    self._replica.apply(report.revision, report.members)
                self._measure_of(report.source).changed(report)
            case messages.ChangesEnded():
                self._changes_ended.set()
            case messages.InForceBatch():
                for row in report.rows:
                    self._measure_of(row.source).took(row)

    def _measure_of(self, source: str) -> InForceMeasure:
        return self._measures.setdefault(source, InForceMeasure())

    def _switch_changes(self, on: bool) -> None:
        self._changing = on
        for name in ("discovery", "load"):
            if name in self._group.children:
                self._group.children[name].send(messages.SwitchChanges(on))

    async def _settle(self) -> None:
        """Until all proxies have the last revision, `settle_s` at the most."""
        until_s = time.monotonic() + self.world.settle_s
        if not self._group.children["discovery"].ended:
            await self._changes_ended.wait()
        while self._behind() and time.monotonic() < until_s:
            await asyncio.sleep(LOOK_S)

    def _behind(self) -> bool:
        names = [
            place.name
            for number, places in enumerate(self._hollow_groups)
            if not self._group.children[f"hollow-{number}"].ended
            for place in places
        ]
        measure = self._measure_of(messages.SERVER_LIST)
        return any(measure.revision_of(name) < self._replica.revision for name in names)

    # Faults ------------------------------------------------------------------------------------

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        self._faults_done.append(f"{fault.kind} {','.join(fault.whom or fault.between)}")
        if fault.kind in LINK_FAULTS:
            await self._link_fault(fault)
        else:
            await asyncio.gather(*(self._process_fault(fault, name) for name in fault.whom))

    async def _link_fault(self, fault: Fault) -> None:
        self._active.append(fault)
        self._set_link(fault)
        await asyncio.sleep(fault.for_s)
        self._active.remove(fault)
        self._set_link(fault)

    def _set_link(self, fault: Fault) -> None:
        near = self.world.discovery_region
        region = far_region(fault, near)
        self._group.children["relay"].send(link_state(region, near, self._active))

    async def _process_fault(self, fault: Fault, name: str) -> None:
        child = self._group.children[name]
        if child.ended:
            return
        if fault.kind == "pause":
            child.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            child.signal(signal.SIGCONT)
            return
        child.may_end = True
        child.signal(signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM)
        await asyncio.wait_for(child.process.wait(), TERM_S)
        if fault.kind == "kill" and not fault.for_s:
            return
        await asyncio.sleep(fault.for_s)
        await self._start_process(name)
        if name == "discovery" and self._changing:
            self._group.children[name].send(messages.SwitchChanges(True))

    # Measures ----------------------------------------------------------------------------------

    def _samples(self) -> dict[str, tuple[int, machine.Sample]]:
        samples = {}
        for name, child in self._group.children.items():
            if not child.ended and (sample := machine.sample(child.pid)) is not None:
                samples[name] = (child.pid, sample)
        return samples

    def _begin_samples(self) -> None:
        self._first_samples = self._samples()

    async def _sample_memory(self) -> None:
        while True:
            for name, (_, sample) in self._samples().items():
                self._most_rss_mb[name] = max(sample.rss_mb, self._most_rss_mb.get(name, 0.0))
            await asyncio.sleep(SAMPLE_S)

    def _costs(self) -> list[ProcessCost]:
        """Of the processes that are the same as at the first change."""
        costs = []
        for name, (pid, sample) in self._samples().items():
            first_pid, first = self._first_samples.get(name, (0, sample))
            if pid != first_pid:
                continue
            rss_mb = max(sample.rss_mb, self._most_rss_mb.get(name, 0.0))
            costs.append(ProcessCost(name, sample.cpu_s - first.cpu_s, rss_mb, self._proxies_in(name)))
        return costs

    def _proxies_in(self, name: str) -> int:
        number = name.removeprefix("hollow-")
        return len(self._hollow_groups[int(number)]) if number.isdigit() else 0

    async def _finish(
        self, seconds: float, costs: list[ProcessCost], load_before: tuple[float, float, float]
    ) -> Outcome:
        totals: dict[str, messages.Totals] = {}
        # The clients go first, then those that follow discovery: nobody is missed by who is still there.
        order = sorted(self._group.children, key=lambda name: (name != "load", not name.startswith("hollow")))
        for name in order:
            child = self._group.children[name]
            if child.reports and (told := await self._group.finish(name)) is not None:
                totals[name] = told
        return Outcome(
            world=self.world,
            seconds=seconds,
            measures=self._measures,
            replica=self._replica,
            totals=totals,
            costs=costs,
            empty_name=start.EMPTY,
            faults=self._faults_done,
            load_before=load_before,
            load_after=machine.load_average(),
        )


def _interrupt(interrupted: asyncio.Future[None]) -> None:
    if not interrupted.done():
        interrupted.set_exception(Stopped("interrupted"))


def run(world: World, folder: Path) -> Outcome:
    """Plays the world; see `ScaleRun.run`."""
    return asyncio.run(ScaleRun(world, folder).run())


__all__ = ["Outcome", "ProcessEnded", "ScaleRun", "Stopped", "run"]
