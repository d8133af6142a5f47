"""The parts of one proxy, made and connected to each other."""

from __future__ import annotations

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
from cloverwell.log import Log
from cloverwell.membership.endpoint_discovery import EndpointDiscovery
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel

# The timer wheel turns no faster than this. The balancer is told, and keeps its timeouts that far from
# deadlines.
MIN_GRANULARITY_MS = 5.0
# Descriptors for the standard streams, the reactor, discovery, and connections that are closed but not yet
# free.
SPARE_DESCRIPTORS = 24
# Descriptors for the operators' port and its connections, which must not wait for clients to close theirs.
OPERATOR_DESCRIPTORS = 10
# Connections that a process may hold, however few descriptors it has during a handover.
MIN_CONNECTIONS = 8
# The platform's clients open connections for requests for no more than this share of all descriptors.
REQUEST_CONNECTIONS_SHARE = 1.0 / 3.0
# The share of the memory limit that buffers streamed values whose clients read more slowly than they come.
STREAMED_VALUES_MEMORY_SHARE = 0.125
# Our idle connections are closed after this share of the time after which their node would close them, so
# that no request is written to a connection that the node closes at that moment.
IDLE_CLOSE_SHARE = 0.9
# After a node leaves, attempts to it may still be written for the settings' grace less a margin. The rule
# counts from a send's first byte at the node; between the reading of the clock and that moment come a stall
# of the event loop and the network.
MAX_EVENT_LOOP_STALL_MS = 150.0
NETWORK_DELAY_MS = 50.0
DRAIN_GRACE_MARGIN_MS = MAX_EVENT_LOOP_STALL_MS + NETWORK_DELAY_MS

BYTES_PER_MB = 1024 * 1024


class ProxyReactor(IReactorCore, IReactorTime, IReactorTCP, IReactorSocket):
    """What a proxy needs of Twisted's reactor.

    The calls that the proxy itself makes are typed again: the methods of a zope interface have no `self`, and
    a type checker without a plugin takes their first argument for it.
    """

    callLater: Callable[..., IDelayedCall]
    listenTCP: Callable[..., IListeningPort]
    adoptStreamPort: Callable[..., IListeningPort]
    stop: Callable[[], None]


@dataclass(slots=True, frozen=True)
class ProxyParts:
    """The parts of one proxy, each with one job; `side` is the clients' side."""

    timer_wheel: TimerWheel
    metrics: ConnectionMetrics
    counts: Counters
    serving: Serving
    budget: DescriptorBudget
    node_policy: NodeConnectionPolicy
    pools: NodePools
    facade: Facade
    dispatcher: Dispatcher
    endpoint_discovery: EndpointDiscovery
    client_connections: ClientConnections


def reserved_descriptors(config: Config) -> int:
    """Descriptors that are not for connections of clients and to nodes."""
    return SPARE_DESCRIPTORS + (OPERATOR_DESCRIPTORS if config.operator else 0)


def connection_budget(config: Config, sockets: int) -> int:
    """How many connections fit into that many descriptors."""
    return max(MIN_CONNECTIONS, sockets - reserved_descriptors(config))


def assemble(
    reactor: ProxyReactor,
    config: Config,
    log: Log,
    now: Callable[[], float],
    read_epoch_ms: Callable[[], float],
    predecessor: Predecessor | None,
) -> ProxyParts:
    """Makes all parts; nothing listens or connects yet.

    `now`: ms of the monotonic clock; `read_epoch_ms`: what that clock showed when Unix time was 0;
    `predecessor`: the process that is replaced, which keeps some of the descriptors until its end.
    """
    granularity_ms = max(MIN_GRANULARITY_MS, config.settings.granularity_ms)
    settings = replace(config.settings, granularity_ms=granularity_ms)
    timer_wheel = TimerWheel(reactor, settings.granularity_ms, now)
    metrics, counts, serving = ConnectionMetrics(), Counters(), Serving()
    budget = _make_budget(config, predecessor)
    node_policy = _make_node_policy(settings)
    pools = _make_pools(reactor, settings, timer_wheel, log, budget, node_policy, metrics)
    facade = Facade(settings, config.seed, now)
    dispatcher = Dispatcher(facade, timer_wheel, pools, log, counts)
    endpoint_discovery = EndpointDiscovery(
        reactor, timer_wheel, settings, pools, log, config.discovery, read_epoch_ms, counts, config.seed
    )
    side = _make_client_connections(config, settings, dispatcher, timer_wheel, log, budget, metrics, serving)
    parts = ProxyParts(
        timer_wheel,
        metrics,
        counts,
        serving,
        budget,
        node_policy,
        pools,
        facade,
        dispatcher,
        endpoint_discovery,
        side,
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
) -> ClientConnections:
    request_connections = int(REQUEST_CONNECTIONS_SHARE * config.limits.sockets)
    streamed_bytes = int(STREAMED_VALUES_MEMORY_SHARE * config.limits.memory_mb * BYTES_PER_MB)
    return ClientConnections(
        settings,
        dispatcher,
        timer_wheel,
        log,
        budget,
        metrics,
        request_connections,
        serving,
        streamed_bytes,
    )


def build_connection(pool: Pool, asked_ms: float) -> NodeConnection:
    """A connection in the protocol of the pool's node; `asked_ms`: when it was asked for."""
    return OriginConnection(pool, asked_ms) if pool.is_origin else CacheConnection(pool, asked_ms)


def _connect(parts: ProxyParts) -> None:
    """Gives each part the calls that it makes to others."""
    parts.endpoint_discovery.on_update = parts.dispatcher.update_endpoints
    parts.dispatcher.watch = parts.endpoint_discovery.request_poll
    parts.dispatcher.list_age_ms = parts.endpoint_discovery.last_answer_age_ms
    # Either side that finds no descriptors left asks the other to close what is idle beyond its floor.
    parts.pools.request_descriptor = parts.client_connections.release_descriptor
    parts.client_connections.request_descriptor = parts.pools.release_descriptor
