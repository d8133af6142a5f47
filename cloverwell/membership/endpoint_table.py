"""The endpoints of discovery's last list, and the changes that a new list makes to pools and balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from balancer.api import ServerEntry, ServerState, Settings
from cloverwell.back.pools import NodePools
from cloverwell.facade import EndpointUpdate
from cloverwell.membership.endpoint_list import (
    STATE_BY_PHASE,
    Endpoint,
    EndpointList,
    UnknownPhaseError,
    split_address,
)
from cloverwell.membership.node_starts import KnownStarts, NodeStarts
from cloverwell.timer_wheel import TimerWheel


class EndpointTable:
    """Applies endpoint lists to the connection pools, and translates them for the balancer."""

    def __init__(
        self,
        settings: Settings,
        pools: NodePools,
        timer_wheel: TimerWheel,
        read_epoch_ms: Callable[[], float],
    ) -> None:
        """Start without endpoints, at revision 0.

        Args:
            settings: the balancer's settings.
            pools: the connection pools, one for each node.
            timer_wheel: the monotonic clock.
            read_epoch_ms: returns the reading of that clock at Unix time 0, by the wall clock now.

        """
        self._settings = settings
        self._pools = pools
        self._timer_wheel = timer_wheel
        self._read_epoch_ms = read_epoch_ms
        self._node_starts = NodeStarts(read_epoch_ms(), settings.warm_up_ms)
        self._revision = 0
        self._endpoints: dict[str, Endpoint] = {}

    @property
    def is_empty(self) -> bool:
        """True if no endpoint is listed."""
        return not self._endpoints

    def current_list(self) -> EndpointList:
        """Return the complete list as it is known now."""
        return EndpointList(self._revision, True, list(self._endpoints.values()))

    def node_starts(self) -> KnownStarts:
        """Return when the nodes started, for a successor on this machine."""
        return self._node_starts.snapshot(self._timer_wheel.now())

    def inherit_starts(self, known: KnownStarts) -> None:
        """Use the nodes' starts as the predecessor knew them; it reads the same clock."""
        self._node_starts.inherit(known, self._timer_wheel.now())

    def apply(self, endpoint_list: EndpointList, predates_process: bool) -> EndpointUpdate:
        """Open pools for the nodes that are ready, record the list, and return the update for the balancer.

        Args:
            endpoint_list: a complete list, or only the endpoints that changed.
            predates_process: whether the list was known before this process began.

        Raises:
            EndpointListError: the list is unusable. Nothing of it has been applied then.

        """
        endpoints = _without_duplicates(endpoint_list.members)
        # The whole list is checked before any of it takes effect: half a list would be worse than none.
        addresses = _checked_addresses(endpoints)
        entries = self._server_entries(endpoints, predates_process)
        self._open_pools(entries, addresses)
        self._record_endpoints(endpoints, endpoint_list)
        return EndpointUpdate(endpoint_list.revision, endpoint_list.complete, entries, predates_process)

    def drain_pools(self, update: EndpointUpdate) -> None:
        """Tell the pools which nodes the update shows to be draining or removed.

        No new request may be sent to such a node, so its idle connections are of no use any more. This is
        called after the balancer has processed the update.
        """
        ready = {entry.name for entry in update.entries if entry.state is ServerState.READY}
        draining = {entry.name for entry in update.entries} - ready
        if update.complete:
            draining |= self._pools.node_names() - ready
        for node in sorted(draining):  # Sorted, so that the order is the same in every process.
            self._pools.mark_left(node)

    def _open_pools(self, entries: Sequence[ServerEntry], addresses: Sequence[tuple[str, int]]) -> None:
        for entry, (host, port) in zip(entries, addresses, strict=True):
            if entry.state is not ServerState.READY:
                continue
            is_origin = entry.machine_type == self._settings.origin_machine_type
            warm_from_ms = entry.started_ms + self._settings.warm_up_ms
            self._pools.add(entry.name, host, port, is_origin, warm_from_ms)

    def _record_endpoints(self, endpoints: Iterable[Endpoint], endpoint_list: EndpointList) -> None:
        self._revision = endpoint_list.revision
        if endpoint_list.complete:
            self._endpoints.clear()
        for endpoint in endpoints:
            if STATE_BY_PHASE[endpoint.phase] is ServerState.GONE:
                self._endpoints.pop(endpoint.id, None)
            else:
                self._endpoints[endpoint.id] = endpoint
        self._node_starts.forget_unlisted(self._endpoints.keys())

    def _server_entries(
        self, endpoints: Sequence[Endpoint], predates_process: bool
    ) -> tuple[ServerEntry, ...]:
        up_since_ms = {endpoint.id: endpoint.up_since_ms for endpoint in endpoints}
        now = self._timer_wheel.now()
        started_ms = self._node_starts.record_list(up_since_ms, now, self._read_epoch_ms(), predates_process)
        return tuple(self._server_entry(endpoint, started_ms[endpoint.id]) for endpoint in endpoints)

    def _server_entry(self, endpoint: Endpoint, started_ms: float) -> ServerEntry:
        return ServerEntry(
            name=endpoint.id,
            state=STATE_BY_PHASE[endpoint.phase],
            weight=endpoint.size,
            started_ms=started_ms,
            machine_type=_index_of(endpoint.flavor, self._settings.machine_types),
            zone=_index_of(endpoint.locality, self._settings.zones),
            cell=endpoint.cell,
        )


def _without_duplicates(endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the last of the endpoints with the same id, for each id, so that pools and balancer agree."""
    return list({endpoint.id: endpoint for endpoint in endpoints}.values())


def _checked_addresses(endpoints: Iterable[Endpoint]) -> list[tuple[str, int]]:
    """Return the address of each endpoint; raise `EndpointListError` if one of them is unusable."""
    addresses = [split_address(endpoint.host_port) for endpoint in endpoints]
    for endpoint in endpoints:
        if endpoint.phase not in STATE_BY_PHASE:
            raise UnknownPhaseError(endpoint.phase)
    return addresses


def _index_of(name: str, known_names: Sequence[str]) -> int:
    """Return the index of the name in the settings; unknown names get the index after the last one."""
    return known_names.index(name) if name in known_names else len(known_names)
