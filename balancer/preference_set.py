"""The order in which the servers are preferred for a key: clockwise on the ring from the key's point."""

from collections.abc import Iterator

from balancer.request_state import Server
from balancer.slow_start import SlowStart
from balancer.zone_rings import ZoneRings

# Tokens of cold servers that may be passed over: before another cold server, and before any server.
COLD_SPILL, COLD_MOST = 1, 4


def preference_list(
    now: float, place: int, near: int, rings: ZoneRings, slow_start: SlowStart
) -> Iterator[Server]:
    """Distinct servers clockwise from a point, past tokens that are not active yet.

    Servers of the local zone come first where attempts to another zone have a price; keys for which the
    local zone has no capacity go to remote zones first. In a small tier only `near` servers of the local
    zone are preferred, then the first of each other zone, where copies of the value are.
    """
    order = [rings.local, rings.remote]
    if (place >> 10) % 1024 >= 1024 * rings.local_share:
        order.reverse()
    seen, zones, later = set[Server](), set[int](), list[Server]()
    for ring in order:
        got, passed = sum(server in ring for server in seen), 0  # a server may be on both rings
        most = near if rings.has_few_balancers and ring is rings.local else len(ring)
        for token, server in ring.clockwise(place):
            if got >= most or passed > COLD_MOST:
                break
            if server in seen:
                continue
            warm = slow_start.is_warm(
                now, server
            )  # where most are cold, each would get what all others leave
            may = warm or passed <= COLD_SPILL
            if may and token % 1024 < 1024 * slow_start.active_share(now, server):  # low bits: a lot
                seen.add(server)
                got += 1
                if rings.has_few_balancers and ring is rings.remote and server.entry.zone in zones:
                    later.append(server)
                else:
                    zones.add(server.entry.zone)
                    yield server
            elif rings.has_few_balancers and ring is rings.local and not warm:
                break  # all of home may be as cold, and must not get what it leaves
            else:
                passed += not warm
    yield from later
