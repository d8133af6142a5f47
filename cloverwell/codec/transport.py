"""What the codecs call of a connection's transport."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure


class StreamTransport(Protocol):
    """The methods of Twisted's TCP transport, whose own interfaces have no types for callers."""

    bufferSize: int  # bytes that are read at once

    def getHandle(self) -> object:
        """Returns the socket."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Sends small messages at once (TCP_NODELAY)."""

    def registerProducer(self, producer: object, streaming: bool, /) -> None:
        """Calls the producer whenever the transport has sent all that it had."""

    def unregisterProducer(self) -> None:
        """Ends that."""

    def write(self, data: bytes, /) -> None:
        """Sends bytes, or buffers them."""

    def pauseProducing(self) -> None:
        """Reads no more."""

    def resumeProducing(self) -> None:
        """Reads again."""

    def loseConnection(self) -> None:
        """Closes the connection once the buffer has been sent."""

    def loseWriteConnection(self) -> None:
        """Closes this side once the buffer has been sent, and goes on reading."""

    def abortConnection(self) -> None:
        """Closes the connection at once."""

    def connectionLost(self, reason: Failure, /) -> None:
        """Closes the socket and tells the protocol why, as the reactor does at the end of a connection."""


def close_both_sides(transport: StreamTransport) -> None:
    """Closes the socket now, in order: what the kernel has taken still reaches the other side.

    `loseConnection` would wait until the other side has read enough, and `abortConnection` would reset the
    connection, with all that is unread. What the transport itself still holds is dropped.
    """
    transport.connectionLost(Failure(ConnectionDone()))
