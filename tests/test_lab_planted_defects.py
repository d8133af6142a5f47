"""Small defects planted in the proxy: the invariant checker catches each of them by a rule."""

import pytest
from short_scenarios import broken, operated, short, zones

from balancer import server_selection
from balancer.balancer import Balancer
from balancer.slow_start import SlowStart
from cloverwell import dispatcher, facade
from cloverwell import proxy as proxy_module
from cloverwell.back.cache_connection import CacheConnection
from cloverwell.back.pools import NodePools
from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.request import Attempt, Request, Served
from cloverwell.serving import Serving
from cloverwell.streamed_value import StreamedValue
from lab.fault import Fault
from lab.scenario import InvariantLimits
from lab.simulation import Simulation


def answers_twice(patch):
    patch.setattr(dispatcher.Dispatcher, "_attempt_ended", _ended_twice(dispatcher.Dispatcher._attempt_ended))


def _ended_twice(real):
    def ended(self, attempt, outcome, body):
        real(self, attempt, outcome, body)
        if outcome is facade.AttemptOutcome.SERVED and attempt.request.is_over:
            side = attempt.request.on_answer.func.__self__
            side.try_write(f"VA {len(body)} O{attempt.request.id}\r\n".encode() + body + b"\r\n")

    return ended


def serves_another_value(patch):
    real = Request.complete
    patch.setattr(
        Request,
        "complete",
        lambda self, answer: real(self, Served(b"x") if isinstance(answer, Served) else answer),
    )


def forgets_some(patch):
    real = dispatcher.Dispatcher.accept

    def take(self, request):
        if not request.id.endswith("7"):
            real(self, request)

    patch.setattr(dispatcher.Dispatcher, "accept", take)


def answers_late(patch):
    real = dispatcher.Dispatcher.accept

    def take(self, request):
        request.time_left_ms += 5000.0
        real(self, request)

    patch.setattr(dispatcher.Dispatcher, "accept", take)
    patch.setattr(Request, "info_with_deadline", lambda self, wait_ms: self.info)


def drops_what_is_open_at_its_end(patch):
    def stop(self):
        for connection in list(self.client_connections.connections):
            connection.transport.abortConnection()

    patch.setattr(proxy_module.Proxy, "stop", stop)


def tries_without_end(patch):
    real = CacheConnection.encode_command
    patch.setattr(CacheConnection, "encode_command", lambda self, attempt: 4 * real(self, attempt))


def keeps_using_a_drained_node(patch):
    real = Balancer.handle

    def handle(self, now, event):
        if hasattr(event, "entries") and any(entry.state.value for entry in event.entries):
            return []
        return real(self, now, event)

    patch.setattr(Balancer, "handle", handle)
    patch.setattr(NodePools, "mark_left", lambda self, node: None)
    patch.setattr(NodeConnectionPolicy, "is_past_grace", lambda self, node, now: False)


def never_lets_clients_go(patch):
    patch.setattr(Serving, "closes_idle_connections", lambda self, now: False)


def stays_drained(patch):
    patch.setattr(Serving, "undrain", lambda self: False)


def ends_at_once_when_replaced(patch):
    drops_what_is_open_at_its_end(patch)


def holds_the_rest_of_long_values(patch):
    patch.setattr(StreamedValue, "resume_source", lambda self: None)


def cuts_long_values(patch):
    real = StreamedValue.receive

    def piece(self, data):
        real(self, data)
        if self.length - self.remaining_bytes > 1024 * 1024:
            self.abort()

    patch.setattr(StreamedValue, "receive", piece)


def sends_on_while_its_close_is_on_the_way(patch):
    patch.setattr(NodeConnectionPolicy, "close_delay_bound_ms", lambda self, node: 0.0)


def test_the_judge_catches_an_attempt_that_leaves_before_the_close_arrives(monkeypatch):
    # Seen at Teorifart: an attempt called off at a node 10 ms away, and the next one at a node nearby 0.2 ms
    # later.
    sends_on_while_its_close_is_on_the_way(monkeypatch)
    summary = Simulation(short("far-hang", 8.0), 2).run()
    assert "once" in broken(summary), summary["rules"]


def crosses_where_home_would_serve(patch):
    def remote_order(now, place, near, rings, slow_start):
        return iter(dict.fromkeys(server for _, server in rings.remote.clockwise(place)))

    patch.setattr(server_selection, "preference_order", remote_order)


def test_the_lab_shows_a_proxy_that_crosses_where_home_would_serve(monkeypatch):
    even = {"seconds": 8.0, "faults": [], "per_s": 70.0}
    home = zones(2, **even)["crossed"]
    crosses_where_home_would_serve(monkeypatch)
    assert home < 0.45
    assert zones(2, **even)["crossed"] > 0.62


def test_no_attempt_leaves_while_one_is_out_at_a_node_that_has_not_answered_yet(monkeypatch):
    # Its handshake had told how far it is; the answers of nodes nearby were taken for its distance.
    assert not broken(zones(2, 1.0, per_s=300.0))
    monkeypatch.setattr(NodeConnectionPolicy, "close_delay_bound_ms", lambda self, node: 5.0)
    assert "once" in broken(zones(2, 1.0, per_s=300.0))


def asks_cold_nodes_as_if_warm(patch):
    patch.setattr(SlowStart, "active_share", lambda self, now, server: 1.0)
    patch.setattr(SlowStart, "is_warm", lambda self, now, server: True)


def test_a_zone_that_comes_back_cold_is_not_pushed_over(monkeypatch):
    # Stricter than any site: 1.1 times what a cold node can do, from all proxies together.
    strict = {"seconds": 15.0, "rules": InvariantLimits(0.5, 1.5, 1.1)}
    summary = zones(1, **strict)
    assert not broken(summary), summary["breaches"]
    asks_cold_nodes_as_if_warm(monkeypatch)
    assert "cold" in broken(zones(1, **strict))


def tells_what_was_left_when_it_was_chosen(patch):
    patch.setattr(Attempt, "time_left_ms", lambda self, now, held_ms=0.0: int(self.decision.timeout_ms))


CRASH = [Fault("crash", 1.0, 2.0, 0.5)]


DRAIN = [Fault("drain", 1.0, 0.5, 0.5)]


MUTANTS = [
    (answers_twice, [], "answered"),
    (serves_another_value, [], "answered"),
    (forgets_some, [], "answered"),
    (answers_late, [Fault("hang", 0.5, 5.0, 0.5)], "answered"),
    (drops_what_is_open_at_its_end, [Fault("proxy_restart", 2.0, 0.5, 1.0)], "answered"),
    (tries_without_end, [], "once"),
    (keeps_using_a_drained_node, DRAIN, "drain"),
    (tells_what_was_left_when_it_was_chosen, [], "told"),
    (tells_what_was_left_when_it_was_chosen, CRASH, "told"),
]


@pytest.mark.parametrize(
    ("mutant", "faults", "rule"), MUTANTS, ids=lambda what: getattr(what, "__name__", None)
)
def test_the_judge_catches_each_defect(monkeypatch, mutant, faults, rule):
    mutant(monkeypatch)
    summary = Simulation(short("calm", 6.0, faults), 2).run()
    assert rule in broken(summary), summary["rules"]


OPERATED_MUTANTS = [
    (never_lets_clients_go, "drain", 10.0),
    (stays_drained, "drain", 10.0),
    (ends_at_once_when_replaced, "upgrade", 8.0),
    (holds_the_rest_of_long_values, "bulk", 3.0),
    (cuts_long_values, "bulk", 3.0),
]


@pytest.mark.parametrize(
    ("mutant", "name", "seconds"), OPERATED_MUTANTS, ids=lambda w: getattr(w, "__name__", None)
)
def test_the_judge_catches_what_operators_would(monkeypatch, mutant, name, seconds):
    mutant(monkeypatch)
    assert "answered" in broken(Simulation(operated(name, seconds), 2).run())
