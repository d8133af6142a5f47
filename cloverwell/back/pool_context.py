"""The interface through which the pool of one node uses the state that all pools share."""

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
from cloverwell.memory_budget import MemoryBudget
from cloverwell.timer_wheel import TimerWheel


class TcpConnector(Protocol):
    """The part of the reactor that opens connections; mypy can't check calls through `IReactorTCP`."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Opens a connection; gives up after `timeout` seconds."""


NodePool = TypeVar("NodePool")  # the type of one node's pool, `back.pool.Pool`


class PoolContext(Protocol[NodePool]):
    """The state that all pools share: the policy, the limits, and the lists of connections of all nodes."""

    reactor: TcpConnector
    timer_wheel: TimerWheel
    log: Log
    budget: DescriptorBudget
    memory: MemoryBudget
    node_policy: NodeConnectionPolicy
    metrics: ConnectionMetrics
    max_attempts_per_connection: int  # the most attempts in flight on one connection
    connect_timeout_ms: float
    single_attempt_in_flight: bool  # whether a request must not have two attempts in flight at once
    idle: OrderedDict[NodeConnection, NodePool]  # the idle connections to all nodes, longest idle first
    partial_answers: dict[NodeConnection, int]  # the number of checks since the last data of an answer
    build: Callable[[NodePool, float], NodeConnection]  # takes the time at which the opening began

    def may_open(self, pool: NodePool) -> bool:
        """Returns whether the pool may open a connection within its node's cap and the descriptor budget."""

    def may_open_spare(self) -> bool:
        """Returns whether a connection may be opened before an attempt needs it."""

    def wake(self, pool: NodePool) -> None:
        """Makes the next sweep visit the pool, since its state has changed."""
