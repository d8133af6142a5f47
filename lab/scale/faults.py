"""What a world's faults do to a link at an instant. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from lab.scale.messages import LinkWay, SetLink
from lab.scale.scenario import Fault


def far_region(fault: Fault, discovery_region: str) -> str:
    """The region of a link's fault that discovery is not in."""
    first, second = fault.between
    return second if first == discovery_region else first


def link_state(region: str, discovery_region: str, active: Iterable[Fault]) -> SetLink:
    """A region's link to discovery under all faults that last now."""
    ways = {"there": LinkWay(), "back": LinkWay()}
    for fault in active:
        if far_region(fault, discovery_region) != region:
            continue
        for name in _ways(fault, region):
            ways[name] = _worse(ways[name], fault)
    return SetLink(region, **ways)


def _ways(fault: Fault, region: str) -> tuple[str, ...]:
    if fault.way == "both":
        return ("there", "back")
    # A fault's `there` goes from its first region to its second, a link's from the proxies to discovery.
    from_proxies = (fault.between[0] == region) == (fault.way == "there")
    return ("there",) if from_proxies else ("back",)


def _worse(way: LinkWay, fault: Fault) -> LinkWay:
    match fault.kind:
        case "cut":
            return LinkWay(True, way.extra_ms, way.loss)
        case "delay":
            return LinkWay(way.cut, way.extra_ms + fault.extra_ms, way.loss)
        case _:
            return LinkWay(way.cut, way.extra_ms, 1.0 - (1.0 - way.loss) * (1.0 - fault.share))
