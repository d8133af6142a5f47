"""Fixtures that several test files use: a driver of one balancer, and a whole proxy on real sockets.

It also sets up hypothesis and the test ports, and marks the tests that are known to fail.
"""

import itertools
import os

import pytest
from hypothesis import settings
from known_red import read_known_red
from rig import Rig

from balancer import api
from balancer.balancer import Balancer
from cloverwell.back.pool import Pool
from lab.processes import share_ports

# Tests run in several processes, each of which has ports of its own. Otherwise one process could take a port
# that another one has just found free.
WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
share_ports(WORKER, WORKERS)

# Hypothesis tries the same examples in every run, and fails none because it took long on a busy machine.
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")

KNOWN_RED = read_known_red()


def pytest_collection_modifyitems(items):
    """Marks the listed tests as expected to fail; one that passes is an error, unless it is intermittent."""
    for item in items:
        for known in KNOWN_RED:
            if known.covers(item.nodeid):
                reason = f"{known.cause} ({known.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=not known.is_intermittent))


def pytest_terminal_summary(terminalreporter):
    """Prints the tests that are listed as known to fail."""
    for known in KNOWN_RED:
        terminalreporter.write_line(f"KNOWN-RED {known.test}: {known.cause} ({known.issue})")


SAFE = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0)
KEYED = api.RequestClass(
    latency_objective_ms=500.0, deadline_ms=2000.0, idempotency=api.Idempotency.KEYED, dedup_window_ms=600.0
)
UNSAFE = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0, idempotency=api.Idempotency.UNSAFE)
LATE = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0, late_value=0.25)
ORIGIN_KIND = 7


class Driver:
    """Passes events to one balancer on a clock that the test advances, and records the balancer's actions.

    `sends` maps each request to the servers that it was sent to, in the order of its attempts. `timeouts_ms`
    has the timeout of each request's last attempt, and `ended` the final answer of each request that the
    balancer has rejected or failed.
    """

    def __init__(self, servers=4, origin=True, seed=1, now=100_000.0, classes=None, **settings):
        settings.setdefault("origin_machine_type", ORIGIN_KIND if origin else -1)
        settings.setdefault("granularity_ms", 5.0)
        self.settings = api.Settings(classes=classes or (SAFE, KEYED, UNSAFE, LATE), **settings)
        self.balancer = Balancer(self.settings, seed)
        self.now = now
        self.names = [f"s{i}" for i in range(servers)]
        self.sends: dict[str, list[str]] = {}
        self.timeouts_ms: dict[str, float] = {}
        self.ended: dict[str, api.Action] = {}
        self.cancels: list[tuple[str, int]] = []
        self.logs: list[str] = []
        self.timers: list[tuple[float, int]] = []  # (time in ms, token)
        self.probes: list[str] = []
        self.closes: list[tuple[float, str]] = []  # (time in ms, server)
        self._ids = itertools.count()
        entries = [api.ServerEntry(name) for name in self.names]
        if origin:
            entries.append(api.ServerEntry("origin", machine_type=ORIGIN_KIND))
        self.first_actions = self.list(api.ListKind.CACHED, entries)

    def handle(self, event):
        """Passes the event to the balancer, records its actions and returns them."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            match action:
                case api.Send():
                    assert action.request_id not in self.ended, "sent after the final answer"
                    self.sends.setdefault(action.request_id, []).append(action.server)
                    self.timeouts_ms[action.request_id] = action.timeout_ms
                case api.Reject() | api.Fail():
                    assert action.request_id not in self.ended, "two final answers"
                    self.ended[action.request_id] = action
                case api.Cancel():
                    self.cancels.append((action.request_id, action.attempt))
                case api.Log():
                    self.logs.append(action.text)
                case api.SetTimer():
                    self.timers.append((self.now + action.delay_ms, action.token))
                case api.Probe():
                    self.probes.append(action.server)
                case api.CloseConnections():
                    self.closes.append((self.now, action.server))
        return actions

    def list(self, kind, entries=()):
        return self.handle(api.EndpointListChanged(kind, 1, tuple(entries)))

    def ask(self, key="k", cls=0, left=2000.0, **more):
        """Sends a new request with `left` ms until its deadline, and returns its id."""
        name = f"r{next(self._ids)}"
        self.handle(api.Request(name, cls, left, key, **more))
        return name

    def answer(self, name, status=api.Status.OK, after=0.0):
        """Ends the request's last attempt with this status, `after` ms from now."""
        self.now += after
        number = len(self.sends[name]) - 1
        closed = status is api.Status.OK
        self.handle(api.AttemptEnded(name, self.sends[name][number], number, status, after, closed))

    def serve(self, name, after=50.0):
        self.answer(name, api.Status.OK, after)

    def pass_time(self, ms):
        """Advances the clock by `ms`, and fires the timers that come due on the way."""
        end = self.now + ms
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.handle(api.TimerDue(timer[1]))
        self.now = end

    def owner(self, key):
        """Returns the server that a request for the key is sent to. The request is served after 1 ms."""
        name = self.ask(key)
        server = self.sends[name][0]
        self.serve(name, 1.0)
        return server


@pytest.fixture
def drive():
    return Driver


@pytest.fixture
def rig():
    """Makes whole proxies on real sockets, which are closed at the end of the test."""
    made = []

    def make(**options):
        made.append(Rig(**options))
        return made[-1]

    yield make
    for proxy in made:
        proxy.close()


@pytest.fixture
def started_attempts(monkeypatch):
    """The attempts that have been started at a node's connection pool so far."""
    attempts = []
    start_unrecorded = Pool.start

    def start(pool, attempt):
        attempts.append(attempt)
        start_unrecorded(pool, attempt)

    monkeypatch.setattr(Pool, "start", start)
    return attempts
