"""The last word on discovery's address counts, of a version of the control log or of SIGHUP."""

import json

from hypothesis import given
from hypothesis import strategies as st
from scenario import Player
from test_control_proxy import OWN_CONFIG, ProxyRig

from lab.proxy_testbed import SETTINGS

OWN_ADDRESS, OWN_SIZE = ("127.0.0.1", 2), 40
ADDRESSES = st.integers(100, 104).map(lambda port: ("127.0.0.1", port))
SIZES = st.integers(1, 60)
RELOADS = st.tuples(st.just("reload"), ADDRESSES, st.none())
VERSIONS = st.tuples(st.just("version"), st.none() | ADDRESSES, st.none() | SIZES)


def version(address, size):
    """Returns a version that names what is not None."""
    named = {} if address is None else {"discovery": "{}:{}".format(*address)}
    return json.dumps(
        named | ({} if size is None else {"settings": SETTINGS | {"peers-total": size}})
    ).encode()


@given(st.lists(RELOADS | VERSIONS, max_size=8))
def test_a_version_keeps_the_address_of_the_last_file_unless_it_names_one(words):
    # Guards against a version that moves discovery back to the address of the file at the start.
    rig = ProxyRig()
    address_in_file = OWN_ADDRESS
    for kind, address, size in words:
        if kind == "reload":
            address_in_file = address
            rig.control.discovery_reloaded(address)
            continue
        rig.commit(version(address, size))
        assert rig.changes[-1] == (address or address_in_file, size or OWN_SIZE)
        assert rig.acknowledged().refused_index == 0


def test_a_version_keeps_the_address_of_the_environment_at_the_start():
    # Guards against a version that moves discovery to an address which the environment has overridden.
    rig = ProxyRig(environ={"EDGE_DISCOVERY": "127.0.0.1:77"})
    rig.commit(version(None, 41))
    assert rig.changes == [(("127.0.0.1", 77), 41)]
    assert OWN_CONFIG["discovery"] == "127.0.0.1:2"


class ReloadRecorder:
    """Stands in for the part of a proxy that follows the control log."""

    def __init__(self):
        self.addresses = []

    def discovery_reloaded(self, address):
        self.addresses.append(address)


def test_a_reload_tells_the_follower_of_the_log_which_address_is_in_force():
    player = Player()
    player.service._control = recorder = ReloadRecorder()
    player.play("proxy send nonsense")
    assert recorder.addresses == []
    player.play("proxy send discovery2")
    assert recorder.addresses == [("127.0.0.9", 101)]
