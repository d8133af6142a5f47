"""Bad configurations: a start names the file or the field, and SIGHUP keeps the old configuration."""

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
    """A file that can be opened, but not read."""

    def __init__(self, error_number):
        self.error_number = error_number

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        pass

    def read(self):
        raise OSError(self.error_number, os.strerror(self.error_number))


@pytest.fixture(params=["open", "read"])
def failing_at(request, monkeypatch):
    def fail(error_number):
        def opened(*_arguments):
            if request.param == "read":
                return Unreadable(error_number)
            raise OSError(error_number, os.strerror(error_number))

        monkeypatch.setattr(proxy_config, "open", opened, raising=False)

    assert not hasattr(proxy_config, "open")
    assert builtins.open
    return fail


@pytest.mark.parametrize("error_number", ERRORS)
def test_the_error_names_a_file_that_cannot_be_read(failing_at, error_number):
    failing_at(error_number)
    with pytest.raises(ConfigError) as caught:
        read_config({"EDGE_CONFIG": "/etc/proxy.json"})
    assert str(caught.value) == f"EDGE_CONFIG: {os.strerror(error_number)}: /etc/proxy.json"


@pytest.mark.parametrize("error_number", ERRORS)
def test_a_reload_that_cannot_read_its_file_changes_nothing_and_logs_one_line(failing_at, error_number):
    failing_at(error_number)
    proxy = Proxy.__new__(Proxy)  # It has no other attributes, so a reload that changed anything would raise.
    proxy._log = RecordingLog()
    proxy.reload(lambda: read_config({"EDGE_CONFIG": "/etc/proxy.json"}, reloading=True))
    (line,) = proxy._log.lines
    assert line.startswith(
        "warn reload: the configuration can't be reloaded and stays unchanged: EDGE_CONFIG: "
    )
    assert os.strerror(error_number) in line


def document(**changes):
    """Returns a valid configuration with some fields changed."""
    valid = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "name": "p", "settings": SETTINGS}
    return valid | changes


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
        ({"limits": {"cores": 0}}, "limits.cores", "must be greater than 0"),
        ({"limits": {"memory_mb": -1}}, "limits.memory_mb", "must be greater than 0"),
        ({"listen": ""}, "listen", "is missing"),
        ({"listen": "nowhere"}, "listen", "not an address: 'nowhere'"),
        ({"operator": "127.0.0.1:1"}, "operator", "is the same address as listen"),
        ({"discovery": "h:0"}, "discovery", "not an address: 'h:0'"),
        ({"seed": "xyz"}, "seed", "must be a hexadecimal number"),
        ({"known": endpoint(host_port="")}, "known.members.host_port", "is missing"),
        ({"known": endpoint(phase="lost")}, "known.members.phase", "unknown phase 'lost'"),
        ({"name": "", "control": {}}, "name", "is missing, but the control log identifies a proxy by it"),
        ({"control": control(log="")}, "control.log", "is missing"),
        ({"control": control()}, "control.nodes", "is missing"),
        ({"control": control(("a", "h:1"), wait_ms=8001)}, "control.wait_ms", "must be from 0 to 8000"),
        ({"control": control(("a", "h"))}, "control.nodes.address", "not an address: 'h'"),
        ({"control": control(("", "h:1"))}, "control.nodes.name", "is missing"),
        ({"control": control(("a", "h:1"), ("a", "h:2"))}, "control.nodes.name", "'a' is used twice"),
        ({"control": control(("a", "h:1"), ("b", "h:1"))}, "control.nodes.address", "h:1 is used twice"),
    ],
)
def test_an_error_names_the_field_and_the_problem(changes, field, problem):
    with pytest.raises(ConfigError) as caught:
        parse_config(json.dumps(document(**changes)).encode(), {})
    assert str(caught.value) == f"{field}: {problem}"
    assert caught.value.field == field
    assert caught.value.problem == problem


def test_of_two_errors_the_first_in_a_fixed_order_is_named():
    invalid = document(settings=None, limits={"sockets": 1}, listen="", discovery="", seed="xyz")
    expected = ["settings", "limits.sockets", "listen", "discovery", "seed"]
    found_fields = []
    for correction in ({}, {"settings": SETTINGS}, {"limits": {}}, {"listen": "h:1"}, {"discovery": "h:2"}):
        invalid |= correction
        with pytest.raises(ConfigError) as caught:
            parse_config(json.dumps(invalid).encode(), {})
        found_fields.append(str(caught.value).partition(":")[0])
    assert found_fields == expected
