"""The processes of the control log's virtual world: control nodes and proxies with clocks, disks and
loading."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cloverwell.control.control_node import ControlNode
from cloverwell.control.effects import ApplyEntry, ApplySnapshot
from cloverwell.control.entry import Entry
from cloverwell.control.messages import ProposalAnswer
from cloverwell.control.storage import MemoryStorage
from cloverwell.control.subscription import Subscription


@dataclass(slots=True)
class Clock:
    """A process's monotonic clock: `start` at true time 0, `rate` of its ms in a true one."""

    start: float
    rate: float

    def at(self, now: float) -> float:
        return self.start + now * self.rate

    def true(self, reading: float) -> float:
        return (reading - self.start) / self.rate


@dataclass(slots=True)
class Process:
    """What nodes and proxies have in common. `run` tells an event of an earlier run from one of this."""

    name: str
    region: str
    clock: Clock
    run: int = 0
    up: bool = False
    due: float = float("inf")


@dataclass(slots=True)
class NodeProcess(Process):
    storage: MemoryStorage = field(default_factory=MemoryStorage)
    node: ControlNode | None = None
    lost_until: float = float("-inf")  # what it had sent by then, and was under way, is lost
    answers: dict[int, ProposalAnswer] = field(default_factory=dict)


@dataclass(slots=True)
class ProxyProcess(Process):
    """`load_ms`: how long a load takes; `load`: why an entry can't be loaded, None if it can."""

    subscription: Subscription | None = None
    load_ms: float = 0.0
    load: Callable[[Entry], str | None] = lambda entry: None
    serving: dict[str, Entry] = field(default_factory=dict)  # in force, by kind
    loads: list[ApplyEntry | ApplySnapshot] = field(default_factory=list)  # of this run


@dataclass(slots=True)
class Connection:
    """A stream between a proxy and a node. A message lost to a cut stalls all behind it."""

    number: int
    proxy: str
    run: int
    attempt: int
    node: str
    gone: set[str] = field(default_factory=set)  # who has closed it, or knows that it has ended
    stalled: bool = False
    last_at: dict[str, float] = field(default_factory=dict)  # by receiver: nothing overtakes
