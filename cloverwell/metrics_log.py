"""The periodic log lines with a proxy's metrics: `connections` and `counts`."""

from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.counters import Counters
from cloverwell.log import Log
from cloverwell.timer_wheel import TimerWheel

COUNTERS_INTERVAL_MS = 5_000.0  # between two `counts` lines
CONNECTION_METRICS_INTERVAL_MS = 60_000.0  # between two `connections` lines
# The connection events that the `counts` lines contain too, so that the events of a whole fleet can be summed
# up at the shorter interval.
COUNTED_EVENTS = (
    ConnectionEvent.OPENED,
    ConnectionEvent.CONNECT_REFUSED,
    ConnectionEvent.CONNECT_NOT_BEGUN,
    ConnectionEvent.OPENED_AHEAD,
    ConnectionEvent.STALE,
    ConnectionEvent.RESET,
)
# The events whose reasons are counted one by one, as `EVENT.REASON`.
EVENTS_BY_REASON = (
    ConnectionEvent.CLIENT_CONNECTION_CLOSED,
    ConnectionEvent.NODE_CONNECTION_CLOSED,
    ConnectionEvent.MALFORMED_ANSWER,
)


class MetricsLog:
    """Writes the counters and the connection metrics of one proxy to its log, each at its own interval."""

    def __init__(
        self, timer_wheel: TimerWheel, log: Log, metrics: ConnectionMetrics, counters: Counters
    ) -> None:
        """Sets up the log of `metrics` and `counters`. Each line of `counters` sets them back to zero."""
        self._timer_wheel = timer_wheel
        self._log = log
        self._metrics = metrics
        self._counters = counters
        self._counted_totals = dict.fromkeys(COUNTED_EVENTS, 0)
        self._counted_reasons: dict[tuple[ConnectionEvent, str], int] = {}

    def start(self) -> None:
        """Starts to write the periodic lines. A line that would be empty is left out."""
        self._log_metrics_periodically()
        self._log_counters_periodically()

    def log_final(self) -> None:
        """Writes both lines once more, when the process ends."""
        self._log.info("connections", self._metrics.format_totals(*ConnectionEvent))
        self._log_counters()

    def _log_metrics_periodically(self) -> None:
        if line := self._metrics.format_totals(*ConnectionEvent):
            self._log.info("connections", line)
        next_ms = self._timer_wheel.now() + CONNECTION_METRICS_INTERVAL_MS
        self._timer_wheel.call_by(next_ms, self._log_metrics_periodically)

    def _log_counters_periodically(self) -> None:
        self._log_counters()
        next_ms = self._timer_wheel.now() + COUNTERS_INTERVAL_MS
        self._timer_wheel.call_by(next_ms, self._log_counters_periodically)

    def _log_counters(self) -> None:
        self._count_connection_events()
        if line := self._counters.take_line():
            self._log.info("counts", line)

    def _count_connection_events(self) -> None:
        """Adds the connection events since the last line to the counters."""
        for event, counted in self._counted_totals.items():
            total = self._metrics.total(event)
            if total != counted:
                self._counters.add(f"connections.{event.value}", total - counted)
                self._counted_totals[event] = total
        for event in EVENTS_BY_REASON:
            for reason, total in self._metrics.counts_by_name(event).items():
                counted = self._counted_reasons.get((event, reason), 0)
                if total != counted:
                    self._counters.add(f"{event.value}.{reason}", total - counted)
                    self._counted_reasons[event, reason] = total
