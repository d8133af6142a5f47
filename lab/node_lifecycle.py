"""What happens to the processes of cache nodes: they hang, crash, drain, and start again with no keys."""

from __future__ import annotations

from lab.endpoint_registry import EndpointRegistry
from lab.member_row import IN_SERVICE, TERMINATED, TERMINATING
from lab.net import Net
from lab.simulated_cache_node import SimulatedCacheNode

DRAIN_S = 3.0  # from the change of a draining node's phase to its end
RESTART_S = 0.5  # from the end of a node that is replaced to its next start


class NodeLifecycle:
    """Starts and ends cache nodes. Discovery learns of an end or a start `list_lag_s` later."""

    def __init__(self, net: Net, registry: EndpointRegistry, list_lag_s: float) -> None:
        """`list_lag_s`: how late discovery learns of a change."""
        self._net = net
        self._registry = registry
        self._list_lag_s = list_lag_s

    def hang(self, node: SimulatedCacheNode, for_s: float) -> None:
        """The node takes requests and answers none of them for so long."""
        node.hung = True
        self._net.callLater(for_s, setattr, node, "hung", False)

    def crash(self, node: SimulatedCacheNode, for_s: float = RESTART_S) -> None:
        """The node ends without notice and starts again after `for_s`."""
        node.die()
        self._list_later(node, TERMINATED)
        self._net.callLater(for_s, self._restart, node)

    def drain(self, node: SimulatedCacheNode) -> None:
        """A planned replacement: the node is listed as terminating, ends, and starts again with no keys."""
        self._registry.set_phase(node, TERMINATING)
        self._net.callLater(DRAIN_S, self.crash, node)

    def _restart(self, node: SimulatedCacheNode) -> None:
        node.keys.clear()
        node.server.born_s = self._net.seconds()
        self._registry.record_start(node)
        node.live()
        self._list_later(node, IN_SERVICE)

    def _list_later(self, node: SimulatedCacheNode, phase: str) -> None:
        self._net.callLater(self._list_lag_s, self._registry.set_phase, node, phase)
