"""The parts of one proxy put together, and its end."""

from collections.abc import Callable
from dataclasses import replace

from cloverwell.config import Config, ConfigError
from cloverwell.connections.back import Back
from cloverwell.connections.budget import Budget
from cloverwell.connections.figures import Figures, What
from cloverwell.counts import Counts
from cloverwell.dispatcher import Dispatcher
from cloverwell.facade import Facade
from cloverwell.log import Log
from cloverwell.net.acquirer_side import AcquirerSide
from cloverwell.net.box_connection import BoxConnection
from cloverwell.net.cache_leg import CacheConnection
from cloverwell.net.origin_leg import OriginConnection
from cloverwell.net.pool import Pool, Pools
from cloverwell.net.routing_table import RoutingTable
from cloverwell.serving import STOP, Serving, State
from cloverwell.wheel import Wheel

TICK_MS = 5.0
SPARE_DESCRIPTORS = 24  # standard streams, the reactor's own, discovery, and what is closed but not yet free
OPERATOR_DESCRIPTORS = 10  # the operators' port and its callers: they never wait for clients' connections
ASKING_SHARE = 1.0 / 3.0  # of all descriptors: the platform's clients open no more connections for requests
IDLE_SHARE = 0.9  # of the time after which a box closes an idle connection: ours are closed before that
DRAIN_GRACE_MS = 950.0  # after a box leaves, connections to it may still be opened for so long
BACKLOG = 512
OPERATOR_BACKLOG = 16
COUNTS_MS = 5_000.0  # between the log lines that count what was done since the last one
COUNTED = (What.OPENED, What.REFUSED, What.AHEAD, What.STALE, What.RESET)  # of connections, in these too
FIGURES_MS = 60_000.0  # between the log lines that count what connections did
LINGER_MS = 500.0  # what the last answers may take to leave


def build(pool: Pool, asked_ms: float) -> BoxConnection:
    return OriginConnection(pool, asked_ms) if pool.origin else CacheConnection(pool, asked_ms)


def _listen(reactor, host: str, port: int, factory: AcquirerSide, backlog: int):
    return reactor.listenTCP(port, factory, backlog=backlog, interface=host)


class Service:
    def __init__(self, reactor, config: Config, log: Log, now: Callable[[], float], epoch_ms: float) -> None:
        # The wheel turns no faster than that; the decisions are told, and keep their distance from deadlines.
        granularity_ms = max(TICK_MS, config.settings.granularity_ms)
        settings = replace(config.settings, granularity_ms=granularity_ms)
        self._reactor = reactor
        self._config = config
        self._log = log
        self.wheel = Wheel(reactor, settings.granularity_ms, now)
        self.figures = Figures()
        self.counts = Counts()
        self._counted = dict.fromkeys(COUNTED, 0)
        self.serving = Serving()
        spare = SPARE_DESCRIPTORS + (OPERATOR_DESCRIPTORS if config.operator else 0)
        self.budget = Budget(config.limits.sockets - spare)
        self.back = Back(IDLE_SHARE * settings.idle_close_ms, DRAIN_GRACE_MS, self.wheel.now())
        self.pools = Pools(
            reactor,
            self.wheel,
            log,
            build,
            self.budget,
            self.back,
            self.figures,
            settings.legs_per_connection,
            settings.connect_timeout_ms,
        )
        facade = Facade(settings, config.seed, now)
        self.dispatcher = Dispatcher(facade, self.wheel, self.pools, log, self.counts)
        self.table = RoutingTable(
            reactor, self.wheel, settings, self.pools, log, config.discovery, epoch_ms, self.counts
        )
        self.table.tell = self.dispatcher.news
        self.dispatcher.watch = self.table.watch
        self.dispatcher.list_age_ms = self.table.age_ms
        asking = int(ASKING_SHARE * config.limits.sockets)
        self.side = AcquirerSide(
            settings, self.dispatcher, self.wheel, log, self.budget, self.figures, asking, self.serving
        )
        # Either side that finds no room asks the other to close what is idle beyond its floor.
        self.pools.borrow = self.side.lend
        self.side.borrow = self.pools.lend
        self._port = None
        self._operators = None
        self._emptying = False  # a look is due
        self._linger_until_ms = 0.0

    def start(self, listen: Callable = _listen) -> None:
        """Listens only when the list is known: who connects is served."""
        self.wheel.start()
        self.table.start(self._config.known)
        self._tell_figures()
        self._tell_counts()
        host, port = self._config.listen
        self._port = self.side.port = listen(self._reactor, host, port, self.side, BACKLOG)
        if self._config.operator is not None:
            from cloverwell.front.operators import Operators  # where nobody calls, nothing is imported for it

            desk = Operators(self, self.wheel, self._log)
            self._operators = listen(self._reactor, *self._config.operator, desk, OPERATOR_BACKLOG)
        self.serving.serve()
        self._log.info("start", f"{self._config.name or 'proxy'} serves on {host}:{port}")

    def _tell_figures(self) -> None:
        if told := self.figures.line(*What):
            self._log.info("connections", told)
        self.wheel.at(self.wheel.now() + FIGURES_MS, self._tell_figures)

    def _tell_counts(self) -> None:
        for what, before in self._counted.items():
            if total := self.figures.total(what) - before:
                self.counts.add(f"connections.{what.value}", total)
                self._counted[what] += total
        if told := self.counts.line():
            self._log.info("counts", told)
        self.wheel.at(self.wheel.now() + COUNTS_MS, self._tell_counts)

    def reload(self, read: Callable[[], Config]) -> None:
        """The file has been replaced: discovery's address is taken from it, all else at the next start."""
        try:
            config = read()
        except ConfigError as error:
            self._log.warn("reload", f"all stays as it is: {error}".replace("\n", " "))
            return
        host, port = config.discovery
        self._log.info("reload", f"discovery is at {host}:{port}")
        self.table.move(config.discovery)

    # What operators ask ---------------------------------------------------------------------------

    def ready(self) -> bool:
        return self.serving.ready

    def drain(self) -> bool:
        """Empties the proxy; it goes on following discovery, and serves what comes all the same."""
        done = self.serving.drain(self.wheel.now())
        self._empty()
        return done

    def undrain(self) -> bool:
        return self.serving.undrain()

    # The end --------------------------------------------------------------------------------------

    def stop(self) -> None:
        """A planned end: all that was taken is answered, then the program ends."""
        now = self.wheel.now()
        if self.serving.stop(now):
            self._log.info("stop", f"draining, {self.dispatcher.open_count} authorisations open")
            self._linger_until_ms = now + STOP.cut_ms + LINGER_MS
            self._empty()

    def _empty(self) -> None:
        """A look each tick while the process is being emptied; more than one caller makes no more of them."""
        if not self._emptying and self.serving.emptying:
            self._emptying = True
            self.wheel.at(self.wheel.now() + self.wheel.granularity_ms, self._look)

    def _look(self) -> None:
        now = self.wheel.now()
        self._emptying = False
        if not self.serving.accepts(now) and self._port is not None:
            self._port.stopListening()
            self._port = self.side.port = None
        if self.serving.lets_go(now):
            self.side.let_go(cut=self.serving.cuts(now))
        if self.serving.state is State.STOPPING and self._all_left(now):
            self._end()
        else:
            self._empty()

    def _all_left(self, now: float) -> bool:
        if self.dispatcher.open_count:
            self._linger_until_ms = max(self._linger_until_ms, now + LINGER_MS)
            return False
        # A client that does not read its answer must not keep the program from its end.
        lingering = self.side.connections and now < self._linger_until_ms
        return self.serving.cuts(now) and not lingering

    def _end(self) -> None:
        if self._operators is not None:
            self._operators.stopListening()
        self.table.stop()
        self._log.info("connections", self.figures.line(*What))
        self._tell_counts()
        self._log.info("stop", "all is answered")
        self._reactor.stop()
