"""Effects: what the control modules ask their caller to do, in the order in which they are listed."""

from __future__ import annotations

import msgspec

from cloverwell.control.entry import Entry, Position, Snapshot
from cloverwell.control.messages import NodeMessage, PeerMessage, ProposalAnswer, ProxyMessage
from cloverwell.control.storage import Write

# Effects of a control node


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message to another control node.

    The message may be lost, delayed or duplicated, but must not be altered.
    """

    node: str
    message: PeerMessage


class EntriesCommitted(msgspec.Struct, frozen=True):
    """Entries that have just been committed, in order. Each is reported once between two restarts."""

    entries: tuple[Entry, ...]


class SnapshotInstalled(msgspec.Struct, frozen=True):
    """The leader's snapshot has replaced what was committed here.

    Later `EntriesCommitted` continue after it.
    """

    snapshot: Snapshot


class AnswerProposal(msgspec.Struct, frozen=True):
    """Send an answer to a proposer; `request_id` is the one that came with the proposal."""

    request_id: int
    answer: ProposalAnswer


class SendToSubscriber(msgspec.Struct, frozen=True):
    """Send a message to the proxy at a connection, after all earlier messages to it."""

    connection_id: int
    message: NodeMessage


class CloseSubscriber(msgspec.Struct, frozen=True):
    """Close a subscriber's connection once all messages to it are sent; the end need not be reported."""

    connection_id: int


# Effects of a proxy


class ConnectToNode(msgspec.Struct, frozen=True):
    """Connect to a control node, then call `connected` or `disconnected` with `attempt`."""

    node: str
    attempt: int


class DisconnectFromNode(msgspec.Struct, frozen=True):
    """Close the connection of `attempt` once all messages on it are sent, or cancel the attempt to connect.

    The end of the connection need not be reported.
    """

    attempt: int


class SendToControlNode(msgspec.Struct, frozen=True):
    """Send a message over the connection of `attempt`."""

    attempt: int
    message: ProxyMessage


class ApplyEntry(msgspec.Struct, frozen=True):
    """Apply an entry, then call `applied` or `refused` with its index. One effect of this kind at a time."""

    entry: Entry


class ApplySnapshot(msgspec.Struct, frozen=True):
    """Apply a snapshot's state in place of the earlier one, then call `applied` or `refused` with its index.

    `previous` is the position that the snapshot replaces. Where that is older than
    `state.purges_complete_from`, purges were missed that the snapshot does not list: everything that was
    cached must be dropped.
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
