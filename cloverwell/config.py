"""What a proxy is told: the configuration file, and the variables that stand before it at the start."""

import math
import os
from collections.abc import Mapping
from typing import Any

import msgspec

from balancer.api import Settings
from balancer.settings import check_whole, read_settings
from cloverwell.membership.endpoint_list import PHASES, EndpointList, EndpointListError, split_address

FD_MIN = 64
MAX_CONTROL_WAIT_MS = 8000.0  # nine in ten restarts are ready within 10 s, whatever is down


class ConfigError(Exception):
    """The text names the field."""


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class ControlNode(msgspec.Struct):
    """One node of the control log, as the file names it."""

    name: str = ""
    address: str = ""
    region: str = ""


class ControlSection(msgspec.Struct):
    """The file's `control`: the nodes, this proxy's region, and how long a start waits to be caught up."""

    log: str = "fleet"
    nodes: list[ControlNode] = msgspec.field(default_factory=list)
    region: str = ""
    wait_ms: float = 5000.0


class File(msgspec.Struct):
    listen: str = ""
    discovery: str = ""
    operator: str = ""
    name: str = ""
    seed: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: EndpointList = msgspec.field(default_factory=lambda: EndpointList(0, True, []))
    settings: Any = None
    control: ControlSection | None = None


class Control(msgspec.Struct):
    """Which control nodes a proxy may follow: those of its own region, and the others, by name."""

    log: str
    home: dict[str, tuple[str, int]]
    elsewhere: dict[str, tuple[str, int]]
    region: str
    wait_ms: float

    @property
    def nodes(self) -> dict[str, tuple[str, int]]:
        """All of them."""
        return self.home | self.elsewhere


class Config(msgspec.Struct):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    known: EndpointList
    settings: Settings
    operator: tuple[str, int] | None = None  # where operators call; None: nowhere
    control: Control | None = None  # None: the proxy follows no control log
    document: bytes = b""  # the file's text, where a control log may change it


def read_config(environ: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """`again`: the file has been replaced, and its address of discovery is newer than the variable's."""
    path = environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: is not set")
    try:
        with open(path, "rb") as file:
            return parse_config(file.read(), environ, again)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {error.strerror}: {path}") from None


def parse_config(document: bytes, environ: Mapping[str, str], again: bool = False) -> Config:
    """The text of a configuration file, and what stands before it. Raises `ConfigError`."""
    try:
        raw = msgspec.json.decode(document, type=File)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from None
    if raw.settings is None:
        raise ConfigError("settings: is missing")
    if raw.limits.sockets < FD_MIN:
        raise ConfigError(f"limits.sockets: must be at least {FD_MIN}")
    for name in ("cores", "memory_mb"):
        if not 0.0 < getattr(raw.limits, name) < math.inf:
            raise ConfigError(f"limits.{name}: must be over 0")
    try:
        check_whole(raw.settings)
        settings = read_settings(raw.settings)
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    told = environ.get("EDGE_DISCOVERY") or raw.discovery
    listen = _address("listen", environ.get("EDGE_LISTEN") or raw.listen)
    calls = environ.get("EDGE_OPERATOR") or raw.operator
    operator = _address("operator", calls) if calls else None
    if operator == listen:
        raise ConfigError("operator: is the address of listen")
    return Config(
        name=environ.get("EDGE_NAME") or raw.name,
        listen=listen,
        discovery=_address("discovery", raw.discovery if again and raw.discovery else told),
        seed=_seed(raw.seed),
        limits=raw.limits,
        known=_known(raw.known),
        settings=settings,
        operator=operator,
        control=None if raw.control is None else _control(raw.control, environ.get("EDGE_NAME") or raw.name),
        document=b"" if raw.control is None else document,
    )


def _address(field: str, text: str) -> tuple[str, int]:
    if not text:
        raise ConfigError(f"{field}: is missing")
    try:
        return split_address(text)
    except EndpointListError as error:
        raise ConfigError(f"{field}: {error}") from None


def _control(section: ControlSection, proxy: str) -> Control:
    if not proxy:
        raise ConfigError("name: is missing, and the control log knows a proxy by it")
    if not section.log:
        raise ConfigError("control.log: is missing")
    if not section.nodes:
        raise ConfigError("control.nodes: is missing")
    if not 0.0 <= section.wait_ms <= MAX_CONTROL_WAIT_MS:
        raise ConfigError(f"control.wait_ms: must be from 0 to {MAX_CONTROL_WAIT_MS:g}")
    control = Control(section.log, {}, {}, section.region, section.wait_ms)
    for node in section.nodes:
        address = _address("control.nodes.address", node.address)
        if not node.name:
            raise ConfigError("control.nodes.name: is missing")
        if node.name in control.nodes:
            raise ConfigError(f"control.nodes.name: {node.name[:60]!r} stands there twice")
        if address in control.nodes.values():
            raise ConfigError(f"control.nodes.address: {node.address} stands there twice")
        group = control.home if node.region == section.region else control.elsewhere
        group[node.name] = address
    return control


def _seed(text: str) -> int:
    try:
        return int(text or "0", 16)
    except ValueError:
        raise ConfigError("seed: must be a hexadecimal number") from None


def _known(listing: EndpointList) -> EndpointList:
    for member in listing.members:
        _address("known.members.host_port", member.host_port)
        if member.phase not in PHASES:
            raise ConfigError(f"known.members.phase: unknown phase {member.phase[:60]!r}")
    return listing
