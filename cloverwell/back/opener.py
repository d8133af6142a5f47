"""A connection to a node on its way, and what has become of it."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from cloverwell.back.node_connection import NodeConnection
from cloverwell.system_calls import LocalFault, connect_fault


class OpeningPool(Protocol):
    """What it needs of the pool that asked for it."""

    address: tuple[str, int] | None

    def now(self) -> float: ...

    def build(self, asked_ms: float) -> NodeConnection: ...

    def mistaken(self) -> None:
        """One that came up leads to where the node was."""

    def not_begun(self, fault: LocalFault) -> None:
        """This machine could not begin it."""

    def failed(self, asked_ms: float, refused: bool) -> None:
        """It could not be made. `refused`: the node said so; else it never came up."""


class ConnectionOpener(ClientFactory):
    noisy = False

    def __init__(self, pool: OpeningPool) -> None:
        self._pool = pool
        self._address = pool.address
        self._asked_ms = pool.now()

    def buildProtocol(self, addr: IPv4Address) -> NodeConnection | None:
        if self._address != self._pool.address:  # it has moved meanwhile
            self._pool.mistaken()
            return None
        return self._pool.build(self._asked_ms)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        fault = connect_fault(reason.value)
        if fault is not None:
            self._pool.not_begun(fault)
        else:
            self._pool.failed(self._asked_ms, reason.check(ConnectionRefusedError) is not None)
