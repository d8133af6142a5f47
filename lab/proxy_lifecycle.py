"""Starts, replaces and ends the processes of the simulated proxies."""

from __future__ import annotations

from typing import Protocol, cast

from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.handover.successor import Predecessor
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from lab.invariant_checker import InvariantChecker
from lab.listener import Address
from lab.member_row import MemberRow
from lab.net import Net
from lab.scenario import Scenario
from lab.settings import proxy_settings
from lab.simulated_proxy import ProxyProcess, SimulatedPredecessor, SimulatedProxy, SimulatedReactor

PLANNED_END_S = 4.0  # what a planned end may take before the process is killed
DID_NOT_END = "did not end by itself"


class ListedEndpoints(Protocol):
    """Discovery as far as a start needs it."""

    address: Address
    revision: int


class LifecycleEnvironment(Protocol):
    """What starts and ends of proxies need of the simulation."""

    net: Net
    scenario: Scenario
    seed: int
    checker: InvariantChecker
    proxies: list[SimulatedProxy]

    @property
    def discovery(self) -> ListedEndpoints:
        """The simulated discovery."""

    def ended(self, proxy: SimulatedProxy, reactor: SimulatedReactor) -> None:
        """A process ends by itself."""

    def start(self, proxy: SimulatedProxy, predecessor: SimulatedPredecessor | None = None) -> None:
        """Starts a process for the proxy."""

    def members(self) -> list[MemberRow]:
        """All endpoints, with their starts by the virtual clock."""

    def as_listed(self, rows: list[MemberRow]) -> list[MemberRow]:
        """The rows as discovery sends them."""

    def note(self, text: str) -> None:
        """Adds a line to the notes of the summary."""


class ProxyLifecycle:
    """The processes of all proxies."""

    def __init__(self, environment: LifecycleEnvironment) -> None:
        """No process runs before `start`."""
        self._environment = environment
        self._net = environment.net

    def start(self, proxy: SimulatedProxy, predecessor: SimulatedPredecessor | None = None) -> None:
        """Starts a process for the proxy, which takes over from the predecessor if there is one."""
        proxy.starts += 1
        reactor = SimulatedReactor(self._environment, proxy)
        config = self._config(proxy)
        now = self._net.now_ms
        program = Proxy(
            reactor,
            config,
            Log(now, proxy.log),
            now,
            proxy.wall_clock.epoch_ms,
            # It stands in for the real one, which holds the socket to another process.
            cast(Predecessor | None, predecessor),
        )
        proxy.process, proxy.predecessor = ProxyProcess(program, reactor, predecessor), proxy.process
        program.start(adopt=lambda _, listening, factory: self._net.adopt(listening, factory, reactor))

    def _config(self, proxy: SimulatedProxy) -> Config:
        environment = self._environment
        rows = environment.members()
        environment.checker.starts_with(proxy.name, rows)
        known = [Endpoint(**row) for row in environment.as_listed(rows)]
        number = environment.proxies.index(proxy)
        return Config(
            proxy.name,
            proxy.address,
            environment.discovery.address,
            environment.seed * 1000 + number * 10 + proxy.starts,
            Limits(sockets=environment.scenario.sockets),
            EndpointList(environment.discovery.revision, True, known),
            read_settings(proxy_settings(environment.scenario, number)),
        )

    def replace(self, proxy: SimulatedProxy, for_s: float) -> None:
        """Starts another process that takes over; the old one is asked to end after `for_s`."""
        old = proxy.process
        if old is None:
            return
        self._environment.start(proxy, SimulatedPredecessor(old.proxy))
        self._net.callLater(for_s, old.proxy.stop)
        self._net.callLater(for_s + PLANNED_END_S, self._end_replaced, proxy, old, DID_NOT_END)

    def kill(self, proxy: SimulatedProxy) -> None:
        """Ends the proxy's process at once; the proxy is down until it is started."""
        if proxy.process is None:
            return
        self._end_process(proxy.process)
        proxy.process = None
        self._environment.checker.restarted(proxy.name)

    def restart(self, proxy: SimulatedProxy, down_s: float) -> None:
        """Asks the process to end and starts the proxy again, `down_s` after the end."""
        old = proxy.process
        if old is None:
            return
        proxy.back_s = down_s
        old.proxy.stop()
        self._net.callLater(PLANNED_END_S, self._kill_late, proxy, old)

    def ended(self, proxy: SimulatedProxy, reactor: SimulatedReactor) -> None:
        """The process with this reactor has answered all its requests and ends by itself."""
        if proxy.predecessor is not None and proxy.predecessor.reactor is reactor:
            self._end_replaced(proxy, proxy.predecessor)
            return
        self.kill(proxy)
        self._net.callLater(proxy.back_s, self._environment.start, proxy)

    def _kill_late(self, proxy: SimulatedProxy, process: ProxyProcess) -> None:
        """Kills the process if it has not ended in the time that a planned end may take."""
        if proxy.process is process:
            self._environment.note(f"{proxy.name} {DID_NOT_END}")
            self.ended(proxy, process.reactor)

    def _end_replaced(self, proxy: SimulatedProxy, process: ProxyProcess, text: str = "") -> None:
        """Ends a process that has been replaced, if it still runs; `text` is noted then."""
        if not process.reactor.alive:
            return
        if text:
            self._environment.note(f"{proxy.name} {text}")
        self._end_process(process)
        if proxy.predecessor is process:
            proxy.predecessor = None
            # The successor may have been killed before its predecessor ended.
            if proxy.process is not None and proxy.process.inheritance is not None:
                proxy.process.inheritance.end()

    def _end_process(self, process: ProxyProcess) -> None:
        process.reactor.alive = False
        self._net.kill(process.reactor)
