"""A control node's file, in TOML: who it is, the control nodes of its log, and where its state lasts."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cloverwell.membership.endpoint_list import EndpointListError, split_address

Address = tuple[str, int]

MIN_NODES = 1
DEFAULT_LOG = "fleet"


class NodeFileError(Exception):
    """The file can't be used; the text names the field."""


class NodeEntry(msgspec.Struct, forbid_unknown_fields=True):
    """One control node, as each other and each proxy reaches it."""

    name: str = ""
    address: str = ""
    region: str = ""


class NodeFile(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written."""

    name: str = ""
    log: str = DEFAULT_LOG
    listen: str = ""
    data: str = ""
    nodes: list[NodeEntry] = []


class NodeSettings(msgspec.Struct, frozen=True):
    """What a control node is told. `nodes`: name and address of all of them, this one's too."""

    name: str
    log: str
    listen: Address
    data: Path
    nodes: dict[str, Address]
    regions: dict[str, str]

    @property
    def others(self) -> dict[str, Address]:
        """All nodes but this one."""
        return {name: address for name, address in self.nodes.items() if name != self.name}


def read_node_file(path: Path) -> NodeSettings:
    """Raises `NodeFileError`. A relative `data` is taken from the file's own folder."""
    try:
        raw = msgspec.toml.decode(path.read_bytes(), type=NodeFile)
    except OSError as error:
        raise NodeFileError(f"FILE: {error.strerror}: {path}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise NodeFileError(f"FILE: {error}") from None
    for field in ("name", "log", "data"):
        if not getattr(raw, field):
            raise NodeFileError(f"{field}: is missing")
    nodes, regions = _nodes(raw.nodes)
    if raw.name not in nodes:
        raise NodeFileError(f"name: {raw.name[:60]!r} is none of nodes")
    listen = _address("listen", raw.listen) if raw.listen else nodes[raw.name]
    return NodeSettings(raw.name, raw.log, listen, path.parent / raw.data, nodes, regions)


def _nodes(entries: list[NodeEntry]) -> tuple[dict[str, Address], dict[str, str]]:
    if len(entries) < MIN_NODES:
        raise NodeFileError("nodes: is missing")
    nodes: dict[str, Address] = {}
    for entry in entries:
        if not entry.name:
            raise NodeFileError("nodes.name: is missing")
        if entry.name in nodes:
            raise NodeFileError(f"nodes.name: {entry.name[:60]!r} stands there twice")
        address = _address("nodes.address", entry.address)
        if address in nodes.values():
            raise NodeFileError(f"nodes.address: {entry.address[:60]!r} stands there twice")
        nodes[entry.name] = address
    return nodes, {entry.name: entry.region for entry in entries}


def _address(field: str, text: str) -> Address:
    if not text:
        raise NodeFileError(f"{field}: is missing")
    try:
        return split_address(text)
    except EndpointListError as error:
        raise NodeFileError(f"{field}: {error}") from None
