"""Carries out the balancer's decisions: sends attempts through the connection pools, and answers requests.

The dispatcher owns each request from its arrival to its final answer. The facade decides what to do with the
request, and `connections.unsent_retry` decides when the facade is asked again after an attempt that could not
be sent.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from cloverwell import facade as balancer_facade
from cloverwell.back.pools import NodePools
from cloverwell.connections.unsent_retry import UnsentRequest, retry_at_ms
from cloverwell.counters import Counters
from cloverwell.facade import AttemptOutcome, Facade
from cloverwell.id_claims import ClaimResult, IdClaims
from cloverwell.log import Log
from cloverwell.memory_budget import REQUEST_BYTES, MemoryUse
from cloverwell.request import Attempt, AttemptBody, Failed, NoMemory, Rejected, Request, Served
from cloverwell.request_log import RequestLog
from cloverwell.timer_wheel import TimerWheel
from cloverwell.turn_queue import TurnQueue

# The dispatcher fails a request that is still open this long before its client gives up. The balancer ends
# the request's attempts two ticks and 2 ms before the deadline. With a larger margin the timer, which is
# rounded down to a tick, could fall into the same tick and fail a request that the balancer is about to
# reject.
DEADLINE_MARGIN_MS = 1.0
MAX_CANCELLED_PER_TURN = 64  # requests of disconnected clients whose attempts one turn of the loop cancels
CLIENT_ROUND_TRIP_MS = 1.0  # the time that a request and its answer travel between client and proxy


class Dispatcher:
    """Holds the open requests, and gives each exactly one final answer unless its client disconnects."""

    def __init__(
        self,
        facade: Facade,
        timer_wheel: TimerWheel,
        pools: NodePools,
        log: Log,
        counts: Counters,
        id_claims: IdClaims | None = None,
    ) -> None:
        """Sets up a dispatcher without requests, and has the timer wheel call it at each tick.

        `counts` are the counters of the proxy's `counts` log lines; `id_claims` are the ids of requests that
        must not run twice.
        """
        self._id_claims = id_claims or IdClaims(timer_wheel)
        self._facade = facade
        self._timer_wheel = timer_wheel
        self._pools = pools
        self._memory = pools.memory
        self._log = log
        self._counters = counts
        self._request_log = RequestLog(log, counts)
        self._open: dict[str, Request] = {}  # by request id
        # requests whose clients have disconnected
        self._to_cancel = TurnQueue(timer_wheel, MAX_CANCELLED_PER_TURN, self._cancel)
        self._is_carrying_out = False
        self._answer_all_by_ms = math.inf
        # `assembly` connects these two to discovery: the first has it watch the endpoint list, the second
        # returns the age of that list in ms.
        self.watch_endpoints: Callable[[], None] = lambda: None
        self.list_age_ms: Callable[[], float] = lambda: 0.0
        timer_wheel.on_tick = self.carry_out_due_decisions

    @property
    def open_count(self) -> int:
        """The number of open requests."""
        return len(self._open)

    def accept(self, request: Request) -> None:
        """Accepts a new request, which from now on gets exactly one final answer."""
        now = self._timer_wheel.now()
        self._counters.add("taken")
        # The clients' side has already subtracted the time since the request's first byte arrived.
        request.time_left_ms -= CLIENT_ROUND_TRIP_MS
        request.time_left_ms = min(request.time_left_ms, self._answer_all_by_ms - now)
        request.deadline_ms = now + request.time_left_ms
        size_bytes = REQUEST_BYTES + len(request.value)
        memory = self._memory
        is_short = memory.held_bytes > memory.ample_bytes
        if is_short and not memory.grants(request.memory_urgency(), size_bytes):
            self.reject_for_memory(request)
            return
        if request.id in self._open:
            # No two open requests may share an id: their answers would be mixed up.
            self._fail_as_twice(request)
            return
        max_open = self._facade.settings.max_open_requests
        if max_open and len(self._open) >= max_open:
            self.record_rejection(request.id, "open")
            request.complete(Rejected(self._facade.settings.max_retry_after_ms))
            return
        self._open[request.id] = request
        request.held_bytes = size_bytes
        memory.change(MemoryUse.REQUESTS, size_bytes)
        request.deadline_timer = self._timer_wheel.call_by(
            request.deadline_ms - DEADLINE_MARGIN_MS, lambda: self._fail_at_deadline(request)
        )
        if balancer_facade.forbids_retry(self._facade.settings, request.class_number):
            self._id_claims.claim(
                request.id, request.deadline_ms, lambda result: self._claim_ended(request, result)
            )
        else:
            self._carry_out(self._facade.decide(request), request)
            self.carry_out_due_decisions()

    def _claim_ended(self, request: Request, result: ClaimResult) -> None:
        """Begins a request that must not run twice, unless its id has run or may still run."""
        request.holds_id = result is ClaimResult.GRANTED
        if request.is_over:
            if request.holds_id:
                self._id_claims.release(request.id)
        elif result is ClaimResult.GRANTED:
            self._carry_out(self._facade.decide(request), request)
            self.carry_out_due_decisions()
        elif result is ClaimResult.HELD:
            self._fail_as_twice(request)
        else:
            self.record_rejection(request.id, "unconfirmed")
            request.complete(Rejected(self._facade.settings.max_retry_after_ms))
        self._forget_if_done(request)

    def _fail_as_twice(self, request: Request) -> None:
        self._request_log.failed(request, "twice")
        request.complete(Failed())

    def answer_all_by(self, when_ms: float) -> None:
        """Has all open and later requests answered by `when_ms`; infinity leaves each its own deadline."""
        self._answer_all_by_ms = when_ms

    def fail_all_open(self) -> None:
        """Fails all open requests, because their connections are being closed now.

        All of them are answered before any attempt is given up. Otherwise the close of a connection that
        attempts share would have the others on it retried.
        """
        failed = [request for request in self._open.values() if not request.is_over]
        for request in failed:
            self._request_log.failed(request, "ending")
            self._answer_as_failed(request)
        for request in failed:
            self._time_out_attempts(request)
            self._forget_if_done(request)
        if failed:
            self.carry_out_due_decisions()

    def client_disconnected(self, requests: list[Request]) -> None:
        """Ends the requests of a client that has disconnected, without an answer.

        All of them are ended before any attempt is given up. Otherwise the connection that an attempt frees
        could go to another request of the same client. Where many clients leave, their attempts are given up
        in several turns of the event loop; no attempt of an ended request is written meanwhile.
        """
        ended = [request for request in requests if not request.is_over]
        for request in ended:
            request.mark_over()
            self._facade.report(request, balancer_facade.ClientDisconnected())
        self._to_cancel.extend(ended)

    def _cancel(self, requests: Iterable[Request]) -> None:
        """Cancels the attempts of requests whose clients have disconnected."""
        for request in requests:
            self._cancel_attempts(request)
            self._forget_if_done(request)
        self.carry_out_due_decisions()

    def _cancel_attempts(self, request: Request) -> None:
        """Cancels the attempts of a request whose client has disconnected.

        A write that has been sent may finish. One that still waits for a connection, or for the close of the
        attempt before it, is not sent.
        """
        for attempt in list(request.attempts.values()):
            if not request.is_write or attempt.pool.is_unsent(attempt):
                attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)

    def update_endpoints(
        self, update: balancer_facade.EndpointUpdate | balancer_facade.EndpointUpdateFailed
    ) -> None:
        """Reports an update of the endpoint list, or a failed call to discovery, to the facade."""
        self._facade.report(balancer_facade.WatchEndpoints(), update)
        self.carry_out_due_decisions()

    def carry_out_due_decisions(self) -> None:
        """Carries out due decisions until none is left. A call from within this one does nothing."""
        if self._is_carrying_out:
            return
        self._is_carrying_out = True
        try:
            while decisions := self._facade.tick(self._timer_wheel.now()):
                for decision in decisions:
                    self._carry_out_due(decision)
        finally:
            self._is_carrying_out = False

    def _carry_out_due(self, decision: balancer_facade.Decision) -> None:
        """Carries out a decision that `tick` has returned, rather than `decide` or `report`."""
        match decision:
            case balancer_facade.SendAttempt(request_id):
                request = self._open.get(request_id)
                if request is None or request.is_over:
                    # The client disconnected as the attempt was decided. Without a report the balancer would
                    # count the attempt as in flight for ever.
                    self._facade.report(decision, AttemptOutcome.NOT_SENT, True)
                else:
                    self._carry_out(decision, request)
            case balancer_facade.RejectRequest(request_id) | balancer_facade.FailRequest(request_id):
                if (request := self._open.get(request_id)) is not None:
                    self._carry_out(decision, request)
            case balancer_facade.CancelAttempt(request_id, number):
                request = self._open.get(request_id)
                if request is not None and (attempt := request.attempts.get(number)) is not None:
                    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
            case balancer_facade.CloseConnections(node):
                self._pools.close_idle(node)
            case balancer_facade.WatchEndpoints():
                self.watch_endpoints()
            case balancer_facade.LogEvent(text):
                self._log.info("decision", text)

    def _carry_out(self, decision: balancer_facade.Decision, request: Request) -> None:
        match decision:
            case balancer_facade.SendAttempt():
                self._start_attempt(decision, request)
            case balancer_facade.RejectRequest(_, retry_after_ms, reason):
                self.record_rejection(request.id, reason)
                request.complete(Rejected(retry_after_ms))
                self._forget_if_done(request)
            case balancer_facade.FailRequest(_, reason):
                self._request_log.failed(request, reason)
                request.complete(Failed())
                self._forget_if_done(request)

    def reject_for_memory(self, request: Request) -> None:
        """Rejects a request at once, since there is no memory for it or its answer."""
        self.record_rejection(request.id, "memory")
        request.complete(Rejected(self._facade.settings.max_retry_after_ms))

    def _end_for_memory(self, request: Request) -> None:
        """Ends a request whose answer has no memory. It has run: only an idempotent one may be rejected."""
        if balancer_facade.is_idempotent(self._facade.settings, request.class_number):
            self.reject_for_memory(request)
        else:
            self._request_log.failed(request, "memory")
            request.complete(Failed())

    def record_rejection(self, request_id: str, reason: str) -> None:
        """Logs and counts a rejected request, also one that the clients' side rejects by itself."""
        self._request_log.rejected(request_id, reason)

    def _start_attempt(self, decision: balancer_facade.SendAttempt, request: Request) -> None:
        now = self._timer_wheel.now()
        settings = self._facade.settings
        write_by_ms = decision.decided_ms + min(decision.timeout_ms, settings.connect_timeout_ms)
        window_ms = balancer_facade.resend_window_ms(settings, request.class_number)
        if window_ms is not None and request.first_possible_run_ms is not None:
            # The nodes recognise a repeated write only within this window. An attempt that waits for a
            # connection until the window has passed must not be sent, or the write could run twice.
            write_by_ms = min(write_by_ms, request.first_possible_run_ms + window_ms)
        pool = self._pools.pool_of(decision.node)
        self._counters.record_max("list.age_ms", self.list_age_ms())
        is_unrepeatable = balancer_facade.forbids_retry(settings, request.class_number)
        # The timeout counts from the decision. Counted from now, after a stall, it could come later than the
        # request's deadline timer, which would fail a request that the balancer could still reject.
        deadline_ms = min(decision.decided_ms + decision.timeout_ms, request.deadline_ms)
        attempt = Attempt(
            decision,
            request,
            write_by_ms,
            self._attempt_ended,
            pool,
            deadline_ms,
            is_unrepeatable,
            created_ms=now,
        )
        if decision.number:
            self._request_log.further_attempt(attempt)
        request.attempts[decision.number] = attempt
        attempt.timer = self._timer_wheel.call_not_before(deadline_ms, lambda: self._time_out(attempt))
        if request.earliest_next_attempt_ms > now:
            self._timer_wheel.call_by(now, lambda: self._start_after_close(attempt))
        else:
            pool.start(attempt)

    def _start_after_close(self, attempt: Attempt) -> None:
        """Starts an attempt once the close of the attempt before it has reached that attempt's node.

        The close leaves at the end of a turn of the event loop. If the loop has stalled, the close is late by
        as much, and so is the start.
        """
        delay_ms = self._timer_wheel.last_tick_delay_ms
        stall_ms = delay_ms if delay_ms > self._timer_wheel.granularity_ms else 0.0
        start_ms = attempt.request.earliest_next_attempt_ms + stall_ms
        if start_ms > self._timer_wheel.now():
            self._timer_wheel.call_not_before(start_ms, attempt.start_unless_over)
        else:
            attempt.start_unless_over()

    def _time_out(self, attempt: Attempt) -> None:
        attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, body: AttemptBody) -> None:
        request = attempt.request
        self._timer_wheel.work.attempts_ended += 1
        self._counters.add(f"{attempt.pool.kind}.{outcome.value.value}")
        request.attempts.pop(attempt.decision.number, None)
        request.last_outcome = outcome
        self._request_log.count_exceeded_deadline(attempt)
        if outcome not in balancer_facade.NEVER_RAN and attempt.written_ms is not None:
            from_ms = attempt.written_earliest_ms
            request.first_possible_run_ms = min(request.first_possible_run_ms or from_ms, from_ms)
        if isinstance(body, NoMemory):
            self._end_for_memory(request)
        elif outcome is AttemptOutcome.SERVED:
            request.complete(Served(body))
        decision = self._facade.report(attempt.decision, outcome, request.is_over)
        if outcome is AttemptOutcome.NOT_SENT:
            self._carry_out_unsent(decision, request)
        elif not request.is_over:
            self._carry_out(decision, request)
        self._forget_if_done(request)
        self.carry_out_due_decisions()

    def _carry_out_unsent(self, decision: balancer_facade.Decision, request: Request) -> None:
        """Carries out the decision after an attempt that could not be sent, or has it decided again later."""
        state = UnsentRequest(
            is_over=request.is_over,
            has_attempt_in_flight=bool(request.attempts),
            may_have_run=request.first_possible_run_ms is not None,
            is_rejected_or_failed=isinstance(
                decision, balancer_facade.RejectRequest | balancer_facade.FailRequest
            ),
            is_ordered=self._facade.settings.classes[request.class_number].is_ordered,
            answer_by_ms=self._answer_by_ms(request) - DEADLINE_MARGIN_MS,
        )
        at_ms = retry_at_ms(state, self._timer_wheel.now(), self._timer_wheel.granularity_ms)
        if at_ms is not None:
            self._timer_wheel.call_not_before(at_ms, lambda: self._decide_again(request, decision))
        elif not request.is_over:
            self._carry_out(decision, request)

    def _decide_again(self, request: Request, fallback: balancer_facade.Decision) -> None:
        """Has the facade decide again, or carries out `fallback` if a stall has used up the time left."""
        if request.is_over:
            return
        decision = fallback
        request.deadline_ms = self._answer_by_ms(request)
        if request.deadline_ms > self._timer_wheel.now():
            self._counters.add("picked_again")
            decision = self._facade.decide(request)
        self._carry_out(decision, request)
        self._forget_if_done(request)
        self.carry_out_due_decisions()

    def _answer_by_ms(self, request: Request) -> float:
        return min(request.deadline_ms, self._answer_all_by_ms)

    def _fail_at_deadline(self, request: Request) -> None:
        """Ends a request that is still open at its deadline, which happens only if this program has a fault.

        An attempt may have its timeout in this very tick. It is timed out first, so that the balancer decides
        about the request: the balancer knows whether the client may safely retry it.
        """
        self._time_out_attempts(request)
        if not request.is_over:
            self._log.warn("overdue", f"request {request.id} was failed at its deadline")
            self._answer_as_failed(request)
            self._time_out_attempts(request)
            self._forget_if_done(request)
            self.carry_out_due_decisions()

    def _answer_as_failed(self, request: Request) -> None:
        """Fails an open request without asking the balancer; its attempts are still to be given up."""
        if request.complete(Failed()):
            self._facade.report(request, balancer_facade.ClientDisconnected())

    def _time_out_attempts(self, request: Request) -> None:
        for attempt in list(request.attempts.values()):
            attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _forget_if_done(self, request: Request) -> None:
        if not request.is_over or request.attempts:
            return
        if self._open.pop(request.id, None) is None:
            return
        self._memory.change(MemoryUse.REQUESTS, -request.held_bytes)
        if request.holds_id and request.first_possible_run_ms is None:
            self._id_claims.release(request.id)
