"""Selection of the server for an attempt, in the preference order of the request's key."""

from random import Random

from balancer import hot_keys
from balancer.admission import should_drop
from balancer.outlier_detection import OutlierDetector
from balancer.preference_set import preference_order
from balancer.request_state import RequestState, Server
from balancer.settings_types import Idempotency
from balancer.slow_start import SlowStart
from balancer.zone_rings import ZoneRings

# R, the size of a key's preference set: the most servers that requests for the key try. With more, the load
# of a crowded server would spread to others, and copies of the value would fill more caches.
PREFERENCE_SET_SIZE = 3
# The part of a server's concurrency limit that requests beyond their tenant's quota may use.
OVER_QUOTA_SHARE = 0.25


def is_in_dedup_scope(request: RequestState, server: Server) -> bool:
    """Returns whether the server would recognise a repeat of the request, or need not recognise it.

    After an attempt that may have run, only the servers in the deduplication scope of that attempt's server
    know the idempotency key.
    """
    run_server = (
        request.possible_run_server if request.request_class.idempotency is Idempotency.KEYED else None
    )
    scope = request.request_class.dedup_scope
    return run_server is None or run_server.entry.group_number(scope) == server.entry.group_number(scope)


class ServerSelector:
    """Selects servers by the rings, and passes over those that are crowded, ejected or too cold."""

    def __init__(
        self, random: Random, rings: ZoneRings, slow_start: SlowStart, outliers: OutlierDetector
    ) -> None:
        """`random` is the balancer's generator, so that its decisions are the same in every run."""
        self._random = random
        self._rings = rings
        self._slow_start = slow_start
        self._outliers = outliers

    def select(self, now: float, request: RequestState, objective_ms: float) -> Server | None:
        """Returns the first suitable server in the preference order, or None if there is none.

        `objective_ms` is the shortest latency objective of the requests that cache servers answer.
        """
        fallback, candidate_count, crowded_count = None, 0, 0
        # A balancer doesn't see the load that a hot key puts on its owner, but it sees the key's share of its
        # own reads. It skips a random number of candidates, so that all balancers together spread the key.
        spread_count = hot_keys.servers_needed(request.key_load)
        skip_count = self._random.randrange(spread_count)
        for index, server in enumerate(
            preference_order(now, request.ring_position, spread_count, self._rings, self._slow_start)
        ):
            if server in request.tried_servers or not is_in_dedup_scope(request, server):
                continue
            # The keys of crowded and dead servers, or a hot key, would overload a cold server.
            if not self._slow_start.is_warm(now, server) and (
                index or request.key_load > hot_keys.MAX_LOAD * self._slow_start.active_share(now, server)
            ):
                continue
            if server.ejected_at_ms is not None or should_drop(
                self._random, now, server.latency, objective_ms
            ):
                # The request itself probes an ejected server only where health checks are not permitted: in a
                # large fleet, most of the requests sent to a dead server would be such probes.
                is_probe_due = server.ejected_at_ms is not None and now >= server.next_probe_ms
                if (
                    is_probe_due
                    and not self._outliers.probe(now, server)
                    and request.request_class.idempotency is Idempotency.SAFE
                ):
                    return server
                crowded_count += server.ejected_at_ms is None
                if self._rings.has_few_balancers and crowded_count >= PREFERENCE_SET_SIZE:
                    return None
                fallback = fallback or server
                continue
            candidate_count += 1
            if candidate_count <= skip_count:
                fallback = server
            elif len(server.in_flight) < server.limit * (OVER_QUOTA_SHARE if request.over_quota else 1.0):
                return server
            elif candidate_count >= skip_count + PREFERENCE_SET_SIZE:
                break
        return fallback if candidate_count <= skip_count else None
