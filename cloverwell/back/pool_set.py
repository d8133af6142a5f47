"""What one node's pool needs of all of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorTCP

from cloverwell.back.node_connection import NodeConnection
from cloverwell.connections.back import Back
from cloverwell.connections.budget import Budget
from cloverwell.connections.figures import Figures
from cloverwell.log import Log
from cloverwell.timer_wheel import Wheel


class PoolSet(Protocol):
    """All nodes' pools, as one of them sees them. A pool itself is `back.pool.Pool`."""

    reactor: IReactorTCP
    wheel: Wheel
    log: Log
    budget: Budget
    back: Back
    figures: Figures
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
