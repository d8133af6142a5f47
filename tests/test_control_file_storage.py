"""A control node's storage: acknowledged writes are read back, and a damaged file is refused."""

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
    """Opens the storage again, and returns the state that it loads."""
    storage = FileStorage(folder)
    state = storage.load()
    storage.close()
    return state


def fill(folder, writes):
    """Makes writes in a folder's storage, and closes it."""
    storage = FileStorage(folder)
    for write in writes:
        storage.write(write)
    storage.close()


@pytest.mark.parametrize("number", range(len(WRITES) + 1))
def test_the_state_is_the_same_after_reopening(tmp_path, number):
    expected = StoredState()
    for write in WRITES[:number]:
        expected = expected.after(write)
    fill(tmp_path / "new" / "folder", WRITES[:number])
    assert reopened(tmp_path / "new" / "folder") == expected


@settings(deadline=None, max_examples=60)
@given(st.data())
def test_a_last_record_cut_off_anywhere_is_dropped_and_those_before_it_stay(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("storage")
    earlier, last = WRITES[:3], WRITES[3]
    fill(folder, earlier)
    valid_bytes = (folder / FILE_NAME).stat().st_size
    fill(folder, [last])
    total_bytes = (folder / FILE_NAME).stat().st_size
    os.truncate(folder / FILE_NAME, data.draw(st.integers(valid_bytes, total_bytes - 1)))
    storage = FileStorage(folder)
    expected = StoredState()
    for write in earlier:
        expected = expected.after(write)
    assert storage.load() == expected
    storage.write(last)  # The storage accepts further writes.
    storage.close()
    assert reopened(folder) == expected.after(last)


def test_a_last_record_with_a_wrong_body_checksum_is_dropped(tmp_path):
    fill(tmp_path, WRITES[:2])
    valid_bytes = (tmp_path / FILE_NAME).stat().st_size
    fill(tmp_path, WRITES[2:3])
    content = bytearray((tmp_path / FILE_NAME).read_bytes())
    content[-1] ^= 1
    (tmp_path / FILE_NAME).write_bytes(content)
    storage = FileStorage(tmp_path)
    assert storage.dropped_bytes == len(content) - valid_bytes
    assert storage.load() == StoredState().after(WRITES[0]).after(WRITES[1])
    storage.close()


def test_zeros_at_the_end_of_the_file_are_dropped_as_a_torn_record(tmp_path):
    fill(tmp_path, WRITES[:3])
    with (tmp_path / FILE_NAME).open("ab") as file:
        file.write(bytes(4096))
    storage = FileStorage(tmp_path)
    assert storage.dropped_bytes == 4096
    assert storage.load().entries == WRITES[2].entries
    storage.close()


@pytest.mark.parametrize("offset", [0, 3, 5, 9, HEADER.size])
def test_a_damaged_record_before_others_is_refused(tmp_path, offset):
    # Without a header checksum, all that follows a damaged length would be dropped as one torn record.
    fill(tmp_path, WRITES[:3])
    content = bytearray((tmp_path / FILE_NAME).read_bytes())
    content[offset] ^= 1
    (tmp_path / FILE_NAME).write_bytes(content)
    with pytest.raises(StorageError, match="byte 0 is damaged"):
        FileStorage(tmp_path)
    assert (tmp_path / FILE_NAME).read_bytes() == content  # The refused file stays as it was.


def test_a_snapshot_shortens_the_file(tmp_path):
    fill(tmp_path, WRITES[:4])
    before = (tmp_path / FILE_NAME).stat().st_size
    fill(tmp_path, [Write(2, "", snapshot=snapshot(entry(1), entry(2, 2), entry(3, 2)))])
    assert (tmp_path / FILE_NAME).stat().st_size < before + HEADER.size
    assert reopened(tmp_path).entries == ()


def test_a_crash_before_the_rename_leaves_the_old_file(tmp_path, monkeypatch):
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
    synced_sizes = []
    real_fdatasync = os.fdatasync

    def sync(file):
        real_fdatasync(file)
        synced_sizes.append(os.fstat(file).st_size)

    monkeypatch.setattr(durable_files.os, "fdatasync", sync)
    storage = FileStorage(tmp_path)
    for write in WRITES[:4]:
        storage.write(write)
        assert synced_sizes[-1] == (tmp_path / FILE_NAME).stat().st_size
    storage.close()
    assert len(synced_sizes) == 4


def test_a_write_on_a_full_disk_raises_an_error(tmp_path, monkeypatch):
    def fail_for_space(*_args):
        raise OSError(28, "No space left on device")

    storage = FileStorage(tmp_path)
    monkeypatch.setattr(durable_files.os, "fdatasync", fail_for_space)
    with pytest.raises(StorageError, match="No space left"):
        storage.write(WRITES[0])
    storage.close()


def test_a_folder_can_be_open_in_one_storage_at_a_time(tmp_path):
    storage = FileStorage(tmp_path)
    with pytest.raises(StorageError, match="another process uses it"):
        FileStorage(tmp_path)
    storage.close()
    FileStorage(tmp_path).close()


def test_a_folder_that_cannot_be_made_raises_an_error(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(StorageError):
        FileStorage(tmp_path / "file" / "data")
