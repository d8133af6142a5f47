"""All nodes' pools, within one budget of descriptors."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTCP

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool import Pool
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.connections.schedule import Schedule
from cloverwell.log import Log
from cloverwell.timer_wheel import TimerWheel

SWEEP_MS = 50.0
STALL_MS, STALL_LOOKS = 25.0, 4  # an answer that has begun and does not go on for so many looks is given up
AHEAD_ROOM = 0.1  # of the descriptors: so many stay free when connections are opened ahead


class NodePools:
    """All nodes' pools, within one budget of descriptors."""

    def __init__(
        self,
        reactor: IReactorTCP,
        timer_wheel: TimerWheel,
        log: Log,
        build: Callable[[Pool, float], NodeConnection],
        budget: DescriptorBudget,
        back: NodeConnectionPolicy,
        metrics: ConnectionMetrics,
        attempts_each: int,
        connect_timeout_ms: float,
        hold: bool = False,
    ) -> None:
        self.reactor = reactor
        self.timer_wheel = timer_wheel
        self.log = log
        self.build = build
        self.budget = budget
        self.back = back
        self.metrics = metrics
        self.attempts_each = attempts_each
        self.connect_timeout_ms = connect_timeout_ms
        # whether an attempt that we close stays out until the close can have reached its node
        self.hold = hold
        self.borrow: Callable[[], None] = lambda: None  # asks the clients' side for a descriptor
        self._pools: dict[str, Pool] = {}
        self._schedule: Schedule[Pool] = Schedule()
        self.back.limits.changed = self._limits_changed
        self.idle: OrderedDict[NodeConnection, Pool] = OrderedDict()  # of all nodes, longest idle first
        self.begun: dict[NodeConnection, int] = {}  # part of an answer is there: looks since more of it came
        self._sweep()
        self._look_for_stalls()

    def _look_for_stalls(self) -> None:
        # Looks are counted, not time: a loop that was held up has not read what came meanwhile.
        for connection, looks in list(self.begun.items()):
            if looks >= STALL_LOOKS:
                connection.framingLost("it stopped short")
            else:
                self.begun[connection] = looks + 1
        self.timer_wheel.not_before(self.timer_wheel.now() + STALL_MS, self._look_for_stalls)

    def _sweep(self) -> None:
        now = self.timer_wheel.now()
        if self.timer_wheel.just_stalled:  # nothing is too old before what came meanwhile is read
            self.timer_wheel.at(now, self._sweep)
            return
        for pool in self._schedule.sweep(now):
            self._visit(pool, now)
        self.back.limits.tick(now)
        self.timer_wheel.at(now + SWEEP_MS, self._sweep)

    def _visit(self, pool: Pool, now: float) -> None:
        pool.sweep(now)
        if pool.left and pool.unused:  # successors have new names: the pools of the gone would gather
            del self._pools[pool.node]
            self._schedule.discard(pool)
            self.back.forget(pool.node)
            self.metrics.forget(pool.node)
            return
        wanted = not pool.left and pool.open_ahead(now)
        self._schedule.at(pool, now if wanted else pool.due_ms(now))

    def wake(self, pool: Pool) -> None:
        """Something befell the pool that its next sweep may have to answer."""
        self._schedule.wake(pool)

    def _limits_changed(self, node: str | None) -> None:
        """The idle limit of a node may be another, or that of all: what is idle may be due sooner."""
        if node is None:
            self._schedule.wake_all()
        elif (pool := self._pools.get(node)) is not None:
            self._schedule.wake(pool)

    def _add(self, node: str, origin: bool) -> Pool:
        pool = self._pools[node] = Pool(self, node, origin)
        self._schedule.add(pool)
        return pool

    def of(self, node: str) -> Pool:
        if node not in self._pools:  # it left while its choice was on the way: a failure to connect
            self._add(node, origin=False).left = True
        return self._pools[node]

    def names(self) -> set[str]:
        return set(self._pools)

    def name(self, node: str, host: str, port: int, origin: bool, cold_until_ms: float) -> None:
        """A node that the server list names, with its address as it is now."""
        pool = self._pools.get(node)
        if pool is None:
            pool = self._add(node, origin)
        pool.left = False
        self.wake(pool)
        self.back.named(node, pool.kind, cold_until_ms)
        if pool.address != (host, port):
            pool.hang_up()
            for connection in pool.connections:
                connection.moved = True
            pool.address = (host, port)

    def hang_up(self, node: str) -> None:
        """Closes idle connections, if the node wants their places; what is out at the node is let finish.

        That they may be stale is no reason here: their ages are known better, and looked at before each use.
        """
        if (pool := self._pools.get(node)) is not None and self.back.crammed(node):
            pool.hang_up()

    def leave(self, node: str) -> None:
        """The node drains or is gone: a connection that falls idle from now on is of no more use."""
        if (pool := self._pools.get(node)) is not None:
            pool.left = True
            self.wake(pool)
            self.back.left(node, self.timer_wheel.now())
            pool.hang_up()

    def may_open(self, pool: Pool) -> bool:
        """Within the node's cap and the budget; an idle connection of another node makes room."""
        if not self.back.may_open(pool.node, pool.held, self.timer_wheel.now()):
            return False
        if not self.budget.room(DescriptorSide.NODES) and not self.lend():
            self.borrow()
        return self.budget.room(DescriptorSide.NODES) > 0

    def lend(self) -> bool:
        """Closes the connection that has been idle longest."""
        if not self.idle:
            return False
        connection, pool = next(iter(self.idle.items()))
        pool.retire(connection)
        return True

    def shrink(self) -> None:
        """The budget has become smaller: what is idle goes."""
        while self.budget.over and self.lend():
            pass

    def spare_room(self) -> bool:
        """Whether one may be opened that no attempt waits for: not with the last descriptors."""
        return self.budget.room(DescriptorSide.NODES) > AHEAD_ROOM * self.budget.total
