"""All clients' connections: carries out what `connections.client_policy` decides about them."""

from collections.abc import Callable, Iterable
from typing import Protocol

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import Factory

from balancer.api import Settings
from cloverwell.codec.lines import hung_up, unsent
from cloverwell.connections.accept_queue import AcceptQueue
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.client_policy import TURN, ClientConnectionPolicy, CloseClient, Reason
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_connection import ClientConnection
from cloverwell.log import Log
from cloverwell.serving import Serving
from cloverwell.streamed_value import ahead
from cloverwell.timer_wheel import STALL_MS, TimerWheel

BACKLOG = 512  # connections that the machine lets wait to be accepted
SWEEP_MS = 50.0
# Between the looks at connections that are not read. With a tick that is late by up to `STALL_MS`, a
# client's close is known within half of the 100 ms after which nothing may begin for it.
CLIENT_LOOK_MS = 25.0
BURST_MS = 5.0  # a close seldom comes alone: the others are looked at with it, but no more often than that
# What a client may take to read what has left for it, behind our close: an abort would throw that away.
LAST_READ_MS = 10_000.0
BUSY_MS = 1000.0  # how long a client should keep away from a proxy that is short of descriptors


class ListeningPort(Protocol):
    """What is asked of the port that clients connect to."""

    @property
    def accepting(self) -> bool:
        """It is read now."""

    def waits(self) -> bool:
        """A connection waits in the machine's queue."""

    def pauseProducing(self) -> None: ...

    def resumeProducing(self) -> None: ...


class ClientConnections(Factory):
    noisy = False

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        timer_wheel: TimerWheel,
        log: Log,
        budget: DescriptorBudget,
        metrics: ConnectionMetrics,
        asking: int,
        serving: Serving,
        flow_bytes: int,
    ) -> None:
        """`asking`: connections that clients open for requests, at the most; `flow_bytes`: what may wait here
        of all long values that are on their way."""
        self.flows = 0
        self._flow_bytes = flow_bytes
        self.port: ListeningPort | None = None
        self.dispatcher = dispatcher
        self.serving = serving
        self.timer_wheel = timer_wheel
        self.classes = {cls.name: place for place, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: place for place, tenant in enumerate(settings.tenants)}
        self.connections: dict[ClientConnection, None] = {}  # in the order they came
        # those of them that are held: their close would not be seen
        self.not_read: dict[ClientConnection, None] = {}
        self.busy_ms = min(BUSY_MS, settings.max_retry_after_ms)  # 0: the site's clients are told no time
        self.front = ClientConnectionPolicy(budget.most(DescriptorSide.CLIENTS), asking, timer_wheel.now())
        self._log = log
        self._budget = budget
        self._metrics = metrics
        self._full = False
        self._queue = AcceptQueue(BACKLOG + 1)  # Linux lets one more wait than was asked for
        self.borrow: Callable[[], bool] = lambda: False  # asks the nodes' side for a descriptor
        self._looked_ms = timer_wheel.now()  # at all that wait
        timer_wheel.on_stall = self._held_up
        self._sweep()
        self._look_now_and_then()

    # Who is let in ----------------------------------------------------------------------------

    def may_accept(self) -> int:
        """So many connections may be accepted now, in one turn of the loop."""
        return min(TURN, self._budget.room(DescriptorSide.CLIENTS))

    def buildProtocol(self, addr: IPv4Address) -> ClientConnection | None:
        # The port asks `may_accept`; a listener that does not is held to the budget here.
        if not self._budget.room(DescriptorSide.CLIENTS):
            return None
        connection = ClientConnection(self)
        if (since_ms := self._queue.accepted()) is not None:
            connection.waited(since_ms)
            if not self._waits():
                self._queue.empty()
        self._budget.take(DescriptorSide.CLIENTS)
        self.connections[connection] = None
        self._metrics.add(ConnectionEvent.ADMITTED)
        self.front.opened(connection, self.timer_wheel.now(), getattr(addr, "host", ""))
        self._keep_room()
        return connection

    def accept_failed(self, reason: str) -> None:
        """The machine is short of something: the port rests a moment, who connects waits in its queue."""
        self._log.warn("accept", f"failed for a moment: {reason}")
        self._metrics.add(ConnectionEvent.PAUSED)

    def closed(self, connection: ClientConnection) -> None:
        if connection in self.connections:
            self.connections.pop(connection)
            self.not_read.pop(connection, None)
            self._budget.give_back(DescriptorSide.CLIENTS)
            self.front.closed(connection)
            self._go_on()

    def _keep_room(self) -> None:
        """Some of the descriptors stay free for the next to come."""
        now = self.timer_wheel.now()
        if closes := self.front.for_asking(now):
            self._close(closes, len(closes))
        room = self._budget.room(DescriptorSide.CLIENTS)
        wanted = self.front.reserve(now) - room
        if wanted > 0:
            self._close(self.front.for_room(now, wanted, room), wanted)
        if not self._budget.room(DescriptorSide.CLIENTS) and self._budget.lender(DescriptorSide.CLIENTS):
            self.borrow()
        if not self._full and not self._budget.room(DescriptorSide.CLIENTS):
            self._log.warn("accept", f"{len(self.connections)} connections of clients fill their part")
            self._rest()

    def accepts_no_more(self) -> None:
        """From now on who connects waits in the machine's queue, and its request with it."""
        self._queue.not_read(self.timer_wheel.now())

    def _waits(self) -> bool:
        """Someone waits to be accepted."""
        return self.port is None or self.port.waits()

    def _look_at_queue(self) -> None:
        if not self._queue.may_stand or self.port is None:
            return
        if self._waits():
            self._queue.looked_at(self.timer_wheel.now())
        else:
            self._queue.empty()
            if not self.port.accepting:
                self.accepts_no_more()

    def _rest(self) -> None:
        self._metrics.add(ConnectionEvent.PAUSED)
        self.accepts_no_more()
        self._full = True
        if self.port is not None:
            self.port.pauseProducing()

    def _go_on(self) -> None:
        if self._full and self._budget.room(DescriptorSide.CLIENTS):
            self._full = False
            if self.port is not None:
                self.port.resumeProducing()

    def crowded(self) -> bool:
        """So many have requests open that new work is refused: an accept that fails would lose requests."""
        if self.front.busy <= self._budget.work_cap:
            return False
        self._metrics.add(ConnectionEvent.REQUEST_REFUSED)
        return True

    # What they do -----------------------------------------------------------------------------

    def busy(self, connection: ClientConnection) -> None:
        """It has an open request."""
        self.front.asked(connection, self.timer_wheel.now())

    def quiet(self, connection: ClientConnection) -> None:
        """It has none, from now on; perhaps a part of one."""
        self.front.quiet(connection, self.timer_wheel.now(), connection.halfway, connection.begun_ms)

    def more(self, connection: ClientConnection) -> None:
        """More of half a command has come."""
        self.front.more(connection, self.timer_wheel.now())

    def closing(self, connection: ClientConnection) -> None:
        """Our side is closed: the descriptor must come free though the client never closes."""
        connection.shut_ms = self.timer_wheel.now()
        self.front.closing(connection, connection.shut_ms)

    # Who has left -----------------------------------------------------------------------------

    def _look_now_and_then(self) -> None:
        self.timer_wheel.at(self.timer_wheel.now() + CLIENT_LOOK_MS, self._look_now_and_then)
        self.look_at_held()

    def look_at_held(self) -> None:
        """Those that are not read: nothing else would tell that a client has closed."""
        if self.not_read:
            self._leave(self._closed_among(self.not_read))

    def _held_up(self) -> None:
        """The loop has not read for a while, and something is about to leave."""
        if self.timer_wheel.now() - self._looked_ms > STALL_MS:
            self._leave(self._look_at_waiting())

    def _closed_among(self, some: Iterable[ClientConnection]) -> list[ClientConnection]:
        sockets = {one.fileno(): one for one in some if not one.ended}
        closed = hung_up(sockets) if sockets else set()
        return [one for descriptor, one in sockets.items() if descriptor in closed]

    def have_left(self, connections: list[ClientConnection]) -> None:
        """Their clients have closed. What is open there ends as one: a place that comes free must not go to
        another request of a client that has left, whose close is not read yet."""
        if self.timer_wheel.now() - self._looked_ms > BURST_MS:
            connections = list(dict.fromkeys(connections + self._look_at_waiting()))
        self._leave(connections)

    def _look_at_waiting(self) -> list[ClientConnection]:
        """Those with open requests, and those that are not read, whose clients have closed."""
        self._looked_ms = self.timer_wheel.now()
        return self._closed_among(one for one in self.connections if one.waits or one in self.not_read)

    def _leave(self, connections: list[ClientConnection]) -> None:
        for connection in connections:
            self.not_read.pop(connection, None)
        self.dispatcher.gone([one for connection in connections for one in connection.leave()])

    # Who is let go ----------------------------------------------------------------------------

    def _sweep(self) -> None:
        now = self.timer_wheel.now()
        if self.timer_wheel.just_stalled:  # nobody is overdue before what came, or could leave, meanwhile has
            self.timer_wheel.at(now, self._sweep)
            return
        self.timer_wheel.at(now + SWEEP_MS, self._sweep)
        overdue = self.front.overdue(now)
        self._close(overdue, len(overdue))
        self._keep_room()
        self._go_on()
        self._look_at_queue()

    def _close(self, closes: list[CloseClient], wanted: int) -> None:
        for close in closes:
            if not wanted:
                return
            connection = close.guest
            if close.reason is Reason.LINGER and self._still_reads(connection):
                done = False
                self.front.spare(connection, self.timer_wheel.now())
            elif close.reason is Reason.LINGER:
                done = True
                connection.transport.abortConnection()
            elif close.reason is Reason.IDLE and connection.unread:
                done = True  # no request has so much time: nobody waits for that answer
                connection.end(abort=True)
            elif done := connection.time_out():
                if close.cut:
                    connection.transport.abortConnection()
            else:
                self.front.spare(connection, self.timer_wheel.now())
            if done:
                wanted -= 1
                self._metrics.add(ConnectionEvent.CLOSED_FRONT, close.reason.value)
            else:
                self._metrics.add(ConnectionEvent.SPARED)

    def _still_reads(self, connection: ClientConnection) -> bool:
        """Our side is closed, and its client has not had all that left before that."""
        lasts = self.timer_wheel.now() - connection.shut_ms < LAST_READ_MS
        return lasts and unsent(connection.fileno()) > 1  # the close itself counts as one

    def lend(self) -> None:
        """The nodes' side wants a descriptor that is held here beyond the floor."""
        if self._budget.lender(DescriptorSide.NODES):
            self._close(self.front.for_room(self.timer_wheel.now(), 1, 0), 1)

    def lets_go(self) -> bool:
        """This process is being emptied: a connection without a request goes."""
        return self.serving.emptying and self.serving.lets_go(self.timer_wheel.now())

    def ahead(self) -> int:
        """Bytes that a long value may be ahead of its reader."""
        return ahead(self._flow_bytes, self.flows)

    def let_go(self, cut: bool = False) -> None:
        """Each that is between requests; `cut`: also one in the middle of a command."""
        for connection in list(self.connections):
            if not connection.awaits_first:
                connection.let_go(cut)
