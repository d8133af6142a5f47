"""A connection that carries messages in frames, with a bound on the bytes that wait to be sent."""

from __future__ import annotations

import socket
from collections import deque
from typing import Protocol as TypingProtocol
from typing import cast

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from cloverwell.codec.steady_socket import install_steady_socket
from cloverwell.control.messages import MAX_MESSAGE_BYTES, MessageError
from cloverwell.control.net.errors import FramingError
from cloverwell.control.net.framing import FrameDecoder, encode_frame
from cloverwell.control.net.wire import WireMessage, decode_body, encode_body

# The bound on what waits beyond the transport's own buffer: two of the largest messages.
MAX_WAITING_BYTES = 2 * MAX_MESSAGE_BYTES
# Sent bytes that the other machine doesn't confirm end the connection after this time (TCP_USER_TIMEOUT). The
# system's own limit is a quarter of an hour, in which a link that works again would stay silent.
UNCONFIRMED_MS = 5000


class FrameTransport(TypingProtocol):
    """What a connection calls of its transport, as `ITCPTransport` and `IConsumer` of Twisted."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Sends small messages at once (TCP_NODELAY)."""

    def registerProducer(self, producer: object, streaming: bool, /) -> None:
        """Pauses and resumes the producer as the transport's buffer fills and empties."""

    def unregisterProducer(self) -> None:
        """Ends that."""

    def write(self, data: bytes, /) -> None:
        """Sends bytes, or buffers them."""

    def loseConnection(self) -> None:
        """Closes the connection once the buffer has been sent."""

    def abortConnection(self) -> None:
        """Closes the connection at once."""


@implementer(IPushProducer)
class FrameConnection(Protocol):
    """Hands each received message to `message_received`; a fault ends the connection after `fault`.

    `waiting_bytes` is the size of the frames that the transport has no room for yet. `ended` is set from the
    moment at which the connection is closed or lost: nothing is sent or handed on after it.
    """

    _transport: FrameTransport

    def __init__(self, max_body_bytes: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """Takes the largest body that may be received, and the most bytes that may wait to be sent."""
        self._decoder = FrameDecoder(max_body_bytes)
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting_frames: deque[bytes] = deque()
        self._paused = False  # the transport's buffer is full
        self.waiting_bytes = 0
        self.ended = False

    # For the subclass

    def message_received(self, message: WireMessage) -> None:
        """Handles a message that has come."""
        raise NotImplementedError

    def fault(self, reason: str) -> None:
        """Notes why the connection is about to end: what came is invalid, or too much waits to be sent."""

    # Receiving

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self._transport = cast(FrameTransport, self.transport)
        self._transport.setTcpNoDelay(True)
        handle = install_steady_socket(self.transport)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNCONFIRMED_MS)
        self._transport.registerProducer(self, True)

    def set_max_body_bytes(self, max_body_bytes: int) -> None:
        """Changes the largest body that may be received, from the next frame on."""
        self._decoder.max_body_bytes = max_body_bytes

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes have come."""
        # A closed connection stays up until all is sent; what comes meanwhile must not be handled.
        if self.ended:
            return
        try:
            for body in self._decoder.feed(data):
                self.message_received(decode_body(body))
                if self.ended:
                    return
        except (FramingError, MessageError) as error:
            self._fail(str(error))

    # Sending

    def send(self, message: WireMessage) -> bool:
        """Sends a message or queues it. Returns False, and ends the connection, where too much waits."""
        if self.ended:
            return False
        frame = encode_frame(encode_body(message))
        if not self._paused:
            self._transport.write(frame)
            return True
        if self.waiting_bytes + len(frame) > self._max_waiting_bytes:
            self._fail(f"{self.waiting_bytes} bytes wait to leave")
            return False
        self._waiting_frames.append(frame)
        self.waiting_bytes += len(frame)
        return True

    def pauseProducing(self) -> None:
        """Twisted: the transport's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Twisted: the transport has room again."""
        self._paused = False
        while self._waiting_frames and not self._paused:
            frame = self._waiting_frames.popleft()
            self.waiting_bytes -= len(frame)
            self._transport.write(frame)

    def stopProducing(self) -> None:
        """Twisted: the connection is lost. `connectionLost` handles it."""

    # The end

    def close(self) -> None:
        """Ends the connection once what waits has been sent."""
        if self.ended:
            return
        self.ended = True
        self._paused = False
        for frame in self._waiting_frames:
            self._transport.write(frame)
        self._drop_waiting_frames()
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def abort(self) -> None:
        """Ends the connection at once."""
        if not self.ended:
            self.ended = True
            self._drop_waiting_frames()
            self._transport.abortConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        self.ended = True
        self._drop_waiting_frames()

    def _fail(self, reason: str) -> None:
        if not self.ended:
            self.fault(reason)
            self.abort()

    def _drop_waiting_frames(self) -> None:
        self._waiting_frames.clear()
        self.waiting_bytes = 0
