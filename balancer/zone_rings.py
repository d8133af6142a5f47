"""The two rings of one balancer, for the servers of its own zone and of other zones."""

from collections.abc import Collection

from balancer import api
from balancer.hash_ring import Ring
from balancer.request_state import Server
from balancer.zone_weights import ZoneWeights

# The tokens of the largest server; with weighted tokens, the others have fewer in proportion. With about 100
# tokens each, the loads of equal servers differ by about 10%.
TOKENS_PER_SERVER = 128
# From this number of balancers per zone on, the zones have about the same traffic.
MIN_BALANCERS_PER_ZONE = 4


class ZoneRings:
    """The rings of the local zone and of the other zones.

    An update costs only as much as the servers that it changes, since the endpoint list of a large fleet
    changes often. Where attempts in other zones have no cost, or there is only one zone, the local ring holds
    all servers.
    """

    def __init__(self, settings: api.Settings) -> None:
        """Starts without servers."""
        self._settings = settings
        self._is_zoned = settings.cross_zone_cost > 0 and len(settings.zones) > 1
        # With few balancers per zone, the remote ring holds the servers of the local zone too.
        self.has_few_balancers = self._is_under_min_balancers()
        self.local: Ring[Server] = Ring()
        self.remote: Ring[Server] = Ring()
        self.local_share = 1.0  # the part of the keys that the local zone has capacity for; 1 or more: all
        self._servers: dict[str, Server] = {}
        self._weights = ZoneWeights()
        self._largest_weight = 1.0  # weights have no unit

    def __len__(self) -> int:
        """Returns the number of servers on the rings."""
        return len(self._servers)

    def update(self, removed: Collection[Server], kept: Collection[Server]) -> None:
        """Removes servers, and places those that are kept, new or known, according to their entries."""
        for server in removed:
            self._remove(server)
        for server in kept:
            self._servers[server.entry.name] = server
            self._weights.put(server.entry.name, server.entry.zone, server.entry.weight)
        previous_largest, self._largest_weight = self._largest_weight, self._weights.largest
        # With weighted tokens, all token counts are relative to the largest weight.
        all_resized = self._settings.weighted_tokens and self._largest_weight != previous_largest
        self._place(self._servers.values() if all_resized else kept)
        if self._is_zoned and not self.has_few_balancers:
            # The zones have about the same traffic but not the same capacity, so the keys that the local zone
            # has no capacity for go to other zones. With few balancers the traffic of the zones differs too:
            # only the crowding of servers shows what the local zone can't serve.
            local_weight, total_weight = self._weights.in_zone(self._settings.zone), self._weights.total
            self.local_share = len(self._settings.zones) * local_weight / max(total_weight, 1e-9)

    def resize(self, settings: api.Settings) -> None:
        """Adapts the rings to settings that differ only in the number of balancers."""
        self._settings = settings
        self.has_few_balancers = self._is_under_min_balancers()
        self.local_share = 1.0
        self.update((), tuple(self._servers.values()))

    def _is_under_min_balancers(self) -> bool:
        # Where few balancers share a zone, one that dies may double the traffic of another zone. The rings
        # can't plan for that, so crowded servers are passed over instead.
        return self._is_zoned and self._settings.peers_total < MIN_BALANCERS_PER_ZONE * len(
            self._settings.zones
        )

    def _remove(self, server: Server) -> None:
        del self._servers[server.entry.name]
        self._weights.remove(server.entry.name)
        self.local.remove(server)
        self.remote.remove(server)

    def _place(self, servers: Collection[Server]) -> None:
        """Puts each server on the rings where it belongs; a server that is there already keeps its tokens."""
        for ring, belongs in (self.local, self._is_local), (self.remote, self._is_on_remote_ring):
            ring.add_all((s, s.entry.name, self._token_count(s)) for s in servers if belongs(s))
            for server in servers:
                if not belongs(server):
                    ring.remove(server)

    def _token_count(self, server: Server) -> int:
        is_weighted = self._settings.weighted_tokens and self._largest_weight
        return max(
            1, round(TOKENS_PER_SERVER * (server.entry.weight / self._largest_weight if is_weighted else 1.0))
        )

    def _is_local(self, server: Server) -> bool:
        return not self._is_zoned or server.entry.zone == self._settings.zone

    def _is_on_remote_ring(self, server: Server) -> bool:
        return self.has_few_balancers or not self._is_local(server)
