"""Evaluation of finished attempts: what an outcome shows about the health, latency and load of its server.

All times are milliseconds of one clock, which the caller passes in.
"""

import math

from balancer import concurrency_limit
from balancer.actions import Action, CloseConnections
from balancer.events import ANSWERS, Status
from balancer.latency import RECENT_WEIGHT, LatencyEstimate
from balancer.outlier_detection import SILENCE_FACTOR, OutlierDetector
from balancer.request_state import RequestState, Server
from balancer.settings_types import Settings
from balancer.slow_start import SlowStart

# A timeout is recorded as a latency of at most this many mean latencies: its connection alone may be at
# fault.
TIMEOUT_MAX_FACTOR = 3.0
# The number of resets without a response between them that ejects a server: a single one may be the fault of
# its connection alone.
RESETS_TO_EJECT = 2
# From this share of resets among the recent attempts on, one more reset is needed to eject a server, since
# then resets hit all servers alike. The second number is the weight of one attempt in that share.
RESET_RATE_HIGH, RESET_RATE_WEIGHT = 0.05, 0.01
# The time for which idle connections are trusted grows by this factor with each response, and is halved when
# an idle connection turns out to be broken.
IDLE_GROWTH = 1.01
# A reset within this share of the mean latency, on a connection that was idle before, is taken for the late
# notice of a closed connection.
STALE_CONNECTION_FACTOR = 0.25
# Where at least this share of the recent connects was refused at once, connections are closed after use.
CONNECT_REFUSED_RATE_HIGH = 0.1


class AttemptEvaluator:
    """Updates what is known of a server when an attempt ends; the actions that follow go to `actions`."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimate,
        objective_ms: float,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        actions: list[Action],
    ) -> None:
        """`latency` covers all cache servers; `objective_ms` is the shortest latency objective."""
        self._settings = settings
        self._latency = latency
        self._objective_ms = objective_ms
        self._slow_start = slow_start
        self._outliers = outliers
        self._actions = actions
        # The longest time for which a connection may have been idle and still be trusted.
        self.trusted_idle_ms = settings.idle_timeout_ms
        self._connect_refused_rate = 0.0
        self._reset_rate = 0.0

    def close_idle(self, _now: float, server: Server) -> None:
        """Closes the idle connections to the server."""
        server.last_use_ms = -math.inf
        self._actions.append(CloseConnections(server.entry.name))

    def close_untrusted(self, now: float, server: Server) -> None:
        """Closes the connections to the server if they have been idle for too long to be trusted."""
        if (
            server.last_use_ms + self.trusted_idle_ms
            < now
            < server.last_use_ms + self._settings.idle_timeout_ms
        ):
            self.close_idle(now, server)

    def evaluate(
        self, now: float, server: Server, status: Status, sent_ms: float, request: RequestState
    ) -> bool:
        """Updates what is known of the server with the outcome of an attempt that was sent at `sent_ms`.

        Returns whether only the connection broke, so that the server should get an attempt on a new one.
        """
        elapsed_ms = now - sent_ms
        idle_ms = sent_ms - server.last_use_ms
        # A reset that comes this soon was already under way when the attempt was sent: the server had closed
        # the idle connection, and has not failed.
        stale_ms = STALE_CONNECTION_FACTOR * self._latency.mean_ms
        if status is Status.RESET and elapsed_ms < stale_ms and elapsed_ms < idle_ms < math.inf:
            self.trusted_idle_ms = min(self.trusted_idle_ms, idle_ms) / 2
            return True
        server.consecutive_resets += status is Status.RESET
        self._reset_rate += RESET_RATE_WEIGHT * ((status is Status.RESET) - self._reset_rate)
        if status in ANSWERS:
            self._outliers.record_response(now, server)
            server.last_use_ms, server.consecutive_resets = now, 0
            server.newest_answered_sent_ms = max(server.newest_answered_sent_ms, sent_ms)
            self.trusted_idle_ms = min(self.trusted_idle_ms * IDLE_GROWTH, self._settings.idle_timeout_ms)
        # Servers whose connection tables are full refuse connections at once. While that is frequent, each
        # idle connection held here occupies an entry that another client needs.
        refused_at_once = status is Status.CONNECT_FAILED and elapsed_ms < self._latency.mean_ms
        self._slow_start.full_response_share += RECENT_WEIGHT * (
            (status is Status.FULL) - self._slow_start.full_response_share
        )
        self._connect_refused_rate += RECENT_WEIGHT * (refused_at_once - self._connect_refused_rate)
        if self._connect_refused_rate > CONNECT_REFUSED_RATE_HIGH and not server.in_flight:
            self.close_idle(now, server)
        # During an overload attempts time out at servers that still answer others; such servers are not dead.
        # A timeout shows nothing about the server if it was shorter than the usual latency, or if an attempt
        # that was sent later has been answered.
        usual_ms = SILENCE_FACTOR * max(server.latency.mean_ms, self._latency.mean_ms)
        timed_out = status is Status.TIMEOUT
        is_inconclusive = timed_out and (
            elapsed_ms < usual_ms or sent_ms + usual_ms < server.newest_answered_sent_ms
        )
        is_silent = (
            timed_out and not (server.is_origin or is_inconclusive) and server.last_response_ms <= sent_ms
        )
        reset_limit = (
            1 if self._settings.may_probe else RESETS_TO_EJECT + (self._reset_rate > RESET_RATE_HIGH)
        )
        was_reset = status is Status.RESET
        is_broken = status is Status.CONNECT_FAILED or (
            was_reset and server.consecutive_resets >= reset_limit
        )
        if not server.is_origin and (is_silent or is_broken):
            self._outliers.eject(now, server, is_silent)
            # A probe tells whether a response was lost, the connection table is full or the server is dead.
            if was_reset or refused_at_once:
                self._outliers.probe(now, server)
        self._record_latency(now, server, status, elapsed_ms, request, is_silent)
        if status in (Status.OK, Status.FULL, Status.TIMEOUT) and not is_inconclusive:
            self._adjust_limit(now, server, status)
        return was_reset and not is_broken

    def _record_latency(
        self,
        now: float,
        server: Server,
        status: Status,
        latency_ms: float,
        request: RequestState,
        is_silent: bool,
    ) -> None:
        """Records the latency of an attempt; that of a timeout or a full server is estimated."""
        # Had the server not been full, or the attempt not timed out, its response would have come later.
        if status is Status.FULL:
            latency_ms = max(latency_ms, self._objective_ms)
        elif status is Status.TIMEOUT:
            # The cap is relative to the mean, so that many timeouts in a row still raise the mean.
            origin_ms = server.is_origin * server.latency.mean_ms
            max_ms = TIMEOUT_MAX_FACTOR * max(self._latency.mean_ms, origin_ms)
            latency_ms = min(max(latency_ms, server.latency.mean_ms), max_ms)
        else:
            latency_ms = max(latency_ms, 0.0)
        if status in (Status.OK, Status.MISS, Status.FULL, Status.TIMEOUT) and not (
            request.write or is_silent
        ):
            server.latency.record(now, latency_ms)
        # Timeouts count here too, since few responses come while the servers are overloaded.
        if status in (Status.OK, Status.TIMEOUT) and not server.is_origin:
            self._latency.record(now, latency_ms)
            server.machine_type_latency.record(now, latency_ms)
            request.latency.record(now, latency_ms)

    def _adjust_limit(self, now: float, server: Server, status: Status) -> None:
        """Adjusts the limit on the requests in flight at the server after an attempt."""
        crowded_ms = concurrency_limit.crowded_latency_ms(server, self._objective_ms)
        is_crowded = status is not Status.OK or server.latency.mean_ms > crowded_ms
        concurrency_limit.adjust(server, now, is_crowded, self._objective_ms)
