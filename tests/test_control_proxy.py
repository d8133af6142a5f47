"""The control log in a proxy: how a version takes effect, the wait at the start, and what operators see."""

import json

import pytest
from control_net_rig import Reactor, RecordingLog, frame

from cloverwell.config import parse_config
from cloverwell.control.configuration import document_digest
from cloverwell.control.entry import START_POSITION, Entry
from cloverwell.control.messages import Acknowledge, Entries, FleetCount, Heartbeat
from cloverwell.control.proxy.proxy_control import CHECK_INTERVAL_MS, ProxyControl
from cloverwell.front.operators import OperatorHttpFactory
from cloverwell.timer_wheel import TimerWheel
from lab.proxy_testbed import SETTINGS

OWN_CONFIG = {
    "name": "proxy-1",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": SETTINGS | {"peers-total": 40},
    "control": {"nodes": [{"name": "a", "address": "127.0.0.1:7"}], "wait_ms": 2000},
}
CHANGE = json.dumps({"discovery": "127.0.0.1:9", "settings": SETTINGS | {"peers-total": 50}}).encode()
REFUSED_CHANGE = json.dumps({"discovery": "127.0.0.1:8", "settings": SETTINGS | {"granularity": 11}}).encode()


class ProxyRig:
    """A `ProxyControl` and a simulated control node. `changes` are the changes that it made to the proxy."""

    def __init__(self, environ=None):
        self.reactor, self.log = Reactor(), RecordingLog()
        self.changes, self.ready_calls = [], 0
        self.timer_wheel = TimerWheel(self.reactor, 5.0, self.reactor.now_ms)
        self.timer_wheel.start()
        config = parse_config(json.dumps(OWN_CONFIG).encode(), environ or {})
        self.control = ProxyControl(self.reactor, self.timer_wheel, self.log, config, self, environ or {})
        self.control.start(self.on_ready)
        self.node = self.reactor.attempts[0].succeed()
        (self.subscribe,) = self.node.messages()
        self.position = START_POSITION

    def on_ready(self):
        self.ready_calls += 1

    def activate(self, discovery, peers_total):
        self.changes.append((discovery, peers_total))

    def set_peers_total(self, peers_total):
        self.changes.append(peers_total)

    def receive(self, message):
        self.reactor.attempts[0].protocol.dataReceived(frame(message))

    def commit(self, *payloads, kind="configuration"):
        """Makes the node send an entry for each payload."""
        entries = []
        position = self.position
        for payload in payloads:
            entries.append(Entry(position.index + 1, 1, kind, payload, f"p{position.index}"))
            position = position.after(entries[-1])
        self.receive(Entries(self.position, tuple(entries)))
        self.position = position

    def report_live_proxies(self, number):
        """Makes the node send a heartbeat: no entry is missing, and so many proxies are alive."""
        self.receive(Heartbeat(self.position, self.subscribe.token, 5000.0, FleetCount(number, 0, True)))

    def pass_time(self, ms):
        for _ in range(int(ms / 5)):
            self.reactor.advance(0.005)

    def acknowledged(self):
        """Returns the last acknowledgement that the proxy sent."""
        return [message for message in self.node.messages() if isinstance(message, Acknowledge)][-1]


@pytest.fixture
def rig():
    return ProxyRig()


def test_a_version_takes_effect_in_one_call_and_is_logged(rig):
    rig.commit(CHANGE)
    assert rig.changes == [(("127.0.0.1", 9), 50)]
    assert rig.acknowledged().refused_index == 0
    line = (
        f"info version: 1 active, digest {document_digest(CHANGE)}: discovery is at 127.0.0.1:9, 50 proxies"
    )
    assert line in rig.log.lines
    assert f"version=1 digest={document_digest(CHANGE)} position=1" in rig.control.describe()


def test_a_version_that_cannot_be_loaded_changes_nothing(rig):
    # Its discovery address could change at run time, but a version is applied as a whole or not at all.
    rig.commit(CHANGE, REFUSED_CHANGE)
    assert rig.changes == [(("127.0.0.1", 9), 50)]
    last = rig.acknowledged()
    assert last.refused_index == 2
    assert last.refused_reason == "settings.granularity: can't be changed at run time"
    refusals = [line for line in rig.log.lines if "2 refused" in line]
    assert len(refusals) == 1
    assert "version 1 stays active" in refusals[0]
    assert document_digest(REFUSED_CHANGE) in refusals[0]
    assert "version=1" in rig.control.describe()
    assert "refused=2" in rig.control.describe()
    rig.commit(CHANGE)
    assert len(rig.changes) == 2
    assert "refused=0" in rig.control.describe()


def test_an_entry_of_an_unknown_kind_is_refused(rig):
    rig.commit(b"key", kind="purge")
    assert rig.changes == []
    last = rig.acknowledged()
    assert (last.position, last.refused_index) == (rig.position, 1)
    assert "purge" in last.refused_reason


def test_bounds_are_divided_by_the_number_of_live_proxies_while_it_is_known(rig):
    rig.commit(CHANGE)
    rig.report_live_proxies(30)
    rig.pass_time(2 * CHECK_INTERVAL_MS)
    assert rig.changes[1:] == [30]
    assert "info fleet: fleet-wide bounds are now divided by 30 proxies" in rig.log.lines
    rig.commit(CHANGE)
    assert rig.changes[2:] == [(("127.0.0.1", 9), 30)]
    rig.pass_time(10_000)  # The lease expires, as no further heartbeat arrives.
    assert rig.changes[3:] == [50]


def test_a_starting_proxy_is_ready_once_it_has_caught_up(rig):
    rig.commit(CHANGE)
    rig.pass_time(500)
    assert not rig.ready_calls
    rig.report_live_proxies(1)
    rig.pass_time(100)
    assert rig.ready_calls == 1
    assert "info control: caught up with the control log at index 1" in rig.log.lines
    rig.pass_time(5000)
    assert rig.ready_calls == 1


def test_a_proxy_that_cannot_catch_up_is_ready_after_the_wait(rig):
    rig.pass_time(1900)
    assert not rig.ready_calls
    rig.pass_time(200)
    assert rig.ready_calls == 1
    assert "warn control: not caught up with the control log in time, serving at index 0" in rig.log.lines


def test_a_stop_ends_the_checks_and_a_resume_connects_again(rig):
    rig.control.stop()
    rig.control.stop()
    rig.pass_time(5000)
    assert not rig.ready_calls
    assert len(rig.reactor.attempts) == 1
    rig.control.resume()
    rig.control.resume()
    assert len(rig.reactor.attempts) == 2


@pytest.mark.parametrize(
    ("described", "method", "status"),
    [("version=1", "GET", 200), ("version=1", "PUT", 405), (None, "GET", 404)],
)
def test_get_configuration_returns_the_state_of_the_control_log_if_there_is_one(described, method, status):
    class OperatorService:
        def ready(self):
            return True

        drain = undrain = ready

        def configuration(self):
            return described

    answer = OperatorHttpFactory(OperatorService(), None, RecordingLog()).answer(method, "/configuration")
    assert answer[0] == status
    assert status != 200 or answer[1] == described
