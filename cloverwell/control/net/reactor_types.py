"""The parts of a Twisted reactor that the control log needs, as types.

They follow `IReactorTCP`, `IReactorTime`, `IConnector` and `IDelayedCall` of `twisted.internet.interfaces`.
Those are interfaces of zope, whose methods have no `self`: a type checker can't check calls of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory


class DelayedCall(Protocol):
    """A call that the reactor makes later, as `IDelayedCall`."""

    def cancel(self) -> None:
        """Keeps the call from being made."""

    def reset(self, delay_s: float, /) -> None:
        """Makes the call after this delay from now, in place of the earlier time."""


class Connector(Protocol):
    """A connection attempt and the connection that comes of it, as `IConnector`."""

    def disconnect(self) -> None:
        """Abandons the attempt, or closes the connection."""


class Reactor(Protocol):
    """Outgoing connections and delayed calls, as `IReactorTCP` and `IReactorTime`."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> Connector:
        """Begins a connection attempt that ends after `timeout` seconds."""

    def callLater(self, delay_s: float, function: Callable[[], object], /) -> DelayedCall:
        """Calls a function after a delay."""


class StoppableReactor(Reactor, Protocol):
    """A reactor whose process ends with it, as `IReactorCore` in this respect."""

    def stop(self) -> None:
        """Ends the reactor's main loop."""
