"""Nine in ten restarted processes are ready within 10 s, whatever discovery does, and then serve.

A proxy listens with the list that it had (`known`) before it polls discovery. One that has no list yet
rejects requests at once, and serves as soon as it has one.
"""

import json
import signal
import socket
import time

import pytest
from short_scenarios import broken, short
from test_processes import says_mn

from cloverwell.proxy import Proxy
from lab.invariant_checker import RULES
from lab.processes import PATIENCE_S, ProxyFixture, SteadyClients
from lab.scenario import DiscoveryCapacity
from lab.simulation import Simulation
from lab.web import serving

READY_S = 10.0  # required of nine in ten
READY_SHARE = 0.9
PROXIES = 30
KILLED_S, DEAD_S, BACK_S = 1.0, 0.5, 5.0  # when all are killed, for how long, and discovery is back
MAX_CHANGE_DELAY_S = 6.0
DISCOVERIES = {
    "up": DiscoveryCapacity(),
    "down": DiscoveryCapacity(),
    "slow": DiscoveryCapacity(calls_per_s=5.0, wait_s=30.0),  # the last call is answered 6 s after the first
    "overbooked": DiscoveryCapacity(calls_per_s=2.0, wait_s=1.0),  # nearly all calls are refused
}


class Restarts(Simulation):
    """A simulation that kills all proxies at once, and chooses the list with which they start again."""

    known_rows = None  # None: the list as it is
    _starting = False

    def __init__(self, world, seed):
        self.started_s, self.ready_s = {}, {}
        super().__init__(world, seed)

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

    def took_s(self):
        """From each process's start to its first answer that it is ready."""
        return [self.ready_s[name] - at for name, at in self.started_s.items() if name in self.ready_s]

    def settings(self, number):
        return super().settings(number) | {"granularity": 20.0}  # coarse timers: for the test's speed

    def knowing(self):
        return sum(
            proxy.process.proxy.endpoint_discovery.current_list().revision >= self.discovery.revision
            for proxy in self.proxies
        )


def restarted(discovery, known_rows=None, seed=1):
    world = short("calm", 8.0, [], 60.0, proxies=PROXIES, discovery=DISCOVERIES[discovery])
    play = Restarts(world, seed)
    later = play.net.callLater
    later(KILLED_S, setattr, play, "known_rows", known_rows)
    later(KILLED_S, play.kill_all)
    if discovery == "down":
        later(KILLED_S, play.discovery.die)
        later(BACK_S, play.discovery.live)
    later(KILLED_S + DEAD_S, play.start_all)
    return play


@pytest.mark.parametrize("discovery", DISCOVERIES)
def test_thirty_restarted_at_once_are_ready_in_time_and_serve_from_the_list_they_had(discovery):
    play = restarted(discovery)
    summary = play.run()
    assert_ready(play)
    assert not broken(summary), summary["breaches"]
    assert summary["service"] > 0.85, summary["ends"]


@pytest.mark.parametrize("discovery", DISCOVERIES)
def test_thirty_that_never_had_a_list_are_ready_in_time_refuse_and_then_serve(discovery):
    play = restarted(discovery, known_rows=[])
    for population in play.populations:
        population.start()
    # A slow discovery answers the polls one after the other; by this time it has answered all of them.
    from_s = {"down": BACK_S, "slow": KILLED_S + DEAD_S + PROXIES / 5.0}.get(discovery, KILLED_S + DEAD_S)
    play.net.run_for(from_s + MAX_CHANGE_DELAY_S - 0.4)
    assert_ready(play)
    if discovery != "overbooked":  # there some polls are refused each time
        assert play.knowing() == PROXIES
    play.net.run_for(5.0)
    assert not any(play.checker.counts[rule] for rule in RULES), play.checker.breaches


def assert_ready(play):
    assert all(proxy.starts == 2 for proxy in play.proxies)
    ready = [took for took in play.took_s() if took <= READY_S]
    assert len(ready) >= READY_SHARE * PROXIES, play.took_s()


def test_processes_that_listen_late_are_seen(monkeypatch):
    """The measurement above can fail."""
    play = restarted("up")
    start = Proxy.start

    def start_late(service, **how):
        service._reactor.callLater(READY_S + 1.0, lambda: start(service, **how))

    play.net.callLater(KILLED_S, monkeypatch.setattr, Proxy, "start", start_late)
    play.net.run_for(KILLED_S + DEAD_S + READY_S + 2.0)
    with pytest.raises(AssertionError):
        assert_ready(play)


# Real processes -----------------------------------------------------------------------------------

FEW = 4


@pytest.fixture
def places(tmp_path):
    instances = []
    for number in range(FEW):
        folder = tmp_path / str(number)
        folder.mkdir()
        instances.append(ProxyFixture(folder))
    yield instances
    for place in instances:
        place.close()


@pytest.mark.parametrize(("known", "delay_s"), [("known", 0.0), ("known", 2.5), ("none", 2.5)])
def test_real_processes_killed_at_once_are_ready_and_serve(places, known, delay_s):
    configurations = [json.loads(place.config.read_text()) for place in places]
    # One node for all: discovery tells the same to each.
    members = configurations[0]["known"]["members"]
    with serving(("127.0.0.1", 0), members, delay_s) as discovery:
        for place, config in zip(places, configurations, strict=True):
            config["discovery"] = f"127.0.0.1:{discovery.server_address[1]}"
            if known == "none":
                config["known"] = {"revision": 0, "complete": True, "members": []}
            place.config.write_text(json.dumps(config))
        for process in [place.start() for place in places]:
            process.ready().end(signal.SIGKILL)
        begun = time.monotonic()
        for place in places:
            place.start()
        waiting = set(places)
        while waiting and time.monotonic() - begun < READY_S:
            waiting -= {place for place in waiting if says_mn(place)}
            time.sleep(0.01)
        assert not waiting
        for place in places:
            clients = SteadyClients(place.listen, 1)
            clients.wait_for_answers(5)
            clients.stop()
        if known == "none":  # requests were rejected until the list arrived; after that nodes answer
            for place in places:
                place.processes[-1].wait_for_log("serves on")
                assert eventually_served(place)


def eventually_served(place):
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        with socket.create_connection(place.listen, PATIENCE_S) as conn:
            conn.settimeout(PATIENCE_S)
            conn.sendall(b"mg k v Oq Pc=page,t=acme,d=900\r\n")
            if conn.recv(100).startswith(b"VA"):
                return True
        time.sleep(0.02)
    return False
