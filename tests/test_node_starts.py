"""The starts of cache nodes, which discovery gives as Unix time, while wall clocks are stepped."""

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
    MAX_UNLISTED_NODES,
    REGISTRATION_DELAY_SHARE,
    KnownStarts,
    NodeStart,
    NodeStarts,
)

HOUR_MS = 3_600_000.0
WARM_UP_MS = 1000.0  # `cold` in the player's settings


# A whole proxy that discovery sends lists to --------------------------------------------------------


class Fleet:
    """A proxy with the test's lists. `stepped_ms`: the step of its wall clock before the first list."""

    def __init__(self, known=(), stepped_ms=0.0):
        self.player = Player()
        self.player.epoch_ms -= stepped_ms
        self.player.play("wait 100\ndiscovery expect GET *")
        self.revision = 41
        self.send_list(known)

    @property
    def now(self):
        return self.player.now()

    def send_list(self, members, complete=False):
        """Sends a list; `members`: pairs of an id and an age in ms by the proxy's clock, None if long ago."""
        self.revision += 1
        rows = [
            {"id": name, "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": self.unix_ms(age_ms)}
            for name, age_ms in members
        ]
        listing = {"revision": self.revision, "complete": complete, "members": rows}
        self.player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")

    def unix_ms(self, age_ms):
        return 0.0 if age_ms is None else self.now - EPOCH_MS - age_ms

    def wait(self, ms):
        self.player.play(f"wait {ms}")

    def remaining_warm_up_ms(self, node):
        """Returns how long the node still warms up, after checking that connections and balancer agree."""
        service = self.player.service
        remaining_ms = service.node_policy._nodes[node].cold_until_ms - self.now
        server = service.facade._balancer._servers[node]
        assert server.warm_up_start_ms + WARM_UP_MS - self.now == pytest.approx(remaining_ms, abs=0.01)
        return max(0.0, remaining_ms)


def test_a_start_just_now_is_cold_and_one_of_long_ago_is_not():
    fleet = Fleet([("new", 100.0), ("old", HOUR_MS), ("long_ago", None)])
    assert fleet.remaining_warm_up_ms("new") == pytest.approx(900.0)
    assert fleet.remaining_warm_up_ms("old") == fleet.remaining_warm_up_ms("long_ago") == 0.0


@pytest.mark.parametrize("ahead_ms", [1.0, 5_000.0, HOUR_MS, 1e300])
def test_a_start_in_the_future_is_one_just_now_and_its_slow_start_ends(ahead_ms):
    """The proxy's wall clock was stepped back before its start, or the node's wall clock was ahead."""
    fleet = Fleet([("s9", -ahead_ms)])
    assert fleet.remaining_warm_up_ms("s9") == pytest.approx(1000.0)
    fleet.wait(1000)
    assert fleet.remaining_warm_up_ms("s9") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -3_000.0, 3_000.0, HOUR_MS])
def test_a_node_that_starts_after_a_step_warms_up_once(step_ms):
    fleet = Fleet()
    fleet.wait(500)
    fleet.send_list([("s9", -step_ms)])
    assert fleet.remaining_warm_up_ms("s9") == pytest.approx(1000.0)
    fleet.wait(1000)
    assert fleet.remaining_warm_up_ms("s9") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -3_000.0, 3_000.0, HOUR_MS])
def test_a_node_that_starts_after_a_step_warms_up_in_the_first_list_too(step_ms):
    """No earlier list bounds the node's age, but the wall clock of the proxy's machine shows the step."""
    fleet = Fleet([("s9", 100.0 - step_ms), ("old", 3 * HOUR_MS)], stepped_ms=step_ms)
    assert fleet.remaining_warm_up_ms("s9") == pytest.approx(900.0)
    assert fleet.remaining_warm_up_ms("old") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -3_000.0, 3_000.0, HOUR_MS])
def test_a_step_of_the_proxys_machine_alone_makes_no_node_older(step_ms):
    fleet = Fleet([("s9", 100.0), ("old", 3 * HOUR_MS)], stepped_ms=step_ms)
    assert fleet.remaining_warm_up_ms("s9") == pytest.approx(900.0)
    assert fleet.remaining_warm_up_ms("old") == 0.0


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -1.0, 1.0, HOUR_MS])
def test_a_restart_is_noticed_whether_its_unix_time_grows_or_shrinks(step_ms):
    fleet = Fleet([("s9", HOUR_MS / 2)])
    fleet.wait(500)
    fleet.send_list([("s9", HOUR_MS / 2 + 500.0 - step_ms)])
    assert fleet.remaining_warm_up_ms("s9") == pytest.approx(1000.0)


def test_a_restart_with_an_earlier_unix_time_readmits_an_ejected_node():
    fleet = Fleet([("s9", 2000.0)])
    server = fleet.player.service.facade._balancer._servers["s9"]
    server.ejected_at_ms = fleet.now
    fleet.wait(10)
    fleet.send_list([("s9", HOUR_MS)])
    assert server.ejected_at_ms is None


@pytest.mark.parametrize("up_since_ms", [-1.0, -1e15, -1e308, 1e308, 5e-324])
def test_an_absurd_start_counts_as_a_start_now(up_since_ms):
    fleet = Fleet()
    row = {"id": "s9", "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": up_since_ms}
    listing = {"revision": 50, "complete": False, "members": [row]}
    fleet.player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")
    assert fleet.remaining_warm_up_ms("s9") == pytest.approx(1000.0)
    fleet.wait(1001)
    assert fleet.remaining_warm_up_ms("s9") == 0.0
    assert "fault" not in fleet.player.log.getvalue()


@pytest.mark.parametrize("up_since_ms", ['"now"', "null", "1e400", "NaN", "[]", "true"])
def test_a_list_with_a_malformed_start_is_logged_once_and_not_applied(up_since_ms):
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    row = f'{{"id":"s9","host_port":"127.0.0.9:209","up_since_ms":{up_since_ms}}}'
    player.play(f'discovery send 200 {{"revision":42,"complete":true,"members":[{row}]}}')
    assert player.log.getvalue().count("call failed: malformed") == 1
    assert {member.id for member in player.service.endpoint_discovery.current_list().members} == {
        "s1",
        "origin",
    }
    assert player.service.endpoint_discovery.node_starts().starts == {}


@pytest.mark.parametrize("up_since_ms", ['"now"', "null", "1e400"])
def test_the_error_for_a_malformed_start_in_a_configuration_names_the_field(up_since_ms):
    row = f'{{"id":"s9","host_port":"127.0.0.9:209","up_since_ms":{up_since_ms}}}'
    document = f'{{"known":{{"revision":1,"complete":true,"members":[{row}]}}}}'
    with pytest.raises(ConfigError, match="up_since_ms"):
        parse_config(document.encode(), {})


def test_no_start_is_recorded_from_a_list_with_a_malformed_row():
    """Otherwise the restart in it would not be noticed when the list arrives without the malformed row."""
    fleet = Fleet([("s9", HOUR_MS)])
    before = fleet.player.service.endpoint_discovery.node_starts().starts
    rows = [
        {"id": "s9", "host_port": "127.0.0.9:201", "flavor": "large", "up_since_ms": fleet.unix_ms(0.0)},
        {"id": "bad", "host_port": "127.0.0.9:201", "phase": "asleep"},
    ]
    listing = {"revision": 50, "complete": False, "members": rows}
    fleet.player.play(f"discovery send 200 {json.dumps(listing)}")
    assert fleet.player.service.endpoint_discovery.node_starts().starts == before


def test_a_warm_node_that_was_not_listed_for_a_while_does_not_warm_up_again():
    """The nodes of a zone that was cut off and is listed again must not all count as cold."""
    fleet = Fleet([("s9", HOUR_MS), ("s8", HOUR_MS)])
    up_since_ms = fleet.unix_ms(HOUR_MS)
    fleet.wait(10)
    fleet.send_list([("s8", HOUR_MS + 10)], complete=True)
    assert "s9" not in fleet.player.service.facade._balancer._servers
    fleet.wait(2000)
    fleet.send_list([("s9", fleet.unix_ms(0.0) - up_since_ms)])
    assert fleet.remaining_warm_up_ms("s9") == 0.0


# The decision without a proxy ----------------------------------------------------------------------------


def starts_at(now, listed=True):
    """Returns the starts of one node, `old`, as a proxy knows them that started an hour ago."""
    starts = NodeStarts(0.0, WARM_UP_MS)
    starts.record_list({"old": now - 2 * HOUR_MS}, now - HOUR_MS, 0.0, predates_process=not listed)
    return starts


def test_at_the_start_of_a_process_no_start_is_later_than_now():
    starts = NodeStarts(-100.0, WARM_UP_MS)
    up_since_ms = {"old": 50.0, "fresh": 1000.0, "ahead": 9000.0, "long_ago": 0.0}
    assert starts.record_list(up_since_ms, 1000.0, -100.0, predates_process=True) == {
        "old": -50.0,
        "fresh": 900.0,
        "ahead": 1000.0,
        "long_ago": LONG_AGO,
    }


def test_with_a_long_warm_up_a_start_may_precede_the_last_list_by_one_second():
    starts = NodeStarts(0.0, 20_000.0)
    starts.record_list({}, 1e9, 0.0, predates_process=False)
    up_since_ms = {"soon": 1e9 - 1000.0, "late": 1e9 - 1001.0}
    started_ms = starts.record_list(up_since_ms, 1e9 + 500.0, 0.0, predates_process=False)
    assert started_ms == {"soon": 1e9 - 1000.0, "late": 1e9 + 500.0}


def test_a_list_from_before_the_process_bounds_no_start():
    assert starts_at(1e9, listed=False).record_list(
        {"s1": 1e9 - 2 * HOUR_MS}, 1e9, 0.0, predates_process=False
    ) == {"s1": 1e9 - 2 * HOUR_MS}
    assert starts_at(1e9).record_list({"s1": 1e9 - 2 * HOUR_MS}, 1e9, 0.0, predates_process=False) == {
        "s1": 1e9
    }


def test_a_start_is_believed_if_it_is_between_two_lists():
    starts = starts_at(1e9)
    starts.record_list({}, 1e9 + 1000.0, 0.0, predates_process=False)
    assert starts.record_list({"s1": 1e9 + 1500.0}, 1e9 + 2000.0, 0.0, predates_process=False) == {
        "s1": 1e9 + 1500.0
    }
    # s2 registered some time after its start; s3 is too early for that, so its clock was wrong.
    delay_ms = REGISTRATION_DELAY_SHARE * WARM_UP_MS
    up_since_ms = {"s2": 1e9 + 2000.0 - delay_ms, "s3": 1e9 + 1999.0 - delay_ms}
    assert starts.record_list(up_since_ms, 1e9 + 3000.0, 0.0, predates_process=False) == up_since_ms | {
        "s3": 1e9 + 3000.0
    }


def test_a_start_long_ago_is_no_restart():
    starts = NodeStarts(0.0, WARM_UP_MS)
    starts.record_list({"s1": 900.0}, 1000.0, 0.0, predates_process=False)
    assert starts.record_list({"s1": 0.0}, 5000.0, 0.0, predates_process=False) == {"s1": 900.0}
    assert starts.record_list({"s1": 900.0}, 6000.0, 0.0, predates_process=False) == {"s1": 900.0}


def test_a_start_at_exactly_0_is_not_taken_for_long_ago():
    started_ms = NodeStarts(0.0, WARM_UP_MS).record_list({"s1": 5.0}, 0.0, 0.0, predates_process=False)["s1"]
    assert started_ms != 0.0
    assert started_ms == pytest.approx(0.0)


def test_the_number_of_starts_of_unlisted_nodes_is_bounded():
    starts = NodeStarts(0.0, WARM_UP_MS)
    for number in range(5 * MAX_UNLISTED_NODES):
        starts.record_list({f"s{number}": 1.0 + number}, 1e9 + number, 0.0, predates_process=False)
        starts.forget_unlisted({"s0": None, f"s{number}": None})
        assert len(starts.snapshot(1e9).starts) <= MAX_UNLISTED_NODES + 2
    assert {"s0", f"s{5 * MAX_UNLISTED_NODES - 1}"} <= set(starts.snapshot(1e9).starts)


# A successor and its predecessor -------------------------------------------------------------------


def test_a_successor_knows_the_starts_as_its_predecessor_did():
    """By its own wall clock, which is behind by hours, the warm node would have started just now."""
    old = starts_at(1e9)
    old.record_list({"new": 1e9 - 500.0}, 1e9, 0.0, predates_process=False)
    new = NodeStarts(HOUR_MS * 3, WARM_UP_MS)
    new.inherit(old.snapshot(1e9), 1e9 + 20.0)
    up_since_ms = {"old": 1e9 - 2 * HOUR_MS, "new": 1e9 - 500.0}
    assert new.record_list(up_since_ms, 1e9 + 20.0, 3 * HOUR_MS, predates_process=True) == up_since_ms
    # A start in its first list from discovery must not precede the predecessor's last list.
    assert new.record_list({"next": 5.0}, 1e9 + 100.0, 3 * HOUR_MS, predates_process=False) == {
        "next": 1e9 + 100.0
    }


def test_a_configured_list_that_is_older_than_the_inherited_starts_changes_none():
    new = NodeStarts(0.0, WARM_UP_MS)
    new.inherit(KnownStarts(1e6, 1e6, {"s1": NodeStart(500.0, 9e5)}), 1e6)
    assert new.record_list({"s1": 400.0}, 1e6, 0.0, predates_process=True) == {"s1": 9e5}
    assert new.record_list({"s1": 400.0}, 1e6 + 5.0, 0.0, predates_process=False) == {"s1": 1e6 + 5.0}


def test_no_inherited_start_is_in_the_future():
    new = NodeStarts(0.0, WARM_UP_MS)
    new.inherit(KnownStarts(1e9, 2e9, {"s1": NodeStart(500.0, 2e9)}), 1e9)
    assert new.record_list({"s1": 500.0, "s2": 1e9 - WARM_UP_MS}, 1e9, 0.0, predates_process=True) == {
        "s1": 1e9,
        "s2": 1e9,
    }


# Random steps of the clocks ------------------------------------------------------------------------

NODES = st.sampled_from(["s1", "s2", "s3", "s4", "s5"])
STEPS = st.one_of(st.just(0.0), st.sampled_from([-HOUR_MS, HOUR_MS, -5.0, 5.0]), st.floats(-1e9, 1e9))
SLACK_MS = 1e-3  # for rounding errors of floating point
TICK_S = 0.005  # the timer wheel's granularity
# Each event: its kind, the ticks since the event before, the node, and the step of all wall clocks in ms.
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "leave", "drain", "nothing", "complete"]), st.integers(1, 180), NODES, STEPS
    ),
    max_size=12,
)


def play(events, epoch_ms, stepped):
    """Plays the events for one proxy, as lists; returns the player, and the updates with their times."""
    player, updates = Player(epoch_ms=epoch_ms), []
    endpoint_discovery = player.service.endpoint_discovery
    apply_update = endpoint_discovery.on_update
    endpoint_discovery.on_update = lambda update: (
        updates.append((player.now(), update)),
        apply_update(update),
    )
    wall_ms, rows = -EPOCH_MS, {}
    player.play("wait 100\ndiscovery expect GET *")
    for revision, (kind, ticks, node, step_ms) in enumerate(events, 42):
        if stepped:
            wall_ms += step_ms
            player.epoch_ms -= step_ms
        for _ in range(ticks):
            player.reactor.advance(TICK_S)
        rows = {name: row for name, row in rows.items() if row["phase"] != "terminated"}
        if kind == "start":
            rows[node] = {"id": node, "host_port": "127.0.0.9:201", "flavor": "large", "phase": "in_service",
                          "up_since_ms": max(1.0, player.now() + wall_ms)}  # fmt: skip
        elif kind in ("leave", "drain") and node in rows:
            rows[node]["phase"] = "terminated" if kind == "leave" else "terminating"
        is_complete = kind == "complete"
        changed = list(rows.values()) if is_complete else [row for row in rows.values() if row["id"] == node]
        listing = {"revision": revision, "complete": is_complete, "members": changed}
        player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")
    return player, updates


def listed_nodes(player):
    return [member.id for member in player.service.endpoint_discovery.current_list().members]


def without_starts(updates):
    """Returns the updates without the starts: the times, and the nodes with their states in order."""
    return [
        (at, update.revision, update.complete, [(entry.name, entry.state) for entry in update.entries])
        for at, update in updates
        if isinstance(update, EndpointUpdate)
    ]


@settings(max_examples=60)
@given(EVENTS, STEPS)
def test_steps_of_the_wall_clock_change_nothing_but_slow_starts_within_their_bounds(events, first_step_ms):
    unstepped, updates = play(events, EPOCH_MS, stepped=False)
    player, updates_stepped = play(events, EPOCH_MS + first_step_ms, stepped=True)
    assert without_starts(updates) == without_starts(updates_stepped)
    assert unstepped.service.pools.node_names() == player.service.pools.node_names()
    assert listed_nodes(unstepped) == listed_nodes(player)
    assert player.log.getvalue() == unstepped.log.getvalue()
    known, previous_list_ms = {}, -math.inf
    for at, update in updates_stepped:
        for entry in update.entries:
            if entry.started_ms in (0.0, LONG_AGO) or known.get(entry.name) == entry.started_ms:
                continue
            # Slow start ends one warm-up from now at the latest, and at the earliest one warm-up after the
            # list before this one, less the time that a node may take to register.
            earliest_ms = previous_list_ms - REGISTRATION_DELAY_SHARE * WARM_UP_MS
            assert earliest_ms - SLACK_MS <= entry.started_ms <= at + SLACK_MS
            # A known start is replaced only by a later one.
            assert entry.started_ms > known.get(entry.name, LONG_AGO)
            known[entry.name] = entry.started_ms
        previous_list_ms = at
