"""The entries of the endpoint list."""

from dataclasses import dataclass
from enum import IntEnum

from balancer.settings_types import DedupScope


class ServerState(IntEnum):
    """The state of a server, with the numbers of the simulator's wire form."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of the endpoint list.

    `started_ms` is the clock time of the server's last start; 0 or -inf if that was long ago.
    """

    name: str
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started_ms: float = 0.0
    machine_type: int = 0
    zone: int = 0
    cell: int = 0

    def group_number(self, group: DedupScope) -> int:
        """The number of the server's group; servers with the same number are in one group."""
        return 0 if group is DedupScope.ALL else getattr(self, group.value)
