"""Where the servers stand: their tokens at home and abroad, kept as lists change them."""

from collections.abc import Collection

from balancer import api
from balancer.hash_ring import Ring
from balancer.request_state import Server
from balancer.zone_weights import ZoneWeights

TOKENS_PER_SERVER = (
    128  # S of the largest server, the others in proportion: the RFC cites a spread near 10% at 100
)
ZONE_PEERS = 4  # balancers a zone from which on each asks the servers of its own zone first


class ZoneRings:
    """The two rings of one balancer; a list costs what it changes, since a large fleet's come often."""

    def __init__(self, settings: api.Settings) -> None:
        """There are no servers yet."""
        self._set = settings
        self._zoned = settings.cross_zone_cost > 0 and len(settings.zones) > 1
        self.has_few_balancers = self._has_few_balancers()
        self.local: Ring[Server] = Ring()
        self.remote: Ring[Server] = Ring()  # servers of other zones, where that matters
        self.local_share = 1.0  # of the keys: as far as home has the capacity
        self._servers: dict[str, Server] = {}
        self._weights = ZoneWeights()
        self._largest = 1.0  # weight; weights have no unit

    def __len__(self) -> int:
        """How many servers there are."""
        return len(self._servers)

    def update(self, gone: Collection[Server], kept: Collection[Server]) -> None:
        """Takes servers out, and puts others where their entries say, whether they are new or not."""
        for server in gone:
            self._remove(server)
        for server in kept:
            self._servers[server.entry.name] = server
            self._weights.put(server.entry.name, server.entry.zone, server.entry.weight)
        before, self._largest = self._largest, self._weights.largest
        resized = self._set.weighted_tokens and self._largest != before  # in proportion to it, all of them
        self._place(self._servers.values() if resized else kept)
        if self._zoned and not self.has_few_balancers:
            # Zones have about as many requests, but not as many servers: what home can't carry goes abroad.
            # With few balancers zones differ by what they are asked, and jams tell what home can't carry.
            mine, total = self._weights.in_zone(self._set.zone), self._weights.total
            self.local_share = len(self._set.zones) * mine / max(total, 1e-9)

    def resize(self, settings: api.Settings) -> None:
        """The number of balancers is another: all stand where they would with it from the start."""
        self._set = settings
        self.has_few_balancers = self._has_few_balancers()
        self.local_share = 1.0
        self.update((), tuple(self._servers.values()))

    def _has_few_balancers(self) -> bool:
        # Where few share a zone, one that dies doubles another zone's traffic: who is jammed is passed by.
        return self._zoned and self._set.peers_total < ZONE_PEERS * len(self._set.zones)

    def _remove(self, server: Server) -> None:
        del self._servers[server.entry.name]
        self._weights.remove(server.entry.name)
        self.local.remove(server)
        self.remote.remove(server)

    def _place(self, servers: Collection[Server]) -> None:
        """Gives each its tokens where it stands; one that has them keeps them."""
        for ring, stands in (self.local, self._is_local), (self.remote, self._is_on_remote_ring):
            ring.add_all((s, s.entry.name, self._tokens_of(s)) for s in servers if stands(s))
            for server in servers:
                if not stands(server):
                    ring.remove(server)

    def _tokens_of(self, server: Server) -> int:
        fixed = self._set.weighted_tokens and self._largest
        return max(1, round(TOKENS_PER_SERVER * (server.entry.weight / self._largest if fixed else 1.0)))

    def _is_local(self, server: Server) -> bool:
        return not self._zoned or server.entry.zone == self._set.zone

    def _is_on_remote_ring(self, server: Server) -> bool:
        return self.has_few_balancers or not self._is_local(server)
