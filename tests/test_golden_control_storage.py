"""Files and frames written by revision 777463e, which this code must read, and write with the same bytes."""

import hashlib
import json
from pathlib import Path

import msgspec
import pytest

from cloverwell.control.net.framing import FrameDecoder, encode_frame
from cloverwell.control.net.wire import decode_body, encode_body
from cloverwell.control.server.file_storage import FILE_NAME, FileStorage

DATA = Path(__file__).parent / "data"
LOGS = json.loads((DATA / "control_log_777463e.json").read_text())
MESSAGES = json.loads((DATA / "control_wire.json").read_text())
DIGEST_BYTES = 16


def state_digest(state):
    """Returns a digest of the encoded content, which doesn't depend on the names of Python classes."""
    content = msgspec.msgpack.Encoder(order="sorted").encode(state)
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def position_and_state_at_end(stored):
    """Returns the position after the last entry, and the log's state there."""
    position, log_state = stored.snapshot.position, stored.snapshot.state
    for entry in stored.entries:
        position, log_state = position.after(entry), log_state.after(entry)
    return position, log_state


@pytest.fixture(params=LOGS)
def expected(request, tmp_path):
    """Puts a file of revision 777463e into `tmp_path`, and returns what that revision read from it."""
    (tmp_path / FILE_NAME).write_bytes((DATA / request.param).read_bytes())
    return LOGS[request.param]


@pytest.fixture
def storage(expected, tmp_path):
    opened = FileStorage(tmp_path)
    yield opened
    opened.close()


@pytest.fixture
def stored(storage):
    return storage.load()


def test_the_term_and_the_vote_are_read(expected, stored):
    assert (stored.term, stored.vote) == (expected["term"], expected["vote"])


def test_the_snapshot_is_read_intact(expected, stored):
    assert stored.snapshot.position.index == expected["snapshot_index"]
    assert stored.snapshot.is_intact is expected["snapshot_intact"] is True


def test_entries_of_each_kind_are_read(expected, stored):
    assert [entry.kind for entry in stored.entries] == expected["entry_kinds"]


def test_the_log_ends_at_the_same_position(expected, stored):
    position, _ = position_and_state_at_end(stored)
    assert position.index == expected["position_index"]
    assert position.digest.hex() == expected["position_digest"]


def test_the_state_has_the_same_digest(expected, stored):
    assert state_digest(stored) == expected["stored_state_digest"]
    assert state_digest(position_and_state_at_end(stored)[1]) == expected["log_state_digest"]


def test_exactly_the_torn_record_is_dropped(expected, storage):
    assert storage.dropped_bytes == expected["dropped_bytes"]


def test_the_file_that_the_start_rewrites_has_the_same_bytes(expected, storage, tmp_path):
    content = (tmp_path / FILE_NAME).read_bytes()
    assert len(content) == expected["rewritten_bytes"]
    assert hashlib.sha256(content).hexdigest() == expected["rewritten_sha256"]


@pytest.mark.parametrize("name", MESSAGES)
def test_a_body_is_decoded_to_the_same_message_and_encoded_to_the_same_bytes(name):
    body = bytes.fromhex(MESSAGES[name]["body"])
    message = decode_body(body)
    assert json.loads(json.dumps(msgspec.to_builtins(message))) == MESSAGES[name]["fields"]
    assert encode_body(message) == body


@pytest.mark.parametrize("name", MESSAGES)
def test_a_frame_is_decoded_to_the_same_body_and_encoded_to_the_same_bytes(name):
    body, frame = (bytes.fromhex(MESSAGES[name][part]) for part in ("body", "frame"))
    assert list(FrameDecoder().feed(frame)) == [body]
    assert encode_frame(body) == frame
