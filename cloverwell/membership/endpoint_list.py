"""The endpoint list: its wire form, shared by discovery, the configuration file and the handover."""

from __future__ import annotations

import msgspec

from balancer.api import ServerState

MAX_LIST_BYTES = 4 * 1024 * 1024
"""Largest encoded list in bytes. It leaves room for a thousand endpoints with long names, indented."""

STATE_BY_PHASE = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
"""The state that the balancer uses for each phase of an endpoint."""

MAX_QUOTED_CHARS = 60  # the longest quotation of a value in an error message
MAX_PORT = 65535


class EndpointListError(ValueError):
    """The base class of errors that make an endpoint list unusable."""


class AddressError(EndpointListError):
    """An address is not of the form `host:port`."""

    def __init__(self, address: str) -> None:
        """Keep the malformed `address`."""
        super().__init__(f"not an address: {address[:MAX_QUOTED_CHARS]!r}")
        self.address = address


class UnknownPhaseError(EndpointListError):
    """An endpoint is in a phase that is not one of `STATE_BY_PHASE`."""

    def __init__(self, phase: str) -> None:
        """Keep the unknown `phase`."""
        super().__init__(f"unknown phase {phase[:MAX_QUOTED_CHARS]!r}")
        self.phase = phase


class Endpoint(msgspec.Struct):
    """One cache node or origin. The field names are those on the wire.

    `flavor` is the machine type, `locality` the zone, `size` the weight relative to other nodes.
    `up_since_ms` is the last start as Unix time in milliseconds, 0 if it was long ago.
    """

    id: str
    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "in_service"
    size: float = 1.0
    up_since_ms: float = 0.0


class EndpointList(msgspec.Struct):
    """A list of endpoints at a revision, as discovery returns it and as `known` in the configuration has it.

    A list that is not `complete` has only the endpoints that changed since the revision that was asked for.
    """

    revision: int
    complete: bool
    members: list[Endpoint]


def split_address(text: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises:
        AddressError: there is no host, or the port is not a decimal number from 1 to 65535.

    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not _is_port(port):
        raise AddressError(text)
    return host, int(port)


def _is_port(text: str) -> bool:
    # `isdigit` alone accepts digits of other scripts and superscripts, which `int` may reject.
    return text.isascii() and text.isdigit() and 0 < int(text) <= MAX_PORT
