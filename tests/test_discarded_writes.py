"""The value of a rejected write is dropped, but its line end must be where its length says."""

import pytest
from scenario import Player

REJECTED = "ms k1 5 O1 Pc=unknown,t=acme,d=900"


@pytest.mark.parametrize("value", ["hell", "helloo", "hello, and more"])
def test_a_dropped_value_of_another_length_ends_the_connection(value):
    # Guards against the bytes of a value that are read as the next commands.
    player = Player()
    player.play(f"client send {REJECTED}|{value}|mn")
    player.play("client expect CLIENT_ERROR bad data chunk\nclient expect end")


def test_a_dropped_value_of_the_right_length_leaves_the_connection_open():
    player = Player()
    player.play(f"client send {REJECTED}|hello|mn\nclient expect CLIENT_ERROR unknown class|MN")
