"""The proxy serves with any endpoint list: unknown zones and types, odd weights, many changes at once."""

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import Player

PHASE_NAMES = ["in_service", "terminating", "terminated"]
MEMBERS = st.fixed_dictionaries(
    {
        "id": st.text("abc-9", min_size=1, max_size=6),
        "host_port": st.sampled_from(["127.0.0.9:201", "127.0.0.9:202", "127.0.0.9:203"]),
        "locality": st.sampled_from(["east", "west", "", "\u00e9"]),
        "flavor": st.sampled_from(["large", "origin", "unknown", ""]),
        "cell": st.integers(-5, 2**40),
        "phase": st.sampled_from(PHASE_NAMES),
        "size": st.one_of(st.sampled_from([0.0, -1.0, 1e-300, 1e300]), st.floats(0.01, 100.0)),
        "up_since_ms": st.one_of(st.just(0.0), st.floats(-1e15, 1e15)),
    }
)


def send_list(player, revision, members, complete=False):
    listing = {"revision": revision, "complete": complete, "members": members}
    player.play(f"discovery send 200 {json.dumps(listing)}\ndiscovery expect GET *")


def assert_serves(player):
    """Asserts that a read is answered or rejected in time, without an unexpected exception."""
    assert "fault" not in player.log.getvalue(), player.log.getvalue()
    client = len(player.connections.get("client", ())) + 1
    player.play(f"client#{client} send mg k{client} v O{client} Pc=page,t=acme,d=600\nwait 620")
    assert player.connection("client", client - 1)[1].value(), "no answer"
    assert "fault" not in player.log.getvalue(), player.log.getvalue()


@settings(max_examples=60, deadline=None)
@given(st.lists(st.lists(MEMBERS, max_size=8), min_size=1, max_size=4), st.booleans())
def test_the_proxy_serves_with_any_list(lists, complete):
    player = Player()
    player.ports |= {"s2": 202, "s3": 203}
    player.play("wait 100\ndiscovery expect GET *")
    for revision, members in enumerate(lists, 42):
        send_list(player, revision, members, complete)
        assert_serves(player)


def test_two_hundred_nodes_are_added_by_one_list_and_removed_by_the_next():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    new_members = [
        {"id": f"b{n}", "host_port": f"127.0.0.9:{300 + n}", "flavor": "large"} for n in range(200)
    ]
    player.ports |= {f"b{n}": 300 + n for n in range(200)}
    send_list(player, 42, new_members)
    assert_serves(player)
    send_list(player, 43, [{**member, "phase": "terminated"} for member in new_members])
    assert_serves(player)
    player.play("wait 400")
    # A pool whose connection attempt is unanswered waits for it; all others have been removed.
    pools = player.service.pools
    assert not [
        name for name in pools.node_names() if name[0] == "b" and not pools.pool_of(name).opening_count
    ]
    assert {member.id for member in player.service.endpoint_discovery.current_list().members} == {
        "s1",
        "origin",
    }


@pytest.mark.parametrize(
    "invalid", [{"size": "big"}, {"phase": "asleep"}, {"host_port": "x"}, {"size": math.nan}]
)
def test_a_list_with_one_malformed_endpoint_is_logged_once_and_not_applied(invalid):
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    member = {"id": "s9", "host_port": "127.0.0.9:209", "flavor": "large"} | invalid
    listing = {"revision": 42, "complete": True, "members": [member]}
    player.play(f"discovery send 200 {json.dumps(listing)}")
    assert player.log.getvalue().count("call failed: malformed") == 1
    assert player.service.endpoint_discovery.current_list().revision == 41
    assert_serves(player)


def test_a_node_that_one_change_both_keeps_and_removes_is_removed_everywhere():
    player = Player()
    player.play("wait 100\ndiscovery expect GET *")
    member = {"id": "s1", "host_port": "127.0.0.9:201", "flavor": "large"}
    send_list(player, 42, [member, {**member, "phase": "terminated"}, {**member, "phase": "terminated"}])
    assert_serves(player)
    player.play("wait 400")
    assert "s1" not in player.service.pools.node_names()
    assert "s1" not in {member.id for member in player.service.endpoint_discovery.current_list().members}
