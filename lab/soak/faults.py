"""Carries out the faults of a plan, and judges what operators are owed behind each."""

from __future__ import annotations

import asyncio
import signal
import time

from lab.loopback.nodes import CacheNode, DiscoveryMode, NodeMode, Origin
from lab.soak.oracle import RECENT_S, RECONNECTING_S, Oracle
from lab.soak.plan import Fault, FaultKind, SoakPlan
from lab.soak.processes import ProxySeat, SoakProcess
from lab.soak.sockets import held_peers

DRAIN_S = 4.0  # of the page: what a drain has
UNDRAIN_S = 2.0
EXIT_MARGIN_S = 0.02  # for this process to see that another has ended
STREAMS = "reads slowly"  # the kind of client whose long value may go on


class FaultPlayer:
    """Begins each fault, and sees to what follows from it."""

    def __init__(
        self,
        plan: SoakPlan,
        seats: list[ProxySeat],
        nodes: list[CacheNode],
        origin: Origin,
        oracle: Oracle,
    ) -> None:
        """Take the parts of a run."""
        self._plan = plan
        self._seats = seats
        self._nodes = nodes
        self._origin = origin
        self._oracle = oracle
        self._tasks: list[asyncio.Task[None]] = []

    def begin(self, fault: Fault) -> None:
        """Begin a fault; what follows goes on beside the others."""
        self._tasks.append(asyncio.create_task(self._carry_out(fault)))

    async def finish(self) -> None:
        """Wait for all that follows, and see that nothing has ended by itself."""
        await asyncio.gather(*self._tasks)
        for seat in self._seats:
            for process in seat.processes:
                if process.stopped_s is None and not process.killed and not process.runs:
                    self._oracle.breach("crash", seat.name, f"it ended with {process.popen.returncode}")

    async def _carry_out(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.NODE:
                await self._change_mode(self._nodes[fault.target], fault)
            case FaultKind.ORIGIN:
                await self._change_mode(self._origin, fault)
            case FaultKind.DISCOVERY:
                await self._change_discovery(fault)
            case _:
                await self._act_on(self._seats[fault.target], fault)

    async def _change_mode(self, node: CacheNode | Origin, fault: Fault) -> None:
        node.mode = NodeMode(fault.mode)
        await asyncio.sleep(fault.for_s)
        node.mode = NodeMode.NORMAL

    async def _change_discovery(self, fault: Fault) -> None:
        discovery = self._seats[fault.target].discovery
        discovery.mode = DiscoveryMode(fault.mode)
        await asyncio.sleep(fault.for_s)
        discovery.mode = DiscoveryMode.NORMAL

    async def _act_on(self, seat: ProxySeat, fault: Fault) -> None:
        process = seat.process
        match fault.kind:
            case FaultKind.DRAIN:
                await self._drain(seat, process)
            case FaultKind.UNDRAIN:
                await self._undrain(seat, process)
            case FaultKind.RELOAD:
                seat.write_config()
                process.signal(signal.SIGHUP)
            case FaultKind.TERMINATE:
                await self._terminate(seat, process)
            case FaultKind.REPLACE:
                await self._replace(seat, process)
            case FaultKind.KILL:
                self._kill(seat, process)
            case FaultKind.START:
                await self._start(seat)
            case FaultKind.PAUSE:
                self._oracle.paused(seat.name, fault.for_s)
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                process.signal(signal.SIGCONT)

    # Drain ----------------------------------------------------------------------------------------

    async def _drain(self, seat: ProxySeat, process: SoakProcess) -> None:
        begun_s = process.drained_s = time.monotonic()
        if not await process.call("PUT", "/drain"):
            self._oracle.breach("operators", seat.name, "PUT /drain got no yes")
            return
        await asyncio.sleep(begun_s + DRAIN_S - time.monotonic())
        if process.drained_s == begun_s:  # else it was taken back, or begun anew
            await self._check_drained(seat, process)

    async def _check_drained(self, seat: ProxySeat, process: SoakProcess) -> None:
        at_s = time.monotonic()
        before = held_peers(process.popen.pid, seat.address[1])
        await asyncio.sleep(self._oracle.event_time.most_late_s)  # on a busy machine it may be as late
        for port in before & held_peers(process.popen.pid, seat.address[1]):
            self._judge_held(seat, port, at_s)
        serves_alone = seat.process is process and process.stopped_s is None and process.runs
        if serves_alone and await seat.clients.front.ask() and process.drained_s is not None:
            self._oracle.breach("drain of a process", seat.name, "clients are still sent to it")

    def _judge_held(self, seat: ProxySeat, port: int, at_s: float) -> None:
        connection = seat.clients.connection_of(port)
        if connection is None:
            return  # the front, the crowd, or it has just ended
        story = connection.story
        if at_s - story.opened_s < RECONNECTING_S:
            return
        if story.client == STREAMS and at_s - story.last_request_s > RECENT_S:
            return
        why = f"it holds a connection {DRAIN_S:g} s after the call"
        self._oracle.breach("drain of a process", seat.name, why, story)

    async def _undrain(self, seat: ProxySeat, process: SoakProcess) -> None:
        process.drained_s = None
        if not await process.call("PUT", "/undrain"):
            if process.stopped_s is None:
                self._oracle.breach("operators", seat.name, "PUT /undrain got no yes")
            return
        begun_s = time.monotonic()
        await asyncio.sleep(UNDRAIN_S)
        still_due = process.drained_s is None and process.stopped_s is None and seat.process is process
        if still_due and seat.clients.front.yes_s < begun_s and not await seat.clients.front.ask():
            self._oracle.breach("operators", seat.name, f"no yes {UNDRAIN_S:g} s after PUT /undrain")

    # The end of a process -------------------------------------------------------------------------

    async def _terminate(self, seat: ProxySeat, process: SoakProcess) -> None:
        if process.stopped_s is not None:
            process.signal(signal.SIGTERM)
            return
        process.stopped_s = time.monotonic()
        process.signal(signal.SIGTERM)
        kill_s = process.stopped_s + self._plan.kill_after_s
        while process.runs and time.monotonic() < kill_s:
            await asyncio.sleep(min(0.005, max(0.0, kill_s - time.monotonic())))
        if process.runs:
            # This process may have had its turn too early for the other one's.
            await asyncio.sleep(EXIT_MARGIN_S + self._oracle.event_time.most_late_s)
        if process.runs:
            self._oracle.breach("kill", seat.name, f"it runs {self._plan.kill_after_s:g} s after SIGTERM")
            self._kill(seat, process)
        elif process.popen.returncode:
            self._oracle.breach("crash", seat.name, f"SIGTERM ended it with {process.popen.returncode}")

    def _kill(self, seat: ProxySeat, process: SoakProcess) -> None:
        process.killed = True
        self._oracle.killed(seat.name)
        process.popen.kill()

    async def _start(self, seat: ProxySeat) -> None:
        if seat.process.runs:
            return  # the last one has not been ended
        await self._until_ready(seat, seat.spawn())

    async def _until_ready(self, seat: ProxySeat, process: SoakProcess) -> bool:
        if await process.until_ready():
            return True
        if process.stopped_s is None and not process.killed:
            self._oracle.breach("ready", seat.name, f"not ready in time: {process.log[-200:]}")
        return False

    async def _replace(self, seat: ProxySeat, process: SoakProcess) -> None:
        successor = seat.spawn()
        if await self._until_ready(seat, successor):
            await self._terminate(seat, process)
