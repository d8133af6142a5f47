"""A proxy's own part in a handover: what it leaves its successor, and what it has of its predecessor.

The conversations between the processes are those of `cloverwell.handover`; here the port and the descriptors
change hands. The platform's limits count both processes as one proxy, so the descriptors are divided between
them.
"""

from __future__ import annotations

from typing import Protocol

from cloverwell.assembly import (
    SPARE_DESCRIPTORS,
    ProxyParts,
    ProxyReactor,
    connection_budget,
    reserved_descriptors,
)
from cloverwell.client_port import ClientPort
from cloverwell.config import MIN_SOCKETS, Config
from cloverwell.connections.budget import DescriptorSide
from cloverwell.handover.messages import PROTOCOL_VERSION, HandoverError, HandoverState, handover_socket_path
from cloverwell.handover.predecessor import SuccessorListener
from cloverwell.handover.successor import Predecessor
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import EndpointList
from cloverwell.membership.node_starts import KnownStarts
from cloverwell.serving import ServingState


class ControlSubscriber(Protocol):
    """What follows the control log under this proxy's name, which one process at a time may do."""

    def stop(self) -> None:
        """Follows the log no more; the active configuration stays."""

    def resume(self) -> None:
        """Follows the log again after `stop`; without one nothing changes."""


class HandoverCoordinator:
    """The handovers of one process: at its start from a predecessor, later to a successor.

    It is the `Owner` of the `SuccessorListener`. `control` is set where the proxy follows a control log;
    `successor_serves` tells whether another process has the port now.
    """

    def __init__(
        self,
        config: Config,
        log: Log,
        parts: ProxyParts,
        client_port: ClientPort,
        predecessor: Predecessor | None,
    ) -> None:
        """`predecessor`: what `cloverwell.handover.successor.request_handover` has found."""
        self._config = config
        self._log = log
        self._parts = parts
        self._client_port = client_port
        self._successor_listener: SuccessorListener | None = None
        self.predecessor = predecessor
        self.control: ControlSubscriber | None = None
        self.successor_serves = False

    # From a predecessor -------------------------------------------------------------------------------

    def initial_list(self) -> tuple[EndpointList, KnownStarts | None]:
        """The newest endpoint list known before discovery answers, and when its nodes started, if known."""
        configured = self._config.known_endpoints
        if self.predecessor is None:
            return configured, None
        state = self.predecessor.handover_state
        newest = state.table if state.table.revision > configured.revision else configured
        return newest, state.node_starts

    def watch_predecessor(self, reactor: ProxyReactor) -> None:
        """This process serves now: tells the predecessor, and waits for its end."""
        if self.predecessor is not None:
            self.predecessor.watch(reactor, self.predecessor_exited)

    def predecessor_exited(self) -> None:
        """The predecessor has ended: all descriptors are this process's."""
        self.predecessor = None
        self._divide_descriptors(self._config.limits.sockets)
        self._log.info("handover", f"the predecessor has gone: {self._config.limits.sockets} descriptors")

    # To a successor -----------------------------------------------------------------------------------

    def open(self, reactor: ProxyReactor, folder: str) -> None:
        """Waits for a successor on a Unix socket in `folder`."""
        self._successor_listener = SuccessorListener(
            reactor,
            handover_socket_path(folder, self._config.listen),
            self._config.listen,
            self,
            self._parts.timer_wheel,
            self._log,
        )
        self._successor_listener.open()

    def close(self) -> None:
        """Waits for no successor any more."""
        if self._successor_listener is not None:
            self._successor_listener.close()

    def hand_over(self) -> tuple[HandoverState, int]:
        """What the successor needs, and the descriptor of the port; divides the descriptors between both.

        Raises `HandoverError` where the port is closed already.
        """
        if self._client_port.listening is None:
            raise HandoverError("it listens no more")
        total = self._config.limits.sockets
        kept = self._kept_descriptors(total)
        self._divide_descriptors(kept)
        budget = self._parts.budget
        held = reserved_descriptors(self._config) + sum(budget.held.values())
        handover_state = HandoverState(
            PROTOCOL_VERSION,
            max(MIN_SOCKETS, total - max(kept, held)),
            self._parts.endpoint_discovery.current_list(),
            self._parts.endpoint_discovery.node_starts(),
        )
        return handover_state, self._client_port.listening.share_socket()

    def successor_started(self) -> None:
        """The successor serves: it accepts all further connections."""
        self.successor_serves = True
        if self.control is not None:
            self.control.stop()  # the successor follows the control log under the same name
        self._client_port.pause()
        self._log.info("handover", "the successor serves")

    def successor_exited(self) -> None:
        """The successor has ended: this process accepts again and has all descriptors, unless it stops."""
        state = self._parts.serving.state
        if state is ServingState.STOPPING:
            return
        self.successor_serves = False
        self._divide_descriptors(self._config.limits.sockets)
        if state is not ServingState.STARTING:
            self._client_port.attach()
            self._client_port.resume()
        if self._successor_listener is not None:
            self._successor_listener.open()
        if self.control is not None:
            self.control.resume()
        self._log.warn("handover", "the successor has gone: all is as it was")

    # Descriptors --------------------------------------------------------------------------------------

    def _kept_descriptors(self, total: int) -> int:
        """Half of the descriptors, or what is in use here and some to spare; the successor has the rest."""
        held = self._parts.budget.held
        in_use = held[DescriptorSide.CLIENTS] + held[DescriptorSide.NODES] - len(self._parts.pools.idle)
        needed = reserved_descriptors(self._config) + in_use + SPARE_DESCRIPTORS
        return min(total - MIN_SOCKETS, max(total // 2, needed))

    def _divide_descriptors(self, sockets: int) -> None:
        """From now on this process has that many descriptors; idle connections beyond them are closed."""
        self._parts.budget.resize(connection_budget(self._config, sockets))
        self._parts.client_connections.policy.max_clients = self._parts.budget.max_held(
            DescriptorSide.CLIENTS
        )
        self._parts.pools.shrink()
