"""A scenario, as its TOML file describes it: what there is, what is asked of it, and what goes wrong in it.

All times are seconds unless a name ends in `_ms`. Every field has a default and a range; a file with an
unknown field, or a value out of its range, is refused with the field's path.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from lab.fault import Fault
from lab.fault_check import FaultTargets, check_fault
from lab.field_types import Count, NotNegative, Positive, Share
from lab.scenario_error import ScenarioError

Effect = Literal["retryable", "dedup", "fragile"]
WORLDS = Path(__file__).parent / "worlds"
LEAST_SUM, MOST_SUM = 0.999, 1.001  # of shares that should sum to 1


class MachineModel(Struct, forbid_unknown_fields=True):
    """A kind of machine among the nodes."""

    name: str
    share: Share = 1.0
    cores: Count = 4
    speed: tuple[Positive, Positive] = (1.0, 1.0)  # range; work is stated for a machine of speed 1


class CacheNodeFleet(Struct, forbid_unknown_fields=True):
    """The cache nodes: how many, on which machines, and how each of them behaves."""

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
    """What the origin can do, and when it stops under overload."""

    cores: Count = 8
    room: Count = 128
    work_factor: Positive = 1.0  # of a request's work at a node
    stops_at: Positive = 3.0  # times its capacity
    stops_after_s: Positive = 3.0
    down_s: Positive = 5.0


class TrafficClass(Struct, forbid_unknown_fields=True):
    """A class of requests; the proxies are told of it by its name."""

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
    """A tenant, by its share of the requests."""

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
    """What the clients ask for, and how they behave."""

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
    """How fast discovery answers, and how late it learns of a change."""

    lag_s: NotNegative = 1.0
    calls_per_s: Positive = 1000.0  # worked through in turn, for all proxies
    wait_s: Positive = 1.0  # a call that would wait longer fails


class InvariantLimits(Struct, forbid_unknown_fields=True):
    """The figures of the rules that sites state for themselves; the proxies are told them too."""

    drain_s: Positive = 1.0  # how long a node that is told to go may still be sent something new
    fall_s: Positive = 3.0  # in any such time, no cold node is sent more than
    fall_times: Positive = 3.0  # so many times what it can do
    fall_asked_times: Positive = 3.0  # the same of what it is asked for, where a miss counts as a hit


class Scenario(Struct, forbid_unknown_fields=True):
    """All that one run is made of, but for its seed."""

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
    """The names of the scenarios that are shipped."""
    return sorted(path.stem for path in WORLDS.glob("*.toml"))


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or a file by its path; raises `ScenarioError`."""
    path = WORLDS / f"{name}.toml"
    if not path.exists():
        path = Path(name)
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ScenarioError(name, f"{error.strerror}; shipped are {', '.join(names())}") from None
    try:
        scenario = msgspec.toml.decode(text, type=Scenario)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ScenarioError(path.name, str(error)) from None
    _check(scenario, path.name)
    return scenario


def _check(scenario: Scenario, name: str) -> None:
    """Raises `ScenarioError` where fields do not go together."""
    targets = FaultTargets(
        _numbered("node", scenario.nodes.count),
        _numbered("proxy", scenario.proxies),
        _numbered("zone", scenario.zones),
        scenario.seconds,
    )
    for place, fault in enumerate(scenario.faults):
        check_fault(fault, targets, f"{name}: faults[{place}]")
    _check_shares(scenario, name)


def _numbered(kind: str, count: int) -> frozenset[str]:
    return frozenset(f"{kind}-{number}" for number in range(count))


def _check_shares(scenario: Scenario, name: str) -> None:
    traffic = scenario.traffic
    shares = traffic.zone_shares
    if shares and (len(shares) != scenario.zones or not _is_whole(shares)):
        raise ScenarioError(f"{name}: traffic.zone_shares", "one a zone, summing to 1")
    if not _is_whole(each.share for each in traffic.classes):
        raise ScenarioError(f"{name}: traffic.classes.share", "must sum to 1")
    if not _is_whole(tenant.share for tenant in traffic.tenants):
        raise ScenarioError(f"{name}: traffic.tenants.share", "must sum to 1")


def _is_whole(shares: Iterable[float]) -> bool:
    """Whether the shares sum to 1, but for what rounding in a file leaves."""
    return LEAST_SUM <= sum(shares) <= MOST_SUM
