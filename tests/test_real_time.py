"""What is bound by time holds when the loop was held up: each act looks at the clock itself, and what came
meanwhile is read before anything is judged by its age.

The proxy may have been stopped anywhere. Two orders are forced: its sockets are read before the late tick
(`late`), or the tick comes before they are read (`Rig.lag`).
"""

import pytest
from scenario import Player


def late(player, ms):
    """The clock goes on, and the loop has no turn."""
    player.reactor.rightNow += ms / 1000.0


def sent(player, party, place=1):
    return player.connection(party, place - 1)[1].value()


# Requests -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("command", ["mg k1 v O1 Pc=page,t=acme,d=500|", "ms k1 1 O1 Pc=order,t=acme,d=500|a|"])
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
