"""What the balancer holds of a request and of a server: state alone, no decisions."""

import math
from collections import deque
from dataclasses import dataclass, field

from balancer import api
from balancer.latency import LatencyEstimate


@dataclass(slots=True, eq=False)
class Server:
    """A cache server or an origin, with what the balancer has learnt about it."""

    entry: api.ServerEntry
    is_origin: bool
    latency: LatencyEstimate  # of its responses
    machine_type_latency: LatencyEstimate  # of the responses of all servers of its machine type
    limit: float  # on the requests in flight, see concurrency_limit.py
    min_limit: float  # the least value of `limit`
    warm_up_start_ms: float = -math.inf
    # (request id, attempt number) -> (request, time sent) of the attempts in flight
    in_flight: dict[tuple[str, int], tuple["RequestState", float]] = field(default_factory=dict)
    newest_answered_sent_ms: float = -math.inf  # when the latest attempt that was answered was sent
    resets: int = 0  # since its last response
    last_response_ms: float = 0.0  # or the first send after a time with nothing in flight
    ejected_at_ms: float | None = None  # when it was ejected; None while it is not
    next_probe_ms: float = 0.0  # when the next probe request is due
    probe_sent_ms: float | None = None  # when the probe that has no response was sent
    watched: bool = False  # the next check of its silence is scheduled
    last_decrease_ms: float = -math.inf
    last_use_ms: float = -math.inf  # the last response on a connection that may still be open
    removed: bool = False  # it is not in the endpoint list any more

    def capacity_share(self, now: float, start_capacity: float, warm_up_ms: float) -> float:
        """The part of its capacity that it has, from `start_capacity` to 1 over the warm-up."""
        age_ms = max(0.0, now - self.warm_up_start_ms)
        return min(1.0, start_capacity + (1.0 - start_capacity) * age_ms / max(1.0, warm_up_ms))

    def resize(self, factor: float, least: float) -> None:
        """This balancer's part of what all may have out has changed by that factor."""
        self.min_limit = least
        self.limit = max(least, self.limit * factor)


@dataclass(slots=True)
class KeyQueue:
    """Requests of one key that run one at a time."""

    requests: "deque[RequestState]" = field(default_factory=deque)  # in the order of their arrival
    settled_ms: float = -math.inf  # no request of the key is sent before


@dataclass(slots=True, eq=False)
class RequestState:
    """One request: it owns its attempts and its single final answer."""

    id: str
    request_class: api.RequestClass
    key: str | None
    ring_point: int
    write: bool
    useful_until_ms: float  # the time after which a response is of no use
    deadline_ms: float
    over_quota: bool  # it is beyond its tenant's quota, or late already
    latency: LatencyEstimate  # of its class at cache servers
    key_load: float = 0.0  # its key's load, in loads of a mean server
    hedge_number: int = 0  # the number of its hedged attempt, 0 if there is none
    key_queue: KeyQueue | None = None  # where its class asks for per-key ordering
    queued: bool = False  # it waits for the requests before it in the key queue
    attempts: int = 0
    # attempt number -> (server, time sent) of the attempts in flight
    in_flight: dict[int, tuple[Server, float]] = field(default_factory=dict)
    tried_servers: list[Server] = field(default_factory=list)
    possible_run_ms: float | None = None  # when the first attempt that may have run was sent
    possible_run_server: Server | None = None
    fetching: bool = False  # its fetch serves all requests of its key
    waiting: bool = False  # for another request's fetch or a slot at the origin
    follows_miss: bool = False  # its next attempt follows a miss and is not a retry
    stream_started: bool = False  # the client has the beginning of its stream
    done: bool = False
