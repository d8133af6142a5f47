"""The quotas of tenants; each balancer grants its share of a quota."""

from dataclasses import dataclass

from balancer.settings_types import Tenant

# The factor on a balancer's even share of a quota. Traffic differs between zones, and a balancer counts only
# its own requests, so it may receive more than an even share from a tenant that stays within its quota.
EVEN_SHARE_SLACK = 1.5
# The least burst, in requests: an even share of a small quota may be less than one request.
MIN_BURST = 4.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket for the requests of one tenant."""

    tokens: float
    updated_ms: float = 0.0

    def try_take(self, now: float, rate_per_s: float, capacity: float) -> bool:
        """Takes a token and returns whether there was one; the bucket fills at the rate, to its capacity."""
        self.tokens = min(capacity, self.tokens + (now - self.updated_ms) * rate_per_s / 1000)
        self.updated_ms = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class TenantQuotas:
    """The token buckets of all tenants."""

    def __init__(self, tenants: tuple[Tenant, ...]) -> None:
        """Starts each bucket with the least burst."""
        self._tenants = tenants
        self._buckets = [TokenBucket(MIN_BURST) for _ in tenants]

    def count_request(self, now: float, tenant: int, peers_total: int) -> bool:
        """Counts a request of the tenant; returns whether it is beyond this balancer's share of the quota.

        `peers_total` is the number of balancers among which the quota is divided.
        """
        if tenant >= len(self._buckets) or not self._tenants[tenant].quota_per_s:
            return False
        rate_per_s = EVEN_SHARE_SLACK * self._tenants[tenant].quota_per_s / peers_total
        # The bucket holds at most the tokens of one second.
        return not self._buckets[tenant].try_take(now, rate_per_s, max(MIN_BURST, rate_per_s))
