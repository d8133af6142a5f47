"""The log lines and counters of closes, retries, rejections and failures, and of the end of a drain."""

import pytest
from rig import read, write
from scenario import Player

from cloverwell.connections.closing import ClosingState
from cloverwell.dispatcher import Dispatcher
from cloverwell.front.connection_closing import ConnectionDrainer
from cloverwell.front.connection_report import MAX_CONNECTIONS, MAX_REQUEST_IDS, describe_open_connections
from cloverwell.graceful_shutdown import DRAIN_REPORT_MS
from cloverwell.log import MAX_LINES_PER_SECOND

HIT = b"VA 1 O%d\r\nx\r\n"


def lines(proxy, source):
    """Returns the texts of the log lines of that source."""
    logged = [line.split(" ", 2)[2] for line in proxy.log.getvalue().splitlines()]
    return [line.partition(": ")[2] for line in logged if line.startswith(f"{source}: ")]


def reasons(proxy, source):
    """Returns the reasons in the log lines of that source."""
    return [line.partition(": ")[2].split(",")[0] for line in lines(proxy, source)]


# Clients' connections -----------------------------------------------------------------------------


def test_a_close_by_the_client_has_another_reason_if_a_request_is_open(rig):
    proxy = rig()
    idle, waiting = proxy.client(b"mn\r\n"), proxy.client(read(1))
    proxy.receive_until(proxy.nodes[0].accept(), b"mg k1 ")
    idle.close()
    waiting.close()
    proxy.run_until(lambda: not proxy.service.client_connections.connections)
    assert sorted(reasons(proxy, "close")) == ["by_client", "left"]


@pytest.mark.parametrize(
    ("first_bytes", "wait_ms", "reason"),
    [
        (b"", 2200, "silent"),
        (b"mg k1 v", 2700, "half"),
        (b"mn\r\n", 10_400, "idle"),
        (b"ms k1 x\r\n", 100, "malformed"),
    ],
)
def test_a_close_by_the_proxy_has_its_reason(rig, first_bytes, wait_ms, reason):
    proxy = rig()
    conn = proxy.client(first_bytes)
    proxy.advance_clock(wait_ms)
    assert proxy.receive_to_end(conn).endswith(b"END")
    conn.close()
    proxy.run_until(lambda: not proxy.service.client_connections.connections)
    assert reasons(proxy, "close") == [reason]


def test_closes_of_a_drain_are_logged_at_a_bounded_rate_and_all_counted():
    player = Player()
    client_count = 4 * MAX_LINES_PER_SECOND
    for number in range(1, client_count + 1):
        player.play(f"client#{number} send mn\nclient#{number} expect MN")
    player.service.drain()
    player.play("wait 450")
    for number in range(1, client_count + 1):
        player.play(f"client#{number} close orderly")
    assert len(lines(player, "close")) == MAX_LINES_PER_SECOND
    player.play("wait 5000")
    assert f"client_close.drain={client_count}" in player.log.getvalue()


def test_at_the_end_of_a_drain_the_connections_that_are_held_are_logged(rig, monkeypatch):
    monkeypatch.setattr(ConnectionDrainer, "advance", lambda closing, connection: None)
    monkeypatch.setattr(Dispatcher, "fail_all_open", lambda dispatcher: None)
    monkeypatch.setattr(Dispatcher, "answer_all_by", lambda dispatcher, when_ms: None)
    proxy = rig()
    proxy.client(write(1, 9000) + write(2, 9000))
    proxy.receive_until(proxy.origin.accept(), b"PUT /k1 ")
    proxy.service.drain()
    report_ms = proxy.service.serving.drain_began_ms + DRAIN_REPORT_MS
    while proxy.now() < report_ms - 100:
        proxy.advance_clock(5)
    assert not lines(proxy, "held")
    proxy.advance_clock(150)
    (line,) = lines(proxy, "held")
    assert line.startswith("1 client connections are still open: 127.0.0.1:")
    assert "responses pending" in line
    assert line.endswith("requests 1 2")


def test_after_an_undrain_the_end_of_the_drain_is_not_logged(rig):
    proxy = rig()
    proxy.client()
    proxy.service.drain()
    proxy.advance_clock(500)
    proxy.service.undrain()
    proxy.advance_clock(4000)
    assert not lines(proxy, "held")
    proxy.service.drain()
    proxy.advance_clock(4100)
    assert lines(proxy, "held") == ["no client connection is open"]


class HeldConnection:
    """A connection that is held although the drain has ended."""

    peer = "127.0.0.9:1"
    age_ms = 1234.0

    def closing_state(self):
        return ClosingState(0.0, responses_pending=True)

    def has_unread_bytes(self):
        return True

    def __init__(self, request_count):
        self.open_request_ids = [f"r{number}" for number in range(request_count)]


def test_the_log_line_of_held_connections_is_bounded():
    connections = [HeldConnection(MAX_REQUEST_IDS + 2) for _ in range(MAX_CONNECTIONS + 3)]
    line = describe_open_connections(connections)
    assert line.startswith(
        f"{len(connections)} client connections are still open: 127.0.0.9:1, open for 1234 ms"
    )
    assert line.count("requests r0 r1 r2 r3 r4 and 2 more") == MAX_CONNECTIONS
    assert line.endswith(" and 3 more")


# Nodes' connections -------------------------------------------------------------------------------


def test_a_reset_by_a_node_is_logged_with_its_requests_and_the_retry():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *\ns1 close\nwait 20")
    assert lines(player, "node_close") == ["s1: reset, requests 1"]
    assert lines(player, "retry") == ["request 1: attempt 1 at s1, after reset"]


def test_the_close_of_a_connection_whose_attempt_is_abandoned_is_logged_with_its_request():
    player = Player()
    player.play("client send ms k1 1 O7 Pc=order,t=acme,d=300|a\norigin expect PUT /k1*\nwait 400")
    assert lines(player, "node_close") == ["origin: given_up, requests 7"]
    assert lines(player, "failed") == ["request 7: spent"]


# Requests -----------------------------------------------------------------------------------------


def test_a_retry_is_logged_with_its_request_and_reason_and_a_fetch_after_a_miss_is_no_retry():
    player = Player(nodes=2)
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900")
    owner = "s1" if player.next_requested_factory("s1") else "s2"
    player.connections.clear()
    player.requested_count = 0
    player.play(f"{owner} expect mg k1 *\n{owner} send SERVER_ERROR failed\nwait 20")
    (retry,) = lines(player, "retry")
    assert retry.startswith("request 1: attempt 1 at ")
    assert retry.endswith(", after error")
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *\ns1 send EN O1")
    player.play("origin expect GET /k1*")
    assert not lines(player, "retry")


def test_a_rejection_for_want_of_descriptors_is_logged(rig):
    proxy = rig(sockets=64)
    for number in range(40):
        proxy.client(write(number, 1900))
    assert any(line.endswith(": descriptors") for line in lines(proxy, "refused"))


# The process --------------------------------------------------------------------------------------


def test_each_change_of_the_serving_state_is_logged():
    player = Player(operator=True)
    player.play("operator send PUT /drain\noperator#2 send PUT /drain\noperator#3 send PUT /undrain")
    player.play("proxy close\nproxy close")
    assert lines(player, "serving") == [
        "starting -> ready",
        "ready -> drained",
        "drained -> ready",
        "ready -> stopping",
    ]
    assert "the shutdown has begun already and continues unchanged" in lines(player, "stop")


@pytest.mark.parametrize("operator", [True, False])
def test_the_log_says_where_operators_calls_are_answered_or_that_none_is(operator):
    logged = lines(Player(operator=operator), "operator")
    address_line = "operators' calls are answered at 127.0.0.1:11212"
    assert logged == [
        address_line if operator else "no operator address is configured: operators' calls are not answered"
    ]


def test_an_operators_connection_that_closes_without_a_call_is_logged():
    player = Player(operator=True)
    player.play("operator send GET /ready HTTP/1.1|Host: x\noperator#2 send GET /rea HTTP/1.1|Host: x")
    player.play("operator#2 close\nwait 5100")
    logged = lines(player, "operator")[1:]
    assert logged == [
        "a connection ended before a call was complete: closed by the operator",
        "a connection ended before a call was complete: no complete call in time",
    ]
