"""Connections to a node that is cut off for a while: no cap, and none that died with the others is used."""

import pytest

from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.facade import AttemptOutcome
from lab.attempts import GRACE_MS, Rig


def _connects_time_out(rig, times):
    rig.net.path(rig.nodes[0].address).silent = True
    for _ in range(times):
        rig.attempt(0)
    rig.net.run_for(0.3)
    rig.net.path(rig.nodes[0].address).silent = False


def test_a_node_that_was_cut_off_gets_as_many_connections_as_it_needs_at_once():
    # lesrooster-nl split+brink, seed 13: capped at one connection by the cut, it got one more each 2 s.
    rig = Rig(1)
    rig.pools.pool_of("s0").is_origin = True  # its attempts never stand behind one another
    rig.nodes[0].work_s = 0.4  # one attempt is out all the while, on the connection that stands
    rig.attempt(0)
    rig.net.run_for(0.01)
    _connects_time_out(rig, 6)
    rig.net.run_for(0.4)
    rig.nodes[0].work_s = 0.2
    for _ in range(6):
        rig.attempt(0)
    rig.net.run_for(0.5)
    assert rig.tally.outcomes == {AttemptOutcome.SERVED: 7, AttemptOutcome.NOT_CONNECTED: 6}


def _flows_are_lost(rig):
    for connection in rig.pools.pool_of("s0").connections:
        connection.transport.forget_flow()


@pytest.mark.parametrize(("origin", "served"), [(True, 4), (False, 3)])
def test_beside_an_attempt_that_is_silent_for_long_the_origins_idle_connections_are_not_used(origin, served):
    # A cut leaves all connections dead and silent: each idle one would take an attempt and hold it.
    rig = Rig(1)
    rig.pools.pool_of("s0").is_origin = origin
    for _ in range(3):
        rig.attempt(0)
    rig.net.run_for(0.05)
    _flows_are_lost(rig)
    rig.attempt(0, timeout_ms=5000.0)  # hangs
    rig.net.run_for(0.5)
    rig.attempt(0)
    rig.net.run_for(2.0)
    assert rig.tally.outcomes[AttemptOutcome.SERVED] == served


def test_a_node_is_unresponsive_only_while_an_attempt_is_overdue_and_nothing_came_since():
    back = NodeConnectionPolicy(2500.0, GRACE_MS)
    back.record_listed("a", "origin")
    for at in range(0, 1000, 10):
        back.record_answer("a", None, 100.0, float(at))
    assert not back.is_unresponsive("a", 1000.0, 1390.0)  # four answers take 400 ms
    assert back.is_unresponsive("a", 1000.0, 1410.0)
    back.record_answer("a", None, 100.0, 1405.0)
    assert not back.is_unresponsive("a", 1000.0, 1410.0)
    assert not back.is_unresponsive("unknown", 1000.0, 9000.0)


def test_a_node_that_answers_others_and_lets_no_more_connections_come_up_is_full():
    back = NodeConnectionPolicy(2500.0, GRACE_MS)
    back.record_listed("a", "cache")
    back.record_answer("a", None, 5.0, 100.0)
    for _ in range(4):
        back.record_connect_timeout("a", 3, 50.0, 300.0)
    assert not back.may_open("a", 3, 301.0)
    assert back.may_open("a", 2, 301.0)
    back.record_listed("b", "cache")
    back.record_answer("b", None, 5.0, 40.0)  # before the first was asked for
    for _ in range(4):
        back.record_connect_timeout("b", 3, 50.0, 300.0)
    assert back.may_open("b", 3, 301.0)
    assert not back.should_close_idle("b")
