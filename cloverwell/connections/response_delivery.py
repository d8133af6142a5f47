"""Tracks which clients have not taken all bytes of their responses, and when each last took some. No I/O.

A client takes bytes when its kernel acknowledges them. That is the only figure that tells a slow reader from
one that reads nothing: this machine's kernel takes bytes without any reader, and the number of bytes that it
holds does not fall while it is refilled as fast as the client reads.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

ClientT = TypeVar("ClientT", bound=Hashable)


@dataclass(slots=True)
class _Progress:
    """What a client has taken; times in ms."""

    acknowledged_bytes: int
    last_taken_ms: float  # when the client was last seen to have taken bytes


class ResponseDelivery(Generic[ClientT]):
    """The clients with undelivered bytes, and the progress of each.

    Attributes:
        clients: the clients with undelivered bytes; only this class changes it.

    """

    def __init__(self) -> None:
        """Start with no clients."""
        self.clients: dict[ClientT, _Progress] = {}

    def observe(
        self, client: ClientT, acknowledged_bytes: int, undelivered_bytes: int, now: float, since_ms: float
    ) -> None:
        """Record how many bytes the client has acknowledged in all, and how many are undelivered.

        `since_ms`: when the client is taken to have taken bytes last, if nothing was undelivered before.
        """
        if not undelivered_bytes:
            self.forget(client)
            return
        progress = self.clients.get(client)
        if progress is None:
            self.clients[client] = _Progress(acknowledged_bytes, since_ms)
        elif acknowledged_bytes > progress.acknowledged_bytes:
            progress.acknowledged_bytes, progress.last_taken_ms = acknowledged_bytes, now

    def forget(self, client: ClientT) -> None:
        """Remove a client that has taken all bytes, or whose connection is closed."""
        self.clients.pop(client, None)

    def stalled(self, now: float, timeout_ms: float) -> list[ClientT]:
        """Return the clients that have taken nothing for so long, the one that took nothing longest first."""
        found = [client for client in self.clients if self.stalled_ms(client, now) >= timeout_ms]
        found.sort(key=lambda client: self.clients[client].last_taken_ms)
        return found

    def stalled_ms(self, client: ClientT, now: float) -> float:
        """Return for how long in ms the client has taken nothing; infinite if nothing is undelivered."""
        progress = self.clients.get(client)
        return math.inf if progress is None else now - progress.last_taken_ms
