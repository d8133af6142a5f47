"""Draining and graceful shutdown: connections are closed step by step, and the process ends once all is."""

from __future__ import annotations

import math
from collections.abc import Callable

from cloverwell.client_port import ClientPort
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_connections import ClientConnections
from cloverwell.log import Log
from cloverwell.serving import Serving, ServingState
from cloverwell.timer_wheel import TimerWheel

# So long after a drain began no client's connection may be held that is idle or had a request lately.
DRAIN_REPORT_MS = 4000.0


class GracefulShutdown:
    """Carries out the instants of `serving.Serving`, which say when what is over.

    While the process is drained or stopping, all is checked at each tick. A drained process stays up; for a
    stopping one `all_answered` is called once: when no request is open and no connection is left, and at the
    last instant in any case.
    """

    def __init__(
        self,
        timer_wheel: TimerWheel,
        serving: Serving,
        dispatcher: Dispatcher,
        side: ClientConnections,
        client_port: ClientPort,
        log: Log,
        all_answered: Callable[[], None],
    ) -> None:
        """`log`: for what a drain has not closed in time; `all_answered`: what ends the process."""
        self._timer_wheel = timer_wheel
        self._serving = serving
        self._dispatcher = dispatcher
        self._side = side
        self._client_port = client_port
        self._log = log
        self._all_answered = all_answered
        self._check_scheduled = False
        self._report_scheduled_for_ms = -math.inf  # the drain whose end is reported
        self._over = False

    def begin(self) -> None:
        """Checks from the next tick on, until the process is not drained any more or has ended.

        To be called whenever the serving state may have become drained, ready or stopping; further calls add
        no further checks.
        """
        self._dispatcher.answer_all_by(self._serving.answer_by_ms())
        self._side.drainer.check()
        self._schedule_report()
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._check_scheduled or self._over or not self._serving.is_draining:
            return
        self._check_scheduled = True
        next_tick_ms = self._timer_wheel.now() + self._timer_wheel.granularity_ms
        self._timer_wheel.at(next_tick_ms, self._check)

    def _check(self) -> None:
        self._check_scheduled = False
        if self._over:
            return
        # First, so that nothing that fails below is the end of the checks.
        self._schedule_check()
        now = self._timer_wheel.now()
        if not self._serving.accepts_connections(now):
            self._client_port.close()
        # After a stall, what has come meanwhile is read before anything is ended for being late.
        after_stall = self._timer_wheel.just_stalled
        if now >= self._serving.answer_by_ms() and not after_stall:
            self._dispatcher.fail_all_open()
        self._side.drainer.check()
        if self._serving.state is ServingState.STOPPING and not after_stall and self._is_over(now):
            self._end()

    def _is_over(self, now: float) -> bool:
        if now >= self._serving.drain_times.close_ms:
            return True
        return not (
            self._serving.accepts_connections(now) or self._dispatcher.open_count or self._side.connections
        )

    def _end(self) -> None:
        if self._side.connections:
            self._log.warn("held", self._side.describe_open_connections())
        self._over = True
        self._all_answered()

    # The report of a drain ------------------------------------------------------------------------

    def _schedule_report(self) -> None:
        """Has the connections logged that are held when the drain should be over."""
        began_ms = self._serving.drain_began_ms
        if self._serving.state is ServingState.DRAINED and began_ms != self._report_scheduled_for_ms:
            self._report_scheduled_for_ms = began_ms
            self._timer_wheel.not_before(began_ms + DRAIN_REPORT_MS, lambda: self._report_held(began_ms))

    def _report_held(self, began_ms: float) -> None:
        if self._serving.state is not ServingState.DRAINED or self._serving.drain_began_ms != began_ms:
            return
        write = self._log.warn if self._side.connections else self._log.info
        write("held", self._side.describe_open_connections())
