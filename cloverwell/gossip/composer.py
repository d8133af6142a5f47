"""Composes the datagrams that this proxy sends, with the membership updates that travel on them."""

from __future__ import annotations

from dataclasses import dataclass

from cloverwell.gossip.member_table import MemberTable
from cloverwell.gossip.wire import MAX_UPDATES, NO_PROXY, Datagram, DatagramKind, MembershipUpdate

SEQUENCE_NUMBERS = 2**16


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """A datagram to be sent to the proxy with the number `receiver`."""

    receiver: int
    datagram: Datagram


class DatagramComposer:
    """Knows this proxy's number and incarnation, which every datagram carries in its header."""

    def __init__(self, number: int, incarnation: int, table: MemberTable) -> None:
        """Send as the proxy `number`; the updates to piggyback are taken from `table`."""
        self.number = number
        self.incarnation = incarnation
        self._table = table
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of a new ping."""
        self._sequence = (self._sequence + 1) % SEQUENCE_NUMBERS
        return self._sequence

    def ping(self, to: int) -> OutgoingDatagram:
        """Return a ping under a new sequence number, with piggybacked updates."""
        return self._compose(to, DatagramKind.PING, self.next_sequence(), NO_PROXY)

    def ping_request(self, to: int, sequence: int, subject: int) -> OutgoingDatagram:
        """Return a ping-req for `subject`; the relayed ack will carry `sequence`."""
        return self._compose(to, DatagramKind.PING_REQ, sequence, subject)

    def ack(self, to: int, sequence: int, subject: int) -> OutgoingDatagram:
        """Return the ack that reports `subject`, this proxy or one it has pinged for another, as alive."""
        return self._compose(to, DatagramKind.ACK, sequence, subject)

    def reconnect_ping(self, to: int) -> OutgoingDatagram:
        """Return a ping to a member that is dead or was never heard of.

        It takes no update from the queue, since that transmission would probably be lost. A member that is
        held for dead is told so, in order that it can refute it.
        """
        return self._with_updates(to, DatagramKind.PING, self.next_sequence(), NO_PROXY, self._suspicion(to))

    def _compose(self, to: int, kind: DatagramKind, sequence: int, subject: int) -> OutgoingDatagram:
        return self._with_updates(to, kind, sequence, subject, self._piggyback(to))

    def _with_updates(
        self, to: int, kind: DatagramKind, sequence: int, subject: int, updates: list[MembershipUpdate]
    ) -> OutgoingDatagram:
        return OutgoingDatagram(
            to, Datagram(kind, self.number, self.incarnation, sequence, subject, tuple(updates))
        )

    def _piggyback(self, to: int) -> list[MembershipUpdate]:
        """Return queued updates; a receiver that is suspect or dead always gets its own status first."""
        updates = self._suspicion(to)
        for member in self._table.pending_updates.take(MAX_UPDATES - len(updates)):
            if member != to:
                updates.append(self._table.update_of(member))
        return updates

    def _suspicion(self, to: int) -> list[MembershipUpdate]:
        update = self._table.suspicion_of(to)
        return [] if update is None else [update]
