"""Checks of a scenario's faults that reach over several fields."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

from lab.fault import MOST_REPEATS, ON_NODES, ON_PROXIES, SYSTEM_CALLS, Fault
from lab.scenario_error import ScenarioError

MUST_BE_POSITIVE = "must be over 0"


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """The names that faults may give, and the length of the scenario."""

    nodes: frozenset[str]
    proxies: frozenset[str]
    zones: frozenset[str]
    seconds: float

    def allowed(self, kind: str) -> Set[str]:
        """The names that a fault of this kind may give."""
        if kind == "clock_step":
            return self.nodes | self.proxies
        if kind in ON_NODES:
            return self.nodes
        if kind in ON_PROXIES:
            return self.proxies
        return self.zones if kind == "zone_lost" else frozenset()


def check_fault(fault: Fault, targets: FaultTargets, where: str) -> None:
    """Raises `ScenarioError` for the first field that is wrong; `where`: the fault's place in its file."""
    _check_names(fault, targets, where)
    _check_share(fault, where)
    if fault.kind in SYSTEM_CALLS:
        _check_system_call(fault, where)
    _check_times(fault, targets.seconds, where)


def _check_names(fault: Fault, targets: FaultTargets, where: str) -> None:
    allowed = targets.allowed(fault.kind)
    for name in fault.whom:
        if name not in allowed:
            some = f"node-0 to node-{len(allowed) - 1}" if allowed is targets.nodes else "see its kind"
            raise ScenarioError(f"{where}.whom", f"{name!r} is not there; allowed: {some}")


def _check_share(fault: Fault, where: str) -> None:
    names_targets = fault.kind in ON_NODES or fault.kind in ON_PROXIES
    if names_targets and not (fault.whom or fault.part):
        raise ScenarioError(f"{where}.part", f"{MUST_BE_POSITIVE}, or whom must name somebody")
    if fault.kind == "clients_leave" and not fault.part:
        raise ScenarioError(f"{where}.part", MUST_BE_POSITIVE)


def _check_system_call(fault: Fault, where: str) -> None:
    if not fault.for_s and fault.kind != "connections_break":
        raise ScenarioError(f"{where}.for_s", MUST_BE_POSITIVE)
    if not fault.rate:
        raise ScenarioError(f"{where}.rate", MUST_BE_POSITIVE)
    allowed = SYSTEM_CALLS[fault.kind]
    for name in fault.errors:
        if name not in allowed:
            why = f"{name} is none of {fault.kind}; allowed: {', '.join(allowed)}"
            raise ScenarioError(f"{where}.errors", why)


def _check_times(fault: Fault, seconds: float, where: str) -> None:
    if fault.by_s == 0.0:
        raise ScenarioError(f"{where}.by_s", "must not be 0")
    if fault.every_s and fault.for_s / fault.every_s > MOST_REPEATS:
        raise ScenarioError(f"{where}.every_s", f"more than {MOST_REPEATS} repeats in for_s")
    if fault.kind == "origin_slow" and not fault.size:
        raise ScenarioError(f"{where}.size", MUST_BE_POSITIVE)
    if fault.at_s >= seconds:
        raise ScenarioError(f"{where}.at_s", f"must be under seconds ({seconds:g})")
