"""What the end of an attempt says about its server: its health, its latency and its load.

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

# The mean latencies that a timeout teaches at most, since its connection alone may be at fault.
TIMEOUT_MAX_FACTOR = 3.0
# The resets without a response between them that eject: one may be the fault of its connection alone.
RESETS_TO_EJECT = 2
# The rate of resets from which on one more is needed, since they befall all servers alike.
RESET_RATE_HIGH, RESET_RATE_WEIGHT = 0.05, 0.01
# A response's factor on the time for which idle connections are trusted; it is halved when one broke.
IDLE_GROWTH = 1.01
# A reset within this part of the mean latency, on a connection that idled, says nothing of its server.
STALE_CONNECTION_FACTOR = 0.25
# The rate of connections refused at once from which on connections are closed after use.
CONNECT_REFUSED_RATE_HIGH = 0.1


class AttemptEvaluator:
    """Learns from the ends of attempts; what is to be done at once is appended to `actions`."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimate,
        objective_ms: float,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        actions: list[Action],
    ) -> None:
        """`latency` is that of all cache servers, `objective_ms` the shortest latency objective."""
        self._settings = settings
        self._latency = latency
        self._objective_ms = objective_ms
        self._slow_start = slow_start
        self._outliers = outliers
        self._actions = actions
        self.trusted_idle_ms = settings.idle_timeout_ms  # connections idle for longer are not trusted
        self._connect_refused_rate = 0.0
        self._reset_rate = 0.0

    def close(self, _now: float, server: Server) -> None:
        """Closes the idle connections to the server."""
        server.last_use_ms = -math.inf
        self._actions.append(CloseConnections(server.entry.name))

    def close_untrusted(self, now: float, server: Server) -> None:
        """Closes the server's connections where they have idled too long to be trusted."""
        if (
            server.last_use_ms + self.trusted_idle_ms
            < now
            < server.last_use_ms + self._settings.idle_timeout_ms
        ):
            self.close(now, server)

    def evaluate(
        self, now: float, server: Server, status: Status, sent: float, request: RequestState
    ) -> bool:
        """Learns from the end of an attempt that was sent at `sent`.

        Returns whether just a connection broke, so that the server is still worth an attempt on a fresh one.
        """
        took = now - sent
        idle_ms = sent - server.last_use_ms
        # Such a reset was under way before the attempt: the connection had ended, no server has died.
        stale_ms = STALE_CONNECTION_FACTOR * self._latency.mean_ms
        if status is Status.RESET and took < stale_ms and took < idle_ms < math.inf:
            self.trusted_idle_ms = min(self.trusted_idle_ms, idle_ms) / 2
            return True
        server.resets += status is Status.RESET
        self._reset_rate += RESET_RATE_WEIGHT * ((status is Status.RESET) - self._reset_rate)
        if status in ANSWERS:
            self._outliers.record_response(now, server)
            server.last_use_ms, server.resets = now, 0
            server.newest_answered_sent_ms = max(server.newest_answered_sent_ms, sent)
            self.trusted_idle_ms = min(self.trusted_idle_ms * IDLE_GROWTH, self._settings.idle_timeout_ms)
        # Where full tables refuse connections at once, one that idles here is missing elsewhere.
        refused_at_once = status is Status.CONNECT_FAILED and took < self._latency.mean_ms
        self._slow_start.full_response_share += RECENT_WEIGHT * (
            (status is Status.FULL) - self._slow_start.full_response_share
        )
        self._connect_refused_rate += RECENT_WEIGHT * (refused_at_once - self._connect_refused_rate)
        if self._connect_refused_rate > CONNECT_REFUSED_RATE_HIGH and not server.in_flight:
            self.close(now, server)
        # In an overload attempts time out at servers that answer others, which is no death. An attempt that
        # was given less time than responses take, or that later ones overtook, says nothing of it.
        usual_ms = SILENCE_FACTOR * max(server.latency.mean_ms, self._latency.mean_ms)
        timed_out = status is Status.TIMEOUT
        alone = timed_out and (took < usual_ms or sent + usual_ms < server.newest_answered_sent_ms)
        silent = timed_out and not (server.is_origin or alone) and server.last_response_ms <= sent
        resets = 1 if self._settings.may_probe else RESETS_TO_EJECT + (self._reset_rate > RESET_RATE_HIGH)
        reset = status is Status.RESET
        broken = status is Status.CONNECT_FAILED or (reset and server.resets >= resets)
        if not server.is_origin and (silent or broken):
            self._outliers.eject(now, server, silent)
            # A lost response, a full table of connections or a death: a probe tells them apart.
            if reset or refused_at_once:
                self._outliers.probe(now, server)
        self._learn_latency(now, server, status, took, request, silent)
        if status in (Status.OK, Status.FULL, Status.TIMEOUT) and not alone:
            self._adjust_limit(now, server, status)
        return reset and not broken

    def _learn_latency(
        self, now: float, server: Server, status: Status, took: float, request: RequestState, silent: bool
    ) -> None:
        # A response in place of a timeout or a full server would have taken longer.
        if status is Status.FULL:
            took = max(took, self._objective_ms)
        elif status is Status.TIMEOUT:
            # Of many timeouts in a row the mean rises all the same.
            origin_ms = server.is_origin * server.latency.mean_ms
            most = TIMEOUT_MAX_FACTOR * max(self._latency.mean_ms, origin_ms)
            took = min(max(took, server.latency.mean_ms), most)
        else:
            took = max(took, 0.0)
        if status in (Status.OK, Status.MISS, Status.FULL, Status.TIMEOUT) and not (request.write or silent):
            server.latency.learn(now, took)
        if status in (Status.OK, Status.TIMEOUT) and not server.is_origin:  # in a jam few responses come
            self._latency.learn(now, took)
            server.machine_type_latency.learn(now, took)
            request.latency.learn(now, took)

    def _adjust_limit(self, now: float, server: Server, status: Status) -> None:
        crowded_ms = concurrency_limit.crowded_latency_ms(server, self._objective_ms)
        crowded = status is not Status.OK or server.latency.mean_ms > crowded_ms
        concurrency_limit.adjust(server, now, crowded, self._objective_ms)
