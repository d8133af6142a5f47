"""Reads the settings object into `Settings`, for both the simulator's adapter and the proxy.

Unknown settings are skipped, absent ones get the default of `Settings`, and a malformed one raises an error
that names it.
"""

import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from balancer.settings_types import DedupScope, Idempotency, RequestClass, Settings, Tenant

Value = TypeVar("Value", str, int, float, bool)
Fields = Mapping[str, object]

IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.SAFE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.UNSAFE,
}
MEMBERSHIP_MODES = ("on_request", "pushed")
# A start capacity under this is raised to it, since the balancer divides by it.
MIN_START_CAPACITY = 0.01
# The number of characters of a malformed value that an error text shows.
MAX_SHOWN_CHARACTERS = 60
KIND_NAMES = {float: "a number", int: "an integer", str: "a string", bool: "true or false"}

# The settings without which a proxy does not start, by section: a default might be laxer than the rule that
# the site has left out. The simulator sends fewer settings, so its adapter doesn't require these.
REQUIRED = {
    "": ("membership-mode", "granularity", "peers-total"),
    "guarantees": ("drain-grace", "cold", "start-capacity"),
    "limits": ("send-cap", "connect-timeout", "idle-close"),
}
REQUIRED_IN_CLASS = ("name", "effect", "objective", "deadline")


class SettingsError(ValueError):
    """Raised for a missing or malformed setting; `name` is its path in the settings object."""

    def __init__(self, name: str, problem: str) -> None:
        """Makes the error text of the name and `problem`, such as "must be a number"."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Section:
    """One object of the nested settings, whose values are read by name and checked."""

    def __init__(self, fields: Fields, prefix: str = "") -> None:
        """Keeps the fields; `prefix` is the path of the section with a dot at its end, for error texts."""
        self.fields = fields
        self.prefix = prefix

    def error(self, name: str, problem: str) -> SettingsError:
        """Returns the error for a setting of this section."""
        return SettingsError(f"{self.prefix}{name}", problem)

    def section(self, name: str) -> "Section":
        """Returns a nested section; it is empty where the setting is absent or null."""
        value = self.fields.get(name)
        if value is None:
            value = {}
        if not isinstance(value, dict):
            raise self.error(name, "must be an object")
        return Section(value, f"{self.prefix}{name}.")

    def items(self, name: str) -> list[object]:
        """Returns a list; it is empty where the setting is absent or null."""
        value = self.fields.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self.error(name, "must be a list")
        return value

    def sections(self, name: str) -> list["Section"]:
        """Returns the objects of a list, each as a section."""
        items = self.items(name)
        sections = [Section(item, f"{self.prefix}{name}.") for item in items if isinstance(item, dict)]
        if len(sections) < len(items):
            raise self.error(name, "must be a list of objects")
        return sections

    def names(self, name: str) -> tuple[str, ...]:
        """Returns a list of strings."""
        items = self.items(name)
        names = tuple(item for item in items if isinstance(item, str))
        if len(names) < len(items):
            raise self.error(name, "must be a list of strings")
        return names

    def value(self, name: str, kind: type[Value], default: Value | None = None) -> Value:
        """Returns a value of the type `kind`; raises `SettingsError` if it is absent and has no default."""
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
        """Returns a number that is not negative; if `positive` is set, it must not be 0 either."""
        value = self.value(name, float, default)
        if not 0.0 <= value < math.inf or (positive and not value):
            raise self.error(name, "must be greater than 0" if positive else "must not be negative")
        return value

    def count(self, name: str, default: int, minimum: int = 1) -> int:
        """Returns an integer of at least `minimum`."""
        value = self.value(name, int, default)
        if value < minimum:
            raise self.error(name, f"must be at least {minimum}")
        return value

    def flag(self, name: str) -> bool:
        """Returns true or false; false if the setting is absent."""
        return self.value(name, bool, False)

    def choice(self, name: str, choices: Iterable[str], default: str | None = None) -> str:
        """Returns a string that is one of the choices."""
        value = self.value(name, str, default)
        if value not in choices:
            raise self.error(name, f"unknown value {value[:MAX_SHOWN_CHARACTERS]!r}")
        return value


def read_class(section: Section) -> RequestClass:
    """Reads one item of `classes`."""
    return RequestClass(
        latency_objective_ms=section.number("objective", positive=True),
        deadline_ms=section.number("deadline", positive=True),
        # There is no default: a lax one would let a request run twice that must run at most once.
        idempotency=IDEMPOTENCY_BY_EFFECT[section.choice("effect", IDEMPOTENCY_BY_EFFECT)],
        dedup_scope=DedupScope(section.choice("group", [scope.value for scope in DedupScope], "all")),
        dedup_window_ms=section.number("window", 0.0),
        importance=section.number("importance", 1.0),
        late_value=section.number("late-value", 0.0),
        is_stream=section.flag("stream"),
        is_ordered=section.flag("in-turn"),
        name=section.value("name", str, ""),
    )


def read_tenant(section: Section) -> Tenant:
    """Reads one item of `tenants`."""
    return Tenant(section.number("quota-per-s", 0.0), section.value("name", str, ""))


def _root_section(raw: object) -> Section:
    if not isinstance(raw, dict):
        raise SettingsError("settings", "must be an object")
    return Section(raw)


def check_required_settings(raw: object) -> None:
    """Checks that no setting is missing that a proxy requires, and that no name is used twice.

    Raises `SettingsError` for the first fault.
    """
    root = _root_section(raw)
    classes = root.sections("classes")
    if not classes:
        raise root.error("classes", "at least one is needed")
    for section_name, required in REQUIRED.items():
        section = root.section(section_name) if section_name else root
        _require(section, required, (None,))
    if root.fields["membership-mode"] != "pushed":
        _require(root.section("guarantees"), ("ask-within",), (None, 0, False, "", [], {}))
    for section in classes:
        names: tuple[str, ...] = REQUIRED_IN_CLASS
        if section.fields.get("effect") == "dedup":
            names += ("window",)
        _require(section, names, (None, ""))
    for list_name in ("classes", "tenants"):
        _check_unique_names(list_name, root.sections(list_name))


def _require(section: Section, names: Iterable[str], missing_values: tuple[object, ...]) -> None:
    """Raises `SettingsError` for the first of the names whose value is one that counts as missing."""
    for name in names:
        if section.fields.get(name) in missing_values:
            raise section.error(name, "is missing")


def _check_unique_names(list_name: str, sections: list[Section]) -> None:
    names = [section.fields.get("name") for section in sections]
    for index, name in enumerate(names):
        if name in names[:index]:
            raise SettingsError(f"{list_name}.name", f"{str(name)[:MAX_SHOWN_CHARACTERS]!r} is used twice")


def _read_start_capacity(guarantees: Section) -> float:
    start_capacity = guarantees.number("start-capacity", 1.0)
    if start_capacity > 1.0:
        raise guarantees.error("start-capacity", "must be at most 1")
    return max(MIN_START_CAPACITY, start_capacity)


def _read_zone(root: Section, zones: tuple[str, ...]) -> int:
    zone = root.value("zone", int, 0)
    if not 0 <= zone < max(1, len(zones)):
        raise root.error("zone", "must be the index of one of zones")
    return zone


def _read_origin_machine_type(specifics: Section, machine_types: tuple[str, ...]) -> int:
    is_cache_aside = specifics.fields.get("mode") == "aside"
    origin_machine_type = specifics.value("origin-kind", int, -1) if is_cache_aside else -1
    if not -1 <= origin_machine_type < len(machine_types):
        raise specifics.error("origin-kind", "must be the index of one of machine-types")
    return origin_machine_type


def _read_classes(root: Section) -> tuple[RequestClass, ...]:
    if "classes" not in root.fields:
        raise root.error("classes", "is missing")
    classes = tuple(read_class(section) for section in root.sections("classes"))
    if not classes:
        raise root.error("classes", "at least one is needed")
    return classes


def read_settings(raw: object) -> Settings:
    """Returns the settings of the decoded JSON object `raw`; raises `SettingsError` for a malformed one."""
    root = _root_section(raw)
    limits, guarantees = root.section("limits"), root.section("guarantees")
    specifics, prices = root.section("specifics"), root.section("prices")
    zones, machine_types = root.names("zones"), root.names("machine-types")
    zone = _read_zone(root, zones)
    origin_machine_type = _read_origin_machine_type(specifics, machine_types)
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
        is_list_pushed=root.choice("membership-mode", MEMBERSHIP_MODES, "on_request") == "pushed",
        over_quota_importance=root.number("over-share-worth", 1.0),
        max_attempts=limits.count("send-cap", 3),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probing"),
        may_hedge=limits.flag("second-copies") and limits.flag("cancel"),
        max_retry_after_ms=limits.number("max-retry-after", 0.0) if limits.flag("retry-after") else 0.0,
        granularity_ms=root.number("granularity", 1.0),
        start_capacity=start_capacity,
        warm_up_ms=guarantees.number("cold", 0.0),
        # Where the endpoint list is pushed, the setting may be absent or 0.
        max_poll_interval_ms=guarantees.number("ask-within", 0.0) or 10_000.0,
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
