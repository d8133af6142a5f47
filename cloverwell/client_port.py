"""The port that clients connect to, from the start of a proxy to its shutdown or handover."""

from __future__ import annotations

from typing import Protocol

from cloverwell.front.client_connections import ClientConnections, ListeningPort


class SharedListeningPort(ListeningPort, Protocol):
    """A listening port whose socket can be given to another process."""

    def share_socket(self) -> int:
        """The descriptor of the socket; connections in its queue wait for both processes."""

    def stopListening(self) -> object:
        """Closes the port, as Twisted's `IListeningPort` does."""


class ClientPort:
    """Whether connections are accepted: the one place that opens, pauses and closes the listening port.

    `listening` is None before `open` and after `close`.
    """

    def __init__(self, side: ClientConnections) -> None:
        """`side`: the connections that are accepted."""
        self._side = side
        self.listening: SharedListeningPort | None = None

    def open(self, listening: SharedListeningPort) -> None:
        """Takes a port that listens; connections are accepted as the reactor reads it."""
        self.listening = listening

    def attach(self) -> None:
        """From now on `ClientConnections` pauses and resumes the port by itself, as descriptors run short."""
        self._side.port = self.listening

    def pause(self) -> None:
        """Accepts nothing until `resume`; new connections wait in the kernel's accept queue."""
        self._side.port = None
        if self.listening is not None:
            self.listening.pauseProducing()
        self._side.accept_paused()

    def resume(self) -> None:
        """Accepts again after `pause`."""
        if self.listening is not None:
            self.listening.resumeProducing()

    def close(self) -> None:
        """Stops listening for good."""
        if self.listening is None:
            return
        self.listening.stopListening()
        self.listening = self._side.port = None
