"""The messages of a handover stay the same to the byte, because the two processes may be of two releases.

The bytes in `data/handover_messages.json` were written by release 777463e, each ending in its newline.
"""

import json
from pathlib import Path

import msgspec
import pytest

from cloverwell.handover.messages import HandoverState, Hello, Serves, decode, encode
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.membership.node_starts import KnownStarts, NodeStart

GOLDEN = json.loads((Path(__file__).parent / "data" / "handover_messages.json").read_text())


def build_node_starts(value):
    if value is None:
        return None
    starts = {
        node: NodeStart(start["up_since_ms"], start["started_ms"]) for node, start in value["starts"].items()
    }
    return KnownStarts(value["clock_ms"], value["listed_ms"], starts)


def build_handover_state(value):
    members = [Endpoint(**member) for member in value["table"]["members"]]
    table = EndpointList(value["table"]["revision"], value["table"]["complete"], members)
    return HandoverState(value["version"], value["sockets"], table, build_node_starts(value["node_starts"]))


BUILDERS = {
    "hello": lambda value: Hello(value["version"], value["listen"]),
    "handover_state": build_handover_state,
    "serves": lambda value: Serves(value["serves"]),
}


def build_message(row):
    return BUILDERS[row["type"]](row["value"])


def test_each_type_of_message_is_recorded():
    assert {row["type"] for row in GOLDEN} == set(BUILDERS)


def test_a_state_with_several_members_and_node_starts_is_recorded():
    states = [row["value"] for row in GOLDEN if row["type"] == "handover_state"]
    assert max(len(state["table"]["members"]) for state in states) == 3
    assert any(state["node_starts"] and len(state["node_starts"]["starts"]) == 2 for state in states)


@pytest.mark.parametrize("row", GOLDEN, ids=lambda row: row["name"])
def test_a_recorded_message_is_decoded_to_the_same_value(row):
    message = build_message(row)
    data = bytes.fromhex(row["hex"])
    assert data.endswith(b"\n")
    assert decode(data.removesuffix(b"\n"), type(message)) == message


@pytest.mark.parametrize("row", GOLDEN, ids=lambda row: row["name"])
def test_a_value_is_encoded_to_the_recorded_message(row):
    assert encode(build_message(row)).hex() == row["hex"]


@pytest.mark.parametrize("row", GOLDEN, ids=lambda row: row["name"])
def test_the_fields_on_the_wire_are_those_recorded(row):
    assert msgspec.to_builtins(build_message(row)) == row["value"]
