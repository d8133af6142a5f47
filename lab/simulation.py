"""One scenario in virtual time: whole proxies, their neighbours, faults, invariants and figures."""

from __future__ import annotations

import hashlib
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from balancer.hash_ring import Ring, ring_position
from balancer.zone_rings import TOKENS_PER_SERVER
from lab.client_population import ClientPopulation
from lab.clock import START_S
from lab.endpoint_registry import EndpointRegistry
from lab.fault_injector import FaultInjector
from lab.front_layer import ReadinessWatch
from lab.http_connection import HttpConnection
from lab.invariant_checker import RULES, InvariantChecker
from lab.listener import Address
from lab.member_row import MemberRow
from lab.net import Net
from lab.node_lifecycle import NodeLifecycle
from lab.proxy_lifecycle import ProxyLifecycle
from lab.request_catalog import RequestCatalog
from lab.scenario import MachineModel, Scenario
from lab.server import Server
from lab.service_metrics import measure_service
from lab.simulated_cache_node import SimulatedCacheNode
from lab.simulated_discovery import SimulatedDiscovery
from lab.simulated_origin import SimulatedOrigin
from lab.simulated_proxy import SimulatedPredecessor, SimulatedProxy, SimulatedReactor
from lab.system_call_faults import SystemCalls
from lab.wall_clock import WallClocks

ORIGIN_ADDRESS: Address = ("10.1.255.1", 80)
DISCOVERY_ADDRESS: Address = ("10.1.255.2", 8500)
MEMCACHE_PORT = 11211
FIRST_PROXY_NET = 100  # third number of the proxies' addresses, apart from the nodes'
IN_ZONE_S = 0.0002  # one way between two hosts of one zone
AFTER_S = 6.0  # the simulation goes on so long after the last arrival
MOST_FILLS = 2  # nodes that keep a value which the origin has answered


@dataclass(slots=True)
class TrafficCounts:
    """What crossed between proxies, nodes and the origin."""

    node_attempts: int = 0
    zone_crossings: int = 0
    misses: int = 0
    fetches: int = 0


class Simulation:
    """All parts of one scenario on one virtual network; one seed always gives the same run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Builds everything and starts the proxies; no client sends before `run`."""
        self.scenario, self.seed = scenario, seed
        self.rng = Random(f"world {seed}")
        self.net = Net()
        self.checker = InvariantChecker(copies=scenario.second_copies, rules=scenario.rules)
        self.catalog = RequestCatalog(scenario.traffic, seed)
        self.wall_clocks = WallClocks(self.net.seconds, seed)
        self.counts = TrafficCounts()
        self.notes: list[tuple[float, str]] = []
        self._trace = hashlib.sha256()
        self._missed_at: dict[str, list[SimulatedCacheNode]] = {}  # by request id
        self._mean_work_s = sum(each.share * sum(each.work_ms) / 2000.0 for each in scenario.traffic.classes)
        self.nodes = self._make_nodes()
        origin = scenario.origin
        self.origin = SimulatedOrigin(self, ORIGIN_ADDRESS, Server(origin.cores, 1.0, origin.room))
        self.discovery = SimulatedDiscovery(self, DISCOVERY_ADDRESS)
        self.registry = EndpointRegistry(
            self.nodes,
            ORIGIN_ADDRESS,
            scenario.nodes.models[0].name,
            self.wall_clocks,
            self.discovery.changed,
        )
        self.node_lifecycle = NodeLifecycle(self.net, self.registry, scenario.discovery.lag_s)
        self.proxy_lifecycle = ProxyLifecycle(self)
        self.net.delay = self._delay_s
        self.proxies = [self._make_proxy(number) for number in range(scenario.proxies)]
        self._zones = {proxy.name: proxy.zone for proxy in self.proxies}
        self._start_proxies()
        self.populations = [ClientPopulation(self, zone) for zone in range(scenario.zones)]
        self._fill_caches()
        FaultInjector(self).schedule()

    # Assembly -----------------------------------------------------------------------------------

    def _make_nodes(self) -> dict[str, SimulatedCacheNode]:
        settings = self.scenario.nodes
        models = [model for model in settings.models for _ in range(round(100 * model.share))]
        nodes = [self._make_node(number, models) for number in range(settings.count)]
        return {node.name: node for node in nodes}

    def _make_node(self, number: int, models: list[MachineModel]) -> SimulatedCacheNode:
        settings = self.scenario.nodes
        model = self.rng.choice(models)
        server = Server(model.cores, self.rng.uniform(*model.speed), settings.room)
        server.cold_share, server.warm_s = settings.cold_share, settings.warm_s
        zone = number % self.scenario.zones
        address = (f"10.{1 + zone}.{number // 250}.{number % 250 + 1}", MEMCACHE_PORT)
        return SimulatedCacheNode(self, f"node-{number}", address, server, zone)

    def _make_proxy(self, number: int) -> SimulatedProxy:
        name, zone = f"proxy-{number}", number % self.scenario.zones
        host = f"10.{1 + zone}.{FIRST_PROXY_NET + number // 250}.{number % 250 + 1}"
        system_calls = SystemCalls(name, self.seed)
        return SimulatedProxy(name, (host, MEMCACHE_PORT), zone, self.wall_clocks.of(name), system_calls)

    def _start_proxies(self) -> None:
        for proxy in self.proxies:
            watch = ReadinessWatch(self, proxy)
            proxy.watch = watch
            self.start(proxy)
            watch.ask()

    def _fill_caches(self) -> None:
        """Nodes that run when the simulation begins have the keys that the ring gives them."""
        ring: Ring[str] = Ring()
        for name in sorted(self.nodes):
            ring.add(name, name, TOKENS_PER_SERVER)
        for key in self.populations[0].popular_keys():
            _, owner = next(ring.clockwise(ring_position(key)))
            self.nodes[owner].keys.store(key)

    def _delay_s(self, near: str, far: str) -> float:
        """One way between two hosts: the second number of an address is the zone."""
        same_zone = near.split(".")[1] == far.split(".")[1]
        return IN_ZONE_S if same_zone else self.scenario.zone_ms / 1000.0

    # What proxies need --------------------------------------------------------------------------

    def start(self, proxy: SimulatedProxy, predecessor: SimulatedPredecessor | None = None) -> None:
        """Starts a process for the proxy, which takes over from the predecessor if there is one."""
        self.proxy_lifecycle.start(proxy, predecessor)

    def kill(self, proxy: SimulatedProxy) -> None:
        """Ends the proxy's process at once."""
        self.proxy_lifecycle.kill(proxy)

    def ended(self, proxy: SimulatedProxy, reactor: SimulatedReactor) -> None:
        """The process with this reactor ends by itself."""
        self.proxy_lifecycle.ended(proxy, reactor)

    # What nodes and discovery need --------------------------------------------------------------

    def attempt(self, request_id: str, node: SimulatedCacheNode, deadline_ms: float) -> None:
        """A whole command has come in at a cache node: it is checked, and counted if it crossed zones."""
        self.checker.attempt(node.now, request_id, node.name, deadline_ms)
        history = self.checker.histories.get(request_id)
        self.counts.node_attempts += 1
        if history is not None and self._zones[history.proxy] != node.zone:
            self.counts.zone_crossings += 1

    def record_work(self, node: SimulatedCacheNode, request_id: str, work_s: float, done_s: float) -> None:
        """Work has come in at a node. Counted as what was asked for: senders do not know the keys."""
        history = self.checker.histories.get(request_id)
        start_ms = self.registry.start_ms(node)
        told = history is None or self.checker.knows_start(history.proxy, node.name, start_ms)
        capacity = node.server.capacity(node.now)
        mean_s = self._mean_work_s
        self.checker.work(node.now, node.name, work_s, capacity, node.cold, mean_s, told, done_s)

    def missed(self, request_id: str, node: SimulatedCacheNode) -> None:
        """The node does not have the request's key, and stores it when the origin has answered."""
        self.counts.misses += 1
        self._missed_at.setdefault(request_id, []).append(node)

    def fetched(self, request_id: str, key: str) -> None:
        """The origin has answered a read: the nodes that missed for it store the value."""
        self.counts.fetches += 1
        for node in self._missed_at.pop(request_id, [])[:MOST_FILLS]:
            if not node.down:
                node.keys.store(key)

    def written(self, key: str) -> None:
        """The origin has done a write: no node's value for the key is valid any more."""
        for node in self.nodes.values():
            node.keys.void(key)

    def members(self) -> list[MemberRow]:
        """All endpoints, with their starts by the virtual clock."""
        return self.registry.members()

    def as_listed(self, rows: list[MemberRow]) -> list[MemberRow]:
        """The rows as discovery sends them, with the starts that the machines' wall clocks showed."""
        return self.registry.as_listed(rows)

    def proxy_of(self, connection: HttpConnection) -> str:
        """The name of the proxy at the other end; empty if it is none."""
        host = connection.transport.getPeer().host
        return next((proxy.name for proxy in self.proxies if proxy.address[0] == host), "")

    # The run and its record ---------------------------------------------------------------------

    def record(self, *what: object) -> None:
        """Adds a line to the trace, at the virtual time."""
        self._trace.update(f"{self.net.seconds():.6f} {' '.join(map(str, what))}\n".encode())

    def note(self, text: str) -> None:
        """Adds a line to the notes of the summary, and to the trace."""
        self.notes.append((round(self.net.seconds() - START_S, 3), text))
        self.record("note", text)

    def run(self) -> dict[str, Any]:
        """Runs the scenario from its begin to its end, and gives the summary."""
        begun = time.perf_counter()
        for population in self.populations:
            population.start()
        self.net.run_for(self.scenario.seconds + AFTER_S)
        return self.summary(time.perf_counter() - begun)

    def summary(self, wall_s: float) -> dict[str, Any]:
        """The figures so far, in the form in which the command prints them as JSON."""
        requests = [request for population in self.populations for request in population.requests]
        metrics = measure_service(requests, self.scenario)
        counts, discovery = self.counts, self.discovery
        return {
            "seed": self.seed,
            "requests": metrics.requests,
            "service": metrics.service,
            "classes": metrics.classes,
            "worst_window": metrics.worst_window,
            "ends": metrics.ends,
            "rules": {rule: self.checker.counts[rule] for rule in RULES},
            "breaches": self.checker.breaches,
            "notes": self.notes,
            "coldest_load": round(self.checker.fullest, 3),
            "misses": counts.misses,
            "fetches": counts.fetches,
            "crossed": round(counts.zone_crossings / max(1, counts.node_attempts), 4),
            "origin_stops": self.origin.stops,
            "list_calls": sum(discovery.calls.values()),
            "list_calls_peak": max(discovery.calls.values(), default=0),
            "list_starts_peak": max(discovery.first_calls.values(), default=0),
            "list_calls_failed": discovery.failed,
            "trace_sha256": self._trace.hexdigest(),
            "wall_s": round(wall_s, 3),
            "simulated_s": self.scenario.seconds,
        }
