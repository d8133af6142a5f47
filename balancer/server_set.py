"""The servers of the endpoint list, with what the balancer has learnt about each."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from balancer import concurrency_limit
from balancer.endpoints import ServerEntry, ServerState
from balancer.latency import LatencyEstimate
from balancer.request_state import Server


@dataclass(slots=True, frozen=True)
class ServerChanges:
    """What an update changed: the servers removed, and the cache servers to place on the rings."""

    removed: list[Server]
    cache_servers: list[Server]

    @property
    def removed_cache_servers(self) -> list[Server]:
        """The removed servers that are not origins."""
        return [server for server in self.removed if not server.is_origin]


class ServerSet:
    """All servers by name; `origins` are those of the origin's machine type.

    `latency` is that of all cache servers, `origin_latency` that of all origins, and `machine_types` holds
    the same by type of machine.
    """

    def __init__(
        self,
        origin_machine_type: int,
        peers_total: int,
        latency: LatencyEstimate,
        origin_latency: LatencyEstimate,
        machine_types: dict[int, LatencyEstimate],
    ) -> None:
        """`origin_machine_type` is the number of the origin's type; `peers_total` counts the balancers."""
        self.by_name: dict[str, Server] = {}
        self.origins: list[Server] = []
        self._origin_kind = origin_machine_type
        self._peers_total = peers_total
        self._latency = latency
        self._origin_latency = origin_latency
        self._machine_types = machine_types

    def resize(self, peers_total: int) -> None:
        """Adapts each server's limit to the number of balancers that share the servers."""
        for server in self.by_name.values():
            least = concurrency_limit.minimum_limit(server.is_origin, peers_total)
            server.resize(self._peers_total / peers_total, least)
        self._peers_total = peers_total

    def apply(self, entries: Iterable[ServerEntry], complete: bool) -> ServerChanges:
        """Applies entries of the endpoint list; in a complete list servers without an entry are removed."""
        latest = {entry.name: entry for entry in entries}  # of two entries for a server the last counts
        ready = {name: entry for name, entry in latest.items() if entry.state is ServerState.READY}
        candidates = self.by_name if complete else latest
        lost = [name for name in candidates if name in self.by_name and name not in ready]
        removed = [self.by_name.pop(name) for name in lost]
        for server in removed:
            server.removed = True
        for entry in ready.values():
            self._put(entry)
        self.origins[:] = [server for server in self.origins if not server.removed]
        kept = [self.by_name[name] for name in ready]
        return ServerChanges(removed, [server for server in kept if not server.is_origin])

    def _put(self, entry: ServerEntry) -> None:
        """Adds a server, or updates it with its new entry."""
        server = self.by_name.get(entry.name)
        restarted = server is None or entry.started_ms > server.entry.started_ms
        if server is None:
            server = self._add(entry)
        if restarted:  # it is cold, unless its start was long ago, and is worth a request at once
            server.warm_up_start_ms = entry.started_ms or -math.inf
            server.ejected_at_ms, server.probe_sent_ms = None, None
        server.entry = entry

    def _add(self, entry: ServerEntry) -> Server:
        origin = entry.machine_type == self._origin_kind
        least = concurrency_limit.minimum_limit(origin, self._peers_total)
        limit = concurrency_limit.initial_limit(least, self._peers_total)
        latency = self._origin_latency if origin else LatencyEstimate(self._latency.mean_ms)
        machine_type = self._machine_types.setdefault(
            entry.machine_type, LatencyEstimate(self._latency.mean_ms)
        )
        server = Server(entry, origin, latency, machine_type, limit, least)
        self.by_name[entry.name] = server
        if origin:
            self.origins.append(server)
        return server
