"""One end of a connection in virtual time.

What one end writes arrives at the other after the path's latency, in order; a close arrives behind it. As on
real sockets, what is written to an end that is closed comes back as a reset, and what the reader has not
taken yet stands in its buffer, where a peek sees it.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from lab.listener import Address, SocketOwner
from lab.system_call_faults import TURN_S, SystemCalls, calls_of

WINDOW = 256 * 1024  # bytes on the way or unread, beyond which a write is not taken whole


class NetForEnd(Protocol):
    """What an end needs of its network."""

    def seconds(self) -> float:
        """The virtual time in seconds."""

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> object:
        """As `IReactorTime.callLater`."""

    def freed(self, end: End) -> None:
        """The end's descriptor is free."""


class End:
    """One end of a connection: a Twisted transport, and the socket under it."""

    other: End  # set by the network as soon as both ends are made

    def __init__(self, net: NetForEnd, latency_s: float, host: Address, peer: Address) -> None:
        """`latency_s`: one way; `host`: this side's address. `other` is set before anything is sent."""
        self.net = net
        self.protocol: Any = None
        self.owner: SocketOwner | None = None  # the process that holds it, if that can end
        self.latency_s = latency_s
        self._addresses = (IPv4Address("TCP", *host), IPv4Address("TCP", *peer))
        self.closed = False  # this side's descriptor is free
        self.shut = False  # nothing more is sent
        self.eof = False  # the other side's close has come
        self.dead_flow = False  # something in between has forgotten the flow: nothing passes any more
        self.disconnecting = False
        self.paused = False
        self.error: OSError | None = None  # the connection is broken, and calls say so
        self.unread = bytearray()
        self._producer: tuple[Any, bool] | None = None
        self._arrival_s = 0.0  # of the last thing on its way: what follows comes no sooner
        self._on_way = 0
        self._waiting = bytearray()  # taken by the transport, no room in the window
        self._pulling = False
        self._pushes_again = False
        self.socket: Any = self  # what the transport calls; its program may put another before it
        self._look: tuple[socket.socket, socket.socket] | None = None  # made at the first look, see `fileno`

    @property
    def _calls(self) -> SystemCalls:
        """The system calls of the program that holds this end."""
        return calls_of(self.owner)

    # Sending -----------------------------------------------------------------------------------

    def deliver(self, call: Callable[[], None]) -> None:
        """Makes the call at the other end, behind all that is on its way."""
        if self.dead_flow:
            return
        self._arrival_s = max(self._arrival_s, self.net.seconds() + self.latency_s)
        self.net.callLater(self._arrival_s - self.net.seconds(), call)

    def send(self, data: bytes, flags: int = 0) -> int:
        """The socket's own; raises as a socket does."""
        if self.closed or self.shut:
            raise BrokenPipeError
        if self.error is not None:
            raise self.error
        room = WINDOW - self._on_way
        if room <= 0:
            raise BlockingIOError
        self._calls.raise_if_fails("send_fails")
        data = bytes(data[: self._calls.length(min(room, len(data)))])
        self._on_way += len(data)
        if not self.dead_flow:
            other = self.other
            self.deliver(lambda: other.arrive(data, self))
        return len(data)

    def write(self, data: bytes) -> None:
        """Sends the data, as far as there is room in the window, and keeps the rest."""
        if self.closed or self.shut:
            return
        self._waiting += data
        self._push()

    def _push(self) -> None:
        while self._waiting and not self.closed:
            piece = bytes(self._waiting[: 64 * 1024])
            try:
                taken = self.socket.send(piece)
            except OSError as error:
                self._send_failed(error)
                return
            del self._waiting[:taken]
            if taken < len(piece):
                self._push_later()
                return
        if self._producer is not None and not self._pulling and not self.closed:
            self._pulling = True
            self.net.callLater(0, self._pull)

    def _send_failed(self, error: OSError) -> None:
        """As in Twisted, whose connections outlive these two errors alone."""
        if error.errno == errno.ENOBUFS or isinstance(error, BlockingIOError):
            self._push_later()
        elif not self.shut:
            self._lose()

    def _push_later(self) -> None:
        """In the loop's next turn; where the window is full, when there is room."""
        if not self._pushes_again and self._on_way < WINDOW:
            self._pushes_again = True
            self.net.callLater(TURN_S, self._push_again)

    def _push_again(self) -> None:
        self._pushes_again = False
        self._push()

    def _pull(self) -> None:
        self._pulling = False
        if self._producer is not None and not self.closed and not self._waiting:
            self._producer[0].resumeProducing()

    # Receiving ---------------------------------------------------------------------------------

    def arrive(self, data: bytes, sender: End) -> None:
        """Data has come from the other end."""
        if self.closed:
            # Nobody is there: the machine answers with a reset.
            self.deliver(sender.reset)
            return
        self.unread += data
        self.net.callLater(0, self.read)

    def read(self) -> None:
        """Passes to the protocol what has come, if it is not paused."""
        if self.closed or self.paused or self.protocol is None:
            return
        if self.unread:
            try:
                data = self.socket.recv(len(self.unread))
            except BlockingIOError:
                self.net.callLater(TURN_S, self.read)
                return
            except OSError:
                self._lose()
                return
            if self.unread:
                self.net.callLater(TURN_S, self.read)
            self.protocol.dataReceived(data)
        if self.eof and not self.unread and not self.closed:
            self.close_with(ConnectionDone())

    def taken(self, number: int) -> None:
        """The other side has read so many bytes: there is room for more."""
        self._on_way -= number
        self._push()

    def end_of_file(self) -> None:
        """The other side's close has come."""
        self.eof = True
        self._tell_look()
        self.net.callLater(0, self.read)

    def reset(self) -> None:
        """A reset has come from the other side."""
        if not self.closed:
            self._tell_look()
            self.close_with(ConnectionLost())

    def _lose(self) -> None:
        """A call has failed: the transport gives the connection up, and the machine resets it."""
        self.deliver(self.other.reset)
        self.net.callLater(0, self.close_with, ConnectionLost())

    def turn_away(self) -> None:
        """It is reset before any program has had it."""
        self.closed = True
        self.deliver(self.other.reset)

    def break_with(self, error: OSError) -> None:
        """The machine gives the connection up: calls fail from now on, the loop sees it in its next turn, and
        the other side hears nothing."""
        self.forget_flow()
        self.error = error
        self.net.callLater(0, self.close_with, ConnectionLost())

    def close_with(self, error: Exception) -> None:
        """Closes this end and tells its protocol why."""
        if self.closed:
            return
        self.closed = True
        if not isinstance(error, ConnectionAborted | ConnectionLost) and not self.shut:
            self.deliver(self.other.end_of_file)
        self.net.freed(self)
        self.protocol.connectionLost(Failure(error))

    # Twisted's transport -----------------------------------------------------------------------

    def loseConnection(self) -> None:
        """Closes when all that was written has left."""
        self.disconnecting = True
        self._close_behind()

    def _close_behind(self) -> None:
        """Closes when the last of what waits here has left."""
        if self._waiting and not self.closed:
            self.net.callLater(TURN_S, self._close_behind)
        else:
            self.net.callLater(0, self.close_with, ConnectionDone())

    def abortConnection(self) -> None:
        """Resets the connection."""
        if not self.closed:
            self.deliver(self.other.reset)
            self.net.callLater(0, self.close_with, ConnectionAborted())

    def connectionLost(self, reason: Failure) -> None:
        """Closes the socket in order, whatever waits here."""
        self.close_with(cast(Exception, reason.value))

    def loseWriteConnection(self) -> None:
        """Closes the way out when all that was written has left."""
        if self._waiting and not self.closed:
            self.net.callLater(TURN_S, self.loseWriteConnection)
        else:
            self.shutdown(socket.SHUT_WR)

    def shutdown(self, how: int) -> None:
        """Closes the way out; the way in stays open."""
        if not self.shut and not self.closed:
            self.shut = True
            self.deliver(self.other.end_of_file)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """The producer is asked for more when all that was written has left."""
        self._producer = (producer, streaming)

    def unregisterProducer(self) -> None:
        """No producer is asked any more."""
        self._producer = None

    def pauseProducing(self) -> None:
        """Reads nothing until `resumeProducing`."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Reads again."""
        self.paused = False
        self.net.callLater(0, self.read)

    def setTcpNoDelay(self, on: bool) -> None:
        """Does nothing: no write waits for another here."""

    def fileno(self) -> int:
        """For a look whether the other side has closed: one of a pair whose other goes with it."""
        if self._look is None:
            self._look = socket.socketpair()
            if self.eof:
                self._tell_look()
        return self._look[0].fileno()

    def _tell_look(self) -> None:
        if self._look is not None:
            self._look[1].close()

    def getHandle(self) -> object:
        """The socket under this transport."""
        return self.socket

    def getsockopt(self, *_option: int) -> bytes:
        """The socket's own: this kernel tells nothing of its connections."""
        raise OSError(errno.ENOPROTOOPT, "no such option here")

    def getHost(self) -> IPv4Address:
        """The address of this side."""
        return self._addresses[0]

    def getPeer(self) -> IPv4Address:
        """The address of the other side."""
        return self._addresses[1]

    def recv(self, number: int, flags: int = 0) -> bytes:
        """The socket's own, or a peek."""
        if self.error is not None:
            raise self.error
        self._calls.raise_if_fails("receive_fails")
        if flags & socket.MSG_PEEK and self.unread:
            return bytes(self.unread[:number])
        if self.unread:
            number = self._calls.length(min(number, len(self.unread)))
            data, self.unread = bytes(self.unread[:number]), self.unread[number:]
            self.other.taken(len(data))
            return data
        if self.eof:
            return b""
        raise BlockingIOError

    def forget_flow(self) -> None:
        """Something in between drops the flow: both sides think it stands."""
        self.dead_flow = self.other.dead_flow = True
