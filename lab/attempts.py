"""Attempts by themselves: the proxy's connection pools and stand-in nodes, without clients and decisions."""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from cloverwell.back.cache_connection import CacheConnection
from cloverwell.back.pools import NodePools
from cloverwell.connections.budget import DescriptorBudget
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import ConnectionUse, NodeConnectionPolicy
from cloverwell.facade import AttemptOutcome, SendAttempt
from cloverwell.log import Log
from cloverwell.memory_budget import Urgency
from cloverwell.request import Attempt
from cloverwell.timer_wheel import TimerWheel
from lab.cache_nodes import CacheNode
from lab.net import Net

GRACE_MS = 950.0


@dataclass
class AttemptCount:
    """The outcomes of attempts, and for how long the served ones waited until they were written.

    `costly_lost` counts attempts that must not be retried and were lost after their last byte.
    """

    outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)
    waits_ms: list[float] = field(default_factory=list)
    costly_lost: int = 0

    @property
    def attempts(self) -> int:
        """The number of attempts that have ended."""
        return sum(self.outcomes.values())


class Rig:
    """Pools on a virtual network, and a source of attempts for them."""

    def __init__(
        self,
        nodes: int,
        descriptors: int = 512,
        idle_close_ms: float = 120_000.0,
        make_policy: Callable[[float, float], NodeConnectionPolicy] | None = None,
    ) -> None:
        """Makes the nodes and their pools; `make_policy` makes a policy from an idle time and the time."""
        self.net = Net()
        self.now = self.net.now_ms
        self.timer_wheel = TimerWheel(self.net, 5.0, self.now)
        self.metrics = ConnectionMetrics()
        self.budget = DescriptorBudget(descriptors)
        idle_ms = 0.5 * idle_close_ms
        self.node_policy = (
            make_policy(idle_ms, self.now()) if make_policy else NodeConnectionPolicy(idle_ms, GRACE_MS)
        )
        self.pools = NodePools(
            self.net,
            self.timer_wheel,
            Log(self.now, io.StringIO()),
            lambda pool, asked_ms: CacheConnection(pool, asked_ms),
            self.budget,
            self.node_policy,
            self.metrics,
            max_attempts_per_connection=8,
            connect_timeout_ms=250.0,
        )
        self.tally = AttemptCount()
        self.nodes: list[CacheNode] = []
        self._names: list[str] = []
        self._open = 0
        self._count = 0
        for number in range(nodes):
            self.nodes.append(CacheNode(self.net, (f"127.0.1.{number % 250}", 1000 + number), seed=number))
            self._names.append(f"s{number}")
            self.pools.add(f"s{number}", *self.nodes[-1].address, False, -1.0)
        self.timer_wheel.start()

    @property
    def stale(self) -> int:
        """The number of attempts that were lost on a stale connection; these nodes fail in no other way."""
        ends = self.tally.outcomes
        return ends[AttemptOutcome.RESET] + ends[AttemptOutcome.TIMED_OUT]

    @property
    def handshakes(self) -> int:
        """The number of connections that all nodes have accepted."""
        return sum(node.handshakes for node in self.nodes)

    def attempt(self, place: int, costly: bool = False, timeout_ms: float = 1000.0) -> Attempt:
        """Starts an attempt at the node with this index, and returns it."""
        self._count += 1
        name, now = f"r{self._count}", self.now()
        request = SimpleNamespace(
            is_over=False,
            id=name,
            key="k",
            is_write=False,
            memory_urgency=lambda: Urgency.PROMPT,
            info_with_deadline=lambda wait_ms: f"c=page,d={int(wait_ms)}",
            deadline_ms=now + timeout_ms,
        )
        choice = SendAttempt(name, self._names[place], 0, timeout_ms)
        pool = self.pools.pool_of(self._names[place])
        attempt = Attempt(choice, request, now + 250.0, self._ended, pool, now + timeout_ms, costly)
        attempt.timer = self.timer_wheel.call_not_before(
            now + timeout_ms, lambda: pool.give_up(attempt, AttemptOutcome.TIMED_OUT)
        )
        attempt.created_ms = now
        pool.start(attempt)
        return attempt

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, body: bytes) -> None:
        self.tally.outcomes[outcome] += 1
        if outcome is AttemptOutcome.SERVED:
            self.tally.waits_ms.append(attempt.written_ms - attempt.created_ms)
        elif attempt.forbids_retry and attempt.written_ms is not None:
            self.tally.costly_lost += 1

    def load(self, per_s: float, seconds: float, seed: int = 1, costly_share: float = 0.05) -> None:
        """Runs Poisson arrivals over all nodes, with busy and quiet spells, so that idle times differ."""
        rng, end = Random(seed), self.net.seconds() + seconds
        while self.net.seconds() < end:
            slow = 0.2 if int(self.net.seconds() / 7.0) % 3 == 0 else 1.4
            self.net.run_for(rng.expovariate(per_s * slow))
            self.attempt(rng.randrange(len(self._names)), rng.random() < costly_share)
        self.net.run_for(2.0)

    def percentile(self, share: float) -> float:
        """Returns the wait that this share of the served attempts does not exceed; 0 if none was served."""
        waits = sorted(self.tally.waits_ms)
        return waits[min(len(waits) - 1, int(share * len(waits)))] if waits else 0.0


class Fixed(NodeConnectionPolicy):
    """A baseline policy with one idle time for all nodes.

    It writes each attempt at once, opens no connection ahead, and learns no limits.
    """

    def __init__(self, idle_ms: float, now: float) -> None:
        """`idle_ms` is the idle time after which a connection is retired."""
        super().__init__(idle_ms, GRACE_MS)

    def choose_use(self, node: str, idle_age_ms: float | None, costly: bool) -> ConnectionUse:
        """Retires a connection that was idle for too long, and writes attempts at once otherwise."""
        return (
            ConnectionUse.RETIRE
            if idle_age_ms is not None and idle_age_ms >= self.idle_limits.max_ms
            else ConnectionUse.WRITE_ALL
        )

    def idle_limit_ms(self, node: str) -> float:
        """Returns the one idle time."""
        return self.idle_limits.max_ms

    def open_ahead_count(self, node: str, open_count: int, now: float) -> int:
        """Returns 0: no connection is opened ahead."""
        return 0

    def may_open(self, node: str, open_count: int, now: float) -> bool:
        """Returns True: the number of connections has no learnt limit."""
        return True


def _silently(rig: Rig, limit_of: Callable[[int], Callable[[float], float]]) -> None:
    for number, node in enumerate(rig.nodes):
        node.idle_s = limit_of(number)


def _changes(start: float) -> Callable[[float], float]:
    return lambda now_s: 0.5 if now_s < start + 40 else 20.0 if now_s < start + 80 else 2.0


def _behind_balancer(rig: Rig) -> None:
    _silently(rig, lambda number: lambda now_s: 0.8)
    for node in rig.nodes:
        node.drops_flow = True


def _far(rig: Rig) -> None:
    _silently(rig, lambda number: lambda now_s: 0.5)
    for node in rig.nodes:
        rig.net.path(node.address).latency_s = 0.01


def _says_so(rig: Rig) -> None:
    _silently(rig, lambda number: lambda now_s: 0.5)
    for node in rig.nodes:
        node.says_so = True


# What nodes do with idle connections, by name; each function sets up the nodes of a rig.
PATTERNS: dict[str, Callable[[Rig], None]] = {
    "kept for ever": lambda rig: None,
    "silent after 0.5 s": lambda rig: _silently(rig, lambda number: lambda now_s: 0.5),
    "half 0.5 s, half 60 s": lambda rig: _silently(
        rig, lambda number: lambda now_s: 0.5 if number % 2 else 60.0
    ),
    "0.5 s, 20 s, then 2 s": lambda rig: _silently(rig, lambda number: _changes(rig.net.seconds())),
    "says so after 0.5 s": _says_so,
    "flows dropped after 0.8 s": _behind_balancer,
    "10 ms away, 0.5 s": _far,
}
