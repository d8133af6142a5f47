"""What is bound by time holds when the loop was held up: each act looks at the clock itself, and what came
meanwhile is read before anything is judged by its age.

The proxy may have been stopped anywhere. Two orders are forced: its sockets are read before the late tick
(`late`), or the tick comes before they are read (`Rig.lag`).
"""

import pytest
from rig import Rig, read
from scenario import Player
from test_flow import Slow

from cloverwell.back.pool import FLOW_STILL_MS
from cloverwell.flow import LONG

ANSWER = b"VA 5 O1\r\nhello\r\n"


def late(player, ms):
    """The clock goes on, and the loop has no turn."""
    player.reactor.rightNow += ms / 1000.0


def sent(player, party, place=1):
    return player.connection(party, place - 1)[1].value()


# Requests -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "command", ["mg k1 v O1 Pc=page,t=acme,d=500|", "ms k1 1 O1 Pc=order,t=acme,d=500|a|"]
)
def test_a_request_that_lay_unread_past_its_time_is_not_forwarded(command):
    player = Player()
    client, transport = player.connection("client", 0)
    late(player, 600)
    client.dataReceived(command.replace("|", "\r\n").encode())
    assert not [port for _, port, *_ in player.reactor.tcpClients if port >= player.ports["origin"]]
    assert transport.value().startswith(b"SERVER_ERROR busy")


def test_a_request_that_lay_unread_tells_its_node_what_is_left():
    player = Player()
    client, _ = player.connection("client", 0)
    late(player, 300)
    client.dataReceived(b"ms k1 1 O1 Pc=order,t=acme,d=900\r\na\r\n")
    told = int(sent(player, "origin").split(b"d=")[1].split(b"\r")[0])
    assert 500 < told <= 900 - 295


# Judged by age, behind a hold-up ---------------------------------------------------------------------


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.close()


def half_read():
    """A client that has not read its answer: it is still with the proxy, and no request is open."""
    player = Player()
    _, transport = player.connection("client", 0)
    client = Slow(transport)
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900\ns1 expect mg k1 *\ns1 send VA 5 O1|hello")
    connection = transport.protocol
    assert connection.unread and not connection.waits and not client.got
    return player, client


def held_up(player, ms):
    """The loop is held up for so long, and its late tick comes before its sockets are read or written."""
    player.reactor.advance(ms / 1000.0)


def test_an_answer_that_is_being_read_is_not_cut_off_behind_a_hold_up():
    # After 10 s nobody waits for an answer; but the proxy was stopped, and its client has read on.
    player, client = half_read()
    held_up(player, 10_050.0)
    assert not client.transport.aborted
    client.read(100)
    assert client.got == ANSWER
    player.play("wait 100")
    assert not client.transport.aborted


def test_an_answer_that_nobody_reads_is_given_up_all_the_same():
    player, client = half_read()
    held_up(player, 10_050.0)
    player.play("wait 10")
    assert client.transport.aborted


def test_the_end_of_the_program_waits_for_the_last_answers_behind_a_hold_up():
    player, client = half_read()
    player.play(
        "proxy close\nwait 800"
    )  # past the cut, in the half second in which the last answers may leave
    held_up(player, 600.0)
    assert not player.reactor.hasStopped
    client.read(100)
    assert client.got == ANSWER
    player.play("wait 600\nproxy expect end")


def test_a_long_value_goes_on_behind_a_hold_up(rig):
    client = rig.client(read(1))
    node = rig.nodes[0].take()
    rig.got(node, b"mg k1")
    value = b"v" * (LONG + 1000)
    node.sendall(b"VA %d O1\r\n%s" % (len(value), value[:1000]))
    rig.got(client, b"v")
    node.sendall(value[1000:] + b"\r\n")
    rig.lag(FLOW_STILL_MS + 50.0)
    rig.turn()
    assert rig.got(client, b"v\r\n")


def test_a_long_value_that_stands_still_is_given_up_all_the_same(rig):
    client = rig.client(read(1))
    node = rig.nodes[0].take()
    rig.got(node, b"mg k1")
    node.sendall(b"VA %d O1\r\n%s" % (LONG + 1000, b"v" * 1000))
    rig.got(client, b"v")
    rig.lag(FLOW_STILL_MS + 50.0)
    rig.skip(100)
    rig.ended(client)
