"""A reactor with a clock of its own, and transports that keep what was written: no sockets."""

from dataclasses import dataclass, field

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from cloverwell.control.net.framing import FrameDecoder, encode_frame
from cloverwell.control.net.wire import decode_body, encode_body


class Handle:
    def __init__(self):
        self.options = {}

    def setsockopt(self, level, option, value):
        self.options[level, option] = value


class Transport:
    """The near end of a connection, as a protocol has it."""

    def __init__(self, protocol=None):
        self.written = b""
        self.closed = self.aborted = False
        self.handle = Handle()
        self.producer = None
        self._decoder = FrameDecoder()
        if protocol is not None:
            protocol.makeConnection(self)

    def setTcpNoDelay(self, on):
        self.no_delay = on

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
        """What has been written since the last call."""
        data, self.written = self.written, b""
        return [decode_body(body) for body in self._decoder.feed(data)]


def frame(message):
    return encode_frame(encode_body(message))


def end(protocol):
    protocol.connectionLost(Failure(ConnectionDone()))


@dataclass
class Try:
    """One call of `connectTCP`."""

    address: tuple[str, int]
    factory: object
    given_up: bool = False
    transport: Transport | None = None
    protocol: object = None

    def disconnect(self):
        self.given_up = True
        if self.transport is not None:
            self.transport.loseConnection()

    def succeed(self):
        self.protocol = self.factory.buildProtocol(None)
        self.transport = Transport(self.protocol)
        return self.transport

    def fail(self):
        self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))


class Reactor(Clock):
    """Its clock moves by `advance`; `tries` are the connections that were asked for."""

    def __init__(self):
        super().__init__()
        self.tries: list[Try] = []
        self.stopped = False

    def stop(self):
        self.stopped = True

    def now_ms(self):
        return self.seconds() * 1000.0

    def connectTCP(self, host, port, factory, timeout):
        self.tries.append(Try((host, port), factory))
        return self.tries[-1]


@dataclass
class RecordingLog:
    """A log that keeps its lines."""

    lines: list[str] = field(default_factory=list)

    def info(self, kind, text):
        self.lines.append(f"info {kind}: {text}")

    def warn(self, kind, text):
        self.lines.append(f"warn {kind}: {text}")
