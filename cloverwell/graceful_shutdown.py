"""Draining and graceful shutdown: closes connections step by step, and ends a process that is stopping."""

from __future__ import annotations

import math
from collections.abc import Callable

from cloverwell.client_port import ClientPort
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.client_connections import ClientConnections
from cloverwell.log import Log
from cloverwell.serving import Serving, ServingState
from cloverwell.timer_wheel import TimerWheel

# At this time after the beginning of a drain, no client's connection may be open any more that is idle or had
# a request lately. The connections that are still open then are logged.
DRAIN_REPORT_MS = 4000.0


class GracefulShutdown:
    """Carries out the steps of a drain or a shutdown at the times that `serving.Serving` gives.

    While the process is drained or stopping, each tick of the timer wheel checks which steps are due. A
    drained process stays up. For a stopping one `on_complete` is called once: as soon as no request is open
    and no connection is left, and at `DrainTimes.close_ms` in any case.
    """

    def __init__(
        self,
        timer_wheel: TimerWheel,
        serving: Serving,
        dispatcher: Dispatcher,
        client_connections: ClientConnections,
        client_port: ClientPort,
        log: Log,
        on_complete: Callable[[], None],
    ) -> None:
        """`log`: for the connections that were not closed in time; `on_complete`: ends the process."""
        self._timer_wheel = timer_wheel
        self._serving = serving
        self._dispatcher = dispatcher
        self._client_connections = client_connections
        self._client_port = client_port
        self._log = log
        self._on_complete = on_complete
        self._check_scheduled = False
        self._reported_drain_began_ms = -math.inf  # the beginning of the drain that is reported
        self._has_ended = False

    def begin(self) -> None:
        """Starts the checks at each tick, until the process is not drained any more or has ended.

        This is called whenever the serving state may have become drained, ready or stopping. If checks are
        running already, no further ones are added.
        """
        self._dispatcher.answer_all_by(self._serving.answer_by_ms())
        self._client_connections.drainer.check()
        self._schedule_report()
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._check_scheduled or self._has_ended or not self._serving.is_draining:
            return
        self._check_scheduled = True
        next_tick_ms = self._timer_wheel.now() + self._timer_wheel.granularity_ms
        self._timer_wheel.call_by(next_tick_ms, self._check)

    def _check(self) -> None:
        self._check_scheduled = False
        if self._has_ended:
            return
        # The next check is scheduled first, so that the checks go on even if one of the steps below raises.
        self._schedule_check()
        now = self._timer_wheel.now()
        if not self._serving.accepts_connections(now):
            self._client_port.close()
        # After a stall of the event loop, the data that arrived meanwhile is read before any request fails
        # as too late.
        after_stall = self._timer_wheel.just_stalled
        if now >= self._serving.answer_by_ms() and not after_stall:
            self._dispatcher.fail_all_open()
        self._client_connections.drainer.check()
        if self._serving.state is ServingState.STOPPING and not after_stall and self._can_end(now):
            self._end()

    def _can_end(self, now: float) -> bool:
        if now >= self._serving.drain_times.close_all_ms:
            return True
        return not (
            self._serving.accepts_connections(now)
            or self._dispatcher.open_count
            or self._client_connections.connections
        )

    def _end(self) -> None:
        if self._client_connections.connections:
            self._log.warn("held", self._client_connections.describe_open_connections())
        self._has_ended = True
        self._on_complete()

    # The log line on connections that a drain has not closed --------------------------------------

    def _schedule_report(self) -> None:
        """Schedules the log line on the connections that are still open when a drain should be over."""
        began_ms = self._serving.drain_began_ms
        if self._serving.state is ServingState.DRAINED and began_ms != self._reported_drain_began_ms:
            self._reported_drain_began_ms = began_ms
            self._timer_wheel.call_not_before(
                began_ms + DRAIN_REPORT_MS, lambda: self._report_open_connections(began_ms)
            )

    def _report_open_connections(self, began_ms: float) -> None:
        if self._serving.state is not ServingState.DRAINED or self._serving.drain_began_ms != began_ms:
            return
        write = self._log.warn if self._client_connections.connections else self._log.info
        write("held", self._client_connections.describe_open_connections())
