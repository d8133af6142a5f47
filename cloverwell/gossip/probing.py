"""Failure detection by direct and indirect probes (SWIM, sections 3.1, 4.2 and 4.3)."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from cloverwell.gossip.composer import DatagramComposer, OutgoingDatagram
from cloverwell.gossip.member_table import MemberTable
from cloverwell.gossip.timing import GossipTiming
from cloverwell.gossip.wire import Datagram, MemberStatus


class ShuffledRoundRobin:
    """Picks each eligible member once in a random order before any a second time (SWIM, section 4.3).

    Each member is therefore probed once in a round, which bounds the time until its death is detected.
    """

    def __init__(self, rng: Random) -> None:
        """Start without a round; the order of each is drawn from `rng`."""
        self._rng = rng
        self._remaining: list[int] = []

    def next(self, eligible: AbstractSet[int]) -> int | None:
        """Return the next of the eligible members; None if there are none."""
        while self._remaining and self._remaining[-1] not in eligible:
            self._remaining.pop()
        if not self._remaining:
            self._remaining = sorted(eligible)
            self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None


@dataclass(slots=True)
class PendingProbe:
    """The probe of the current protocol period, under the sequence number of its ping."""

    member: int
    sequence: int
    started_ms: float
    indirect: bool = False  # True once the ping timeout has passed and ping-reqs were sent.
    acknowledged: bool = False


class FailureDetector:
    """Probes one member in each protocol period, and turns missing acks into suspicions and deaths."""

    def __init__(
        self,
        table: MemberTable,
        composer: DatagramComposer,
        timing: GossipTiming,
        tier_size: int,
        rng: Random,
    ) -> None:
        """Set up the detector of one proxy in a tier of `tier_size` proxies."""
        self._table = table
        self._composer = composer
        self._timing = timing
        self._tier_size = tier_size
        self._rng = rng
        self._probe_order = ShuffledRoundRobin(rng)
        self._probe: PendingProbe | None = None

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return the pings and ping-reqs that are due."""
        return self._check_suspects(now_ms) + self._advance_probe(now_ms)

    def acknowledge(self, ack: Datagram) -> None:
        """Record an ack of the pending probe, from the member itself or relayed by another."""
        probe = self._probe
        if probe is not None and (probe.sequence, probe.member) == (ack.sequence, ack.subject):
            probe.acknowledged = True

    def exclude_stall(self, stall_ms: float) -> None:
        """Exclude a stall of this process, `stall_ms` long, from the age of the pending probe."""
        if self._probe is not None:
            self._probe.started_ms += stall_ms

    def _check_suspects(self, now_ms: float) -> list[OutgoingDatagram]:
        """Declare suspects dead after the suspicion timeout, and ping them repeatedly until then.

        The pings tell a suspect of the suspicion. They are repeated, so that a lost datagram does not keep it
        from refuting.
        """
        datagrams = []
        for member in sorted(self._table.suspects):
            state = self._table.members[member]
            if now_ms - state.since_ms >= self._timing.suspicion_timeout_ms:
                self._table.declare_dead(now_ms, member)
            elif now_ms - state.last_ping_ms >= self._timing.ping_timeout_ms:
                state.last_ping_ms = now_ms
                if state.suspected_here or self._should_ping_suspect():
                    datagrams.append(self._composer.ping(member))
        return datagrams

    def _should_ping_suspect(self) -> bool:
        """Decide at random whether to ping the suspect; pings from the whole tier would overload it."""
        return self._rng.random() * self._tier_size < self._timing.suspect_pings

    def _advance_probe(self, now_ms: float) -> list[OutgoingDatagram]:
        probe = self._probe
        if probe is None:
            return self._start_probe(now_ms)
        age_ms = now_ms - probe.started_ms
        if not probe.acknowledged and not probe.indirect and age_ms >= self._timing.ping_timeout_ms:
            return self._probe_indirectly(probe)
        if age_ms < self._timing.protocol_period_ms:
            return []
        if not probe.acknowledged and self._table.members[probe.member].status is MemberStatus.ALIVE:
            self._table.suspect(now_ms, probe.member)
        return self._start_probe(now_ms)

    def _start_probe(self, now_ms: float) -> list[OutgoingDatagram]:
        self._probe = None
        member = self._probe_order.next(self._table.reachable)
        if member is None:
            return []
        ping = self._composer.ping(member)
        self._probe = PendingProbe(member, ping.datagram.sequence, now_ms)
        return [ping]

    def _probe_indirectly(self, probe: PendingProbe) -> list[OutgoingDatagram]:
        """Ask other members to ping the one that does not answer: the link to it may be cut."""
        probe.indirect = True
        others = sorted(self._table.reachable - {probe.member})
        relays = self._rng.sample(others, min(self._timing.indirect_probes, len(others)))
        return [self._composer.ping_request(relay, probe.sequence, probe.member) for relay in relays]
