"""What one node's pool needs of all of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorTCP

from cloverwell.back.node_connection import NodeConnection
from cloverwell.connections.budget import DescriptorBudget
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.log import Log
from cloverwell.timer_wheel import TimerWheel


class PoolContext(Protocol):
    """All nodes' pools, as one of them sees them. A pool itself is `back.pool.Pool`."""

    reactor: IReactorTCP
    timer_wheel: TimerWheel
    log: Log
    budget: DescriptorBudget
    back: NodeConnectionPolicy
    metrics: ConnectionMetrics
    attempts_each: int
    connect_timeout_ms: float
    hold: bool
    idle: OrderedDict[NodeConnection, Any]
    begun: dict[NodeConnection, int]
    build: Callable[[Any, float], NodeConnection]

    def may_open(self, pool: Any) -> bool:
        """Within the node's cap and the budget."""

    def spare_room(self) -> bool:
        """Whether one may be opened that no attempt waits for."""

    def wake(self, pool: Any) -> None:
        """Something befell the pool that its next sweep may have to answer."""
