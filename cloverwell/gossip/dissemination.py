"""Infection-style dissemination: membership updates are piggybacked on pings and acks (SWIM, section 4.1)."""

from __future__ import annotations

import heapq
import math

# Each update is piggybacked this factor times log2 of the tier's size (the lambda of section 4.1), so that a
# member is very unlikely to miss it.
TRANSMISSIONS_FACTOR = 3


class UpdateQueue:
    """The members whose status is still to be disseminated, each with the transmissions that are left.

    Only the member's number is queued. The status is looked up when it is sent, so that a newer one replaces
    an older one. The queue holds at most one entry for each member.
    """

    def __init__(self, tier_size: int) -> None:
        """Create an empty queue for a tier of `tier_size` proxies."""
        self._transmissions = TRANSMISSIONS_FACTOR * math.ceil(math.log2(tier_size + 1))
        self._remaining: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of members in the queue."""
        return len(self._remaining)

    def enqueue(self, member: int) -> None:
        """Queue the member's status for the full number of transmissions, even if it is queued already."""
        self._remaining[member] = self._transmissions

    def take(self, max_members: int) -> list[int]:
        """Return up to `max_members` members, the least often sent first; count one transmission for each."""
        remaining = self._remaining
        members = heapq.nsmallest(max_members, remaining, key=lambda member: (-remaining[member], member))
        for member in members:
            remaining[member] -= 1
            if remaining[member] == 0:
                del remaining[member]
        return members
