"""A proxy under the control log: one point for a change, the wait of a start, and what operators see."""

import json

import pytest
from control_net_rig import Lines, Reactor, frame

from cloverwell.config import parse_config
from cloverwell.control.configuration import digest
from cloverwell.control.entry import START, Entry
from cloverwell.control.messages import Acknowledge, Entries, FleetCount, Heartbeat
from cloverwell.control.proxy.proxy_control import CHECK_INTERVAL_MS, ProxyControl
from cloverwell.front.operators import OperatorHttpFactory
from cloverwell.timer_wheel import TimerWheel
from lab.proxy_testbed import SETTINGS

OWN = {
    "name": "proxy-1",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": SETTINGS | {"peers-total": 40},
    "control": {"nodes": [{"name": "a", "address": "127.0.0.1:7"}], "wait_ms": 2000},
}
CHANGE = json.dumps({"discovery": "127.0.0.1:9", "settings": SETTINGS | {"peers-total": 50}}).encode()
BAD = json.dumps({"discovery": "127.0.0.1:8", "settings": SETTINGS | {"granularity": 11}}).encode()


class Played:
    """A proxy's part before a control node of the test's own; `done` is what it did to the proxy."""

    def __init__(self, environ=None):
        self.reactor, self.lines = Reactor(), Lines()
        self.done, self.ready = [], 0
        self.timer_wheel = TimerWheel(self.reactor, 5.0, self.reactor.now_ms)
        self.timer_wheel.start()
        config = parse_config(json.dumps(OWN).encode(), {})
        self.control = ProxyControl(self.reactor, self.timer_wheel, self.lines, config, self, environ or {})
        self.control.start(self.on_ready)
        self.node = self.reactor.tries[0].succeed()
        (self.subscribe,) = self.node.messages()
        self.position = START

    def on_ready(self):
        self.ready += 1

    def activate(self, discovery, peers_total):
        self.done.append((discovery, peers_total))

    def set_peers_total(self, peers_total):
        self.done.append(peers_total)

    def tell(self, message):
        self.reactor.tries[0].protocol.dataReceived(frame(message))

    def commit(self, *payloads, kind="configuration"):
        entries = []
        position = self.position
        for payload in payloads:
            entries.append(Entry(position.index + 1, 1, kind, payload, f"p{position.index}"))
            position = position.after(entries[-1])
        self.tell(Entries(self.position, tuple(entries)))
        self.position = position

    def lives(self, number):
        """The node says that all is known, and that so many proxies live."""
        self.tell(Heartbeat(self.position, self.subscribe.token, 5000.0, FleetCount(number, 0, True)))

    def pass_time(self, ms):
        for _ in range(int(ms / 5)):
            self.reactor.advance(0.005)

    def acknowledged(self):
        return [message for message in self.node.messages() if isinstance(message, Acknowledge)][-1]


@pytest.fixture
def played():
    return Played()


def test_a_version_takes_effect_at_one_point_and_is_logged(played):
    played.commit(CHANGE)
    assert played.done == [(("127.0.0.1", 9), 50)]
    assert played.acknowledged().refused_index == 0
    line = f"info version: 1 in force, digest {digest(CHANGE)}: discovery is at 127.0.0.1:9, 50 proxies"
    assert line in played.lines.lines
    assert f"version=1 digest={digest(CHANGE)} position=1" in played.control.describe()


def test_of_a_version_that_cannot_be_loaded_nothing_takes_effect(played):
    # Its discovery could change at run time, and must not: half of a version is in force nowhere.
    played.commit(CHANGE, BAD)
    assert played.done == [(("127.0.0.1", 9), 50)]
    last = played.acknowledged()
    assert last.refused_index == 2
    assert last.refused_reason == "settings.granularity: can't be changed at run time"
    refusals = [line for line in played.lines.lines if "2 refused" in line]
    assert len(refusals) == 1
    assert "version 1 stays in force" in refusals[0]
    assert digest(BAD) in refusals[0]
    assert "version=1" in played.control.describe()
    assert "refused=2" in played.control.describe()
    played.commit(CHANGE)
    assert len(played.done) == 2
    assert "refused=0" in played.control.describe()


def test_a_kind_that_this_proxy_does_not_know_is_not_called_in_force(played):
    played.commit(b"key", kind="purge")
    assert played.done == []
    last = played.acknowledged()
    assert (last.position, last.refused_index) == (played.position, 1)
    assert "purge" in last.refused_reason


def test_bounds_are_divided_by_those_that_live_while_that_is_known(played):
    played.commit(CHANGE)
    played.lives(30)
    played.pass_time(2 * CHECK_INTERVAL_MS)
    assert played.done[1:] == [30]
    assert "info fleet: bounds are divided by 30" in played.lines.lines
    played.commit(CHANGE)
    assert played.done[2:] == [(("127.0.0.1", 9), 30)]
    played.pass_time(10_000)  # nothing is heard any more
    assert played.done[3:] == [50]


def test_a_start_is_ready_once_it_is_caught_up(played):
    played.commit(CHANGE)
    played.pass_time(500)
    assert not played.ready
    played.lives(1)
    played.pass_time(100)
    assert played.ready == 1
    assert "info control: caught up at 1" in played.lines.lines
    played.pass_time(5000)
    assert played.ready == 1


def test_a_start_without_control_is_ready_after_the_wait(played):
    played.pass_time(1900)
    assert not played.ready
    played.pass_time(200)
    assert played.ready == 1
    assert "warn control: serves without being caught up, at 0" in played.lines.lines


def test_after_a_stop_nothing_is_checked_and_a_resume_goes_on(played):
    played.control.stop()
    played.control.stop()
    played.pass_time(5000)
    assert not played.ready
    assert len(played.reactor.tries) == 1
    played.control.resume()
    played.control.resume()
    assert len(played.reactor.tries) == 2


@pytest.mark.parametrize(
    ("described", "method", "status"),
    [("version=1", "GET", 200), ("version=1", "PUT", 405), (None, "GET", 404)],
)
def test_operators_ask_for_the_configuration_where_a_control_log_describes_it(described, method, status):
    class OperatorService:
        def ready(self):
            return True

        drain = undrain = ready

        def configuration(self):
            return described

    answer = OperatorHttpFactory(OperatorService(), None, Lines()).answer(method, "/configuration")
    assert answer[0] == status
    assert status != 200 or answer[1] == described
