"""What balancer.py remembers of a server, of the fleet's pace and of a request: measures, no decisions."""

import math
from collections import deque
from dataclasses import dataclass, field

from balancer import api

RATE_MS = 2000.0  # shortest memory of latencies: some answers even in a large fleet, yet follows a burst
PACE_MS = 5000.0  # longest memory of the pooled latencies
FRESH = 0.1  # weight of the newest latency in the running means: about the last ten to twenty answers


@dataclass(slots=True)
class Pace:
    """Latencies pooled over many answers: one server may answer this balancer once in half a minute."""

    mean_ms: float  # running mean; starts as a guess that counts as one answer
    floor_ms: float = 0.0  # the lowest that a slower mean has been, once there is one
    slow_ms: float = 0.0  # that slower mean
    answers: int = 1
    heard_ms: float = -math.inf  # the last answer
    gap_ms: float = 0.0  # between the last two

    def fading_ms(self, now: float) -> float:
        """The mean, less of it the longer no answer has come."""
        # Whom this balancer meets once in many seconds it must remember for as long.
        memory = max(RATE_MS, 2 * self.gap_ms)
        return self.mean_ms * math.exp(-max(0.0, now - self.heard_ms - memory) / memory)

    def learn(self, now: float, took: float) -> None:
        """One more answer, which took so many ms."""
        self.answers += 1
        # The long past counts little: while most is dropped, few answers tell of better times.
        gap = self.gap_ms = min(PACE_MS, now - self.heard_ms)
        self.heard_ms = now
        fresh = min(FRESH, gap / RATE_MS)
        self.mean_ms += (took - self.mean_ms) * max(fresh, 1 / self.answers, 1 - math.exp(-gap / PACE_MS))
        self.slow_ms += (took - self.slow_ms) * max(fresh / 4, 1 / (self.answers - 1))
        if self.answers > 2 / FRESH:
            self.floor_ms = min(self.floor_ms or self.slow_ms, self.slow_ms)


@dataclass(slots=True, eq=False)
class Server:
    entry: api.ServerEntry
    origin: bool
    pace: Pace  # of its answers
    kin: Pace  # of the answers of all servers of its kind
    limit: float  # of requests out; moves with the answers
    least: float  # the bound goes no lower
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

    def warmth(self, now: float, start_capacity: float, warm_up_ms: float) -> float:
        """The part of its capacity that it has, from `start_capacity` to 1 over the warm-up."""
        age_ms = max(0.0, now - self.warm_from_ms)
        return min(1.0, start_capacity + (1.0 - start_capacity) * age_ms / max(1.0, warm_up_ms))

    def resize(self, factor: float, least: float) -> None:
        """This balancer's part of what all may have out has changed by that factor."""
        self.least = least
        self.limit = max(least, self.limit * factor)


@dataclass(slots=True)
class Span:
    """The time that a first try of a class has left: by far the most common one."""

    left_ms: float = 0.0
    votes: int = 0

    def is_usual(self, left_ms: float, near_ms: float, most: int) -> bool:
        """Whether a try with so much left is a first one; it votes on what that is, by so many at most."""
        near = abs(left_ms - self.left_ms) <= near_ms
        self.votes = min(self.votes + 1, most) if near else self.votes - 1
        if self.votes < 0:  # the majority of what has come
            self.left_ms, self.votes, near = left_ms, 1, True
        return near


@dataclass(slots=True)
class Quota:
    """A token bucket of one tenant's requests."""

    tokens: float
    since_ms: float = 0.0

    def spend(self, now: float, per_s: float, most: float) -> bool:
        """Takes one token where there is one; `per_s` come in, `most` are held."""
        self.tokens = min(most, self.tokens + (now - self.since_ms) * per_s / 1000)
        self.since_ms = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


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
