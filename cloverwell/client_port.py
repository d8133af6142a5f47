"""The port that clients connect to, from the start of a proxy to its shutdown or handover."""

from __future__ import annotations

from typing import Protocol

from cloverwell.front.client_connections import ClientConnections, ListeningPort


class SharedListeningPort(ListeningPort, Protocol):
    """A listening port whose socket can be given to another process."""

    def share_socket(self) -> int:
        """Returns the socket's descriptor; either process may accept the connections in its accept queue."""

    def stopListening(self) -> object:
        """Closes the port, as Twisted's `IListeningPort` does."""


class ClientPort:
    """The one place that opens, pauses, resumes and closes the port that clients connect to.

    `listening_port` is None before `open` and after `close`.
    """

    def __init__(self, client_connections: ClientConnections) -> None:
        """`client_connections`: the owner of the connections that are accepted."""
        self._client_connections = client_connections
        self.listening_port: SharedListeningPort | None = None

    def open(self, listening_port: SharedListeningPort) -> None:
        """Takes a port that listens already; its connections are accepted as soon as the reactor reads it."""
        self.listening_port = listening_port

    def enable_automatic_pauses(self) -> None:
        """Lets `ClientConnections` pause the port when descriptors run short, and resume it later."""
        self._client_connections.port = self.listening_port

    def pause(self) -> None:
        """Accepts no connections until `resume`; new ones wait in the kernel's accept queue."""
        self._client_connections.port = None
        if self.listening_port is not None:
            self.listening_port.pauseProducing()
        self._client_connections.accept_paused()

    def resume(self) -> None:
        """Accepts connections again after `pause`."""
        if self.listening_port is not None:
            self.listening_port.resumeProducing()

    def close(self) -> None:
        """Closes the port for good."""
        if self.listening_port is None:
            return
        self.listening_port.stopListening()
        self.listening_port = self._client_connections.port = None
