"""A connection that carries messages in frames, with a bound on the bytes that are queued for sending."""

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

# The most bytes that may be queued beyond the transport's own buffer: room for two of the largest messages.
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES
# The kernel closes the connection when sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT). With
# its own limit of about 15 minutes, a connection could stay silent long after the network works again.
TCP_USER_TIMEOUT_MS = 5000


class FrameTransport(TypingProtocol):
    """The methods of its transport that a connection calls; see Twisted's `ITCPTransport` and `IConsumer`."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Sets whether small messages are sent at once (TCP_NODELAY)."""

    def registerProducer(self, producer: object, streaming: bool, /) -> None:
        """Starts to pause and resume the producer as the transport's buffer fills and empties."""

    def unregisterProducer(self) -> None:
        """Stops pausing and resuming the producer."""

    def write(self, data: bytes, /) -> None:
        """Sends bytes, or buffers them while the socket takes no more."""

    def loseConnection(self) -> None:
        """Closes the connection once the buffer has been sent."""

    def abortConnection(self) -> None:
        """Closes the connection at once."""


@implementer(IPushProducer)
class FrameConnection(Protocol):
    """A connection that passes each received message to `message_received`.

    Malformed input, or too many queued bytes, abort the connection after a call of `report_fault`.

    `queued_bytes` is the size of the frames that the transport has no room for yet. `ended` is True from the
    moment when the connection is closed or lost: no message is sent or passed on after that.
    """

    _transport: FrameTransport

    def __init__(self, max_body_bytes: int, max_queued_bytes: int = MAX_QUEUED_BYTES) -> None:
        """Sets the largest body that may be received, and the most bytes that may be queued for sending."""
        self._decoder = FrameDecoder(max_body_bytes)
        self._max_queued_bytes = max_queued_bytes
        self._queued_frames: deque[bytes] = deque()
        self._paused = False  # whether the transport's buffer is full
        self.queued_bytes = 0
        self.ended = False

    # Overridden by subclasses

    def message_received(self, message: WireMessage) -> None:
        """Handles a received message."""
        raise NotImplementedError

    def report_fault(self, reason: str) -> None:
        """Logs why the connection is about to end: malformed input, or too many queued bytes."""

    # Receiving

    def connectionMade(self) -> None:
        """Sets the options of the new connection's socket, and registers as the transport's producer."""
        self._transport = cast(FrameTransport, self.transport)
        self._transport.setTcpNoDelay(True)
        handle = install_steady_socket(self.transport)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self._transport.registerProducer(self, True)

    def set_max_body_bytes(self, max_body_bytes: int) -> None:
        """Changes the largest body that may be received, from the next frame on."""
        self._decoder.max_body_bytes = max_body_bytes

    def dataReceived(self, data: bytes) -> None:
        """Decodes received bytes, and passes on each complete message."""
        # A closed connection stays up until all frames are sent; messages received meanwhile are dropped.
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
        """Sends or queues a message; a full queue aborts the connection. Returns False if it has ended."""
        if self.ended:
            return False
        frame = encode_frame(encode_body(message))
        if not self._paused:
            self._transport.write(frame)
            return True
        if self.queued_bytes + len(frame) > self._max_queued_bytes:
            self._fail(f"too much data is queued for sending: {self.queued_bytes} bytes")
            return False
        self._queued_frames.append(frame)
        self.queued_bytes += len(frame)
        return True

    def pauseProducing(self) -> None:
        """Starts to queue frames, because the transport's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Sends the queued frames, because the transport has room again."""
        self._paused = False
        while self._queued_frames and not self._paused:
            frame = self._queued_frames.popleft()
            self.queued_bytes -= len(frame)
            self._transport.write(frame)

    def stopProducing(self) -> None:
        """Does nothing: Twisted calls this when the connection is lost, which `connectionLost` handles."""

    # Closing

    def close(self) -> None:
        """Closes the connection once all queued frames have been sent."""
        if self.ended:
            return
        self.ended = True
        self._paused = False
        for frame in self._queued_frames:
            self._transport.write(frame)
        self._drop_queued_frames()
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once, and drops all queued frames."""
        if not self.ended:
            self.ended = True
            self._drop_queued_frames()
            self._transport.abortConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Drops the queued frames, because the connection has ended."""
        self.ended = True
        self._drop_queued_frames()

    def _fail(self, reason: str) -> None:
        if not self.ended:
            self.report_fault(reason)
            self.abort()

    def _drop_queued_frames(self) -> None:
        self._queued_frames.clear()
        self.queued_bytes = 0
