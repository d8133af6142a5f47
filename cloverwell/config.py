"""The proxy's configuration: a JSON file, and the environment variables that override fields of it.

$EDGE_CONFIG names the file; $EDGE_LISTEN, $EDGE_DISCOVERY, $EDGE_OPERATOR and $EDGE_NAME override its fields.
docs/configuration.md describes each field.
"""

import math
import os
from collections.abc import Mapping
from typing import Any

import msgspec

from balancer.api import Settings
from balancer.settings import check_required_settings, read_settings
from cloverwell.membership.endpoint_list import STATE_BY_PHASE, EndpointList, EndpointListError, split_address

MIN_SOCKETS = 64  # enough for the reserved descriptors, and for some connections to clients and nodes
# The longest time that a start may wait for the control log. Nine in ten restarted proxies must be ready
# within 10 s, whichever other processes are down.
MAX_CONTROL_WAIT_MS = 8000.0
MAX_QUOTED_CHARS = 60  # the longest quotation of a value in an error message

Address = tuple[str, int]


class ConfigError(Exception):
    """A configuration can't be used: `field` names the field, `problem` says what is wrong with it."""

    def __init__(self, field: str, problem: str = "") -> None:
        """`problem` may be empty if `field` holds an error text that names the field itself."""
        super().__init__(f"{field}: {problem}" if problem else field)
        self.field = field
        self.problem = problem


class Limits(msgspec.Struct):
    """The resources that this process may use; `sockets` is the number of file descriptors of all kinds."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class ControlNodeAddress(msgspec.Struct):
    """The name, address and region of one node of the control log."""

    name: str = ""
    address: str = ""
    region: str = ""


class ControlSection(msgspec.Struct):
    """The control log and its nodes, this proxy's region, and how long a start waits to catch up."""

    log: str = "fleet"
    nodes: list[ControlNodeAddress] = msgspec.field(default_factory=list)
    region: str = ""
    wait_ms: float = 5000.0


class ConfigFile(msgspec.Struct):
    """The configuration file, with addresses and settings as they are written, not checked yet."""

    listen: str = ""
    discovery: str = ""
    operator: str = ""
    name: str = ""
    seed: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: EndpointList = msgspec.field(default_factory=lambda: EndpointList(0, True, []))
    settings: Any = None
    control: ControlSection | None = None


class ControlConfig(msgspec.Struct):
    """The control nodes that a proxy may follow, by name; `local_nodes` are those of its own region.

    `catch_up_timeout_ms` is how long a start waits until the proxy has caught up with the control log.
    """

    log: str
    local_nodes: dict[str, Address]
    remote_nodes: dict[str, Address]
    region: str
    catch_up_timeout_ms: float

    @property
    def nodes(self) -> dict[str, Address]:
        """The control nodes of all regions."""
        return self.local_nodes | self.remote_nodes


class Config(msgspec.Struct):
    """A configuration that has been read and checked.

    `operator`: the address at which operators' calls are answered, or None; `control`: None if the proxy
    follows no control log; `document`: the file's text, kept only if a control log may change it.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    known: EndpointList
    settings: Settings
    operator: Address | None = None
    control: ControlConfig | None = None
    document: bytes = b""


def read_config(environ: Mapping[str, str] = os.environ, reloading: bool = False) -> Config:
    """Returns the configuration in the file that $EDGE_CONFIG names. Raises `ConfigError`.

    `reloading`: the file has been replaced since the start, so its address of discovery is newer than the one
    in the environment and overrides it.
    """
    path = environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG", "is not set")
    try:
        with open(path, "rb") as file:
            return parse_config(file.read(), environ, reloading)
    except OSError as error:
        raise ConfigError("EDGE_CONFIG", f"{error.strerror}: {path}") from None


def parse_config(document: bytes, environ: Mapping[str, str], reloading: bool = False) -> Config:
    """Returns the configuration in the text of a file; see `read_config`. Raises `ConfigError`."""
    file = _decode(document)
    _check_limits(file.limits)
    settings = _read_settings(file.settings)
    name = environ.get("EDGE_NAME") or file.name
    listen = read_address("listen", environ.get("EDGE_LISTEN") or file.listen)
    return Config(
        name=name,
        listen=listen,
        operator=_read_operator(environ.get("EDGE_OPERATOR") or file.operator, listen),
        discovery=_read_discovery(file.discovery, environ.get("EDGE_DISCOVERY", ""), reloading),
        seed=_read_seed(file.seed),
        limits=file.limits,
        known=_check_endpoints(file.known),
        settings=settings,
        control=None if file.control is None else _read_control(file.control, name),
        document=b"" if file.control is None else document,
    )


def read_address(field: str, text: str) -> Address:
    """Returns the address HOST:PORT that is the text of a field. Raises `ConfigError`."""
    if not text:
        raise ConfigError(field, "is missing")
    try:
        return split_address(text)
    except EndpointListError as error:
        raise ConfigError(field, str(error)) from None


def _decode(document: bytes) -> ConfigFile:
    try:
        file = msgspec.json.decode(document, type=ConfigFile)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError("EDGE_CONFIG", str(error)) from None
    if file.settings is None:
        raise ConfigError("settings", "is missing")
    return file


def _check_limits(limits: Limits) -> None:
    if limits.sockets < MIN_SOCKETS:
        raise ConfigError("limits.sockets", f"must be at least {MIN_SOCKETS}")
    for field, value in (("limits.cores", limits.cores), ("limits.memory_mb", limits.memory_mb)):
        if not 0.0 < value < math.inf:
            raise ConfigError(field, "must be greater than 0")


def _read_settings(document: object) -> Settings:
    try:
        check_required_settings(document)
        return read_settings(document)
    except ValueError as error:
        raise ConfigError("settings", str(error)) from None


def _read_operator(text: str, listen: Address) -> Address | None:
    operator = read_address("operator", text) if text else None
    if operator == listen:
        raise ConfigError("operator", "is the same address as listen")
    return operator


def _read_discovery(in_file: str, in_environment: str, reloading: bool) -> Address:
    if reloading and in_file:
        return read_address("discovery", in_file)
    return read_address("discovery", in_environment or in_file)


def _read_seed(text: str) -> int:
    try:
        return int(text or "0", 16)
    except ValueError:
        raise ConfigError("seed", "must be a hexadecimal number") from None


def _check_endpoints(known: EndpointList) -> EndpointList:
    for endpoint in known.members:
        read_address("known.members.host_port", endpoint.host_port)
        if endpoint.phase not in STATE_BY_PHASE:
            quoted = repr(endpoint.phase[:MAX_QUOTED_CHARS])
            raise ConfigError("known.members.phase", f"unknown phase {quoted}")
    return known


def _read_control(section: ControlSection, proxy_name: str) -> ControlConfig:
    """Returns the checked section; `proxy_name`: this proxy's name."""
    if not proxy_name:
        raise ConfigError("name", "is missing, but the control log identifies a proxy by it")
    if not section.log:
        raise ConfigError("control.log", "is missing")
    if not section.nodes:
        raise ConfigError("control.nodes", "is missing")
    if not 0.0 <= section.wait_ms <= MAX_CONTROL_WAIT_MS:
        raise ConfigError("control.wait_ms", f"must be from 0 to {MAX_CONTROL_WAIT_MS:g}")
    control = ControlConfig(section.log, {}, {}, section.region, section.wait_ms)
    for node in section.nodes:
        address = _read_control_node(node, control.nodes)
        group = control.local_nodes if node.region == section.region else control.remote_nodes
        group[node.name] = address
    return control


def _read_control_node(node: ControlNodeAddress, others: dict[str, Address]) -> Address:
    """Returns the node's address, after checking that no node in `others` has its name or address."""
    address = read_address("control.nodes.address", node.address)
    if not node.name:
        raise ConfigError("control.nodes.name", "is missing")
    if node.name in others:
        raise ConfigError("control.nodes.name", f"{node.name[:MAX_QUOTED_CHARS]!r} is used twice")
    if address in others.values():
        raise ConfigError("control.nodes.address", f"{node.address} is used twice")
    return address
