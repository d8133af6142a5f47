"""Nine in ten restarted processes are ready within 10 s, whatever discovery does, and then serve.

A proxy listens with the list of its configuration (`known`) before it polls discovery. Without any list it
rejects requests at once, and serves as soon as it gets one.
"""

import json
import signal
import socket
import time

import pytest
from short_scenarios import broken, short
from test_processes import is_ready

from cloverwell.proxy import Proxy
from lab.invariant_checker import RULES
from lab.processes import PATIENCE_S, ProxyFixture, SteadyClients
from lab.scenario import DiscoveryCapacity
from lab.simulation import Simulation
from lab.web import serving

READY_S = 10.0  # the time within which nine in ten restarted proxies must be ready
READY_SHARE = 0.9
PROXIES = 30
# The time at which all proxies are killed, their downtime, and the time at which discovery is back.
KILLED_S, DOWN_S, DISCOVERY_BACK_S = 1.0, 0.5, 5.0
MAX_CHANGE_DELAY_S = 6.0
DISCOVERIES = {
    "up": DiscoveryCapacity(),
    "down": DiscoveryCapacity(),
    "slow": DiscoveryCapacity(calls_per_s=5.0, wait_s=30.0),  # the last poll is answered 6 s after the first
    "overloaded": DiscoveryCapacity(calls_per_s=2.0, wait_s=1.0),  # nearly all polls are refused
}


class Restarts(Simulation):
    """A simulation that kills all proxies at once, and chooses the list with which they are restarted."""

    known_rows = None  # None: the current list
    _starting = False

    def __init__(self, scenario, seed):
        self.started_s, self.ready_s = {}, {}
        super().__init__(scenario, seed)

    def start(self, proxy, predecessor=None):
        self._starting = True
        super().start(proxy, predecessor)
        self._starting = False
        self.started_s[proxy.name] = self.net.seconds()
        self.ready_s.pop(proxy.name, None)
        on_answer = proxy.watch.heard

        def on_first_answer(ready):
            if ready and proxy.process is not None:
                self.ready_s.setdefault(proxy.name, self.net.seconds())
            on_answer(ready)

        proxy.watch.heard = on_first_answer

    def members(self):
        if self._starting and self.known_rows is not None:
            return self.known_rows
        return super().members()

    def kill_all(self):
        for proxy in self.proxies:
            self.kill(proxy)

    def start_all(self):
        for proxy in self.proxies:
            self.start(proxy)

    def startup_times_s(self):
        """Returns the time of each process from its start to its first answer that it is ready."""
        return [
            self.ready_s[name] - started_s
            for name, started_s in self.started_s.items()
            if name in self.ready_s
        ]

    def settings(self, number):
        return super().settings(number) | {"granularity": 20.0}  # Coarse timers make the test faster.

    def up_to_date_count(self):
        """Returns how many proxies have discovery's newest list."""
        return sum(
            proxy.process.proxy.endpoint_discovery.current_list().revision >= self.discovery.revision
            for proxy in self.proxies
        )


def simulate_restart(discovery, known_rows=None, seed=1):
    scenario = short("calm", 8.0, [], 60.0, proxies=PROXIES, discovery=DISCOVERIES[discovery])
    simulation = Restarts(scenario, seed)
    call_later = simulation.net.callLater
    call_later(KILLED_S, setattr, simulation, "known_rows", known_rows)
    call_later(KILLED_S, simulation.kill_all)
    if discovery == "down":
        call_later(KILLED_S, simulation.discovery.die)
        call_later(DISCOVERY_BACK_S, simulation.discovery.live)
    call_later(KILLED_S + DOWN_S, simulation.start_all)
    return simulation


@pytest.mark.parametrize("discovery", DISCOVERIES)
def test_thirty_proxies_restarted_at_once_are_ready_in_time_and_serve_with_their_known_list(discovery):
    simulation = simulate_restart(discovery)
    summary = simulation.run()
    assert_ready(simulation)
    assert not broken(summary), summary["breaches"]
    assert summary["service"] > 0.85, summary["ends"]


@pytest.mark.parametrize("discovery", DISCOVERIES)
def test_thirty_proxies_without_a_list_are_ready_in_time_reject_and_then_serve(discovery):
    simulation = simulate_restart(discovery, known_rows=[])
    for population in simulation.populations:
        population.start()
    # A slow discovery answers the polls one after the other; by this time it has answered all of them.
    answered_s = {"down": DISCOVERY_BACK_S, "slow": KILLED_S + DOWN_S + PROXIES / 5.0}.get(
        discovery, KILLED_S + DOWN_S
    )
    simulation.net.run_for(answered_s + MAX_CHANGE_DELAY_S - 0.4)
    assert_ready(simulation)
    if discovery != "overloaded":  # An overloaded discovery goes on refusing some of the polls.
        assert simulation.up_to_date_count() == PROXIES
    simulation.net.run_for(5.0)
    assert not any(simulation.checker.counts[rule] for rule in RULES), simulation.checker.breaches


def assert_ready(simulation):
    assert all(proxy.starts == 2 for proxy in simulation.proxies)
    in_time = [elapsed_s for elapsed_s in simulation.startup_times_s() if elapsed_s <= READY_S]
    assert len(in_time) >= READY_SHARE * PROXIES, simulation.startup_times_s()


def test_the_check_notices_processes_that_listen_late(monkeypatch):
    """Shows that `assert_ready` can fail."""
    simulation = simulate_restart("up")
    start = Proxy.start

    def start_late(proxy, **options):
        proxy._reactor.callLater(READY_S + 1.0, lambda: start(proxy, **options))

    simulation.net.callLater(KILLED_S, monkeypatch.setattr, Proxy, "start", start_late)
    simulation.net.run_for(KILLED_S + DOWN_S + READY_S + 2.0)
    with pytest.raises(AssertionError):
        assert_ready(simulation)


# Real processes -----------------------------------------------------------------------------------

REAL_PROXIES = 4


@pytest.fixture
def proxies(tmp_path):
    fixtures = []
    for number in range(REAL_PROXIES):
        folder = tmp_path / str(number)
        folder.mkdir()
        fixtures.append(ProxyFixture(folder))
    yield fixtures
    for proxy in fixtures:
        proxy.close()


@pytest.mark.parametrize(("known", "delay_s"), [("known", 0.0), ("known", 2.5), ("none", 2.5)])
def test_real_processes_killed_at_once_are_ready_and_serve(proxies, known, delay_s):
    configurations = [json.loads(proxy.config.read_text()) for proxy in proxies]
    # All proxies get the same list, with the node of the first one.
    members = configurations[0]["known"]["members"]
    with serving(("127.0.0.1", 0), members, delay_s) as discovery:
        for proxy, config in zip(proxies, configurations, strict=True):
            config["discovery"] = f"127.0.0.1:{discovery.server_address[1]}"
            if known == "none":
                config["known"] = {"revision": 0, "complete": True, "members": []}
            proxy.config.write_text(json.dumps(config))
        for process in [proxy.start() for proxy in proxies]:
            process.ready().end(signal.SIGKILL)
        started_s = time.monotonic()
        for proxy in proxies:
            proxy.start()
        waiting = set(proxies)
        while waiting and time.monotonic() - started_s < READY_S:
            waiting -= {proxy for proxy in waiting if is_ready(proxy)}
            time.sleep(0.01)
        assert not waiting
        for proxy in proxies:
            clients = SteadyClients(proxy.listen, 1)
            clients.wait_for_answers(5)
            clients.stop()
        if known == "none":  # Requests are rejected until the list arrives; after that nodes answer them.
            for proxy in proxies:
                proxy.processes[-1].wait_for_log("serves on")
                assert eventually_served(proxy)


def eventually_served(proxy):
    deadline_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < deadline_s:
        with socket.create_connection(proxy.listen, PATIENCE_S) as conn:
            conn.settimeout(PATIENCE_S)
            conn.sendall(b"mg k v Oq Pc=page,t=acme,d=900\r\n")
            if conn.recv(100).startswith(b"VA"):
                return True
        time.sleep(0.02)
    return False
