"""The type of a connection's transport, as the codecs use it."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure


class StreamTransport(Protocol):
    """The methods of Twisted's TCP transport in use; mypy can't check calls through its own interfaces."""

    bufferSize: int  # the most bytes that are read at once

    def getHandle(self) -> object:
        """Returns the socket."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Sets TCP_NODELAY, so that small messages are sent at once."""

    def registerProducer(self, producer: object, streaming: bool, /) -> None:
        """Registers a producer, which is called whenever the transport has sent all that it had."""

    def unregisterProducer(self) -> None:
        """Removes the registered producer."""

    def write(self, data: bytes, /) -> None:
        """Sends the bytes, or buffers them."""

    def pauseProducing(self) -> None:
        """Stops reading."""

    def resumeProducing(self) -> None:
        """Continues reading."""

    def loseConnection(self) -> None:
        """Closes the connection once the buffer has been sent."""

    def loseWriteConnection(self) -> None:
        """Closes this side once the buffer has been sent, and continues reading."""

    def abortConnection(self) -> None:
        """Resets the connection at once."""

    def connectionLost(self, reason: Failure, /) -> None:
        """Closes the socket and tells the protocol, as the reactor does when a connection ends."""


def close_both_sides(transport: StreamTransport) -> None:
    """Closes the socket now, without a reset: what was written to the kernel still reaches the other side.

    `loseConnection` would wait until the other side has read enough, and `abortConnection` would reset the
    connection, which discards what the other side has not read. Bytes in the transport's own buffer are lost.
    """
    transport.connectionLost(Failure(ConnectionDone()))
