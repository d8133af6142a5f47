"""What a committed configuration changes in a running proxy. No I/O.

An entry of the control log is a configuration file for the whole fleet: what it does not name, such as a
proxy's own `listen`, is taken from that proxy's file. The whole is read by the reader of files. It may differ
from what is in force in discovery's address and in the number of proxies alone; any other difference refuses
it, since it would count from the next start on, and half a version is worse than the one before.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from balancer.settings import SettingsError, check_whole, read_settings
from cloverwell.config import Config, ConfigError, File, parse_config
from cloverwell.membership.endpoint_list import EndpointListError, split_address

DIGEST_DIGITS = 16
CHANGEABLE = frozenset({"discovery", "settings", "document"})  # `settings` is looked into
FLEET_SIZE = ("peers-total",)

Path = tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """What a version of the configuration brings, read whole."""

    discovery: tuple[str, int]
    peers_total: int


def digest(document: bytes) -> str:
    """Short name of a document, the same on each machine."""
    return hashlib.sha256(document).hexdigest()[:DIGEST_DIGITS]


def check_document(document: bytes) -> None:
    """What can be told of an entry without a proxy's own file. Raises `ConfigError`."""
    named = _read_object(document)
    try:
        file = msgspec.convert(named, File)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error)) from None
    if file.discovery:
        _check_address("discovery", file.discovery)
    if "settings" in named:
        if file.settings is None:
            raise ConfigError("settings: is missing")
        try:
            check_whole(file.settings)
            read_settings(file.settings)
        except ValueError as error:
            raise ConfigError(f"settings: {error}") from None


def _check_address(field: str, text: str) -> None:
    try:
        split_address(text)
    except EndpointListError as error:
        raise ConfigError(f"{field}: {error}") from None


def read_change(own: bytes, document: bytes, environ: Mapping[str, str]) -> ConfigurationChange:
    """`own`: the file this proxy started with. Raises `ConfigError`, which names the field."""
    started = parse_config(own, environ, again=True)
    merged = _merge(own, document)
    config = parse_config(merged, environ, again=True)
    for field in Config.__struct_fields__:
        if field not in CHANGEABLE and getattr(config, field) != getattr(started, field):
            raise _unchangeable(field)
    same_size = replace(config.settings, peers_total=started.settings.peers_total)
    if same_size != started.settings:
        raise _unchangeable(_changed_setting(started, merged))
    return ConfigurationChange(config.discovery, config.settings.peers_total)


def _unchangeable(field: str) -> ConfigError:
    return ConfigError(f"{field}: can't be changed at run time")


def _merge(own: bytes, document: bytes) -> bytes:
    """The proxy's own file, with each field that the document names in its place."""
    return msgspec.json.encode(msgspec.json.decode(own) | _read_object(document))


def _read_object(document: bytes) -> dict[str, Any]:
    try:
        named = msgspec.json.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"configuration: {error}") from None
    if not isinstance(named, dict):
        raise ConfigError("configuration: must be an object")
    return named


def _changed_setting(started: Config, merged: bytes) -> str:
    """The first setting, as the file names it, whose change alone would be another configuration."""
    before = msgspec.json.decode(started.document)["settings"]
    after = msgspec.json.decode(merged)["settings"]
    for path, value in _differences(before, after):
        if path == FLEET_SIZE:
            continue
        try:
            differs = read_settings(_with(before, path, value)) != started.settings
        except SettingsError:
            differs = True
        if differs:
            return ".".join(("settings", *path))
    return "settings"


def _differences(
    before: dict[str, Any], after: dict[str, Any], path: Path = ()
) -> Iterator[tuple[Path, Any]]:
    """The paths whose values differ, in the order of their names, with the value after."""
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _differences(old, new, (*path, name))
        elif old != new:
            yield (*path, name), new


def _with(settings: dict[str, Any], path: Path, value: Any) -> dict[str, Any]:
    """A copy with that value there."""
    name, *rest = path
    inner = _with(settings.get(name) or {}, tuple(rest), value) if rest else value
    return settings | {name: inner}
