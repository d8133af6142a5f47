"""Selection of the server for an attempt, from the preference set of the request's key."""

from random import Random

from balancer import hot_keys
from balancer.admission import should_drop
from balancer.outlier_detection import OutlierDetector
from balancer.preference_set import preference_list
from balancer.request_state import RequestState, Server
from balancer.settings_types import Idempotency
from balancer.slow_start import SlowStart
from balancer.zone_rings import ZoneRings

# A key is asked of so many servers at most: more of them only spread a jam and copies of its value.
PREFERENCE_LIST_SIZE = 3
# The part of a server's limit that requests beyond their tenant's quota may use.
OVER_QUOTA_SHARE = 0.25


def is_in_dedup_scope(request: RequestState, server: Server) -> bool:
    """Whether the server recognises a repeated request by its idempotency key, or need not do so.

    After an attempt that may have run, only the group of that attempt's server knows the key.
    """
    ran_at = request.possible_run_server if request.request_class.idempotency is Idempotency.KEYED else None
    group = request.request_class.dedup_scope
    return ran_at is None or ran_at.entry.group_number(group) == server.entry.group_number(group)


class ServerSelector:
    """Selects servers by the rings, and passes over those that are crowded, ejected or too cold."""

    def __init__(
        self, random: Random, rings: ZoneRings, slow_start: SlowStart, outliers: OutlierDetector
    ) -> None:
        """`random` is the balancer's generator, so that its decisions can be repeated."""
        self._random = random
        self._rings = rings
        self._slow_start = slow_start
        self._outliers = outliers

    def select(self, now: float, request: RequestState, objective_ms: float) -> Server | None:
        """The first server of the preference set that nothing speaks against; None if there is no such one.

        `objective_ms` is the shortest latency objective of what cache servers answer.
        """
        last, members, crowded = None, 0, 0
        # No balancer sees what a hot key does to its owner, but all see how much of their traffic it is.
        spread = hot_keys.servers_needed(request.key_load)
        passed = self._random.randrange(spread)
        for place, server in enumerate(
            preference_list(now, request.ring_point, spread, self._rings, self._slow_start)
        ):
            if server in request.tried_servers or not is_in_dedup_scope(request, server):
                continue
            # What crowded and dead servers leave, or a hot key, would push a cold one over.
            if not self._slow_start.is_warm(now, server) and (
                place or request.key_load > hot_keys.MAX_LOAD * self._slow_start.active_share(now, server)
            ):
                continue
            if server.ejected_at_ms is not None or should_drop(
                self._random, now, server.latency, objective_ms
            ):
                # In a large fleet most requests to a dead server would be probe requests: a health check is
                # sent instead where that is permitted.
                due = server.ejected_at_ms is not None and now >= server.next_probe_ms
                if (
                    due
                    and not self._outliers.probe(now, server)
                    and request.request_class.idempotency is Idempotency.SAFE
                ):
                    return server
                crowded += server.ejected_at_ms is None
                if self._rings.has_few_balancers and crowded >= PREFERENCE_LIST_SIZE:
                    return None
                last = last or server
                continue
            members += 1
            if members <= passed:
                last = server
            elif len(server.in_flight) < server.limit * (OVER_QUOTA_SHARE if request.over_quota else 1.0):
                return server
            elif members >= passed + PREFERENCE_LIST_SIZE:
                break
        return last if members <= passed else None
