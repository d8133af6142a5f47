"""All clients' connections, within their part of the descriptors: who is let in, and who is let go."""

from collections import OrderedDict

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory

from cloverwell.dispatcher import Dispatcher
from cloverwell.log import Log
from cloverwell.net.acquirer import Acquirer
from cloverwell.wheel import Wheel
from olivestair.api import Settings

SWEEP_MS = 100.0
QUIET_MS = 1900.0  # a connection that has asked nothing, or half of it, is closed: with a sweep under 2 s
KEEP_MS = 10_000.0  # one that has asked before is kept so long between requests while there is room,
SPARE_SHARE = 0.5  # that is, while so much of the clients' part is free; else as one that has asked nothing
PRESSED_MS = 250.0  # at the limit, one that has asked nothing for so long makes room
OVERSHOOT = 4  # one turn of the loop may accept more than was asked for: the rest are closed
LINGER_MS = 1000.0  # what a client may take to close its side once ours is closed


class AcquirerSide(Factory):
    noisy = False

    def __init__(
        self, settings: Settings, dispatcher: Dispatcher, wheel: Wheel, log: Log, budget: int, most: int
    ) -> None:
        """Work is declined while more than `budget` connections have some open; `most` is for all of them."""
        self.port: IPushProducer | None = None  # that listens
        self.dispatcher = dispatcher
        self.wheel = wheel
        self.classes = {cls.name: place for place, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: place for place, tenant in enumerate(settings.tenants)}
        self.connections: set[Acquirer] = set()
        self._log = log
        self._budget = budget
        self._most = most
        self._full = False
        # Those with no open request, since when; the longest first.
        self._quiet: OrderedDict[Acquirer, float] = OrderedDict()
        self._closing: OrderedDict[Acquirer, float] = OrderedDict()  # our side is closed, since when
        self._sweep()

    def buildProtocol(self, addr: IPv4Address) -> Acquirer | None:
        if len(self.connections) >= self._most + OVERSHOOT:
            return None
        return Acquirer(self)

    def opened(self, connection: Acquirer) -> None:
        self.connections.add(connection)
        self._quiet[connection] = self.wheel.now()
        if len(self.connections) >= self._most and not self._make_room() and not self._full:
            self._log.warn("accept", f"no more than {self._most} connections of clients fit")
            self._full = True
            if self.port is not None:
                self.port.pauseProducing()

    def closed(self, connection: Acquirer) -> None:
        self.connections.discard(connection)
        self._quiet.pop(connection, None)
        self._closing.pop(connection, None)
        self._go_on()

    def _go_on(self) -> None:
        if self._full and len(self.connections) < self._most:
            self._full = False
            if self.port is not None:
                self.port.resumeProducing()

    def busy(self, connection: Acquirer) -> None:
        """It has an open request."""
        self._quiet.pop(connection, None)

    def quiet(self, connection: Acquirer) -> None:
        """It has none, from now on."""
        if not connection.ended:
            self._quiet[connection] = self.wheel.now()
            self._quiet.move_to_end(connection)

    def closing(self, connection: Acquirer) -> None:
        """Our side is closed: the descriptor must come free though the client never closes."""
        self._quiet.pop(connection, None)
        self._closing[connection] = self.wheel.now()

    def crowded(self) -> bool:
        """So many have requests open that new work is declined: an accept that fails would lose requests."""
        return len(self.connections) - len(self._quiet) - len(self._closing) > self._budget

    # Who is let go ----------------------------------------------------------------------------

    def _sweep(self) -> None:
        now = self.wheel.now()
        self.wheel.at(now + SWEEP_MS, self._sweep)
        scarce = len(self.connections) > (1.0 - SPARE_SHARE) * self._budget
        for connection, since in list(self._quiet.items()):
            if now - since < QUIET_MS:
                break
            kept = now - since >= KEEP_MS
            if kept and connection.unread:  # no request has so much time: nobody waits for that answer
                connection.end(abort=True)
            elif kept or scarce or not connection.asked or connection.halfway:
                connection.time_out()
        for connection, since in list(self._closing.items()):
            if now - since < LINGER_MS:
                break
            self._cut_off(connection)
        # None may have been at hand when the limit was reached.
        if self._full and self._make_room():
            self._go_on()

    def _cut_off(self, connection: Acquirer) -> None:
        self._closing.pop(connection, None)
        connection.transport.abortConnection()

    def _make_room(self) -> bool:
        """The one that has been quiet longest goes, first of those that have asked nothing."""
        now = self.wheel.now()
        if self._closing:
            self._cut_off(next(iter(self._closing)))
            return True
        old = [connection for connection, since in self._quiet.items() if now - since >= PRESSED_MS]
        for connection in sorted(old, key=lambda one: one.asked):
            if connection.time_out():
                self._cut_off(connection)
                return True
        return False

    def let_go(self, cut: bool = False) -> None:
        """Each that is between requests; `cut`: also one in the middle of a command."""
        for connection in list(self.connections):
            connection.let_go(cut)
