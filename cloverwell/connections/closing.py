"""What becomes of a client's connection while the process is drained or stops. State in, step out: no I/O.

Every wait here has an end of its own. A client that always has a request open, that sends without pause, that
reads nothing or that never closes its side gets the same instants as any other: they are those of
`serving.DrainTimes`, in ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from cloverwell.serving import DrainTimes

# What a new connection's first request may take to come: closed before, it would be read and not answered.
FIRST_REQUEST_WAIT_MS = 250.0
# The same once new requests are rejected: those who send clients here have been told by then.
LATE_FIRST_REQUEST_WAIT_MS = 50.0


class ClosingStep(Enum):
    """What to do with a connection now."""

    KEEP = auto()  # Nothing: it is served, or something is waited for.
    HALF_CLOSE_IF_ALL_READ = auto()  # Close our side, unless something is unread, which may be a request.
    REJECT_PARTIAL_COMMAND_IF_ALL_READ = auto()  # The same behind half a command, which is answered as busy.
    HALF_CLOSE = auto()  # Close our side, whatever is unread; half a command is answered as busy.
    CLOSE = auto()  # Close both sides. What the kernel has taken still reaches the client.


@dataclass(slots=True, frozen=True)
class ClosingState:
    """What of a connection decides its close.

    Attributes:
        accepted_ms: when it was accepted.
        nothing_read: no byte of the client has been read.
        responses_pending: a request is open, or not all of a response has been handed to the kernel.
        streaming: a long value is being sent.
        partial_command: a part of a command has come, and no response is pending.
        reading_paused: commands that have been read are not handled yet: they wait behind malformed ones.
        half_closed_ms: when our side was closed, or None.

    """

    accepted_ms: float
    nothing_read: bool = False
    responses_pending: bool = False
    streaming: bool = False
    partial_command: bool = False
    reading_paused: bool = False
    half_closed_ms: float | None = None


def closing_step(
    state: ClosingState, instants: DrainTimes, now: float, after_stall: bool = False
) -> ClosingStep:
    """Return what to do with the connection now.

    `after_stall`: the event loop has stalled, and what has come meanwhile is not read yet. Nothing is closed
    for being late before that.
    """
    step = _due_step(state, instants, now)
    return ClosingStep.KEEP if after_stall and step in _UNCONDITIONAL else step


# The steps that lose what is unread.
_UNCONDITIONAL = (ClosingStep.HALF_CLOSE, ClosingStep.CLOSE)


def _due_step(state: ClosingState, instants: DrainTimes, now: float) -> ClosingStep:
    if now < instants.close_idle_ms:
        return ClosingStep.KEEP
    if now >= _release_by_ms(state, instants):
        return ClosingStep.CLOSE
    if state.half_closed_ms is not None:
        return ClosingStep.CLOSE if now - state.half_closed_ms >= instants.linger_ms else ClosingStep.KEEP
    if state.responses_pending or _awaits_first_request(state, instants, now):
        return ClosingStep.KEEP
    if now >= instants.half_close_ms:
        return ClosingStep.HALF_CLOSE
    if state.reading_paused:
        return ClosingStep.KEEP
    if not state.partial_command:
        return ClosingStep.HALF_CLOSE_IF_ALL_READ
    if now >= instants.close_mid_command_ms:
        return ClosingStep.REJECT_PARTIAL_COMMAND_IF_ALL_READ
    return ClosingStep.KEEP


def _release_by_ms(state: ClosingState, instants: DrainTimes) -> float:
    """Return when the connection is closed on both sides, whatever its client does."""
    if state.streaming:
        return instants.close_stream_ms
    return max(instants.close_ms, state.accepted_ms + instants.late_connection_ms)


def _awaits_first_request(state: ClosingState, instants: DrainTimes, now: float) -> bool:
    """Tell whether the first request may be on its way."""
    if not state.nothing_read:
        return False
    late = now >= instants.reject_ms
    wait_ms = LATE_FIRST_REQUEST_WAIT_MS if late else FIRST_REQUEST_WAIT_MS
    return now - state.accepted_ms < wait_ms
