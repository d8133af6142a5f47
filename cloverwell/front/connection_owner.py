"""What a client's connection needs of the owner of them all."""

from __future__ import annotations

from typing import Any, Protocol

from cloverwell.codec.lines import RingLineReceiver
from cloverwell.dispatcher import Dispatcher
from cloverwell.serving import Serving
from cloverwell.timer_wheel import TimerWheel


class ConnectionOwner(Protocol):
    """Of clients' connections; each tells it what it does, and asks it what it may do."""

    dispatcher: Dispatcher
    serving: Serving
    timer_wheel: TimerWheel
    classes: dict[str, int]  # place by name
    tenants: dict[str, int]
    not_read: dict[RingLineReceiver, None]
    busy_ms: float
    flows: int

    def busy(self, connection: RingLineReceiver) -> None:
        """It has an open request."""

    def quiet(self, connection: RingLineReceiver) -> None:
        """It has none, from now on; perhaps a part of one."""

    def more(self, connection: RingLineReceiver) -> None:
        """More of half a command has come."""

    def closing(self, connection: RingLineReceiver) -> None:
        """Our side is closed."""

    def closed(self, connection: RingLineReceiver) -> None: ...

    def have_left(self, connections: list[Any]) -> None:
        """Their clients have closed: what is open there ends as one."""

    def crowded(self) -> bool:
        """So many have requests open that new work is refused."""

    def lets_go(self) -> bool:
        """A connection without a request goes."""

    def ahead(self) -> int:
        """Bytes that a long value may be ahead of its reader."""
