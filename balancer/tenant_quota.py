"""The quotas of tenants, of which each balancer grants its part."""

from dataclasses import dataclass


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
