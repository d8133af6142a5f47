"""Opens connections to one node, and reports to its pool whether they were established."""

from __future__ import annotations

from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.pool_context import PoolContext
from cloverwell.connections.budget import DescriptorSide
from cloverwell.connections.connect_retry import CONNECT_RETRY_MS, ConnectRetry
from cloverwell.connections.metrics import ConnectionEvent
from cloverwell.system_calls import LocalFault, connect_fault


class Connector(Protocol):
    """The part of Twisted's connector that is used here."""

    transport: object | None


class OpeningPool(Protocol):
    """The methods of a pool that are called when one of its connections was opened, or was not."""

    node: str
    address: tuple[str, int] | None
    connections: list[NodeConnection]

    def open_for_waiting(self) -> None:
        """Opens the connections that attempts wait for."""

    def open_failed(self) -> None:
        """Ends an attempt that waits for a connection, since one was refused or timed out."""

    def open_not_started(self, now: float) -> None:
        """Gives up attempts that have waited too long, since this machine can't open a connection."""


NodePool = TypeVar("NodePool", bound=OpeningPool)


class OpeningConnections(Generic[NodePool]):
    """Opens connections for one pool, and pauses while this machine can't open any."""

    def __init__(self, pool: NodePool, context: PoolContext[NodePool]) -> None:
        """Starts without a connection that is being opened."""
        self._pool = pool
        self._context = context
        self._policy = context.node_policy
        self._wheel = context.timer_wheel
        self._retry = ConnectRetry()
        self.count = 0  # the number of connections that are being opened

    @property
    def fault(self) -> LocalFault | None:
        """The fault of this machine that prevented the last connection, or None if there was none."""
        return self._retry.fault

    def may_try(self) -> bool:
        """Returns whether a connection may be opened now, after a fault of this machine."""
        return self._retry.may_try(self.count)

    def open(self) -> None:
        """Begins to open a connection to the current address of the node."""
        self.count += 1
        self._context.budget.acquire(DescriptorSide.NODES)
        assert self._pool.address is not None  # no attempt waits for a node without an address
        host, port = self._pool.address
        opener = ConnectionOpener(self, (host, port), self._wheel.now())
        timeout_s = self._context.connect_timeout_ms / 1000.0
        self._context.reactor.connectTCP(host, port, opener, timeout=timeout_s)

    def build(self, address: tuple[str, int], open_started_ms: float) -> NodeConnection | None:
        """Returns the protocol of a connection that was established.

        Returns None, so that it is closed, if the node's address has changed; another is opened instead.
        """
        if address != self._pool.address:
            self._opening_ended()
            self._pool.open_for_waiting()
            return None
        return self._context.build(self._pool, open_started_ms)

    def record_connected(self) -> bool:
        """Records that a connection was established.

        Returns whether other connections were postponed by a fault, and may be opened now.
        """
        self.count -= 1
        self._context.wake(self._pool)
        return self._retry.record_reply()

    def record_failure(self, open_started_ms: float, refused: bool) -> None:
        """Records that the node refused a connection or, if `refused` is False, that it timed out."""
        self._opening_ended()
        others_postponed = self._retry.record_reply()
        node, open_count = self._pool.node, len(self._pool.connections)
        self._context.metrics.add(ConnectionEvent.CONNECT_REFUSED, node)
        if refused:
            self._policy.record_connect_refused(node, open_count, self._wheel.now())
        else:
            self._policy.record_connect_timeout(node, open_count, open_started_ms, self._wheel.now())
        self._pool.open_failed()
        if others_postponed:
            self._pool.open_for_waiting()

    def record_local_fault(self, fault: LocalFault) -> None:
        """Records that a fault of this machine prevented a connection, and schedules another try."""
        self._opening_ended()
        self._context.metrics.add(ConnectionEvent.CONNECT_NOT_BEGUN, self._pool.node)
        now = self._wheel.now()
        if self._retry.record_fault(fault):
            self._wheel.call_not_before(now + CONNECT_RETRY_MS, self._try_again)
        self._pool.open_not_started(now)

    def _try_again(self) -> None:
        self._retry.end_pause()
        self._pool.open_for_waiting()

    def _opening_ended(self) -> None:
        self.count -= 1
        self._context.wake(self._pool)
        self._context.budget.release(DescriptorSide.NODES)


class ConnectionOpener(ClientFactory):
    """The Twisted factory for one connection that is being opened."""

    noisy = False

    def __init__(
        self, owner: OpeningConnections[Any], address: tuple[str, int], open_started_ms: float
    ) -> None:
        """Remembers the address, and the time at which opening the connection began."""
        self._owner = owner
        self._address = address
        self._open_started_ms = open_started_ms

    def buildProtocol(self, _addr: IAddress | None) -> NodeConnection | None:
        """Returns the protocol of the connection, or None, so that it is closed."""
        return self._owner.build(self._address, self._open_started_ms)

    def clientConnectionLost(self, connector: Connector, _reason: Failure) -> None:
        """Breaks the reference cycle of connector and transport, which only a collection would free."""
        connector.transport = None

    def clientConnectionFailed(self, _connector: IConnector, reason: Failure) -> None:
        """Reports that the connection failed, by a fault of this machine or of the network or the node."""
        fault = None if reason.value is None else connect_fault(reason.value)
        if fault is not None:
            self._owner.record_local_fault(fault)
        else:
            self._owner.record_failure(
                self._open_started_ms, reason.check(ConnectionRefusedError) is not None
            )
