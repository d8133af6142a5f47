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

# A server is ejected when its silence, multiplied by its requests in flight and divided by its mean latency,
# reaches this value. A working server reaches it by chance once in e^8 cases.
EJECTION_EVIDENCE = 8.0
# The number of mean latencies after which a silent server is checked, and probed where that is permitted.
SILENCE_FACTOR = 1.5
# The largest share of the servers on the ring that silence may eject: if more are silent, they are overloaded
# rather than dead.
MAX_EJECTED_SHARE = 0.34
# The lowest value used for the mean latency of probes. An unanswered probe ejects its server after about
# eight mean latencies, which then are longer than most pauses of a process.
MIN_PROBE_LATENCY_MS = 15.0
# The time between probes of an ejected server: a dead server gets few, and a recovered one is back in a
# second.
PROBE_INTERVAL_MS = 500.0
# A server that was ejected for this long has probably restarted, so it counts as cold when it responds again.
LONG_EJECTION_MS = 2000.0


class OutlierDetector:
    """Ejects and readmits servers; the actions that follow from it are appended to `actions`."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimate,
        retry_budget: RetryBudget,
        actions: list[Action],
    ) -> None:
        """`latency` covers all cache servers; `retry_budget` limits how many attempts are cancelled."""
        self._may_probe = settings.may_probe
        self._may_cancel = settings.may_cancel
        self._latency = latency
        # Probes start with the same estimate as other requests.
        self._probe_latency = LatencyEstimate(latency.mean_ms)
        self._retry_budget = retry_budget
        self._actions = actions

    def probe(self, now: float, server: Server) -> bool:
        """Probes the server if that is permitted; returns whether it is."""
        server.next_probe_ms = now + PROBE_INTERVAL_MS
        if not self._may_probe or server.removed:
            return False
        self._actions.append(Probe(server.entry.name))
        return True

    def record_probe(self, now: float, server: Server, status: Status, latency_ms: float) -> None:
        """Handles the end of a probe: a response readmits the server, a broken connection ejects it."""
        if status is Status.OK:
            self._probe_latency.record(now, latency_ms)
            self.record_response(now, server)
        elif status in (Status.RESET, Status.CONNECT_FAILED):
            self.eject(now, server)

    def record_response(self, now: float, server: Server) -> None:
        """Records that the server has responded, and readmits it if it was ejected."""
        server.last_response_ms, server.probe_sent_ms = now, None
        if server.ejected_at_ms is None:
            return
        if now - server.ejected_at_ms >= LONG_EJECTION_MS:
            server.warm_up_start_ms = max(server.warm_up_start_ms, now)
        server.ejected_at_ms = None
        self._actions.append(Log(f"{server.entry.name} readmitted"))

    def eject(self, now: float, server: Server, cancel_attempts: bool = True) -> None:
        """Ejects the server.

        If `cancel_attempts` is set, its attempts in flight are cancelled, since each would otherwise wait for
        its timeout.
        """
        if server.ejected_at_ms is None:
            server.ejected_at_ms, server.next_probe_ms = now, now + PROBE_INTERVAL_MS
            self._actions.append(Log(f"{server.entry.name} ejected"))
        if cancel_attempts and self._may_cancel:
            self._cancel_attempts(now, server)

    def _cancel_attempts(self, now: float, server: Server) -> None:
        """Cancels as many attempts as the retry budget can retry elsewhere, the highest priority first."""
        pending = [
            (request, number)
            for (_, number), (request, _) in server.in_flight.items()
            if not request.stream_started and not request.done
        ]
        count = int(min(len(pending), self._retry_budget.available(now)))
        selected = heapq.nlargest(count, pending, lambda attempt: attempt[0].request_class.importance)
        self._actions += [Cancel(request.id, number) for request, number in selected]

    def check_silence(self, now: float, server: Server, servers: Collection[Server], ring_size: int) -> None:
        """Probes a server that has been silent for some mean latencies, and ejects it after more of them.

        `servers` are all servers, `ring_size` is the number of cache servers.
        """
        # The server's own mean counts too: a slow server must not be taken for a dead one, as the work that
        # it is doing would then be done twice.
        usual_ms = max(server.latency.mean_ms, self._latency.mean_ms)
        silent_ms = now - server.last_response_ms
        is_overdue = silent_ms >= SILENCE_FACTOR * usual_ms
        if is_overdue and server.probe_sent_ms is None and now >= server.next_probe_ms:
            server.probe_sent_ms = now if self.probe(now, server) else None
        # Each unanswered request counts as evidence, in proportion to the length of the silence.
        evidence = silent_ms * len(server.in_flight) / usual_ms
        if server.probe_sent_ms is not None:
            evidence += (now - server.probe_sent_ms) / max(MIN_PROBE_LATENCY_MS, self._probe_latency.mean_ms)
        if evidence < EJECTION_EVIDENCE:
            return
        ejected_count = sum(other.ejected_at_ms is not None for other in servers)
        if ejected_count + 1 <= max(1, MAX_EJECTED_SHARE * ring_size):
            self.eject(now, server)
