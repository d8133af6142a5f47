"""The control log's messages and entries: encoding, digests, states and bounds, and the modules' imports."""

import ast
import contextlib
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

import cloverwell.control
from cloverwell.control.entry import (
    EMPTY_SNAPSHOT,
    MAX_SNAPSHOT_PURGE_BYTES,
    MAX_SNAPSHOT_PURGES,
    START_POSITION,
    Entry,
    EntryKind,
    LogState,
    Position,
    Snapshot,
)
from cloverwell.control.messages import (
    MAX_MESSAGE_BYTES,
    VERSION,
    Acknowledge,
    AppendEntries,
    Entries,
    FleetCount,
    Heartbeat,
    MessageError,
    Propose,
    SnapshotTransfer,
    Subscribe,
    SubscriberReport,
    decode,
    encode,
)

ENTRY = Entry(1, 1, EntryKind.CONFIGURATION, b"\x00limits\xff", "change-7")
SNAPSHOT = Snapshot.of(START_POSITION.after(ENTRY), 1, LogState().after(ENTRY))
MESSAGES = [
    AppendEntries(3, "a", 0, 0, (ENTRY,), 0, 12.5),
    Subscribe("proxy", 17, 1, "main", START_POSITION, 0, 5.0, "b"),
    SnapshotTransfer(SNAPSHOT),
    Entries(START_POSITION, (ENTRY,)),
    Heartbeat(START_POSITION, 4.5, 7000.0, FleetCount(480, 2, True)),
    Acknowledge(START_POSITION, 5.5, 3, "limits: unknown name"),
    Propose("change-7", EntryKind.CONFIGURATION, b"{}"),
    SubscriberReport("a", 69, 0),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_decoded_message_equals_the_encoded_one(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "empty"),
        (bytes((VERSION + 1,)) + encode(MESSAGES[0])[1:], "version"),
        (encode(MESSAGES[0])[:-3], "malformed"),
        (bytes((VERSION,)) + b"\xff\xfe", "malformed"),
        (bytes((VERSION,)) + msgspec.msgpack.encode({"type": "Unheard"}), "malformed"),
        (bytes((VERSION,)) * (MAX_MESSAGE_BYTES + 1), "too long"),
    ],
)
def test_bytes_that_are_no_message_are_rejected_with_a_reason(data, reason):
    with pytest.raises(MessageError, match=reason):
        decode(data)


@given(st.binary(max_size=64))
def test_no_bytes_raise_anything_but_a_message_error(data):
    with contextlib.suppress(MessageError):
        decode(data)


def test_a_field_that_a_newer_version_adds_is_ignored():
    fields = msgspec.msgpack.decode(encode(MESSAGES[-1])[1:])
    data = bytes((VERSION,)) + msgspec.msgpack.encode({**fields, "colour": "green"})
    assert decode(data) == MESSAGES[-1]


def test_positions_differ_for_logs_that_differ_in_any_field_of_an_early_entry():
    last = Entry(2, 1, EntryKind.PURGE, b"key")
    changed = [{"term": 2}, {"kind": EntryKind.PURGE}, {"payload": b"other"}, {"proposal": "change-8"}]
    logs = [ENTRY, *(msgspec.structs.replace(ENTRY, **change) for change in changed)]
    assert len({START_POSITION.after(first).after(last).digest for first in logs}) == len(logs)


def test_only_the_next_entry_follows_a_position():
    with pytest.raises(ValueError, match="does not follow"):
        Position(1, b"").after(Entry(3, 1, EntryKind.NOOP))


def test_a_state_has_the_latest_entry_of_each_kind_and_the_latest_purges():
    state = LogState()
    for index in range(1, MAX_SNAPSHOT_PURGES + 3):
        state = state.after(Entry(index, 1, EntryKind.PURGE, b"key"))
    assert [state.purges[0].index, len(state.purges), state.purges_complete_from] == [
        3,
        MAX_SNAPSHOT_PURGES,
        2,
    ]
    state = state.after(Entry(2000, 1, EntryKind.CONFIGURATION, b"old")).after(Entry(2001, 1, EntryKind.NOOP))
    state = state.after(Entry(2002, 1, EntryKind.CONFIGURATION, b"new"))
    assert {kind: entry.payload for kind, entry in state.latest.items()} == {"configuration": b"new"}


def test_a_state_keeps_no_more_bytes_of_purges_than_a_snapshot_may_hold():
    state = LogState()
    for index in range(1, 8):
        state = state.after(Entry(index, 1, EntryKind.PURGE, bytes(MAX_SNAPSHOT_PURGE_BYTES // 3)))
    assert [purge.index for purge in state.purges] == [5, 6, 7]
    assert state.purges_complete_from == 4


def test_a_snapshot_that_was_changed_is_not_intact():
    assert SNAPSHOT.is_intact
    assert EMPTY_SNAPSHOT.is_intact
    assert decode(encode(SnapshotTransfer(SNAPSHOT))).snapshot.is_intact
    for change in ({"term": 2}, {"state": LogState()}, {"position": START_POSITION}, {"checksum": bytes(16)}):
        assert not msgspec.structs.replace(SNAPSHOT, **change).is_intact


MODULES_WITHOUT_IO = [
    "consensus",
    "control_node",
    "delivery",
    "effects",
    "entry",
    "errors",
    "fleet",
    "leadership",
    "messages",
    "node_selection",
    "proposals",
    "replicated_log",
    "storage",
    "subscriber",
    "subscribers",
    "subscription",
    "timing",
]
ALLOWED_IMPORTS = {"__future__", "collections", "enum", "hashlib", "msgspec", "random", "typing"}


@pytest.mark.parametrize("name", MODULES_WITHOUT_IO)
def test_a_module_of_the_control_log_imports_nothing_that_does_io_or_reads_a_clock(name):
    source = Path(cloverwell.control.__file__).with_name(f"{name}.py").read_text()
    for node in ast.walk(ast.parse(source)):
        modules = [node.module] if isinstance(node, ast.ImportFrom) else []
        modules += [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        for module in modules:
            is_own_module = (
                module.startswith("cloverwell.control.") and module.rpartition(".")[2] in MODULES_WITHOUT_IO
            )
            assert is_own_module or module.partition(".")[0] in ALLOWED_IMPORTS, f"{name} imports {module}"


def test_importing_the_proxy_does_not_import_the_control_log():
    program = (
        "import sys, cloverwell.proxy; sys.exit(any('cloverwell.control' in name for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", program], timeout=60).returncode == 0
