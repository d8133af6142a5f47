"""The scenario of a scale run, as its TOML file describes it. No I/O but reading the file.

Times are seconds unless a name ends in `_ms`. A file with an unknown field, or with a value out of its
range, is refused with the field's path (`ScaleScenarioError`). The field names are those of the files.
"""

from __future__ import annotations

from itertools import combinations
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
NotNegative = Annotated[float, Meta(ge=0.0, le=1e6)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,30}$")]

Regions = tuple[str, str]  # the two regions of a link

ProcessFaultKind = Literal["kill", "pause", "restart"]
LinkFaultKind = Literal["cut", "delay", "loss"]
LINK_FAULTS = ("cut", "delay", "loss")

MAX_MESSAGE = 300  # characters of an error that lists names
SCENARIO_FOLDER = Path(__file__).parent / "worlds"


class ScaleScenarioError(Exception):
    """The scenario can't be run; the text names the file and the field.

    `where` is the file, with the field's path behind it, and `problem` says what is wrong there.
    """

    def __init__(self, where: str, problem: str) -> None:
        """Makes the text from both arguments."""
        super().__init__(f"{where}: {problem}".replace("\n", " "))
        self.where = where
        self.problem = problem


class RegionZones(Struct, forbid_unknown_fields=True):
    """A region and its number of zones."""

    name: Name
    zones: Annotated[int, Meta(ge=1, le=100)] = 1


class LinkDelay(Struct, forbid_unknown_fields=True):
    """The one-way delay between two regions, which overrides `ScaleScenario.region_delay_ms`."""

    between: tuple[Name, Name]
    delay_ms: NotNegative


class HollowProxies(Struct, forbid_unknown_fields=True):
    """Proxies that no client can reach, many to a process.

    `granularity_ms` is the granularity of their timer wheels.
    """

    count: Annotated[int, Meta(ge=0, le=2000)] = 12
    per_process: Annotated[int, Meta(ge=1, le=200)] = 10
    granularity_ms: Annotated[float, Meta(ge=5.0, le=1000.0)] = 250.0


class RealProxies(Struct, forbid_unknown_fields=True):
    """Proxies in processes of their own, which serve requests.

    Each of them has so many `connections` from clients, and gets `requests_per_s` over all of these.
    """

    count: Annotated[int, Meta(ge=0, le=50)] = 1
    connections: Annotated[int, Meta(ge=1, le=200)] = 4
    requests_per_s: Positive = 50.0
    sockets: Annotated[int, Meta(ge=64, le=100_000)] = 512


class CacheNodeSet(Struct, forbid_unknown_fields=True):
    """The cache nodes in discovery's list; the stand-ins that answer for them share some ports.

    Requests for `miss_share` of the keys miss, and go on to the origin.
    """

    count: Annotated[int, Meta(ge=1, le=5000)] = 24
    ports: Annotated[int, Meta(ge=1, le=64)] = 4
    miss_share: Share = 0.05


class DiscoveryLimits(Struct, forbid_unknown_fields=True):
    """The region and the capacity of the stand-in for discovery.

    An empty `region` stands for the first one. A call that finds `queue` calls waiting is answered with 503.
    An answer to a watch takes as much of the capacity as any other call.
    """

    region: str = ""
    calls_per_s: Positive = 1000.0
    queue: Annotated[int, Meta(ge=1, le=100_000)] = 1000


class ListChanges(Struct, forbid_unknown_fields=True):
    """Changes of the list, each of `nodes` nodes: they begin to drain, then new ones replace them."""

    per_s: NotNegative = 1.0
    nodes: Annotated[int, Meta(ge=1, le=1000)] = 1


class ScheduledFault(Struct, forbid_unknown_fields=True):
    """A fault that begins at `at_s` after the first change and lasts for `for_s`.

    Faults of processes, which `whom` names (`hollow-0`, `real-0`, `discovery`): `kill` (the process starts
    again after `for_s`, or never if that is 0), `pause` (SIGSTOP, then SIGCONT) and `restart` (SIGTERM; the
    process starts again once it has ended).

    Faults of links, whose two regions `between` names: `cut`, `delay` (by `extra_ms` more) and `loss` (of
    `share` of the pieces, each of which arrives a retransmission later). `way` sets the direction: `there`
    leads from the first region of `between` to the second.
    """

    kind: ProcessFaultKind | LinkFaultKind
    at_s: NotNegative
    for_s: NotNegative = 0.0
    whom: list[str] = []
    between: Regions | None = None
    way: Literal["both", "there", "back"] = "both"
    extra_ms: NotNegative = 0.0
    share: Share = 0.0


class ScaleScenario(Struct, forbid_unknown_fields=True):
    """A whole scenario; a file's tables are its fields.

    The first change comes `warm_s` after the start of all processes. Changes, load and faults last for
    `run_s`, and the run then waits at most `settle_s` until the last change is active everywhere. A proxy
    polls for its list when that is `ask_within_s` old. `region_delay_ms` is the one-way delay between any two
    regions.
    """

    about: str = ""
    seed: int = 1
    warm_s: NotNegative = 2.0
    run_s: Annotated[float, Meta(gt=0.0, le=3600.0)] = 10.0
    settle_s: NotNegative = 30.0
    ask_within_s: Annotated[float, Meta(ge=0.5, le=600.0)] = 10.0
    regions: list[RegionZones] = field(default_factory=lambda: [RegionZones("east")])
    region_delay_ms: NotNegative = 0.0
    links: list[LinkDelay] = []
    hollow: HollowProxies = field(default_factory=HollowProxies)
    real: RealProxies = field(default_factory=RealProxies)
    nodes: CacheNodeSet = field(default_factory=CacheNodeSet)
    discovery: DiscoveryLimits = field(default_factory=DiscoveryLimits)
    changes: ListChanges = field(default_factory=ListChanges)
    faults: list[ScheduledFault] = []

    @property
    def discovery_region(self) -> str:
        """The region where discovery is."""
        return self.discovery.region or self.regions[0].name

    @property
    def proxies(self) -> int:
        """The number of all proxies, hollow and real."""
        return self.hollow.count + self.real.count

    @property
    def hollow_processes(self) -> int:
        """The number of processes that the hollow proxies need."""
        return -(-self.hollow.count // self.hollow.per_process)


def shipped() -> list[str]:
    """Returns the names of the scenarios that come with the package."""
    return sorted(path.stem for path in SCENARIO_FOLDER.glob("*.toml"))


def load(name: str) -> ScaleScenario:
    """Returns the scenario of a file, or the shipped one of that name. Raises `ScaleScenarioError`."""
    path = Path(name)
    if not path.exists() and (SCENARIO_FOLDER / f"{name}.toml").exists():
        path = SCENARIO_FOLDER / f"{name}.toml"
    try:
        scenario = msgspec.toml.decode(path.read_bytes(), type=ScaleScenario)
    except OSError as error:
        raise ScaleScenarioError(name, f"{error.strerror}; shipped are {', '.join(shipped())}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ScaleScenarioError(path.name, str(error)) from None
    check(scenario, path.name)
    return scenario


def check(scenario: ScaleScenario, where: str) -> None:
    """Raises `ScaleScenarioError` for the first field that contradicts another; `where` names the file."""
    names = [region.name for region in scenario.regions]
    if not names:
        raise ScaleScenarioError(f"{where}: regions", "at least one is needed")
    for place, name in enumerate(names):
        if name in names[:place]:
            raise ScaleScenarioError(f"{where}: regions[{place}].name", f"{name!r} stands there twice")
    if scenario.discovery.region and scenario.discovery.region not in names:
        raise ScaleScenarioError(f"{where}: discovery.region", f"{scenario.discovery.region!r} is no region")
    if not scenario.proxies:
        raise ScaleScenarioError(f"{where}: hollow.count", "with real.count 0 there is no proxy")
    for place, link in enumerate(scenario.links):
        _check_pair(link.between, names, f"{where}: links[{place}].between")
    if scenario.changes.nodes > scenario.nodes.count:
        raise ScaleScenarioError(
            f"{where}: changes.nodes", f"must not be over nodes.count ({scenario.nodes.count})"
        )
    for place, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, names, f"{where}: faults[{place}]")


def _check_pair(pair: tuple[str, str], names: list[str], where: str) -> None:
    for name in pair:
        if name not in names:
            raise ScaleScenarioError(where, f"{name!r} is no region")
    if pair[0] == pair[1]:
        raise ScaleScenarioError(where, "must be two regions")


def _check_fault(scenario: ScaleScenario, fault: ScheduledFault, regions: list[str], where: str) -> None:
    if fault.at_s + fault.for_s > scenario.run_s:
        raise ScaleScenarioError(f"{where}.at_s", f"with for_s it must end within run_s ({scenario.run_s:g})")
    if fault.kind in LINK_FAULTS:
        _check_link_fault(scenario, fault, regions, where)
        return
    if fault.between is not None:
        raise ScaleScenarioError(f"{where}.between", "is for links alone")
    if not fault.whom:
        raise ScaleScenarioError(f"{where}.whom", "must name a process")
    allowed = process_names(scenario)
    for name in fault.whom:
        if name not in allowed:
            text = f"{name!r} is not there; allowed: {', '.join(allowed)}"
            raise ScaleScenarioError(f"{where}.whom", text[: MAX_MESSAGE - len(f"{where}.whom: ")])
    if fault.kind == "pause" and not fault.for_s:
        raise ScaleScenarioError(f"{where}.for_s", "must be over 0")


def _check_link_fault(scenario: ScaleScenario, fault: ScheduledFault, regions: list[str], where: str) -> None:
    if fault.whom:
        raise ScaleScenarioError(f"{where}.whom", "is for processes alone")
    if fault.between is None:
        raise ScaleScenarioError(f"{where}.between", "must name two regions")
    _check_pair(fault.between, regions, f"{where}.between")
    if scenario.discovery_region not in fault.between:
        raise ScaleScenarioError(
            f"{where}.between", f"nothing runs there; one must be {scenario.discovery_region!r}"
        )
    if not fault.for_s:
        raise ScaleScenarioError(f"{where}.for_s", "must be over 0")
    if fault.kind == "delay" and not fault.extra_ms:
        raise ScaleScenarioError(f"{where}.extra_ms", "must be over 0")
    if fault.kind == "loss" and not fault.share:
        raise ScaleScenarioError(f"{where}.share", "must be over 0")


def process_names(scenario: ScaleScenario) -> list[str]:
    """Returns the names of the processes that a fault may name."""
    hollow = [f"hollow-{number}" for number in range(scenario.hollow_processes)]
    real = [f"real-{number}" for number in range(scenario.real.count)]
    return ["discovery", *hollow, *real]


def delays_ms(scenario: ScaleScenario) -> dict[frozenset[str], float]:
    """Returns the one-way delay between each two regions."""
    names = [region.name for region in scenario.regions]
    delays = {frozenset(pair): scenario.region_delay_ms for pair in combinations(names, 2)}
    delays |= {frozenset(link.between): link.delay_ms for link in scenario.links}
    return delays
