"""How well the clients were served: the shares of their requests' weight that was answered in time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from lab.clock import START_S
from lab.scenario import Scenario
from lab.simulated_client import PlannedRequest, RequestEnd

WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class ServiceMetrics:
    """Shares are of the weight that was asked for; `service` combines them to one figure."""

    requests: int
    service: float
    classes: dict[str, float]
    worst_window: float
    ends: dict[str, int]


def measure_service(everything: Sequence[PlannedRequest], scenario: Scenario) -> ServiceMetrics:
    """The metrics over all requests; those whose clients left count only among the ends."""
    requests = [request for request in everything if request.end is not RequestEnd.LEFT]
    classes = {
        each.name: _share([request for request in requests if request.traffic_class.name == each.name])
        for each in scenario.traffic.classes
    }
    tenants = [
        _share([request for request in requests if request.tenant == tenant.name])
        for tenant in scenario.traffic.tenants
    ]
    worst_window = _worst_window(requests, scenario.seconds)
    service = 0.3 * _share(requests) + 0.3 * worst_window + 0.3 * min(classes.values()) + 0.1 * min(tenants)
    ends = Counter(str(request.end) for request in everything)
    return ServiceMetrics(
        len(everything),
        round(service, 4),
        {name: round(value, 4) for name, value in classes.items()},
        round(worst_window, 4),
        dict(sorted(ends.items())),
    )


def _worst_window(requests: Sequence[PlannedRequest], seconds: float) -> float:
    """The least share within any `WINDOW_S` that begin at a whole second."""
    starts = range(max(1, int(seconds - WINDOW_S) + 1))
    return min(
        _share([request for request in requests if start <= request.asked_s - START_S < start + WINDOW_S])
        for start in starts
    )


def _share(requests: Sequence[PlannedRequest]) -> float:
    asked = sum(request.traffic_class.worth for request in requests)
    return sum(request.earned for request in requests) / asked if asked else 1.0
