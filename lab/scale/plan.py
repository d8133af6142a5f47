"""Which proxy is where, what each is told, and what a run will take of the machine. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cloverwell.membership.endpoint_list import Endpoint
from lab.proxy_testbed import SETTINGS
from lab.scale.world import World, WorldError

MEMORY_SHARE = 0.5  # of the machine's, that a run may take
MOST_PROCESSES = 300
# What processes were measured to take (docs/measurements/scale.md), rounded up.
# In MB, but for the two by node.
PROCESS_MB = 48.0
HOLLOW_MB = 0.6
HOLLOW_NODE_MB = 0.018
REAL_MB = 64.0
LIST_COPY_MB = 0.004  # a node in the lists that the parent, discovery and the hollow processes hold
HELPERS = 5  # the parent, discovery, the stand-in nodes, the load, the relay

# Hollow proxies share a loop: a connect that came up must not fail because neighbours have their turn.
HOLLOW_CONNECT_TIMEOUT_MS = 2000.0

ORIGIN = "origin"
CACHE_NODE = "large"


@dataclass(frozen=True, slots=True)
class ProxyPlace:
    """A proxy's name and place; `seed` is its own, drawn from the world's."""

    name: str
    region: str
    zone: str
    seed: int


def zones(world: World) -> list[tuple[str, str]]:
    """Each zone as (region, zone)."""
    return [
        (region.name, f"{region.name}-{number}") for region in world.regions for number in range(region.zones)
    ]


def place_proxies(world: World, kind: str, count: int) -> list[ProxyPlace]:
    """Spreads so many proxies over the zones, in turn."""
    spread = zones(world)
    places = []
    for number in range(count):
        region, zone = spread[number % len(spread)]
        places.append(ProxyPlace(f"{kind}-proxy-{number}", region, zone, 1000 * world.seed + number))
    return places


def hollow_groups(world: World) -> list[list[ProxyPlace]]:
    """The hollow proxies of each process."""
    places = place_proxies(world, "hollow", world.hollow.count)
    size = world.hollow.per_process
    return [places[start : start + size] for start in range(0, len(places), size)]


def settings(world: World, place: ProxyPlace, granularity_ms: float) -> dict[str, Any]:
    """The settings object that the proxy is told."""
    names = [zone for _, zone in zones(world)]
    guarantees = SETTINGS["guarantees"] | {"ask-within": 1000.0 * world.ask_within_s}
    return SETTINGS | {
        "zones": names,
        "zone": names.index(place.zone),
        "peers-total": world.proxies,
        "granularity": granularity_ms,
        "guarantees": guarantees,
    }


def hollow_settings(world: World, place: ProxyPlace) -> dict[str, Any]:
    """The same for a hollow proxy, which shares its loop."""
    told = settings(world, place, world.hollow.granularity_ms)
    limits = told["limits"] | {"connect-timeout": HOLLOW_CONNECT_TIMEOUT_MS}
    return told | {"limits": limits}


def first_members(world: World, ports: list[int], origin_port: int) -> list[Endpoint]:
    """Discovery's first list: the cache nodes spread over zones and ports, then the origin."""
    spread = zones(world)
    members = [
        Endpoint(
            id=f"node-{number}",
            host_port=f"127.0.0.1:{ports[number % len(ports)]}",
            locality=spread[number % len(spread)][1],
            flavor=CACHE_NODE,
        )
        for number in range(world.nodes.count)
    ]
    return [*members, Endpoint(ORIGIN, f"127.0.0.1:{origin_port}", spread[0][1], ORIGIN)]


def process_count(world: World) -> int:
    """The processes of a run, with its parent; one hollow process more stands empty, as the yardstick."""
    return HELPERS + world.hollow_processes + 1 + world.real.count


def memory_mb(world: World) -> float:
    """An estimate of what all processes together will take, from above."""
    each_hollow = HOLLOW_MB + HOLLOW_NODE_MB * world.nodes.count
    ours = process_count(world) - world.real.count
    lists = LIST_COPY_MB * world.nodes.count * (ours + world.real.count)
    return ours * PROCESS_MB + world.hollow.count * each_hollow + world.real.count * REAL_MB + lists


def check_fits(world: World, machine_mb: float, where: str) -> None:
    """Raises `WorldError` where the run would take too much of the machine."""
    count = process_count(world)
    if count > MOST_PROCESSES:
        raise WorldError(f"{where}: hollow.per_process: {count} processes, at most {MOST_PROCESSES} are run")
    needed, allowed = memory_mb(world), MEMORY_SHARE * machine_mb
    if needed > allowed:
        text = f"about {needed:.0f} MB would be taken, over half of the machine's ({allowed:.0f} MB)"
        raise WorldError(f"{where}: hollow.count: {text}")
