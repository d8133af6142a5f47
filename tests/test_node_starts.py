"""Starts of cache nodes, which discovery gives in Unix time, with steps of the machines' wall clocks."""

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import EPOCH_MS, Player

from cloverwell.config import ConfigError, parse_config
from cloverwell.facade import EndpointUpdate
from cloverwell.membership.node_starts import (
    LONG_AGO,
    MAX_REMOVED,
    REGISTRATION_DELAY_SHARE,
    KnownStarts,
    NodeStart,
    NodeStarts,
)

HOUR_MS = 3_600_000.0
WARM_UP_MS = 1000.0  # the player's settings: `cold`


# A whole proxy, as discovery feeds it --------------------------------------------------------------


class Fleet:
    """A proxy with the lists of the test. `stepped_ms`: step of its wall clock before the first one."""

    def __init__(self, known=(), stepped_ms=0.0):
        self.player = Player()
        self.player.epoch_ms -= stepped_ms
        self.player.play("wait 100\ndiscovery expect GET *")
        self.revision = 41
        self.take(known)

    @property
    def now(self):
        return self.player.now()

    def take(self, members, complete=False):
        """`members`: (id, how long ago it started by the proxy's clock, or None for `long ago`)."""
        self.revision += 1
        rows = [
            {"id": name, "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": self.unix(age)}
            for name, age in members
        ]
        listing = {"revision": self.revision, "complete": complete, "members": rows}
        self.player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")

    def unix(self, age):
        return 0.0 if age is None else self.now - EPOCH_MS - age

    def wait(self, ms):
        self.player.play(f"wait {ms}")

    def cold_ms(self, node):
        """Return how long the node still warms up, to the connections and to the balancer."""
        service = self.player.service
        cold_ms = service.node_policy._nodes[node].cold_until_ms - self.now
        server = service.facade._balancer._servers[node]
        assert server.warm_up_start_ms + WARM_UP_MS - self.now == pytest.approx(cold_ms, abs=0.01)
        return max(0.0, cold_ms)


def test_a_start_just_now_is_cold_and_one_of_long_ago_is_not():
    fleet = Fleet([("new", 100.0), ("old", HOUR_MS), ("ages", None)])
    assert fleet.cold_ms("new") == pytest.approx(900.0)
    assert fleet.cold_ms("old") == fleet.cold_ms("ages") == 0.0


@pytest.mark.parametrize("ahead_ms", [1.0, 5_000.0, HOUR_MS, 1e300])
def test_a_start_in_the_future_is_one_just_now_and_its_slow_start_ends(ahead_ms):
    """The proxy began on a machine that was stepped back, or the node's was ahead."""
    fleet = Fleet([("s9", -ahead_ms)])
    assert fleet.cold_ms("s9") == pytest.approx(1000.0)
    fleet.wait(1000)
    assert fleet.cold_ms("s9") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -3_000.0, 3_000.0, HOUR_MS])
def test_a_node_that_starts_after_a_step_is_cold_for_one_warm_up(step_ms):
    fleet = Fleet()
    fleet.wait(500)
    fleet.take([("s9", -step_ms)])
    assert fleet.cold_ms("s9") == pytest.approx(1000.0)
    fleet.wait(1000)
    assert fleet.cold_ms("s9") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -3_000.0, 3_000.0, HOUR_MS])
def test_a_node_that_starts_after_a_step_is_cold_in_the_first_list_too(step_ms):
    """No list before it tells how old it may be, but this machine's own clock shows the step."""
    fleet = Fleet([("s9", 100.0 - step_ms), ("old", 3 * HOUR_MS)], stepped_ms=step_ms)
    assert fleet.cold_ms("s9") == pytest.approx(900.0)
    assert fleet.cold_ms("old") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -3_000.0, 3_000.0, HOUR_MS])
def test_a_step_of_this_machine_alone_makes_no_node_older_than_it_is_told(step_ms):
    fleet = Fleet([("s9", 100.0), ("old", 3 * HOUR_MS)], stepped_ms=step_ms)
    assert fleet.cold_ms("s9") == pytest.approx(900.0)
    assert fleet.cold_ms("old") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -1.0, 1.0, HOUR_MS])
def test_a_restart_is_seen_whichever_way_its_number_goes(step_ms):
    fleet = Fleet([("s9", HOUR_MS / 2)])
    fleet.wait(500)
    fleet.take([("s9", HOUR_MS / 2 + 500.0 - step_ms)])
    assert fleet.cold_ms("s9") == pytest.approx(1000.0)


def test_a_mark_of_silence_is_lifted_by_a_restart_with_a_smaller_number():
    fleet = Fleet([("s9", 2000.0)])
    server = fleet.player.service.facade._balancer._servers["s9"]
    server.ejected_at_ms = fleet.now
    fleet.wait(10)
    fleet.take([("s9", HOUR_MS)])
    assert server.ejected_at_ms is None


@pytest.mark.parametrize("number", [-1.0, -1e15, -1e308, 1e308, 5e-324])
def test_absurd_numbers_are_lived_with(number):
    fleet = Fleet()
    row = {"id": "s9", "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": number}
    listing = {"revision": 50, "complete": False, "members": [row]}
    fleet.player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")
    assert fleet.cold_ms("s9") == pytest.approx(1000.0)
    fleet.wait(1001)
    assert fleet.cold_ms("s9") == 0.0
    assert "fault" not in fleet.player.log.getvalue()


@pytest.mark.parametrize("number", ['"now"', "null", "1e400", "NaN", "[]", "true"])
def test_what_is_no_number_costs_one_line_and_the_list_stays(number):
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    row = f'{{"id":"s9","host_port":"127.0.0.9:209","up_since_ms":{number}}}'
    player.play(f'discovery send 200 {{"revision":42,"complete":true,"members":[{row}]}}')
    assert player.log.getvalue().count("call failed: malformed") == 1
    assert {member.id for member in player.service.endpoint_discovery.current_list().members} == {
        "s1",
        "origin",
    }
    assert player.service.endpoint_discovery.node_starts().starts == {}


@pytest.mark.parametrize("number", ['"now"', "null", "1e400"])
def test_a_configuration_with_such_a_start_is_refused_by_the_fields_name(number):
    row = f'{{"id":"s9","host_port":"127.0.0.9:209","up_since_ms":{number}}}'
    document = f'{{"known":{{"revision":1,"complete":true,"members":[{row}]}}}}'
    with pytest.raises(ConfigError, match="up_since_ms"):
        parse_config(document.encode(), {})


def test_a_list_with_a_bad_row_leaves_no_start_behind():
    """The restart in it has to be noticed when the list arrives without the malformed row."""
    fleet = Fleet([("s9", HOUR_MS)])
    before = fleet.player.service.endpoint_discovery.node_starts().starts
    rows = [
        {"id": "s9", "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": fleet.unix(0.0)},
        {"id": "bad", "host_port": "127.0.0.9:201", "phase": "asleep"},
    ]
    listing = {"revision": 50, "complete": False, "members": rows}
    fleet.player.play(f"discovery send 200 {json.dumps(listing)}")
    assert fleet.player.service.endpoint_discovery.node_starts().starts == before


def test_a_warm_node_that_was_off_the_list_for_a_while_comes_back_warm():
    """A zone that was cut off and is listed again must not be a zone full of cold nodes."""
    fleet = Fleet([("s9", HOUR_MS), ("s8", HOUR_MS)])
    up_since_ms = fleet.unix(HOUR_MS)
    fleet.wait(10)
    fleet.take([("s8", HOUR_MS + 10)], complete=True)
    assert "s9" not in fleet.player.service.facade._balancer._servers
    fleet.wait(2000)
    fleet.take([("s9", fleet.unix(0.0) - up_since_ms)])
    assert fleet.cold_ms("s9") == 0.0


# The decision without a proxy ----------------------------------------------------------------------------


def starts_at(now, listed=True):
    """A fleet of one node, `old`, as a proxy knows it that has begun an hour ago by an exact clock."""
    starts = NodeStarts(0.0, WARM_UP_MS)
    starts.record_list({"old": now - 2 * HOUR_MS}, now - HOUR_MS, 0.0, predates_process=not listed)
    return starts


def test_at_the_start_of_a_process_the_wall_clock_decides_within_its_bound():
    starts = NodeStarts(-100.0, WARM_UP_MS)
    up_since_ms = {"old": 50.0, "fresh": 1000.0, "ahead": 9000.0, "ages": 0.0}
    assert starts.record_list(up_since_ms, 1000.0, -100.0, predates_process=True) == {
        "old": -50.0,
        "fresh": 900.0,
        "ahead": 1000.0,
        "ages": LONG_AGO,
    }


def test_of_a_long_warm_up_no_more_than_a_second_is_believed_from_before_the_last_list():
    starts = NodeStarts(0.0, 20_000.0)
    starts.record_list({}, 1e9, 0.0, predates_process=False)
    up_since_ms = {"soon": 1e9 - 1000.0, "late": 1e9 - 1001.0}
    started_ms = starts.record_list(up_since_ms, 1e9 + 500.0, 0.0, predates_process=False)
    assert started_ms == {"soon": 1e9 - 1000.0, "late": 1e9 + 500.0}


def test_a_held_list_has_no_date():
    assert starts_at(1e9, listed=False).record_list(
        {"s1": 1e9 - 2 * HOUR_MS}, 1e9, 0.0, predates_process=False
    ) == {"s1": 1e9 - 2 * HOUR_MS}
    assert starts_at(1e9).record_list({"s1": 1e9 - 2 * HOUR_MS}, 1e9, 0.0, predates_process=False) == {
        "s1": 1e9
    }


def test_a_start_between_two_lists_is_believed_where_it_fits_between_them():
    starts = starts_at(1e9)
    starts.record_list({}, 1e9 + 1000.0, 0.0, predates_process=False)
    assert starts.record_list({"s1": 1e9 + 1500.0}, 1e9 + 2000.0, 0.0, predates_process=False) == {
        "s1": 1e9 + 1500.0
    }
    # One node has registered some time after its start; the clock of the other one was ahead.
    late_ms = REGISTRATION_DELAY_SHARE * WARM_UP_MS
    up_since_ms = {"s2": 1e9 + 2000.0 - late_ms, "s3": 1e9 + 1999.0 - late_ms}
    assert starts.record_list(up_since_ms, 1e9 + 3000.0, 0.0, predates_process=False) == up_since_ms | {
        "s3": 1e9 + 3000.0
    }


def test_long_ago_is_no_restart():
    starts = NodeStarts(0.0, WARM_UP_MS)
    starts.record_list({"s1": 900.0}, 1000.0, 0.0, predates_process=False)
    assert starts.record_list({"s1": 0.0}, 5000.0, 0.0, predates_process=False) == {"s1": 900.0}
    assert starts.record_list({"s1": 900.0}, 6000.0, 0.0, predates_process=False) == {"s1": 900.0}


def test_a_start_at_exactly_0_is_not_taken_for_long_ago():
    started_ms = NodeStarts(0.0, WARM_UP_MS).record_list({"s1": 5.0}, 0.0, 0.0, predates_process=False)["s1"]
    assert started_ms != 0.0
    assert started_ms == pytest.approx(0.0)


def test_the_starts_of_nodes_that_are_gone_are_kept_to_a_bound():
    starts = NodeStarts(0.0, WARM_UP_MS)
    for number in range(5 * MAX_REMOVED):
        starts.record_list({f"s{number}": 1.0 + number}, 1e9 + number, 0.0, predates_process=False)
        starts.forget_removed({"s0": None, f"s{number}": None})
        assert len(starts.snapshot(1e9).starts) <= MAX_REMOVED + 2
    assert {"s0", f"s{5 * MAX_REMOVED - 1}"} <= set(starts.snapshot(1e9).starts)


# One process after another -------------------------------------------------------------------------


def test_a_successor_knows_the_starts_as_its_predecessor_did():
    """Its own wall clock is an hour behind: by it the warm node would have started just now."""
    old = starts_at(1e9)
    old.record_list({"new": 1e9 - 500.0}, 1e9, 0.0, predates_process=False)
    new = NodeStarts(HOUR_MS * 3, WARM_UP_MS)
    new.inherit(old.snapshot(1e9), 1e9 + 20.0)
    up_since_ms = {"old": 1e9 - 2 * HOUR_MS, "new": 1e9 - 500.0}
    assert new.record_list(up_since_ms, 1e9 + 20.0, 3 * HOUR_MS, predates_process=True) == up_since_ms
    # Its first list from discovery stands behind the predecessor's last one.
    assert new.record_list({"next": 5.0}, 1e9 + 100.0, 3 * HOUR_MS, predates_process=False) == {
        "next": 1e9 + 100.0
    }


def test_a_held_list_that_is_older_than_the_inherited_starts_changes_none():
    new = NodeStarts(0.0, WARM_UP_MS)
    new.inherit(KnownStarts(1e6, 1e6, {"s1": NodeStart(500.0, 9e5)}), 1e6)
    assert new.record_list({"s1": 400.0}, 1e6, 0.0, predates_process=True) == {"s1": 9e5}
    assert new.record_list({"s1": 400.0}, 1e6 + 5.0, 0.0, predates_process=False) == {"s1": 1e6 + 5.0}


def test_no_inherited_start_lies_in_the_future():
    new = NodeStarts(0.0, WARM_UP_MS)
    new.inherit(KnownStarts(1e9, 2e9, {"s1": NodeStart(500.0, 2e9)}), 1e9)
    assert new.record_list({"s1": 500.0, "s2": 1e9 - WARM_UP_MS}, 1e9, 0.0, predates_process=True) == {
        "s1": 1e9,
        "s2": 1e9,
    }


# Whatever the clocks do ----------------------------------------------------------------------------

NODES = st.sampled_from(["s1", "s2", "s3", "s4", "s5"])
STEPS = st.one_of(st.just(0.0), st.sampled_from([-HOUR_MS, HOUR_MS, -5.0, 5.0]), st.floats(-1e9, 1e9))
SLACK_MS = 1e-3  # of floating point
TICK_S = 0.005  # of the wheel
# What happens next, how many ticks after the last, to which node, and how far all wall clocks are stepped.
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "leave", "drain", "nothing", "whole"]), st.integers(1, 180), NODES, STEPS
    ),
    max_size=12,
)


def play(events, epoch_ms, stepped):
    """Play the events in the lists for one proxy; return the proxy, and its updates with their times."""
    player, updates = Player(epoch_ms=epoch_ms), []
    endpoint_discovery = player.service.endpoint_discovery
    tell = endpoint_discovery.on_update
    endpoint_discovery.on_update = lambda update: (updates.append((player.now(), update)), tell(update))
    wall_ms, rows = -EPOCH_MS, {}
    player.play("wait 100\ndiscovery expect GET *")
    for revision, (what, ticks, node, step_ms) in enumerate(events, 42):
        if stepped:
            wall_ms += step_ms
            player.epoch_ms -= step_ms
        for _ in range(ticks):
            player.reactor.advance(TICK_S)
        rows = {name: row for name, row in rows.items() if row["phase"] != "terminated"}
        if what == "start":
            rows[node] = {"id": node, "host_port": "127.0.0.9:201", "flavor": "large", "phase": "in_service",
                          "up_since_ms": max(1.0, player.now() + wall_ms)}  # fmt: skip
        elif what in ("leave", "drain") and node in rows:
            rows[node]["phase"] = "terminated" if what == "leave" else "terminating"
        whole = what == "whole"
        changed = list(rows.values()) if whole else [row for row in rows.values() if row["id"] == node]
        listing = {"revision": revision, "complete": whole, "members": changed}
        player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")
    return player, updates


def listed_nodes(player):
    return [member.id for member in player.service.endpoint_discovery.current_list().members]


def without_starts(updates):
    """Reduce updates to all but the starts: which nodes, in which states and order, and when."""
    return [
        (at, update.revision, update.complete, [(entry.name, entry.state) for entry in update.entries])
        for at, update in updates
        if isinstance(update, EndpointUpdate)
    ]


@settings(max_examples=60)
@given(EVENTS, STEPS)
def test_steps_of_the_wall_clock_change_no_decision_but_the_slow_start_within_its_bounds(events, at_start_ms):
    straight, updates = play(events, EPOCH_MS, stepped=False)
    player, updates_stepped = play(events, EPOCH_MS + at_start_ms, stepped=True)
    assert without_starts(updates) == without_starts(updates_stepped)
    assert straight.service.pools.node_names() == player.service.pools.node_names()
    assert listed_nodes(straight) == listed_nodes(player)
    assert player.log.getvalue() == straight.log.getvalue()
    known, list_before = {}, -math.inf
    for at, update in updates_stepped:
        for entry in update.entries:
            if entry.started_ms in (0.0, LONG_AGO) or known.get(entry.name) == entry.started_ms:
                continue
            # The node warms up until one warm-up from now at the latest, and at the earliest until one after
            # the list before this one, except for the time that a node may take to register.
            earliest_ms = list_before - REGISTRATION_DELAY_SHARE * WARM_UP_MS
            assert earliest_ms - SLACK_MS <= entry.started_ms <= at + SLACK_MS
            # A known start is replaced only by a later one.
            assert entry.started_ms > known.get(entry.name, LONG_AGO)
            known[entry.name] = entry.started_ms
        list_before = at
