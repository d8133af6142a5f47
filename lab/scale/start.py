"""The addresses of a run, and the first message or configuration file of each of its processes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import msgspec

from cloverwell.membership.endpoint_list import EndpointList
from lab.processes import free_port
from lab.scale import messages, plan
from lab.scale.plan import ProxyPlace
from lab.scale.scenario import World, delays_ms

HOST = "127.0.0.1"
FIRST_REVISION = 1
REAL_GRANULARITY_MS = 5.0
MEMORY_MB = 192.0
EMPTY = "hollow-empty"  # the process that others are compared with


@dataclass(frozen=True, slots=True)
class Addresses:
    """Ports of one run, all on loopback; `relay` has one for each region but discovery's."""

    discovery: int
    nodes: list[int]
    origin: int
    relay: dict[str, int]
    real: list[int]

    @classmethod
    def free(cls, world: World) -> Addresses:
        """Ports that nobody has."""
        far = [region.name for region in world.regions if region.name != world.discovery_region]
        return cls(
            discovery=free_port(),
            nodes=[free_port() for _ in range(min(world.nodes.ports, world.nodes.count))],
            origin=free_port(),
            relay={region: free_port() for region in far},
            real=[free_port() for _ in range(world.real.count)],
        )

    def discovery_from(self, region: str) -> tuple[str, int]:
        """Where a proxy of that region reaches discovery."""
        return HOST, self.relay.get(region, self.discovery)


def first_listing(world: World, addresses: Addresses) -> EndpointList:
    """The list that all begin with."""
    members = plan.first_members(world, addresses.nodes, addresses.origin)
    return EndpointList(FIRST_REVISION, True, members)


def discovery(world: World, addresses: Addresses, known: EndpointList) -> messages.StartDiscovery:
    """Discovery's, with the list that it begins (again) with."""
    settings = world.discovery
    return messages.StartDiscovery(
        addresses.discovery, settings.calls_per_s, settings.queue, world.seed, world.changes, known
    )


def relay(world: World, addresses: Addresses) -> messages.StartRelay:
    """The relay's, with a link for each region that is not discovery's."""
    delays, near = delays_ms(world), world.discovery_region
    target = (HOST, addresses.discovery)
    links = [
        messages.RelayLink(region, port, target, delays[frozenset((region, near))])
        for region, port in addresses.relay.items()
    ]
    return messages.StartRelay(world.seed, links)


def nodes(world: World, addresses: Addresses) -> messages.StartNodes:
    """The stand-in cache nodes' and the origin's."""
    return messages.StartNodes(addresses.nodes, addresses.origin, world.nodes.miss_share)


def load(world: World, addresses: Addresses) -> messages.StartLoad:
    """That of the real proxies' clients."""
    proxies = [(HOST, port) for port in addresses.real]
    return messages.StartLoad(world.seed, proxies, world.real.connections, world.real.requests_per_s)


def hollow(
    world: World,
    name: str,
    incarnation: int,
    group: list[ProxyPlace],
    addresses: Addresses,
    known: EndpointList,
) -> messages.StartHollow:
    """A process of hollow proxies."""
    specs = [
        messages.HollowSpec(
            place.name,
            place.seed,
            addresses.discovery_from(place.region),
            plan.hollow_settings(world, place),
        )
        for place in group
    ]
    return messages.StartHollow(name, incarnation, specs, known)


def write_real(
    world: World, folder: Path, number: int, place: ProxyPlace, addresses: Addresses, known: EndpointList
) -> Path:
    """The configuration file of a real proxy."""
    host, port = addresses.discovery_from(place.region)
    config = {
        "name": place.name,
        "seed": f"{place.seed:x}",
        "listen": f"{HOST}:{addresses.real[number]}",
        "discovery": f"{host}:{port}",
        "limits": {"sockets": world.real.sockets, "memory_mb": MEMORY_MB},
        "settings": plan.settings(world, place, REAL_GRANULARITY_MS),
        "known": msgspec.to_builtins(known),
    }
    path = folder / f"real-{number}.json"
    path.write_text(json.dumps(config))
    return path
