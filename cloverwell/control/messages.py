"""What control nodes tell each other, what a control node and a proxy tell each other, and what a proposer
asks.

On the wire a message is one version byte and a msgpack map with a `type` field; a frame around it is the
transport's. Receivers ignore fields that they don't know, so new optional fields need no new version.

Leases without common clocks: who wants a lease puts `token`, the time of sending by its own clock, into
a message; the answer brings it back as `echo` with `lease_ms`. The lease runs for `lease_ms` from that
sending, so neither delay on the way nor the difference of two clocks can make it longer than was meant.
No echo: NO_TOKEN.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from cloverwell.control.entry import Entry, Position, Snapshot

VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # a snapshot is the largest message
NO_TOKEN = -1.0
ANY_INDEX = -1
MAX_REPORT_POSITIONS = 16
MAX_REASON_CHARS = 200


class MessageError(Exception):
    """Bytes that are no message of this version; the text says why in a few words."""


class RefusalReason(StrEnum):
    """Why a control node takes no subscription."""

    BEHIND = "behind"  # the proxy knows more than this node does so far: ask another
    FULL = "full"  # this node has as many subscribers as it takes
    OTHER_LOG = "other log"  # the proxy is configured for another control log
    INVALID = "invalid"  # the message makes no sense here


class ProposalOutcome(StrEnum):
    """What became of a proposal."""

    COMMITTED = "committed"  # in the log for good, at `index`
    NOT_LEADER = "not leader"  # nothing was done: ask `leader`, if it is named
    NO_QUORUM = "no quorum"  # nothing was done: this part of the fleet can change nothing now
    CONFLICT = "conflict"  # nothing was done: the latest entry of the kind is not the expected one
    BUSY = "busy"  # nothing was done: too many proposals wait
    INVALID = "invalid"  # nothing was done: payload too long, or a kind that nobody may propose
    UNKNOWN = "unknown"  # it may be in the log or come into it: propose it again with the same id


class FleetCount(msgspec.Struct, frozen=True):
    """How many proxies live, as the leader knows it.

    `alive`: subscribers that have been heard of lately. `hidden`: those that may live where the leader
    can't see them (lost without a goodbye, or of a control node that it doesn't hear). `complete`: False
    while a control node has not been heard of since the leader's term began, so that `alive` and
    `hidden` may leave proxies out.
    """

    alive: int = 0
    hidden: int = 0
    complete: bool = False


class PositionCount(msgspec.Struct, frozen=True, array_like=True):
    """So many proxies have taken in the log up to `index`."""

    index: int
    proxies: int


class RefusalCount(msgspec.Struct, frozen=True, array_like=True):
    """So many proxies couldn't load the entry at `index` and go on by an older one; `reason`: one of
    theirs."""

    index: int
    reason: str
    proxies: int


# Between control nodes


class RequestVote(msgspec.Struct, frozen=True, tag=True):
    """A candidate asks for a vote in `term`; with `pre_vote` it only asks whether it would get it."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool = False


class VoteAnswer(msgspec.Struct, frozen=True, tag=True):
    """`term`: the voter's; `asked_term`: the one that the request named."""

    term: int
    voter: str
    asked_term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, tag=True):
    """Entries for a follower, or none as a heartbeat. `token`: the leader's, `echo`: the follower's last
    one."""

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
    """For a follower whose next entry the leader's log no longer holds; answered by an AppendAnswer."""

    term: int
    leader: str
    snapshot: Snapshot
    token: float


class AppendAnswer(msgspec.Struct, frozen=True, tag=True):
    """`match_index`: with `success` the follower's log is the leader's up to it; else it may be at most
    up to it."""

    term: int
    follower: str
    success: bool
    match_index: int
    echo: float
    token: float


class SubscriberReport(msgspec.Struct, frozen=True, tag=True):
    """A control node to the leader: its subscribers in sums. `lost`: gone without a goodbye, not yet
    forgotten.

    `positions` counts each live subscriber once, oldest first; where there are more than
    MAX_REPORT_POSITIONS, neighbours are added up at the older index.
    """

    node: str
    alive: int
    lost: int
    positions: tuple[PositionCount, ...] = ()
    refusals: tuple[RefusalCount, ...] = ()


class FleetSummary(msgspec.Struct, frozen=True, tag=True):
    """The leader to the other control nodes: what they pass on to their subscribers."""

    term: int
    leader: str
    fleet: FleetCount


class SubscriberMoved(msgspec.Struct, frozen=True, tag=True):
    """To the control node that a proxy was subscribed to before: it isn't lost there, it is counted here."""

    proxy: str
    run: int
    attempt: int


# Between a control node and a proxy


class Subscribe(msgspec.Struct, frozen=True, tag=True):
    """A proxy's first message: which log it follows and how far it is.

    `proxy`: its name in the fleet, the same after a restart. `run`: a random number of this process, and
    `attempt`: a number that grows within a run; which of two subscriptions of one name stands is told in
    `subscribers`. `position`: after what it has received; `loaded_index`: up to where that is loaded.
    `last_node`: the control node that it was subscribed to before in this run, or "".
    """

    proxy: str
    run: int
    attempt: int
    log: str
    position: Position
    loaded_index: int
    token: float
    last_node: str = ""


class Snapshotted(msgspec.Struct, frozen=True, tag=True):
    """The log's state, in place of entries: for a position that is too old, too slow, or not of this log."""

    snapshot: Snapshot


class Entries(msgspec.Struct, frozen=True, tag=True):
    """Committed entries, in order; `previous`: the position before the first of them."""

    previous: Position
    entries: tuple[Entry, ...]


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """How far the log is committed, as this node knows it, and since when at least that was all (see the
    lease)."""

    committed: Position
    echo: float
    lease_ms: float
    fleet: FleetCount


class Acknowledge(msgspec.Struct, frozen=True, tag=True):
    """How far the proxy has taken in the log. `refused_index`: an entry up to there that it could not
    load and that none of its kind has replaced (0: none), and why."""

    position: Position
    token: float
    refused_index: int = 0
    refused_reason: str = ""


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """No subscription here; the connection ends after it."""

    reason: RefusalReason


class Goodbye(msgspec.Struct, frozen=True, tag=True):
    """The proxy stops in good order: from now on it is not one of those that live."""


# Between a proposer and a control node


class Propose(msgspec.Struct, frozen=True, tag=True):
    """A change to be made. `proposal`: an id of the proposer's choice; repeated with the same id it is
    made once, as long as the leader's log or state still shows it. `expected_index`: the latest entry of
    the kind that the proposer knows, 0 for none, ANY_INDEX to skip the check."""

    proposal: str
    kind: str
    payload: bytes
    expected_index: int = ANY_INDEX


class ProposalAnswer(msgspec.Struct, frozen=True, tag=True):
    """What became of a proposal. `index`: where it is committed; `leader`: whom to ask instead."""

    proposal: str
    outcome: ProposalOutcome
    index: int = 0
    leader: str = ""


ConsensusMessage = RequestVote | VoteAnswer | AppendEntries | AppendAnswer | InstallSnapshot
PeerMessage = ConsensusMessage | SubscriberReport | FleetSummary | SubscriberMoved
ProxyMessage = Subscribe | Acknowledge | Goodbye  # from a proxy
NodeMessage = Snapshotted | Entries | Heartbeat | Refusal  # to a proxy
Message = PeerMessage | ProxyMessage | NodeMessage | Propose | ProposalAnswer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes of a message, without a frame."""
    return bytes((VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """The message of these bytes. Raises MessageError."""
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
