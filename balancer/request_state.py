"""What the balancer holds of a request and of a server: state alone, no decisions."""

import math
from collections import deque
from dataclasses import dataclass, field

from balancer import api
from balancer.latency import LatencyEstimate


@dataclass(slots=True, eq=False)
class Server:
    entry: api.ServerEntry
    origin: bool
    pace: LatencyEstimate  # of its answers
    machine_type_latency: LatencyEstimate  # of the answers of all servers of its kind
    limit: float  # of requests out; moves with the answers
    least: float  # the bound goes no lower
    warm_from_ms: float = -math.inf
    out: dict = field(default_factory=dict)  # (request id, attempt number) -> (RequestState, sent_ms)
    overtaken_ms: float = -math.inf  # the latest send that has been answered
    breaks: int = 0  # resets since its last answer
    last_response_ms: float = 0.0  # last answer, or first send after a time with nothing out
    missed_ms: float | None = None  # when it was marked
    next_probe_ms: float = 0.0  # next trial
    probed_ms: float | None = None  # a probe is out, or got no answer, since then
    watched: bool = False  # a look at its silence is due
    cut_ms: float = -math.inf
    used_ms: float = -math.inf  # last answer on a connection that may be open since
    left: bool = False  # off the list

    def warmth(self, now: float, start_capacity: float, warm_up_ms: float) -> float:
        """The part of its capacity that it has, from `start_capacity` to 1 over the warm-up."""
        age_ms = max(0.0, now - self.warm_from_ms)
        return min(1.0, start_capacity + (1.0 - start_capacity) * age_ms / max(1.0, warm_up_ms))

    def resize(self, factor: float, least: float) -> None:
        """This balancer's part of what all may have out has changed by that factor."""
        self.least = least
        self.limit = max(least, self.limit * factor)


@dataclass(slots=True)
class KeyQueue:
    """Requests of one key that run one at a time."""

    line: deque = field(default_factory=deque)  # of Records, in the order taken
    rest_ms: float = -math.inf  # nothing is sent before


@dataclass(slots=True, eq=False)
class RequestState:
    """One request: it owns its attempts and its single final answer."""

    id: str
    cls: api.RequestClass
    key: str | None
    point: int
    write: bool
    use_ms: float  # clock times: an answer after that is of no use
    deadline_ms: float
    excess: bool  # beyond its tenant's share
    pace: LatencyEstimate  # of its class at cache servers
    hot_key_load: float = 0.0  # its key's load, in loads of a mean server
    hedge_number: int = 0  # the number of its second copy
    turn: KeyQueue | None = None  # where its class runs in turn
    held: bool = False  # for its turn
    attempts: int = 0
    out: dict = field(default_factory=dict)  # attempt number -> (Server, sent_ms)
    tried: list = field(default_factory=list)
    ran_ms: float | None = None  # send of the first attempt that may have run
    ran_at: Server | None = None
    fetching: bool = False  # holds its key's single flight
    waiting: bool = False  # for another's fetch or a place at the origin
    prepaid: bool = False  # its next send is outside the budget: a miss pays for it
    begun: bool = False  # its stream is the client's
    done: bool = False
