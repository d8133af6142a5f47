"""A world, as its TOML file describes it: what there is, what is asked of it, and what goes wrong in it.

All times are seconds unless a name ends in `_ms`. Every field has a default and a range; a file with an
unknown field, or a value out of its range, is refused with the field's path.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
NotNegative = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Effect = Literal["retryable", "dedup", "fragile"]
Kind = Literal[
    "hang",
    "crash",
    "drain",
    "proxy_crash",
    "proxy_restart",
    "proxy_drain",
    "proxy_replace",
    "flush",
    "hot_key",
    "discovery_down",
    "zone_lost",
    "origin_slow",
    "origin_cut",
    "clients_leave",
    "burst",
    "clock_step",
    "connect_fails",
    "accept_fails",
    "send_fails",
    "receive_fails",
    "short_calls",
    "connections_break",
]
ErrorName = Literal[
    "EADDRNOTAVAIL",
    "ECONNABORTED",
    "EHOSTUNREACH",
    "EMFILE",
    "ENETUNREACH",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "ETIMEDOUT",
]

WORLDS = Path(__file__).parent / "worlds"
ON_NODES = ("hang", "crash", "drain")
# Kinds of failing system calls, each with the errors that it may fail by.
SYSTEM_CALLS: dict[str, tuple[ErrorName, ...]] = {
    "connect_fails": ("ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ENFILE", "EMFILE"),
    "accept_fails": ("ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM"),
    "send_fails": ("ENOBUFS", "ENOMEM"),
    "receive_fails": ("ENOBUFS", "ENOMEM"),
    "short_calls": (),
    "connections_break": ("ETIMEDOUT", "EHOSTUNREACH"),
}
ON_MACHINES = ("clock_step", *SYSTEM_CALLS)
ON_PROXIES = ("proxy_crash", "proxy_restart", "proxy_drain", "proxy_replace", "origin_cut", *SYSTEM_CALLS)
MOST_STEP_S = 86_400.0  # of a wall clock
MOST_REPEATS = 10_000  # of one fault


class ScenarioError(Exception):
    """The text names the field, and what is allowed."""


class MachineModel(Struct, forbid_unknown_fields=True):
    """A kind of machine among the nodes."""

    name: str
    share: Share = 1.0
    cores: Count = 4
    speed: tuple[Positive, Positive] = (1.0, 1.0)  # range, the yardstick is 1


class CacheNodeFleet(Struct, forbid_unknown_fields=True):
    count: Annotated[int, Meta(ge=1, le=5000)] = 12
    models: list[MachineModel] = field(default_factory=lambda: [MachineModel("large")])
    room: Count = 64  # requests that wait
    keys: Count = 4000  # that one node keeps
    cold_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.32
    warm_s: Positive = 8.7
    idle_close_s: Positive = 5.0
    connections: Count = 512
    handshake_ms: NotNegative = 0.5  # the first request on a connection waits so long
    report_every_s: Positive = 0.5
    piece_kb: Positive = 64.0  # in which long values are given, one each
    piece_ms: Positive = 1.0


class OriginCapacity(Struct, forbid_unknown_fields=True):
    cores: Count = 8
    room: Count = 128
    work_factor: Positive = 1.0  # of a request's work at a node
    stops_at: Positive = 3.0  # times its capacity
    stops_after_s: Positive = 3.0
    down_s: Positive = 5.0


class TrafficClass(Struct, forbid_unknown_fields=True):
    name: str
    share: Share
    work_ms: tuple[Positive, Positive]  # range of the mean; each request's is exponential about it
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_worth: Share = 0.2
    effect: Effect = "retryable"
    window_ms: Positive = 1500.0
    write: bool = False


class Tenant(Struct, forbid_unknown_fields=True):
    name: str
    share: Share


def _classes() -> list[TrafficClass]:
    return [
        TrafficClass("page", 0.5, (20.0, 30.0), 500.0, 1500.0, 1.0),
        TrafficClass("price", 0.42, (8.0, 12.0), 250.0, 700.0, 2.0),
        TrafficClass("adjust", 0.045, (12.0, 18.0), 250.0, 700.0, 3.0, 0.2, "dedup", 700.0, True),
        TrafficClass("order", 0.035, (12.0, 18.0), 300.0, 1000.0, 2.0, 0.2, "fragile", 1500.0, True),
    ]


class Traffic(Struct, forbid_unknown_fields=True):
    per_s: Positive = 360.0
    classes: list[TrafficClass] = field(default_factory=_classes)
    tenants: list[Tenant] = field(default_factory=lambda: [Tenant("north", 0.6), Tenant("south", 0.4)])
    keys: Count = 20_000
    zipf: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.95
    long_share: Share = 0.0  # of the reads: their values are long
    long_kb: tuple[Positive, Positive] = (64.0, 1024.0)
    read_kb_s: Positive = 100_000.0  # what a client reads of a long value
    retries: Annotated[int, Meta(ge=0, le=5)] = 2
    zone_shares: list[Share] = []  # of the traffic, by zone; none: alike
    proxy_spread: NotNegative = 0.0  # of the logarithms of the proxies' shares; 1: some get 4 times the mean
    back_off_ms: NotNegative = 50.0
    leave_share: Share = 0.0  # of the tries: the client closes before its answer, unless that comes sooner
    leave_ms: tuple[Positive, Positive] = (5.0, 300.0)  # so long after it has sent


class DiscoveryCapacity(Struct, forbid_unknown_fields=True):
    lag_s: NotNegative = 1.0
    calls_per_s: Positive = 1000.0  # worked through in turn, for all proxies
    wait_s: Positive = 1.0  # a call that would wait longer fails


class Fault(Struct, forbid_unknown_fields=True):
    kind: Kind
    at_s: NotNegative
    for_s: NotNegative = 0.0
    part: Share = 0.0  # of the nodes, the proxies or the clients that wait, drawn by the seed
    whom: list[str] = []  # or these by name: node-3, proxy-0, zone-1
    size: Share = 0.2  # of the traffic (hot_key), of the keys (flush), of its speed left (origin_slow)
    times: Positive = 1.5  # the traffic (burst)
    by_s: Annotated[float, Meta(ge=-MOST_STEP_S, le=MOST_STEP_S)] | None = None  # the step; none: drawn
    every_s: NotNegative = 0.0  # in `for_s` it happens so often (clock_step, connections_break); 0: once
    rate: Share = 0.0  # of the calls that fail, or of the connections that break
    errors: list[ErrorName] = []  # that they fail by; none: all of its kind
    most_bytes: Count = 1  # that a short read or write takes (short_calls)

    def error_names(self) -> list[ErrorName]:
        return self.errors or list(SYSTEM_CALLS[self.kind])

    def instants(self) -> list[float]:
        """When it happens, in s."""
        repeats = int(self.for_s / self.every_s) if self.every_s else 0
        return [self.at_s + repeat * self.every_s for repeat in range(repeats + 1)]


class InvariantLimits(Struct, forbid_unknown_fields=True):
    """The figures of the rules that sites state for themselves; the proxies are told them too."""

    drain_s: Positive = 1.0  # how long a node that is told to go may still be sent something new
    fall_s: Positive = 3.0  # in any such time, no cold node is sent more than
    fall_times: Positive = 3.0  # so many times what it can do
    fall_asked_times: Positive = 3.0  # the same of what it is asked for, where a miss counts as a hit


class Scenario(Struct, forbid_unknown_fields=True):
    about: str = ""
    seconds: Annotated[float, Meta(gt=0.0, le=3600.0)] = 20.0
    proxies: Annotated[int, Meta(ge=1, le=5000)] = 2
    proxies_told: Annotated[int, Meta(ge=0)] = 0  # as the settings state their number; 0: as it is
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 512
    zones: Annotated[int, Meta(ge=1, le=3)] = 2
    zone_ms: NotNegative = 10.0  # one way between zones
    cross_price: Share = 0.0  # a crossing's price, as the settings tell the proxy; none: one ring
    second_copies: bool = True  # whether a request may have two attempts out together
    nodes: CacheNodeFleet = field(default_factory=CacheNodeFleet)
    origin: OriginCapacity = field(default_factory=OriginCapacity)
    traffic: Traffic = field(default_factory=Traffic)
    discovery: DiscoveryCapacity = field(default_factory=DiscoveryCapacity)
    rules: InvariantLimits = field(default_factory=InvariantLimits)
    faults: list[Fault] = []


def names() -> list[str]:
    """The worlds that are shipped."""
    return sorted(path.stem for path in WORLDS.glob("*.toml"))


def load(name: str) -> Scenario:
    """A shipped world by its name, or a file by its path. Raises `ScenarioError`."""
    path = WORLDS / f"{name}.toml"
    if not path.exists():
        path = Path(name)
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}; shipped are {', '.join(names())}") from None
    try:
        world = msgspec.toml.decode(text, type=Scenario)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path.name}: {error}".replace("\n", " ")) from None
    _check(world, path.name)
    return world


def _check(world: Scenario, name: str) -> None:
    for place, fault in enumerate(world.faults):
        where = f"{name}: faults[{place}]"
        nodes = {f"node-{number}" for number in range(world.nodes.count)}
        proxies = {f"proxy-{number}" for number in range(world.proxies)}
        zones = {f"zone-{number}" for number in range(world.zones)} if fault.kind == "zone_lost" else set()
        allowed = nodes if fault.kind in ON_NODES else proxies if fault.kind in ON_PROXIES else zones
        if fault.kind == "clock_step":
            allowed = nodes | proxies
        for who in fault.whom:
            if who not in allowed:
                kinds = f"node-0 to node-{world.nodes.count - 1}" if allowed is nodes else "see its kind"
                raise ScenarioError(f"{where}.whom: {who!r} is not there; allowed: {kinds}")
        somebody = fault.kind in ON_NODES or fault.kind in ON_PROXIES
        if somebody and not (fault.whom or fault.part):
            raise ScenarioError(f"{where}.part: must be over 0, or whom must name somebody")
        if fault.kind == "clients_leave" and not fault.part:
            raise ScenarioError(f"{where}.part: must be over 0")
        _check_system_call(fault, where)
        if fault.by_s == 0.0:
            raise ScenarioError(f"{where}.by_s: must not be 0")
        if fault.every_s and fault.for_s / fault.every_s > MOST_REPEATS:
            raise ScenarioError(f"{where}.every_s: more than {MOST_REPEATS} repeats in for_s")
        if fault.kind == "origin_slow" and not fault.size:
            raise ScenarioError(f"{where}.size: must be over 0")
        if fault.at_s >= world.seconds:
            raise ScenarioError(f"{where}.at_s: must be under seconds ({world.seconds:g})")
    shares = world.traffic.zone_shares
    if shares and (len(shares) != world.zones or not 0.999 <= sum(shares) <= 1.001):
        raise ScenarioError(f"{name}: traffic.zone_shares: one a zone, summing to 1")
    if not 0.999 <= sum(cls.share for cls in world.traffic.classes) <= 1.001:
        raise ScenarioError(f"{name}: traffic.classes.share: must sum to 1")
    if not 0.999 <= sum(tenant.share for tenant in world.traffic.tenants) <= 1.001:
        raise ScenarioError(f"{name}: traffic.tenants.share: must sum to 1")


def _check_system_call(fault: Fault, where: str) -> None:
    if fault.kind not in SYSTEM_CALLS:
        return
    if not fault.for_s and fault.kind != "connections_break":
        raise ScenarioError(f"{where}.for_s: must be over 0")
    if not fault.rate:
        raise ScenarioError(f"{where}.rate: must be over 0")
    allowed = SYSTEM_CALLS[fault.kind]
    for name in fault.errors:
        if name not in allowed:
            raise ScenarioError(
                f"{where}.errors: {name} is none of {fault.kind}; allowed: {', '.join(allowed)}"
            )
