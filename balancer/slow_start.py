"""Slow start: a server that has just started gets a part of its load, which rises while it warms up."""

from balancer.latency import UNCROWDED_SHARE, LatencyEstimate
from balancer.request_state import Server
from balancer.settings_types import Settings


class SlowStart:
    """Says which part of its tokens on the ring is active for a server.

    `latency` is that of all cache servers, `machine_types` holds the same by type of machine, and
    `objective_ms` is the shortest latency objective.
    """

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimate,
        machine_types: dict[int, LatencyEstimate],
        objective_ms: float,
    ) -> None:
        """Takes the warm-up from the settings."""
        self._start_capacity = settings.start_capacity
        self._warm_up_ms = settings.warm_up_ms
        self._latency = latency
        self._machine_types = machine_types
        self._objective_ms = objective_ms
        self.full_response_share = 0.0  # the share of the last attempts that found their server full

    def is_warm(self, now: float, server: Server) -> bool:
        """Whether the server's warm-up is over."""
        return now >= server.warm_up_start_ms + self._warm_up_ms

    def active_share(self, now: float, server: Server) -> float:
        """The part of the server's tokens that is active: misses and load rise with what it can do."""
        warmth = server.capacity_share(now, self._start_capacity, self._warm_up_ms)
        # Registered sizes flatter old machines: a type that answers slower than all keeps fewer tokens.
        latency_ms, room = server.machine_type_latency.mean_ms, 1.0
        # What slow types leave, and a storm of retries at full servers, must not go to a cold server.
        if warmth < 1.0:
            latency_ms = max(machine_type.mean_ms for machine_type in self._machine_types.values())
            room = (1.0 - self.full_response_share) ** 2
        usual_ms = max(self._latency.mean_ms, UNCROWDED_SHARE * self._objective_ms)
        return warmth * room * min(1.0, usual_ms / latency_ms) ** 2
