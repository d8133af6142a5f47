"""Outlier detection: ejects servers that fail or fall silent, and readmits those that respond again.

All times are milliseconds of one clock, which the caller passes in.
"""

import heapq
from collections.abc import Collection

from balancer.actions import Action, Cancel, Log, Probe
from balancer.events import Status
from balancer.latency import LatencyEstimate
from balancer.request_state import Server
from balancer.retry import RetryBudget
from balancer.settings_types import Settings

# Silence times requests in flight by mean latency that ejects: chance alone does that once in e^8 cases.
SILENCE_ODDS = 8.0
# The mean latencies of silence after which a server is checked, and probed where that is permitted.
SILENCE_FACTOR = 1.5
# Silence ejects at most this part of the ring: more than that is an overload, not the death of servers.
MAX_EJECTED_SHARE = 0.34
# The mean latency of probes is taken as no less: eight of them outlast most pauses of a process.
MIN_PROBE_LATENCY_MS = 15.0
# The time between probe requests to an ejected server: few for a dead one, and it is back within a second.
PROBE_INTERVAL_MS = 500.0
# A server that was ejected for so long has probably restarted: it is cold until the list says more.
LONG_EJECTION_MS = 2000.0


class OutlierDetector:
    """Ejects and readmits servers; what is to be done about it is appended to `actions`."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimate,
        retry_budget: RetryBudget,
        actions: list[Action],
    ) -> None:
        """`latency` is that of all cache servers; the budget bounds the attempts that are cancelled."""
        self._may_probe = settings.may_probe
        self._may_cancel = settings.may_cancel
        self._latency = latency
        # The first guess is the same as for other responses.
        self._probe_latency = LatencyEstimate(latency.mean_ms)
        self._retry_budget = retry_budget
        self._actions = actions

    def probe(self, now: float, server: Server) -> bool:
        """Probes the server where that is permitted; returns whether it is."""
        server.next_probe_ms = now + PROBE_INTERVAL_MS
        if not self._may_probe or server.removed:
            return False
        self._actions.append(Probe(server.entry.name))
        return True

    def record_probe(self, now: float, server: Server, status: Status, latency_ms: float) -> None:
        """Counts the end of a probe: a response readmits the server, a broken connection ejects it."""
        if status is Status.OK:
            self._probe_latency.learn(now, latency_ms)
            self.record_response(now, server)
        elif status in (Status.RESET, Status.CONNECT_FAILED):
            self.eject(now, server)

    def record_response(self, now: float, server: Server) -> None:
        """Counts a response, and readmits the server if it was ejected."""
        server.last_response_ms, server.probe_sent_ms = now, None
        if server.ejected_at_ms is None:
            return
        if now - server.ejected_at_ms >= LONG_EJECTION_MS:
            server.warm_up_start_ms = max(server.warm_up_start_ms, now)
        server.ejected_at_ms = None
        self._actions.append(Log(f"{server.entry.name} cleared"))

    def eject(self, now: float, server: Server, cancel_attempts: bool = True) -> None:
        """Ejects the server, and cancels attempts there, since each would wait for its timeout otherwise."""
        if server.ejected_at_ms is None:
            server.ejected_at_ms, server.next_probe_ms = now, now + PROBE_INTERVAL_MS
            self._actions.append(Log(f"{server.entry.name} marked missed"))
        if cancel_attempts and self._may_cancel:
            self._cancel_attempts(now, server)

    def _cancel_attempts(self, now: float, server: Server) -> None:
        """Cancels as many attempts as the budget can retry elsewhere, those of the highest priority first."""
        pending = [
            (request, number)
            for (_, number), (request, _) in server.in_flight.items()
            if not request.stream_started and not request.done
        ]
        count = int(min(len(pending), self._retry_budget.available(now)))
        chosen = heapq.nlargest(count, pending, lambda attempt: attempt[0].request_class.importance)
        self._actions += [Cancel(request.id, number) for request, number in chosen]

    def check_silence(self, now: float, server: Server, servers: Collection[Server], ring_size: int) -> None:
        """Probes a server that has been silent for some latencies, and ejects it after more of them."""
        # Its own latency counts, so that a slow server is not taken for a dead one and its work done twice.
        usual_ms = max(server.latency.mean_ms, self._latency.mean_ms)
        silent_ms = now - server.last_response_ms
        overdue = silent_ms >= SILENCE_FACTOR * usual_ms
        if overdue and server.probe_sent_ms is None and now >= server.next_probe_ms:
            server.probe_sent_ms = now if self.probe(now, server) else None
        # Every request in flight without a response is evidence, in the server's mean latencies.
        odds = silent_ms * len(server.in_flight) / usual_ms
        if server.probe_sent_ms is not None:
            odds += (now - server.probe_sent_ms) / max(MIN_PROBE_LATENCY_MS, self._probe_latency.mean_ms)
        if odds < SILENCE_ODDS:
            return
        ejected = sum(other.ejected_at_ms is not None for other in servers)
        if ejected + 1 <= max(1, MAX_EJECTED_SHARE * ring_size):
            self.eject(now, server)
