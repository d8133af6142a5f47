"""A server's cores, slots and waiting room, without I/O: work in, ends out, time as an argument.

Used for cache nodes and for the origin. One request takes one core; what no core is free for waits, up to
`room`; beyond that it is turned away unseen. A server that has just started is cold: it does a share of its
full speed, which rises evenly until it is warm.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Job:
    """One request's work; it waits until it has begun."""

    name: str
    work_s: float  # on a core of speed 1
    begun_s: float = 0.0
    ends_s: float = 0.0


@dataclass(slots=True)
class Server:
    """The cores of one machine and the requests that run or wait there."""

    cores: int
    speed: float
    room: int
    born_s: float = -1e9
    cold_share: float = 1.0
    warm_s: float = 1.0
    running: dict[str, Job] = field(default_factory=dict)
    waiting: deque[Job] = field(default_factory=deque)
    done_s: float = 0.0  # core seconds of work that ended

    def pace(self, now: float) -> float:
        """Work a core does in a second."""
        warmth = min(1.0, max(0.0, (now - self.born_s) / self.warm_s))
        return self.speed * (self.cold_share + (1.0 - self.cold_share) * warmth)

    def capacity(self, now: float) -> float:
        """Core seconds of standard work in a second, now."""
        return self.cores * self.pace(now)

    def offer(self, now: float, name: str, work_s: float) -> list[Job] | None:
        """Takes the request and returns the jobs that begin now, it or none; None: there is no room."""
        job = Job(name, work_s)
        if len(self.running) < self.cores:
            return [self._begin(now, job)]
        if len(self.waiting) >= self.room:
            return None
        self.waiting.append(job)
        return []

    def finish(self, now: float, name: str) -> list[Job]:
        """Ends or cancels a job, and returns the jobs that begin in its place."""
        job = self.running.pop(name, None)
        if job is None:
            self.waiting = deque(other for other in self.waiting if other.name != name)
            return []
        self.done_s += job.work_s * min(1.0, (now - job.begun_s) / max(1e-9, job.ends_s - job.begun_s))
        return [self._begin(now, self.waiting.popleft())] if self.waiting else []

    def _begin(self, now: float, job: Job) -> Job:
        job.begun_s, job.ends_s = now, now + job.work_s / self.pace(now)
        self.running[job.name] = job
        return job

    def clear(self) -> None:
        """Drops all jobs, as at the end of the process."""
        self.running.clear()
        self.waiting.clear()


class Keys:
    """The keys that a node keeps, least recently used out first."""

    def __init__(self, most: int) -> None:
        """`most`: keys that are kept."""
        self.most = most
        self._kept: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """How many keys are kept."""
        return len(self._kept)

    def hit(self, key: str) -> bool:
        """Whether the key is kept; if so, it is the one used last."""
        if key not in self._kept:
            return False
        self._kept.move_to_end(key)
        return True

    def store(self, key: str) -> None:
        """Keeps the key, and drops the one used longest ago if there are too many."""
        self._kept[key] = None
        self._kept.move_to_end(key)
        if len(self._kept) > self.most:
            self._kept.popitem(last=False)

    def void(self, key: str) -> None:
        """Drops the key."""
        self._kept.pop(key, None)

    def void_some(self, wanted: list[str]) -> None:
        """Drops these keys."""
        for key in wanted:
            self.void(key)

    def all(self) -> list[str]:
        """The keys, the one used longest ago first."""
        return list(self._kept)

    def clear(self) -> None:
        """Drops all keys."""
        self._kept.clear()
