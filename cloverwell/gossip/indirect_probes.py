"""Indirect probes on behalf of other members: a ping-req is answered by a ping and a relayed ack.

See SWIM, section 3.1.
"""

from __future__ import annotations

from dataclasses import dataclass

from cloverwell.gossip.composer import DatagramComposer, OutgoingDatagram
from cloverwell.gossip.wire import Datagram


@dataclass(slots=True, frozen=True)
class _RelayedProbe:
    """A ping sent for the proxy `requester`, which used `requester_sequence` in its ping-req."""

    requester: int
    requester_sequence: int
    started_ms: float


class IndirectProbes:
    """The unacknowledged pings that were sent for other members, by their sequence number."""

    def __init__(self, composer: DatagramComposer, max_age_ms: float, max_probes: int) -> None:
        """Start without probes; one older than `max_age_ms` is dropped, and at most `max_probes` are kept."""
        self._composer = composer
        self._max_age_ms = max_age_ms
        self._max_probes = max_probes
        self._probes: dict[int, _RelayedProbe] = {}

    def __len__(self) -> int:
        """Return the number of unacknowledged pings."""
        return len(self._probes)

    def start(self, now_ms: float, request: Datagram) -> list[OutgoingDatagram]:
        """Return the ping that a ping-req asks for, or nothing if too many are unacknowledged."""
        self._drop_expired(now_ms)
        if len(self._probes) >= self._max_probes:
            return []
        ping = self._composer.ping(request.subject)
        self._probes[ping.datagram.sequence] = _RelayedProbe(request.sender, request.sequence, now_ms)
        return [ping]

    def relay(self, ack: Datagram) -> OutgoingDatagram | None:
        """Return the ack for the member that requested the probe; None if `ack` answers no indirect probe."""
        probe = self._probes.pop(ack.sequence, None)
        if probe is None:
            return None
        return self._composer.ack(probe.requester, probe.requester_sequence, ack.sender)

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            sequence
            for sequence, probe in self._probes.items()
            if now_ms - probe.started_ms > self._max_age_ms
        ]
        for sequence in expired:
            del self._probes[sequence]
