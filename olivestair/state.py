"""What decide.py remembers of a server, of the fleet's pace and of a request: plain types, no decisions."""

import math
from collections import deque
from dataclasses import dataclass, field

from olivestair import api


@dataclass(slots=True)
class Pace:
    """Latencies pooled over many answers: one server may answer this balancer once in half a minute."""

    mean_ms: float  # running mean; starts as a guess that counts as one answer
    floor_ms: float = 0.0  # the lowest that a slower mean has been, once there is one
    slow_ms: float = 0.0  # that slower mean
    answers: int = 1
    heard_ms: float = -math.inf  # the last answer
    gap_ms: float = 0.0  # between the last two


@dataclass(slots=True, eq=False)
class Server:
    entry: api.ServerEntry
    origin: bool
    pace: Pace  # of its answers
    kin: Pace  # of the answers of all servers of its kind
    limit: float  # of requests out; moves with the answers
    least: float  # the bound goes no lower
    calm_ms: float  # a mean latency under it is never crowded
    warm_from_ms: float = -math.inf
    out: dict = field(default_factory=dict)  # (request id, attempt number) -> (Record, sent_ms)
    overtaken_ms: float = -math.inf  # the latest send that has been answered
    breaks: int = 0  # resets since its last answer
    heard_ms: float = 0.0  # last answer, or first send after a time with nothing out
    missed_ms: float | None = None  # when it was marked
    trial_ms: float = 0.0  # next trial
    probed_ms: float | None = None  # a probe is out, or got no answer, since then
    watched: bool = False  # a look at its silence is due
    cut_ms: float = -math.inf
    used_ms: float = -math.inf  # last answer on a connection that may be open since
    left: bool = False  # off the list


@dataclass(slots=True)
class Span:
    """The time that a first try of a class has left: by far the most common one."""

    left_ms: float = 0.0
    votes: int = 0


@dataclass(slots=True)
class Turn:
    """Requests of one key that run one at a time."""

    line: deque = field(default_factory=deque)  # of Records, in the order taken
    rest_ms: float = -math.inf  # nothing is sent before


@dataclass(slots=True, eq=False)
class Record:
    """One request: it owns its attempts and its single final answer."""

    id: str
    cls: api.RequestClass
    key: str | None
    point: int
    write: bool
    use_ms: float  # clock times: an answer after that is of no use
    deadline_ms: float
    excess: bool  # beyond its tenant's share
    pace: Pace  # of its class at cache servers
    heat: float = 0.0  # its key's load, in loads of a mean server
    again: int = 0  # the number of its second copy
    turn: Turn | None = None  # where its class runs in turn
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
