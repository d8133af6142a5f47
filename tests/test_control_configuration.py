"""A committed configuration against the one that a proxy started with: taken whole, or refused by field."""

import copy
import json

import pytest

from cloverwell.config import ConfigError, parse_config, read_config
from cloverwell.control.configuration import ConfigurationChange, check_document, digest, read_change
from lab.proxy_testbed import SETTINGS

NODES = [
    {"name": "north-1", "address": "127.0.0.1:7401", "region": "north"},
    {"name": "south-1", "address": "127.0.0.1:7402", "region": "south"},
    {"name": "north-2", "address": "127.0.0.1:7403", "region": "north"},
]
OWN = {
    "name": "proxy-1",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "operator": "127.0.0.1:5",
    "settings": SETTINGS,
    "control": {"nodes": NODES, "region": "north"},
}


def parse(document, environ=None):
    return parse_config(json.dumps(document).encode(), environ or {})


def change(document, own=None, environ=None):
    return read_change(json.dumps(own or OWN).encode(), json.dumps(document).encode(), environ or {})


def with_settings(**more):
    return {"settings": copy.deepcopy(SETTINGS) | more}


# The section of the file -----------------------------------------------------------------------------


def test_the_nodes_of_the_own_region_stand_apart():
    control = parse(OWN).control
    assert control.local_nodes == {"north-1": ("127.0.0.1", 7401), "north-2": ("127.0.0.1", 7403)}
    assert control.remote_nodes == {"south-1": ("127.0.0.1", 7402)}
    assert control.region == "north"
    assert control.catch_up_timeout_ms == 5000.0
    assert control.log == "fleet"


def test_without_the_section_there_is_no_control():
    config = parse({name: value for name, value in OWN.items() if name != "control"})
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
def test_a_malformed_section_is_named(section, field):
    with pytest.raises(ConfigError, match=field):
        parse(OWN | {"control": section})


def test_a_proxy_that_follows_the_log_has_a_name():
    with pytest.raises(ConfigError, match="name: is missing"):
        parse(OWN | {"name": ""})
    assert parse(OWN | {"name": ""}, {"EDGE_NAME": "proxy-9"}).name == "proxy-9"


# A committed entry -----------------------------------------------------------------------------------


def test_discovery_and_the_number_of_proxies_may_change():
    document = with_settings(**{"peers-total": 480}) | {"discovery": "127.0.0.1:9"}
    assert change(document) == ConfigurationChange(("127.0.0.1", 9), 480)


def test_what_an_entry_does_not_name_is_the_proxys_own():
    assert change({}) == ConfigurationChange(("127.0.0.1", 2), SETTINGS["peers-total"])
    assert change({"discovery": "127.0.0.1:9"}).peers_total == SETTINGS["peers-total"]


def test_the_variable_of_discovery_is_older_than_an_entry():
    environ = {"EDGE_DISCOVERY": "127.0.0.1:77", "EDGE_LISTEN": "127.0.0.1:78"}
    assert change({"discovery": "127.0.0.1:9"}, environ=environ).discovery == ("127.0.0.1", 9)


def test_another_wording_of_the_same_settings_is_no_change():
    worded = {"zone": 0, "not-known-here": 5} | SETTINGS
    worded |= {"granularity": float(SETTINGS["granularity"]), "over-share-worth": 1, "peers-total": 3}
    assert change({"settings": worded}).peers_total == 3


@pytest.mark.parametrize(
    ("document", "field"),
    [
        ({"listen": "127.0.0.1:8"}, "listen"),
        ({"name": "proxy-2"}, "name"),
        ({"limits": {"sockets": 99}}, "limits"),
        ({"control": {"nodes": NODES[:1]}}, "control"),
        (with_settings(granularity=11), "settings.granularity"),
        (with_settings(limits=SETTINGS["limits"] | {"send-cap": 2}), "settings.limits.send-cap"),
        (with_settings(classes=SETTINGS["classes"][:2]), "settings.classes"),
        (with_settings(granularity=11, **{"peers-total": 9}), "settings.granularity"),
    ],
    ids=str,
)
def test_what_cannot_change_at_run_time_is_refused_by_its_name(document, field):
    with pytest.raises(ConfigError, match=f"^{field}: can't be changed at run time"):
        change(document | {"discovery": "127.0.0.1:9"})


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
def test_what_the_reader_of_files_refuses_is_refused_in_its_words(document, field):
    with pytest.raises(ConfigError, match=field):
        change(document)
    # As far as it can be checked without a proxy's own file, a proposal is refused in the same words.
    with pytest.raises(ConfigError, match=field):
        check_document(json.dumps(document).encode())


def test_what_a_proxy_takes_may_be_proposed():
    check_document(b"{}")
    check_document(json.dumps(with_settings(**{"peers-total": 9}) | {"discovery": "127.0.0.1:9"}).encode())


def test_a_document_that_is_no_json_is_refused():
    with pytest.raises(ConfigError, match="configuration"):
        read_change(json.dumps(OWN).encode(), b"{", {})


def test_digests_tell_documents_apart():
    assert digest(b"{}") == digest(b"{}") != digest(b"{ }")
    assert len(digest(b"")) == 16


def test_a_file_with_the_section_keeps_its_text(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(OWN))
    assert read_config({"EDGE_CONFIG": str(path)}).document == path.read_bytes()
