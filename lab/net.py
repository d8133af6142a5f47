"""A deterministic network in virtual time: Twisted's `IReactorTCP` as far as the proxy uses it.

Connections are pairs of ends. What one end writes arrives at the other after the path's latency, in order; a
close arrives behind it. As on real sockets, what is written to an end that is closed comes back as a reset,
and what the reader has not taken yet stands in its buffer, where a peek sees it. A path may lose a flow
without a word (`Path.silent`), refuse, or never answer.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure
from zope.interface import implementer

from lab.clock import VirtualTime
from lab.listener import Address, Listener
from lab.system_call_faults import TURN_S, SystemCalls, calls_of

WINDOW = 256 * 1024  # bytes on the way or unread, beyond which a write is not taken whole


@dataclass
class Path:
    """How a connecting side and a listening address reach each other."""

    latency_s: float = 0.0002  # one way
    refuse: bool = False
    silent: bool = False  # connects never come up


class End:
    """One end of a connection: a Twisted transport, and the socket under it."""

    def __init__(self, net: Net, latency_s: float, host: Address, peer: Address) -> None:
        self.net = net
        self.other: End | None = None
        self.protocol: Any = None
        self.owner: object = None  # the process that holds it, if that can die
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
        self._look: tuple[socket.socket, socket.socket] | None = None  # made at the first look, see `fileno`

    @property
    def _calls(self) -> SystemCalls:
        """The system calls of the program that holds this end."""
        return calls_of(self.owner)

    # Sending -----------------------------------------------------------------------------------

    def _deliver(self, call: Callable[[], None]) -> None:
        """At the other end, behind all that is on its way."""
        if self.dead_flow:
            return
        self._arrival_s = max(self._arrival_s, self.net.seconds() + self.latency_s)
        self.net.callLater(self._arrival_s - self.net.seconds(), call)

    def send(self, data: bytes) -> int:
        """The socket's own; raises as a socket does."""
        if self.closed or self.shut:
            raise BrokenPipeError
        if self.error is not None:
            raise self.error
        room = WINDOW - self._on_way
        if room <= 0:
            raise BlockingIOError
        self._calls.raise_if_send_fails()
        data = bytes(data[: self._calls.length(min(room, len(data)))])
        self._on_way += len(data)
        if not self.dead_flow:
            other = self.other
            self._deliver(lambda: other.arrive(data, self))
        return len(data)

    def write(self, data: bytes) -> None:
        if self.closed or self.shut:
            return
        self._waiting += data
        self._push()

    def _push(self) -> None:
        while self._waiting and not self.closed:
            piece = bytes(self._waiting[: 64 * 1024])
            try:
                taken = self.send(piece)
            except OSError as error:
                if error.errno == errno.ENOBUFS:
                    self.net.callLater(TURN_S, self._push)
                return
            del self._waiting[:taken]
            if taken < len(piece) and self._on_way < WINDOW:  # a short write, and the socket has room
                self.net.callLater(TURN_S, self._push)
                return
        if self._producer is not None and not self._pulling and not self.closed:
            self._pulling = True
            self.net.callLater(0, self._pull)

    def _pull(self) -> None:
        self._pulling = False
        if self._producer is not None and not self.closed and not self._waiting:
            self._producer[0].resumeProducing()

    # Receiving ---------------------------------------------------------------------------------

    def arrive(self, data: bytes, sender: End) -> None:
        if self.closed:
            # Nobody is there: the machine answers with a reset.
            self._deliver(sender.reset)
            return
        self.unread += data
        self.net.callLater(0, self._read)

    def _read(self) -> None:
        if self.closed or self.paused or self.protocol is None:
            return
        if self.unread:
            number = self._calls.length(len(self.unread))
            data, self.unread = bytes(self.unread[:number]), self.unread[number:]
            if self.unread:
                self.net.callLater(TURN_S, self._read)
            self.other._taken(len(data))
            self.protocol.dataReceived(data)
        if self.eof and not self.unread and not self.closed:
            self.close_with(ConnectionDone())

    def _taken(self, number: int) -> None:
        self._on_way -= number
        self._push()

    def end_of_file(self) -> None:
        self.eof = True
        self._tell_look()
        self.net.callLater(0, self._read)

    def reset(self) -> None:
        if not self.closed:
            self._tell_look()
            self.close_with(ConnectionLost())

    def turn_away(self) -> None:
        """It is reset before any program has had it."""
        self.closed = True
        self._deliver(self.other.reset)

    def break_with(self, error: OSError) -> None:
        """The machine gives the connection up: calls fail from now on, the loop sees it in its next turn, and
        the other side hears nothing."""
        self.forget_flow()
        self.error = error
        self.net.callLater(0, self.close_with, ConnectionLost())

    def close_with(self, error: Exception) -> None:
        if self.closed:
            return
        self.closed = True
        if not isinstance(error, ConnectionAborted | ConnectionLost) and not self.shut:
            self._deliver(self.other.end_of_file)
        self.net.freed(self)
        self.protocol.connectionLost(Failure(error))

    # Twisted's transport -----------------------------------------------------------------------

    def loseConnection(self) -> None:
        self.disconnecting = True
        self._close_behind()

    def _close_behind(self) -> None:
        """Closes when the last of what waits here has left."""
        if self._waiting and not self.closed:
            self.net.callLater(TURN_S, self._close_behind)
        else:
            self.net.callLater(0, self.close_with, ConnectionDone())

    def abortConnection(self) -> None:
        if not self.closed:
            self._deliver(self.other.reset)
            self.net.callLater(0, self.close_with, ConnectionAborted())

    def loseWriteConnection(self) -> None:
        if self._waiting and not self.closed:
            self.net.callLater(TURN_S, self.loseWriteConnection)
        else:
            self.shutdown(socket.SHUT_WR)

    def shutdown(self, how: int) -> None:
        if not self.shut and not self.closed:
            self.shut = True
            self._deliver(self.other.end_of_file)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self._producer = (producer, streaming)

    def unregisterProducer(self) -> None:
        self._producer = None

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        self.net.callLater(0, self._read)

    def setTcpNoDelay(self, on: bool) -> None:
        pass

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

    def getHandle(self) -> End:
        return self

    def getHost(self) -> IPv4Address:
        return self._addresses[0]

    def getPeer(self) -> IPv4Address:
        return self._addresses[1]

    def recv(self, number: int, flags: int) -> bytes:
        """A peek, without waiting: the proxy asks for nothing else by itself."""
        if self.error is not None:
            raise self.error
        if self.unread:
            return bytes(self.unread[:number])
        if self.eof:
            return b""
        raise BlockingIOError

    def forget_flow(self) -> None:
        """Something in between drops the flow: both sides think it stands."""
        self.dead_flow = self.other.dead_flow = True


@implementer(IReactorTCP)
class Net(VirtualTime):
    """The reactor of everything in the world."""

    def __init__(self, start_s: float = 1000.0) -> None:
        super().__init__(start_s)
        self.listeners: dict[Address, Listener] = {}
        self.paths: dict[Address, Path] = {}
        self.open = 0  # ends whose descriptor is held
        self.delay: Callable[[str, str], float] | None = None  # one way between two hosts, in s
        self.cuts: set[tuple[str, str]] = set()  # from whom to whom no connection comes up
        self._owned: dict[object, dict[End, None]] = {}
        self.stopped = False

    def path(self, address: Address) -> Path:
        return self.paths.setdefault(address, Path())

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 50, interface: str = "", owner: object = None
    ) -> Listener:
        listener = self.listeners[interface, port] = Listener(self, (interface, port), factory, owner)
        return listener

    def adopt(self, listening: Listener, factory: Any, owner: object) -> Listener:
        """Another process listens on the same socket."""
        listener = Listener(self, listening.address, factory, owner)
        listening.shares.append(listener)
        listener.shares, listener._queue = listening.shares, listening._queue
        self.listeners[listening.address] = listener
        return listener

    def kill(self, owner: object) -> None:
        """The process is gone: its connections are reset and its ports closed, and it hears nothing of it."""
        for listener in [one for held in list(self.listeners.values()) for one in held.shares]:
            if listener.owner is owner:
                listener.stopListening()
        for end in self._owned.pop(owner, {}):
            if not end.closed:
                end._deliver(end.other.reset)
                end.closed = True
                self.open -= 1

    def cut(self, owner: object, near: str, far: str) -> None:
        """Connections of that process to the host `far` fall silent for good; new ones do not come up.

        `near` is the process's own host; `cuts` holds the pair until it is taken out of it."""
        self.cuts.add((near, far))
        for end in self._owned.get(owner, {}):
            if end.getPeer().host == far:
                end.forget_flow()

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30.0, bindAddress: Any = None
    ) -> None:
        path = self.path((host, port))
        near, owner = bindAddress or ("127.0.0.1", None)
        if self.delay is not None:
            path = Path(self.delay(near, host), path.refuse, path.silent)
        if path.silent or (near, host) in self.cuts:
            self.callLater(timeout, self._fail, factory, ConnectTimeout())
            return
        self.callLater(path.latency_s, self._arrive, (host, port), factory, path, near, owner)

    def _fail(self, factory: Any, error: Exception) -> None:
        factory.clientConnectionFailed(None, Failure(error))

    def _arrive(self, address: Address, factory: Any, path: Path, host: str, owner: object) -> None:
        listener = self.listeners.get(address)
        if listener is None or path.refuse:
            self.callLater(path.latency_s, self._fail, factory, ConnectionRefusedError())
            return
        near = End(self, path.latency_s, (host, 1), address)
        far = End(self, path.latency_s, address, (host, 1))
        near.owner = owner
        near.other, far.other = far, near
        # The machine accepts by itself; the program takes the connection when it can.
        self.callLater(path.latency_s, self._established, near, factory)
        listener.accept(far)

    def accepted(self, listener: Listener, far: End) -> None:
        far.owner = listener.owner
        self._connect(far, listener.factory.buildProtocol(far.getPeer()))

    def _established(self, near: End, factory: Any) -> None:
        self._connect(near, factory.buildProtocol(near.getPeer()))

    def _connect(self, end: End, protocol: Any) -> None:
        if protocol is None or (end.owner is not None and not end.owner.alive):
            end.turn_away()
            return
        end.protocol = protocol
        self.open += 1
        if end.owner is not None:
            self._owned.setdefault(end.owner, {})[end] = None
        protocol.transport = end
        protocol.makeConnection(end)
        self.callLater(0, end._read)

    def ends_of(self, owner: object) -> list[End]:
        """The connections that the process has, in the order they came."""
        return list(self._owned.get(owner, {}))

    def freed(self, end: End) -> None:
        self.open -= 1
        if end.owner is not None:
            self._owned.get(end.owner, {}).pop(end, None)

    def stop(self) -> None:
        self.stopped = True
