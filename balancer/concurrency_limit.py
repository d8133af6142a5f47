"""The limit on the requests in flight at one server: additive increase, multiplicative decrease.

A crowded server works more slowly, so its queue grows even faster. All times are in milliseconds.
"""

from balancer.latency import CROWDED_RATIO, UNCROWDED_SHARE
from balancer.request_state import Server

# The initial limit for the requests that all balancers together have in flight at one server: enough to keep
# a few CPU cores busy.
INITIAL_TOTAL_LIMIT = 24.0
# The lowest limit of one balancer, at a cache server and at the origin. With less at the origin, too few
# values are fetched and the caches run empty.
MIN_CACHE_LIMIT, MIN_ORIGIN_LIMIT = 1.0, 2.0
# The lowest limit of all balancers together: so few requests do not wait for each other.
MIN_TOTAL_LIMIT = 6.0
# The factor by which the limit is lowered when the server is full, times out or is crowded.
DECREASE_FACTOR = 0.8
# The value of `UNCROWDED_SHARE` for the origin, whose latencies vary more.
ORIGIN_UNCROWDED_SHARE = 0.5
# The origin is crowded when the mean age of its attempts in flight exceeds this share of a crowded latency:
# such attempts are on average about half done.
ORIGIN_AGE_FACTOR = 0.5


def minimum_limit(is_origin: bool, peers_total: int) -> float:
    """Returns the lowest limit for each of `peers_total` balancers at a cache server or at the origin."""
    return max(MIN_ORIGIN_LIMIT if is_origin else MIN_CACHE_LIMIT, MIN_TOTAL_LIMIT / peers_total)


def initial_limit(min_limit: float, peers_total: int) -> float:
    """Returns the limit of one of `peers_total` balancers before the server's first response."""
    return max(2 * min_limit, INITIAL_TOTAL_LIMIT / peers_total)


def crowded_latency_ms(server: Server, objective_ms: float) -> float:
    """Returns the mean latency above which the server is crowded.

    `objective_ms` is the shortest latency objective of all classes.
    """
    share = ORIGIN_UNCROWDED_SHARE if server.is_origin else UNCROWDED_SHARE
    return max(share * objective_ms, CROWDED_RATIO * server.latency.lowest_mean_ms)


def adjust(server: Server, now: float, is_crowded: bool, objective_ms: float) -> None:
    """Lowers the limit of a crowded server, or raises that of another one if about half of it is in use."""
    if not is_crowded and 2 * len(server.in_flight) + 2 >= server.limit:
        server.limit += 1 / server.limit
    # After a decrease, the next one waits for one crowded latency, until the responses show the effect.
    elif is_crowded and now - server.last_decrease_ms > crowded_latency_ms(server, objective_ms):
        server.last_decrease_ms = now
        server.limit = max(server.min_limit, server.limit * DECREASE_FACTOR)


def check_attempt_ages(server: Server, now: float, objective_ms: float) -> None:
    """Lowers the limit if the attempts in flight are old.

    While a server is overloaded, its responses show a load of some time ago; the ages of the attempts in
    flight show the present load. Attempts older than one that was answered are left out: their connections
    may be dead.
    """
    ages_ms = [
        now - sent_ms for _, sent_ms in server.in_flight.values() if sent_ms >= server.newest_answered_sent_ms
    ]
    if len(ages_ms) < 2:
        return
    factor = ORIGIN_AGE_FACTOR if server.is_origin else 1.0
    if sum(ages_ms) / len(ages_ms) > factor * crowded_latency_ms(server, objective_ms):
        adjust(server, now, True, objective_ms)
