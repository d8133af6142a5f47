"""Writes that the kernel or a full buffer refuses, towards clients, nodes, the origin and discovery.

A connection is gone only if the kernel says so, and then at once; one whose buffer is full is not.
"""

import errno

import pytest
from held_client import HeldTransport
from scenario import Player, Transport


def refused_send(*_arguments):
    """Fails as the kernel's send does on a connection that is gone."""
    raise OSError(errno.EPIPE, "Broken pipe")


def refuse_writes(transport):
    """Has the kernel refuse all further writes, although it reports no event of the connection."""

    transport.send = refused_send


@pytest.mark.parametrize("reading", ["paused", "going on"])
def test_a_client_whose_answer_the_kernel_refuses_is_gone(reading):
    # The fault: an answer that the kernel refused waited for room on a connection that was gone, and the
    # requests behind it went on.
    player = Player()
    player.play("""
        client send mg k1 v O1 Pc=page,t=acme,d=1900
        client send mg k2 v O2 Pc=page,t=acme,d=1900
        s1 expect mg k1 *
        s1#2 expect mg k2 *
    """)
    protocol, transport = player.connection("client", 0)
    if reading == "paused":
        protocol.hold()
    refuse_writes(transport)
    player.play("s1 send VA 1 O1|a\nwait 1\ns1#2 expect end")
    assert transport.aborted
    assert ": not_sent, " in player.log.getvalue()
    assert "write refused: closed" in player.log.getvalue()


NO_CHANGE = '{"revision":42,"complete":false,"members":[]}'


def test_a_watch_that_the_kernel_refuses_is_sent_on_a_new_connection_at_once():
    # The fault: a watch that was not sent looked like one that waits for a change, until its time was over.
    player = Player()
    player.play("wait 100\ndiscovery expect GET *after=41*")
    refuse_writes(player.connection("discovery", 0)[1])
    player.play(f"discovery send 200 {NO_CHANGE}\ndiscovery expect end\ndiscovery#2 expect GET *after=42*")
    player.play("wait 1\ndiscovery#2 expect nothing")
    assert player.next_requested_factory("discovery") is None


def test_a_first_watch_that_the_kernel_refuses_counts_as_a_failed_call(monkeypatch):
    player = Player()
    player.play("wait 100")
    with monkeypatch.context() as patch:
        patch.setattr(Transport, "send", refused_send)
        player.connection("discovery", 0)
    assert "call failed: connection lost" in player.log.getvalue()
    player.play("discovery expect end\nwait 620\ndiscovery#2 expect GET *after=41*")


def test_a_watch_without_room_is_sent_once_there_is_some():
    # The fault: a watch that found no room was dropped, and looked like one that waits for a change.
    player = Player()
    player.play("wait 100\ndiscovery expect GET *after=41*")
    protocol, transport = player.connection("discovery", 0)
    discovery = HeldTransport(transport)
    player.play(f"discovery send 200 {NO_CHANGE}")
    protocol._outgoing.bound = 0
    player.play(f"discovery send 200 {NO_CHANGE}")
    protocol._outgoing.bound = protocol.max_outgoing_bytes
    for _ in range(3):
        discovery.read(10_000)
    assert discovery.received.count(b"GET /v1/servers?after=42&") == 2
    assert not transport.ended


def test_a_node_connection_without_room_is_not_closed():
    # The fault: a connection to a node whose buffer had no room for a command was closed as unusable.
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=1900\ns1 expect mg k1 *\ns1 send VA 1 O1|a")
    protocol, transport = player.connection("s1", 0)
    protocol._outgoing.bound = 0
    player.play("client expect VA 1 O1|a\nwait 20\nclient send mg k1 v O2 Pc=page,t=acme,d=1900")
    assert not transport.aborted
    protocol._outgoing.bound = protocol.max_outgoing_bytes
    player.play("wait 100\ns1 expect mg k1 *\ns1 send VA 1 O2|b\nclient expect VA 1 O2|b")
