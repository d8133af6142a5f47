"""A scale run: starts the processes of a scenario, makes its changes and faults, measures, and ends all."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from cloverwell.membership.endpoint_list import EndpointList
from lab.scale import machine, messages, plan, start
from lab.scale.errors import RunInterruptedError
from lab.scale.faults import far_region, link_state
from lab.scale.measure import ActivationMeasure, ProcessCost
from lab.scale.membership import MemberList
from lab.scale.process_group import ChildProcess, ProcessGroup
from lab.scale.result import ScaleResult
from lab.scale.sampler import CostSampler
from lab.scale.scenario import LINK_FAULTS, ScaleScenario, ScheduledFault

START_TIMEOUT_S = 60.0  # the time that a process has until it is ready
CHECK_INTERVAL_S = 0.05
END_TIMEOUT_S = 8.0  # the time that a process has to end after a signal


class ScaleRun:
    """One run of a scenario."""

    def __init__(self, scenario: ScaleScenario, folder: Path) -> None:
        """Plans the run; `folder` is for configuration files and logs."""
        self.scenario = scenario
        self._folder = folder
        self._addresses = start.Addresses.free(scenario)
        self._listing = start.first_listing(scenario, self._addresses)
        self._replica = MemberList(self._listing.revision, self._listing.members)
        self._hollow_groups = plan.hollow_groups(scenario)
        self._real_places = plan.place_proxies(scenario, "real", scenario.real.count)
        self._measures = {messages.SERVER_LIST: ActivationMeasure()}  # by source
        self._incarnations: dict[str, int] = {}
        self._active_link_faults: list[ScheduledFault] = []
        self._is_changing = False
        self._changes_ended = asyncio.Event()
        self._faults_done: list[str] = []
        self._group: ProcessGroup  # both are made by `run`, inside its event loop
        self._sampler: CostSampler

    async def run(self) -> ScaleResult:
        """Runs the scenario; when this returns or raises, all processes have ended.

        Raises `RunInterruptedError`, `ProcessEndedError`, or TimeoutError if a process is not ready in time.
        """
        self._group = ProcessGroup(self._folder, self._handle_report)
        self._sampler = CostSampler(self._group.children, self._proxies_in)
        interrupted = _interruption()
        running = asyncio.create_task(self._run_scenario())
        ends: set[asyncio.Future[Any]] = {running, self._group.crash, interrupted}
        try:
            done, _ = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            result: ScaleResult = done.pop().result()
            return result
        finally:
            running.cancel()
            with suppress(asyncio.CancelledError, Exception):
                await running
            await self._group.end_all()
            interrupted.cancel()

    async def _run_scenario(self) -> ScaleResult:
        load_before = machine.load_average()
        await self._start_all()
        await asyncio.sleep(self.scenario.warm_s)
        began_s = time.monotonic()
        self._sampler.begin()
        self._switch_changes(True)
        await self._changes_and_faults()
        self._switch_changes(False)
        seconds = time.monotonic() - began_s
        costs = self._sampler.costs()
        await self._settle()
        return await self._finish(seconds, costs, load_before)

    async def _changes_and_faults(self) -> None:
        faults = [asyncio.create_task(self._run_fault(fault)) for fault in self.scenario.faults]
        sampling = asyncio.create_task(self._sampler.sample_memory())
        try:
            await asyncio.sleep(self.scenario.run_s)
            await asyncio.gather(*faults)
        finally:
            # A fault must not start a process again once the run is being ended.
            for task in (*faults, sampling):
                task.cancel()
            await asyncio.gather(*faults, sampling, return_exceptions=True)

    # Processes ---------------------------------------------------------------------------------

    async def _start_all(self) -> None:
        await self._start_process("discovery")
        await self._start_process("nodes")
        if self._addresses.relay:
            await self._start_process("relay")
        names = [f"hollow-{number}" for number in range(len(self._hollow_groups))]
        names += [f"real-{number}" for number in range(self.scenario.real.count)]
        await asyncio.gather(*(self._start_process(name) for name in [start.EMPTY_PROCESS, *names]))
        if self.scenario.real.count:
            await self._start_process("load")

    async def _start_process(self, name: str) -> None:
        """Starts the process with this name and waits until it is ready."""
        if name.startswith("real-"):
            child = await self._start_real(int(name.removeprefix("real-")))
            await asyncio.wait_for(self._wait_until_listening(child), START_TIMEOUT_S)
            return
        child = await self._group.start_child(name, self._first_message(name))
        await asyncio.wait_for(child.ready.wait(), START_TIMEOUT_S)

    def _first_message(self, name: str) -> messages.Start:
        scenario, addresses = self.scenario, self._addresses
        match name:
            case "discovery":
                return start.discovery_message(scenario, addresses, self._current_listing())
            case "nodes":
                return start.nodes_message(scenario, addresses)
            case "relay":
                return start.relay_message(scenario, addresses)
            case "load":
                return start.load_message(scenario, addresses)
        group = self._hollow_groups[int(name.removeprefix("hollow-"))] if name != start.EMPTY_PROCESS else []
        incarnation = self._incarnations[name] = self._incarnations.get(name, -1) + 1
        return start.hollow_message(scenario, name, incarnation, group, addresses, self._current_listing())

    def _current_listing(self) -> EndpointList:
        """Returns the list as discovery reported it last."""
        return self._replica.listing()

    async def _start_real(self, number: int) -> ChildProcess:
        place, addresses = self._real_places[number], self._addresses
        path = start.write_real_config(
            self.scenario, self._folder, number, place, addresses, self._current_listing()
        )
        return await self._group.start_proxy(f"real-{number}", path)

    async def _wait_until_listening(self, child: ChildProcess) -> None:
        number = int(child.name.removeprefix("real-"))
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(start.HOST, self._addresses.real[number])
                writer.close()
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _handle_report(self, _child: ChildProcess, report: messages.Report) -> None:
        match report:
            case messages.RevisionPublished():
                if report.source == messages.SERVER_LIST:
                    self._replica.apply(report.revision, report.members)
                self._measure_of(report.source).add_revision(report)
            case messages.ChangesEnded():
                self._changes_ended.set()
            case messages.ActivationBatch():
                for activation in report.rows:
                    self._measure_of(activation.source).add_activation(activation)

    def _measure_of(self, source: str) -> ActivationMeasure:
        return self._measures.setdefault(source, ActivationMeasure())

    def _switch_changes(self, on: bool) -> None:
        self._is_changing = on
        for name in ("discovery", "load"):
            if name in self._group.children:
                self._group.children[name].send(messages.SwitchChanges(on))

    async def _settle(self) -> None:
        """Waits until all proxies have applied the last revision, at most `settle_s`."""
        until_s = time.monotonic() + self.scenario.settle_s
        if not self._group.children["discovery"].ended:
            await self._changes_ended.wait()
        while self._is_any_proxy_behind() and time.monotonic() < until_s:
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_any_proxy_behind(self) -> bool:
        names = [
            place.name
            for number, places in enumerate(self._hollow_groups)
            if not self._group.children[f"hollow-{number}"].ended
            for place in places
        ]
        measure = self._measure_of(messages.SERVER_LIST)
        return any(measure.revision_of(name) < self._replica.revision for name in names)

    # Faults ------------------------------------------------------------------------------------

    async def _run_fault(self, fault: ScheduledFault) -> None:
        await asyncio.sleep(fault.at_s)
        self._faults_done.append(f"{fault.kind} {','.join(fault.whom or fault.between or ())}")
        if fault.kind in LINK_FAULTS:
            await self._run_link_fault(fault)
        else:
            await asyncio.gather(*(self._run_process_fault(fault, name) for name in fault.whom))

    async def _run_link_fault(self, fault: ScheduledFault) -> None:
        self._active_link_faults.append(fault)
        self._set_link(fault)
        await asyncio.sleep(fault.for_s)
        self._active_link_faults.remove(fault)
        self._set_link(fault)

    def _set_link(self, fault: ScheduledFault) -> None:
        near = self.scenario.discovery_region
        region = far_region(fault, near)
        self._group.children["relay"].send(link_state(region, near, self._active_link_faults))

    async def _run_process_fault(self, fault: ScheduledFault, name: str) -> None:
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
        await asyncio.wait_for(child.process.wait(), END_TIMEOUT_S)
        if fault.kind == "kill" and not fault.for_s:
            return
        await asyncio.sleep(fault.for_s)
        await self._start_process(name)
        if name == "discovery" and self._is_changing:
            self._group.children[name].send(messages.SwitchChanges(True))

    # Results -----------------------------------------------------------------------------------

    def _proxies_in(self, name: str) -> int:
        """Returns the number of hollow proxies in a process."""
        number = name.removeprefix("hollow-")
        return len(self._hollow_groups[int(number)]) if number.isdigit() else 0

    async def _finish(
        self, seconds: float, costs: list[ProcessCost], load_before: machine.LoadAverage
    ) -> ScaleResult:
        totals: dict[str, messages.Totals] = {}
        # The clients end first, then those that follow discovery, so that no process loses one that it uses.
        order = sorted(self._group.children, key=lambda name: (name != "load", not name.startswith("hollow")))
        for name in order:
            child = self._group.children[name]
            if child.reports and (reported := await self._group.finish(name)) is not None:
                totals[name] = reported
        return ScaleResult(
            scenario=self.scenario,
            seconds=seconds,
            measures=self._measures,
            replica=self._replica,
            totals=totals,
            costs=costs,
            empty_name=start.EMPTY_PROCESS,
            faults=self._faults_done,
            load_before=load_before,
            load_after=machine.load_average(),
        )


def _interruption() -> asyncio.Future[None]:
    """Returns a future that fails with `RunInterruptedError` on SIGINT or SIGTERM."""
    loop = asyncio.get_running_loop()
    interrupted: asyncio.Future[None] = loop.create_future()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, _interrupt, interrupted)
    return interrupted


def _interrupt(interrupted: asyncio.Future[None]) -> None:
    if not interrupted.done():
        interrupted.set_exception(RunInterruptedError())


def run(scenario: ScaleScenario, folder: Path) -> ScaleResult:
    """Runs the scenario, with configuration files and logs in `folder`; raises as `ScaleRun.run` does."""
    return asyncio.run(ScaleRun(scenario, folder).run())
