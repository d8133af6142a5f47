"""The one reading of the settings object into `api.Settings`, for the adapter and the proxy alike.

Unknown settings are skipped, absent ones get the interface's default, and what is malformed is named.
"""

from typing import Any

import msgspec

from olivestair import api

EFFECT = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}


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


def _names(raw: dict[str, Any], name: str) -> tuple[str, ...]:
    return tuple(str(item) for item in _part(raw, name, list))


def read_class(raw: dict[str, Any], where: str = "classes.") -> api.RequestClass:
    word = _value(raw, "effect", str, where, "retryable")
    if word not in EFFECT:
        raise SettingsError(f"{where}effect: unknown value {word!r}")
    group = raw.get("group") or "all"
    if group not in [known.value for known in api.Group]:
        raise SettingsError(f"{where}group: unknown value {group!r}")
    return api.RequestClass(
        aim_ms=_value(raw, "objective", float, where),
        deadline_ms=_value(raw, "deadline", float, where),
        effect=EFFECT[word],
        group=api.Group(group),
        window_ms=_value(raw, "window", float, where, 0.0),
        worth=_value(raw, "importance", float, where, 1.0),
        late_worth=_value(raw, "late-value", float, where, 0.0),
        stream=bool(raw.get("stream")),
        in_turn=bool(raw.get("in-turn")),
        name=_value(raw, "name", str, where, ""),
    )


def read_tenant(raw: dict[str, Any]) -> api.Tenant:
    return api.Tenant(
        _value(raw, "quota-per-s", float, "tenants.", 0.0), _value(raw, "name", str, "tenants.", "")
    )


def read_settings(raw: Any) -> api.Settings:
    """Translates the settings object, as nested JSON has been decoded."""
    if not isinstance(raw, dict):
        raise SettingsError("settings: must be an object")
    limits, rules = _part(raw, "limits", dict), _part(raw, "guarantees", dict)
    specifics, prices = _part(raw, "specifics", dict), _part(raw, "prices", dict)
    aside = specifics.get("mode") == "aside"

    def limit(name: str, default: float) -> float:
        return _value(limits, name, float, "limits.", default)

    def rule(name: str, default: float = 0.0) -> float:
        return _value(rules, name, float, "guarantees.", default)

    def objects(name: str) -> list[dict[str, Any]]:
        items = _part(raw, name, list)
        if not all(isinstance(item, dict) for item in items):
            raise SettingsError(f"{name}: must hold objects")
        return items

    if "classes" not in raw:
        raise SettingsError("classes: is missing")
    return api.Settings(
        classes=tuple(read_class(item) for item in objects("classes")),
        tenants=tuple(read_tenant(item) for item in objects("tenants")),
        zones=_names(raw, "zones"),
        machine_types=_names(raw, "machine-types"),
        peers_total=_value(raw, "peers-total", int, default=1),
        origin_kind=_value(specifics, "origin-kind", int, "specifics.", -1) if aside else -1,
        zone=_value(raw, "zone", int, default=0),
        cross_price=_value(prices, "cross-zone", float, "prices.", 0.0),
        sizes_fixed=raw.get("weights") == "nominal",
        list_pushed=raw.get("membership-mode") == "pushed",
        over_share_worth=_value(raw, "over-share-worth", float, default=1.0),
        max_attempts=_value(limits, "send-cap", int, "limits.", 3),
        may_cancel=bool(limits.get("cancel")),
        may_probe=bool(limits.get("probing")),
        may_copy=bool(limits.get("second-copies")) and bool(limits.get("cancel")),
        max_retry_after_ms=limit("max-retry-after", 0.0) if limits.get("retry-after") else 0.0,
        granularity_ms=_value(raw, "granularity", float, default=1.0),
        start_capacity=rule("start-capacity") or 1.0,
        warm_up_ms=rule("cold"),
        ask_within_ms=rule("ask-within") or 10_000.0,
        resend_window_ms=rule("look-back"),
        free_resends=rule("free-resends"),
        resend_share=rule("repeat-ratio"),
        idle_close_ms=limit("idle-close", 0.0) or 15_000.0,
        connect_timeout_ms=limit("connect-timeout", 0.0) or 1000.0,
        legs_per_connection=max(1, _value(limits, "streams-per-conn", int, "limits.", 1)),
        max_open=_value(limits, "max-open", int, "limits.", 0),
        hang_up_within_ms=rule("hang-up-within"),
        drain_grace_ms=rule("drain-grace") or 1000.0,
        settle_ms=rule("settle-after-doubt"),
    )
