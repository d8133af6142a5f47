"""One proxy process, from its start to its end, and what operators may ask of it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, TypeVar, cast

from twisted.internet.protocol import Factory

from cloverwell.assembly import ProxyReactor, assemble
from cloverwell.client_port import ClientPort, SharedListeningPort
from cloverwell.config import Config, ConfigError
from cloverwell.front.client_connections import BACKLOG, ClientConnections
from cloverwell.front.port import BoundedFactory
from cloverwell.graceful_shutdown import GracefulShutdown
from cloverwell.handover.messages import HandoverState
from cloverwell.handover.successor import Predecessor
from cloverwell.handover_coordinator import HandoverCoordinator
from cloverwell.log import Log
from cloverwell.metrics_log import MetricsLog
from cloverwell.serving import ServingState

if TYPE_CHECKING:
    from cloverwell.control.proxy.proxy_control import ProxyControl

OPERATOR_BACKLOG = 16

T = TypeVar("T")


class Listen(Protocol):
    """How a port is opened: `front.port.listen` in a real process."""

    def __call__(
        self,
        reactor: ProxyReactor,
        host: str,
        port: int,
        factory: BoundedFactory,
        backlog: int,
        shared: bool = False,
    ) -> SharedListeningPort:
        """`shared`: another process may listen at the same address. Raises `CannotListenError`."""


class Adopt(Protocol):
    """How the port of a predecessor is taken over: `front.port.adopt` in a real process."""

    def __call__(
        self, reactor: ProxyReactor, descriptor: int, factory: ClientConnections
    ) -> SharedListeningPort:
        """`descriptor`: of the listening socket; it is taken."""


def _listen(
    reactor: ProxyReactor, host: str, port: int, factory: Factory, backlog: int, shared: bool = False
) -> SharedListeningPort:
    """Twisted's own port, as tests and the simulation use it; `shared` has no meaning there."""
    del shared
    return cast(SharedListeningPort, reactor.listenTCP(port, factory, backlog=backlog, interface=host))


def _adopt(reactor: ProxyReactor, descriptor: int, factory: ClientConnections) -> SharedListeningPort:
    return cast(SharedListeningPort, reactor.adoptStreamPort(descriptor, socket.AF_INET, factory))


class Proxy:
    """One proxy: starts its parts, which are also its attributes, and ends them.

    It is the `OperatorService` of the operators' port and the `ConfigurationTarget` of the control log.
    """

    def __init__(
        self,
        reactor: ProxyReactor,
        config: Config,
        log: Log,
        now: Callable[[], float],
        read_epoch_ms: Callable[[], float],
        predecessor: Predecessor | None = None,
    ) -> None:
        """`now`: ms of the monotonic clock; `read_epoch_ms`: what that clock showed when Unix time was 0;
        `predecessor`: the process that serves at the same address as yet, with what it hands over."""
        self._reactor = reactor
        self._config = config
        self._log = log
        parts = assemble(reactor, config, log, now, read_epoch_ms, predecessor)
        self.timer_wheel = parts.timer_wheel
        self.metrics = parts.metrics
        self.counts = parts.counts
        self.serving = parts.serving
        self.budget = parts.budget
        self.node_policy = parts.node_policy
        self.pools = parts.pools
        self.facade = parts.facade
        self.dispatcher = parts.dispatcher
        self.endpoint_discovery = parts.endpoint_discovery
        self.client_connections = parts.client_connections
        self._client_port = ClientPort(parts.client_connections)
        self._operator_port: SharedListeningPort | None = None
        self._control: ProxyControl | None = None  # where the configuration has a `control` section
        self._metrics_log = MetricsLog(parts.timer_wheel, log, parts.metrics, parts.counts)
        self._handover = HandoverCoordinator(config, log, parts, self._client_port, predecessor)
        self._shutdown = GracefulShutdown(
            parts.timer_wheel,
            parts.serving,
            parts.dispatcher,
            parts.client_connections,
            self._client_port,
            log,
            self._end,
        )

    # Start --------------------------------------------------------------------------------------------

    def start(self, listen: Listen = _listen, adopt: Adopt = _adopt, folder: str = "") -> None:
        """Takes the endpoint list, opens the ports and serves, once a control log is caught up with.

        It listens only when the list is known, so that whoever connects is served. `folder`: where a
        successor asks for a handover, "" for nowhere. Raises `CannotListenError`.
        """
        self.timer_wheel.start()
        self.endpoint_discovery.start(*self._handover.initial_list())
        self._metrics_log.start()
        self._open_client_port(listen, adopt)
        if self._config.operator is not None:
            self._open_operator_port(listen, *self._config.operator)
            if folder:
                self._handover.open(self._reactor, folder)
        else:
            self._log.info("operator", "no address is configured, no call is answered")
        if self._config.control is None:
            self._serve()
        else:
            self._follow_control()

    def _open_client_port(self, listen: Listen, adopt: Adopt) -> None:
        predecessor = self._handover.predecessor
        if predecessor is not None:
            listening = adopt(self._reactor, predecessor.listening_descriptor, self.client_connections)
        else:
            # Where processes are replaced beside each other, and no predecessor could be asked.
            shared = self._config.operator is not None
            listening = listen(self._reactor, *self._config.listen, self.client_connections, BACKLOG, shared)
        self._client_port.open(listening)

    def _open_operator_port(self, listen: Listen, host: str, port: int) -> None:
        # Imported here, so that a proxy without the port does not load the HTTP parser for it.
        from cloverwell.front.operators import OperatorHttpFactory

        operators = OperatorHttpFactory(self, self.timer_wheel, self._log)
        self._operator_port = listen(self._reactor, host, port, operators, OPERATOR_BACKLOG)
        self._log.info("operator", f"calls are answered at {host}:{port}")

    def _follow_control(self) -> None:
        """Whoever connects waits until this proxy is caught up with the control log, for a bounded time."""
        # Imported here, so that a proxy without a control log does not load it.
        from cloverwell.control.proxy.proxy_control import ProxyControl

        self._client_port.pause()
        self._control = ProxyControl(self._reactor, self.timer_wheel, self._log, self._config, self)
        self._handover.control = self._control
        self._control.start(self._caught_up)

    def _caught_up(self) -> None:
        if self._port is not None and self.serving.state is ServingState.STARTING:
            self._client_port.resume()
            self._serve()

    def _serve(self) -> None:
        self._client_port.attach()
        self._change_state(self.serving.serve)
        self._handover.watch_predecessor(self._reactor)
        host, port = self._config.listen
        self._log.info("start", f"{self._config.name or 'proxy'} serves on {host}:{port}")

    @property
    def _port(self) -> SharedListeningPort | None:
        """The port that clients connect to, while it is open."""
        return self._client_port.listening

    # Configuration ------------------------------------------------------------------------------------

    def reload(self, read: Callable[[], Config]) -> None:
        """The file has been replaced: discovery's address is taken from it, all else at the next start.

        `read` returns the new configuration; where it raises `ConfigError` nothing changes.
        """
        try:
            config = read()
        except ConfigError as error:
            self._log.warn("reload", f"all stays as it is: {error}".replace("\n", " "))
            return
        host, port = config.discovery
        self._log.info("reload", f"discovery is at {host}:{port}")
        self.activate(config.discovery, self.facade.settings.peers_total)

    def activate(self, discovery: tuple[str, int], peers_total: int) -> None:
        """Changes all that may change at run time, at once: discovery's address and the number of proxies."""
        self.endpoint_discovery.change_address(discovery)
        self.set_peers_total(peers_total)

    def set_peers_total(self, peers_total: int) -> None:
        """From now on that many proxies share the nodes."""
        if peers_total != self.facade.settings.peers_total:
            self.facade.resize(peers_total)

    # Handover, as the simulation has it without a conversation between processes ----------------------

    def hand_over(self) -> tuple[HandoverState, int]:
        """See `HandoverCoordinator.hand_over`."""
        return self._handover.hand_over()

    def successor_started(self) -> None:
        """See `HandoverCoordinator.successor_started`."""
        self._handover.successor_started()

    def predecessor_exited(self) -> None:
        """See `HandoverCoordinator.predecessor_exited`."""
        self._handover.predecessor_exited()

    # What operators ask -------------------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this process can serve."""
        return self.serving.can_serve

    def drain(self) -> bool:
        """Closes clients' connections between requests; requests that come all the same are served.

        Returns whether the process is drained now.
        """
        drained = self._change_state(lambda: self.serving.drain(self.timer_wheel.now()))
        self._shutdown.begin()
        return drained

    def undrain(self) -> bool:
        """Takes a drain back; returns whether the process is ready now."""
        undrained = self._change_state(self.serving.undrain)
        self._shutdown.begin()
        return undrained

    def configuration(self) -> str | None:
        """One line on the active version of the configuration; None without a control log."""
        return None if self._control is None else self._control.describe()

    # End ----------------------------------------------------------------------------------------------

    def stop(self) -> None:
        """Begins a graceful shutdown: all open requests are answered, then the program ends."""
        longest_deadline_ms = max(cls.deadline_ms for cls in self._config.settings.classes)
        now = self.timer_wheel.now()
        handed_over = self._handover.successor_serves
        if self._change_state(lambda: self.serving.stop(now, longest_deadline_ms, handed_over)):
            self._log.info("stop", f"draining, {self.dispatcher.open_count} requests open")
            self._shutdown.begin()
        else:
            self._log.info("stop", "asked again, the shutdown goes on as it has begun")

    def _change_state(self, change: Callable[[], T]) -> T:
        """Makes a change of the serving state, and logs what it was and is."""
        before = self.serving.state
        result = change()
        if self.serving.state is not before:
            self._log.info("serving", f"{before.value} -> {self.serving.state.value}")
        return result

    def _end(self) -> None:
        if self._operator_port is not None:
            self._operator_port.stopListening()
        self._handover.close()
        self.endpoint_discovery.stop()
        self._metrics_log.log_final()
        self._log.info("stop", "all is answered")
        if self._control is None:
            self._reactor.stop()
        else:
            self._control.stop()
            # The control node is told in this turn of the event loop.
            self._reactor.callLater(0, self._reactor.stop)
