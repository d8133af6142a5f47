"""A control node's disk fails at each of its calls, or is cut off there: what was acknowledged stays."""

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
STATES = [StoredState()]  # after each number of writes
for _write in WRITES:
    STATES.append(STATES[-1].after(_write))


@pytest.fixture
def disk(monkeypatch):
    made = Disk()
    monkeypatch.setattr(durable_files, "os", made)
    monkeypatch.setattr(durable_files, "fcntl", made)
    made.mkdir("/machine")
    made.root.sync()
    made.restart()
    return made


def play(writes=WRITES):
    """Opens the storage and writes until it fails or the process is killed; how many were acknowledged."""
    acknowledged = 0
    try:
        FileStorage(FOLDER).close()  # so that the second start finds a file to read
        storage = FileStorage(FOLDER)
        for write in writes:
            storage.write(write)
            acknowledged += 1
    except (StorageError, Killed):
        pass
    return acknowledged


def recovered():
    storage = FileStorage(FOLDER)
    state = storage.load()
    storage.close()
    return state


def healthy_calls(disk):
    """The names of the calls of a play in which nothing fails."""
    assert play() == len(WRITES)
    assert {"write", "fsync", "fdatasync", "rename", "folder sync", "open", "read"} <= set(disk.calls)
    return list(disk.calls)


def disk_like(disk):
    """A new one in its place."""
    disk.__init__()
    disk.mkdir("/machine")
    disk.root.sync()
    disk.restart()


def each_fault(calls, errors):
    for call in range(len(calls)):
        for error in errors:
            for effect in Effect:
                for lasting in (False, True):
                    yield Fault(call, error, effect, lasting)


def check_after(disk, fault, lose):
    """Plays with the fault; `lose`: what the machine forgets before the node starts again."""
    disk_like(disk)
    disk.fault = fault
    acknowledged = play()
    lose()
    disk.restart()
    state = recovered()
    # One write may have become durable without having been acknowledged.
    assert state in STATES[acknowledged : acknowledged + 2], fault
    return acknowledged, state


def test_after_an_error_or_a_kill_at_any_call_what_was_acknowledged_is_there(disk):
    calls = healthy_calls(disk)
    for fault in each_fault(calls, [*ERRORS, None]):
        check_after(disk, fault, lambda: None)


@pytest.mark.parametrize("kept", [False, True], ids=["unsynced lost", "unsynced kept"])
def test_after_an_error_or_a_kill_at_any_call_and_a_power_cut_what_was_acknowledged_is_there(disk, kept):
    calls = healthy_calls(disk)
    for fault in each_fault(calls, [errno.EIO, None]):
        check_after(disk, fault, lambda: disk.cut_power(lambda: kept))


def test_what_a_start_has_found_is_there_after_a_power_cut(disk):
    # A node acts by what it finds. A record whose sync failed can be read, but no later sync writes it.
    calls = healthy_calls(disk)
    for fault in each_fault(calls, [errno.EIO, None]):
        _, state = check_after(disk, fault, lambda: None)
        disk.cut_power(lambda: False)
        assert recovered() == state, fault


def test_after_an_error_no_write_is_taken_until_the_storage_is_opened_again(disk):
    calls = healthy_calls(disk)
    for call in range(len(calls)):
        for effect in Effect:
            disk_like(disk)
            try:
                storage = FileStorage(FOLDER)
                opening = len(disk.calls)
            except StorageError:
                continue
            disk.fault = Fault(call + opening, errno.EIO, effect)
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
            assert recovered() in STATES[acknowledged : acknowledged + 2], disk.fault


def test_a_folder_whose_name_could_not_be_made_durable_is_made_again(disk):
    for fault in [Fault(call, errno.EIO) for call in range(4)]:
        disk_like(disk)
        disk.fault = fault
        play()
        disk.restart()
        assert play() == len(WRITES)
        disk.cut_power(lambda: False)
        assert recovered() == STATES[-1], fault


def test_a_kill_at_any_byte_leaves_what_was_acknowledged(disk):
    writes = [number for number, name in enumerate(healthy_calls(disk)) if name == "write"]
    for call in writes:
        length = size_of_write(disk, call)
        for written in range(length + 1):
            _, state = check_after(disk, Fault(call, None, Effect.HALF, written=written), lambda: None)
            disk.restart()
            assert recovered() == state


def size_of_write(disk, call):
    """Bytes of the write that has this number among the calls."""
    disk_like(disk)
    sizes = {}
    real = Disk.write

    def write(self, descriptor, data):
        sizes[len(self.calls)] = len(data)
        return real(self, descriptor, data)

    Disk.write = write
    try:
        play()
    finally:
        Disk.write = real
    return sizes[call]


def test_a_file_that_ends_at_any_byte_has_all_whole_records_before_it(disk):
    assert play(WRITES[:3]) == 3
    content = bytes(disk.file(FOLDER / FILE_NAME).content)
    ends = record_ends(content)
    assert len(ends) == 3
    for size in range(len(content) + 1):
        disk.restart()
        file = disk.file(FOLDER / FILE_NAME)
        file.content[:] = content[:size]
        file.sync()
        storage = FileStorage(FOLDER)
        whole = sum(end <= size for end in ends)
        assert storage.load() == STATES[whole]
        assert storage.dropped_bytes == size - ([0, *ends][whole])
        storage.write(WRITES[whole])
        disk.restart()
        assert recovered() == STATES[whole + 1]


def record_ends(content):
    ends, start = [], 0
    while start < len(content):
        start += HEADER.size + HEADER.unpack_from(content, start)[0]
        ends.append(start)
    return ends


def test_writes_that_take_a_few_bytes_at_a_time_are_finished(disk):
    disk.most_written = 7
    assert play() == len(WRITES)
    disk.cut_power(lambda: False)
    assert recovered() == STATES[-1]


def test_a_write_that_takes_nothing_is_an_error_and_no_endless_loop(disk):
    storage = FileStorage(FOLDER)
    disk.most_written = 0
    with pytest.raises(StorageError, match="Input/output error"):
        storage.write(WRITES[0])


def test_a_node_takes_part_again_once_there_is_space(disk):
    storage = FileStorage(FOLDER)
    storage.write(WRITES[0])
    disk.fault = Fault(len(disk.calls), errno.ENOSPC, Effect.HALF, lasting=True)
    with pytest.raises(StorageError, match=r"control\.log: No space left"):
        storage.write(WRITES[1])
    disk.restart(Fault(4, errno.ENOSPC, lasting=True))
    with pytest.raises(StorageError, match="No space left"):
        FileStorage(FOLDER)
    disk.restart()
    assert play(WRITES[1:]) == len(WRITES) - 1
    disk.restart()
    assert recovered() == STATES[-1]


def test_a_new_file_that_could_not_be_finished_gives_its_space_back(disk):
    calls = healthy_calls(disk)
    for call, name in enumerate(calls):
        if name not in ("write", "fsync", "rename"):
            continue
        disk_like(disk)
        disk.fault = Fault(call, errno.ENOSPC, Effect.HALF)
        play()
        assert FILE_NAME + NEW_SUFFIX not in disk.names(FOLDER), call


@pytest.mark.parametrize("lost", range(3))
def test_sectors_of_the_last_record_that_a_power_cut_has_lost_are_a_torn_record(disk, lost):
    # Its header crosses into a second sector, and its body into a third.
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
    start = max(512 - 6, lost * 512)
    file.content[start : (lost + 1) * 512] = bytes(len(file.content[start : (lost + 1) * 512]))
    file.sync()
    disk.restart()
    assert recovered() == before


@pytest.mark.parametrize("place", range(HEADER.size))
def test_a_damaged_header_is_refused_by_name_wherever_it_is(disk, place):
    assert play(WRITES[:3]) == 3
    content = bytes(disk.file(FOLDER / FILE_NAME).content)
    for start in [0, *record_ends(content)[:-1]]:
        file = disk.file(FOLDER / FILE_NAME)
        file.content[:] = content
        file.content[start + place] ^= 0x40
        disk.restart()
        with pytest.raises(StorageError, match=rf"/machine/data/control\.log: the record at byte {start} is"):
            FileStorage(FOLDER)


def test_a_sector_lost_in_the_middle_is_refused_by_name(disk):
    # As where a power cut has lost a header, but a record behind it shows that it was acknowledged.
    storage = FileStorage(FOLDER)
    storage.write(Write(1, "a", entries=(entry(1, payload=b"y" * 600),)))
    storage.write(Write(2, "a", entries=(entry(2, payload=b"z" * 600),)))
    storage.close()
    disk.file(FOLDER / FILE_NAME).content[:512] = bytes(512)
    disk.restart()
    with pytest.raises(StorageError, match="the record at byte 0 is damaged"):
        FileStorage(FOLDER)


def test_a_start_that_fails_gives_the_folder_back(disk):
    calls = healthy_calls(disk)
    for call in range(len(calls)):
        disk_like(disk)
        disk.fault = Fault(call, errno.EIO)
        try:
            FileStorage(FOLDER).close()
        except StorageError:
            disk.fault = None
            FileStorage(FOLDER).close()  # in the same process
        assert not disk.opened
