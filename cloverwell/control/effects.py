"""What the control modules ask their caller to do, in the order in which they are listed."""

from __future__ import annotations

import msgspec

from cloverwell.control.entry import Entry, Position, Snapshot
from cloverwell.control.messages import NodeMessage, PeerMessage, ProposalAnswer, ProxyMessage
from cloverwell.control.storage import Write

# A control node's


class SendToPeer(msgspec.Struct, frozen=True):
    """To another control node. It may be lost; it must not be changed, and may come late or twice."""

    node: str
    message: PeerMessage


class EntriesCommitted(msgspec.Struct, frozen=True):
    """Entries that are committed from now on, in order, each told once between two restarts."""

    entries: tuple[Entry, ...]


class SnapshotInstalled(msgspec.Struct, frozen=True):
    """The leader's snapshot has taken the place of what was committed here.

    `EntriesCommitted` goes on after it.
    """

    snapshot: Snapshot


class AnswerProposal(msgspec.Struct, frozen=True):
    """To whoever proposed it over `request`, the number that came with the proposal."""

    request: int
    answer: ProposalAnswer


class SendToSubscriber(msgspec.Struct, frozen=True):
    """To the proxy at a connection, in order after what was sent there before."""

    connection: int
    message: NodeMessage


class CloseSubscriber(msgspec.Struct, frozen=True):
    """The connection has no use any more: close it after what was sent to it. Its end need not be told
    back."""

    connection: int


# A proxy's


class ConnectToNode(msgspec.Struct, frozen=True):
    """To open a connection to this control node, then tell `connected` or `disconnected` with `attempt`."""

    node: str
    attempt: int


class DisconnectFromNode(msgspec.Struct, frozen=True):
    """To close the connection of `attempt` after what was sent over it, or drop the try at one. Its end
    need not be told back."""

    attempt: int


class SendToControlNode(msgspec.Struct, frozen=True):
    """To the control node over the connection of `attempt`."""

    attempt: int
    message: ProxyMessage


class ApplyEntry(msgspec.Struct, frozen=True):
    """To put an entry in force, then tell `loaded` or `refused` with its index. One at a time."""

    entry: Entry


class ApplySnapshot(msgspec.Struct, frozen=True):
    """To put a snapshot's state in force in place of all before, then tell `loaded` or `refused` with its
    index.

    `previous`: the position that it takes the place of. Where that is older than
    `state.purges_complete_from`, purges have been missed that the snapshot doesn't list: all that was
    cached must go.
    """

    snapshot: Snapshot
    previous: Position


NodeEffect = (
    Write
    | SendToPeer
    | EntriesCommitted
    | SnapshotInstalled
    | AnswerProposal
    | SendToSubscriber
    | CloseSubscriber
)
ProxyEffect = ConnectToNode | DisconnectFromNode | SendToControlNode | ApplyEntry | ApplySnapshot
