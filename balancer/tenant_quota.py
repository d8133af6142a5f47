"""The quotas of tenants, of which each balancer grants its part."""

from dataclasses import dataclass

from balancer.settings_types import Tenant

# A balancer grants so many times its even part of a quota: zones differ, and it sees only its own requests.
EVEN_PART_SLACK = 1.5
# The least burst: an even part of a small quota may be less than one request.
MIN_BURST = 4.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket of one tenant's requests."""

    tokens: float
    since_ms: float = 0.0

    def spend(self, now: float, per_s: float, most: float) -> bool:
        """Takes one token where there is one; `per_s` come in, `most` are held."""
        self.tokens = min(most, self.tokens + (now - self.since_ms) * per_s / 1000)
        self.since_ms = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class TenantQuotas:
    """The token buckets of all tenants that have a quota."""

    def __init__(self, tenants: tuple[Tenant, ...]) -> None:
        """Each bucket starts with the least burst."""
        self._tenants = tenants
        self._buckets = [TokenBucket(MIN_BURST) for _ in tenants]

    def count_request(self, now: float, tenant: int, peers_total: int) -> bool:
        """Counts a request of the tenant; returns whether it is beyond this balancer's part of the quota."""
        if tenant >= len(self._buckets) or not self._tenants[tenant].quota_per_s:
            return False
        rate_per_s = EVEN_PART_SLACK * self._tenants[tenant].quota_per_s / peers_total
        # The bucket holds what comes in during a second at most.
        return not self._buckets[tenant].spend(now, rate_per_s, max(MIN_BURST, rate_per_s))
