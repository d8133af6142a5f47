"""A control node's storage: what was acknowledged is there again, and what can't be trusted is refused."""

import os

import pytest
from control_rig import entry, snapshot
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwell.control.server import durable_files
from cloverwell.control.server.file_storage import FILE_NAME, FileStorage
from cloverwell.control.server.records import HEADER
from cloverwell.control.storage import StorageError, StoredState, Write

WRITES = [
    Write(1, ""),
    Write(1, "a"),
    Write(1, "a", entries=(entry(1), entry(2))),
    Write(2, "", truncate_from=2, entries=(entry(2, 2), entry(3, 2, bytes(5000)))),
    Write(2, "", snapshot=snapshot(entry(1), entry(2, 2))),
    Write(3, "b", entries=(entry(4, 3),)),
]


def reopened(folder):
    storage = FileStorage(folder)
    state = storage.load()
    storage.close()
    return state


def fill(folder, writes):
    storage = FileStorage(folder)
    for write in writes:
        storage.write(write)
    storage.close()


@pytest.mark.parametrize("number", range(len(WRITES) + 1))
def test_what_was_written_is_there_again(tmp_path, number):
    expected = StoredState()
    for write in WRITES[:number]:
        expected = expected.after(write)
    fill(tmp_path / "new" / "folder", WRITES[:number])
    assert reopened(tmp_path / "new" / "folder") == expected


@settings(deadline=None, max_examples=60)
@given(st.data())
def test_a_record_that_is_cut_off_anywhere_is_dropped_and_those_before_it_stay(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("storage")
    kept, last = WRITES[:3], WRITES[3]
    fill(folder, kept)
    sound = (folder / FILE_NAME).stat().st_size
    fill(folder, [last])
    whole = (folder / FILE_NAME).stat().st_size
    os.truncate(folder / FILE_NAME, data.draw(st.integers(sound, whole - 1)))
    storage = FileStorage(folder)
    expected = StoredState()
    for write in kept:
        expected = expected.after(write)
    assert storage.load() == expected
    storage.write(last)  # and it goes on from there
    storage.close()
    assert reopened(folder) == expected.after(last)


def test_a_last_record_whose_bytes_are_wrong_is_dropped(tmp_path):
    fill(tmp_path, WRITES[:2])
    sound = (tmp_path / FILE_NAME).stat().st_size
    fill(tmp_path, WRITES[2:3])
    content = bytearray((tmp_path / FILE_NAME).read_bytes())
    content[-1] ^= 1
    (tmp_path / FILE_NAME).write_bytes(content)
    storage = FileStorage(tmp_path)
    assert storage.dropped_bytes == len(content) - sound
    assert storage.load() == StoredState().after(WRITES[0]).after(WRITES[1])
    storage.close()


def test_a_tail_of_zeros_is_a_torn_record(tmp_path):
    fill(tmp_path, WRITES[:3])
    with (tmp_path / FILE_NAME).open("ab") as file:
        file.write(bytes(4096))
    storage = FileStorage(tmp_path)
    assert storage.dropped_bytes == 4096
    assert storage.load().entries == WRITES[2].entries
    storage.close()


@pytest.mark.parametrize("place", [0, 3, 5, 9, HEADER.size])
def test_a_damaged_record_before_others_is_refused(tmp_path, place):
    # With a damaged length all that follows would look like one torn record, and be cut off.
    fill(tmp_path, WRITES[:3])
    content = bytearray((tmp_path / FILE_NAME).read_bytes())
    content[place] ^= 1
    (tmp_path / FILE_NAME).write_bytes(content)
    with pytest.raises(StorageError, match="byte 0 is damaged"):
        FileStorage(tmp_path)
    assert (tmp_path / FILE_NAME).read_bytes() == content  # nothing of it was cut off


def test_a_snapshot_shortens_the_file(tmp_path):
    fill(tmp_path, WRITES[:4])
    before = (tmp_path / FILE_NAME).stat().st_size
    fill(tmp_path, [Write(2, "", snapshot=snapshot(entry(1), entry(2, 2), entry(3, 2)))])
    assert (tmp_path / FILE_NAME).stat().st_size < before + HEADER.size
    assert reopened(tmp_path).entries == ()


def test_a_crash_before_the_new_file_is_in_place_leaves_the_old_one(tmp_path, monkeypatch):
    fill(tmp_path, WRITES[:4])
    expected = reopened(tmp_path)

    def crash(*_args):
        raise OSError(5, "crashed here")

    storage = FileStorage(tmp_path)
    monkeypatch.setattr(durable_files.os, "rename", crash)
    with pytest.raises(StorageError, match="crashed here"):
        storage.write(WRITES[4])
    storage.close()
    monkeypatch.undo()
    assert reopened(tmp_path) == expected


def test_a_write_is_durable_before_it_returns(tmp_path, monkeypatch):
    synced = []
    real = os.fdatasync

    def sync(file):
        real(file)
        synced.append(os.fstat(file).st_size)

    monkeypatch.setattr(durable_files.os, "fdatasync", sync)
    storage = FileStorage(tmp_path)
    for write in WRITES[:4]:
        storage.write(write)
        assert synced[-1] == (tmp_path / FILE_NAME).stat().st_size
    storage.close()
    assert len(synced) == 4


def test_a_disk_that_fails_is_an_error_and_not_a_silent_loss(tmp_path, monkeypatch):
    def full(*_args):
        raise OSError(28, "No space left on device")

    storage = FileStorage(tmp_path)
    monkeypatch.setattr(durable_files.os, "fdatasync", full)
    with pytest.raises(StorageError, match="No space left"):
        storage.write(WRITES[0])
    storage.close()


def test_a_folder_is_one_processes_alone(tmp_path):
    storage = FileStorage(tmp_path)
    with pytest.raises(StorageError, match="another process uses it"):
        FileStorage(tmp_path)
    storage.close()
    FileStorage(tmp_path).close()


def test_a_folder_that_cannot_be_made_is_an_error(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(StorageError):
        FileStorage(tmp_path / "file" / "data")
