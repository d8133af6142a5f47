"""When a request is decided again after an attempt that this machine could not send. No I/O.

A machine that is short of descriptors or memory for a moment can't begin a connection. That says nothing of
the nodes, and the balancer has no further attempt for it, so a request that nothing was sent for is decided
anew after a short delay, if there is time for one.
"""

from __future__ import annotations

from dataclasses import dataclass

RETRY_DELAY_MS = 20.0
MARGIN_TICKS = (
    2.0  # the timer wheel rounds the delay up and the request's deadline down, each by up to a tick
)


@dataclass(slots=True, frozen=True)
class UnsentRequest:
    """The state of a request after an attempt that this machine could not send. Times are in milliseconds."""

    is_over: bool
    has_attempt_in_flight: bool  # another of its attempts is
    may_have_run: bool
    is_rejected_or_failed: bool  # the balancer's decision is a final answer
    is_ordered: bool  # requests with its key are sent in order: decided anew, others would overtake it
    answer_by_ms: float


def retry_at_ms(request: UnsentRequest, now: float, tick_ms: float) -> float | None:
    """Returns when to decide the request again, or None where it keeps the decision it has.

    `tick_ms` is the granularity of the timer wheel.
    """
    if request.is_over or request.has_attempt_in_flight or request.may_have_run:
        return None
    if request.is_ordered or not request.is_rejected_or_failed:
        return None
    at_ms = now + RETRY_DELAY_MS
    return at_ms if at_ms < request.answer_by_ms - MARGIN_TICKS * tick_ms else None
