"""A proxy of the simulation: its machine, the processes that run there, and their view of the network."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.base import DelayedCall
from twisted.internet.protocol import ClientFactory, Factory
from twisted.python.failure import Failure

from cloverwell.proxy import Proxy
from lab.listener import Address, Listener
from lab.net import Net
from lab.system_call_faults import SystemCalls
from lab.wall_clock import WallClock


class ProxyEnvironment(Protocol):
    """What a proxy process needs of the simulation."""

    net: Net

    def ended(self, proxy: SimulatedProxy, reactor: SimulatedReactor) -> None:
        """The process with this reactor has answered all its requests and ends by itself."""


class ReadinessProbe(Protocol):
    """The front layer's watch over a proxy."""

    wanted: bool

    def ask(self) -> None:
        """Starts to ask the proxy at regular intervals whether it takes connections."""

    def drain(self, for_s: float) -> None:
        """Drains the proxy for so long, and checks that it is empty and comes back."""


@dataclass
class ProxyProcess:
    """One process: the program, its reactor, and what it took over if it replaced another."""

    proxy: Proxy
    reactor: SimulatedReactor
    inheritance: SimulatedPredecessor | None = None


@dataclass
class SimulatedProxy:
    """A proxy by its name, through all processes that serve for it in the course of a simulation."""

    name: str
    address: Address
    zone: int
    wall_clock: WallClock  # of its machine, for all its processes
    system_calls: SystemCalls
    log: io.StringIO = field(default_factory=io.StringIO)
    process: ProxyProcess | None = None  # None while the proxy is down
    predecessor: ProxyProcess | None = None  # ends beside the process that has replaced it
    starts: int = 0
    back_s: float = 0.0  # after a planned end, until it is started again
    watch: ReadinessProbe | None = None  # set before the first start

    @property
    def ready(self) -> bool:
        """Whether new connections may go to the proxy, as the front layer knows it."""
        return self.watch is None or self.watch.wanted


class SimulatedReactor:
    """One process's view of the network: its calls and connections end with the process."""

    def __init__(self, environment: ProxyEnvironment, proxy: SimulatedProxy) -> None:
        """`proxy`: the machine that the process runs on."""
        self._net, self._environment, self._proxy = environment.net, environment, proxy
        self.alive = True
        self.wall_clock = proxy.wall_clock
        self.system_calls = proxy.system_calls

    def seconds(self) -> float:
        """The virtual time in seconds, as `IReactorTime` has it."""
        return self._net.seconds()

    def callLater(
        self, delay: float, call: Callable[..., object], *args: object, **kw: object
    ) -> DelayedCall:
        """As `IReactorTime.callLater`; the call is dropped when the process has ended by then."""
        return self._net.callLater(delay, self.call_if_alive, call, args, kw)

    def call_if_alive(
        self, call: Callable[..., object], args: tuple[object, ...], kw: dict[str, object]
    ) -> None:
        """Makes the call, unless the process has ended."""
        if self.alive:
            call(*args, **kw)

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float = 30.0) -> None:
        """As `IReactorTCP.connectTCP`, from the proxy's own address; fails where a fault says so."""
        error = self.system_calls.connect_error()
        if error is not None:
            self.callLater(0, factory.clientConnectionFailed, None, Failure(error))
            return
        self._net.connectTCP(host, port, factory, timeout, (self._proxy.address[0], self))

    def listenTCP(self, port: int, factory: Factory, backlog: int = 50, interface: str = "") -> Listener:
        """As `IReactorTCP.listenTCP`."""
        return self._net.listenTCP(port, factory, backlog, interface, self)

    def stop(self) -> None:
        """The program ends its process, as it ends Twisted's reactor by `stop`."""
        self._environment.ended(self._proxy, self)


class SimulatedPredecessor:
    """What a process that is replaced leaves its successor, as `handover.successor.Predecessor` has it."""

    def __init__(self, old: Proxy) -> None:
        """Asks the old process to hand over, and keeps what it leaves."""
        self._old = old
        self.handover_state, self.listening_descriptor = old.hand_over()
        self._on_end: Callable[[], None] | None = None

    def watch(self, _reactor: object, gone: Callable[[], None]) -> None:
        """The successor serves from now on; `gone` is called when this process has ended."""
        self._on_end = gone
        self._old.successor_started()

    def end(self) -> None:
        """The process has ended: its successor is told."""
        if self._on_end is not None:
            self._on_end()
