"""The control section of a proxy's file, and what a committed configuration may change at a proxy.

A committed document is accepted as a whole, or refused with the field that can't be changed.
"""

import copy
import json

import pytest

from cloverwell.config import ConfigError, parse_config, read_config
from cloverwell.control.configuration import ConfigurationChange, check_document, document_digest, read_change
from lab.proxy_testbed import SETTINGS

NODES = [
    {"name": "north-1", "address": "127.0.0.1:7401", "region": "north"},
    {"name": "south-1", "address": "127.0.0.1:7402", "region": "south"},
    {"name": "north-2", "address": "127.0.0.1:7403", "region": "north"},
]
OWN_FILE = {
    "name": "proxy-1",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "operator": "127.0.0.1:5",
    "settings": SETTINGS,
    "control": {"nodes": NODES, "region": "north"},
}


def parse_document(document, environ=None):
    return parse_config(json.dumps(document).encode(), environ or {})


def read_document(document, own_file=None, environ=None):
    return read_change(
        json.dumps(own_file or OWN_FILE).encode(), json.dumps(document).encode(), environ or {}
    )


def with_settings(**more):
    return {"settings": copy.deepcopy(SETTINGS) | more}


# The control section of a configuration file --------------------------------------------------------


def test_the_nodes_of_the_own_region_are_listed_apart():
    control = parse_document(OWN_FILE).control
    assert control.local_nodes == {"north-1": ("127.0.0.1", 7401), "north-2": ("127.0.0.1", 7403)}
    assert control.remote_nodes == {"south-1": ("127.0.0.1", 7402)}
    assert control.region == "north"
    assert control.catch_up_timeout_ms == 5000.0
    assert control.log == "fleet"


def test_without_a_control_section_no_log_is_followed():
    config = parse_document({name: value for name, value in OWN_FILE.items() if name != "control"})
    assert config.control is None
    assert config.document == b""


@pytest.mark.parametrize(
    ("section", "field"),
    [
        ({}, "control.nodes: is missing"),
        ({"nodes": []}, "control.nodes: is missing"),
        ({"nodes": [{"name": "a"}]}, "control.nodes.address: is missing"),
        ({"nodes": [{"name": "a", "address": "here"}]}, "control.nodes.address: not an address"),
        ({"nodes": [{"address": "127.0.0.1:7"}]}, "control.nodes.name: is missing"),
        (
            {"nodes": [NODES[0], NODES[1] | {"name": "north-1"}]},
            "control.nodes.name: 'north-1' is used twice",
        ),
        (
            {"nodes": [NODES[0], NODES[0] | {"name": "b"}]},
            "control.nodes.address: 127.0.0.1:7401 is used twice",
        ),
        ({"nodes": NODES, "log": ""}, "control.log: is missing"),
        ({"nodes": NODES, "wait_ms": -1}, "control.wait_ms"),
        ({"nodes": NODES, "wait_ms": 60_000}, "control.wait_ms"),
        ({"nodes": "127.0.0.1:1"}, "control.nodes"),
        ("127.0.0.1:1", "control"),
    ],
    ids=str,
)
def test_an_error_names_the_malformed_field_of_the_section(section, field):
    with pytest.raises(ConfigError, match=field):
        parse_document(OWN_FILE | {"control": section})


def test_a_proxy_that_follows_the_log_needs_a_name():
    with pytest.raises(ConfigError, match="name: is missing"):
        parse_document(OWN_FILE | {"name": ""})
    assert parse_document(OWN_FILE | {"name": ""}, {"EDGE_NAME": "proxy-9"}).name == "proxy-9"


# A committed entry -----------------------------------------------------------------------------------


def test_discovery_and_the_number_of_proxies_may_change():
    document = with_settings(**{"peers-total": 480}) | {"discovery": "127.0.0.1:9"}
    assert read_document(document) == ConfigurationChange(("127.0.0.1", 9), 480)


def test_a_field_that_an_entry_does_not_name_keeps_the_proxys_own_value():
    assert read_document({}) == ConfigurationChange(("127.0.0.1", 2), SETTINGS["peers-total"])
    assert read_document({"discovery": "127.0.0.1:9"}).peers_total == SETTINGS["peers-total"]


def test_an_entry_overrides_the_environment_variable_of_discovery():
    environ = {"EDGE_DISCOVERY": "127.0.0.1:77", "EDGE_LISTEN": "127.0.0.1:78"}
    assert read_document({"discovery": "127.0.0.1:9"}, environ=environ).discovery == ("127.0.0.1", 9)


def test_the_same_settings_written_differently_are_no_change():
    rewritten = {"zone": 0, "not-known-here": 5} | SETTINGS
    rewritten |= {"granularity": float(SETTINGS["granularity"]), "over-share-worth": 1, "peers-total": 3}
    assert read_document({"settings": rewritten}).peers_total == 3


@pytest.mark.parametrize(
    ("document", "field"),
    [
        ({"listen": "127.0.0.1:8"}, "listen"),
        ({"name": "proxy-2"}, "name"),
        ({"limits": {"sockets": 99}}, "limits"),
        ({"known": {"revision": 7, "complete": True, "members": []}}, "known"),
        ({"control": {"nodes": NODES[:1]}}, "control"),
        (with_settings(granularity=11), "settings.granularity"),
        (with_settings(limits=SETTINGS["limits"] | {"send-cap": 2}), "settings.limits.send-cap"),
        (with_settings(classes=SETTINGS["classes"][:2]), "settings.classes"),
        (with_settings(granularity=11, **{"peers-total": 9}), "settings.granularity"),
    ],
    ids=str,
)
def test_a_change_that_is_impossible_at_run_time_is_refused_with_its_field(document, field):
    with pytest.raises(ConfigError, match=f"^{field}: can't be changed at run time"):
        read_document(document | {"discovery": "127.0.0.1:9"})


@pytest.mark.parametrize(
    ("document", "field"),
    [
        (with_settings(**{"peers-total": 0}), "settings: peers-total"),
        (with_settings(classes=[]), "settings: classes"),
        ({"discovery": "nowhere"}, "discovery"),
        ({"settings": None}, "settings: is missing"),
        ([], "configuration"),
    ],
    ids=str,
)
def test_an_invalid_document_is_refused_with_the_error_of_a_configuration_file(document, field):
    with pytest.raises(ConfigError, match=field):
        read_document(document)
    # A proposal is refused with the same error, as far as that can be checked without a proxy's own file.
    with pytest.raises(ConfigError, match=field):
        check_document(json.dumps(document).encode())


def test_a_document_that_a_proxy_accepts_may_be_proposed():
    check_document(b"{}")
    check_document(json.dumps(with_settings(**{"peers-total": 9}) | {"discovery": "127.0.0.1:9"}).encode())


def test_a_document_that_is_not_json_is_refused():
    with pytest.raises(ConfigError, match="configuration"):
        read_change(json.dumps(OWN_FILE).encode(), b"{", {})


def test_different_documents_have_different_digests():
    assert document_digest(b"{}") == document_digest(b"{}") != document_digest(b"{ }")
    assert len(document_digest(b"")) == 16


def test_a_configuration_with_a_control_section_keeps_the_text_of_its_file(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(OWN_FILE))
    assert read_config({"EDGE_CONFIG": str(path)}).document == path.read_bytes()
