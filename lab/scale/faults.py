"""The state of a link under the scheduled faults that are active at an instant. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from lab.scale.messages import DirectionState, SetLink
from lab.scale.scenario import Regions, ScheduledFault


def far_region(fault: ScheduledFault, discovery_region: str) -> str:
    """Returns the region of a link's fault that discovery is not in."""
    first, second = _regions(fault)
    return second if first == discovery_region else first


def link_state(region: str, discovery_region: str, active: Iterable[ScheduledFault]) -> SetLink:
    """Returns the state of a region's link to discovery under all active faults."""
    there = DirectionState()
    back = DirectionState()
    for fault in active:
        if far_region(fault, discovery_region) != region:
            continue
        if _affects(fault, region, "there"):
            there = _add_fault(there, fault)
        if _affects(fault, region, "back"):
            back = _add_fault(back, fault)
    return SetLink(region, there, back)


def _regions(fault: ScheduledFault) -> Regions:
    if fault.between is None:
        raise ValueError(f"a fault of kind {fault.kind} is not a link's")
    return fault.between


def _affects(fault: ScheduledFault, region: str, direction: str) -> bool:
    if fault.way == "both":
        return True
    # A fault's `there` leads from its first region to its second, a link's from the proxies to discovery.
    leads_from_proxies = (_regions(fault)[0] == region) == (fault.way == "there")
    return leads_from_proxies == (direction == "there")


def _add_fault(state: DirectionState, fault: ScheduledFault) -> DirectionState:
    match fault.kind:
        case "cut":
            return DirectionState(True, state.extra_ms, state.loss)
        case "delay":
            return DirectionState(state.cut, state.extra_ms + fault.extra_ms, state.loss)
        case _:
            return DirectionState(state.cut, state.extra_ms, 1.0 - (1.0 - state.loss) * (1.0 - fault.share))
