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
    """Composes this proxy's datagrams, which carry its number and incarnation in their header."""

    def __init__(self, number: int, incarnation: int, table: MemberTable) -> None:
        """Compose datagrams of the proxy `number`; the updates to piggyback are taken from `table`."""
        self.number = number
        self.incarnation = incarnation
        self._table = table
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of a new ping."""
        self._sequence = (self._sequence + 1) % SEQUENCE_NUMBERS
        return self._sequence

    def ping(self, receiver: int) -> OutgoingDatagram:
        """Return a ping under a new sequence number, with piggybacked updates."""
        return self._compose(receiver, DatagramKind.PING, self.next_sequence(), NO_PROXY)

    def ping_request(self, receiver: int, sequence: int, subject: int) -> OutgoingDatagram:
        """Return a ping-req for `subject`; the relayed ack will carry `sequence`."""
        return self._compose(receiver, DatagramKind.PING_REQ, sequence, subject)

    def ack(self, receiver: int, sequence: int, subject: int) -> OutgoingDatagram:
        """Return the ack which reports that `subject` is alive: this proxy or one pinged for another."""
        return self._compose(receiver, DatagramKind.ACK, sequence, subject)

    def reconnect_ping(self, receiver: int) -> OutgoingDatagram:
        """Return a ping to a member that is dead or was never heard of.

        It takes no update from the queue, since that transmission would probably be lost. A member that is
        considered dead is told so, so that it can refute that.
        """
        return self._with_updates(
            receiver, DatagramKind.PING, self.next_sequence(), NO_PROXY, self._suspicion(receiver)
        )

    def _compose(self, receiver: int, kind: DatagramKind, sequence: int, subject: int) -> OutgoingDatagram:
        return self._with_updates(receiver, kind, sequence, subject, self._piggyback(receiver))

    def _with_updates(
        self, receiver: int, kind: DatagramKind, sequence: int, subject: int, updates: list[MembershipUpdate]
    ) -> OutgoingDatagram:
        return OutgoingDatagram(
            receiver, Datagram(kind, self.number, self.incarnation, sequence, subject, tuple(updates))
        )

    def _piggyback(self, receiver: int) -> list[MembershipUpdate]:
        """Return queued updates; a receiver that is suspect or dead always gets its own status first."""
        updates = self._suspicion(receiver)
        for member in self._table.pending_updates.take(MAX_UPDATES - len(updates)):
            if member != receiver:
                updates.append(self._table.update_of(member))
        return updates

    def _suspicion(self, receiver: int) -> list[MembershipUpdate]:
        update = self._table.suspicion_of(receiver)
        return [] if update is None else [update]
