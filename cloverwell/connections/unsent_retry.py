"""Decides when a request is decided again after an attempt that this machine could not send. No I/O.

A machine that is short of descriptors or memory for a moment can't begin a connection. That says nothing
about the nodes, and the balancer grants the request no further attempt for it. So the balancer is asked again
after a short delay about a request of which nothing was sent, if there is time for the delay.
"""

from __future__ import annotations

from dataclasses import dataclass

RETRY_DELAY_MS = 20.0
# The timer wheel rounds the delay up and the request's deadline down, each by up to one tick.
MARGIN_TICKS = 2.0


@dataclass(slots=True, frozen=True)
class UnsentRequest:
    """The state of a request after an attempt that this machine could not send. Times are in milliseconds."""

    is_over: bool  # whether the request has ended
    has_attempt_in_flight: bool  # whether another attempt of the request is in flight
    may_have_run: bool  # whether an attempt may have run at a node
    is_rejected_or_failed: bool  # whether the balancer's decision is to reject or fail the request
    is_ordered: bool  # whether requests with its key keep their order: later ones would overtake it
    answer_by_ms: float  # when the client must have its answer


def retry_at_ms(request: UnsentRequest, now: float, tick_ms: float) -> float | None:
    """Returns the time in ms at which to decide the request again, or None to keep the present decision.

    `tick_ms` is the granularity of the timer wheel.
    """
    if request.is_over or request.has_attempt_in_flight or request.may_have_run:
        return None
    if request.is_ordered or not request.is_rejected_or_failed:
        return None
    at_ms = now + RETRY_DELAY_MS
    return at_ms if at_ms < request.answer_by_ms - MARGIN_TICKS * tick_ms else None
