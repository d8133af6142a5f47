"""The connection pools of all nodes, within one budget of descriptors."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool import Pool
from cloverwell.back.pool_context import TcpConnector
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.connections.schedule import Schedule
from cloverwell.log import Log
from cloverwell.timer_wheel import TimerWheel

SWEEP_MS = 50.0
CHECK_MS = 25.0  # between two checks of the answers that have begun
MAX_CHECKS_WITHOUT_DATA = 4  # so often may an answer have made no progress before it is given up
SPARE_SHARE = 0.1  # of the descriptors, which stays free when connections are opened ahead


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
    ) -> None:
        """Starts the periodic sweeps.

        `build` makes a connection of a pool that was asked for at that time. `max_attempts_per_connection` is
        the most that one connection carries. With `single_attempt_in_flight`, an attempt that the proxy
        closes counts as in flight until the close can have reached its node.
        """
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
        self.idle: OrderedDict[NodeConnection, Pool] = OrderedDict()  # of all nodes, the longest idle first
        self.partial_answers: dict[NodeConnection, int] = {}  # the checks since more of the answer came
        self._sweep()
        self._check_partial_answers()

    def _check_partial_answers(self) -> None:
        # Checks are counted, not time: after an event-loop stall, data that came meanwhile is not read yet.
        for connection, checks in list(self.partial_answers.items()):
            if checks >= MAX_CHECKS_WITHOUT_DATA:
                connection.framingLost("it stopped short")
            else:
                self.partial_answers[connection] = checks + 1
        self.timer_wheel.call_not_before(self.timer_wheel.now() + CHECK_MS, self._check_partial_answers)

    def _sweep(self) -> None:
        now = self.timer_wheel.now()
        if self.timer_wheel.just_stalled:  # nothing is too old before the data that came meanwhile is read
            self.timer_wheel.call_by(now, self._sweep)
            return
        for pool in self._schedule.sweep(now):
            self._visit(pool, now)
        self.node_policy.idle_limits.forget_old(now)
        self.timer_wheel.call_by(now + SWEEP_MS, self._sweep)

    def _visit(self, pool: Pool, now: float) -> None:
        pool.sweep(now)
        if pool.left and pool.unused:  # nodes that come later have new names: these pools would accumulate
            self._remove(pool)
            return
        wanted = not pool.left and pool.open_ahead(now)
        self._schedule.visit_at(pool, now if wanted else pool.due_ms(now))

    def _remove(self, pool: Pool) -> None:
        del self._pools[pool.node]
        self._schedule.discard(pool)
        self.node_policy.forget(pool.node)
        self.metrics.forget(pool.node)

    def wake(self, pool: Pool) -> None:
        """Has the next sweep visit the pool, whose state has changed."""
        self._schedule.wake(pool)

    def _limits_changed(self, node: str | None) -> None:
        """Visits a node's pool, or with None each pool, whose idle limit may have become shorter."""
        if node is None:
            self._schedule.wake_all()
        elif (pool := self._pools.get(node)) is not None:
            self._schedule.wake(pool)

    def _add(self, node: str, origin: bool) -> Pool:
        pool = self._pools[node] = Pool(self, node, origin)
        self._schedule.add(pool)
        return pool

    def pool_of(self, node: str) -> Pool:
        """Returns the pool of a node.

        A node that left while a decision for it was on its way has one without an address, where each attempt
        ends as not connected.
        """
        if node not in self._pools:
            self._add(node, origin=False).left = True
        return self._pools[node]

    def node_names(self) -> set[str]:
        """Returns the names of the nodes that have a pool."""
        return set(self._pools)

    def add(self, node: str, host: str, port: int, origin: bool, cold_until_ms: float) -> None:
        """Takes a node that the endpoint list has, with its address as it is now."""
        pool = self._pools.get(node)
        if pool is None:
            pool = self._add(node, origin)
        pool.left = False
        self.wake(pool)
        self.node_policy.record_listed(node, pool.kind, cold_until_ms)
        if pool.address != (host, port):
            pool.close_idle()
            for connection in pool.connections:
                connection.address_changed = True
            pool.address = (host, port)

    def close_idle(self, node: str) -> None:
        """Closes a node's idle connections if it needs their room; attempts in flight there may finish.

        That the connections may be stale is no reason here: their ages are known better, and are checked
        before each use.
        """
        if (pool := self._pools.get(node)) is not None and self.node_policy.should_close_idle(node):
            pool.close_idle()

    def mark_left(self, node: str) -> None:
        """Takes a node off: it drains or is gone, and a connection that becomes idle is closed."""
        if (pool := self._pools.get(node)) is not None:
            pool.left = True
            self.wake(pool)
            self.node_policy.record_left(node, self.timer_wheel.now())
            pool.close_idle()

    def may_open(self, pool: Pool) -> bool:
        """Tells whether the pool may open a connection within its node's cap and the budget.

        An idle connection of another node makes room for it.
        """
        if not self.node_policy.may_open(pool.node, pool.held, self.timer_wheel.now()):
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
        """Closes idle connections until the rest fits into a budget that has become smaller."""
        while self.budget.excess and self.release_descriptor():
            pass

    def may_open_spare(self) -> bool:
        """Tells whether a connection may be opened that no attempt waits for, with descriptors to spare."""
        return self.budget.available(DescriptorSide.NODES) > SPARE_SHARE * self.budget.total
