"""A proxy of a world: its processes in the course of a day, and what each sees of the network."""

from __future__ import annotations

import io
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.python.failure import Failure

from cloverwell.proxy import Proxy
from lab.net import Address, Net
from lab.system_call_faults import SystemCalls
from lab.wall_clock import WallClock


class ProxyEnvironment(Protocol):
    """What a proxy needs of the play."""

    net: Net

    def ended(self, proxy: SimulatedProxy, inside: SimulatedReactor) -> None: ...


class ReadinessProbe(Protocol):
    """The front layer's watch over a proxy."""

    wanted: bool

    def ask(self) -> None: ...

    def drain(self, for_s: float) -> None: ...


@dataclass
class SimulatedProxy:
    name: str
    address: Address
    zone: int
    wall_clock: WallClock  # of its machine, for all its processes
    system_calls: SystemCalls
    log: io.StringIO = field(default_factory=io.StringIO)
    service: Proxy | None = None
    starts: int = 0
    draining: bool = False
    back_s: float = 0.0  # after a planned end, until it is started again
    watch: ReadinessProbe = None  # the front layer's
    old: Proxy | None = None  # ends beside the one that has replaced it


class SimulatedReactor:
    """A proxy's own view of the network: its reactor, which dies with it."""

    def __init__(self, play: ProxyEnvironment, proxy: SimulatedProxy) -> None:
        self._net, self._play, self._proxy = play.net, play, proxy
        self.alive = True
        self.ends: list[Any] = []
        self.wall_clock = proxy.wall_clock
        self.system_calls = proxy.system_calls

    def seconds(self) -> float:
        return self._net.seconds()

    def callLater(self, delay: float, call: Any, *args: Any, **kw: Any) -> Any:
        return self._net.callLater(delay, self._guarded, call, args, kw)

    def _guarded(self, call: Any, args: tuple, kw: dict) -> None:
        if self.alive:
            call(*args, **kw)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30.0, bindAddress=None) -> None:
        error = self.system_calls.connect_error()
        if error is not None:
            self.callLater(0, factory.clientConnectionFailed, None, Failure(error))
            return
        self._net.connectTCP(host, port, factory, timeout, (self._proxy.address[0], self))

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        return self._net.listenTCP(port, factory, backlog, interface, self)

    def stop(self) -> None:
        self._play.ended(self._proxy, self)


class SimulatedPredecessor:
    """What a process that is replaced leaves its successor, as `handover.successor.Predecessor` has it."""

    def __init__(self, old: Proxy) -> None:
        self._old = old
        self.handover_state, self.listening = old.hand_over()

    def watch(self, reactor: SimulatedReactor, gone: Any) -> None:
        self._old.succeeded()
