"""Decides how a client's connection is closed while the process is drained or stops. No I/O.

The caller gives the state of a connection and gets the next step for it. Every wait has an end of its own: a
client that always has a request open, that sends without pause, that reads nothing or that never closes its
side is subject to the same instants as any other. These are `serving.DrainTimes`, in ms of the caller's
clock. Only a client that still takes its responses is kept beyond them, in a drain.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from cloverwell.serving import DrainTimes

# How long a new connection is kept open for its first request. If the proxy closed its side while the request
# is on its way, the request would be read but get no answer.
FIRST_REQUEST_WAIT_MS = 250.0
# The wait for a first request once new requests are rejected. It is shorter, since by then whoever directs
# clients to this process has been told that it ends.
LATE_FIRST_REQUEST_WAIT_MS = 50.0
# A client that has taken nothing of its responses for so long does not read any more. Its kernel may have
# taken the last bytes up to 1 s after a drain began.
STALLED_MS = 2000.0
STALLED_STREAM_MS = 5000.0  # the same for a long value, whose instant comes later
# After a drain no connection may be open on which a request was sent so recently.
RECENT_COMMAND_MS = 2000.0


class ClosingStep(Enum):
    """The step to take with a connection now."""

    KEEP = auto()  # Leave the connection open: it is served, or a wait has not ended.
    HALF_CLOSE_IF_ALL_READ = auto()  # Close the proxy's side, unless bytes are unread: they may be a request.
    # Answer a partial command as busy and close the proxy's side, unless bytes (perhaps the rest) are unread.
    REJECT_PARTIAL_COMMAND_IF_ALL_READ = auto()
    HALF_CLOSE = auto()  # Close the proxy's side, whatever is unread; answer a partial command as busy.
    CLOSE_AFTER_RESPONSES = auto()  # Read no more commands, and close behind the pending responses.
    CLOSE = auto()  # Close both sides. Bytes that the kernel has accepted still reach the client.


@dataclass(slots=True, frozen=True)
class ClosingState:
    """The state of a connection on which its close depends.

    Attributes:
        accepted_ms: when the connection was accepted.
        nothing_read: whether no byte of the client has been read.
        responses_pending: whether a request is open, or a part of a response is not written yet.
        streaming: whether a long value is being sent, or waits for its turn or for room.
        behind: whether the kernel holds responses that it can't send yet, since the client takes no more for
            now. The client would see a close only behind them.
        partial_command: whether a part of a command has come, and no response is pending.
        reading_paused: whether malformed commands have paused the handling of commands that were read.
        half_closed_ms: when the proxy's side was closed, or None while it is open.
        closing_after_responses: whether no more commands are read, and the close is behind the responses.
        stalled_ms: for how long the client has taken nothing of its responses; infinite if none are left.
        command_ms: when the last command began to be read.

    """

    accepted_ms: float
    nothing_read: bool = False
    responses_pending: bool = False
    streaming: bool = False
    behind: bool = False
    partial_command: bool = False
    reading_paused: bool = False
    half_closed_ms: float | None = None
    closing_after_responses: bool = False
    stalled_ms: float = math.inf
    command_ms: float = -math.inf


def closing_step(
    state: ClosingState, instants: DrainTimes, now: float, after_stall: bool = False
) -> ClosingStep:
    """Return the step to take with the connection now.

    `after_stall`: the event loop has stalled, and bytes that came meanwhile are not read yet. Until they are,
    no connection is closed for being late.
    """
    step = _due_step(state, instants, now)
    return ClosingStep.KEEP if after_stall and step in _STEPS_LOSING_UNREAD_BYTES else step


_STEPS_LOSING_UNREAD_BYTES = (ClosingStep.HALF_CLOSE, ClosingStep.CLOSE)


def _due_step(state: ClosingState, instants: DrainTimes, now: float) -> ClosingStep:
    if now < instants.close_idle_ms:
        return ClosingStep.KEEP
    if now >= _close_by_ms(state, instants):
        return _overdue_step(state, instants, now)
    if state.half_closed_ms is not None:
        return ClosingStep.CLOSE if now - state.half_closed_ms >= instants.linger_ms else ClosingStep.KEEP
    if state.responses_pending or _awaits_first_request(state, instants, now):
        return ClosingStep.KEEP
    if now >= instants.half_close_ms:
        return ClosingStep.HALF_CLOSE
    if state.reading_paused or state.behind:
        return ClosingStep.KEEP
    if not state.partial_command:
        return ClosingStep.HALF_CLOSE_IF_ALL_READ
    if now >= instants.close_mid_command_ms:
        return ClosingStep.REJECT_PARTIAL_COMMAND_IF_ALL_READ
    return ClosingStep.KEEP


def _overdue_step(state: ClosingState, instants: DrainTimes, now: float) -> ClosingStep:
    """Return the step to take once both sides are due to be closed."""
    if now >= instants.close_all_ms or not _takes_responses(state, now):
        return ClosingStep.CLOSE
    if state.half_closed_ms is not None or state.closing_after_responses:
        return ClosingStep.KEEP
    return ClosingStep.CLOSE_AFTER_RESPONSES


def _takes_responses(state: ClosingState, now: float) -> bool:
    """Return whether the client does nothing but take the responses that are left."""
    limit_ms = STALLED_STREAM_MS if state.streaming else STALLED_MS
    return state.stalled_ms < limit_ms and now - state.command_ms >= RECENT_COMMAND_MS


def _close_by_ms(state: ClosingState, instants: DrainTimes) -> float:
    """Return the time by which both sides are closed, unless the client still takes responses."""
    if state.streaming:
        return instants.close_stream_ms
    late_ms = state.accepted_ms + instants.late_connection_ms
    return min(max(instants.close_ms, late_ms), instants.close_all_ms)


def _awaits_first_request(state: ClosingState, instants: DrainTimes, now: float) -> bool:
    """Return whether the first request may still be on its way."""
    if not state.nothing_read:
        return False
    rejects_requests = now >= instants.reject_ms
    wait_ms = LATE_FIRST_REQUEST_WAIT_MS if rejects_requests else FIRST_REQUEST_WAIT_MS
    return now - state.accepted_ms < wait_ms
