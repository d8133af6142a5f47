"""Acknowledged writes of a control node survive an error, a kill or a power cut at any call to the disk."""

import errno
from pathlib import PurePosixPath

import pytest
from control_rig import entry, snapshot
from failing_files import Disk, Effect, Fault, Killed

from cloverwell.control.server import durable_files
from cloverwell.control.server.durable_files import NEW_SUFFIX
from cloverwell.control.server.file_storage import FILE_NAME, FileStorage, encode_write
from cloverwell.control.server.records import HEADER
from cloverwell.control.storage import StorageError, StoredState, Write

FOLDER = PurePosixPath("/machine/data")
ERRORS = [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EDQUOT]


WRITES = [
    Write(1, "a"),
    Write(2, "a", entries=(entry(1), entry(2))),
    Write(3, "", truncate_from=2, entries=(entry(2, 2), entry(3, 2, bytes(range(256)) * 3))),
    Write(4, "", snapshot=snapshot(entry(1), entry(2, 2))),
    Write(5, "b", entries=(entry(4, 3, bytes(700)),)),
]
STATES = [StoredState()]  # STATES[n] is the state after n writes.
for _write in WRITES:
    STATES.append(STATES[-1].after(_write))


@pytest.fixture
def disk(monkeypatch):
    new_disk = Disk()
    monkeypatch.setattr(durable_files, "os", new_disk)
    monkeypatch.setattr(durable_files, "fcntl", new_disk)
    new_disk.mkdir("/machine")
    new_disk.root.sync()
    new_disk.restart()
    return new_disk


def run_writes(writes=WRITES):
    """Opens the storage and writes until an error or a kill. Returns the number of acknowledged writes."""
    acknowledged = 0
    try:
        FileStorage(FOLDER).close()  # so that the next start has a file to read
        storage = FileStorage(FOLDER)
        for write in writes:
            storage.write(write)
            acknowledged += 1
    except (StorageError, Killed):
        pass
    return acknowledged


def recover():
    """Opens the storage again, and returns the state that it loads."""
    storage = FileStorage(FOLDER)
    state = storage.load()
    storage.close()
    return state


def healthy_calls(disk):
    """Returns the names of the calls that the writes make when no call fails."""
    assert run_writes() == len(WRITES)
    assert {"write", "fsync", "fdatasync", "rename", "folder sync", "open", "read"} <= set(disk.calls)
    return list(disk.calls)


def reset_disk(disk):
    """Makes the disk new and empty again."""
    disk.__init__()
    disk.mkdir("/machine")
    disk.root.sync()
    disk.restart()


def each_fault(calls, errors):
    """Yields a fault for each call, error and effect, once for this call only and once for all later ones."""
    for call in range(len(calls)):
        for error in errors:
            for effect in Effect:
                for permanent in (False, True):
                    yield Fault(call, error, effect, permanent)


def check_after(disk, fault, lose_data):
    """Writes with the fault, and checks that a restart recovers all acknowledged writes.

    `lose_data` is called before the restart. Returns the number of acknowledged writes and the state.
    """
    reset_disk(disk)
    disk.fault = fault
    acknowledged = run_writes()
    lose_data()
    disk.restart()
    state = recover()
    # One write may have become durable without having been acknowledged.
    assert state in STATES[acknowledged : acknowledged + 2], fault
    return acknowledged, state


def test_acknowledged_writes_survive_an_error_or_a_kill_at_any_call(disk):
    calls = healthy_calls(disk)
    for fault in each_fault(calls, [*ERRORS, None]):
        check_after(disk, fault, lambda: None)


@pytest.mark.parametrize("keep_unsynced", [False, True], ids=["unsynced lost", "unsynced kept"])
def test_acknowledged_writes_survive_an_error_or_a_kill_at_any_call_and_a_power_cut(disk, keep_unsynced):
    calls = healthy_calls(disk)
    for fault in each_fault(calls, [errno.EIO, None]):
        check_after(disk, fault, lambda: disk.cut_power(lambda: keep_unsynced))


def test_the_state_that_a_start_loads_survives_a_power_cut(disk):
    # A node acts on the state that it loads. A record whose sync failed can be read, but no later sync writes
    # it, so without a rewrite at the start the state could be lost afterwards.
    calls = healthy_calls(disk)
    for fault in each_fault(calls, [errno.EIO, None]):
        _, state = check_after(disk, fault, lambda: None)
        disk.cut_power(lambda: False)
        assert recover() == state, fault


def test_after_an_error_every_write_fails_until_the_storage_is_opened_again(disk):
    calls = healthy_calls(disk)
    for call in range(len(calls)):
        for effect in Effect:
            reset_disk(disk)
            try:
                storage = FileStorage(FOLDER)
                opening_calls = len(disk.calls)
            except StorageError:
                continue
            disk.fault = Fault(call + opening_calls, errno.EIO, effect)
            acknowledged = failed = 0
            for write in WRITES:
                try:
                    storage.write(write)
                    assert not failed, disk.fault
                    acknowledged += 1
                except StorageError:
                    failed += 1
            assert storage.load() == STATES[acknowledged]
            disk.restart()
            assert recover() in STATES[acknowledged : acknowledged + 2], disk.fault


def test_a_folder_whose_name_could_not_be_made_durable_is_made_again(disk):
    for fault in [Fault(call, errno.EIO) for call in range(4)]:
        reset_disk(disk)
        disk.fault = fault
        run_writes()
        disk.restart()
        assert run_writes() == len(WRITES)
        disk.cut_power(lambda: False)
        assert recover() == STATES[-1], fault


def test_acknowledged_writes_survive_a_kill_at_any_byte_of_a_write(disk):
    write_calls = [number for number, name in enumerate(healthy_calls(disk)) if name == "write"]
    for call in write_calls:
        length = size_of_write(disk, call)
        for written_bytes in range(length + 1):
            _, state = check_after(
                disk, Fault(call, None, Effect.HALF, written_bytes=written_bytes), lambda: None
            )
            disk.restart()
            assert recover() == state


def size_of_write(disk, call):
    """Returns the number of bytes of the write that is the call of this number."""
    reset_disk(disk)
    sizes = {}
    real_write = Disk.write

    def write(self, descriptor, data):
        sizes[len(self.calls)] = len(data)
        return real_write(self, descriptor, data)

    Disk.write = write
    try:
        run_writes()
    finally:
        Disk.write = real_write
    return sizes[call]


def test_a_file_cut_off_at_any_byte_keeps_all_complete_records(disk):
    assert run_writes(WRITES[:3]) == 3
    content = bytes(disk.file(FOLDER / FILE_NAME).content)
    ends = record_ends(content)
    assert len(ends) == 3
    for size in range(len(content) + 1):
        disk.restart()
        file = disk.file(FOLDER / FILE_NAME)
        file.content[:] = content[:size]
        file.sync()
        storage = FileStorage(FOLDER)
        complete = sum(end <= size for end in ends)
        assert storage.load() == STATES[complete]
        assert storage.dropped_bytes == size - ([0, *ends][complete])
        storage.write(WRITES[complete])
        disk.restart()
        assert recover() == STATES[complete + 1]


def record_ends(content):
    """Returns the offset at which each record ends."""
    ends, start = [], 0
    while start < len(content):
        start += HEADER.size + HEADER.unpack_from(content, start)[0]
        ends.append(start)
    return ends


def test_a_write_is_completed_if_the_system_takes_a_few_bytes_per_call(disk):
    disk.max_write_bytes = 7
    assert run_writes() == len(WRITES)
    disk.cut_power(lambda: False)
    assert recover() == STATES[-1]


def test_a_write_call_that_takes_no_bytes_raises_an_error_and_does_not_loop_for_ever(disk):
    storage = FileStorage(FOLDER)
    disk.max_write_bytes = 0
    with pytest.raises(StorageError, match="Input/output error"):
        storage.write(WRITES[0])


def test_the_storage_can_be_opened_again_once_the_disk_has_space(disk):
    storage = FileStorage(FOLDER)
    storage.write(WRITES[0])
    disk.fault = Fault(len(disk.calls), errno.ENOSPC, Effect.HALF, permanent=True)
    with pytest.raises(StorageError, match=r"control\.log: No space left"):
        storage.write(WRITES[1])
    disk.restart(Fault(4, errno.ENOSPC, permanent=True))
    with pytest.raises(StorageError, match="No space left"):
        FileStorage(FOLDER)
    disk.restart()
    assert run_writes(WRITES[1:]) == len(WRITES) - 1
    disk.restart()
    assert recover() == STATES[-1]


def test_an_unfinished_new_file_is_removed(disk):
    calls = healthy_calls(disk)
    for call, name in enumerate(calls):
        if name not in ("write", "fsync", "rename"):
            continue
        reset_disk(disk)
        disk.fault = Fault(call, errno.ENOSPC, Effect.HALF)
        run_writes()
        assert FILE_NAME + NEW_SUFFIX not in disk.names(FOLDER), call


@pytest.mark.parametrize("lost_sector", range(3))
def test_a_last_record_that_lost_a_sector_in_a_power_cut_is_dropped_as_torn(disk, lost_sector):
    # The header of the last record spans two sectors, and its body continues in a third.
    storage = FileStorage(FOLDER)
    payload = b"y" * 300
    empty = len(encode_write(Write(1, "a", entries=(entry(1, payload=payload),))))
    payload += b"y" * (512 - 6 - empty)
    storage.write(Write(1, "a", entries=(entry(1, payload=payload),)))
    before = storage.load()
    assert len(disk.file(FOLDER / FILE_NAME).content) == 512 - 6
    storage.write(Write(2, "b", entries=(entry(2, payload=b"z" * 700),)))
    storage.close()
    file = disk.file(FOLDER / FILE_NAME)
    start = max(512 - 6, lost_sector * 512)
    file.content[start : (lost_sector + 1) * 512] = bytes(len(file.content[start : (lost_sector + 1) * 512]))
    file.sync()
    disk.restart()
    assert recover() == before


@pytest.mark.parametrize("offset", range(HEADER.size))
def test_the_error_for_a_damaged_header_names_the_file_and_the_record(disk, offset):
    assert run_writes(WRITES[:3]) == 3
    content = bytes(disk.file(FOLDER / FILE_NAME).content)
    for start in [0, *record_ends(content)[:-1]]:
        file = disk.file(FOLDER / FILE_NAME)
        file.content[:] = content
        file.content[start + offset] ^= 0x40
        disk.restart()
        with pytest.raises(StorageError, match=rf"/machine/data/control\.log: the record at byte {start} is"):
            FileStorage(FOLDER)


def test_the_error_for_a_sector_lost_in_the_middle_names_the_record(disk):
    # The lost header looks like the result of a power cut, but the record after it shows that the damaged
    # record was acknowledged.
    storage = FileStorage(FOLDER)
    storage.write(Write(1, "a", entries=(entry(1, payload=b"y" * 600),)))
    storage.write(Write(2, "a", entries=(entry(2, payload=b"z" * 600),)))
    storage.close()
    disk.file(FOLDER / FILE_NAME).content[:512] = bytes(512)
    disk.restart()
    with pytest.raises(StorageError, match="the record at byte 0 is damaged"):
        FileStorage(FOLDER)


def test_a_start_that_fails_releases_the_lock_and_all_descriptors(disk):
    calls = healthy_calls(disk)
    for call in range(len(calls)):
        reset_disk(disk)
        disk.fault = Fault(call, errno.EIO)
        try:
            FileStorage(FOLDER).close()
        except StorageError:
            disk.fault = None
            FileStorage(FOLDER).close()  # The same process can open the storage again.
        assert not disk.open_files
