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
from cloverwell.wheel import Wheel

TICK_MS = 5.0
SPARE_DESCRIPTORS = 24  # standard streams, the reactor's own, discovery, and what is closed but not yet free
ASKING_SHARE = 1.0 / 3.0  # of all descriptors: the platform's clients open no more connections for requests
IDLE_SHARE = 0.9  # of the time after which a box closes an idle connection: ours are closed before that
DRAIN_GRACE_MS = 950.0  # after a box leaves, connections to it may still be opened for so long
BACKLOG = 512
COUNTS_MS = 5_000.0  # between the log lines that count what was done since the last one
COUNTED = (What.OPENED, What.REFUSED, What.AHEAD, What.STALE, What.RESET)  # of connections, in these too
FIGURES_MS = 60_000.0  # between the log lines that count what connections did
ACCEPT_MS = 500.0  # after SIGTERM clients may not have heard yet: new connections are taken for so long
LINGER_MS = 500.0  # what the last answers may take to leave
CLOSE_MS = 750.0  # and what comes on open ones is answered for longer than they may still be used


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
        self.budget = Budget(config.limits.sockets - SPARE_DESCRIPTORS)
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
            settings, self.dispatcher, self.wheel, log, self.budget, self.figures, asking
        )
        # Either side that finds no room asks the other to close what is idle beyond its floor.
        self.pools.borrow = self.side.lend
        self.side.borrow = self.pools.lend
        self._port = None
        self._draining = False
        self._linger_until_ms = 0.0
        self._cut_ms = 0.0

    def start(self, listen: Callable = _listen) -> None:
        """Listens only when the list is known: who connects is served."""
        self.wheel.start()
        self.table.start(self._config.known)
        self._tell_figures()
        self._tell_counts()
        host, port = self._config.listen
        self._port = self.side.port = listen(self._reactor, host, port, self.side, BACKLOG)
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

    def drain(self) -> None:
        """A planned end: all that was taken is answered, then the program ends."""
        if self._draining:
            return
        self._draining = True
        self._linger_until_ms = self.wheel.now() + CLOSE_MS + LINGER_MS
        self._log.info("stop", f"draining, {self.dispatcher.open_count} authorisations open")
        now = self.wheel.now()
        self.wheel.not_before(now + ACCEPT_MS, self._stop_listening)
        self._cut_ms = now + CLOSE_MS

    def _stop_listening(self) -> None:
        if self._port is not None:
            self._port.stopListening()
            self.side.port = None
        self._finish()

    def _finish(self) -> None:
        """Closes clients' connections between requests, until none is left."""
        now = self.wheel.now()
        self.side.let_go(cut=now >= self._cut_ms)
        if self.dispatcher.open_count:
            self._linger_until_ms = max(self._cut_ms, now) + LINGER_MS
        # A client that does not read its answer must not keep the program from its end.
        lingering = self.side.connections and now < self._linger_until_ms
        if lingering or self.dispatcher.open_count or now < self._cut_ms:
            self.wheel.at(now + self.wheel.granularity_ms, self._finish)
            return
        self.table.stop()
        self._log.info("connections", self.figures.line(*What))
        self._tell_counts()
        self._log.info("stop", "all is answered")
        self._reactor.stop()
