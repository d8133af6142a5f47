"""The configuration file of a control node, in TOML, and the settings that are read from it."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cloverwell.control.net.address import Address
from cloverwell.control.server.errors import NodeFileError
from cloverwell.membership.endpoint_list import EndpointListError, split_address

DEFAULT_LOG = "fleet"
WHOLE_FILE = "FILE"  # stands for the field in an error if no single field is at fault
MAX_QUOTED_CHARS = 60  # the most characters of a value that an error text quotes
REQUIRED_FIELDS = ("name", "log", "data")


class NodeEntry(msgspec.Struct, forbid_unknown_fields=True):
    """The name, region and address of a control node, which others connect to."""

    name: str = ""
    address: str = ""
    region: str = ""


class NodeFile(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file, before it is checked."""

    name: str = ""
    log: str = DEFAULT_LOG
    listen: str = ""
    data: str = ""
    nodes: list[NodeEntry] = []


class NodeSettings(msgspec.Struct, frozen=True):
    """The settings of one control node.

    `nodes` maps the names of all control nodes, including this one, to their addresses; `regions` maps them
    to their regions. `data` is the folder of this node's storage.
    """

    name: str
    log: str
    listen: Address
    data: Path
    nodes: dict[str, Address]
    regions: dict[str, str]

    @property
    def others(self) -> dict[str, Address]:
        """The addresses of all nodes except this one, by name."""
        return {name: address for name, address in self.nodes.items() if name != self.name}


def read_node_file(path: Path) -> NodeSettings:
    """Reads a control node's file. Raises `NodeFileError`.

    A relative `data` path starts at the file's own folder. Without `listen`, the node listens on its own
    address in `nodes`.
    """
    file = _decode(path)
    for field in REQUIRED_FIELDS:
        if not getattr(file, field):
            raise NodeFileError(field, "is missing")
    nodes = _read_nodes(file.nodes)
    if file.name not in nodes:
        raise NodeFileError("name", f"{file.name[:MAX_QUOTED_CHARS]!r} is not one of the nodes")
    listen = _read_address("listen", file.listen) if file.listen else nodes[file.name]
    regions = {entry.name: entry.region for entry in file.nodes}
    return NodeSettings(file.name, file.log, listen, path.parent / file.data, nodes, regions)


def _decode(path: Path) -> NodeFile:
    try:
        return msgspec.toml.decode(path.read_bytes(), type=NodeFile)
    except OSError as error:
        raise NodeFileError(WHOLE_FILE, f"{error.strerror}: {path}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise NodeFileError(WHOLE_FILE, str(error)) from None


def _read_nodes(entries: list[NodeEntry]) -> dict[str, Address]:
    """Returns the addresses by name. Raises `NodeFileError` for names or addresses that are not unique."""
    if not entries:
        raise NodeFileError("nodes", "is missing")
    nodes: dict[str, Address] = {}
    for entry in entries:
        if not entry.name:
            raise NodeFileError("nodes.name", "is missing")
        if entry.name in nodes:
            raise NodeFileError("nodes.name", f"{entry.name[:MAX_QUOTED_CHARS]!r} is used twice")
        address = _read_address("nodes.address", entry.address)
        if address in nodes.values():
            raise NodeFileError("nodes.address", f"{entry.address[:MAX_QUOTED_CHARS]!r} is used twice")
        nodes[entry.name] = address
    return nodes


def _read_address(field: str, text: str) -> Address:
    if not text:
        raise NodeFileError(field, "is missing")
    try:
        return split_address(text)
    except EndpointListError as error:
        raise NodeFileError(field, str(error)) from None
