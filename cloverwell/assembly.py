"""Builds the parts of one proxy and connects them to each other."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from twisted.internet.interfaces import (
    IDelayedCall,
    IListeningPort,
    IReactorCore,
    IReactorSocket,
    IReactorTCP,
    IReactorTime,
)

from balancer.api import Settings
from cloverwell.back.cache_connection import CacheConnection
from cloverwell.back.node_connection import NodeConnection
from cloverwell.back.origin_connection import OriginConnection
from cloverwell.back.pool import Pool
from cloverwell.back.pools import NodePools
from cloverwell.config import Config
from cloverwell.connections.budget import DescriptorBudget
from cloverwell.connections.metrics import ConnectionMetrics
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.counters import Counters
from cloverwell.dispatcher import Dispatcher
from cloverwell.facade import Facade
from cloverwell.front.client_connections import ClientConnections
from cloverwell.handover.successor import Predecessor
from cloverwell.id_claims import IdClaims
from cloverwell.log import Log
from cloverwell.loop_work import stall_reporter
from cloverwell.membership.endpoint_discovery import EndpointDiscovery
from cloverwell.memory_budget import BYTES_PER_MB, MemoryBudget
from cloverwell.memory_monitor import MemoryMonitor
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel

# The shortest time from one tick of the timer wheel to the next. The balancer gets the actual time as a
# setting, and keeps its timeouts that far from deadlines.
MIN_GRANULARITY_MS = 5.0
# The descriptors for the standard streams, the reactor, discovery, and connections that are closed but still
# have their descriptors.
SPARE_DESCRIPTORS = 24
# The descriptors for the operators' port and its connections, which must not wait until clients close theirs.
OPERATOR_DESCRIPTORS = 10
# The number of connections that a process may have, however few descriptors it gets during a handover.
MIN_CONNECTIONS = 8
# The share of all descriptors up to which the platform's clients open connections for requests.
REQUEST_CONNECTIONS_SHARE = 1.0 / 3.0
# What a process takes at rest, until `Proxy.measure_memory` has measured it.
TYPICAL_REST_BYTES = 27 * BYTES_PER_MB
# An idle connection to a node is closed after this share of the time after which the node would close it.
# Otherwise a request could be written to a connection that the node is just closing.
IDLE_CLOSE_SHARE = 0.9
# After a node has left, attempts to it may still be written during the grace period of the settings, less a
# margin. An attempt is in time if its first byte reaches the node within the grace period. Between the
# reading of the clock and that moment, the event loop may stall and the network takes its time.
MAX_EVENT_LOOP_STALL_MS = 150.0
NETWORK_DELAY_MS = 50.0
DRAIN_GRACE_MARGIN_MS = MAX_EVENT_LOOP_STALL_MS + NETWORK_DELAY_MS


class ProxyReactor(IReactorCore, IReactorTime, IReactorTCP, IReactorSocket):
    """The interfaces of Twisted's reactor that a proxy uses.

    The methods that the proxy itself calls are declared again: the methods of a zope interface have no
    `self`, and a type checker without a plugin takes their first argument for it.
    """

    callLater: Callable[..., IDelayedCall]
    listenTCP: Callable[..., IListeningPort]
    adoptStreamPort: Callable[..., IListeningPort]
    stop: Callable[[], None]


@dataclass(slots=True, frozen=True)
class ProxyParts:
    """The parts of one proxy."""

    timer_wheel: TimerWheel
    metrics: ConnectionMetrics
    counts: Counters
    serving: Serving
    budget: DescriptorBudget
    memory: MemoryBudget
    memory_monitor: MemoryMonitor
    node_policy: NodeConnectionPolicy
    pools: NodePools
    facade: Facade
    id_claims: IdClaims
    dispatcher: Dispatcher
    endpoint_discovery: EndpointDiscovery
    client_connections: ClientConnections


def reserved_descriptors(config: Config) -> int:
    """Returns the number of descriptors that connections of clients and to nodes must leave free."""
    return SPARE_DESCRIPTORS + (OPERATOR_DESCRIPTORS if config.operator else 0)


def connection_budget(config: Config, sockets: int) -> int:
    """Returns how many connections a process with `sockets` descriptors may have."""
    return max(MIN_CONNECTIONS, sockets - reserved_descriptors(config))


def assemble(
    reactor: ProxyReactor,
    config: Config,
    log: Log,
    now: Callable[[], float],
    read_epoch_ms: Callable[[], float],
    predecessor: Predecessor | None,
) -> ProxyParts:
    """Builds all parts of a proxy, which neither listen nor connect yet.

    `now` returns the reading of the monotonic clock in ms, and `read_epoch_ms` what that clock showed at Unix
    time 0. `predecessor` is the process that this one replaces, and it keeps some descriptors until it ends.
    """
    granularity_ms = max(MIN_GRANULARITY_MS, config.settings.granularity_ms)
    settings = replace(config.settings, granularity_ms=granularity_ms)
    timer_wheel = TimerWheel(reactor, settings.granularity_ms, now)
    timer_wheel.report_stall = stall_reporter(log)
    metrics, counts, serving = ConnectionMetrics(), Counters(), Serving()
    budget = _make_budget(config, predecessor)
    node_policy = _make_node_policy(settings)
    memory = MemoryBudget(math.inf)
    memory.resize(config.limits.memory_mb * BYTES_PER_MB, TYPICAL_REST_BYTES)
    pools = _make_pools(reactor, settings, timer_wheel, log, budget, node_policy, metrics, memory)
    facade = Facade(settings, config.seed, now)
    id_claims = IdClaims(timer_wheel)
    dispatcher = Dispatcher(facade, timer_wheel, pools, log, counts, id_claims)
    endpoint_discovery = EndpointDiscovery(
        reactor, timer_wheel, settings, pools, log, config.discovery, read_epoch_ms, counts, config.seed
    )
    client_connections = _make_client_connections(
        config, settings, dispatcher, timer_wheel, log, budget, metrics, serving, memory
    )
    memory_monitor = MemoryMonitor(timer_wheel, log, memory, client_connections, config.limits.memory_mb)
    parts = ProxyParts(
        timer_wheel,
        metrics,
        counts,
        serving,
        budget,
        memory,
        memory_monitor,
        node_policy,
        pools,
        facade,
        id_claims,
        dispatcher,
        endpoint_discovery,
        client_connections,
    )
    _connect(parts)
    return parts


def _make_budget(config: Config, predecessor: Predecessor | None) -> DescriptorBudget:
    sockets = config.limits.sockets
    if predecessor is not None:
        sockets = min(predecessor.handover_state.sockets, sockets)
    return DescriptorBudget(connection_budget(config, sockets))


def _make_node_policy(settings: Settings) -> NodeConnectionPolicy:
    idle_ms = IDLE_CLOSE_SHARE * settings.idle_timeout_ms
    grace_ms = max(0.0, settings.drain_grace_ms - DRAIN_GRACE_MARGIN_MS)
    return NodeConnectionPolicy(idle_ms, grace_ms)


def _make_pools(
    reactor: ProxyReactor,
    settings: Settings,
    timer_wheel: TimerWheel,
    log: Log,
    budget: DescriptorBudget,
    node_policy: NodeConnectionPolicy,
    metrics: ConnectionMetrics,
    memory: MemoryBudget,
) -> NodePools:
    return NodePools(
        reactor,
        timer_wheel,
        log,
        build_connection,
        budget,
        node_policy,
        metrics,
        settings.attempts_per_connection,
        settings.connect_timeout_ms,
        single_attempt_in_flight=not settings.may_hedge,
        memory=memory,
    )


def _make_client_connections(
    config: Config,
    settings: Settings,
    dispatcher: Dispatcher,
    timer_wheel: TimerWheel,
    log: Log,
    budget: DescriptorBudget,
    metrics: ConnectionMetrics,
    serving: Serving,
    memory: MemoryBudget,
) -> ClientConnections:
    request_connections = int(REQUEST_CONNECTIONS_SHARE * config.limits.sockets)
    return ClientConnections(
        settings,
        dispatcher,
        timer_wheel,
        log,
        budget,
        metrics,
        request_connections,
        serving,
        memory,
    )


def build_connection(pool: Pool, asked_ms: float) -> NodeConnection:
    """Returns a connection in the protocol of the pool's node, which the pool has asked for at `asked_ms`."""
    return OriginConnection(pool, asked_ms) if pool.is_origin else CacheConnection(pool, asked_ms)


def _connect(parts: ProxyParts) -> None:
    """Gives each part the methods of other parts that it calls."""
    parts.endpoint_discovery.on_update = parts.dispatcher.update_endpoints
    parts.dispatcher.watch_endpoints = parts.endpoint_discovery.request_poll
    parts.dispatcher.list_age_ms = parts.endpoint_discovery.last_answer_age_ms
    # When one side needs a descriptor and none is left, it asks the other side to close idle connections, as
    # far as that side uses more than its guaranteed share.
    parts.pools.request_descriptor = parts.client_connections.release_descriptor
    parts.client_connections.request_descriptor = parts.pools.release_descriptor
