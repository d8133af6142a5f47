"""Creates the state of an arriving request: its position on the ring, its time limits and its quota check."""

from random import Random

from balancer.events import Request
from balancer.hash_ring import ring_position
from balancer.latency import UNCROWDED_SHARE, USUAL_TIMEOUT_VOTES, LatencyEstimate, UsualTimeout
from balancer.request_state import RequestState
from balancer.settings_types import Settings
from balancer.tenant_quota import TenantQuotas

# Two requests whose times left differ by at most this much are taken to have the same timeout.
SAME_TIMEOUT_MS = 25.0


class RequestFactory:
    """Creates the state of requests, and learns the usual timeout of each class from them."""

    def __init__(self, settings: Settings, random: Random, margin_ms: float) -> None:
        """Takes classes and tenants from the settings.

        `margin_ms` is the time by which the final response has to precede the deadline.
        """
        self._classes = settings.classes
        self._random = random
        self._margin_ms = margin_ms
        self._quotas = TenantQuotas(settings.tenants)
        self._usual_timeouts = [UsualTimeout() for _ in settings.classes]
        self._latencies = [
            LatencyEstimate(cls.latency_objective_ms * UNCROWDED_SHARE) for cls in settings.classes
        ]

    def make(self, now: float, event: Request, peers_total: int) -> RequestState:
        """Returns the state of a request that arrives now, at one of `peers_total` balancers."""
        request_class = self._classes[event.class_number]
        position = ring_position(event.key) if event.key is not None else self._random.getrandbits(64)
        deadline_ms = now + event.time_left_ms - self._margin_ms
        objective_end_ms = (
            now + request_class.latency_objective_ms - self._elapsed_ms(event) - self._margin_ms
        )
        is_useful_late = bool(request_class.late_value) or event.write
        useful_until_ms = deadline_ms if is_useful_late else min(objective_end_ms, deadline_ms)
        over_quota = self._quotas.count_request(now, event.tenant, peers_total)
        return RequestState(
            event.request_id,
            request_class,
            event.key,
            position,
            event.write,
            useful_until_ms,
            deadline_ms,
            over_quota or objective_end_ms < now,
            self._latencies[event.class_number],
        )

    def _elapsed_ms(self, event: Request) -> float:
        """Returns how much time the client has spent on earlier attempts of the request, in ms.

        A first attempt of the client has the usual timeout of its class; a later one has its remainder.
        """
        usual_timeout = self._usual_timeouts[event.class_number]
        if usual_timeout.vote(event.time_left_ms, SAME_TIMEOUT_MS, USUAL_TIMEOUT_VOTES):
            return 0.0
        return max(0.0, self._classes[event.class_number].deadline_ms - event.time_left_ms)
