"""Test doubles for the control log's transport: a reactor with its own clock, transports without sockets."""

from dataclasses import dataclass, field

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from cloverwell.control.net.framing import FrameDecoder, encode_frame
from cloverwell.control.net.wire import decode_body, encode_body


class SocketHandle:
    """The socket of a transport, which keeps the options that are set."""

    def __init__(self):
        self.options = {}

    def setsockopt(self, level, option, value):
        self.options[level, option] = value


class Transport:
    """The transport of a protocol. It keeps the bytes that the protocol writes."""

    def __init__(self, protocol=None):
        self.written = b""
        self.closed = self.aborted = False
        self.handle = SocketHandle()
        self.producer = None
        self._decoder = FrameDecoder()
        if protocol is not None:
            protocol.makeConnection(self)

    def setTcpNoDelay(self, enabled):
        self.no_delay = enabled

    def getHandle(self):
        return self.handle

    def registerProducer(self, producer, streaming):
        assert streaming
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def write(self, data):
        assert not self.closed
        self.written += data

    def loseConnection(self):
        self.closed = True

    def abortConnection(self):
        self.closed = self.aborted = True

    def messages(self):
        """Returns the messages written since the last call."""
        data, self.written = self.written, b""
        return [decode_body(body) for body in self._decoder.feed(data)]


def frame(message):
    """Returns the bytes of a message on the wire."""
    return encode_frame(encode_body(message))


def lose_connection(protocol):
    """Tells a protocol that its connection has ended."""
    protocol.connectionLost(Failure(ConnectionDone()))


@dataclass
class ConnectionAttempt:
    """A call of `connectTCP`, which the test lets succeed or fail."""

    address: tuple[str, int]
    factory: object
    disconnected: bool = False
    transport: Transport | None = None
    protocol: object = None

    def disconnect(self):
        self.disconnected = True
        if self.transport is not None:
            self.transport.loseConnection()

    def succeed(self):
        """Lets the attempt succeed, and returns the transport of its connection."""
        self.protocol = self.factory.buildProtocol(None)
        self.transport = Transport(self.protocol)
        return self.transport

    def fail(self):
        """Lets the attempt fail: the connection is refused."""
        self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))


class Reactor(Clock):
    """A reactor whose clock moves only by `advance`. `attempts` are the connection attempts so far."""

    def __init__(self):
        super().__init__()
        self.attempts: list[ConnectionAttempt] = []
        self.stopped = False

    def stop(self):
        self.stopped = True

    def now_ms(self):
        """Returns the time in ms on the reactor's clock."""
        return self.seconds() * 1000.0

    def connectTCP(self, host, port, factory, timeout):
        self.attempts.append(ConnectionAttempt((host, port), factory))
        return self.attempts[-1]


@dataclass
class RecordingLog:
    """A log that keeps its lines in memory."""

    lines: list[str] = field(default_factory=list)

    def info(self, source, text):
        self.lines.append(f"info {source}: {text}")

    def warn(self, source, text):
        self.lines.append(f"warn {source}: {text}")
