"""The interfaces of a child process's role: to Twisted's reactor below it, and to the parent process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import ClientFactory, Factory

from lab.scale import messages

Report = Callable[[messages.Report], None]  # sends a message to the parent process


class ScheduledCall(Protocol):
    """A call that the reactor will make later (`twisted.internet.interfaces.IDelayedCall`)."""

    def cancel(self) -> None:
        """Cancels the call."""


class ScaleReactor(Protocol):
    """The methods of `IReactorTCP` and `IReactorTime` that a role calls, under Twisted's own names."""

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> ScheduledCall:
        """Calls `call` with the arguments after `delay` seconds."""

    def listenTCP(
        self, port: int, factory: Factory, backlog: int = 50, interface: str = ""
    ) -> IListeningPort:
        """Listens on a TCP port; the factory builds a protocol for each connection."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float = 30.0) -> object:
        """Begins a TCP connection; `timeout` is in seconds."""


class ProcessRole(Protocol):
    """What a child process does; its constructor takes the reactor, the start message and a `Report`."""

    def command(self, command: messages.Command) -> None:
        """Handles any message after the first one but `Finish`."""

    def finish(self) -> messages.Totals:
        """Returns the totals, which are the last report of the process."""
