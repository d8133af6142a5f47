"""Slow start: a server that has just started gets a part of its load, which rises during its warm-up."""

from balancer.latency import UNCROWDED_SHARE, LatencyEstimate
from balancer.request_state import Server
from balancer.settings_types import Settings


class SlowStart:
    """Computes the part of each server's tokens on the ring that is active.

    `latency` is the estimate for all cache servers, `machine_types` holds the estimate of each machine type,
    and `objective_ms` is the shortest latency objective.
    """

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimate,
        machine_types: dict[int, LatencyEstimate],
        objective_ms: float,
    ) -> None:
        """Takes the warm-up time and the start capacity from the settings."""
        self._start_capacity = settings.start_capacity
        self._warm_up_ms = settings.warm_up_ms
        self._latency = latency
        self._machine_types = machine_types
        self._objective_ms = objective_ms
        self.full_response_share = 0.0  # the part of the latest attempts that a full server refused

    def is_warm(self, now: float, server: Server) -> bool:
        """Returns whether the server's warm-up is over."""
        return now >= server.warm_up_start_ms + self._warm_up_ms

    def active_share(self, now: float, server: Server) -> float:
        """Returns the part of the server's tokens that is active, by the load that it can serve now."""
        capacity_share = server.capacity_share(now, self._start_capacity, self._warm_up_ms)
        # The weights in the endpoint list overstate old machines, so a machine type that is slower than the
        # mean of all servers has fewer active tokens.
        latency_ms, overload_factor = server.machine_type_latency.mean_ms, 1.0
        # A cold server must get neither the load that slow machine types shed nor a storm of retries that
        # full servers have refused.
        if capacity_share < 1.0:
            latency_ms = max(estimate.mean_ms for estimate in self._machine_types.values())
            overload_factor = (1.0 - self.full_response_share) ** 2
        usual_ms = max(self._latency.mean_ms, UNCROWDED_SHARE * self._objective_ms)
        return capacity_share * overload_factor * min(1.0, usual_ms / latency_ms) ** 2
