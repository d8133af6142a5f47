"""Carries out the facade's decisions: attempts go to the connection pools, answers to the clients' side.

The dispatcher owns the open requests from their arrival to their final answer. What to do with them is
decided by the facade, and when an unsent attempt is decided again by `connections.unsent_retry`.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from cloverwell import facade as f
from cloverwell.back.pools import NodePools
from cloverwell.connections.unsent_retry import UnsentRequest, retry_at_ms
from cloverwell.counters import Counters
from cloverwell.facade import AttemptOutcome, Facade
from cloverwell.log import Log
from cloverwell.request import Attempt, Failed, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue
from cloverwell.timer_wheel import TimerWheel

# A request that nothing has ended is failed so long before its client gives up. The balancer ends its
# attempts two ticks and 2 ms before the deadline: a timer rounded down into that tick would fail a request
# that the balancer is about to reject.
DEADLINE_MARGIN_MS = 1.0
WAY_MS = 1.0  # a request's way here and an answer's way back


class Dispatcher:
    """Holds the open requests, and gives each exactly one final answer unless its client disconnects."""

    def __init__(
        self, facade: Facade, timer_wheel: TimerWheel, pools: NodePools, log: Log, counts: Counters
    ) -> None:
        """Connects the parts, and has the timer wheel call `carry_out_due_decisions` at each tick."""
        self._facade = facade
        self._wheel = timer_wheel
        self._pools = pools
        self._log = log
        self._counts = counts
        self._open: dict[str, Request] = {}
        self._settling = False
        self._close_by_ms = math.inf
        self.watch_endpoints: Callable[[], None] = lambda: None  # has discovery watch the endpoint list
        self.list_age_ms: Callable[[], float] = lambda: 0.0  # the age of the endpoint list
        timer_wheel.on_tick = self.carry_out_due_decisions

    @property
    def open_count(self) -> int:
        """How many requests are open."""
        return len(self._open)

    def accept(self, request: Request) -> None:
        """Accepts a new request, which from here on gets exactly one final answer."""
        now = self._wheel.now()
        self._counts.add("taken")
        request.time_left_ms -= (
            WAY_MS  # the clients' side has taken off what passed since its first byte was here
        )
        request.time_left_ms = min(request.time_left_ms, self._close_by_ms - now)
        request.deadline_ms = now + request.time_left_ms
        if request.id in self._open:
            # Ids are never used twice: one that is would mix up two clients' answers.
            self._note_failed(request, "twice")
            request.complete(Failed())
            return
        bound = self._facade.settings.max_open_requests
        if bound and len(self._open) >= bound:
            self.record_rejection(request, "open")
            request.complete(Rejected(self._facade.settings.max_retry_after_ms))
            return
        self._open[request.id] = request
        request.deadline_timer = self._wheel.call_by(
            request.deadline_ms - DEADLINE_MARGIN_MS, lambda: self._fail_at_deadline(request)
        )
        self._carry_out(self._facade.decide(request), request)
        self.carry_out_due_decisions()

    def answer_all_by(self, when_ms: float) -> None:
        """Has all open and all later requests answered by then; infinite: each by its own deadline."""
        self._close_by_ms = when_ms

    def fail_all_open(self) -> None:
        """Fails all open requests, since their connections are closed now."""
        for request in list(self._open.values()):
            if not request.is_over:
                self._note_failed(request, "ending")
                self._fail(request)

    def client_disconnected(self, requests: list[Request]) -> None:
        """Ends the requests of a client that has disconnected, without an answer.

        All are closed before any attempt is given up: its place must not go to another of them.
        """
        closed = [request for request in requests if not request.is_over]
        for request in closed:
            request.mark_over()
            self._facade.report(request, f.ClientDisconnected())
        for request in closed:
            self._cancel_attempts(request)
            self._forget_if_done(request)
        if closed:
            self.carry_out_due_decisions()

    def _cancel_attempts(self, request: Request) -> None:
        """Cancels what nobody waits for any more.

        A write that was sent may finish. One that waits for a connection, or for the close of the attempt
        before it, is not sent any more.
        """
        for attempt in list(request.attempts.values()):
            if not request.is_write or attempt.pool.is_unsent(attempt):
                attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)

    def update_endpoints(self, update: f.EndpointUpdate | f.EndpointUpdateFailed) -> None:
        """Hands an update of the endpoint list, or the failure of one, to the facade."""
        self._facade.report(f.WatchEndpoints(), update)
        self.carry_out_due_decisions()

    def carry_out_due_decisions(self) -> None:
        """Carries out the decisions that are due until there are none; a nested call does nothing."""
        if self._settling:
            return
        self._settling = True
        try:
            while decisions := self._facade.tick(self._wheel.now()):
                for decision in decisions:
                    self._carry_out_due(decision)
        finally:
            self._settling = False

    def _carry_out_due(self, decision: f.Decision) -> None:
        """Carries out a decision that is not the direct reply to a report or a new request."""
        match decision:
            case f.SendAttempt(name):
                request = self._open.get(name)
                if request is None or request.is_over:
                    # Decided as its client disconnected: unreported, it would hold its capacity for good.
                    self._facade.report(decision, AttemptOutcome.NOT_SENT, True)
                else:
                    self._carry_out(decision, request)
            case f.RejectRequest(name) | f.FailRequest(name):
                if (request := self._open.get(name)) is not None:
                    self._carry_out(decision, request)
            case f.CancelAttempt(name, number):
                request = self._open.get(name)
                if request is not None and (attempt := request.attempts.get(number)) is not None:
                    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
            case f.CloseConnections(node):
                self._pools.close_idle(node)
            case f.WatchEndpoints():
                self.watch_endpoints()
            case f.LogEvent(text):
                self._log.info("decision", text)

    def _carry_out(self, decision: f.Decision, request: Request) -> None:
        match decision:
            case f.SendAttempt():
                self._start_attempt(decision, request)
            case f.RejectRequest(_, retry_after_ms, reason):
                self.record_rejection(request, reason)
                request.complete(Rejected(retry_after_ms))
                self._forget_if_done(request)
            case f.FailRequest(_, reason):
                self._note_failed(request, reason)
                request.complete(Failed())
                self._forget_if_done(request)

    def record_rejection(self, request: Request, reason: str) -> None:
        """Logs and counts a request that is rejected, here or before it was accepted."""
        self._counts.add(f"refused.{reason}")
        self._log.info("refused", f"request {request.id}: {reason}")

    def _note_failed(self, request: Request, reason: str) -> None:
        self._counts.add(f"failed.{reason}")
        self._log.info("failed", f"request {request.id}: {reason}")

    def _start_attempt(self, decision: f.SendAttempt, request: Request) -> None:
        now = self._wheel.now()
        settings = self._facade.settings
        write_by_ms = decision.decided_ms + min(decision.timeout_ms, settings.connect_timeout_ms)
        window_ms = f.resend_window_ms(settings, request.class_number)
        if window_ms is not None and request.first_possible_run_ms is not None:
            # Nodes recognise a repeat for so long: one that waits for a connection must not be sent after.
            write_by_ms = min(write_by_ms, request.first_possible_run_ms + window_ms)
        pool = self._pools.pool_of(decision.node)
        self._counts.record_max("list.age_ms", self.list_age_ms())
        costly = f.forbids_retry(settings, request.class_number)
        # From the decision on: behind a stall the guard would otherwise come before the attempt's timeout.
        deadline_ms = min(decision.decided_ms + decision.timeout_ms, request.deadline_ms)
        attempt = Attempt(
            decision, request, write_by_ms, self._ended, pool, deadline_ms, costly, created_ms=now
        )
        if decision.number:
            self._note_further_attempt(attempt)
        request.attempts[decision.number] = attempt
        attempt.timer = self._wheel.call_not_before(deadline_ms, lambda: self._time_out(attempt))
        if request.earliest_next_attempt_ms > now:
            self._wheel.call_by(now, lambda: self._start_after_close(attempt))
        else:
            pool.start(attempt)

    def _note_further_attempt(self, attempt: Attempt) -> None:
        """Logs a retry or a hedged request; what a miss sends to the origin is neither."""
        request = attempt.request
        if request.attempts:
            cause = "hedged"
        elif request.last_outcome in (None, AttemptOutcome.MISS):
            return
        else:
            cause = f"after {request.last_outcome.value.value}"
        node, number = attempt.decision.node, attempt.decision.number
        self._log.info("retry", f"request {request.id}: attempt {number} at {node}, {cause}")

    def _start_after_close(self, attempt: Attempt) -> None:
        """Starts an attempt once the close of the one before has reached its node.

        The close was sent by the end of this turn of the event loop, later by as much as the loop has
        stalled.
        """
        delay_ms = self._wheel.last_tick_delay_ms
        stall_ms = delay_ms if delay_ms > self._wheel.granularity_ms else 0.0
        start_ms = attempt.request.earliest_next_attempt_ms + stall_ms
        if start_ms > self._wheel.now():
            self._wheel.call_not_before(start_ms, attempt.start_unless_over)
        else:
            attempt.start_unless_over()

    def _time_out(self, attempt: Attempt) -> None:
        attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, body: bytes | StreamedValue) -> None:
        request = attempt.request
        self._counts.add(f"{attempt.pool.kind}.{outcome.value.value}")
        request.attempts.pop(attempt.decision.number, None)
        request.last_outcome = outcome
        self._count_exceeded_deadline(attempt)
        if outcome not in f.NEVER_RAN and attempt.written_ms is not None:
            from_ms = attempt.written_earliest_ms
            request.first_possible_run_ms = min(request.first_possible_run_ms or from_ms, from_ms)
        if outcome is AttemptOutcome.SERVED:
            request.complete(Served(body))
        decision = self._facade.report(attempt.decision, outcome, request.is_over)
        if outcome is AttemptOutcome.NOT_SENT:
            self._carry_out_unsent(decision, request)
        elif not request.is_over:
            self._carry_out(decision, request)
        self._forget_if_done(request)
        self.carry_out_due_decisions()

    def _carry_out_unsent(self, decision: f.Decision, request: Request) -> None:
        """Carries out the decision after an attempt that could not be sent, or decides again later."""
        state = UnsentRequest(
            is_over=request.is_over,
            has_attempt_in_flight=bool(request.attempts),
            may_have_run=request.first_possible_run_ms is not None,
            is_rejected_or_failed=isinstance(decision, f.RejectRequest | f.FailRequest),
            is_ordered=self._facade.settings.classes[request.class_number].is_ordered,
            answer_by_ms=self._answer_by_ms(request) - DEADLINE_MARGIN_MS,
        )
        at_ms = retry_at_ms(state, self._wheel.now(), self._wheel.granularity_ms)
        if at_ms is not None:
            self._wheel.call_not_before(at_ms, lambda: self._decide_again(request, decision))
        elif not request.is_over:
            self._carry_out(decision, request)

    def _decide_again(self, request: Request, fallback: f.Decision) -> None:
        """Decides again; `fallback` is the decision where an event-loop stall has used up the time."""
        if request.is_over:
            return
        decision = fallback
        request.deadline_ms = self._answer_by_ms(request)
        if request.deadline_ms > self._wheel.now():
            self._counts.add("picked_again")
            decision = self._facade.decide(request)
        self._carry_out(decision, request)
        self._forget_if_done(request)
        self.carry_out_due_decisions()

    def _answer_by_ms(self, request: Request) -> float:
        return min(request.deadline_ms, self._close_by_ms)

    def _count_exceeded_deadline(self, attempt: Attempt) -> None:
        """Counts an attempt that told its node more time than its client had left: none should."""
        if attempt.written_ms is None:
            return
        excess_ms = attempt.exceeded_deadline_by_ms(attempt.written_ms)
        if excess_ms > 0.0:
            self._counts.add("deadline.exceeded_at_send")
            self._counts.record_max("deadline.exceeded_at_send_ms", excess_ms)

    def _fail_at_deadline(self, request: Request) -> None:
        """Ends a request that is still open; the balancer ends each in time unless one of us is at fault.

        An attempt may have its timeout in this very tick. The balancer then has the last word: it knows
        whether the request may be repeated without harm.
        """
        for attempt in list(request.attempts.values()):
            attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)
        if not request.is_over:
            self._log.warn("overdue", f"request {request.id} was failed at its deadline")
            self._fail(request)

    def _fail(self, request: Request) -> None:
        """Fails a request that is open, whatever the balancer would do with it."""
        if request.complete(Failed()):
            self._facade.report(request, f.ClientDisconnected())
            for attempt in list(request.attempts.values()):
                attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)
            self._forget_if_done(request)
            self.carry_out_due_decisions()

    def _forget_if_done(self, request: Request) -> None:
        if not request.is_over or request.attempts:
            return
        self._open.pop(request.id, None)
