"""A hollow proxy by itself: the list it begins with, its log, and the control clients plugged into it."""

import io

import msgspec

from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.net import Net
from lab.scale import control_clients, messages, plan
from lab.scale.hollow import HollowProxy, NamedLog
from lab.scale.membership import digest
from lab.scale.scenario import load

MEMBERS = [
    Endpoint("node-0", "127.0.0.1:1", "east-0", "large"),
    Endpoint("node-1", "127.0.0.1:2", "west-0", "large"),
]


def hollow(rows, log=None):
    """A hollow proxy on a network that stands still."""
    world = load("small")
    place = plan.place_proxies(world, "hollow", 1)[0]
    settings = plan.hollow_settings(world, place)
    spec = messages.HollowSpec(place.name, place.seed, ("127.0.0.1", 9), settings)
    known = EndpointList(7, True, MEMBERS)
    return HollowProxy(Net(), spec, known, log or io.StringIO(), rows.append, incarnation=2)


def test_it_begins_with_the_known_list_and_reports_it():
    rows = []
    proxy = hollow(rows)
    proxy.start()
    found = [(row.proxy, row.incarnation, row.revision, row.held) for row in rows]
    assert found == [(proxy.name, 2, 7, True)]
    assert rows[0].lines == 2
    final = proxy.final_list()
    assert (final.revision, final.digest) == (7, digest(MEMBERS))
    assert proxy.service.pools.node_names() == {"node-0", "node-1"}


def test_it_opens_no_port():
    proxy = hollow([])
    proxy.start()
    assert not proxy.service._reactor.listeners


def test_a_failed_call_is_counted():
    proxy = hollow([])
    proxy.start()
    proxy.service.endpoint_discovery.request_poll()
    proxy.service.endpoint_discovery.poll_failed("for the test")
    assert proxy.failed_calls == 1


def test_each_line_of_a_log_has_the_proxys_name():
    log = io.StringIO()
    hollow([], log).start()
    assert log.getvalue().splitlines()
    assert all(line.startswith("hollow-proxy-0 ") for line in log.getvalue().splitlines())
    named = NamedLog("p", log)
    print("a line", file=named)
    assert log.getvalue().endswith("\np a line\n")


class Follower:
    """A control client that has something in force at once."""

    def __init__(self, context):
        self.context = context
        self.calls = []

    def start(self):
        self.calls.append("start")
        self.context.record_activation("settings", 99, False, 3)

    def stop(self):
        self.calls.append("stop")


def test_a_control_client_is_started_heard_and_stopped(monkeypatch):
    made, rows = [], []

    def factory(context):
        made.append(Follower(context))
        return made[-1]

    monkeypatch.setattr(control_clients, "FACTORIES", (factory,))
    proxy = hollow(rows)
    proxy.start()
    assert made[0].context.name == proxy.name
    assert made[0].context.service is proxy.service
    row = rows[-1]
    assert (row.source, row.revision, row.lines, row.held) == ("settings", 99, 3, False)
    assert {other.source for other in rows[:-1]} == {messages.SERVER_LIST}
    proxy.stop()
    assert made[0].calls == ["start", "stop"]


def test_an_answer_of_discovery_is_taken_and_its_cost_noted():
    rows = []
    proxy = hollow(rows)
    proxy.start()
    proxy.service.endpoint_discovery.request_poll()
    listing = EndpointList(8, False, [Endpoint("node-2", "127.0.0.1:3", "east-0", "large")])
    proxy.service.endpoint_discovery.poll_answered(200, msgspec.json.encode(listing))
    assert (rows[-1].revision, rows[-1].lines, rows[-1].held) == (8, 1, False)
    assert rows[-1].cpu_ms > 0.0
    assert rows[0].cpu_ms == 0.0
    assert proxy.service.pools.node_names() == {"node-0", "node-1", "node-2"}
