"""The parts of one proxy put together, and its end."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cloverwell.back.cache_connection import CacheConnection
from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.origin_connection import OriginConnection
from cloverwell.back.pool import Pool
from cloverwell.back.pools import NodePools
from cloverwell.config import MIN_SOCKETS, Config, ConfigError
from cloverwell.connections.budget import DescriptorBudget, DescriptorSide
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.counters import Counters
from cloverwell.dispatcher import Dispatcher
from cloverwell.facade import Facade
from cloverwell.front.client_connections import BACKLOG, ClientConnections
from cloverwell.handover.messages import VERSION, HandoverError, HandoverState, place
from cloverwell.handover.predecessor import SuccessorListener
from cloverwell.handover.successor import Predecessor
from cloverwell.log import Log
from cloverwell.membership.endpoint_discovery import EndpointDiscovery
from cloverwell.serving import Serving, ServingState
from cloverwell.timer_wheel import TimerWheel

TICK_MS = 5.0
SPARE_DESCRIPTORS = 24  # standard streams, the reactor's own, discovery, and what is closed but not yet free
OPERATOR_DESCRIPTORS = 10  # the operators' port and its callers: they never wait for clients' connections
FLOW_SHARE = 0.125  # of the memory: for long values that are ahead of their readers
MIN_BUDGET = 8  # connections, however few descriptors there are during a replacement
ASKING_SHARE = 1.0 / 3.0  # of all descriptors: the platform's clients open no more connections for requests
IDLE_SHARE = 0.9  # of the time after which a node closes an idle connection: ours are closed before that
# After a node leaves, attempts to it may still be written for the settings' grace less this: the rule counts
# from a send's first byte at the node, and between the look at the clock and that come a hold-up of the
# process and the way there.
HOLD_UP_MS = 150.0
WAY_MS = 50.0
DRAIN_MARGIN_MS = HOLD_UP_MS + WAY_MS
OPERATOR_BACKLOG = 16
COUNTS_MS = 5_000.0  # between the log lines that count what was done since the last one
# of connections, in these too
COUNTED = (
    ConnectionEvent.OPENED,
    ConnectionEvent.CONNECT_REFUSED,
    ConnectionEvent.NOT_OPENED,
    ConnectionEvent.AHEAD,
    ConnectionEvent.STALE,
    ConnectionEvent.RESET,
)
FIGURES_MS = 60_000.0  # between the log lines that count what connections did
LINGER_MS = 500.0  # what the last answers may take to leave


def build(pool: Pool, asked_ms: float) -> NodeConnection:
    return OriginConnection(pool, asked_ms) if pool.origin else CacheConnection(pool, asked_ms)


def _listen(
    reactor: Any, host: str, port: int, factory: ClientConnections, backlog: int, shared: bool = False
) -> Any:
    return reactor.listenTCP(port, factory, backlog=backlog, interface=host)


def _adopt(reactor: Any, descriptor: int, factory: ClientConnections) -> Any:
    return reactor.adoptStreamPort(descriptor, socket.AF_INET, factory)


class Proxy:
    def __init__(
        self,
        reactor: Any,
        config: Config,
        log: Log,
        now: Callable[[], float],
        read_epoch_ms: Callable[[], float],
        left: Predecessor | None = None,
    ) -> None:
        """`left`: the process that serves in our place as yet, with what it leaves us."""
        # The wheel turns no faster than that; the decisions are told, and keep their distance from deadlines.
        granularity_ms = max(TICK_MS, config.settings.granularity_ms)
        settings = replace(config.settings, granularity_ms=granularity_ms)
        self._reactor = reactor
        self._config = config
        self._log = log
        self.timer_wheel = TimerWheel(reactor, settings.granularity_ms, now)
        self.metrics = ConnectionMetrics()
        self.counts = Counters()
        self._counted = dict.fromkeys(COUNTED, 0)
        self.serving = Serving()
        self._left = left
        self._spare = SPARE_DESCRIPTORS + (OPERATOR_DESCRIPTORS if config.operator else 0)
        sockets = (
            config.limits.sockets if left is None else min(left.handover_state.sockets, config.limits.sockets)
        )
        self.budget = DescriptorBudget(max(MIN_BUDGET, sockets - self._spare))
        grace_ms = max(0.0, settings.drain_grace_ms - DRAIN_MARGIN_MS)
        self.back = NodeConnectionPolicy(
            IDLE_SHARE * settings.idle_close_ms, grace_ms, self.timer_wheel.now()
        )
        self.pools = NodePools(
            reactor,
            self.timer_wheel,
            log,
            build,
            self.budget,
            self.back,
            self.metrics,
            settings.attempts_per_connection,
            settings.connect_timeout_ms,
            hold=not settings.may_copy,
        )
        self.facade = Facade(settings, config.seed, now)
        self.dispatcher = Dispatcher(self.facade, self.timer_wheel, self.pools, log, self.counts)
        self.endpoint_discovery = EndpointDiscovery(
            reactor,
            self.timer_wheel,
            settings,
            self.pools,
            log,
            config.discovery,
            read_epoch_ms,
            self.counts,
            config.seed,
        )
        self.endpoint_discovery.tell = self.dispatcher.news
        self.dispatcher.watch = self.endpoint_discovery.watch
        self.dispatcher.list_age_ms = self.endpoint_discovery.age_ms
        asking = int(ASKING_SHARE * config.limits.sockets)
        flow_bytes = int(FLOW_SHARE * config.limits.memory_mb * 1024 * 1024)
        self.side = ClientConnections(
            settings,
            self.dispatcher,
            self.timer_wheel,
            log,
            self.budget,
            self.metrics,
            asking,
            self.serving,
            flow_bytes,
        )
        # Either side that finds no room asks the other to close what is idle beyond its floor.
        self.pools.borrow = self.side.lend
        self.side.borrow = self.pools.lend
        self._port = None
        self._operators = None
        self._successor_listener: SuccessorListener | None = None
        self._control: Any = None  # a `ProxyControl`, where the configuration asks for one
        self._successor_serves = False
        self._emptying = False  # a look is due
        self._cut = False  # a look has found that half commands are cut
        self._linger_until_ms = 0.0

    def start(self, listen: Callable = _listen, adopt: Callable = _adopt, folder: str = "") -> None:
        """Listens only when the list is known: who connects is served. `folder`: where a successor asks."""
        self.timer_wheel.start()
        known, inherited = self._config.known, None
        if self._left is not None:
            inherited = self._left.handover_state.node_starts
            if self._left.handover_state.table.revision > known.revision:
                known = self._left.handover_state.table
        self.endpoint_discovery.start(known, inherited)
        self._tell_figures()
        self._tell_counts()
        host, port = self._config.listen
        if self._left is not None:
            self._port = adopt(self._reactor, self._left.listening, self.side)
        else:
            # Where processes are replaced, and none could be asked.
            shared = self._config.operator is not None
            self._port = listen(self._reactor, host, port, self.side, BACKLOG, shared)
        if self._config.operator is not None:
            from cloverwell.front.operators import Operators  # where nobody calls, nothing is imported for it

            desk = Operators(self, self.timer_wheel, self._log)
            self._operators = listen(self._reactor, *self._config.operator, desk, OPERATOR_BACKLOG)
            if folder:
                self._successor_listener = SuccessorListener(
                    self._reactor,
                    place(folder, self._config.listen),
                    self._config.listen,
                    self,
                    self.timer_wheel,
                    self._log,
                )
                self._successor_listener.open()
        if self._config.control is None:
            self._serve()
        else:
            self._port.pauseProducing()
            self.side.accepts_no_more()
            self._follow_control()

    def _follow_control(self) -> None:
        """Who connects waits until this proxy is caught up with the control log, for a bounded time."""
        from cloverwell.control.proxy.proxy_control import ProxyControl  # only where it is asked for

        self._control = ProxyControl(self._reactor, self.timer_wheel, self._log, self._config, self)
        self._control.start(self._caught_up)

    def _caught_up(self) -> None:
        if self._port is not None and self.serving.state is ServingState.STARTING:
            self._port.resumeProducing()
            self._serve()

    def _serve(self) -> None:
        """From now on who connects is served."""
        self.side.port = self._port
        self.serving.serve()
        if self._left is not None:
            self._left.watch(self._reactor, self._alone)
        host, port = self._config.listen
        self._log.info("start", f"{self._config.name or 'proxy'} serves on {host}:{port}")

    def _tell_figures(self) -> None:
        if told := self.metrics.line(*ConnectionEvent):
            self._log.info("connections", told)
        self.timer_wheel.at(self.timer_wheel.now() + FIGURES_MS, self._tell_figures)

    def _tell_counts(self) -> None:
        for what, before in self._counted.items():
            if total := self.metrics.total(what) - before:
                self.counts.add(f"connections.{what.value}", total)
                self._counted[what] += total
        if told := self.counts.line():
            self._log.info("counts", told)
        self.timer_wheel.at(self.timer_wheel.now() + COUNTS_MS, self._tell_counts)

    def reload(self, read: Callable[[], Config]) -> None:
        """The file has been replaced: discovery's address is taken from it, all else at the next start."""
        try:
            config = read()
        except ConfigError as error:
            self._log.warn("reload", f"all stays as it is: {error}".replace("\n", " "))
            return
        host, port = config.discovery
        self._log.info("reload", f"discovery is at {host}:{port}")
        self.activate(config.discovery, self.facade.settings.peers_total)

    def activate(self, discovery: tuple[str, int], peers_total: int) -> None:
        """All that may change at run time changes here, at once."""
        self.endpoint_discovery.move(discovery)
        self.resize(peers_total)

    def resize(self, peers_total: int) -> None:
        """So many proxies share the servers from now on."""
        if peers_total != self.facade.settings.peers_total:
            self.facade.resize(peers_total)

    # Another process in our place -----------------------------------------------------------------

    def hand_over(self) -> tuple[HandoverState, int]:
        """To limits both processes are one: the descriptors are divided, after what is in use here."""
        if self._port is None:
            raise HandoverError("it listens no more")
        full = self._config.limits.sockets
        used = (
            self.budget.held[DescriptorSide.CLIENTS]
            + self.budget.held[DescriptorSide.NODES]
            - len(self.pools.idle)
        )
        keep = min(full - MIN_SOCKETS, max(full // 2, self._spare + used + SPARE_DESCRIPTORS))
        self._divide(keep)
        held = self._spare + sum(self.budget.held.values())
        handover_state = HandoverState(
            VERSION,
            max(MIN_SOCKETS, full - max(keep, held)),
            self.endpoint_discovery.listing(),
            self.endpoint_discovery.node_starts(),
        )
        return handover_state, self._port.share()

    def _divide(self, sockets: int) -> None:
        self.budget.resize(max(MIN_BUDGET, sockets - self._spare))
        self.side.front.most = self.budget.most(DescriptorSide.CLIENTS)
        self.pools.shrink()

    def succeeded(self) -> None:
        """Who connects from now on is the successor's."""
        self._successor_serves = True
        if self._control is not None:
            self._control.stop()  # the successor has the name now
        self.side.port = None
        if self._port is not None:
            self._port.pauseProducing()
        self.side.accepts_no_more()
        self._log.info("handover", "the successor serves")

    def successor_lost(self) -> None:
        if self.serving.state is ServingState.STOPPING:
            return
        self._successor_serves = False
        self._divide(self._config.limits.sockets)
        if self.serving.state is not ServingState.STARTING:
            self.side.port = self._port
            self._port.resumeProducing()
        self._successor_listener.open()
        if self._control is not None:
            self._control.resume()
        self._log.warn("handover", "the successor has gone: all is as it was")

    def _alone(self) -> None:
        self._left = None
        self._divide(self._config.limits.sockets)
        self._log.info("handover", f"the predecessor has gone: {self._config.limits.sockets} descriptors")

    # What operators ask ---------------------------------------------------------------------------

    def ready(self) -> bool:
        return self.serving.ready

    def drain(self) -> bool:
        """Empties the proxy; it goes on following discovery, and serves what comes all the same."""
        done = self.serving.drain(self.timer_wheel.now())
        self._empty()
        return done

    def undrain(self) -> bool:
        return self.serving.undrain()

    def configuration(self) -> str | None:
        """Which version of the configuration is in force; None where no control log tells it."""
        return None if self._control is None else self._control.describe()

    # The end --------------------------------------------------------------------------------------

    def stop(self) -> None:
        """A planned end: all that was taken is answered, then the program ends."""
        now = self.timer_wheel.now()
        longest_ms = max(cls.deadline_ms for cls in self._config.settings.classes)
        if self.serving.stop(now, longest_ms, self._successor_serves):
            self._log.info("stop", f"draining, {self.dispatcher.open_count} requests open")
            self.dispatcher.close_by(self.serving.answers_by_ms())
            self._empty()

    def _empty(self) -> None:
        """A look each tick while the process is being emptied; more than one caller makes no more of them."""
        if not self._emptying and self.serving.emptying:
            self._emptying = True
            self.timer_wheel.at(self.timer_wheel.now() + self.timer_wheel.granularity_ms, self._look)

    def _look(self) -> None:
        now = self.timer_wheel.now()
        self._emptying = False
        if not self.serving.accepts(now) and self._port is not None:
            self._port.stopListening()
            self._port = self.side.port = None
        if self.serving.lets_go(now):
            self.side.let_go(cut=self.serving.cuts(now))
        if self.serving.state is ServingState.STOPPING and self._all_left(now):
            self._end()
        else:
            self._empty()

    def _all_left(self, now: float) -> bool:
        if self.dispatcher.open_count or self.side.flows:
            self._linger_until_ms = now + LINGER_MS
            return False
        if not self.side.connections:
            return not self.serving.accepts(now)
        if not self._cut:  # counted from a look on, not by the clock alone: a loop held up has not read yet
            self._cut = self.serving.cuts(now)
            self._linger_until_ms = now + LINGER_MS
            return False
        self._linger_until_ms += (
            self.timer_wheel.last_tick_delay_ms
        )  # in which nothing could leave, or be read
        # A client that does not read its answer must not keep the program from its end.
        return now >= self._linger_until_ms

    def _end(self) -> None:
        if self._operators is not None:
            self._operators.stopListening()
        if self._successor_listener is not None:
            self._successor_listener.close()
        self.endpoint_discovery.stop()
        self._log.info("connections", self.metrics.line(*ConnectionEvent))
        self._tell_counts()
        self._log.info("stop", "all is answered")
        if self._control is None:
            self._reactor.stop()
        else:
            self._control.stop()
            self._reactor.callLater(0, self._reactor.stop)  # its last message leaves in this turn of the loop
