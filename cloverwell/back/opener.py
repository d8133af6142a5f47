"""Connections to one node that are being opened, and what becomes of them."""

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


class OpeningPool(Protocol):
    """What opening connections needs of the pool that they are for."""

    node: str
    address: tuple[str, int] | None
    connections: list[NodeConnection]

    def open_for_waiting(self) -> None:
        """Opens the connections that attempts wait for."""

    def open_failed(self) -> None:
        """Ends an attempt that waits for a connection, since one was refused or never came up."""

    def open_not_started(self, now: float) -> None:
        """Gives up the attempts that have waited for long, since this machine can't begin a connection."""


OnePool = TypeVar("OnePool", bound=OpeningPool)


class OpeningConnections(Generic[OnePool]):
    """Opens connections for one pool, and pauses while this machine can't begin any."""

    def __init__(self, pool: OnePool, context: PoolContext[OnePool]) -> None:
        """Starts without a connection on its way."""
        self._pool = pool
        self._context = context
        self._policy = context.node_policy
        self._wheel = context.timer_wheel
        self._retry = ConnectRetry()
        self.count = 0  # connections on their way

    @property
    def fault(self) -> LocalFault | None:
        """Why this machine could not begin the last connection, or None if it could."""
        return self._retry.fault

    def may_try(self) -> bool:
        """Tells whether this machine may be asked for a connection now."""
        return self._retry.may_try(self.count)

    def open(self) -> None:
        """Begins a connection to the node's address as it is now."""
        self.count += 1
        self._context.budget.acquire(DescriptorSide.NODES)
        assert self._pool.address is not None  # no attempt waits at a node without one
        host, port = self._pool.address
        opener = ConnectionOpener(self, (host, port), self._wheel.now())
        timeout_s = self._context.connect_timeout_ms / 1000.0
        self._context.reactor.connectTCP(host, port, opener, timeout=timeout_s)

    def build(self, address: tuple[str, int], asked_ms: float) -> NodeConnection | None:
        """Makes the protocol of a connection that has come up.

        Returns None, which closes it, if the node has moved meanwhile; another one is opened instead.
        """
        if address != self._pool.address:
            self._ended()
            self._pool.open_for_waiting()
            return None
        return self._context.build(self._pool, asked_ms)

    def came_up(self) -> bool:
        """Takes notice that a connection is up. Returns whether others have waited for that to be tried."""
        self.count -= 1
        self._context.wake(self._pool)
        return self._retry.record_reply()

    def failed(self, asked_ms: float, refused: bool) -> None:
        """Takes notice that the node refused a connection, or else that it never came up."""
        self._ended()
        others_waited = self._retry.record_reply()
        node, standing = self._pool.node, len(self._pool.connections)
        self._context.metrics.add(ConnectionEvent.CONNECT_REFUSED, node)
        if refused:
            self._policy.record_connect_refused(node, standing, self._wheel.now())
        else:
            self._policy.record_connect_timeout(node, standing, asked_ms, self._wheel.now())
        self._pool.open_failed()
        if others_waited:
            self._pool.open_for_waiting()

    def not_started(self, fault: LocalFault) -> None:
        """Tries again soon, since this machine could not begin a connection."""
        self._ended()
        self._context.metrics.add(ConnectionEvent.CONNECT_NOT_BEGUN, self._pool.node)
        now = self._wheel.now()
        if self._retry.record_fault(fault):
            self._wheel.call_not_before(now + CONNECT_RETRY_MS, self._try_again)
        self._pool.open_not_started(now)

    def _try_again(self) -> None:
        self._retry.end_pause()
        self._pool.open_for_waiting()

    def _ended(self) -> None:
        self.count -= 1
        self._context.wake(self._pool)
        self._context.budget.release(DescriptorSide.NODES)


class ConnectionOpener(ClientFactory):
    """The factory of one connection."""

    noisy = False

    def __init__(self, owner: OpeningConnections[Any], address: tuple[str, int], asked_ms: float) -> None:
        """Remembers the address, and when the connection was asked for."""
        self._owner = owner
        self._address = address
        self._asked_ms = asked_ms

    def buildProtocol(self, _addr: IAddress | None) -> NodeConnection | None:
        """Makes the protocol of the connection, or returns None, which closes it."""
        return self._owner.build(self._address, self._asked_ms)

    def clientConnectionFailed(self, _connector: IConnector, reason: Failure) -> None:
        """Tells why there is no connection: a fault of this machine, or one of the network or the node."""
        fault = None if reason.value is None else connect_fault(reason.value)
        if fault is not None:
            self._owner.not_started(fault)
        else:
            self._owner.failed(self._asked_ms, reason.check(ConnectionRefusedError) is not None)
