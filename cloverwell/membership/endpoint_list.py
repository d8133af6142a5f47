"""What discovery answers, as the configuration and the handover have it too: a list of servers."""

from __future__ import annotations

import msgspec

from balancer.api import ServerState

PHASES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}


class Endpoint(msgspec.Struct):
    id: str
    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "in_service"
    size: float = 1.0
    up_since_ms: float = 0.0


class EndpointList(msgspec.Struct):
    """What discovery answers, and the form of `known` in the configuration."""

    revision: int
    complete: bool
    members: list[Endpoint]


class EndpointListError(ValueError):
    """A listing that can't be used."""


def split_address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise EndpointListError(f"not an address: {text[:60]!r}")
    return host, int(port)
