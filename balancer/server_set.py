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
    """The result of an update: the servers removed, and the cache servers that it names as ready."""

    removed: list[Server]
    cache_servers: list[Server]

    @property
    def removed_cache_servers(self) -> list[Server]:
        """The removed servers that are not origins."""
        return [server for server in self.removed if not server.is_origin]


class ServerSet:
    """All servers by name; `origins` holds those of the origin's machine type.

    `latency` is the estimate for all cache servers, `origin_latency` that for all origins, and
    `machine_types` holds the estimate of each machine type.
    """

    def __init__(
        self,
        origin_machine_type: int,
        peers_total: int,
        latency: LatencyEstimate,
        origin_latency: LatencyEstimate,
        machine_types: dict[int, LatencyEstimate],
    ) -> None:
        """Starts without servers; `peers_total` is the number of balancers that share them."""
        self.by_name: dict[str, Server] = {}
        self.origins: list[Server] = []
        self._origin_machine_type = origin_machine_type
        self._peers_total = peers_total
        self._latency = latency
        self._origin_latency = origin_latency
        self._machine_types = machine_types

    def resize(self, peers_total: int) -> None:
        """Adapts each server's concurrency limit to the number of balancers that share the servers."""
        for server in self.by_name.values():
            min_limit = concurrency_limit.minimum_limit(server.is_origin, peers_total)
            server.resize(self._peers_total / peers_total, min_limit)
        self._peers_total = peers_total

    def apply(self, entries: Iterable[ServerEntry], complete: bool) -> ServerChanges:
        """Applies entries of the endpoint list; if it is `complete`, servers without an entry are removed."""
        latest = {entry.name: entry for entry in entries}  # the last of several entries for a server counts
        ready = {name: entry for name, entry in latest.items() if entry.state is ServerState.READY}
        candidates = self.by_name if complete else latest
        removed_names = [name for name in candidates if name in self.by_name and name not in ready]
        removed = [self.by_name.pop(name) for name in removed_names]
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
        has_started = server is None or entry.started_ms > server.entry.started_ms
        if server is None:
            server = self._add(entry)
        if has_started:
            # The server is cold unless its start was long ago. It may get requests at once, even if it was
            # ejected before this start.
            server.warm_up_start_ms = entry.started_ms or -math.inf
            server.ejected_at_ms, server.probe_sent_ms = None, None
        server.entry = entry

    def _add(self, entry: ServerEntry) -> Server:
        is_origin = entry.machine_type == self._origin_machine_type
        min_limit = concurrency_limit.minimum_limit(is_origin, self._peers_total)
        limit = concurrency_limit.initial_limit(min_limit, self._peers_total)
        latency = self._origin_latency if is_origin else LatencyEstimate(self._latency.mean_ms)
        machine_type = self._machine_types.setdefault(
            entry.machine_type, LatencyEstimate(self._latency.mean_ms)
        )
        server = Server(entry, is_origin, latency, machine_type, limit, min_limit)
        self.by_name[entry.name] = server
        if is_origin:
            self.origins.append(server)
        return server
