"""The serving state under any order of calls, and the operators' port with incomplete requests."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scenario import Player, Transport

from cloverwell.config import ConfigError, read_config
from cloverwell.front.operators import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_OPERATOR_CONNECTIONS
from cloverwell.serving import DRAIN_SCHEDULE, Serving, ServingState, shutdown_schedule
from lab.proxy_testbed import SETTINGS

CALLS = st.lists(
    st.tuples(st.sampled_from(["serve", "drain", "undrain", "stop"]), st.floats(0.0, 5000.0)), max_size=12
)


@given(CALLS)
def test_the_serving_state_is_consistent_under_any_order_of_calls(calls):
    serving, now, stopped_ms, drained_ms = Serving(), 0.0, None, None
    for name, step_ms in calls:
        now += step_ms
        before = serving.state
        if name == "serve":
            serving.serve()
            assert before is not ServingState.STARTING or serving.state is ServingState.READY
        elif name == "drain":
            assert serving.drain(now) == (before in (ServingState.READY, ServingState.DRAINED))
            # A repeated drain starts no new schedule.
            drained_ms = now if before is ServingState.READY else drained_ms
        elif name == "undrain":
            assert serving.undrain() == (before in (ServingState.READY, ServingState.DRAINED))
        else:
            assert serving.stop(now, 2000.0) == (stopped_ms is None)
            stopped_ms = now if stopped_ms is None else stopped_ms
        assert (serving.state is ServingState.STOPPING) == (stopped_ms is not None)
        assert serving.is_in_rotation == (serving.state is ServingState.READY)
        assert serving.can_serve or not serving.is_in_rotation
        assert serving.is_draining == (serving.state in (ServingState.DRAINED, ServingState.STOPPING))
        if serving.state is ServingState.STOPPING:
            assert serving.accepts_connections(now) == (
                now - stopped_ms < shutdown_schedule(2000.0, False).stop_accepting_ms
            )
        else:
            assert serving.accepts_connections(now)
        if serving.state is ServingState.DRAINED:
            assert serving.closes_idle_connections(now) == (now - drained_ms >= DRAIN_SCHEDULE.close_idle_ms)
            assert serving.closes_mid_command(now) <= serving.closes_idle_connections(now)
        elif not serving.is_draining:
            assert not serving.closes_idle_connections(now)
            assert not serving.closes_mid_command(now)


@given(st.floats(100.0, 10_000.0), st.booleans())
def test_a_graceful_shutdown_is_over_before_the_platform_kills_the_process(longest_ms, handed_over):
    schedule = shutdown_schedule(longest_ms, handed_over)
    kill_ms = min(longest_ms, 3000.0) + 700.0
    assert schedule.stop_accepting_ms <= schedule.close_idle_ms < schedule.close_mid_command_ms
    assert schedule.answer_deadline_ms < kill_ms
    # The last accepted request has its whole deadline, as far as the platform counts it.
    assert schedule.answer_deadline_ms - schedule.close_idle_ms >= min(longest_ms, 3000.0) - 1e-6


def test_incomplete_operator_requests_are_bounded_and_block_no_others():
    player = Player(operator=True)
    for number in range(1, 3 * MAX_OPERATOR_CONNECTIONS):
        player.play(f"operator#{number} send GET /ready HTTP/1.1|Host: x\noperator#{number} expect nothing")
        player.play(f"operator#{number + 100} send GET /ready\noperator#{number + 100} expect HTTP/1.1 200 *")
    operators = player.reactor.tcpServers[1][1]
    assert len(operators.connections) <= MAX_OPERATOR_CONNECTIONS
    player.play("wait 5100")
    assert not operators.connections


@pytest.mark.parametrize(
    "head", ["GET /ready HTTP/1.1|X: " + "y" * 2 * MAX_HEAD_BYTES, "y" * 2 * MAX_HEAD_BYTES]
)
def test_a_request_head_without_end_is_rejected(head):
    player = Player(operator=True)
    player.play(f"operator send {head}|\noperator expect HTTP/1.1 4* *\noperator expect end")


def test_a_request_body_without_end_is_rejected():
    player = Player(operator=True)
    player.play(
        f"operator send PUT /drain HTTP/1.1|Host: x|Content-Length: 99999||{'y' * 2 * MAX_BODY_BYTES}"
    )
    player.play("operator expect HTTP/1.1 413 *\noperator expect end\nclient send mn\nclient expect MN")


def test_many_clients_do_not_keep_operators_from_connecting():
    player = Player(sockets=64, operator=True)
    player.service.client_connections.port, number = Transport(), 0
    while player.service.client_connections.accept_limit():
        number += 1
        player.play(f"client#{number} send ms k 9 O{number} Pc=order,t=acme,d=1900|a")
    player.play("operator send GET /ready\noperator expect HTTP/1.1 200 *yes")


@pytest.mark.parametrize(
    ("variable", "field", "expected"),
    [
        ("", "", None),
        ("", "127.0.0.1:9", ("127.0.0.1", 9)),
        ("127.0.0.1:8", "127.0.0.1:9", ("127.0.0.1", 8)),
        ("", "nonsense", ConfigError),
        ("127.0.0.1:99999", "", ConfigError),
        ("127.0.0.1:7", "", ConfigError),  # the clients' address
    ],
)
def test_the_operators_address_is_read(tmp_path, variable, field, expected):
    document = {"listen": "127.0.0.1:7", "discovery": "127.0.0.1:6", "operator": field, "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(document))
    environ = {"EDGE_CONFIG": str(tmp_path / "config.json"), "EDGE_OPERATOR": variable}
    if expected is ConfigError:
        with pytest.raises(ConfigError, match=r"^operator: "):
            read_config(environ)
    else:
        assert read_config(environ).operator == expected
