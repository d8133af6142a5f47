"""The placement and the settings of a run's proxies, and an estimate of its memory. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple, cast

from cloverwell.membership.endpoint_list import Endpoint
from lab.proxy_testbed import SETTINGS
from lab.scale.scenario import ScaleScenario, ScaleScenarioError

MEMORY_SHARE = 0.5  # of the machine's memory, which a run may take
MAX_PROCESSES = 300
# The memory that processes were measured to take (docs/measurements/scale.md), rounded up.
PROCESS_MB = 48.0
HOLLOW_MB = 0.6
HOLLOW_MB_PER_NODE = 0.018
REAL_MB = 64.0
LIST_MB_PER_NODE = 0.004  # in each list that the parent, discovery and the hollow processes hold
HELPER_PROCESSES = 5  # the parent, discovery, the stand-in nodes, the load, the relay

# Hollow proxies share a reactor, so a connect that succeeded may have to wait until its proxy handles it.
HOLLOW_CONNECT_TIMEOUT_MS = 2000.0

ORIGIN = "origin"
CACHE_NODE = "large"


@dataclass(frozen=True, slots=True)
class ProxyPlace:
    """A proxy's name and place, and its own seed, which is derived from the scenario's."""

    name: str
    region: str
    zone: str
    seed: int


class Zone(NamedTuple):
    """A zone and the region that it is in."""

    region: str
    name: str


def zones(scenario: ScaleScenario) -> list[Zone]:
    """Returns all zones, region by region."""
    return [
        Zone(region.name, f"{region.name}-{number}")
        for region in scenario.regions
        for number in range(region.zones)
    ]


def place_proxies(scenario: ScaleScenario, kind: str, count: int) -> list[ProxyPlace]:
    """Spreads `count` proxies over the zones in turn; `kind` begins their names."""
    spread = zones(scenario)
    places = []
    for number in range(count):
        region, zone = spread[number % len(spread)]
        places.append(ProxyPlace(f"{kind}-proxy-{number}", region, zone, 1000 * scenario.seed + number))
    return places


def hollow_groups(scenario: ScaleScenario) -> list[list[ProxyPlace]]:
    """Returns the hollow proxies of each process."""
    places = place_proxies(scenario, "hollow", scenario.hollow.count)
    size = scenario.hollow.per_process
    return [places[start : start + size] for start in range(0, len(places), size)]


def settings(scenario: ScaleScenario, place: ProxyPlace, granularity_ms: float) -> dict[str, Any]:
    """Returns the settings object of a proxy; `granularity_ms` is that of its timer wheel."""
    names = [zone for _, zone in zones(scenario)]
    guarantees = _lab_settings("guarantees") | {"ask-within": 1000.0 * scenario.ask_within_s}
    return SETTINGS | {
        "zones": names,
        "zone": names.index(place.zone),
        "peers-total": scenario.proxies,
        "granularity": granularity_ms,
        "guarantees": guarantees,
    }


def hollow_settings(scenario: ScaleScenario, place: ProxyPlace) -> dict[str, Any]:
    """Returns the settings object of a hollow proxy, which shares its reactor with others."""
    shared = settings(scenario, place, scenario.hollow.granularity_ms)
    limits = shared["limits"] | {"connect-timeout": HOLLOW_CONNECT_TIMEOUT_MS}
    return shared | {"limits": limits}


def _lab_settings(section: str) -> dict[str, Any]:
    return cast("dict[str, Any]", SETTINGS[section])


def first_members(scenario: ScaleScenario, ports: list[int], origin_port: int) -> list[Endpoint]:
    """Returns discovery's first list: the cache nodes, spread over zones and ports, then the origin."""
    spread = zones(scenario)
    members = [
        Endpoint(
            id=f"node-{number}",
            host_port=f"127.0.0.1:{ports[number % len(ports)]}",
            locality=spread[number % len(spread)][1],
            flavor=CACHE_NODE,
        )
        for number in range(scenario.nodes.count)
    ]
    return [*members, Endpoint(ORIGIN, f"127.0.0.1:{origin_port}", spread[0][1], ORIGIN)]


def process_count(scenario: ScaleScenario) -> int:
    """Returns the number of a run's processes, with its parent and a process without hollow proxies."""
    return HELPER_PROCESSES + scenario.hollow_processes + 1 + scenario.real.count


def memory_mb(scenario: ScaleScenario) -> float:
    """Returns an upper estimate of the memory that all processes take together."""
    hollow_proxy_mb = HOLLOW_MB + HOLLOW_MB_PER_NODE * scenario.nodes.count
    own_processes = process_count(scenario) - scenario.real.count
    lists_mb = LIST_MB_PER_NODE * scenario.nodes.count * process_count(scenario)
    hollow_mb = own_processes * PROCESS_MB + scenario.hollow.count * hollow_proxy_mb
    return hollow_mb + scenario.real.count * REAL_MB + lists_mb


def check_fits(scenario: ScaleScenario, machine_mb: float, where: str) -> None:
    """Raises `ScaleScenarioError` if the run would take too much of the machine; `where` names the file."""
    count = process_count(scenario)
    if count > MAX_PROCESSES:
        problem = f"{count} processes, at most {MAX_PROCESSES} are run"
        raise ScaleScenarioError(f"{where}: hollow.per_process", problem)
    needed, allowed = memory_mb(scenario), MEMORY_SHARE * machine_mb
    if needed > allowed:
        problem = f"about {needed:.0f} MB would be taken, over half of the machine's ({allowed:.0f} MB)"
        raise ScaleScenarioError(f"{where}: hollow.count", problem)
