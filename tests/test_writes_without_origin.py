"""Where writes go while the endpoint list names no origin: nowhere, unless the mode has nodes forward them.

WIRE, `specifics.mode`: "`through`: cache nodes ... forward writes to it"; "`aside`: ... writes go to the
origin".
"""

import json

from conftest import ORIGIN_KIND, Driver
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import Player

from balancer import api
from balancer.api import ListKind, Status

KEYED, UNSAFE, ORIGIN = 1, 2, "origin"
STATUSES = [Status.OK, Status.MISS, Status.ERROR, Status.RESET, Status.FULL, Status.CONNECT_FAILED]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.booleans(), st.integers(0, 4)),
        st.tuples(st.just("ask"), st.sampled_from([0, KEYED, UNSAFE]), st.booleans()),
        st.tuples(st.just("answer"), st.integers(0, 9), st.sampled_from(STATUSES)),
        st.tuples(st.just("wait"), st.integers(1, 400), st.none()),
    ),
    max_size=25,
)


class Fleet:
    """One balancer in one mode, the list that it knows, and the attempts that are open."""

    def __init__(self, has_origin_kind):
        self.drive = Driver(origin=has_origin_kind)
        self.has_origin_kind = has_origin_kind
        self.listed = {*self.drive.names, *([ORIGIN] if has_origin_kind else [])}
        self.writes = set()
        self.open = []  # (request, number of its attempt)
        self.checked = {}  # request -> how many of its attempts have been looked at

    def change_list(self, with_origin, nodes):
        names = self.drive.names[:nodes]
        entries = [api.ServerEntry(name) for name in names]
        if with_origin and self.has_origin_kind:
            entries.append(api.ServerEntry(ORIGIN, machine_type=ORIGIN_KIND))
        self.listed = {entry.name for entry in entries}
        self.drive.list(ListKind.CACHED, entries)

    def ask(self, class_number, write):
        name = self.drive.ask("k", class_number, write=write)
        if write:
            self.writes.add(name)

    def answer(self, place, status):
        if self.open:
            name, number = self.open.pop(place % len(self.open))
            over = status is Status.OK
            server = self.drive.sends[name][number]
            self.drive.handle(api.AttemptEnded(name, server, number, status, 1.0, over))

    def check(self):
        for name, servers in self.drive.sends.items():
            for number in range(self.checked.get(name, 0), len(servers)):
                server = servers[number]
                self.open.append((name, number))
                assert server in self.listed
                if name in self.writes and self.has_origin_kind:
                    assert server == ORIGIN
            self.checked[name] = len(servers)


@settings(max_examples=400)
@given(st.booleans(), STEPS)
def test_each_request_goes_to_a_kind_of_server_that_its_mode_allows(has_origin_kind, steps):
    # Guards against a write that a cache node takes and the origin never hears of.
    fleet = Fleet(has_origin_kind)
    for kind, first, second in steps:
        if kind == "list":
            fleet.change_list(first, second)
        elif kind == "ask":
            fleet.ask(first, second)
        elif kind == "answer":
            fleet.answer(first, second)
        else:
            fleet.drive.pass_time(float(first))
        fleet.check()


def test_a_write_without_an_origin_is_refused_at_once_as_not_run(drive):
    balancer = drive()
    balancer.list(ListKind.CACHED, [api.ServerEntry(name) for name in balancer.names])
    name = balancer.ask(cls=UNSAFE, write=True)
    assert name not in balancer.sends
    assert isinstance(balancer.ended[name], api.Reject)
    assert balancer.ended[name].reason == "no_origin"


def test_a_write_in_flight_when_the_origin_leaves_the_list_is_failed_if_it_may_have_run(drive):
    balancer = drive()
    name = balancer.ask(cls=UNSAFE, write=True)
    assert balancer.sends[name] == [ORIGIN]
    balancer.list(ListKind.CACHED, [api.ServerEntry(server) for server in balancer.names])
    balancer.answer(name, Status.RESET)
    assert balancer.sends[name] == [ORIGIN]
    assert isinstance(balancer.ended[name], api.Fail)


def test_a_write_that_never_ran_is_refused_when_the_origin_has_left_the_list(drive):
    balancer = drive()
    name = balancer.ask(cls=UNSAFE, write=True)
    balancer.list(ListKind.CACHED, [api.ServerEntry(server) for server in balancer.names])
    balancer.answer(name, Status.CONNECT_FAILED)
    assert isinstance(balancer.ended[name], api.Reject)


def test_a_write_that_waits_for_the_origin_is_sent_as_soon_as_it_is_listed_again(drive):
    # Guards against a queued write that no event of the origin brings on, since it has no attempt left.
    balancer = drive(peers_total=1)
    names = []
    while len(balancer.sends) == len(names):
        names.append(balancer.ask(key=f"k{len(names)}", cls=UNSAFE, write=True))
    waiting = names[-1]
    assert waiting not in balancer.sends
    balancer.list(ListKind.CACHED, [api.ServerEntry(server) for server in balancer.names])
    for name in names[:-1]:
        balancer.answer(name, Status.OK)
    assert waiting not in balancer.sends
    origin = api.ServerEntry("origin-2", machine_type=ORIGIN_KIND)
    balancer.list(ListKind.CACHED, [*(api.ServerEntry(server) for server in balancer.names), origin])
    assert balancer.sends[waiting] == ["origin-2"]


def listing(revision, phase):
    """Returns discovery's answer: a change of the origin alone."""
    member = {"id": "origin", "host_port": "127.0.0.9:200", "flavor": "origin", "phase": phase}
    return json.dumps({"revision": revision, "complete": False, "members": [member]})


def test_a_write_while_discovery_lists_no_origin_reaches_no_cache_node():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    player.play(f"discovery send 200 {listing(42, 'terminated')}\ndiscovery expect GET *")
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\nclient expect SERVER_ERROR busy 50")
    assert not [port for _, port, *_ in player.reactor.tcpClients if port == player.ports["s1"]]
    player.play(f"discovery send 200 {listing(43, 'in_service')}")
    player.play("client send ms k1 1 O2 Pc=order,t=acme,d=900|a\norigin expect PUT /k1 *\norigin send 200 r1")
    player.play("client expect HD O2 cr1")
