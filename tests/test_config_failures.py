"""A configuration that can't be read: a start names it, and SIGHUP keeps all as it is."""

import builtins
import errno
import json
import os

import pytest
from control_net_rig import RecordingLog

from cloverwell import config as proxy_config
from cloverwell.config import ConfigError, parse_config, read_config
from cloverwell.proxy import Proxy
from lab.proxy_testbed import SETTINGS

ERRORS = [errno.EIO, errno.ENOENT, errno.EACCES, errno.EISDIR, errno.EMFILE, errno.ESTALE]


class Unreadable:
    """A file that opens, and fails when it is read."""

    def __init__(self, number):
        self.number = number

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        pass

    def read(self):
        raise OSError(self.number, os.strerror(self.number))


@pytest.fixture(params=["open", "read"])
def failing_at(request, monkeypatch):
    def fail(number):
        def opened(*_arguments):
            if request.param == "read":
                return Unreadable(number)
            raise OSError(number, os.strerror(number))

        monkeypatch.setattr(proxy_config, "open", opened, raising=False)

    assert not hasattr(proxy_config, "open")
    assert builtins.open
    return fail


@pytest.mark.parametrize("number", ERRORS)
def test_a_file_that_cannot_be_read_is_named_in_one_line(failing_at, number):
    failing_at(number)
    with pytest.raises(ConfigError) as caught:
        read_config({"EDGE_CONFIG": "/etc/proxy.json"})
    assert str(caught.value) == f"EDGE_CONFIG: {os.strerror(number)}: /etc/proxy.json"


@pytest.mark.parametrize("number", ERRORS)
def test_a_reload_that_cannot_read_its_file_changes_nothing_and_says_so_once(failing_at, number):
    failing_at(number)
    service = Proxy.__new__(Proxy)  # a reload that went on would need more of it
    service._log = RecordingLog()
    service.reload(lambda: read_config({"EDGE_CONFIG": "/etc/proxy.json"}, reloading=True))
    (line,) = service._log.lines
    assert line.startswith("warn reload: all stays as it is: EDGE_CONFIG: ")
    assert os.strerror(number) in line


def document(**changes):
    """A sound configuration with some fields changed."""
    sound = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "name": "p", "settings": SETTINGS}
    return sound | changes


def endpoint(**changes):
    return {"revision": 1, "complete": True, "members": [{"id": "a", "host_port": "127.0.0.1:3"} | changes]}


def control(*nodes, **changes):
    listed = [{"name": name, "address": address} for name, address in nodes]
    return {"log": "fleet", "nodes": listed} | changes


@pytest.mark.parametrize(
    ("changes", "field", "problem"),
    [
        ({"settings": None}, "settings", "is missing"),
        ({"limits": {"sockets": 63}}, "limits.sockets", "must be at least 64"),
        ({"limits": {"cores": 0}}, "limits.cores", "must be over 0"),
        ({"limits": {"memory_mb": -1}}, "limits.memory_mb", "must be over 0"),
        ({"listen": ""}, "listen", "is missing"),
        ({"listen": "nowhere"}, "listen", "not an address: 'nowhere'"),
        ({"operator": "127.0.0.1:1"}, "operator", "is the address of listen"),
        ({"discovery": "h:0"}, "discovery", "not an address: 'h:0'"),
        ({"seed": "xyz"}, "seed", "must be a hexadecimal number"),
        ({"known": endpoint(host_port="")}, "known.members.host_port", "is missing"),
        ({"known": endpoint(phase="lost")}, "known.members.phase", "unknown phase 'lost'"),
        ({"name": "", "control": {}}, "name", "is missing, and the control log knows a proxy by it"),
        ({"control": control(log="")}, "control.log", "is missing"),
        ({"control": control()}, "control.nodes", "is missing"),
        ({"control": control(("a", "h:1"), wait_ms=8001)}, "control.wait_ms", "must be from 0 to 8000"),
        ({"control": control(("a", "h"))}, "control.nodes.address", "not an address: 'h'"),
        ({"control": control(("", "h:1"))}, "control.nodes.name", "is missing"),
        ({"control": control(("a", "h:1"), ("a", "h:2"))}, "control.nodes.name", "'a' stands there twice"),
        ({"control": control(("a", "h:1"), ("b", "h:1"))}, "control.nodes.address", "h:1 stands there twice"),
    ],
)
def test_an_error_names_the_field_and_the_problem(changes, field, problem):
    with pytest.raises(ConfigError) as caught:
        parse_config(json.dumps(document(**changes)).encode(), {})
    assert str(caught.value) == f"{field}: {problem}"
    assert caught.value.field == field
    assert caught.value.problem == problem


def test_of_two_errors_the_first_in_a_fixed_order_is_named():
    wrong = document(settings=None, limits={"sockets": 1}, listen="", discovery="", seed="xyz")
    expected = ["settings", "limits.sockets", "listen", "discovery", "seed"]
    found = []
    for repaired in ({}, {"settings": SETTINGS}, {"limits": {}}, {"listen": "h:1"}, {"discovery": "h:2"}):
        wrong |= repaired
        with pytest.raises(ConfigError) as caught:
            parse_config(json.dumps(wrong).encode(), {})
        found.append(str(caught.value).partition(":")[0])
    assert found == expected
