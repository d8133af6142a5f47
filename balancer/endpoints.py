"""The entries of the endpoint list."""

from dataclasses import dataclass
from enum import IntEnum

from balancer.settings_types import DedupScope


class ServerState(IntEnum):
    """The state of a server; the numbers are those of the simulator's wire protocol."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of the endpoint list.

    `weight` is the server's capacity relative to other servers. `started_ms` is the clock time of its last
    start; 0 or -inf if that was long ago. `machine_type`, `zone` and `cell` are numbers.
    """

    name: str
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started_ms: float = 0.0
    machine_type: int = 0
    zone: int = 0
    cell: int = 0

    def group_number(self, group: DedupScope) -> int:
        """Returns the server's group in a scope: servers with the same number share idempotency keys."""
        return 0 if group is DedupScope.ALL else getattr(self, group.value)
