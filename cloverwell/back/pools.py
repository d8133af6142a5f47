"""The connection pools of all nodes, within one budget of descriptors."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool import Pool
from cloverwell.back.pool_context import TcpConnector
from cloverwell.codec.errors import MalformedMessageError, MalformedReason
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.connections.schedule import Schedule
from cloverwell.log import Log
from cloverwell.memory_budget import MemoryBudget, unlimited_memory
from cloverwell.timer_wheel import TimerWheel

SWEEP_MS = 50.0  # the time between two sweeps of the pools
CHECK_MS = 25.0  # the time between two checks of the answers that have begun to arrive
MAX_CHECKS_WITHOUT_DATA = 4  # a partial answer is given up after this many checks without new data
SPARE_SHARE = 0.1  # the share of the descriptors that are kept free while connections are opened ahead


class NodePools:
    """The connection pools of all nodes, within one budget of descriptors."""

    def __init__(
        self,
        reactor: TcpConnector,
        timer_wheel: TimerWheel,
        log: Log,
        build: Callable[[Pool, float], NodeConnection],
        budget: DescriptorBudget,
        node_policy: NodeConnectionPolicy,
        metrics: ConnectionMetrics,
        max_attempts_per_connection: int,
        connect_timeout_ms: float,
        single_attempt_in_flight: bool = False,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Starts the periodic sweeps.

        `build` creates a connection from its pool and the time at which the pool began to open it.
        `max_attempts_per_connection` is the most that one connection carries at a time. With
        `single_attempt_in_flight`, an attempt that the proxy closes counts as in flight until the close can
        have reached its node. `memory` is the process's budget, if any.
        """
        self.memory = memory or unlimited_memory()
        self.reactor = reactor
        self.timer_wheel = timer_wheel
        self.log = log
        self.build = build
        self.budget = budget
        self.node_policy = node_policy
        self.metrics = metrics
        self.max_attempts_per_connection = max_attempts_per_connection
        self.connect_timeout_ms = connect_timeout_ms
        self.single_attempt_in_flight = single_attempt_in_flight
        self.request_descriptor: Callable[[], None] = lambda: None  # asks the clients' side for a descriptor
        self._pools: dict[str, Pool] = {}
        self._schedule: Schedule[Pool] = Schedule()
        self.node_policy.idle_limits.on_change = self._limits_changed
        # The idle connections to all nodes, the longest idle one first.
        self.idle: OrderedDict[NodeConnection, Pool] = OrderedDict()
        self.partial_answers: dict[NodeConnection, int] = {}  # the number of checks since data last arrived
        self._sweep()
        self._check_partial_answers()

    def _check_partial_answers(self) -> None:
        """Closes connections on which an answer has begun to arrive and then stopped.

        Checks are counted instead of time: after an event-loop stall, data that arrived meanwhile is unread.
        """
        for connection, checks in list(self.partial_answers.items()):
            if checks >= MAX_CHECKS_WITHOUT_DATA:
                connection.framingLost(MalformedMessageError(MalformedReason.STOPPED))
            else:
                self.partial_answers[connection] = checks + 1
        self.timer_wheel.call_not_before(self.timer_wheel.now() + CHECK_MS, self._check_partial_answers)

    def _sweep(self) -> None:
        now = self.timer_wheel.now()
        if self.timer_wheel.just_stalled:  # Data that arrived during the stall must be read before the sweep.
            self.timer_wheel.call_by(now, self._sweep)
            return
        for pool in self._schedule.sweep(now):
            self._visit(pool, now)
        self.node_policy.idle_limits.decay_due(now)
        self.timer_wheel.call_by(now + SWEEP_MS, self._sweep)

    def _visit(self, pool: Pool, now: float) -> None:
        pool.sweep(now)
        if pool.has_left and pool.is_unused:  # New nodes have new names: old pools would accumulate.
            self._remove(pool)
            return
        wants_open_ahead = not pool.has_left and pool.open_ahead(now)
        self._schedule.visit_at(pool, now if wants_open_ahead else pool.next_sweep_ms(now))

    def _remove(self, pool: Pool) -> None:
        del self._pools[pool.node]
        self._schedule.discard(pool)
        self.node_policy.forget(pool.node)
        self.metrics.forget(pool.node)

    def wake(self, pool: Pool) -> None:
        """Makes the next sweep visit the pool, since its state has changed."""
        self._schedule.wake(pool)

    def _limits_changed(self, node: str | None) -> None:
        """Wakes the pool of a node, or all pools for None, since its idle limit may have become shorter."""
        if node is None:
            self._schedule.wake_all()
        elif (pool := self._pools.get(node)) is not None:
            self._schedule.wake(pool)

    def _add(self, node: str, is_origin: bool) -> Pool:
        pool = self._pools[node] = Pool(self, node, is_origin)
        self._schedule.add(pool)
        return pool

    def pool_of(self, node: str) -> Pool:
        """Returns the pool of a node.

        A node that left the endpoint list after it had been selected for an attempt gets a pool without an
        address, where each attempt ends as not connected.
        """
        if node not in self._pools:
            self._add(node, is_origin=False).has_left = True
        return self._pools[node]

    def node_names(self) -> set[str]:
        """Returns the names of the nodes that have a pool."""
        return set(self._pools)

    def add(self, node: str, host: str, port: int, is_origin: bool, cold_until_ms: float) -> None:
        """Adds a node of the endpoint list, or updates its address."""
        pool = self._pools.get(node)
        if pool is None:
            pool = self._add(node, is_origin)
        pool.has_left = False
        self.wake(pool)
        self.node_policy.record_listed(node, pool.kind, cold_until_ms)
        if pool.address != (host, port):
            pool.close_idle()
            for connection in pool.connections:
                connection.address_changed = True
            pool.address = (host, port)

    def close_idle(self, node: str) -> None:
        """Closes a node's idle connections if the node needs them closed; attempts in flight go on.

        That a connection may be stale is no reason to close it here: its age is checked before it is used.
        """
        if (pool := self._pools.get(node)) is not None and self.node_policy.should_close_idle(node):
            pool.close_idle()

    def mark_left(self, node: str) -> None:
        """Marks a node that drains or was removed; its connections are closed as soon as they are idle."""
        if (pool := self._pools.get(node)) is not None:
            pool.has_left = True
            self.wake(pool)
            self.node_policy.record_left(node, self.timer_wheel.now())
            pool.close_idle()

    def may_open(self, pool: Pool) -> bool:
        """Returns whether the pool may open a connection within its node's cap and the descriptor budget.

        If the budget is used up, an idle connection is closed for it, or the clients' side is asked for one.
        """
        if not self.node_policy.may_open(pool.node, pool.connection_count, self.timer_wheel.now()):
            return False
        if not self.budget.available(DescriptorSide.NODES) and not self.release_descriptor():
            self.request_descriptor()
        return self.budget.available(DescriptorSide.NODES) > 0

    def release_descriptor(self) -> bool:
        """Closes the connection that has been idle longest. Returns False if there is none."""
        if not self.idle:
            return False
        connection, pool = next(iter(self.idle.items()))
        pool.retire(connection)
        return True

    def shrink(self) -> None:
        """Closes idle connections until the others fit into a budget that has become smaller."""
        while self.budget.excess and self.release_descriptor():
            pass

    def may_open_spare(self) -> bool:
        """Returns whether enough descriptors are free to open a connection before an attempt needs it."""
        return self.budget.available(DescriptorSide.NODES) > SPARE_SHARE * self.budget.total
