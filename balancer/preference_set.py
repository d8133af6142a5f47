"""The preference order of a key: the order in which its servers are asked.

The preference set of a key is the first R distinct servers clockwise on the ring from the key's position.
"""

from collections.abc import Iterator

from balancer.request_state import Server
from balancer.slow_start import SlowStart
from balancer.zone_rings import ZoneRings

# The most inactive tokens of cold servers that the walk along a ring may skip before it selects a cold
# server, and before it selects any server. Without these limits, in a fleet that is mostly cold, each cold
# server would get the keys that all other cold servers don't take.
MAX_SKIPS_BEFORE_COLD, MAX_SKIPS = 1, 4


def preference_order(
    now: float, position: int, local_count: int, rings: ZoneRings, slow_start: SlowStart
) -> Iterator[Server]:
    """Yields distinct servers clockwise from a position on the ring; inactive tokens are skipped.

    Servers of the local zone come first where attempts in another zone have a cost, except for the keys that
    the local zone has no capacity for: for these, the other zones come first. With few balancers, only
    `local_count` servers of the local zone come first, then the first server of each other zone, which keeps
    copies of the key's value.
    """
    ring_order = [rings.local, rings.remote]
    # Ten bits of the position, which are random, decide if the key is in the local zone's share.
    if (position >> 10) % 1024 >= 1024 * rings.local_share:
        ring_order.reverse()
    seen_servers, zones, deferred = set[Server](), set[int](), list[Server]()
    for ring in ring_order:
        # Both rings may hold the same server, so this ring may hold some that were found on the other.
        found_count, skipped_count = sum(server in ring for server in seen_servers), 0
        max_count = local_count if rings.has_few_balancers and ring is rings.local else len(ring)
        for token, server in ring.clockwise(position):
            if found_count >= max_count or skipped_count > MAX_SKIPS:
                break
            if server in seen_servers:
                continue
            is_warm = slow_start.is_warm(now, server)
            is_allowed = is_warm or skipped_count <= MAX_SKIPS_BEFORE_COLD
            # The low ten bits of a token, which are random, decide if the token is in the active share.
            if is_allowed and token % 1024 < 1024 * slow_start.active_share(now, server):
                seen_servers.add(server)
                found_count += 1
                if rings.has_few_balancers and ring is rings.remote and server.entry.zone in zones:
                    deferred.append(server)  # The first servers of all zones come before it.
                else:
                    zones.add(server.entry.zone)
                    yield server
            elif rings.has_few_balancers and ring is rings.local and not is_warm:
                # All servers of the local zone may be as cold, and must not get the keys of this one.
                break
            else:
                skipped_count += not is_warm
    yield from deferred
