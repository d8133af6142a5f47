"""Logs and counts what is noteworthy about single requests and attempts."""

from __future__ import annotations

from cloverwell.counters import Counters
from cloverwell.facade import AttemptOutcome
from cloverwell.log import Log
from cloverwell.request import Attempt, Request


class RequestLog:
    """Writes the `refused`, `failed` and `retry` lines, and counts exceeded deadlines."""

    def __init__(self, log: Log, counters: Counters) -> None:
        """Set up a log of requests."""
        self._log = log
        self._counters = counters

    def rejected(self, request_id: str, reason: str) -> None:
        """Log and count a rejected request."""
        self._counters.add(f"refused.{reason}")
        self._log.info("refused", f"request {request_id}: {reason}")

    def failed(self, request: Request, reason: str) -> None:
        """Log and count a failed request."""
        self._counters.add(f"failed.{reason}")
        self._log.info("failed", f"request {request.id}: {reason}")

    def further_attempt(self, attempt: Attempt) -> None:
        """Log a retry or a hedged request. The fetch from the origin after a miss is neither."""
        request = attempt.request
        if request.attempts:
            cause = "hedged"
        elif request.last_outcome in (None, AttemptOutcome.MISS):
            return
        else:
            cause = f"after {request.last_outcome.value.value}"
        node, number = attempt.decision.node, attempt.decision.number
        self._log.info("retry", f"request {request.id}: attempt {number} at {node}, {cause}")

    def count_exceeded_deadline(self, attempt: Attempt) -> None:
        """Count an attempt whose propagated deadline was later than its client's, which is a fault."""
        if attempt.written_ms is None:
            return
        excess_ms = attempt.exceeded_deadline_by_ms(attempt.written_ms)
        if excess_ms > 0.0:
            self._counters.add("deadline.exceeded_at_send")
            self._counters.record_max("deadline.exceeded_at_send_ms", excess_ms)
