"""The state that the balancer keeps for each request and each server. It makes no decisions.

All times are in milliseconds; each field that ends in `_ms` is a point in time.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from balancer import api
from balancer.latency import LatencyEstimate
from balancer.timers import CLOCK_ROUNDING_MS


@dataclass(slots=True, eq=False)
class Server:
    """A cache server or an origin, with what the balancer has learnt about it."""

    entry: api.ServerEntry
    is_origin: bool
    latency: LatencyEstimate  # the latency of this server's responses; all origins share one estimate
    machine_type_latency: LatencyEstimate  # the latency of the responses of all servers of its machine type
    limit: float  # the limit on this balancer's requests in flight here, see concurrency_limit.py
    min_limit: float  # the lowest value that `limit` may take
    warm_up_start_ms: float = -math.inf  # when its warm-up began; -inf if that was long ago
    # The attempts in flight: (request id, attempt number) -> (request, time at which the attempt was sent).
    in_flight: dict[tuple[str, int], tuple["RequestState", float]] = field(default_factory=dict)
    newest_answered_sent_ms: float = -math.inf  # the send time of the newest attempt that has been answered
    consecutive_resets: int = 0  # the number of resets since its last response
    last_response_ms: float = 0.0  # when it last responded, or got an attempt with none in flight
    ejected_at_ms: float | None = None  # when it was ejected; None while it is not ejected
    next_probe_ms: float = 0.0  # the earliest time of the next probe, or of the next trial at an origin
    probe_sent_ms: float | None = None  # when the unanswered probe was sent; None if there is none
    check_scheduled: bool = False  # whether a check for silence is scheduled
    last_decrease_ms: float = -math.inf  # when `limit` was last lowered
    last_use_ms: float = -math.inf  # the time of the last response over a connection that may still be open
    removed: bool = False  # whether it was removed from the endpoint list

    def capacity_share(self, now: float, start_capacity: float, warm_up_ms: float) -> float:
        """Returns the share of its full capacity that it has by now.

        The share rises evenly from `start_capacity` to 1 over the `warm_up_ms` of its warm-up.
        """
        age_ms = max(0.0, now - self.warm_up_start_ms)
        return min(1.0, start_capacity + (1.0 - start_capacity) * age_ms / max(1.0, warm_up_ms))

    def resize(self, factor: float, min_limit: float) -> None:
        """Multiplies the limit by `factor`, after the number of balancers that share the server changed."""
        self.min_limit = min_limit
        self.limit = max(min_limit, self.limit * factor)


@dataclass(slots=True)
class KeyQueue:
    """The requests for one key that are sent one at a time."""

    requests: "deque[RequestState]" = field(default_factory=deque)  # the requests, oldest first
    settled_at_ms: float = -math.inf  # no request is sent before this time: an earlier attempt may be running

    def is_settled(self, now: float) -> bool:
        """Returns whether no earlier attempt may be running any more; the timer for that may come early."""
        return now + CLOCK_ROUNDING_MS >= self.settled_at_ms


@dataclass(slots=True, eq=False)
class RequestState:
    """A request, which gets exactly one final response, and its attempts."""

    id: str
    request_class: api.RequestClass
    key: str | None
    ring_position: int  # the position on the ring at which the search for a server starts
    write: bool
    useful_until_ms: float  # a response after this time is worthless to the client
    deadline_ms: float
    over_quota: bool  # whether it exceeds its tenant's quota, or arrived too late for its objective
    latency: LatencyEstimate  # the latency of its request class at cache servers
    key_load: float = 0.0  # the load that reads of its key cause, as a multiple of the mean load of a server
    hedge_number: int = 0  # the attempt number of its hedged attempt; 0 if there is none
    key_queue: KeyQueue | None = None  # the queue of its key, if its class asks for per-key ordering
    queued_for_key: bool = False  # whether it waits for earlier requests in `key_queue`
    attempts: int = 0  # the number of attempts sent so far
    # The attempts in flight: attempt number -> (server, time at which the attempt was sent).
    in_flight: dict[int, tuple[Server, float]] = field(default_factory=dict)
    tried_servers: list[Server] = field(default_factory=list)  # the servers that are not tried again
    possible_run_ms: float | None = None  # the send time of the earliest attempt that may have run
    possible_run_server: Server | None = None  # the server of that attempt
    is_fetching: bool = False  # whether it fetches its key's value from the origin on behalf of all requests
    is_waiting: bool = False  # whether it waits for its key, another request's fetch or an origin slot
    follows_miss: bool = False  # whether its next attempt follows a miss, and so is not counted as a retry
    stream_started: bool = False  # whether the client has received the first bytes of a streamed response
    done: bool = False  # whether it has had its final response, or its client has disconnected
