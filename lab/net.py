"""A deterministic network in virtual time: Twisted's `IReactorTCP` as far as the proxy uses it.

Connections are pairs of ends (`connection_end.py`). A path may lose a flow without a word (`Path.silent`),
refuse, or never answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure
from zope.interface import implementer

from lab.clock import START_S, VirtualTime
from lab.connection_end import End
from lab.listener import Address, Listener, SocketOwner


@dataclass
class Path:
    """How a connecting side and a listening address reach each other."""

    latency_s: float = 0.0002  # one way
    refuse: bool = False
    silent: bool = False  # connects never come up


@implementer(IReactorTCP)
class Net(VirtualTime):
    """The reactor of everything in a simulation."""

    def __init__(self, start_s: float = START_S) -> None:
        """`start_s`: the virtual time at first."""
        super().__init__(start_s)
        self.listeners: dict[Address, Listener] = {}
        self.paths: dict[Address, Path] = {}
        self.open = 0  # ends whose descriptor is held
        self.delay: Callable[[str, str], float] | None = None  # one way between two hosts, in s
        self.cuts: set[tuple[str, str]] = set()  # from whom to whom no connection comes up
        self._owned: dict[object, dict[End, None]] = {}
        self.stopped = False

    def path(self, address: Address) -> Path:
        """The path to this listening address, which may be changed."""
        return self.paths.setdefault(address, Path())

    def listenTCP(
        self,
        port: int,
        factory: Any,
        backlog: int = 50,
        interface: str = "",
        owner: SocketOwner | None = None,
    ) -> Listener:
        """As `IReactorTCP.listenTCP`; `owner`: the process that listens, if it can end."""
        listener = self.listeners[interface, port] = Listener(self, (interface, port), factory, owner)
        return listener

    def adopt(self, listening: Listener, factory: Any, owner: SocketOwner) -> Listener:
        """Another process listens on the same socket."""
        listener = Listener(self, listening.address, factory, owner)
        listening.shares.append(listener)
        listener.shares, listener.queue = listening.shares, listening.queue
        self.listeners[listening.address] = listener
        return listener

    def kill(self, owner: object) -> None:
        """The process is gone: its connections are reset and its ports closed, and it hears nothing of it."""
        for listener in [one for held in list(self.listeners.values()) for one in held.shares]:
            if listener.owner is owner:
                listener.stopListening()
        for end in self._owned.pop(owner, {}):
            if not end.closed:
                end.deliver(end.other.reset)
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
        """As `IReactorTCP.connectTCP`; `bindAddress`: the own host and the process that connects."""
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

    def _arrive(
        self, address: Address, factory: Any, path: Path, host: str, owner: SocketOwner | None
    ) -> None:
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
        """The listener's program takes the connection."""
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
        self.callLater(0, end.read)

    def ends_of(self, owner: object) -> list[End]:
        """The connections that the process has, in the order they came."""
        return list(self._owned.get(owner, {}))

    def freed(self, end: End) -> None:
        """The end's descriptor is free."""
        self.open -= 1
        if end.owner is not None:
            self._owned.get(end.owner, {}).pop(end, None)

    def stop(self) -> None:
        """The program asks its reactor to stop."""
        self.stopped = True
