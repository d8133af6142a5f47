"""Admission control by random early detection: requests are dropped at random as the mean latency rises.

The share of requests to drop depends on the mean latency alone, so hundreds of balancers that do not see each
other together drop the right share (Floyd and Jacobson, 1993).
"""

from random import Random

from balancer.latency import CROWDED_RATIO, UNCROWDED_SHARE, LatencyEstimate

# Drops begin at this share of the latency objective, or at this multiple of the lowest mean latency,
# whichever is higher. Requests beyond their tenant's quota are dropped from `UNCROWDED_SHARE` and
# `CROWDED_RATIO` on.
DROP_START_SHARE, DROP_START_RATIO = 0.5, 2.5
# Drops begin at this share of the latency objective at the latest, however high the lowest mean latency has
# been.
DROP_START_MAX_SHARE = 0.75
# The rise of the share of dropped requests with the latency: at 1.5 times the latency at which drops
# begin, all requests are dropped.
DROP_SLOPE = 2.0


def should_drop(
    random: Random, now: float, latency: LatencyEstimate, objective_ms: float, over_quota: bool = False
) -> bool:
    """Decides at random whether to drop a request, because the servers behind `latency` are crowded.

    `objective_ms` is the latency objective. `over_quota` says that the request exceeds its tenant's quota:
    such requests are dropped from a lower latency on.
    """
    share, ratio = (UNCROWDED_SHARE, CROWDED_RATIO) if over_quota else (DROP_START_SHARE, DROP_START_RATIO)
    drop_start_ms = min(
        max(share * objective_ms, ratio * latency.lowest_mean_ms), DROP_START_MAX_SHARE * objective_ms
    )
    mean_ms = latency.decayed_mean_ms(now)
    return mean_ms > drop_start_ms and random.random() < DROP_SLOPE * (mean_ms / drop_start_ms - 1.0)
