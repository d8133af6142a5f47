"""The bytes of each message of the control log in version 1 of the wire format.

The examples in `data/control_messages.json` were encoded before the types were renamed. A renamed type or
field must not change them, since control nodes and proxies of both releases run beside each other.
"""

import json
from pathlib import Path

import msgspec
import pytest

from cloverwell.control.entry import Entry, EntryKind, LogState, Position, Snapshot
from cloverwell.control.messages import (
    Acknowledge,
    AppendAnswer,
    AppendEntries,
    Entries,
    FleetCount,
    FleetSummary,
    Goodbye,
    Heartbeat,
    InstallSnapshot,
    Message,
    PositionCount,
    ProposalAnswer,
    ProposalOutcome,
    Propose,
    Refusal,
    RefusalCount,
    RefusalReason,
    RequestVote,
    SnapshotTransfer,
    Subscribe,
    SubscriberMoved,
    SubscriberReport,
    VoteAnswer,
    decode,
    encode,
)

GOLDEN = json.loads(Path(__file__).with_name("data").joinpath("control_messages.json").read_text())

CONFIGURATION = Entry(41, 6, EntryKind.CONFIGURATION, "{'grüße': 1}".encode(), "änderung-7")
PURGE = Entry(42, 7, EntryKind.PURGE, b"\x00key\xff", "löschen-8")
MEMBERSHIP = Entry(43, 7, "eine neue Art é", b"", "")
POSITION = Position(43, bytes(range(16)))
STATE = LogState({"configuration": CONFIGURATION, "membership": MEMBERSHIP}, (PURGE,), 40)
SNAPSHOT = Snapshot.of(POSITION, 7, STATE)
FLEET = FleetCount(480, 2, True)
EXAMPLES = {
    "RequestVote": RequestVote(8, "nørd", 43, 7, pre_vote=True),
    "VoteAnswer": VoteAnswer(8, "süd", 9, True, pre_vote=True),
    "AppendEntries": AppendEntries(
        8, "nørd", 40, 6, (CONFIGURATION, PURGE, MEMBERSHIP), 41, 12.5, 11.25, 6999.5
    ),
    "InstallSnapshot": InstallSnapshot(8, "nørd", SNAPSHOT, 13.75),
    "AppendAnswer": AppendAnswer(8, "süd", True, 43, 12.5, 99.125),
    "SubscriberReport": SubscriberReport(
        "süd",
        69,
        3,
        (PositionCount(41, 7), PositionCount(43, 62)),
        (RefusalCount(41, "größe: unknown name", 2), RefusalCount(42, "purge: no key", 1)),
    ),
    "FleetSummary": FleetSummary(8, "nørd", FLEET),
    "SubscriberMoved": SubscriberMoved("prøxy-1", 2**53 + 1, 4),
    "Subscribe": Subscribe("prøxy-1", 2**53 + 1, 4, "hauptbüch", POSITION, 42, 5.5, "süd"),
    "Snapshotted": SnapshotTransfer(SNAPSHOT),
    "Entries": Entries(POSITION, (CONFIGURATION, PURGE)),
    "Heartbeat": Heartbeat(POSITION, 5.5, 6800.25, FLEET),
    "Acknowledge": Acknowledge(POSITION, 6.5, 41, "größe: unknown name"),
    "Refusal": Refusal(RefusalReason.OTHER_LOG),
    "Goodbye": Goodbye(),
    "Propose": Propose("änderung-7", EntryKind.CONFIGURATION, "{'grüße': 1}".encode(), 41),
    "ProposalAnswer": ProposalAnswer("änderung-7", ProposalOutcome.NOT_LEADER, 41, "nørd"),
}


def test_each_message_type_has_an_example():
    tags = {message_type.__struct_config__.tag for message_type in Message.__args__}
    assert tags == set(EXAMPLES)


def test_each_example_has_stored_bytes():
    assert set(GOLDEN) == set(EXAMPLES)


@pytest.mark.parametrize("name", EXAMPLES)
def test_stored_bytes_decode_to_the_expected_message(name):
    assert decode(bytes.fromhex(GOLDEN[name])) == EXAMPLES[name]


@pytest.mark.parametrize("name", EXAMPLES)
def test_a_message_encodes_to_the_stored_bytes(name):
    assert encode(EXAMPLES[name]).hex() == GOLDEN[name]


@pytest.mark.parametrize("name", EXAMPLES)
def test_the_tag_on_the_wire_is_the_stored_name(name):
    assert msgspec.msgpack.decode(bytes.fromhex(GOLDEN[name])[1:])["type"] == name
