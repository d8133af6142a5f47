"""Finds what a configuration committed to the control log changes in a running proxy. No I/O.

The payload of an entry is a configuration file for the whole fleet. What it does not name, such as a proxy's
own `listen`, is taken from that proxy's file, and the merged document is read like any other. It may differ
from the active configuration only in discovery's address and in the number of proxies. For any other
difference the proxy refuses the whole document: that difference would take effect only at the next start, and
a document applied in part is worse than the one before it.
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

DIGEST_HEX_DIGITS = 16
# The fields of `Config` that a document may change. Of the settings it may change only FLEET_SIZE_PATH, which
# `read_change` checks by itself.
CHANGEABLE_FIELDS = frozenset({"discovery", "settings", "document"})
FLEET_SIZE_PATH = ("peers-total",)

SettingPath = tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """What a committed configuration changes in a running proxy.

    `discovery` is the host and port of the discovery service, `peers_total` the number of proxies.
    """

    discovery: tuple[str, int]
    peers_total: int


def document_digest(document: bytes) -> str:
    """Returns a short hexadecimal digest of a document."""
    return hashlib.sha256(document).hexdigest()[:DIGEST_HEX_DIGITS]


def check_document(document: bytes) -> None:
    """Checks a payload as far as that is possible without a proxy's own file. Raises ConfigError."""
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


def with_discovery(document: bytes, discovery: tuple[str, int]) -> bytes:
    """Returns a proxy's own file with another address of discovery: the one that is in force now."""
    host, port = discovery
    return msgspec.json.encode(_read_object(document) | {"discovery": f"{host}:{port}"})


def read_change(own_document: bytes, document: bytes, environ: Mapping[str, str]) -> ConfigurationChange:
    """Returns what a committed document changes at a proxy.

    `own_document` is the proxy's own file as it is in force now, `environ` its environment. Raises
    ConfigError, which names the first field that can't be read or can't be changed at run time.
    """
    started_config = parse_config(own_document, environ, reloading=True)
    merged_document = _merge_documents(own_document, document)
    merged_config = parse_config(merged_document, environ, reloading=True)
    for field in Config.__struct_fields__:
        if field not in CHANGEABLE_FIELDS and getattr(merged_config, field) != getattr(started_config, field):
            raise _unchangeable(field)
    with_started_size = replace(merged_config.settings, peers_total=started_config.settings.peers_total)
    if with_started_size != started_config.settings:
        raise _unchangeable(_first_changed_setting(started_config, merged_document))
    return ConfigurationChange(merged_config.discovery, merged_config.settings.peers_total)


def _unchangeable(field: str) -> ConfigError:
    return ConfigError(field, "can't be changed at run time")


def _merge_documents(own_document: bytes, document: bytes) -> bytes:
    """Returns the proxy's own file with the fields that the document names replaced."""
    return msgspec.json.encode(msgspec.json.decode(own_document) | _read_object(document))


def _read_object(document: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError("configuration", str(error)) from None
    if not isinstance(fields, dict):
        raise ConfigError("configuration", "must be an object")
    return fields


def _first_changed_setting(started_config: Config, merged_document: bytes) -> str:
    """Returns the dotted name of the first setting whose change alone makes the settings differ."""
    before = msgspec.json.decode(started_config.document)["settings"]
    after = msgspec.json.decode(merged_document)["settings"]
    for path, value in _changed_values(before, after):
        if path != FLEET_SIZE_PATH and _changes_settings(started_config, before, path, value):
            return ".".join(("settings", *path))
    return "settings"


def _changes_settings(
    started_config: Config, before: dict[str, Any], path: SettingPath, value: object
) -> bool:
    """Returns whether changing one value makes the settings differ; an unreadable one does."""
    try:
        return read_settings(_with_value(before, path, value)) != started_config.settings
    except SettingsError:
        return True


def _changed_values(
    before: dict[str, Any], after: dict[str, Any], path: SettingPath = ()
) -> Iterator[tuple[SettingPath, Any]]:
    """Yields the paths whose values differ, in the order of their names, each with the value in `after`."""
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _changed_values(old, new, (*path, name))
        elif old != new:
            yield (*path, name), new


def _with_value(settings: dict[str, Any], path: SettingPath, value: object) -> dict[str, Any]:
    """Returns a copy of the settings with the value at a path replaced."""
    name, *remaining_path = path
    if not remaining_path:
        return settings | {name: value}
    nested = settings.get(name) or {}
    return settings | {name: _with_value(nested, tuple(remaining_path), value)}
