"""Writes that the kernel or a full buffer refuses, towards clients, nodes, the origin and discovery.

A connection is gone only if the kernel says so, and then at once; one whose buffer is full is not.
"""

import errno

import pytest
from scenario import Player


def refuse_writes(transport):
    """Has the kernel refuse all further writes, although it reports no event of the connection."""

    def send(_data):
        raise OSError(errno.EPIPE, "Broken pipe")

    transport.send = send


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
