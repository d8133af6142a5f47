"""The known status of every other member of the tier, and the rule by which updates override it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cloverwell.gossip.dissemination import UpdateQueue
from cloverwell.gossip.wire import MembershipUpdate, MemberStatus


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A member's new status, for the user of the membership view."""

    proxy: int
    status: MemberStatus
    incarnation: int


@dataclass(slots=True)
class MemberState:
    """The last known state of one other proxy. `since_ms` is when the status was set.

    `last_ping_ms` is when this proxy last pinged the member while it was suspected. `suspected_here` says
    that the suspicion is this proxy's own, since the member did not answer its probe.
    """

    incarnation: int
    status: MemberStatus
    since_ms: float
    last_ping_ms: float = -math.inf
    suspected_here: bool = False


class MemberTable:
    """The members that were heard of, by number; a member that was never heard of counts as unreachable.

    Each change of status is queued for dissemination and kept in `changes` until it is taken.
    """

    def __init__(self, number: int, tier_size: int) -> None:
        """Start an empty table of the other members than the proxy `number`, in a tier of `tier_size`."""
        self.members: dict[int, MemberState] = {}
        self.changes: list[MemberChange] = []
        self.pending_updates = UpdateQueue(tier_size)
        self.suspects: set[int] = set()
        self.reachable: set[int] = set()  # Members that are alive or suspect.
        self.unreachable = set(range(tier_size)) - {number}  # Members that are dead or were never heard of.

    def take_changes(self) -> list[MemberChange]:
        """Return the changes of status since the last call, in their order."""
        changes = self.changes
        self.changes = []
        return changes

    def is_stale(self, proxy: int, incarnation: int) -> bool:
        """Return whether a later incarnation of the proxy is known."""
        state = self.members.get(proxy)
        return state is not None and incarnation < state.incarnation

    def apply(self, now_ms: float, update: MembershipUpdate) -> None:
        """Set the member's status, unless the known status overrides the update.

        A higher incarnation overrides a lower one; at the same incarnation suspect overrides alive, and dead
        overrides both (SWIM, section 4.2).
        """
        state = self.members.get(update.proxy)
        if state is not None and (update.incarnation, update.status) <= (state.incarnation, state.status):
            return
        self._set_state(update, MemberState(update.incarnation, update.status, now_ms))

    def suspect(self, now_ms: float, member: int) -> None:
        """Begin a suspicion of this proxy's own: the member did not answer a probe."""
        incarnation = self.members[member].incarnation
        update = MembershipUpdate(member, incarnation, MemberStatus.SUSPECT)
        self._set_state(update, MemberState(incarnation, update.status, now_ms, suspected_here=True))

    def declare_dead(self, now_ms: float, member: int) -> None:
        """Set the status of a member to dead, since its suspicion has lasted for the suspicion timeout."""
        self.apply(now_ms, MembershipUpdate(member, self.members[member].incarnation, MemberStatus.DEAD))

    def update_of(self, member: int) -> MembershipUpdate:
        """Return the member's known status as an update for other proxies."""
        state = self.members[member]
        return MembershipUpdate(member, state.incarnation, state.status)

    def suspicion_of(self, member: int) -> MembershipUpdate | None:
        """Return the update that the member has to refute; None if it is alive or unknown."""
        state = self.members.get(member)
        if state is None or state.status is MemberStatus.ALIVE:
            return None
        return self.update_of(member)

    def exclude_stall(self, stall_ms: float) -> None:
        """Exclude a stall of this process, `stall_ms` long, from the age of every suspicion."""
        for member in self.suspects:
            self.members[member].since_ms += stall_ms

    def _set_state(self, update: MembershipUpdate, state: MemberState) -> None:
        member = update.proxy
        self.members[member] = state
        _set_membership(self.suspects, member, state.status is MemberStatus.SUSPECT)
        _set_membership(self.reachable, member, state.status is not MemberStatus.DEAD)
        _set_membership(self.unreachable, member, state.status is MemberStatus.DEAD)
        self.changes.append(MemberChange(member, state.status, state.incarnation))
        self.pending_updates.enqueue(member)


def _set_membership(numbers: set[int], number: int, is_member: bool) -> None:
    if is_member:
        numbers.add(number)
    else:
        numbers.discard(number)
