"""The results of a write to a connection whose outgoing buffer is bounded."""

from __future__ import annotations

from enum import Enum


class WriteResult(Enum):
    """What has become of the bytes of a write; the values are words of the log."""

    ACCEPTED = "accepted"  # All of them were sent or buffered.
    # None were: the outgoing buffer is too full for now. `roomMade` is called when some has been sent.
    NO_ROOM = "no room"
    # None were: the connection has ended, or is gone as the kernel reports, so no write will succeed.
    CLOSED = "closed"


class CommandWriteResult(Enum):
    """What has become of a command, which can't run at its node without its last byte."""

    SENT = "sent"  # The kernel has taken all of it.
    LAST_BYTE_UNSENT = "last byte unsent"  # All but its last byte was sent or buffered.
    NO_ROOM = "no room"  # Nothing was sent, since the outgoing buffer is too full for now.
    CLOSED = "closed"  # Nothing was sent, since the connection has ended or is gone.
