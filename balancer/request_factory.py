"""The state of a request that has arrived: its point on the ring, its deadlines and its tenant's quota."""

from random import Random

from balancer.events import Request
from balancer.hash_ring import ring_position
from balancer.latency import UNCROWDED_SHARE, USUAL_TIMEOUT_VOTES, LatencyEstimate, UsualTimeout
from balancer.request_state import RequestState
from balancer.settings_types import Settings
from balancer.tenant_quota import TenantQuotas

# Two requests with timeouts this near to each other may have the same one.
SAME_TIMEOUT_MS = 25.0


class RequestFactory:
    """Makes the state of requests, and learns the usual timeout of each class from them."""

    def __init__(self, settings: Settings, random: Random, margin_ms: float) -> None:
        """`margin_ms` is the time by which a response precedes the deadline."""
        self._classes = settings.classes
        self._random = random
        self._margin_ms = margin_ms
        self._quotas = TenantQuotas(settings.tenants)
        self._usual_timeouts = [UsualTimeout() for _ in settings.classes]
        self._latencies = [
            LatencyEstimate(cls.latency_objective_ms * UNCROWDED_SHARE) for cls in settings.classes
        ]

    def make(self, now: float, event: Request, peers_total: int) -> RequestState:
        """The state of a request that arrives now."""
        cls = self._classes[event.class_number]
        place = ring_position(event.key) if event.key is not None else self._random.getrandbits(64)
        deadline_ms = now + event.time_left_ms - self._margin_ms
        objective_end_ms = now + cls.latency_objective_ms - self._elapsed_ms(event) - self._margin_ms
        late_is_useful = bool(cls.late_value) or event.write
        useful_until_ms = deadline_ms if late_is_useful else min(objective_end_ms, deadline_ms)
        over_quota = self._quotas.count_request(now, event.tenant, peers_total)
        return RequestState(
            event.request_id,
            cls,
            event.key,
            place,
            event.write,
            useful_until_ms,
            deadline_ms,
            over_quota or objective_end_ms < now,
            self._latencies[event.class_number],
        )

    def _elapsed_ms(self, event: Request) -> float:
        """What earlier attempts of the client took: it has the usual timeout, or what they left of it."""
        usual = self._usual_timeouts[event.class_number]
        if usual.is_usual(event.time_left_ms, SAME_TIMEOUT_MS, USUAL_TIMEOUT_VOTES):
            return 0.0
        return max(0.0, self._classes[event.class_number].deadline_ms - event.time_left_ms)
