"""Carries the facade's choices out: attempts into pools, answers to the clients' side, calls to discovery."""

import math
from collections.abc import Callable

from cloverwell import facade as f
from cloverwell.back.pools import NodePools
from cloverwell.counters import Counters
from cloverwell.facade import AttemptOutcome, Facade
from cloverwell.log import Log
from cloverwell.request import Attempt, Failed, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue
from cloverwell.timer_wheel import TimerWheel

# Before its client gives up, a request that nothing has ended is failed. The module ends its attempts two
# ticks and 2 ms before: a guard rounded down into the tick of those would fail what is to be refused.
GUARD_MS = 1.0
PICK_AGAIN_MS = 20.0  # after an attempt that this machine could not send
WAY_MS = 1.0  # a request's way here and an answer's way back


class Dispatcher:
    def __init__(
        self, facade: Facade, timer_wheel: TimerWheel, pools: NodePools, log: Log, counts: Counters
    ) -> None:
        self._facade = facade
        self._wheel = timer_wheel
        self._pools = pools
        self._log = log
        self._counts = counts
        self._open: dict[str, Request] = {}
        self._settling = False
        self._close_by_ms = math.inf
        self.watch: Callable[[], None] = lambda: None  # the server list's
        self.list_age_ms: Callable[[], float] = lambda: 0.0  # the same
        timer_wheel.each_tick = self.settle

    @property
    def open_count(self) -> int:
        return len(self._open)

    def take(self, request: Request) -> None:
        """A new request: from here on it gets exactly one final answer."""
        now = self._wheel.now()
        self._counts.add("taken")
        request.left_ms -= WAY_MS  # the clients' side has taken off what passed since its first byte was here
        request.left_ms = min(request.left_ms, self._close_by_ms - now)
        request.deadline_ms = now + request.left_ms
        if request.id in self._open:
            # Ids are never used twice; one that is would mix up two clients' answers.
            self._counts.add("failed.twice")
            request.finish(Failed())
            return
        bound = self._facade.settings.max_open
        if bound and len(self._open) >= bound:
            self._counts.add("refused.open")
            request.finish(Rejected(self._facade.settings.max_retry_after_ms))
            return
        self._open[request.id] = request
        request.guard = self._wheel.at(request.deadline_ms - GUARD_MS, lambda: self._overdue(request))
        self._carry_out(self._facade.pick(request), request)
        self.settle()

    def close_by(self, when_ms: float) -> None:
        """The process ends: all that is open, or comes yet, is answered by then."""
        self._close_by_ms = when_ms
        self._wheel.at(when_ms - GUARD_MS, self._close)

    def _close(self) -> None:
        for request in list(self._open.values()):
            self._overdue(request)

    def gone(self, requests: list[Request]) -> None:
        """The client has left: nobody waits for these answers.

        All are closed before any attempt is given up: its place must not go to another of them."""
        closed = [request for request in requests if not request.over]
        for request in closed:
            request.close()
            self._facade.report(request, f.ClientDisconnected())
        for request in closed:
            for attempt in list(request.attempts.values()):
                # A write that is out is let finish. One that waits for a connection, or for the close of the
                # one before, is not sent on for nobody.
                if not request.write or attempt.pool.unsent(attempt):
                    attempt.pool.give_up(attempt, AttemptOutcome.CALLED_OFF)
            self._forget(request)
        if closed:
            self.settle()

    def news(self, told: f.EndpointUpdate | f.EndpointUpdateFailed) -> None:
        self._facade.report(f.WatchEndpoints(), told)
        self.settle()

    def settle(self) -> None:
        """Carries out what is due for others, until nothing is; a call from within leaves it to the outer."""
        if self._settling:
            return
        self._settling = True
        try:
            while choices := self._facade.tick(self._wheel.now()):
                for choice in choices:
                    self._carry_out_other(choice)
        finally:
            self._settling = False

    def _carry_out_other(self, choice: f.Decision) -> None:
        match choice:
            case f.SendAttempt(name):
                request = self._open.get(name)
                if request is None or request.over:
                    # Chosen as its client left: unreported, it would hold a place for good.
                    self._facade.report(choice, AttemptOutcome.NOT_SENT, True)
                else:
                    self._carry_out(choice, request)
            case f.RejectRequest(name) | f.FailRequest(name):
                if (request := self._open.get(name)) is not None:
                    self._carry_out(choice, request)
            case f.CancelAttempt(name, number):
                request = self._open.get(name)
                if request is not None and (attempt := request.attempts.get(number)) is not None:
                    attempt.pool.give_up(attempt, AttemptOutcome.CALLED_OFF)
            case f.CloseConnections(node):
                self._pools.hang_up(node)
            case f.WatchEndpoints():
                self.watch()
            case f.LogEvent(text):
                self._log.info("decision", text)

    def _carry_out(self, choice: f.Decision, request: Request) -> None:
        match choice:
            case f.SendAttempt():
                self._start(choice, request)
            case f.RejectRequest(_, retry_after_ms, reason):
                self._counts.add(f"refused.{reason}")
                request.finish(Rejected(retry_after_ms))
                self._forget(request)
            case f.FailRequest(_, reason):
                self._counts.add(f"failed.{reason}")
                request.finish(Failed())
                self._forget(request)

    def _start(self, choice: f.SendAttempt, request: Request) -> None:
        now = self._wheel.now()
        settings = self._facade.settings
        write_by = now + min(choice.timeout_ms, settings.connect_timeout_ms)
        window = f.resend_window_ms(settings, request.class_number)
        if window is not None and request.ran_ms is not None:
            # The nodes drop a repeat for so long: one that waits for a connection must not leave after.
            write_by = min(write_by, request.ran_ms + window)
        pool = self._pools.of(choice.node)
        self._counts.highest("list.age_ms", self.list_age_ms())
        dear = f.never_twice(settings, request.class_number)
        ends = min(now + choice.timeout_ms, request.deadline_ms)
        attempt = Attempt(choice, request, write_by, self._ended, pool, ends, dear, asked_ms=now)
        request.attempts[choice.number] = attempt
        attempt.timer = self._wheel.not_before(ends, lambda: self._timed_out(attempt))
        if request.clear_ms > now:
            self._wheel.at(now, lambda: self._await_close(attempt))
        else:
            pool.start(attempt)

    def _await_close(self, attempt: Attempt) -> None:
        """The close that the attempt waits for has left with this turn of the loop at the latest, and by so
        much later as that was held up."""
        late_ms = (
            self._wheel.last_tick_delay_ms
            if self._wheel.last_tick_delay_ms > self._wheel.granularity_ms
            else 0.0
        )
        clear_ms = attempt.request.clear_ms + late_ms
        if clear_ms > self._wheel.now():
            self._wheel.not_before(clear_ms, lambda: self._start_clear(attempt))
        else:
            self._start_clear(attempt)

    def _start_clear(self, attempt: Attempt) -> None:
        if not attempt.over:
            attempt.pool.start(attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, body: bytes | StreamedValue) -> None:
        request = attempt.request
        self._counts.add(f"{attempt.pool.kind}.{outcome.value.value}")
        request.attempts.pop(attempt.choice.number, None)
        self._count_told(attempt)
        if outcome not in f.NEVER_RAN and attempt.written_ms is not None:
            request.ran_ms = min(request.ran_ms or attempt.runs_from_ms, attempt.runs_from_ms)
        if outcome is AttemptOutcome.SERVED:
            request.finish(Served(body))
        choice = self._facade.report(attempt.choice, outcome, request.over)
        if outcome is AttemptOutcome.NOT_SENT and self._may_pick_again(request, choice):
            again_ms = self._wheel.now() + PICK_AGAIN_MS
            self._wheel.not_before(again_ms, lambda: self._pick_again(request, choice))
        elif not request.over:
            self._carry_out(choice, request)
        self._forget(request)
        self.settle()

    def _may_pick_again(self, request: Request, choice: f.Decision) -> bool:
        """The module has no further attempt for a request that this machine alone kept from being sent, and
        there is time for one: what it was short of may be there by then."""
        if request.over or request.attempts or request.ran_ms is not None:
            return False
        if not isinstance(choice, f.RejectRequest | f.FailRequest):
            return False
        if self._facade.settings.classes[request.class_number].in_turn:
            return False  # picked anew, others with its key would overtake it
        # The wheel rounds this wait up and the guard down: within a tick of it the guard would come first.
        latest_ms = self._answer_by_ms(request) - GUARD_MS - 2.0 * self._wheel.granularity_ms
        return self._wheel.now() + PICK_AGAIN_MS < latest_ms

    def _pick_again(self, request: Request, before: f.Decision) -> None:
        """`before`: what the module had left for it; that stands where a hold-up has taken its time."""
        if request.over:
            return
        request.left_ms = self._answer_by_ms(request) - self._wheel.now()
        if request.left_ms > 0.0:
            self._counts.add("picked_again")
            before = self._facade.pick(request)
        self._carry_out(before, request)
        self._forget(request)
        self.settle()

    def _answer_by_ms(self, request: Request) -> float:
        return min(request.deadline_ms, self._close_by_ms)

    def _count_told(self, attempt: Attempt) -> None:
        """No attempt tells its node more time than its client has left; what did would show here."""
        if attempt.written_ms is not None and (over := attempt.over_told_ms(attempt.written_ms)) > 0.0:
            self._counts.add("told.over")
            self._counts.highest("told.over_ms", over)

    def _overdue(self, request: Request) -> None:
        # The module ends every request in time; this guards the client against a fault in either of us.
        if request.finish(Failed()):
            self._log.warn("overdue", f"request {request.id} was failed at its deadline")
            self._facade.report(request, f.ClientDisconnected())
            for attempt in list(request.attempts.values()):
                attempt.pool.give_up(attempt, AttemptOutcome.TIMED_OUT)
            self._forget(request)
            self.settle()

    def _forget(self, request: Request) -> None:
        if not request.over or request.attempts:
            return
        self._open.pop(request.id, None)
