"""One world played in virtual time: whole proxies, their neighbours, faults, the judge, the figures."""

from __future__ import annotations

import hashlib
import time
from collections import Counter
from random import Random
from typing import Any

from balancer.hash_ring import Ring, point
from balancer.settings import read_settings
from balancer.zone_rings import TOKENS
from cloverwell.config import Config, Limits
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from lab.front_layer import Watch
from lab.judge import RULES, Judge
from lab.machine_faults import befall
from lab.net import Address, Net
from lab.nodes import CacheNode, Discovery, Origin
from lab.people import People
from lab.proxies import Inside, Left, SimulatedProxy
from lab.server import Server
from lab.settings import ORIGIN, proxy_settings
from lab.system_call_faults import SystemCalls
from lab.wall_clock import EPOCH_S, WallClocks
from lab.world import ON_MACHINES, ON_NODES, Class, Fault, World

KILL_S = 4.0  # what a planned end may take


class Play:
    def __init__(self, world: World, seed: int) -> None:
        self.world, self.seed = world, seed
        self.rng = Random(f"world {seed}")
        self.net = Net()
        self.judge = Judge(copies=world.second_copies, rules=world.rules)
        self.trace = hashlib.sha256()
        self.notes: list[tuple[float, str]] = []
        self.requests: dict[str, tuple[Class, float, str]] = {}  # name -> class, work in s, key
        self._missed: dict[str, list[CacheNode]] = {}
        self.counts: Counter[str] = Counter()
        self.mean_work_s = sum(c.share * sum(c.work_ms) / 2000.0 for c in world.traffic.classes)
        self.nodes: dict[str, CacheNode] = {}
        self.phases: dict[str, str] = {}
        self.wall_clocks = WallClocks(self.net.seconds, seed)
        # Of a node's name and start by the virtual clock: what its wall clock showed then, in ms.
        self.wall_starts: dict[tuple[str, int], int] = {}
        self._build()

    # What there is ------------------------------------------------------------------------------

    def _build(self) -> None:
        settings = self.world.nodes
        models = [model for model in settings.models for _ in range(round(100 * model.share))]
        for number in range(settings.count):
            model = self.rng.choice(models)
            server = Server(model.cores, self.rng.uniform(*model.speed), settings.room)
            server.cold_share, server.warm_s = settings.cold_share, settings.warm_s
            name, zone = f"node-{number}", number % self.world.zones
            address = (f"10.{1 + zone}.{number // 250}.{number % 250 + 1}", 11211)
            self.nodes[name] = CacheNode(self, name, address, server, zone)
            self.phases[name] = "in_service"
        origin = self.world.origin
        self.origin = Origin(self, ("10.1.255.1", 80), Server(origin.cores, 1.0, origin.room))
        self.discovery = Discovery(self, ("10.1.255.2", 8500))
        self.net.delay = self._delay
        self.proxies = [self._proxy(number) for number in range(self.world.proxies)]
        self._zone_of = {proxy.name: proxy.zone for proxy in self.proxies}
        for proxy in self.proxies:
            proxy.watch = Watch(self, proxy)
            self.start(proxy)
            proxy.watch.ask()
        self.people = [People(self, zone) for zone in range(self.world.zones)]
        self._warm()
        for fault in self.world.faults:
            for at_s in fault.instants():
                self.net.callLater(at_s, self._happen, fault)

    def _proxy(self, number: int) -> SimulatedProxy:
        name, zone = f"proxy-{number}", number % self.world.zones
        address = (f"10.{1 + zone}.{100 + number // 250}.{number % 250 + 1}", 11211)
        return SimulatedProxy(name, address, zone, self.wall_clocks.of(name), SystemCalls(name, self.seed))

    def _warm(self) -> None:
        """Nodes that run when the day begins hold what the ring has long asked them for."""
        ring: Ring[str] = Ring()
        for name in sorted(self.nodes):
            ring.put(name, name, TOKENS)
        for key in self.people[0].popular():
            _, owner = next(ring.clockwise(point(key)))
            self.nodes[owner].keys.store(key)

    def attempt(self, name: str, node: CacheNode, told_ms: float) -> None:
        """A whole command at a node: the judge sees it, and whether it came from another zone is counted."""
        self.judge.attempt(node.now, name, node.name, told_ms)
        case = self.judge.cases.get(name)
        self.counts["node_attempts"] += 1
        self.counts["crossings"] += case is not None and self._zone_of[case.proxy] != node.zone

    def judge_work(self, node: CacheNode, name: str, work_s: float, done_s: float, cold: bool) -> None:
        """A request counts as what it asks for: who sends does not know what the node holds."""
        case = self.judge.cases.get(name)
        told = case is None or self.judge.knows_start(case.proxy, node.name, self._up_ms(node))
        capacity = node.server.capacity(node.now)
        self.judge.work(node.now, node.name, work_s, capacity, cold, self.mean_work_s, told, done_s)

    def _delay(self, near: str, far: str) -> float:
        """One way between two hosts: their second number is their zone."""
        same = near.split(".")[1] == far.split(".")[1]
        return 0.0002 if same else self.world.zone_ms / 1000.0

    def members(self) -> list[dict[str, Any]]:
        """The list of servers, with their starts by the virtual clock."""
        rows = []
        for name, node in self.nodes.items():
            kind = self.world.nodes.models[0].name
            rows.append(self._row(name, node.address, f"zone-{node.zone}", kind, self._up_ms(node)))
            rows[-1]["phase"] = self.phases[name]
        rows.append(self._row(ORIGIN, self.origin.address, "zone-0", ORIGIN, 0))
        return rows

    def as_listed(self, rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """As discovery tells them: each start is what the machine's wall clock showed then."""
        listed = []
        for row in rows:
            start_ms = row["up_since_ms"]
            listed.append(row | {"up_since_ms": self.wall_starts.get((row["id"], start_ms), start_ms)})
        return listed

    @staticmethod
    def _up_ms(node: CacheNode) -> int:
        """When it started, as the judge has it; 0: before the day."""
        return int(1000 * (node.server.born_s + EPOCH_S)) if node.server.born_s > 0 else 0

    @staticmethod
    def _row(name: str, address: Address, zone: str, kind: str, up_ms: int) -> dict[str, Any]:
        return {"id": name, "host_port": f"{address[0]}:{address[1]}", "locality": zone, "flavor": kind,
                "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": up_ms}  # fmt: skip

    # Proxies ------------------------------------------------------------------------------------

    def start(self, proxy: SimulatedProxy, left: Left | None = None) -> None:
        proxy.starts += 1
        proxy.draining = False
        inside = Inside(self, proxy)
        self.judge.starts_with(proxy.name, rows := self.members())
        known = [Endpoint(**row) for row in self.as_listed(rows)]
        number = self.proxies.index(proxy) if hasattr(self, "proxies") else 0
        config = Config(
            proxy.name, proxy.address, self.discovery.address, self.seed * 1000 + number * 10 + proxy.starts,
            Limits(sockets=self.world.sockets), EndpointList(self.discovery.revision, True, known),
            read_settings(proxy_settings(self.world, number)),
        )  # fmt: skip
        now = self.net.now_ms
        service = Proxy(inside, config, Log(now, proxy.log), now, proxy.wall_clock.epoch_ms, left)
        service.inside = inside
        proxy.service, proxy.old = service, proxy.service
        service.start(adopt=lambda _, listening, factory: self.net.adopt(listening, factory, inside))

    def replace(self, proxy: SimulatedProxy, for_s: float) -> None:
        """Another process starts beside it, and takes over; the old one is asked to end after `for_s`."""
        old = proxy.service
        self.start(proxy, Left(old))
        self.net.callLater(for_s, old.stop)
        self.net.callLater(for_s + KILL_S, self._gone, proxy, old, "did not end by itself")

    def _gone(self, proxy: SimulatedProxy, service: Proxy, text: str = "") -> None:
        """The process that has been replaced ends."""
        if not service.inside.alive:
            return
        if text:
            self.note(f"{proxy.name} {text}")
        service.inside.alive = False
        self.net.kill(service.inside)
        if proxy.old is service:
            proxy.old = None
            proxy.service._alone()

    def kill(self, proxy: SimulatedProxy) -> None:
        if proxy.service is None:
            return
        inside = proxy.service.inside
        inside.alive = False
        self.net.kill(inside)
        proxy.service = None
        self.judge.restarted(proxy.name)

    def ended(self, proxy: SimulatedProxy, inside: Inside) -> None:
        """It has answered all and stops by itself."""
        if proxy.old is not None and proxy.old.inside is inside:
            self._gone(proxy, proxy.old)
            return
        self.kill(proxy)
        self.net.callLater(proxy.back_s, self.start, proxy)

    def _kill_late(self, proxy: SimulatedProxy, service: Proxy) -> None:
        """It has not ended in the time that a planned end may take."""
        if proxy.service is service:
            self.note(f"{proxy.name} did not end by itself")
            self.ended(proxy, service.inside)

    def proxy_of(self, web: Any) -> str:
        host = web.transport.getPeer().host
        return next((proxy.name for proxy in self.proxies if proxy.address[0] == host), "")

    # Requests -----------------------------------------------------------------------------------

    def work_of(self, name: str) -> float:
        return self.requests[name][1] if name in self.requests else 0.01

    def body_of(self, name: str) -> str:
        """The same each time, and another for each request; some are long."""
        traffic = self.world.traffic
        rng = Random(f"value {self.seed} {name}") if traffic.long_share else None
        if rng is None or rng.random() >= traffic.long_share:
            return f"value of {name}"
        size = int(1024 * rng.uniform(*traffic.long_kb)) + 1
        return (f"value of {name} " * (1 + size // len(name)))[:size]

    def receipt_of(self, name: str) -> str:
        return f"receipt-{name}"

    def missed(self, name: str, node: CacheNode) -> None:
        self.counts["misses"] += 1
        self._missed.setdefault(name, []).append(node)

    def fetched(self, name: str, key: str) -> None:
        """The origin has answered a read: the nodes that missed for it keep the value."""
        self.counts["fetches"] += 1
        for node in self._missed.pop(name, [])[:2]:
            if not node.down:
                node.keys.store(key)

    def written(self, key: str) -> None:
        for node in self.nodes.values():
            node.keys.void(key)

    def record(self, *what: object) -> None:
        """One line of the trace, at the virtual time."""
        self.trace.update(f"{self.net.seconds():.6f} {' '.join(map(str, what))}\n".encode())

    def note(self, text: str) -> None:
        self.notes.append((round(self.net.seconds() - 1000.0, 3), text))
        self.record("note", text)

    # What goes wrong ----------------------------------------------------------------------------

    def _whom(self, fault: Fault, all_names: list[str]) -> list[str]:
        if fault.whom:
            return fault.whom
        return sorted(self.rng.sample(all_names, max(1, round(fault.part * len(all_names)))))

    def _happen(self, fault: Fault) -> None:
        proxies = [proxy.name for proxy in self.proxies]
        names = sorted(self.nodes) if fault.kind in ON_NODES else proxies
        if fault.kind == "clock_step":
            names = sorted(self.nodes) + proxies
        later = self.net.callLater
        match fault.kind:
            case "hang" | "crash" | "drain":
                whom = self._whom(fault, names)
                self.note(f"{fault.kind} {' '.join(whom)}")
                # One after the other over the time, as a rolling deploy goes.
                step = fault.for_s / len(whom) if fault.kind == "drain" else 0.0
                for place, name in enumerate(whom):
                    later(place * step, getattr(self, f"_{fault.kind}"), self.nodes[name], fault)
            case "proxy_crash" | "proxy_restart" | "proxy_drain" | "proxy_replace" | "origin_cut":
                whom = self._whom(fault, names)
                self.note(f"{fault.kind} {' '.join(whom)}")
                for proxy in self.proxies:
                    if proxy.name in whom:
                        self._befall(proxy, fault)
            case kind if kind in ON_MACHINES:
                befall(self, fault, self._whom(fault, names) if fault.whom or fault.part else names)
            case "flush":
                self.note("flush")
                for node in self.nodes.values():
                    node.keys.void_some([key for key in node.keys.all() if self.rng.random() < fault.size])
            case "hot_key":
                self.note("hot key")
                for people in self.people:
                    people.hot = fault.size
                    later(fault.for_s, setattr, people, "hot", 0.0)
            case "zone_lost":
                zones = [f"zone-{zone}" for zone in range(self.world.zones)]
                lost = fault.whom or [self.rng.choice(zones)]
                self.note(f"{' '.join(lost)} lost")
                for node in self.nodes.values():
                    if zones[node.zone] in lost:
                        self._hang(node, fault)  # a machine that is cut off says nothing
                        later(fault.for_s, self._crash, node, Fault("crash", 0.0, 0.5))
            case "origin_slow":
                self.note("origin slow")
                self.origin.server.speed *= fault.size
                later(fault.for_s, self._restore, fault.size)
            case "clients_leave":
                self.note("clients leave")
                for people in self.people:
                    people.burst(fault.part)
            case "burst":
                self.note("burst")
                for people in self.people:
                    people.speed_up(fault.times)
                    later(fault.for_s, people.speed_up, 1.0 / fault.times)
            case "discovery_down":
                self.note("discovery down")
                self.discovery.die()
                later(fault.for_s, self.discovery.live)

    def _restore(self, size: float) -> None:
        self.origin.server.speed /= size

    def _hang(self, node: CacheNode, fault: Fault) -> None:
        node.hung = True
        self.net.callLater(fault.for_s, setattr, node, "hung", False)

    def _crash(self, node: CacheNode, fault: Fault) -> None:
        node.die()
        self._list_later(node, "terminated")
        self.net.callLater(fault.for_s, self._return, node)

    def _drain(self, node: CacheNode, fault: Fault) -> None:
        """A planned replacement: told, drained, gone, and back cold."""
        self._list(node, "terminating")
        self.net.callLater(3.0, self._crash, node, Fault("crash", 0.0, 0.5))

    def _return(self, node: CacheNode) -> None:
        node.keys.clear()
        node.server.born_s = self.net.seconds()
        wall_ms = int(1000 * self.wall_clocks.of(node.name).seconds())
        self.wall_starts[node.name, self._up_ms(node)] = wall_ms
        node.live()
        self._list_later(node, "in_service")

    def _list_later(self, node: CacheNode, phase: str) -> None:
        self.net.callLater(self.world.discovery.lag_s, self._list, node, phase)

    def _list(self, node: CacheNode, phase: str) -> None:
        self.phases[node.name] = phase
        self.discovery.changed(node.name)

    def _befall(self, proxy: SimulatedProxy, fault: Fault) -> None:
        match fault.kind:
            case "proxy_restart" if proxy.service is not None:
                proxy.draining, proxy.back_s = True, fault.for_s
                proxy.service.stop()
                self.net.callLater(KILL_S, self._kill_late, proxy, proxy.service)
            case "proxy_crash" | "proxy_restart":
                self.kill(proxy)
                self.net.callLater(fault.for_s, self.start, proxy)
            case "proxy_drain" if proxy.service is not None:
                proxy.watch.drain(fault.for_s)
            case "proxy_replace" if proxy.service is not None:
                self.replace(proxy, fault.for_s)
            case "origin_cut" if proxy.service is not None:
                pair = proxy.address[0], self.origin.address[0]
                self.net.cut(proxy.service.inside, *pair)
                self.net.callLater(fault.for_s, self.net.cuts.discard, pair)

    # The day ------------------------------------------------------------------------------------

    def run(self) -> dict[str, Any]:
        begun = time.perf_counter()
        for people in self.people:
            people.start()
        self.net.run_for(self.world.seconds + 6.0)
        return self.summary(time.perf_counter() - begun)

    def summary(self, wall_s: float) -> dict[str, Any]:
        metrics = People.metrics(self.people, self.world)
        return {
            "seed": self.seed,
            "requests": metrics["requests"],
            "service": metrics["service"],
            "classes": metrics["classes"],
            "worst_window": metrics["worst_window"],
            "ends": metrics["ends"],
            "rules": {rule: self.judge.counts[rule] for rule in RULES},
            "breaches": self.judge.breaches,
            "notes": self.notes,
            "coldest_load": round(self.judge.fullest, 3),
            "misses": self.counts["misses"],
            "fetches": self.counts["fetches"],
            "crossed": round(self.counts["crossings"] / max(1, self.counts["node_attempts"]), 4),
            "origin_stops": self.origin.stops,
            "list_calls": sum(self.discovery.calls.values()),
            "list_calls_peak": max(self.discovery.calls.values(), default=0),
            "list_starts_peak": max(self.discovery.begun.values(), default=0),
            "list_calls_failed": self.discovery.failed,
            "trace_sha256": self.trace.hexdigest(),
            "wall_s": round(wall_s, 3),
            "simulated_s": self.world.seconds,
        }
