"""The front layer's watch over a proxy: it asks `mn` at intervals, and says where new connections may go."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lab.client_population import ClientPopulation
from lab.invariant_checker import InvariantChecker
from lab.line_connection import LineConnection
from lab.net import Net
from lab.simulated_proxy import SimulatedProxy

ASK_S = 0.1
NOTICE_S = 0.2  # after the first no, until new connections stop
EMPTY_S = 4.0  # drained for so long, a proxy has no idle connection and no recent request
RECENT_S = 2.0  # a request that is younger is recent
BACK_S = 2.0  # after the end of a drain the proxy has to say yes
OWN_ADDRESS = ("10.1.200.9", None)


class FrontLayerEnvironment(Protocol):
    """What the front layer needs of the simulation."""

    net: Net
    checker: InvariantChecker
    populations: list[ClientPopulation]


class ReadinessQuestion(LineConnection):
    """One question on a connection of its own."""

    def __init__(self, watch: ReadinessWatch) -> None:
        """`watch`: it is given the answer."""
        self._watch = watch

    def connectionMade(self) -> None:
        """Asks."""
        self.send_line(b"mn")

    def lineReceived(self, line: bytes) -> None:
        """Takes the answer and closes the connection."""
        self._watch.heard(line == b"MN")
        self.transport.abortConnection()


class ReadinessWatch(ClientFactory):
    """The watch over one proxy. A proxy that cannot be asked is left to the clients, who see it refuse."""

    noisy = False

    def __init__(self, environment: FrontLayerEnvironment, proxy: SimulatedProxy) -> None:
        """Nothing is asked before `ask`."""
        self._environment, self._proxy = environment, proxy
        self._net, self._checker = environment.net, environment.checker
        self.wanted = True  # whether new connections may go to the proxy
        self._no_since_s: float | None = None

    def ask(self) -> None:
        """Asks now and at regular intervals from now on."""
        self._net.connectTCP(*self._proxy.address, self, ASK_S, OWN_ADDRESS)
        self._net.callLater(ASK_S, self.ask)

    def buildProtocol(self, _addr: IAddress | None) -> ReadinessQuestion:
        """The connection for one question is up."""
        return ReadinessQuestion(self)

    def clientConnectionFailed(self, _connector: IConnector, _reason: Failure) -> None:
        """Does nothing: the clients notice by themselves that the proxy refuses."""

    def heard(self, yes: bool) -> None:
        """The proxy has said whether it takes new connections."""
        now = self._net.seconds()
        if yes:
            self._no_since_s = None
        elif self._no_since_s is None:
            self._no_since_s = now
        self.wanted = self._no_since_s is None or now - self._no_since_s < NOTICE_S

    # Drains -------------------------------------------------------------------------------------

    def drain(self, for_s: float) -> None:
        """Drains the proxy for so long, and checks that it is empty and comes back."""
        if self._proxy.process is None:
            return
        self._proxy.process.proxy.drain()
        self._net.callLater(EMPTY_S, self._check_empty)
        self._net.callLater(for_s, self._undrain)

    def _undrain(self) -> None:
        if self._proxy.process is not None:
            self._proxy.process.proxy.undrain()
            self._net.callLater(BACK_S, self._check_back)

    def _check_empty(self) -> None:
        now, name = self._net.seconds(), self._proxy.name
        populations = self._environment.populations
        clients = [client for population in populations for client in population.clients]
        for client in [each for each in clients if each.proxy.name == name]:
            request_id = client.attempt.id if client.attempt is not None else ""
            history = self._checker.histories.get(request_id)
            if history is None or now - history.sent_s < RECENT_S:
                self._checker.breach("answered", now, request_id, f"{name} is drained, and still used")

    def _check_back(self) -> None:
        if not self.wanted:
            self._checker.breach("answered", self._net.seconds(), "", f"{self._proxy.name} says no")
