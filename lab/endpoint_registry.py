"""The cache nodes and the origin as discovery lists them: their phases and the times of their starts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lab.listener import Address
from lab.member_row import IN_SERVICE, MemberRow
from lab.settings import ORIGIN
from lab.simulated_cache_node import SimulatedCacheNode
from lab.wall_clock import EPOCH_S, WallClocks


class EndpointRegistry:
    """What discovery knows of the endpoints. `on_change` is called with the name of a node that changes."""

    def __init__(
        self,
        nodes: Mapping[str, SimulatedCacheNode],
        origin_address: Address,
        machine_type: str,
        wall_clocks: WallClocks,
        on_change: Callable[[str], None],
    ) -> None:
        """All nodes are in service at first; the origin always is."""
        self._nodes = nodes
        self._origin_address = origin_address
        self._machine_type = machine_type
        self._wall_clocks = wall_clocks
        self._on_change = on_change
        self._phases = dict.fromkeys(nodes, IN_SERVICE)
        # The key is a node's name and its start by the virtual clock in ms; the value is the same start
        # as the wall clock of the node's machine showed it.
        self._wall_starts_ms: dict[tuple[str, int], int] = {}

    @staticmethod
    def start_ms(node: SimulatedCacheNode) -> int:
        """When the node started, in ms by the virtual clock; 0 where that was before the simulation began."""
        return int(1000 * (node.server.born_s + EPOCH_S)) if node.server.born_s > 0 else 0

    def set_phase(self, node: SimulatedCacheNode, phase: str) -> None:
        """Changes the node's phase now, and tells whoever watches the list."""
        self._phases[node.name] = phase
        self._on_change(node.name)

    def record_start(self, node: SimulatedCacheNode) -> None:
        """Keeps what the wall clock of the node's machine shows at the node's start, which is now."""
        wall_ms = int(1000 * self._wall_clocks.of(node.name).seconds())
        self._wall_starts_ms[node.name, self.start_ms(node)] = wall_ms

    def members(self) -> list[MemberRow]:
        """All endpoints, with their starts by the virtual clock."""
        rows = [self._node_row(node) for node in self._nodes.values()]
        rows.append(_row(ORIGIN, self._origin_address, "zone-0", ORIGIN))
        return rows

    def as_listed(self, rows: Iterable[MemberRow]) -> list[MemberRow]:
        """The rows as discovery sends them, with the starts that the machines' wall clocks showed."""
        return [self._as_listed(row) for row in rows]

    def _node_row(self, node: SimulatedCacheNode) -> MemberRow:
        row = _row(node.name, node.address, f"zone-{node.zone}", self._machine_type)
        row["up_since_ms"] = self.start_ms(node)
        row["phase"] = self._phases[node.name]
        return row

    def _as_listed(self, row: MemberRow) -> MemberRow:
        start_ms = row["up_since_ms"]
        listed = row.copy()
        listed["up_since_ms"] = self._wall_starts_ms.get((row["id"], start_ms), start_ms)
        return listed


def _row(name: str, address: Address, zone: str, machine_type: str) -> MemberRow:
    """An endpoint that is in service and started before the simulation began."""
    return {
        "id": name,
        "host_port": f"{address[0]}:{address[1]}",
        "locality": zone,
        "flavor": machine_type,
        "cell": 0,
        "phase": IN_SERVICE,
        "size": 1.0,
        "up_since_ms": 0,
    }
