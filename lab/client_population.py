"""The clients of one zone, behind a plain front layer that spreads them over the zone's proxies.

Arrivals are open-loop: their times are drawn ahead, whatever becomes of earlier requests. A request's retries
belong to it; each attempt has a new id.
"""

from __future__ import annotations

from bisect import bisect
from collections import defaultdict
from itertools import accumulate
from random import Random
from typing import Protocol

from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES
from lab.clock import START_S
from lab.invariant_checker import InvariantChecker, RequestHistory
from lab.net import Net
from lab.proxy_selector import ProxySelector
from lab.request_catalog import RequestCatalog, RequestContent
from lab.scenario import Scenario, TrafficClass
from lab.simulated_client import (
    Answer,
    ClientAttempt,
    ClientConnector,
    PlannedRequest,
    RequestEnd,
    SimulatedClient,
)
from lab.simulated_proxy import SimulatedProxy

VALUE_STALL_S = 2.0  # the rest of a long value may not be held back for so long
CROSSED_S = 0.05  # a request that is younger may have crossed the close of its connection
LEAST_LEFT_S = 0.02  # with less time left until its deadline a request is not sent again
RETRY_S = 0.05  # after a refused or lost connection
CONNECT_TIMEOUT_S = 1.0
LATE_S = 0.1  # after its deadline a client looks whether an answer has come
STALL_CHECK_S = 0.5
FORGET_S = 8.0  # what is out at a node for an ended request may come in for so long
HOT_KEY = "k-hot"


class ClientEnvironment(Protocol):
    """What the clients need of the simulation."""

    scenario: Scenario
    seed: int
    net: Net
    checker: InvariantChecker
    proxies: list[SimulatedProxy]
    catalog: RequestCatalog

    def record(self, *what: object) -> None:
        """Adds a line to the trace."""


class ClientPopulation:
    """All clients of one zone."""

    def __init__(self, environment: ClientEnvironment, zone: int) -> None:
        """Draws the zone's share of the traffic by the seed; nothing arrives before `start`."""
        self._environment, self._zone = environment, zone
        self.net, self.checker = environment.net, environment.checker
        self.traffic = environment.scenario.traffic
        self._rng = Random(f"people {environment.seed} {zone}")
        shares = self.traffic.zone_shares or [1.0 / environment.scenario.zones] * environment.scenario.zones
        self._per_s = self.traffic.per_s * shares[zone]  # arrivals in this zone
        self._selector = ProxySelector(
            environment.proxies, zone, self.traffic.proxy_spread, environment.seed, self._rng
        )
        self.requests: list[PlannedRequest] = []
        self.hot_key_share = 0.0  # share of the traffic that asks for one key
        self.clients: list[SimulatedClient] = []  # with open connections
        self._idle: dict[str, list[SimulatedClient]] = defaultdict(list)  # by the proxy's name
        self._sent = 0
        self._key_weights = list(
            accumulate(1.0 / (rank + 5) ** self.traffic.zipf for rank in range(self.traffic.keys))
        )
        self._class_weights = list(accumulate(each.share for each in self.traffic.classes))
        self._tenant_weights = list(accumulate(tenant.share for tenant in self.traffic.tenants))

    @property
    def _now(self) -> float:
        return self.net.seconds()

    # Arrivals -----------------------------------------------------------------------------------

    def start(self) -> None:
        """Plans the first arrival."""
        self.net.callLater(self._gap_s(), self._arrive)

    def speed_up(self, times: float) -> None:
        """From now on requests arrive so many times as fast."""
        self._per_s *= times

    def popular_keys(self) -> list[str]:
        """Keys that are cached when the simulation begins, the most popular last."""
        nodes = self._environment.scenario.nodes
        room = nodes.keys * nodes.count // 2
        return [f"k{rank}" for rank in reversed(range(min(self.traffic.keys, room)))]

    def _gap_s(self) -> float:
        return self._rng.expovariate(self._per_s)

    def _draw(self, sums: list[float]) -> int:
        """A place, drawn by its weight; `sums`: the weights added up."""
        return min(len(sums) - 1, bisect(sums, self._rng.random() * sums[-1]))

    def _arrive(self) -> None:
        if self._now - START_S >= self._environment.scenario.seconds:
            return
        request = self._plan_request()
        self.requests.append(request)
        self._attempt(request)
        self.net.callLater(self._gap_s(), self._arrive)

    def _plan_request(self) -> PlannedRequest:
        traffic_class = self.traffic.classes[self._draw(self._class_weights)]
        tenant = self.traffic.tenants[self._draw(self._tenant_weights)].name
        hot = self._rng.random() < self.hot_key_share
        key = HOT_KEY if hot else f"k{self._draw(self._key_weights)}"
        mean_s = self._rng.uniform(*traffic_class.work_ms) / 1000.0
        work_s = min(8.0 * mean_s, self._rng.expovariate(1.0 / mean_s))
        return PlannedRequest(traffic_class, tenant, key, work_s, self._now, len(self.requests))

    # Attempts -----------------------------------------------------------------------------------

    def _attempt(self, request: PlannedRequest) -> None:
        """Sends the request on an idle connection or on a new one, if it may still be sent."""
        if request.left_s(self._now) <= LEAST_LEFT_S or request.attempts > self.traffic.retries:
            request.end = request.end or RequestEnd.GAVE_UP
            return
        request.attempts += 1
        proxy = self._selector.choose(self._now, lambda name: bool(self._idle[name]))
        idle = self._idle[proxy.name]
        if idle:
            self._send(idle.pop(), request)
            return
        connector = ClientConnector(self, proxy, request, self._connect_refused)
        own_address = (f"10.{1 + self._zone}.200.1", None)
        self.net.connectTCP(*proxy.address, connector, CONNECT_TIMEOUT_S, own_address)

    def _connect_refused(self, proxy: SimulatedProxy, request: PlannedRequest) -> None:
        self._selector.refused(proxy, self._now)
        request.end = RequestEnd.CONNECT_REFUSED
        self.net.callLater(RETRY_S, self._attempt, request)

    def connected(self, client: SimulatedClient, request: PlannedRequest) -> None:
        """The connection is up: the request that it was opened for is sent."""
        self.clients.append(client)
        self._selector.connected(client.proxy)
        self._send(client, request)

    def _send(self, client: SimulatedClient, request: PlannedRequest) -> None:
        self._sent += 1
        attempt = ClientAttempt(f"z{self._zone}r{self._sent}", request)
        left_s = request.left_s(self._now)
        if int(1000.0 * left_s) <= 0:
            self._idle[client.proxy.name].append(client)
            request.end = request.end or RequestEnd.GAVE_UP
            return
        self._record_sent(client.proxy, attempt, left_s)
        client.attempt = attempt
        request.first_sent_s = self._now if request.first_sent_s is None else request.first_sent_s
        client.transport.write(self._command(attempt, int(1000.0 * left_s)))
        self.net.callLater(left_s + LATE_S, self._check_overdue, client, attempt)
        if self.traffic.leave_share and self._rng.random() < self.traffic.leave_share:
            after_s = self._rng.uniform(*self.traffic.leave_ms) / 1000.0
            self.net.callLater(after_s, client.leave, attempt)

    def _record_sent(self, proxy: SimulatedProxy, attempt: ClientAttempt, left_s: float) -> None:
        request, traffic_class = attempt.request, attempt.request.traffic_class
        content = RequestContent(traffic_class, request.work_s, request.key)
        self._environment.catalog.add(attempt.id, content)
        window_s = traffic_class.window_ms / 1000.0
        self.checker.taken(
            RequestHistory(
                attempt.id, proxy.name, traffic_class.effect, self._now, self._now + left_s, window_s
            )
        )
        self._environment.record("ask", attempt.id, traffic_class.name, request.key, proxy.name)

    def _command(self, attempt: ClientAttempt, left_ms: int) -> bytes:
        """The request in memcache's meta commands, with the names and values of the platform."""
        request, traffic_class = attempt.request, attempt.request.traffic_class
        info = f"c={traffic_class.name},t={request.tenant},d={left_ms}"
        if request.attempts > 1:
            info += ",r=1"
        if traffic_class.effect == "dedup":
            info += f",k=z{self._zone}i{request.number}"
        if traffic_class.write:
            return f"ms {request.key} 5 O{attempt.id} P{info}\r\nhello\r\n".encode()
        return f"mg {request.key} v O{attempt.id} P{info}\r\n".encode()

    # Ends of attempts ---------------------------------------------------------------------------

    def answered(self, client: SimulatedClient, attempt: ClientAttempt, answer: Answer) -> None:
        """The attempt has got its answer: it is checked, and retried where that is allowed."""
        at_s = self._now
        if len(answer.text) > STREAMING_THRESHOLD_BYTES and answer.first_byte_s is not None:
            at_s = answer.first_byte_s  # a long value counts from its first byte
        self.checker.answered(at_s, attempt.id, answer.end, self._is_right(attempt, answer))
        self._environment.record("end", attempt.id, answer.end)
        self._idle[client.proxy.name].append(client)
        if answer.end is RequestEnd.SERVED:
            self._count_served(attempt.request, at_s)
        else:
            self._retry(attempt.request, answer)
        self._finish(attempt, answer.end)

    def _is_right(self, attempt: ClientAttempt, answer: Answer) -> bool:
        if answer.end is not RequestEnd.SERVED:
            return True
        catalog = self._environment.catalog
        if attempt.request.traffic_class.write:
            return answer.text == catalog.receipt(attempt.id)
        return answer.text == catalog.value(attempt.id)

    @staticmethod
    def _count_served(request: PlannedRequest, at_s: float) -> None:
        traffic_class = request.traffic_class
        in_time = 1000.0 * (at_s - request.asked_s) <= traffic_class.aim_ms
        request.earned = traffic_class.worth if in_time else traffic_class.worth * traffic_class.late_worth

    def _retry(self, request: PlannedRequest, answer: Answer) -> None:
        """Plans another attempt after the proxy refused or failed this one, if it is safe to repeat."""
        refused = answer.end is RequestEnd.REFUSED
        wait_s = float(answer.text) / 1000.0 if refused else self.traffic.back_off_ms / 1000.0
        safe = refused or self._may_repeat(request, wait_s)
        if safe and request.attempts <= self.traffic.retries:
            delay_s = wait_s + 0.001 + 0.02 * self._rng.random()
            self.net.callLater(delay_s, self._attempt, request)

    def _may_repeat(self, request: PlannedRequest, wait_s: float) -> bool:
        """Whether the request may be sent again although it may have run."""
        traffic_class: TrafficClass = request.traffic_class
        if traffic_class.effect == "retryable":
            return True
        if traffic_class.effect != "dedup" or request.first_sent_s is None:
            return False
        return self._now + wait_s < request.first_sent_s + traffic_class.window_ms / 1000.0

    def abandoned(self, attempt: ClientAttempt) -> None:
        """The client has closed, or its connection has broken."""
        self.checker.left(self._now, attempt.id)
        self._environment.record("left", attempt.id)
        self._finish(attempt, RequestEnd.LEFT)

    def disconnect_waiting(self, share: float) -> None:
        """So many of the clients that wait for an answer close at this instant."""
        for client in [each for each in self.clients if each.attempt is not None]:
            if client.attempt is not None and self._rng.random() < share:
                client.leave(client.attempt)

    def _check_overdue(self, client: SimulatedClient, attempt: ClientAttempt) -> None:
        """Gives the attempt up after its deadline, unless its value is coming."""
        if not client.waits_for(attempt):
            return
        if client.first_byte_s is not None and self._now - client.last_byte_s < VALUE_STALL_S:
            self.net.callLater(STALL_CHECK_S, self._check_overdue, client, attempt)
            return
        self.checker.lost(self._now, attempt.id, "no answer when its time ran out")
        self._finish(attempt, RequestEnd.UNANSWERED)
        client.abort()

    def disconnected(self, client: SimulatedClient, attempt: ClientAttempt | None) -> None:
        """A connection has ended; the attempt on it is lost, and sent again where that is safe."""
        if client in self.clients:
            self.clients.remove(client)
        idle = self._idle[client.proxy.name]
        if client in idle:
            idle.remove(client)
        if attempt is None:
            return
        # What crossed the close is sent once more; what the proxy had taken before it is lost.
        history = self.checker.histories.get(attempt.id)
        taken = history is not None and self._now - history.sent_s > CROSSED_S
        if taken and client.proxy.process is not None:
            self.checker.lost(self._now, attempt.id, "its connection ended without an answer")
        self._finish(attempt, RequestEnd.LOST)
        if attempt.request.traffic_class.effect == "retryable":
            self.net.callLater(RETRY_S, self._attempt, attempt.request)

    def _finish(self, attempt: ClientAttempt, end: RequestEnd) -> None:
        attempt.request.end = end
        # What is out at a node for it may still come in, so that it is known a while longer.
        self.net.callLater(FORGET_S, self._forget, attempt)

    def _forget(self, attempt: ClientAttempt) -> None:
        self._environment.catalog.forget(attempt.id)
        self.checker.forget(attempt.id)
