"""Twisted's LineReceiver over ring buffers: one for what comes in and one for what goes out."""

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from cloverwell.net.ring_buffer import RingBuffer

MAX_LINE = 2048
MAX_VALUE = 64 * 1024


class FramingError(Exception):
    """What has come can't be cut into messages any more."""


@implementer(IPushProducer)
class RingLineReceiver(LineReceiver):
    """Calls `lineReceived` and, for a value that a line announced, `valueReceived` with the whole of it.

    The transport's own buffers are kept short: it is told to stop reading while the ring is full, and what
    it does not take at once stays in the outgoing ring, whose room bounds what a slow reader is ahead of.
    """

    delimiter = b"\r\n"
    MAX_LENGTH = MAX_LINE
    ring_bytes = MAX_VALUE + 2 * MAX_LINE

    def __init__(self) -> None:
        self._in = RingBuffer(self.ring_bytes)
        self._out = RingBuffer(self.ring_bytes)
        self._wanted = 0  # bytes of the value that the last line announced, its line end included
        self._behind = 0  # bytes that have come and are not in the ring yet
        self._held = False  # the subclass wants no more for now
        self._choked = False  # the transport takes no more for now
        self._parsing = False
        self._lost = False  # framing is: what comes from now on is thrown away
        self.ended = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    # Coming in --------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest and not self.ended and not self._lost:
            rest = rest[self._in.write(rest) :]
            self._behind = len(rest)
            before = len(self._in)
            self.parse()
            if rest and len(self._in) == before:
                # Held with a full ring: the transport has been told to pause, one read is all that is left.
                if not self._held:
                    return self.framingLost("message too long")
                self._in.bound += len(rest)
        return None

    @property
    def unparsed(self) -> int:
        """Bytes that have come and belong to no message yet."""
        return len(self._in) + self._behind

    def parse(self) -> None:
        """Hands on whole lines and values until none is left or the subclass holds."""
        if self._parsing:
            return
        self._parsing = True
        try:
            while not (self.ended or self._held or self._lost) and self._parse_one():
                pass
        except FramingError as error:
            self.framingLost(str(error))
        finally:
            self._parsing = False

    def _parse_one(self) -> bool:
        if self._wanted:
            if len(self._in) < self._wanted:
                return False
            wanted, self._wanted = self._wanted, 0
            self.valueReceived(self._in.read(wanted))
            return True
        length = self._in.find(self.delimiter)
        if length > self.MAX_LENGTH or (length < 0 and len(self._in) > self.MAX_LENGTH):
            raise FramingError("line too long")
        if length < 0:
            return False
        self.lineReceived(self._in.read(length + 2)[:-2])
        return True

    def expect_value(self, number: int) -> None:
        self._wanted = number

    def hold(self) -> None:
        """Back-pressure: no more is read or handed on until `release`."""
        if not self._held:
            self._held = True
            self.transport.pauseProducing()

    def release(self) -> None:
        if self._held and not self.ended:
            self._held = False
            self._in.bound = self.ring_bytes
            self.transport.resumeProducing()
            self.parse()

    def valueReceived(self, data: bytes) -> None:
        raise NotImplementedError

    def framingLost(self, reason: str) -> None:
        raise NotImplementedError

    # Going out --------------------------------------------------------------------------------

    def put(self, data: bytes) -> bool:
        """Writes all of the data or, for want of room, none of it."""
        if self.ended or len(data) > self._out.room:
            return False
        self._out.write(data)
        self._drain()
        return True

    def _drain(self) -> None:
        while len(self._out) and not self._choked and not self.ended:
            self.transport.write(self._out.read(len(self._out)))

    def pauseProducing(self) -> None:
        self._choked = True

    def resumeProducing(self) -> None:
        self._choked = False
        self._drain()
        self.roomMade()

    def stopProducing(self) -> None:
        self._choked = True

    def roomMade(self) -> None:
        """The outgoing ring has room again."""

    def end(self, abort: bool = False, only_ours: bool = False) -> None:
        """Closes behind what is to leave; `only_ours`: the other side is still read, and closes by itself."""
        if self.ended:
            return
        self.ended = True
        if abort:
            self.transport.abortConnection()
            return
        if len(self._out):
            self.transport.write(self._out.read(len(self._out)))
        self.transport.unregisterProducer()
        if only_ours:
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = True
