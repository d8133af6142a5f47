"""What the pool of one node needs of the pools of all nodes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol, TypeVar

from twisted.internet.protocol import ClientFactory

from cloverwell.back.node_connection import NodeConnection
from cloverwell.connections.budget import DescriptorBudget
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.log import Log
from cloverwell.timer_wheel import TimerWheel


class TcpConnector(Protocol):
    """What a pool needs of the reactor; the methods of `IReactorTCP` have no types for callers."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Opens a connection; `timeout` is in seconds."""


NodePool = TypeVar("NodePool")  # the type of one node's pool, `back.pool.Pool`


class PoolContext(Protocol[NodePool]):
    """The shared parts and limits of all nodes' pools, as one of them sees them."""

    reactor: TcpConnector
    timer_wheel: TimerWheel
    log: Log
    budget: DescriptorBudget
    node_policy: NodeConnectionPolicy
    metrics: ConnectionMetrics
    max_attempts_per_connection: int  # the most on one connection
    connect_timeout_ms: float
    single_attempt_in_flight: bool  # whether a request must not have two attempts in flight at once
    idle: OrderedDict[NodeConnection, NodePool]  # of all nodes, the longest idle first
    partial_answers: dict[NodeConnection, int]  # the checks since more of the answer came
    build: Callable[[NodePool, float], NodeConnection]

    def may_open(self, pool: NodePool) -> bool:
        """Tells whether the pool may open a connection within its node's cap and the descriptor budget."""

    def may_open_spare(self) -> bool:
        """Tells whether a connection may be opened that no attempt waits for."""

    def wake(self, pool: NodePool) -> None:
        """Has the next sweep visit the pool, whose state has changed."""
