"""What a proxy must be told: a setting that is missing or malformed ends the start, in a line that names it.

A figure put in its place would be some other site's: lax where this one is strict.
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


def places(node, path=()):
    """Each value in it, with the names and numbers that lead there."""
    for name, value in node.items() if isinstance(node, dict) else enumerate(node):
        yield (*path, name)
        if isinstance(value, dict | list):
            yield from places(value, (*path, name))


def changed(config, path, value):
    """A copy with that value there, or with none if it is `...`."""
    made = copy.deepcopy(config)
    node = made
    for step in path[:-1]:
        node = node[step]
    if value is ...:
        del node[path[-1]]
    else:
        node[path[-1]] = value
    return made


def settings(*path):
    return ("settings", *path)


MISSING = [
    settings("classes"),
    settings("classes", 0, "name"),
    settings("classes", 0, "effect"),  # it was taken for one that is safe to repeat
    settings("classes", 0, "objective"),
    settings("classes", 0, "deadline"),
    settings("classes", 1, "window"),
    settings("membership-mode"),
    settings("peers-total"),  # it was taken for 1: each proxy sent what all may
    settings("granularity"),
    settings("guarantees", "drain-grace"),  # it was taken for 1000
    settings("guarantees", "ask-within"),
    settings("guarantees", "cold"),  # all were taken for warm
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
        (settings("classes", 0, "stream"), "no"),  # any text was taken for true
        (settings("classes", 1, "name"), "page"),  # the second of the name hid the first
        (settings("tenants", 1, "name"), "acme"),
        (settings("limits", "cancel"), "no"),
        (settings("limits", "retry-after"), 1),
        (settings("limits", "connect-timeout"), 0),
        (settings("limits", "send-cap"), 0),  # named as max_attempts, a word of the program's own
        (settings("limits", "max-open"), -1),
        (settings("guarantees", "drain-grace"), -1),
        (settings("guarantees", "start-capacity"), 2),
        (settings("peers-total"), 0),
        (settings("zones"), [1]),
        (settings("zone"), 7),
        (settings("specifics", "origin-kind"), 9),  # no node was the origin
        (settings("membership-mode"), "sometimes"),  # taken for on_request: nobody followed the list
        (("limits", "memory_mb"), 0),
        (("limits", "cores"), -1),
        (("known", "members", 0, "phase"), "asleep"),  # ended the start with a traceback and exit code 1
        (("known", "members", 0, "host_port"), "127.0.0.1"),
    ],
    ids=str,
)
def test_a_setting_that_is_malformed_is_named(tmp_path, path, value):
    with pytest.raises(ConfigError, match=str(path[-1])):
        read(tmp_path, changed(CONFIG, path, value))


def test_a_file_that_nests_without_end_is_an_error_like_others(tmp_path):
    with pytest.raises(ConfigError, match="EDGE_CONFIG"):
        read(tmp_path, '{"settings":' + "[" * 100_000)


def test_what_is_told_as_zero_is_zero_and_not_some_other_sites_figure(tmp_path):
    told = changed(CONFIG, settings("guarantees", "drain-grace"), 0)
    told = changed(told, settings("guarantees", "start-capacity"), 0)
    got = read(tmp_path, told).settings
    # Both were replaced as if missing: 1000 ms of drain time, and full capacity from the first moment on.
    assert got.drain_grace_ms == 0.0
    assert 0.0 < got.start_capacity <= 0.01


def test_lists_that_are_pushed_need_no_time_for_asking(tmp_path):
    told = changed(CONFIG, settings("guarantees", "ask-within"), ...)
    assert read(tmp_path, changed(told, settings("membership-mode"), "pushed")).settings.is_list_pushed


JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


@given(st.sampled_from(list(places(SETTINGS))), JUNK)
def test_whatever_stands_in_a_settings_place_it_is_read_or_named(path, junk):
    raw = changed(SETTINGS, path, junk)
    try:
        check_required_settings(raw)
        read_settings(raw)
    except ValueError as error:
        message = str(error)
    else:
        return
    assert ":" in message
    assert "\n" not in message
