"""Admission by random early detection: the mean latency says which part of the requests to drop.

Hundreds of balancers, none of which sees the others, drop the right part in sum (Floyd and Jacobson, 1993).
"""

from random import Random

from balancer.latency import CROWDED_RATIO, UNCROWDED_SHARE, LatencyEstimate

# As `UNCROWDED_SHARE` and `CROWDED_RATIO`, for the latency at which drops begin.
START_SHARE, START_RATIO = 0.5, 2.5
# Drops begin by this part of the latency objective, whatever the lowest latency has been.
START_MAX_SHARE = 0.75
# The part dropped for each time more than that latency: all requests at half as much again.
SLOPE = 2.0


def should_drop(
    random: Random, now: float, latency: LatencyEstimate, objective_ms: float, over_quota: bool = False
) -> bool:
    """Whether to drop a request; those beyond their tenant's quota are dropped from a lower latency on."""
    share, ratio = (UNCROWDED_SHARE, CROWDED_RATIO) if over_quota else (START_SHARE, START_RATIO)
    start = min(max(share * objective_ms, ratio * latency.floor_ms), START_MAX_SHARE * objective_ms)
    mean = latency.fading_ms(now)
    return mean > start and random.random() < SLOPE * (mean / start - 1.0)
