"""A connection that carries messages in frames, with a bound on what waits to leave."""

from __future__ import annotations

import socket
from collections import deque

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from cloverwell.codec.steady_socket import steady
from cloverwell.control.messages import MAX_MESSAGE_BYTES, MessageError
from cloverwell.control.net.framing import FrameDecoder, FramingError, encode_frame
from cloverwell.control.net.wire import WireMessage, decode_body, encode_body

# Bytes that may wait behind what the transport has: two of the largest messages.
MAX_WAITING_BYTES = 2 * MAX_MESSAGE_BYTES
# Bytes sent that the other machine doesn't confirm end the connection after so long; the system's own limit
# is a quarter of an hour, in which a link that is whole again would stay silent.
UNCONFIRMED_MS = 5000


@implementer(IPushProducer)
class FrameConnection(Protocol):
    """Hands on each message with `message_received`; a fault ends the connection after `fault`."""

    def __init__(self, max_body_bytes: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """`max_body_bytes`: of a message that comes; `max_waiting_bytes`: of those that leave."""
        self._decoder = FrameDecoder(max_body_bytes)
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: deque[bytes] = deque()
        self._paused = False  # the transport has enough for now
        self.waiting_bytes = 0
        self.ended = False

    # For the subclass

    def message_received(self, message: WireMessage) -> None:
        """One message has come."""
        raise NotImplementedError

    def fault(self, reason: str) -> None:
        """The connection ends because of what came, or because too much waits to leave."""

    # What comes

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        handle = steady(self.transport)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNCONFIRMED_MS)
        self.transport.registerProducer(self, True)

    def allow_bodies(self, max_body_bytes: int) -> None:
        """From the next frame on, messages may be so long."""
        self._decoder.max_body_bytes = max_body_bytes

    def dataReceived(self, data: bytes) -> None:
        if self.ended:  # closed behind what still leaves; what comes meanwhile counts no more
            return
        try:
            for body in self._decoder.feed(data):
                self.message_received(decode_body(body))
                if self.ended:
                    return
        except (FramingError, MessageError) as error:
            self._break(str(error))

    # What leaves

    def send(self, message: WireMessage) -> bool:
        """Queues a message; False, and the connection ends, where too much waits already."""
        return self.send_frame(encode_frame(encode_body(message)))

    def send_frame(self, frame: bytes) -> bool:
        """The same for a message that has been put into a frame before."""
        if self.ended:
            return False
        if not self._paused:
            self.transport.write(frame)
            return True
        if self.waiting_bytes + len(frame) > self._max_waiting_bytes:
            self._break(f"{self.waiting_bytes} bytes wait to leave")
            return False
        self._waiting.append(frame)
        self.waiting_bytes += len(frame)
        return True

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        while self._waiting and not self._paused:
            frame = self._waiting.popleft()
            self.waiting_bytes -= len(frame)
            self.transport.write(frame)

    def stopProducing(self) -> None:
        """The connection is gone; `connectionLost` says so too."""

    # Its end

    def _break(self, reason: str) -> None:
        if not self.ended:
            self.fault(reason)
            self.abort()

    def close(self) -> None:
        """Ends the connection behind what waits to leave."""
        if self.ended:
            return
        self.ended = True
        self._paused = False
        for frame in self._waiting:
            self.transport.write(frame)
        self._drop_waiting()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        """Ends the connection at once."""
        if not self.ended:
            self.ended = True
            self._drop_waiting()
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = True
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        self._waiting.clear()
        self.waiting_bytes = 0
