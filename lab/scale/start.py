"""The addresses of a run, and the first message or the configuration file of each of its processes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import msgspec

from cloverwell.membership.endpoint_list import EndpointList
from lab.processes import free_port
from lab.scale import messages, plan
from lab.scale.plan import ProxyPlace
from lab.scale.scenario import ScaleScenario, delays_ms

HOST = "127.0.0.1"
FIRST_REVISION = 1
REAL_GRANULARITY_MS = 5.0
MEMORY_MB = 192.0
EMPTY_PROCESS = "hollow-empty"  # without proxies; the cost of the others is the difference to it


@dataclass(frozen=True, slots=True)
class Addresses:
    """The ports of a run, all on loopback; `relay` has one for each region but discovery's."""

    discovery: int
    nodes: list[int]
    origin: int
    relay: dict[str, int]
    real: list[int]

    @classmethod
    def free(cls, scenario: ScaleScenario) -> Addresses:
        """Returns addresses of free ports."""
        far = [region.name for region in scenario.regions if region.name != scenario.discovery_region]
        return cls(
            discovery=free_port(),
            nodes=[free_port() for _ in range(min(scenario.nodes.ports, scenario.nodes.count))],
            origin=free_port(),
            relay={region: free_port() for region in far},
            real=[free_port() for _ in range(scenario.real.count)],
        )

    def discovery_from(self, region: str) -> tuple[str, int]:
        """Returns the host and port at which a proxy of that region reaches discovery."""
        return HOST, self.relay.get(region, self.discovery)


def first_listing(scenario: ScaleScenario, addresses: Addresses) -> EndpointList:
    """Returns the list that discovery and all proxies begin with."""
    members = plan.first_members(scenario, addresses.nodes, addresses.origin)
    return EndpointList(FIRST_REVISION, True, members)


def discovery_message(
    scenario: ScaleScenario, addresses: Addresses, known: EndpointList
) -> messages.StartDiscovery:
    """Returns discovery's first message; `known` is the list that it begins with, also after a restart."""
    settings = scenario.discovery
    return messages.StartDiscovery(
        addresses.discovery, settings.calls_per_s, settings.queue, scenario.seed, scenario.changes, known
    )


def relay_message(scenario: ScaleScenario, addresses: Addresses) -> messages.StartRelay:
    """Returns the relay's first message, with a link for each region that is not discovery's."""
    delays, near = delays_ms(scenario), scenario.discovery_region
    target = (HOST, addresses.discovery)
    links = [
        messages.RelayLink(region, port, target, delays[frozenset((region, near))])
        for region, port in addresses.relay.items()
    ]
    return messages.StartRelay(scenario.seed, links)


def nodes_message(scenario: ScaleScenario, addresses: Addresses) -> messages.StartNodes:
    """Returns the first message of the stand-in cache nodes and the origin."""
    return messages.StartNodes(addresses.nodes, addresses.origin, scenario.nodes.miss_share)


def load_message(scenario: ScaleScenario, addresses: Addresses) -> messages.StartLoad:
    """Returns the first message of the real proxies' clients."""
    proxies = [(HOST, port) for port in addresses.real]
    return messages.StartLoad(scenario.seed, proxies, scenario.real.connections, scenario.real.requests_per_s)


def hollow_message(
    scenario: ScaleScenario,
    name: str,
    incarnation: int,
    group: list[ProxyPlace],
    addresses: Addresses,
    known: EndpointList,
) -> messages.StartHollow:
    """Returns the first message of a process of hollow proxies; `incarnation` counts its starts."""
    specs = [
        messages.HollowSpec(
            place.name,
            place.seed,
            addresses.discovery_from(place.region),
            plan.hollow_settings(scenario, place),
        )
        for place in group
    ]
    return messages.StartHollow(name, incarnation, specs, known)


def write_real_config(
    scenario: ScaleScenario,
    folder: Path,
    number: int,
    place: ProxyPlace,
    addresses: Addresses,
    known: EndpointList,
) -> Path:
    """Writes the configuration file of the real proxy with this number, and returns its path."""
    host, port = addresses.discovery_from(place.region)
    config = {
        "name": place.name,
        "seed": f"{place.seed:x}",
        "listen": f"{HOST}:{addresses.real[number]}",
        "discovery": f"{host}:{port}",
        "limits": {"sockets": scenario.real.sockets, "memory_mb": MEMORY_MB},
        "settings": plan.settings(scenario, place, REAL_GRANULARITY_MS),
        "known": msgspec.to_builtins(known),
    }
    path = folder / f"real-{number}.json"
    path.write_text(json.dumps(config))
    return path
