"""The world of a scale run, as its TOML file describes it. No I/O but reading the file.

Times are seconds unless a name ends in `_ms`. A file with an unknown field, or with a value out of its
range, is refused with the field's path (`WorldError`).
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

ProcessFaultKind = Literal["kill", "pause", "restart"]
LinkFaultKind = Literal["cut", "delay", "loss"]
LINK_FAULTS = ("cut", "delay", "loss")

WORLDS = Path(__file__).parent / "worlds"


class WorldError(Exception):
    """The world can't be run; the text names the file and the field."""


class Region(Struct, forbid_unknown_fields=True):
    """A region and how many zones it has."""

    name: Name
    zones: Annotated[int, Meta(ge=1, le=100)] = 1


class Link(Struct, forbid_unknown_fields=True):
    """The delay between two regions, one way; it stands in place of `World.region_delay_ms`."""

    between: tuple[Name, Name]
    delay_ms: NotNegative


class Hollow(Struct, forbid_unknown_fields=True):
    """Proxies without clients, many to a process."""

    count: Annotated[int, Meta(ge=0, le=2000)] = 12
    per_process: Annotated[int, Meta(ge=1, le=200)] = 10
    granularity_ms: Annotated[float, Meta(ge=5.0, le=1000.0)] = 250.0  # of their timer wheels


class Real(Struct, forbid_unknown_fields=True):
    """Proxies in processes of their own, which serve requests."""

    count: Annotated[int, Meta(ge=0, le=50)] = 1
    connections: Annotated[int, Meta(ge=1, le=200)] = 4  # of clients, to each
    requests_per_s: Positive = 50.0  # to each
    sockets: Annotated[int, Meta(ge=64, le=100_000)] = 512


class Nodes(Struct, forbid_unknown_fields=True):
    """The cache nodes in discovery's list; the stand-ins that answer for them share some ports."""

    count: Annotated[int, Meta(ge=1, le=5000)] = 24
    ports: Annotated[int, Meta(ge=1, le=64)] = 4
    miss_share: Share = 0.05  # of the keys are not held: the origin is asked


class Discovery(Struct, forbid_unknown_fields=True):
    """What the stand-in can do: an answer to a watch takes its turn as that to any call does."""

    region: str = ""  # empty: the first
    calls_per_s: Positive = 1000.0
    queue: Annotated[int, Meta(ge=1, le=100_000)] = 1000  # calls that wait; one more is answered with 503


class Changes(Struct, forbid_unknown_fields=True):
    """Changes of the list: nodes are told to drain, then replaced by new ones."""

    per_s: NotNegative = 1.0
    nodes: Annotated[int, Meta(ge=1, le=1000)] = 1  # that one change is about


class Fault(Struct, forbid_unknown_fields=True):
    """What goes wrong, from `at_s` (counted from the first change on) and for `for_s`.

    Processes: `kill` (started anew after `for_s`; 0: never), `pause` (SIGSTOP, then SIGCONT), `restart`
    (SIGTERM, started anew once it has ended). Links between two regions: `cut` (in the ways of `way`),
    `delay` (by `extra_ms` more), `loss` (of `share` of the pieces, each of which comes a retransmission
    later).
    """

    kind: ProcessFaultKind | LinkFaultKind
    at_s: NotNegative
    for_s: NotNegative = 0.0
    whom: list[str] = []  # processes: hollow-0, real-0, discovery
    between: tuple[str, str] | None = None  # regions
    way: Literal["both", "there", "back"] = "both"  # there: from the first of `between` to the second
    extra_ms: NotNegative = 0.0
    share: Share = 0.0


class World(Struct, forbid_unknown_fields=True):
    about: str = ""
    seed: int = 1
    warm_s: NotNegative = 2.0  # between the start of all and the first change
    run_s: Annotated[float, Meta(gt=0.0, le=3600.0)] = 10.0  # changes, load and faults
    settle_s: NotNegative = 30.0  # at most, until the last change is in force everywhere
    ask_within_s: Annotated[float, Meta(ge=0.5, le=600.0)] = 10.0  # age at which a list is asked for anew
    regions: list[Region] = field(default_factory=lambda: [Region("east")])
    region_delay_ms: NotNegative = 0.0  # between any two regions, one way
    links: list[Link] = []
    hollow: Hollow = field(default_factory=Hollow)
    real: Real = field(default_factory=Real)
    nodes: Nodes = field(default_factory=Nodes)
    discovery: Discovery = field(default_factory=Discovery)
    changes: Changes = field(default_factory=Changes)
    faults: list[Fault] = []

    @property
    def discovery_region(self) -> str:
        """The region where discovery is."""
        return self.discovery.region or self.regions[0].name

    @property
    def proxies(self) -> int:
        """All proxies, hollow and real."""
        return self.hollow.count + self.real.count

    @property
    def hollow_processes(self) -> int:
        """How many processes the hollow proxies take."""
        return -(-self.hollow.count // self.hollow.per_process)


def shipped() -> list[str]:
    """The names of the worlds that are shipped."""
    return sorted(path.stem for path in WORLDS.glob("*.toml"))


def load(name: str) -> World:
    """Reads a file by its path, or a shipped world by its name. Raises `WorldError`."""
    path = Path(name)
    if not path.exists() and (WORLDS / f"{name}.toml").exists():
        path = WORLDS / f"{name}.toml"
    try:
        world = msgspec.toml.decode(path.read_bytes(), type=World)
    except OSError as error:
        raise WorldError(f"{name}: {error.strerror}; shipped are {', '.join(shipped())}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WorldError(f"{path.name}: {error}".replace("\n", " ")) from None
    check(world, path.name)
    return world


def check(world: World, where: str) -> None:
    """Raises `WorldError` for the first field that does not fit the others."""
    names = [region.name for region in world.regions]
    if not names:
        raise WorldError(f"{where}: regions: at least one is needed")
    for place, name in enumerate(names):
        if name in names[:place]:
            raise WorldError(f"{where}: regions[{place}].name: {name!r} stands there twice")
    if world.discovery.region and world.discovery.region not in names:
        raise WorldError(f"{where}: discovery.region: {world.discovery.region!r} is no region")
    if not world.proxies:
        raise WorldError(f"{where}: hollow.count: with real.count 0 there is no proxy")
    for place, link in enumerate(world.links):
        _check_pair(link.between, names, f"{where}: links[{place}].between")
    if world.changes.nodes > world.nodes.count:
        raise WorldError(f"{where}: changes.nodes: must not be over nodes.count ({world.nodes.count})")
    for place, fault in enumerate(world.faults):
        _check_fault(world, fault, names, f"{where}: faults[{place}]")


def _check_pair(pair: tuple[str, str], names: list[str], where: str) -> None:
    for name in pair:
        if name not in names:
            raise WorldError(f"{where}: {name!r} is no region")
    if pair[0] == pair[1]:
        raise WorldError(f"{where}: must be two regions")


def _check_fault(world: World, fault: Fault, regions: list[str], where: str) -> None:
    if fault.at_s + fault.for_s > world.run_s:
        raise WorldError(f"{where}.at_s: with for_s it must end within run_s ({world.run_s:g})")
    if fault.kind in LINK_FAULTS:
        _check_link_fault(world, fault, regions, where)
        return
    if fault.between is not None:
        raise WorldError(f"{where}.between: is for links alone")
    if not fault.whom:
        raise WorldError(f"{where}.whom: must name a process")
    allowed = process_names(world)
    for name in fault.whom:
        if name not in allowed:
            raise WorldError(f"{where}.whom: {name!r} is not there; allowed: {', '.join(allowed)}"[:300])
    if fault.kind == "pause" and not fault.for_s:
        raise WorldError(f"{where}.for_s: must be over 0")


def _check_link_fault(world: World, fault: Fault, regions: list[str], where: str) -> None:
    if fault.whom:
        raise WorldError(f"{where}.whom: is for processes alone")
    if fault.between is None:
        raise WorldError(f"{where}.between: must name two regions")
    _check_pair(fault.between, regions, f"{where}.between")
    if world.discovery_region not in fault.between:
        raise WorldError(f"{where}.between: nothing runs there; one must be {world.discovery_region!r}")
    if not fault.for_s:
        raise WorldError(f"{where}.for_s: must be over 0")
    if fault.kind == "delay" and not fault.extra_ms:
        raise WorldError(f"{where}.extra_ms: must be over 0")
    if fault.kind == "loss" and not fault.share:
        raise WorldError(f"{where}.share: must be over 0")


def process_names(world: World) -> list[str]:
    """Those that a fault may be about."""
    hollow = [f"hollow-{number}" for number in range(world.hollow_processes)]
    real = [f"real-{number}" for number in range(world.real.count)]
    return ["discovery", *hollow, *real]


def delays_ms(world: World) -> dict[frozenset[str], float]:
    """The delay one way between each two regions."""
    names = [region.name for region in world.regions]
    delays = {frozenset(pair): world.region_delay_ms for pair in combinations(names, 2)}
    delays |= {frozenset(link.between): link.delay_ms for link in world.links}
    return delays
