"""The results of writing an attempt to a connection."""

from __future__ import annotations

from enum import Enum, auto

from cloverwell.facade import AttemptOutcome


class SendResult(Enum):
    """What has become of an attempt; no byte of it was written unless it is `WRITTEN`."""

    WRITTEN = auto()  # Its first byte has been written; the last one may be held back.
    BROKEN = auto()  # The connection is unusable.
    NO_ROOM = auto()  # The outgoing buffer is too full for now; the connection is sound.
    TOO_LATE = auto()  # No time is left for the node to work on the attempt.


def outcome_without_write(result: SendResult) -> AttemptOutcome:
    """Return the outcome of an attempt that no other connection could carry either.

    A command without room is this machine's own fault, and does not count against the node.
    """
    return AttemptOutcome.NOT_SENT if result is SendResult.NO_ROOM else AttemptOutcome.NOT_CONNECTED
