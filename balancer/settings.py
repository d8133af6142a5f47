"""The one reading of the settings object into `api.Settings`, for the adapter and the proxy alike.

Unknown settings are skipped, absent ones get the interface's default, and what is malformed is named.
"""

import math
from collections.abc import Iterable
from typing import Any

import msgspec

from balancer import api

EFFECT = {
    "retryable": api.Idempotency.SAFE,
    "dedup": api.Idempotency.KEYED,
    "fragile": api.Idempotency.UNSAFE,
}
MODES = ("on_request", "pushed")
LEAST_START = 0.01  # where a server may start with nothing at all: the decisions divide by its part

# What a rule hangs on has to be told to a proxy in service: a figure put in the place of a missing one would
# be some other site's. The simulator's adapter takes less, as its page shows it.
NEEDED = {
    "": ("membership-mode", "granularity", "peers-total"),
    "guarantees": ("drain-grace", "cold", "start-capacity"),
    "limits": ("send-cap", "connect-timeout", "idle-close"),
}
NEEDED_OF_CLASS = ("name", "effect", "objective", "deadline")


class SettingsError(ValueError):
    """The settings object is not what its page says; the text names the field."""


def _part(raw: dict[str, Any], name: str, kind: type, where: str = "") -> Any:
    """A nested object or list; absent and null read as empty."""
    value = raw.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        word = "an object" if kind is dict else "a list"
        raise SettingsError(f"{where}{name}: must be {word}")
    return value


def _value(raw: dict[str, Any], name: str, kind: type, where: str = "", default: Any = None) -> Any:
    """A plain value; with no default it has to be there."""
    value = raw.get(name)
    if value is None:
        if default is None:
            raise SettingsError(f"{where}{name}: is missing")
        return default
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        word = {float: "a number", int: "a whole number", str: "a text", bool: "true or false"}[kind]
        raise SettingsError(f"{where}{name}: must be {word}") from None


def _number(
    raw: dict[str, Any], name: str, where: str = "", default: float | None = None, over: bool = False
) -> float:
    """One that is not negative; `over`: nor 0."""
    value = _value(raw, name, float, where, default)
    if not 0.0 <= value < math.inf or (over and not value):
        raise SettingsError(f"{where}{name}: must {'be over 0' if over else 'not be negative'}")
    return value


def _flag(raw: dict[str, Any], name: str, where: str = "") -> bool:
    return _value(raw, name, bool, where, False)


def _word(raw: dict[str, Any], name: str, words: Iterable[str], where: str = "", default: str = "") -> str:
    word = _value(raw, name, str, where, default or None)
    if word not in words:
        raise SettingsError(f"{where}{name}: unknown value {word[:60]!r}")
    return word


def _names(raw: dict[str, Any], name: str) -> tuple[str, ...]:
    items = _part(raw, name, list)
    if not all(isinstance(item, str) for item in items):
        raise SettingsError(f"{name}: must hold texts")
    return tuple(items)


def read_class(raw: dict[str, Any], where: str = "classes.") -> api.RequestClass:
    return api.RequestClass(
        aim_ms=_number(raw, "objective", where, over=True),
        deadline_ms=_number(raw, "deadline", where, over=True),
        # Not the laxest of them where it is missing: a request that may not run twice would.
        effect=EFFECT[_word(raw, "effect", EFFECT, where)],
        group=api.Group(_word(raw, "group", [known.value for known in api.Group], where, "all")),
        window_ms=_number(raw, "window", where, 0.0),
        worth=_number(raw, "importance", where, 1.0),
        late_worth=_number(raw, "late-value", where, 0.0),
        stream=_flag(raw, "stream", where),
        in_turn=_flag(raw, "in-turn", where),
        name=_value(raw, "name", str, where, ""),
    )


def read_tenant(raw: dict[str, Any]) -> api.Tenant:
    return api.Tenant(_number(raw, "quota-per-s", "tenants.", 0.0), _value(raw, "name", str, "tenants.", ""))


def _objects(raw: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = _part(raw, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise SettingsError(f"{name}: must hold objects")
    return items


def check_whole(raw: Any) -> None:
    """Raises `SettingsError` for the first that a proxy in service needs and has not been told."""
    if not isinstance(raw, dict):
        raise SettingsError("settings: must be an object")
    if not (classes := _objects(raw, "classes")):
        raise SettingsError("classes: at least one is needed")
    for where, names in NEEDED.items():
        part = _part(raw, where, dict) if where else raw
        for name in names:
            if part.get(name) is None:
                raise SettingsError(f"{where}{'.' * bool(where)}{name}: is missing")
    if raw["membership-mode"] != "pushed" and not _part(raw, "guarantees", dict).get("ask-within"):
        raise SettingsError("guarantees.ask-within: is missing")
    for item in classes:
        window = ("window",) * (item.get("effect") == "dedup")
        for name in NEEDED_OF_CLASS + window:
            if item.get(name) in (None, ""):
                raise SettingsError(f"classes.{name}: is missing")
    for part in ("classes", "tenants"):
        names = [item.get("name") for item in _objects(raw, part)]
        twice = [name for place, name in enumerate(names) if name in names[:place]]
        if twice:
            raise SettingsError(f"{part}.name: {str(twice[0])[:60]!r} stands there twice")


def read_settings(raw: Any) -> api.Settings:
    """Translates the settings object, as nested JSON has been decoded."""
    if not isinstance(raw, dict):
        raise SettingsError("settings: must be an object")
    limits, rules = _part(raw, "limits", dict), _part(raw, "guarantees", dict)
    specifics, prices = _part(raw, "specifics", dict), _part(raw, "prices", dict)
    aside = specifics.get("mode") == "aside"
    zones, machine_types = _names(raw, "zones"), _names(raw, "machine-types")
    zone = _value(raw, "zone", int, default=0)
    if not 0 <= zone < max(1, len(zones)):
        raise SettingsError("zone: must be the place of one of zones")
    origin_kind = _value(specifics, "origin-kind", int, "specifics.", -1) if aside else -1
    if not -1 <= origin_kind < len(machine_types):
        raise SettingsError("specifics.origin-kind: must be the place of one of machine-types")

    def limit(name: str, default: float, over: bool = False) -> float:
        return _number(limits, name, "limits.", default, over)

    def rule(name: str, default: float = 0.0) -> float:
        return _number(rules, name, "guarantees.", default)

    def count(part: dict[str, Any], name: str, default: int, where: str = "", least: int = 1) -> int:
        value = _value(part, name, int, where, default)
        if value < least:
            raise SettingsError(f"{where}{name}: must be at least {least}")
        return value

    start_capacity = rule("start-capacity", 1.0)
    if start_capacity > 1.0:
        raise SettingsError("guarantees.start-capacity: must be at most 1")
    if "classes" not in raw:
        raise SettingsError("classes: is missing")
    if not (classes := tuple(read_class(item) for item in _objects(raw, "classes"))):
        raise SettingsError("classes: at least one is needed")
    return api.Settings(
        classes=classes,
        tenants=tuple(read_tenant(item) for item in _objects(raw, "tenants")),
        zones=zones,
        machine_types=machine_types,
        peers_total=count(raw, "peers-total", 1),
        origin_kind=origin_kind,
        zone=zone,
        cross_price=_number(prices, "cross-zone", "prices.", 0.0),
        sizes_fixed=raw.get("weights") == "nominal",
        list_pushed=_word(raw, "membership-mode", MODES, default="on_request") == "pushed",
        over_share_worth=_number(raw, "over-share-worth", default=1.0),
        max_attempts=count(limits, "send-cap", 3, "limits."),
        may_cancel=_flag(limits, "cancel", "limits."),
        may_probe=_flag(limits, "probing", "limits."),
        may_copy=_flag(limits, "second-copies", "limits.") and _flag(limits, "cancel", "limits."),
        max_retry_after_ms=limit("max-retry-after", 0.0) if _flag(limits, "retry-after", "limits.") else 0.0,
        granularity_ms=_number(raw, "granularity", default=1.0),
        start_capacity=max(LEAST_START, start_capacity),
        warm_up_ms=rule("cold"),
        ask_within_ms=rule("ask-within") or 10_000.0,  # where lists are pushed there may be none
        resend_window_ms=rule("look-back"),
        free_resends=rule("free-resends"),
        resend_share=rule("repeat-ratio"),
        idle_close_ms=limit("idle-close", 15_000.0, over=True),
        connect_timeout_ms=limit("connect-timeout", 1000.0, over=True),
        attempts_per_connection=max(1, count(limits, "streams-per-conn", 1, "limits.", least=0)),
        max_open=count(limits, "max-open", 0, "limits.", least=0),
        hang_up_within_ms=rule("hang-up-within"),
        drain_grace_ms=rule("drain-grace", 1000.0),
        settle_ms=rule("settle-after-doubt"),
    )
