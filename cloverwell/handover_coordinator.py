"""A proxy's part in handovers: what it takes over from its predecessor and hands over to its successor.

`cloverwell.handover` exchanges the messages between the processes; here the port, the descriptors and the
memory change hands. The platform's limits count both processes as one proxy, which share both.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

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
from cloverwell.id_claims import ClaimLink, ClaimMessage
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import EndpointList
from cloverwell.membership.node_starts import KnownStarts
from cloverwell.serving import ServingState

SUCCESSOR_MEMORY_SHARE = 0.5  # of `limits.memory_mb`, until the predecessor has exited


class ControlSubscriber(Protocol):
    """The subscriber to the control log under this proxy's name; only one process at a time may subscribe."""

    def stop(self) -> None:
        """Ends the subscription to the log; the active configuration stays."""

    def resume(self) -> None:
        """Subscribes again after `stop`; does nothing if the subscription was not stopped."""


class HandoverCoordinator:
    """Carries out the handovers of one process: at its start from a predecessor, later to a successor.

    It implements `ServingProxy` for the `SuccessorListener`. `control` is None if the proxy follows no
    control log; `successor_serves` is True while a successor accepts the connections on the port.
    """

    def __init__(
        self,
        config: Config,
        log: Log,
        parts: ProxyParts,
        client_port: ClientPort,
        predecessor: Predecessor | None,
    ) -> None:
        """`predecessor`: the result of `cloverwell.handover.successor.request_handover`."""
        self._config = config
        self._log = log
        self._parts = parts
        self._client_port = client_port
        self._successor_listener: SuccessorListener | None = None
        self.predecessor = predecessor
        self.control: ControlSubscriber | None = None
        self.successor_serves = False
        if predecessor is not None and isinstance(predecessor.handover_state.memory_mb, float):
            parts.memory_monitor.limit(predecessor.handover_state.memory_mb)

    # From a predecessor -------------------------------------------------------------------------------

    def initial_list(self) -> tuple[EndpointList, KnownStarts | None]:
        """Returns the newest endpoint list known before discovery answers, and its nodes' known starts."""
        configured = self._config.known
        if self.predecessor is None:
            return configured, None
        state = self.predecessor.handover_state
        newest = state.table if state.table.revision > configured.revision else configured
        return newest, state.node_starts

    def watch_predecessor(self, reactor: ProxyReactor) -> None:
        """Tells the predecessor that this process serves now, and watches for the predecessor's exit."""
        if self.predecessor is None:
            return
        held_ids = self.predecessor.handover_state.held_ids
        if not isinstance(held_ids, msgspec.UnsetType):
            self._parts.id_claims.connect(self.predecessor, held_ids)
            self._parts.id_claims.other_serves()
            self.predecessor.on_claim = self._parts.id_claims.message_received
        self.predecessor.watch(reactor, self.predecessor_exited)

    def predecessor_exited(self) -> None:
        """Takes over all descriptors: the predecessor has exited."""
        self.predecessor = None
        self._parts.id_claims.disconnect()
        self._parts.memory_monitor.limit(self._config.limits.memory_mb)
        self._limit_descriptors(self._config.limits.sockets)
        self._log.info("handover", f"the predecessor has exited: {self._config.limits.sockets} descriptors")

    # To a successor -----------------------------------------------------------------------------------

    def open(self, reactor: ProxyReactor, folder: str) -> None:
        """Listens for a successor on a Unix socket in `folder`."""
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
        """Stops listening for a successor."""
        if self._successor_listener is not None:
            self._successor_listener.close()

    def hand_over(self) -> tuple[HandoverState, int]:
        """Divides the descriptors; returns the state for the successor, and the port's descriptor.

        Raises `HandoverError` if the port is closed already.
        """
        if self._client_port.listening_port is None:
            raise HandoverError("the port is closed already")
        total_count = self._config.limits.sockets
        kept_count = self._kept_descriptors(total_count)
        self._limit_descriptors(kept_count)
        budget = self._parts.budget
        used_count = reserved_descriptors(self._config) + sum(budget.held.values())
        handover_state = HandoverState(
            PROTOCOL_VERSION,
            max(MIN_SOCKETS, total_count - max(kept_count, used_count)),
            self._parts.endpoint_discovery.current_list(),
            self._parts.endpoint_discovery.node_starts(),
            memory_mb=SUCCESSOR_MEMORY_SHARE * self._config.limits.memory_mb,
        )
        self._parts.memory_monitor.limit((1.0 - SUCCESSOR_MEMORY_SHARE) * self._config.limits.memory_mb)
        return handover_state, self._client_port.listening_port.share_socket()

    def connect_successor(self, link: ClaimLink) -> dict[str, float]:
        """Tells the successor of each id that is held from now on; returns those that are, with their ms."""
        held_ids = self._parts.id_claims.held_for_ms()
        self._parts.id_claims.connect(link)
        return held_ids

    def claim_received(self, message: ClaimMessage) -> None:
        """Handles a message of the successor on the claim of an id."""
        self._parts.id_claims.message_received(message)

    def successor_started(self) -> None:
        """Leaves all further connections to the successor, which serves now."""
        self.successor_serves = True
        self._parts.id_claims.other_serves()
        if self.control is not None:
            self.control.stop()  # The successor subscribes to the control log under the same name.
        self._client_port.pause()
        self._log.info("handover", "the successor serves")

    def successor_exited(self) -> None:
        """Accepts connections again, unless this process stops, because the successor has exited."""
        self._parts.id_claims.disconnect()
        state = self._parts.serving.state
        if state is ServingState.STOPPING:
            return
        self.successor_serves = False
        self._limit_descriptors(self._config.limits.sockets)
        self._parts.memory_monitor.limit(self._config.limits.memory_mb)
        if state is not ServingState.STARTING:
            self._client_port.enable_automatic_pauses()
            self._client_port.resume()
        if self._successor_listener is not None:
            self._successor_listener.open()
        if self.control is not None:
            self.control.resume()
        self._log.warn("handover", "the successor has exited: this process accepts connections again")

    # Descriptors --------------------------------------------------------------------------------------

    def _kept_descriptors(self, total_count: int) -> int:
        """Returns how many descriptors this process keeps: half, or those in use and some to spare."""
        held = self._parts.budget.held
        in_use = held[DescriptorSide.CLIENTS] + held[DescriptorSide.NODES] - len(self._parts.pools.idle)
        needed = reserved_descriptors(self._config) + in_use + SPARE_DESCRIPTORS
        return min(total_count - MIN_SOCKETS, max(total_count // 2, needed))

    def _limit_descriptors(self, max_descriptors: int) -> None:
        """Limits this process to `max_descriptors`; closes idle connections beyond them."""
        self._parts.budget.resize(connection_budget(self._config, max_descriptors))
        self._parts.client_connections.policy.max_clients = self._parts.budget.max_held(
            DescriptorSide.CLIENTS
        )
        self._parts.pools.shrink()
