"""Messages between control nodes, between a control node and a proxy, and from proposers to control nodes.

On the wire a message is one version byte and a msgpack map with a `type` field; the frame around it belongs
to the transport. Receivers ignore fields that they don't know, so new optional fields need no new version. A
type or field that has been renamed in the code keeps its first name on the wire.

Leases work without synchronised clocks. A holder puts `token`, the time of sending by its own clock, into a
message; the answer returns it as `echo` together with `lease_ms`. The lease runs for `lease_ms` from that
sending, so neither the network's delay nor the difference between two clocks can make it longer than
intended. Without an echo the field is NO_TOKEN.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from cloverwell.control.entry import Entry, Position, Snapshot
from cloverwell.control.errors import ControlError

VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # a snapshot is the largest message
NO_TOKEN = -1.0  # no token has been received
ANY_INDEX = -1  # as `expected_index` of a proposal: skips the check
MAX_REPORT_POSITIONS = 16
MAX_REASON_CHARS = 200


class MessageError(ControlError):
    """Bytes that are not a message of this version; `reason` says why in a few words."""

    def __init__(self, reason: str) -> None:
        """Uses the reason as the message."""
        super().__init__(reason)
        self.reason = reason


class RefusalReason(StrEnum):
    """The reason for which a control node refuses a subscription."""

    BEHIND = "behind"  # the proxy's log reaches further than this node's: it has to try another node
    FULL = "full"  # this node has as many subscribers as it accepts
    OTHER_LOG = "other log"  # the proxy is configured for another control log
    INVALID = "invalid"  # the message is not allowed at this point, or the subscription is an outdated one


class ProposalOutcome(StrEnum):
    """The result of a proposal."""

    COMMITTED = "committed"  # the entry is committed at `index`
    NOT_LEADER = "not leader"  # nothing was changed: propose to `leader`, if it is given
    NO_QUORUM = "no quorum"  # nothing was changed: no leader with a quorum can be reached from here
    CONFLICT = "conflict"  # nothing was changed: the latest entry of the kind is not the expected one
    BUSY = "busy"  # nothing was changed: too many proposals are pending
    INVALID = "invalid"  # nothing was changed: the payload is too long, or the kind can't be proposed
    UNKNOWN = "unknown"  # the entry may be or become committed: propose again with the same identifier


class FleetCount(msgspec.Struct, frozen=True):
    """The number of proxies in the fleet, as the leader knows it.

    `alive` counts subscribers in contact with their control node. `hidden` counts proxies that may be alive
    where the leader can't see them: lost without a goodbye, or subscribed to a control node that does not
    report. `complete` is False while a control node has not reported since the leader's term began, so that
    `alive` and `hidden` may leave proxies out.
    """

    alive: int = 0
    hidden: int = 0
    complete: bool = False


class PositionCount(msgspec.Struct, frozen=True, array_like=True):
    """The number of proxies that have applied the log up to `index`."""

    index: int
    proxies: int


class RefusalCount(msgspec.Struct, frozen=True, array_like=True):
    """The number of proxies that could not apply the entry at `index` and use an older one.

    `reason` is that of one of them.
    """

    index: int
    reason: str
    proxies: int


# Between control nodes


class RequestVote(msgspec.Struct, frozen=True, tag=True):
    """A candidate's request for a vote in `term` (Raft, section 5.2).

    With `pre_vote` it only asks whether the vote would be granted.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool = False


class VoteAnswer(msgspec.Struct, frozen=True, tag=True):
    """The answer to a RequestVote.

    `term` is the voter's current term, `asked_term` the one that the request named.
    """

    term: int
    voter: str
    asked_term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, tag=True):
    """Entries for a follower, or none as a heartbeat (Raft, section 5.3).

    `token` is the leader's, `echo` the follower's latest token.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    token: float
    echo: float = NO_TOKEN
    lease_ms: float = 0.0


class InstallSnapshot(msgspec.Struct, frozen=True, tag=True):
    """A snapshot for a follower whose next entry the leader's log no longer has (Raft, section 7).

    It is answered by an AppendAnswer.
    """

    term: int
    leader: str
    snapshot: Snapshot
    token: float


class AppendAnswer(msgspec.Struct, frozen=True, tag=True):
    """The answer to AppendEntries and InstallSnapshot.

    With `success` the follower's log matches the leader's up to `match_index`; else the two logs may match up
    to there, and certainly not further.
    """

    term: int
    follower: str
    success: bool
    match_index: int
    echo: float
    token: float


class SubscriberReport(msgspec.Struct, frozen=True, tag=True):
    """A control node's report to the leader about its subscribers, in totals.

    `lost` counts proxies that left without a goodbye and are still remembered. `positions` counts each live
    subscriber once, oldest first; where there would be more than MAX_REPORT_POSITIONS, the oldest are merged
    at the oldest index.
    """

    node: str
    alive: int
    lost: int
    positions: tuple[PositionCount, ...] = ()
    refusals: tuple[RefusalCount, ...] = ()


class FleetSummary(msgspec.Struct, frozen=True, tag=True):
    """The leader's totals for the other control nodes, which pass them on to their subscribers."""

    term: int
    leader: str
    fleet: FleetCount


class SubscriberMoved(msgspec.Struct, frozen=True, tag=True):
    """Tells a control node that a proxy, subscribed to it before, is now subscribed to the sender.

    The receiver then does not count the proxy as lost.
    """

    proxy: str
    run: int
    attempt: int


# Between a control node and a proxy


class Subscribe(msgspec.Struct, frozen=True, tag=True):
    """A proxy's first message: the log that it follows and the position that it has reached.

    `proxy` is its name in the fleet, the same after a restart. `run` is a random number of this process, and
    `attempt` a number that grows within a run; `subscribers` says which of two subscriptions of one name
    takes precedence. `position` is that after the last entry received; everything up to `applied_index` is
    applied. `last_node` is the control node to which the proxy was subscribed before in this run, or "".
    """

    proxy: str
    run: int
    attempt: int
    log: str
    position: Position
    applied_index: int = msgspec.field(name="loaded_index")
    token: float
    last_node: str = ""


class SnapshotTransfer(msgspec.Struct, frozen=True, tag="Snapshotted"):
    """The log's state in place of entries.

    It is sent to a proxy whose position is too old or not of this log, and to one that is too slow.
    """

    snapshot: Snapshot


class Entries(msgspec.Struct, frozen=True, tag=True):
    """Committed entries, in order; `previous` is the position before the first of them."""

    previous: Position
    entries: tuple[Entry, ...]


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """The commit position that a control node knows, and a lease for as long as that counts as current."""

    committed: Position
    echo: float
    lease_ms: float
    fleet: FleetCount


class Acknowledge(msgspec.Struct, frozen=True, tag=True):
    """The position up to which the proxy has applied the log.

    `refused_index` is that of an entry up to there which could not be applied, and which no later entry of
    its kind has replaced; 0 if there is none. `refused_reason` says why it was refused.
    """

    position: Position
    token: float
    refused_index: int = 0
    refused_reason: str = ""


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """A subscription is refused; the connection is closed after this message."""

    reason: RefusalReason


class Goodbye(msgspec.Struct, frozen=True, tag=True):
    """The proxy shuts down gracefully: from now on it does not count as alive or hidden."""


# Between a proposer and a control node


class Propose(msgspec.Struct, frozen=True, tag=True):
    """A proposal to append an entry.

    `proposal` is an identifier that the proposer chooses. A proposal repeated with the same identifier is
    appended only once, as long as the leader's log or state still shows it. `expected_index` is that of the
    latest entry of the kind that the proposer knows, 0 for none, ANY_INDEX to skip the check.
    """

    proposal: str
    kind: str
    payload: bytes
    expected_index: int = ANY_INDEX


class ProposalAnswer(msgspec.Struct, frozen=True, tag=True):
    """The outcome of a proposal.

    `index` is where the entry is committed, `leader` the node to propose to instead.
    """

    proposal: str
    outcome: ProposalOutcome
    index: int = 0
    leader: str = ""


ConsensusMessage = RequestVote | VoteAnswer | AppendEntries | AppendAnswer | InstallSnapshot
PeerMessage = ConsensusMessage | SubscriberReport | FleetSummary | SubscriberMoved
ProxyMessage = Subscribe | Acknowledge | Goodbye  # from a proxy
NodeMessage = SnapshotTransfer | Entries | Heartbeat | Refusal  # to a proxy
Message = PeerMessage | ProxyMessage | NodeMessage | Propose | ProposalAnswer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the bytes of a message, without a frame."""
    return bytes((VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message that the bytes encode. Raises MessageError."""
    if not data:
        raise MessageError("empty")
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError("too long")
    if data[0] != VERSION:
        raise MessageError(f"version {data[0]}, not {VERSION}")
    try:
        message = _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageError(f"malformed: {error}") from None
    return message
