"""How a configuration committed to the control log changes a running proxy. No I/O.

The payload of an entry is a configuration file for the whole fleet. What it does not name, such as a proxy's
own `listen`, is taken from that proxy's file, and the merged document is read like any other. It may differ
from the active configuration in discovery's address and in the number of proxies alone. Any other difference
refuses the whole document, since it would count from the next start on, and half a version is worse than the
one before.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from balancer.settings import SettingsError, check_required_settings, read_settings
from cloverwell.config import Config, ConfigError, ConfigFile, parse_config
from cloverwell.membership.endpoint_list import EndpointListError, split_address

DIGEST_DIGITS = 16
# Fields of `Config` that may differ; of the settings only FLEET_SIZE may, which is checked apart.
CHANGEABLE_FIELDS = frozenset({"discovery", "settings", "document"})
FLEET_SIZE = ("peers-total",)

SettingPath = tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """What a committed configuration changes in a running proxy.

    `discovery` is the host and port of the discovery service, `peers_total` the number of proxies.
    """

    discovery: tuple[str, int]
    peers_total: int


def document_digest(document: bytes) -> str:
    """Returns a short name of a document, the same on each machine."""
    return hashlib.sha256(document).hexdigest()[:DIGEST_DIGITS]


def check_document(document: bytes) -> None:
    """Checks what can be known of a payload without a proxy's own file. Raises ConfigError."""
    fields = _read_object(document)
    try:
        file = msgspec.convert(fields, ConfigFile)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error)) from None
    if file.discovery:
        _check_address("discovery", file.discovery)
    if "settings" in fields:
        _check_settings(file.settings)


def _check_address(field: str, text: str) -> None:
    try:
        split_address(text)
    except EndpointListError as error:
        raise ConfigError(field, str(error)) from None


def _check_settings(settings: dict[str, Any] | None) -> None:
    if settings is None:
        raise ConfigError("settings", "is missing")
    try:
        check_required_settings(settings)
        read_settings(settings)
    except ValueError as error:
        raise ConfigError("settings", str(error)) from None


def read_change(own: bytes, document: bytes, environ: Mapping[str, str]) -> ConfigurationChange:
    """Returns what a committed document changes at a proxy.

    `own` is the file with which the proxy has started, `environ` its environment. Raises ConfigError, which
    names the first field that can't be read or can't be changed at run time.
    """
    started = parse_config(own, environ, reloading=True)
    merged = _merge(own, document)
    config = parse_config(merged, environ, reloading=True)
    for field in Config.__struct_fields__:
        if field not in CHANGEABLE_FIELDS and getattr(config, field) != getattr(started, field):
            raise _unchangeable(field)
    with_started_size = replace(config.settings, peers_total=started.settings.peers_total)
    if with_started_size != started.settings:
        raise _unchangeable(_first_changed_setting(started, merged))
    return ConfigurationChange(config.discovery, config.settings.peers_total)


def _unchangeable(field: str) -> ConfigError:
    return ConfigError(field, "can't be changed at run time")


def _merge(own: bytes, document: bytes) -> bytes:
    """Returns the proxy's own file with the fields that the document names replaced."""
    return msgspec.json.encode(msgspec.json.decode(own) | _read_object(document))


def _read_object(document: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError("configuration", str(error)) from None
    if not isinstance(fields, dict):
        raise ConfigError("configuration", "must be an object")
    return fields


def _first_changed_setting(started: Config, merged: bytes) -> str:
    """Returns the first setting, as the file names it, whose change alone makes another configuration."""
    before = msgspec.json.decode(started.document)["settings"]
    after = msgspec.json.decode(merged)["settings"]
    for path, value in _differences(before, after):
        if path != FLEET_SIZE and _changes_settings(started, before, path, value):
            return ".".join(("settings", *path))
    return "settings"


def _changes_settings(started: Config, before: dict[str, Any], path: SettingPath, value: object) -> bool:
    """Returns whether one value alone makes other settings; one that can't be read alone does."""
    try:
        return read_settings(_with_value(before, path, value)) != started.settings
    except SettingsError:
        return True


def _differences(
    before: dict[str, Any], after: dict[str, Any], path: SettingPath = ()
) -> Iterator[tuple[SettingPath, Any]]:
    """Yields the paths whose values differ, in the order of their names, with the value after."""
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _differences(old, new, (*path, name))
        elif old != new:
            yield (*path, name), new


def _with_value(settings: dict[str, Any], path: SettingPath, value: object) -> dict[str, Any]:
    """Returns a copy of the settings with the value at a path replaced."""
    name, *rest = path
    if not rest:
        return settings | {name: value}
    nested = settings.get(name) or {}
    return settings | {name: _with_value(nested, tuple(rest), value)}
