"""One proxy process: starts its parts, carries out operators' requests, and shuts down gracefully."""

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

OPERATOR_BACKLOG = 16  # connections that wait to be accepted at the operators' port

ResultT = TypeVar("ResultT")


class ListenFunction(Protocol):
    """The function that opens a listening port: `front.port.listen` in a real process."""

    def __call__(
        self,
        reactor: ProxyReactor,
        host: str,
        port: int,
        factory: BoundedFactory,
        backlog: int,
        shared: bool = False,
    ) -> SharedListeningPort:
        """Opens a port; `shared`: another process may listen at the same address.

        Raises `CannotListenError`.
        """


class AdoptFunction(Protocol):
    """The function that takes over the port of a predecessor: `front.port.adopt` in a real process."""

    def __call__(
        self, reactor: ProxyReactor, descriptor: int, factory: ClientConnections
    ) -> SharedListeningPort:
        """Returns a port with the listening socket `descriptor`, which the port owns from now on."""


def _listen(
    reactor: ProxyReactor, host: str, port: int, factory: Factory, backlog: int, shared: bool = False
) -> SharedListeningPort:
    """Opens a port of Twisted's own, as tests and the simulation use it; `shared` has no effect there."""
    del shared
    return cast(SharedListeningPort, reactor.listenTCP(port, factory, backlog=backlog, interface=host))


def _adopt(reactor: ProxyReactor, descriptor: int, factory: ClientConnections) -> SharedListeningPort:
    return cast(SharedListeningPort, reactor.adoptStreamPort(descriptor, socket.AF_INET, factory))


class Proxy:
    """One proxy: creates, starts and ends its parts, which are also its attributes.

    It implements `OperatorService` for the operators' port, and `ConfigurationTarget` for the control log.
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
        """Creates the parts; nothing listens or runs before `start`.

        `now`: the monotonic clock in ms; `read_epoch_ms`: returns the reading of that clock at Unix time 0;
        `predecessor`: the process that still serves at the same address, with the state that it hands over.
        """
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
        self._control: ProxyControl | None = None  # None without a `control` section in the configuration
        self.memory = parts.memory
        self._memory_monitor = parts.memory_monitor
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

    def start(
        self, listen: ListenFunction = _listen, adopt: AdoptFunction = _adopt, handover_folder: str = ""
    ) -> None:
        """Applies the known endpoint list, opens the ports, and serves.

        The ports open only when the list is applied, so that whoever connects can be served. With a control
        log the proxy serves once it has caught up with the log. `handover_folder`: the folder of the socket
        at which a successor asks for a handover, "" if none may ask. Raises `CannotListenError`.
        """
        self.timer_wheel.start()
        self.endpoint_discovery.start(*self._handover.initial_list())
        self._metrics_log.start()
        self._open_client_port(listen, adopt)
        if self._config.operator is not None:
            self._open_operator_port(listen, *self._config.operator)
            if handover_folder:
                self._handover.open(self._reactor, handover_folder)
        else:
            self._log.info("operator", "no operator address is configured: operators' calls are not answered")
        if self._config.control is None:
            self._serve()
        else:
            self._follow_control()

    def measure_memory(self) -> None:
        """Sizes the budget of memory by what this process takes now, and observes it from now on."""
        self._memory_monitor.start()

    def _open_client_port(self, listen: ListenFunction, adopt: AdoptFunction) -> None:
        predecessor = self._handover.predecessor
        if predecessor is not None:
            listening_port = adopt(self._reactor, predecessor.listening_descriptor, self.client_connections)
        else:
            # With an operators' port, an old process that could not hand its port over may still listen here.
            shared = self._config.operator is not None
            listening_port = listen(
                self._reactor, *self._config.listen, self.client_connections, BACKLOG, shared
            )
        self._client_port.open(listening_port)

    def _open_operator_port(self, listen: ListenFunction, host: str, port: int) -> None:
        # Imported here, so that a proxy without an operators' port does not load its HTTP parser.
        from cloverwell.front.operators import OperatorHttpFactory

        operators = OperatorHttpFactory(self, self.timer_wheel, self._log)
        self._operator_port = listen(self._reactor, host, port, operators, OPERATOR_BACKLOG)
        self._log.info("operator", f"operators' calls are answered at {host}:{port}")

    def _follow_control(self) -> None:
        """Keeps clients waiting until this proxy has caught up with the control log, or has timed out."""
        # Imported here, so that a proxy without a control log does not load its code.
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
        self._client_port.enable_automatic_pauses()
        self._change_state(self.serving.serve)
        self._handover.watch_predecessor(self._reactor)
        host, port = self._config.listen
        self._log.info("start", f"{self._config.name or 'proxy'} serves on {host}:{port}")

    @property
    def _port(self) -> SharedListeningPort | None:
        """The port that clients connect to; None while it is not open."""
        return self._client_port.listening_port

    # Configuration ------------------------------------------------------------------------------------

    def reload(self, read_new_config: Callable[[], Config]) -> None:
        """Applies discovery's address from a replaced configuration file; all else applies at the next start.

        `read_new_config` returns the new configuration. If it raises `ConfigError`, nothing changes.
        """
        try:
            config = read_new_config()
        except ConfigError as error:
            self._log.warn(
                "reload",
                f"the configuration can't be reloaded and stays unchanged: {error}".replace("\n", " "),
            )
            return
        host, port = config.discovery
        self._log.info("reload", f"discovery is at {host}:{port}")
        if self._control is not None:
            self._control.discovery_reloaded(config.discovery)
        self.activate(config.discovery, self.facade.settings.peers_total)

    def activate(self, discovery: tuple[str, int], peers_total: int) -> None:
        """Applies all that may change at run time: discovery's address and the number of proxies."""
        self.endpoint_discovery.change_address(discovery)
        self.set_peers_total(peers_total)

    def set_peers_total(self, peers_total: int) -> None:
        """Sets the number of proxies that share the nodes."""
        if peers_total != self.facade.settings.peers_total:
            self.facade.resize(peers_total)

    # Handover: the simulation calls these directly, without messages between processes ----------------

    def hand_over(self) -> tuple[HandoverState, int]:
        """Returns what a successor needs; see `HandoverCoordinator.hand_over`."""
        return self._handover.hand_over()

    def successor_started(self) -> None:
        """Leaves new connections to the successor; see `HandoverCoordinator.successor_started`."""
        self._handover.successor_started()

    def predecessor_exited(self) -> None:
        """Takes over all descriptors; see `HandoverCoordinator.predecessor_exited`."""
        self._handover.predecessor_exited()

    # Operators' requests ------------------------------------------------------------------------------

    def ready(self) -> bool:
        """Returns whether this process can serve."""
        return self.serving.can_serve

    def drain(self) -> bool:
        """Drains the process: closes clients' connections between requests, and serves what still arrives.

        `serving.DRAIN_SCHEDULE` says for how long. Returns whether the process is drained now.
        """
        drained = self._change_state(lambda: self.serving.drain(self.timer_wheel.now()))
        self._shutdown.begin()
        return drained

    def undrain(self) -> bool:
        """Ends a drain; returns whether the process is ready now."""
        undrained = self._change_state(self.serving.undrain)
        self._shutdown.begin()
        return undrained

    def configuration(self) -> str | None:
        """Returns one line on the active version of the configuration; None without a control log."""
        return None if self._control is None else self._control.describe()

    # End ----------------------------------------------------------------------------------------------

    def stop(self) -> None:
        """Begins a graceful shutdown: answers all open requests, then ends the program."""
        longest_deadline_ms = max(cls.deadline_ms for cls in self._config.settings.classes)
        now = self.timer_wheel.now()
        handed_over = self._handover.successor_serves
        if self._change_state(lambda: self.serving.stop(now, longest_deadline_ms, handed_over)):
            self._log.info("stop", f"draining, {self.dispatcher.open_count} requests open")
            self._shutdown.begin()
        else:
            self._log.info("stop", "the shutdown has begun already and continues unchanged")

    def _change_state(self, change: Callable[[], ResultT]) -> ResultT:
        """Applies a change of the serving state, and logs the states before and after it."""
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
        self._log.info("stop", "the shutdown is complete")
        if self._control is None:
            self._reactor.stop()
        else:
            self._control.stop()
            # The reactor stops one turn later, so that the notice to the control node is sent before.
            self._reactor.callLater(0, self._reactor.stop)
