"""Connections to a node that is cut off for a while.

Timeouts during the cut must not limit the connections after it, and idle connections that the cut broke must
not be used.
"""

import pytest

from cloverwell.connections.node_policy import NodeConnectionPolicy
from cloverwell.facade import AttemptOutcome
from lab.attempts import GRACE_MS, Rig


def _time_out_connects(rig, times):
    """Makes attempts while the node is cut off, so that their connections time out."""
    rig.net.path(rig.nodes[0].address).silent = True
    for _ in range(times):
        rig.attempt(0)
    rig.net.run_for(0.3)
    rig.net.path(rig.nodes[0].address).silent = False


def test_a_node_that_was_cut_off_is_not_limited_in_connections_afterwards():
    # If the timeouts counted as refusals, the node would be limited to one connection, and get one more every
    # 2 s.
    rig = Rig(1)
    rig.pools.pool_of("s0").is_origin = True  # Attempts at the origin never share a connection.
    rig.nodes[0].work_s = 0.4  # One attempt is in flight all the time, on the only connection.
    rig.attempt(0)
    rig.net.run_for(0.01)
    _time_out_connects(rig, 6)
    rig.net.run_for(0.4)
    rig.nodes[0].work_s = 0.2
    for _ in range(6):
        rig.attempt(0)
    rig.net.run_for(0.5)
    assert rig.tally.outcomes == {AttemptOutcome.SERVED: 7, AttemptOutcome.NOT_CONNECTED: 6}


def _break_connections_silently(rig):
    """Breaks all connections to the node without a reset or a close."""
    for connection in rig.pools.pool_of("s0").connections:
        connection.transport.forget_flow()


@pytest.mark.parametrize(("origin", "served"), [(True, 4), (False, 3)])
def test_idle_connections_to_the_origin_are_not_used_while_an_attempt_is_overdue(origin, served):
    # A cut breaks all connections without a reset: an attempt on an idle one would wait for its timeout.
    rig = Rig(1)
    rig.pools.pool_of("s0").is_origin = origin
    for _ in range(3):
        rig.attempt(0)
    rig.net.run_for(0.05)
    _break_connections_silently(rig)
    rig.attempt(0, timeout_ms=5000.0)  # hangs
    rig.net.run_for(0.5)
    rig.attempt(0)
    rig.net.run_for(2.0)
    assert rig.tally.outcomes[AttemptOutcome.SERVED] == served


def test_a_node_is_unresponsive_while_an_attempt_is_overdue_and_no_later_answer_came():
    policy = NodeConnectionPolicy(2500.0, GRACE_MS)
    policy.record_listed("a", "origin")
    for time_ms in range(0, 1000, 10):
        policy.record_answer("a", None, 100.0, float(time_ms))
    assert not policy.is_unresponsive("a", 1000.0, 1390.0)  # less than four mean answer times of 100 ms
    assert policy.is_unresponsive("a", 1000.0, 1410.0)
    policy.record_answer("a", None, 100.0, 1405.0)
    assert not policy.is_unresponsive("a", 1000.0, 1410.0)
    assert not policy.is_unresponsive("unknown", 1000.0, 9000.0)


def test_timeouts_limit_connections_only_if_the_node_answers_on_others():
    policy = NodeConnectionPolicy(2500.0, GRACE_MS)
    policy.record_listed("a", "cache")
    policy.record_answer("a", None, 5.0, 100.0)
    for _ in range(4):
        policy.record_connect_timeout("a", 3, 50.0, 300.0)
    assert not policy.may_open("a", 3, 301.0)
    assert policy.may_open("a", 2, 301.0)
    policy.record_listed("b", "cache")
    policy.record_answer("b", None, 5.0, 40.0)  # before its first connection was opened
    for _ in range(4):
        policy.record_connect_timeout("b", 3, 50.0, 300.0)
    assert policy.may_open("b", 3, 301.0)
    assert not policy.should_close_idle("b")
