"""The limit on the requests in flight at one server: additive increase, multiplicative decrease.

A crowded server works slower, so that a queue there feeds itself. All times are in milliseconds.
"""

from balancer.latency import CROWDED_RATIO, UNCROWDED_SHARE
from balancer.request_state import Server

# The first guess for the requests of all balancers together at one server: the work of some cores.
START = 24.0
# The least limit of one balancer at a cache server, and at the origin: with less the caches run empty.
MIN, ORIGIN_MIN = 1.0, 2.0
# The least of all balancers together: so many requests do not wait for each other.
MIN_OF_ALL = 6.0
# The factor on the limit when the server is full, fails or is crowded.
DECREASE = 0.8
# As `UNCROWDED_SHARE`, for the origin: its latencies scatter more.
ORIGIN_UNCROWDED_SHARE = 0.5
# The part of a crowded latency that the mean age of an origin's attempts may have: they are about half done.
ORIGIN_AGE_FACTOR = 0.5


def minimum_limit(origin: bool, peers_total: int) -> float:
    """The least limit of one of so many balancers."""
    return max(ORIGIN_MIN if origin else MIN, MIN_OF_ALL / peers_total)


def initial_limit(least: float, peers_total: int) -> float:
    """The limit before the first response."""
    return max(2 * least, START / peers_total)


def crowded_latency_ms(server: Server, objective_ms: float) -> float:
    """The mean latency over which the server is crowded; `objective_ms` is the shortest objective."""
    share = ORIGIN_UNCROWDED_SHARE if server.is_origin else UNCROWDED_SHARE
    return max(share * objective_ms, CROWDED_RATIO * server.latency.floor_ms)


def adjust(server: Server, now: float, crowded: bool, objective_ms: float) -> None:
    """Raises the limit where it is used and the server is not crowded, or lowers it where it is."""
    if not crowded and 2 * len(server.in_flight) + 2 >= server.limit:
        server.limit += 1 / server.limit
    # The time of one crowded latency lets the last decrease show.
    elif crowded and now - server.last_decrease_ms > crowded_latency_ms(server, objective_ms):
        server.last_decrease_ms = now
        server.limit = max(server.min_limit, server.limit * DECREASE)


def check_ages(server: Server, now: float, objective_ms: float) -> None:
    """Lowers the limit where the attempts in flight are old.

    In a jam the responses that come tell of long ago; the age of what is in flight tells of now.
    """
    ages_ms = [now - sent for _, sent in server.in_flight.values() if sent >= server.newest_answered_sent_ms]
    if len(ages_ms) < 2:
        return
    factor = ORIGIN_AGE_FACTOR if server.is_origin else 1.0
    if sum(ages_ms) / len(ages_ms) > factor * crowded_latency_ms(server, objective_ms):
        adjust(server, now, True, objective_ms)
