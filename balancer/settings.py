"""Reads the settings object into `Settings`, for the simulator's adapter and the proxy alike.

Unknown settings are skipped, absent ones get the default of `Settings`, and a malformed one is named.
"""

import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from balancer.settings_types import DedupScope, Idempotency, RequestClass, Settings, Tenant

Value = TypeVar("Value", str, int, float, bool)
Fields = Mapping[str, object]

EFFECT = {"retryable": Idempotency.SAFE, "dedup": Idempotency.KEYED, "fragile": Idempotency.UNSAFE}
MODES = ("on_request", "pushed")
# The least start capacity, where a server may start with none at all: the decisions divide by it.
MIN_START_CAPACITY = 0.01
# The longest part of a malformed value that an error shows.
SHOWN_CHARACTERS = 60
KIND_NAMES = {float: "a number", int: "a whole number", str: "a text", bool: "true or false"}

# A proxy in service needs these: a default in the place of a missing rule would be that of some other site.
# The simulator's adapter requires fewer, as its page shows it.
REQUIRED = {
    "": ("membership-mode", "granularity", "peers-total"),
    "guarantees": ("drain-grace", "cold", "start-capacity"),
    "limits": ("send-cap", "connect-timeout", "idle-close"),
}
REQUIRED_OF_CLASS = ("name", "effect", "objective", "deadline")


class SettingsError(ValueError):
    """A setting is missing or malformed; `name` is its path in the settings object."""

    def __init__(self, name: str, problem: str) -> None:
        """`problem` completes a sentence that begins with the name."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Section:
    """An object of the settings, whose values are read by name and checked."""

    def __init__(self, fields: Fields, prefix: str = "") -> None:
        """`prefix` is the path of the section, with a dot at its end."""
        self.fields = fields
        self.prefix = prefix

    def error(self, name: str, problem: str) -> SettingsError:
        """The error of a setting of this section."""
        return SettingsError(f"{self.prefix}{name}", problem)

    def section(self, name: str) -> "Section":
        """A nested section; absent and null read as empty."""
        value = self.fields.get(name)
        if value is None:
            value = {}
        if not isinstance(value, dict):
            raise self.error(name, "must be an object")
        return Section(value, f"{self.prefix}{name}.")

    def items(self, name: str) -> list[object]:
        """A list; absent and null read as empty."""
        value = self.fields.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self.error(name, "must be a list")
        return value

    def sections(self, name: str) -> list["Section"]:
        """A list of objects."""
        items = self.items(name)
        sections = [Section(item, f"{self.prefix}{name}.") for item in items if isinstance(item, dict)]
        if len(sections) < len(items):
            raise self.error(name, "must hold objects")
        return sections

    def names(self, name: str) -> tuple[str, ...]:
        """A list of texts."""
        items = self.items(name)
        names = tuple(item for item in items if isinstance(item, str))
        if len(names) < len(items):
            raise self.error(name, "must hold texts")
        return names

    def value(self, name: str, kind: type[Value], default: Value | None = None) -> Value:
        """A plain value; without a default it is required."""
        value = self.fields.get(name)
        if value is None:
            if default is None:
                raise self.error(name, "is missing")
            return default
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError:
            raise self.error(name, f"must be {KIND_NAMES[kind]}") from None

    def number(self, name: str, default: float | None = None, positive: bool = False) -> float:
        """A number that is not negative; `positive`: nor 0."""
        value = self.value(name, float, default)
        if not 0.0 <= value < math.inf or (positive and not value):
            raise self.error(name, "must be over 0" if positive else "must not be negative")
        return value

    def count(self, name: str, default: int, minimum: int = 1) -> int:
        """A whole number of at least `minimum`."""
        value = self.value(name, int, default)
        if value < minimum:
            raise self.error(name, f"must be at least {minimum}")
        return value

    def flag(self, name: str) -> bool:
        """A truth value; absent reads as false."""
        return self.value(name, bool, False)

    def word(self, name: str, words: Iterable[str], default: str | None = None) -> str:
        """One of the words."""
        word = self.value(name, str, default)
        if word not in words:
            raise self.error(name, f"unknown value {word[:SHOWN_CHARACTERS]!r}")
        return word


def read_class(section: Section) -> RequestClass:
    """Reads a class of requests."""
    return RequestClass(
        latency_objective_ms=section.number("objective", positive=True),
        deadline_ms=section.number("deadline", positive=True),
        # It has no default: the laxest one would let a request run twice that must not.
        idempotency=EFFECT[section.word("effect", EFFECT)],
        dedup_scope=DedupScope(section.word("group", [group.value for group in DedupScope], "all")),
        dedup_window_ms=section.number("window", 0.0),
        importance=section.number("importance", 1.0),
        late_value=section.number("late-value", 0.0),
        is_stream=section.flag("stream"),
        is_ordered=section.flag("in-turn"),
        name=section.value("name", str, ""),
    )


def read_tenant(section: Section) -> Tenant:
    """Reads a tenant."""
    return Tenant(section.number("quota-per-s", 0.0), section.value("name", str, ""))


def _root(raw: object) -> Section:
    if not isinstance(raw, dict):
        raise SettingsError("settings", "must be an object")
    return Section(raw)


def check_required_settings(raw: object) -> None:
    """Raises `SettingsError` for the first setting that a proxy in service requires and that is missing."""
    root = _root(raw)
    classes = root.sections("classes")
    if not classes:
        raise root.error("classes", "at least one is needed")
    for where, required in REQUIRED.items():
        section = root.section(where) if where else root
        _require(section, required, (None,))
    if root.fields["membership-mode"] != "pushed":
        _require(root.section("guarantees"), ("ask-within",), (None, 0, False, "", [], {}))
    for section in classes:
        names: tuple[str, ...] = REQUIRED_OF_CLASS
        if section.fields.get("effect") == "dedup":
            names += ("window",)
        _require(section, names, (None, ""))
    for part in ("classes", "tenants"):
        _check_unique_names(part, root.sections(part))


def _require(section: Section, names: Iterable[str], missing: tuple[object, ...]) -> None:
    for name in names:
        if section.fields.get(name) in missing:
            raise section.error(name, "is missing")


def _check_unique_names(part: str, sections: list[Section]) -> None:
    names = [section.fields.get("name") for section in sections]
    for place, name in enumerate(names):
        if name in names[:place]:
            raise SettingsError(f"{part}.name", f"{str(name)[:SHOWN_CHARACTERS]!r} stands there twice")


def _read_start_capacity(guarantees: Section) -> float:
    start_capacity = guarantees.number("start-capacity", 1.0)
    if start_capacity > 1.0:
        raise guarantees.error("start-capacity", "must be at most 1")
    return max(MIN_START_CAPACITY, start_capacity)


def _read_zone(root: Section, zones: tuple[str, ...]) -> int:
    zone = root.value("zone", int, 0)
    if not 0 <= zone < max(1, len(zones)):
        raise root.error("zone", "must be the place of one of zones")
    return zone


def _read_origin_kind(specifics: Section, machine_types: tuple[str, ...]) -> int:
    is_aside = specifics.fields.get("mode") == "aside"
    origin_machine_type = specifics.value("origin-kind", int, -1) if is_aside else -1
    if not -1 <= origin_machine_type < len(machine_types):
        raise specifics.error("origin-kind", "must be the place of one of machine-types")
    return origin_machine_type


def _read_classes(root: Section) -> tuple[RequestClass, ...]:
    if "classes" not in root.fields:
        raise root.error("classes", "is missing")
    classes = tuple(read_class(section) for section in root.sections("classes"))
    if not classes:
        raise root.error("classes", "at least one is needed")
    return classes


def read_settings(raw: object) -> Settings:
    """Translates the settings object, as nested JSON has been decoded; raises `SettingsError`."""
    root = _root(raw)
    limits, guarantees = root.section("limits"), root.section("guarantees")
    specifics, prices = root.section("specifics"), root.section("prices")
    zones, machine_types = root.names("zones"), root.names("machine-types")
    zone = _read_zone(root, zones)
    origin_machine_type = _read_origin_kind(specifics, machine_types)
    start_capacity = _read_start_capacity(guarantees)
    return Settings(
        classes=_read_classes(root),
        tenants=tuple(read_tenant(section) for section in root.sections("tenants")),
        zones=zones,
        machine_types=machine_types,
        peers_total=root.count("peers-total", 1),
        origin_machine_type=origin_machine_type,
        zone=zone,
        cross_zone_cost=prices.number("cross-zone", 0.0),
        weighted_tokens=root.fields.get("weights") == "nominal",
        is_list_pushed=root.word("membership-mode", MODES, "on_request") == "pushed",
        over_quota_importance=root.number("over-share-worth", 1.0),
        max_attempts=limits.count("send-cap", 3),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probing"),
        may_hedge=limits.flag("second-copies") and limits.flag("cancel"),
        max_retry_after_ms=limits.number("max-retry-after", 0.0) if limits.flag("retry-after") else 0.0,
        granularity_ms=root.number("granularity", 1.0),
        start_capacity=start_capacity,
        warm_up_ms=guarantees.number("cold", 0.0),
        max_poll_interval_ms=guarantees.number("ask-within", 0.0) or 10_000.0,  # pushed lists may state none
        retry_window_ms=guarantees.number("look-back", 0.0),
        free_retries=guarantees.number("free-resends", 0.0),
        retry_share=guarantees.number("repeat-ratio", 0.0),
        idle_timeout_ms=limits.number("idle-close", 15_000.0, positive=True),
        connect_timeout_ms=limits.number("connect-timeout", 1000.0, positive=True),
        attempts_per_connection=max(1, limits.count("streams-per-conn", 1, minimum=0)),
        max_open_requests=limits.count("max-open", 0, minimum=0),
        drain_close_ms=guarantees.number("hang-up-within", 0.0),
        drain_grace_ms=guarantees.number("drain-grace", 1000.0),
        in_doubt_hold_ms=guarantees.number("settle-after-doubt", 0.0),
    )
