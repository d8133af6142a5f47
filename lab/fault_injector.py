"""Makes the faults of a scenario happen: one handler for each kind of fault."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from lab.client_population import ClientPopulation
from lab.fault import ON_MACHINES, ON_NODES, Fault
from lab.machine_faults import inject_machine_fault
from lab.net import Net
from lab.node_lifecycle import NodeLifecycle
from lab.proxy_lifecycle import ProxyLifecycle
from lab.scenario import Scenario
from lab.simulated_cache_node import SimulatedCacheNode
from lab.simulated_discovery import SimulatedDiscovery
from lab.simulated_origin import SimulatedOrigin
from lab.simulated_proxy import SimulatedPredecessor, SimulatedProxy
from lab.wall_clock import WallClocks


class FaultEnvironment(Protocol):
    """What faults need of the simulation."""

    scenario: Scenario
    net: Net
    rng: Random
    nodes: dict[str, SimulatedCacheNode]
    origin: SimulatedOrigin
    discovery: SimulatedDiscovery
    proxies: list[SimulatedProxy]
    populations: list[ClientPopulation]
    wall_clocks: WallClocks
    node_lifecycle: NodeLifecycle
    proxy_lifecycle: ProxyLifecycle

    def start(self, proxy: SimulatedProxy, predecessor: SimulatedPredecessor | None = None) -> None:
        """Starts a process for the proxy."""

    def note(self, text: str) -> None:
        """Adds a line to the notes of the summary."""


class FaultInjector:
    """The faults of one simulation."""

    def __init__(self, environment: FaultEnvironment) -> None:
        """Nothing happens before `schedule`."""
        self._environment = environment
        self._call_later = environment.net.callLater
        self._handlers: dict[str, Callable[[Fault], None]] = {
            "flush": self._flush_caches,
            "hot_key": self._heat_one_key,
            "zone_lost": self._lose_zones,
            "origin_slow": self._slow_origin,
            "clients_leave": self._disconnect_clients,
            "burst": self._speed_up_clients,
            "discovery_down": self._stop_discovery,
        }
        self._handlers |= dict.fromkeys(ON_NODES, self._inject_node_fault)
        self._handlers |= dict.fromkeys(ON_MACHINES, self._inject_machine_fault)
        self._proxy_handlers: dict[str, Callable[[SimulatedProxy, Fault], None]] = {
            "proxy_crash": self._crash_proxy,
            "proxy_restart": self._restart_proxy,
            "proxy_drain": self._drain_proxy,
            "proxy_replace": self._replace_proxy,
            "origin_cut": self._cut_off_origin,
        }
        self._handlers |= dict.fromkeys(self._proxy_handlers, self._inject_proxy_fault)

    def schedule(self) -> None:
        """Plans all faults of the scenario."""
        for fault in self._environment.scenario.faults:
            for at_s in fault.instants():
                self._call_later(at_s, self._handlers[fault.kind], fault)

    def _targets(self, fault: Fault, candidates: list[str]) -> list[str]:
        """The names that the fault gives, or as many as it says, drawn by the seed."""
        if fault.whom:
            return fault.whom
        number = max(1, round(fault.part * len(candidates)))
        return sorted(self._environment.rng.sample(candidates, number))

    # Cache nodes --------------------------------------------------------------------------------

    def _inject_node_fault(self, fault: Fault) -> None:
        names = self._targets(fault, sorted(self._environment.nodes))
        self._environment.note(f"{fault.kind} {' '.join(names)}")
        # Drains are spread over the time, as in a rolling deploy.
        step_s = fault.for_s / len(names) if fault.kind == "drain" else 0.0
        for place, name in enumerate(names):
            self._call_later(place * step_s, self._fail_node, self._environment.nodes[name], fault)

    def _fail_node(self, node: SimulatedCacheNode, fault: Fault) -> None:
        lifecycle = self._environment.node_lifecycle
        match fault.kind:
            case "hang":
                lifecycle.hang(node, fault.for_s)
            case "crash":
                lifecycle.crash(node, fault.for_s)
            case "drain":
                lifecycle.drain(node)

    def _flush_caches(self, fault: Fault) -> None:
        self._environment.note("flush")
        rng = self._environment.rng
        for node in self._environment.nodes.values():
            node.keys.void_some([key for key in node.keys.all() if rng.random() < fault.size])

    def _lose_zones(self, fault: Fault) -> None:
        zones = [f"zone-{zone}" for zone in range(self._environment.scenario.zones)]
        lost = fault.whom or [self._environment.rng.choice(zones)]
        self._environment.note(f"{' '.join(lost)} lost")
        lifecycle = self._environment.node_lifecycle
        for node in self._environment.nodes.values():
            if zones[node.zone] in lost:
                lifecycle.hang(node, fault.for_s)  # a machine that is cut off answers nothing
                self._call_later(fault.for_s, lifecycle.crash, node)

    # Proxies ------------------------------------------------------------------------------------

    def _inject_proxy_fault(self, fault: Fault) -> None:
        names = self._targets(fault, self._proxy_names())
        self._environment.note(f"{fault.kind} {' '.join(names)}")
        for proxy in self._environment.proxies:
            if proxy.name in names:
                self._proxy_handlers[fault.kind](proxy, fault)

    def _proxy_names(self) -> list[str]:
        return [proxy.name for proxy in self._environment.proxies]

    def _crash_proxy(self, proxy: SimulatedProxy, fault: Fault) -> None:
        self._environment.proxy_lifecycle.kill(proxy)
        self._call_later(fault.for_s, self._environment.start, proxy)

    def _restart_proxy(self, proxy: SimulatedProxy, fault: Fault) -> None:
        if proxy.process is None:
            self._crash_proxy(proxy, fault)
        else:
            self._environment.proxy_lifecycle.restart(proxy, fault.for_s)

    def _drain_proxy(self, proxy: SimulatedProxy, fault: Fault) -> None:
        if proxy.process is not None and proxy.watch is not None:
            proxy.watch.drain(fault.for_s)

    def _replace_proxy(self, proxy: SimulatedProxy, fault: Fault) -> None:
        self._environment.proxy_lifecycle.replace(proxy, fault.for_s)

    def _cut_off_origin(self, proxy: SimulatedProxy, fault: Fault) -> None:
        if proxy.process is None:
            return
        net = self._environment.net
        hosts = proxy.address[0], self._environment.origin.address[0]
        net.cut(proxy.process.reactor, *hosts)
        self._call_later(fault.for_s, net.cuts.discard, hosts)

    # Machines, clients, the origin and discovery ------------------------------------------------

    def _inject_machine_fault(self, fault: Fault) -> None:
        names = self._proxy_names()
        if fault.kind == "clock_step":
            names = sorted(self._environment.nodes) + names
        targets = self._targets(fault, names) if fault.whom or fault.part else names
        inject_machine_fault(self._environment, fault, targets)

    def _heat_one_key(self, fault: Fault) -> None:
        self._environment.note("hot key")
        for population in self._environment.populations:
            population.hot_key_share = fault.size
            self._call_later(fault.for_s, setattr, population, "hot_key_share", 0.0)

    def _disconnect_clients(self, fault: Fault) -> None:
        self._environment.note("clients leave")
        for population in self._environment.populations:
            population.disconnect_waiting(fault.part)

    def _speed_up_clients(self, fault: Fault) -> None:
        self._environment.note("burst")
        for population in self._environment.populations:
            population.speed_up(fault.times)
            self._call_later(fault.for_s, population.speed_up, 1.0 / fault.times)

    def _slow_origin(self, fault: Fault) -> None:
        self._environment.note("origin slow")
        self._environment.origin.server.speed *= fault.size
        self._call_later(fault.for_s, self._restore_origin, fault.size)

    def _restore_origin(self, size: float) -> None:
        self._environment.origin.server.speed /= size

    def _stop_discovery(self, fault: Fault) -> None:
        discovery = self._environment.discovery
        self._environment.note("discovery down")
        discovery.die()
        self._call_later(fault.for_s, discovery.live)
