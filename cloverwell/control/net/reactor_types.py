"""Types for the parts of a Twisted reactor that the control log needs.

They follow `IReactorTCP`, `IReactorTime`, `IConnector` and `IDelayedCall` of `twisted.internet.interfaces`.
Those are zope interfaces, whose methods have no `self`, so a type checker can't check calls of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory


class DelayedCall(Protocol):
    """A call that the reactor makes later; see `IDelayedCall`."""

    def cancel(self) -> None:
        """Cancels the call."""

    def reset(self, delay_s: float, /) -> None:
        """Moves the call: it is made when this delay from now has passed."""


class Connector(Protocol):
    """A connection attempt and, if it succeeds, its connection; see `IConnector`."""

    def disconnect(self) -> None:
        """Abandons the attempt, or closes the connection."""


class Reactor(Protocol):
    """A reactor that makes outgoing connections and delayed calls; see `IReactorTCP` and `IReactorTime`."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> Connector:
        """Begins a connection attempt, which fails if it takes longer than `timeout` seconds."""

    def callLater(self, delay_s: float, function: Callable[[], object], /) -> DelayedCall:
        """Calls a function after a delay in seconds."""


class StoppableReactor(Reactor, Protocol):
    """A reactor that can be stopped, which ends the process; see `IReactorCore`."""

    def stop(self) -> None:
        """Ends the reactor's main loop."""
