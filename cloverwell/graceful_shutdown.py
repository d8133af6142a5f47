"""Draining and graceful shutdown: connections are closed between requests, and the process ends once all
requests are answered."""

from __future__ import annotations

import math
from collections.abc import Callable

from cloverwell.client_port import ClientPort
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_connections import ClientConnections
from cloverwell.log import Log
from cloverwell.serving import Serving, ServingState
from cloverwell.timer_wheel import TimerWheel

# How long the last answers may take to leave. A client that does not read its answer must not keep the
# process from its end.
LAST_ANSWERS_FLUSH_MS = 500.0
# So long after a drain began no client's connection may be held that is idle or had a request lately.
DRAIN_REPORT_MS = 4000.0


class GracefulShutdown:
    """Carries out the schedule of `serving.Serving`, which decides when connections are closed.

    While the process is drained or stopping, all is checked at each tick. A drained process stays up; for a
    stopping one `all_answered` is called once, when no request is open and the clients have their answers.
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
        self._mid_command_closed = False  # a check has closed the connections with half a command
        self._flush_until_ms = 0.0

    def _schedule_report(self) -> None:
        """Has the connections logged that are held when the drain should be over."""
        began_ms = self._serving.since_ms
        if self._serving.state is ServingState.DRAINED and began_ms != self._report_scheduled_for_ms:
            self._report_scheduled_for_ms = began_ms
            self._timer_wheel.not_before(began_ms + DRAIN_REPORT_MS, lambda: self._report_held(began_ms))

    def _report_held(self, began_ms: float) -> None:
        if self._serving.state is not ServingState.DRAINED or self._serving.since_ms != began_ms:
            return
        write = self._log.warn if self._side.connections else self._log.info
        write("held", self._side.describe_held())

    def begin(self) -> None:
        """Checks from the next tick on, until the process is not drained any more or has ended.

        To be called whenever the serving state may have become drained or stopping; further calls add no
        further checks.
        """
        self._schedule_report()
        if self._check_scheduled or not self._serving.draining:
            return
        self._check_scheduled = True
        next_tick_ms = self._timer_wheel.now() + self._timer_wheel.granularity_ms
        self._timer_wheel.at(next_tick_ms, self._check)

    def _check(self) -> None:
        now = self._timer_wheel.now()
        self._check_scheduled = False
        if not self._serving.accepts(now):
            self._client_port.close()
        if self._serving.closes_idle_connections(now):
            self._side.close_between_requests(cut=self._serving.closes_mid_command(now))
        if self._serving.state is ServingState.STOPPING and self._clients_have_answers(now):
            if self._side.connections:
                self._log.info("held", self._side.describe_held())
            self._all_answered()
        else:
            self.begin()

    def _clients_have_answers(self, now: float) -> bool:
        if self._dispatcher.open_count or self._side.stream_count:
            self._flush_until_ms = now + LAST_ANSWERS_FLUSH_MS
            return False
        if not self._side.connections:
            return not self._serving.accepts(now)
        if not self._mid_command_closed:
            # The time counts from a check, not from the clock: after an event-loop stall the sockets have not
            # been read yet.
            self._mid_command_closed = self._serving.closes_mid_command(now)
            self._flush_until_ms = now + LAST_ANSWERS_FLUSH_MS
            return False
        # During a stall nothing could be written or read, so it does not count.
        self._flush_until_ms += self._timer_wheel.last_tick_delay_ms
        return now >= self._flush_until_ms
