"""Checks of the settings: a missing or malformed setting ends the proxy's start with a line that names it.

A default in its place might be laxer than the rule that this site means.
"""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.settings import check_required_settings, read_settings
from cloverwell.config import ConfigError, read_config
from lab.proxy_testbed import SETTINGS

CONFIG = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1f",
    "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
    "known": {"revision": 1, "complete": True, "members": [{"id": "s1", "host_port": "127.0.0.1:3"}]},
    "settings": SETTINGS,
}


def read(tmp_path, config):
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return read_config({"EDGE_CONFIG": str(path)})


def paths(node, path=()):
    """Yields the path of each value in nested dicts and lists: the names and indexes that lead to it."""
    for name, value in node.items() if isinstance(node, dict) else enumerate(node):
        yield (*path, name)
        if isinstance(value, dict | list):
            yield from paths(value, (*path, name))


def changed(config, path, value):
    """Returns a copy with the value at the path, or without that setting if the value is `...`."""
    result = copy.deepcopy(config)
    node = result
    for step in path[:-1]:
        node = node[step]
    if value is ...:
        del node[path[-1]]
    else:
        node[path[-1]] = value
    return result


def settings(*path):
    return ("settings", *path)


MISSING = [
    settings("classes"),
    settings("classes", 0, "name"),
    settings("classes", 0, "effect"),  # a default of "retryable" would let unsafe requests run twice
    settings("classes", 0, "objective"),
    settings("classes", 0, "deadline"),
    settings("classes", 1, "window"),
    settings("membership-mode"),
    settings("peers-total"),  # with a default of 1, each proxy would use the limits of all together
    settings("granularity"),
    settings("guarantees", "drain-grace"),  # a default of 1000 ms may exceed what the site permits
    settings("guarantees", "ask-within"),
    settings("guarantees", "cold"),  # with a default of 0, all servers would count as warm
    settings("guarantees", "start-capacity"),
    settings("limits", "send-cap"),
    settings("limits", "connect-timeout"),
    settings("limits", "idle-close"),
]


@pytest.mark.parametrize("value", [..., None])
@pytest.mark.parametrize("path", MISSING, ids=lambda path: ".".join(map(str, path)))
def test_a_setting_that_is_missing_is_named(tmp_path, path, value):
    with pytest.raises(ConfigError, match=rf"{path[-1]}: (is missing|at least one is needed)"):
        read(tmp_path, changed(CONFIG, path, value))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (settings("classes", 0, "deadline"), 0),
        (settings("classes", 0, "objective"), -1),
        (settings("classes", 1, "window"), -1),
        (settings("classes", 0, "group"), "row"),
        (settings("classes", 0, "stream"), "no"),  # a string must not count as true
        (settings("classes", 1, "name"), "page"),  # the second class would hide the first of that name
        (settings("tenants", 1, "name"), "acme"),
        (settings("limits", "cancel"), "no"),
        (settings("limits", "retry-after"), 1),
        (settings("limits", "connect-timeout"), 0),
        (settings("limits", "send-cap"), 0),  # the error names the setting, not the field max_attempts
        (settings("limits", "max-open"), -1),
        (settings("guarantees", "drain-grace"), -1),
        (settings("guarantees", "start-capacity"), 2),
        (settings("peers-total"), 0),
        (settings("zones"), [1]),
        (settings("zone"), 7),
        (settings("specifics", "origin-kind"), 9),  # otherwise no server would be the origin
        (settings("membership-mode"), "sometimes"),  # must not fall back to one of the modes
        (("limits", "memory_mb"), 0),
        (("limits", "cores"), -1),
        (("known", "members", 0, "phase"), "asleep"),  # must not end the start with a traceback
        (("known", "members", 0, "host_port"), "127.0.0.1"),
    ],
    ids=str,
)
def test_a_setting_that_is_malformed_is_named(tmp_path, path, value):
    with pytest.raises(ConfigError, match=str(path[-1])):
        read(tmp_path, changed(CONFIG, path, value))


def test_a_file_that_nests_too_deeply_is_a_configuration_error(tmp_path):
    with pytest.raises(ConfigError, match="EDGE_CONFIG"):
        read(tmp_path, '{"settings":' + "[" * 100_000)


def test_a_setting_of_zero_is_not_replaced_by_its_default(tmp_path):
    # The defaults are 1000 ms of drain grace, and full capacity right after a start.
    config = changed(CONFIG, settings("guarantees", "drain-grace"), 0)
    config = changed(config, settings("guarantees", "start-capacity"), 0)
    result = read(tmp_path, config).settings
    assert result.drain_grace_ms == 0.0
    assert 0.0 < result.start_capacity <= 0.01


def test_a_pushed_endpoint_list_needs_no_poll_interval(tmp_path):
    config = changed(CONFIG, settings("guarantees", "ask-within"), ...)
    assert read(tmp_path, changed(config, settings("membership-mode"), "pushed")).settings.is_list_pushed


VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


@given(st.sampled_from(list(paths(SETTINGS))), VALUES)
def test_any_value_of_a_setting_is_read_or_named_in_the_error(path, value):
    raw = changed(SETTINGS, path, value)
    try:
        check_required_settings(raw)
        read_settings(raw)
    except ValueError as error:
        message = str(error)
    else:
        return
    assert ":" in message
    assert "\n" not in message
