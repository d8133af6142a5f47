"""One proxy's view of which proxies of the tier are alive, by SWIM (Das, Gupta and Motivala, 2002).

The view is passed received datagrams and the time, and returns the datagrams to be sent.

In each protocol period one other member is pinged. A member that does not answer is pinged through others, so
that a cut link between two proxies is not taken for a death (section 3.1). A member that does not answer
those pings either is suspected, and declared dead only after the suspicion timeout: until then it can refute
the suspicion by a higher incarnation (section 4.2). Updates are piggybacked on pings and acks a bounded
number of times (section 4.1).

In addition to the paper, what one proxy sends in a second does not grow with the tier: it pings a few of the
unreachable members at a time, and only a few members ping a suspect that others have reported.

Proxies are known by their number in the tier and not by address, since one proxy may be reached at different
addresses from different proxies.

An incarnation is the Unix time of the process's start in milliseconds, plus one for each refutation.
Refutations are rarer than one in a millisecond, so a restarted process has a higher incarnation than the one
before it, unless the clock was stepped back between the two starts. Its datagrams, also its acks, are then
dropped as stale until it is suspected. The ping that tells it so carries the incarnation that is known, and
it refutes the suspicion with a higher one. All other times are milliseconds of one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random

from cloverwell.gossip.composer import DatagramComposer, OutgoingDatagram
from cloverwell.gossip.indirect_probes import IndirectProbes
from cloverwell.gossip.member_table import MemberChange, MemberState, MemberTable
from cloverwell.gossip.probing import FailureDetector, ShuffledRoundRobin
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import (
    MAX_INCARNATION,
    MAX_PROXIES,
    Datagram,
    DatagramKind,
    MembershipUpdate,
    MemberStatus,
)


class MembershipView:
    """One proxy's view of its tier; a state machine without I/O, deterministic by its seed."""

    def __init__(
        self, number: int, tier_size: int, incarnation: int, seed: int, timing: GossipTiming | None = None
    ) -> None:
        """Set up the view of the proxy `number`, counted from 0, in a tier of `tier_size` proxies.

        Raises `ValueError` if `number` is not below `tier_size`, or `tier_size` is over MAX_PROXIES.
        """
        if not 0 <= number < tier_size <= MAX_PROXIES:
            raise ValueError(f"number: must be below the tier size, and that at most {MAX_PROXIES}")
        self.number = number
        self.tier_size = tier_size
        self.stale_datagrams = 0  # Dropped, since a later incarnation of their sender is known.
        self._timing = timing or GossipTiming()
        self._table = MemberTable(number, tier_size)
        self._composer = DatagramComposer(number, incarnation, self._table)
        self._indirect_probes = IndirectProbes(self._composer, self._timing.protocol_period_ms, tier_size)
        rng = Random(seed)
        self._failure_detector = FailureDetector(self._table, self._composer, self._timing, tier_size, rng)
        self._reconnect_order = ShuffledRoundRobin(rng)
        self._last_reconnect_ms = -math.inf
        self._last_tick_ms = math.inf  # Before the first tick there is no stall.

    @property
    def incarnation(self) -> int:
        """This proxy's own incarnation; a refutation raises it."""
        return self._composer.incarnation

    @property
    def members(self) -> Mapping[int, MemberState]:
        """The last known state of each other proxy that was heard of, by number."""
        return self._table.members

    @property
    def pending_updates(self) -> int:
        """The number of members whose status is still being disseminated."""
        return len(self._table.pending_updates)

    @property
    def pending_indirect_probes(self) -> int:
        """The number of pings sent on behalf of other members that have not been acknowledged."""
        return len(self._indirect_probes)

    def alive_proxies(self) -> set[int]:
        """Return the numbers of this proxy and of the members that are alive or suspect."""
        return {self.number} | self._table.reachable

    def take_changes(self) -> list[MemberChange]:
        """Return the changes of members' status since the last call, in their order."""
        return self._table.take_changes()

    def receive(self, now_ms: float, datagram: Datagram) -> list[OutgoingDatagram]:
        """Apply the updates of a datagram and return the answers to it.

        A datagram that names a proxy outside the tier is dropped, and so is one from an older incarnation of
        its sender than the one that is known.
        """
        if not self._is_from_tier(datagram):
            return []
        if self._table.is_stale(datagram.sender, datagram.incarnation):
            self.stale_datagrams += 1
            return []
        sender_update = MembershipUpdate(datagram.sender, datagram.incarnation, MemberStatus.ALIVE)
        self._apply_update(now_ms, sender_update)
        for update in datagram.updates:
            self._apply_update(now_ms, update)
        return self._answer(now_ms, datagram)

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return the datagrams that are due; must be called at least a few times in each protocol period."""
        self._exclude_stall(now_ms)
        datagrams = self._failure_detector.tick(now_ms)
        if self._is_reconnect_due(now_ms):
            self._last_reconnect_ms = now_ms
            datagrams += self._reconnect()
        return datagrams

    def _is_from_tier(self, datagram: Datagram) -> bool:
        if datagram.sender == self.number or datagram.sender >= self.tier_size:
            return False
        return all(update.proxy < self.tier_size for update in datagram.updates)

    def _apply_update(self, now_ms: float, update: MembershipUpdate) -> None:
        if update.proxy == self.number:
            self._refute(update)
        else:
            self._table.apply(now_ms, update)

    def _refute(self, update: MembershipUpdate) -> None:
        """Raise this proxy's incarnation above that of an update which reports it as suspect or dead.

        The update may be about this process, or about one before it whose clock was ahead. The header of
        every later datagram carries the refutation.
        """
        if update.status is not MemberStatus.ALIVE and update.incarnation >= self.incarnation:
            self._composer.incarnation = min(MAX_INCARNATION, update.incarnation + 1)

    def _answer(self, now_ms: float, datagram: Datagram) -> list[OutgoingDatagram]:
        match datagram.kind:
            case DatagramKind.PING:
                return [self._composer.ack(datagram.sender, datagram.sequence, self.number)]
            case DatagramKind.PING_REQ if (
                datagram.subject < self.tier_size and datagram.subject != self.number
            ):
                return self._indirect_probes.start(now_ms, datagram)
            case DatagramKind.ACK:
                return self._take_ack(datagram)
        return []

    def _take_ack(self, ack: Datagram) -> list[OutgoingDatagram]:
        relayed = self._indirect_probes.relay(ack)
        if relayed is not None:
            return [relayed]
        self._failure_detector.acknowledge(ack)
        return []

    def _exclude_stall(self, now_ms: float) -> None:
        """Exclude a stall of this process from the age of probes and suspicions.

        What the other members sent during the stall has not been read yet, so the time must not count against
        them.
        """
        elapsed_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if elapsed_ms > self._timing.protocol_period_ms:
            self._table.exclude_stall(elapsed_ms)
            self._failure_detector.exclude_stall(elapsed_ms)

    def _is_reconnect_due(self, now_ms: float) -> bool:
        if not self._table.unreachable:
            return False
        return now_ms - self._last_reconnect_ms >= self._timing.reconnect_interval_ms

    def _reconnect(self) -> list[OutgoingDatagram]:
        """Ping some unreachable members, so that this proxy finds those that have started or come back."""
        unreachable = self._table.unreachable
        count = min(self._timing.reconnect_pings, len(unreachable))
        chosen: set[int] = set()
        while len(chosen) < count:
            member = self._reconnect_order.next(unreachable)
            if member is not None:
                chosen.add(member)
        return [self._composer.reconnect_ping(member) for member in sorted(chosen)]
