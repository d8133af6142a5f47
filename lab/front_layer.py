"""The front layer's watch over proxies: it asks each `mn`, and says where new connections may go."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from lab.client_population import ClientPopulation
from lab.invariant_checker import InvariantChecker
from lab.net import Net
from lab.simulated_proxy import SimulatedProxy

ASK_S = 0.1
HEARD_S = 0.2  # after a no, until new connections stop
EMPTY_S, RECENT_S = 4.0, 2.0  # drained so long, no connection may be idle, or have a request so young
BACK_S = 2.0  # after the end of a drain it has to say yes


class FrontLayerEnvironment(Protocol):
    """What the front layer needs of the play."""

    net: Net
    judge: InvariantChecker
    people: list[ClientPopulation]


class _Question(LineReceiver):
    delimiter = b"\r\n"

    def __init__(self, watch: ReadinessWatch) -> None:
        self._watch = watch

    def connectionMade(self) -> None:
        self.sendLine(b"mn")

    def lineReceived(self, line: bytes) -> None:
        self._watch.heard(line == b"MN")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Whoever ends it, it is asked again on another."""


class ReadinessWatch(ClientFactory):
    """One proxy's. A proxy that can't be asked is left to the clients, who see it refuse."""

    noisy = False

    def __init__(self, play: FrontLayerEnvironment, proxy: SimulatedProxy) -> None:
        self._play, self._proxy = play, proxy
        self.wanted = True
        self._no_s: float | None = None

    def ask(self) -> None:
        self._play.net.connectTCP(*self._proxy.address, self, ASK_S, ("10.1.200.9", None))
        self._play.net.callLater(ASK_S, self.ask)

    def buildProtocol(self, addr: Any) -> _Question:
        return _Question(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Refused: it is known as dead by who wanted to use it."""

    def heard(self, yes: bool) -> None:
        now = self._play.net.seconds()
        self._no_s = None if yes else now if self._no_s is None else self._no_s
        self.wanted = self._no_s is None or now - self._no_s < HEARD_S

    # Drains ---------------------------------------------------------------------------------------

    def drain(self, for_s: float) -> None:
        self._proxy.service.drain()
        self._play.net.callLater(EMPTY_S, self._is_empty)
        self._play.net.callLater(for_s, self._undrain)

    def _undrain(self) -> None:
        if self._proxy.service is not None:
            self._proxy.service.undrain()
            self._play.net.callLater(BACK_S, self._is_back)

    def _is_empty(self) -> None:
        now, name = self._play.net.seconds(), self._proxy.name
        for till in [
            till for people in self._play.people for till in people.tills if till.proxy.name == name
        ]:
            request = till.try_[0] if till.try_ is not None else ""
            case = self._play.judge.cases.get(request)
            if case is None or now - case.sent_s < RECENT_S:
                self._play.judge.breach("answered", now, request, f"{name} is drained, and still used")

    def _is_back(self) -> None:
        if not self.wanted:
            self._play.judge.breach("answered", self._play.net.seconds(), "", f"{self._proxy.name} says no")
