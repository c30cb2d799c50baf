"""Tests of the data folder after crashes, corruption and write errors."""

import os

import msgspec
import pytest
import xxhash

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.daemon.log_format import (
    HEADER_BYTES,
    OLD_HEADER,
    frame_record,
)
from clayfield.daemon.store import Store
from clayfield.state import Append, HardState, LogCreated, Snapshot
from clayfield.wire.messages import LogEntry, Members

ENTRIES = [Append(n, LogEntry(1, 0, b"x" * n)) for n in range(1, 6)]
RECORDS = [LogCreated("control@a/1#1"), HardState(1, "a/1"), *ENTRIES]


def _make_log(folder):
    store = Store(str(folder))
    for record in RECORDS:
        store.write([record])
    store.close()
    return folder / "log-1"


def _frame_size(record):
    return len(frame_record(record))


def test_written_records_are_restored_on_opening(tmp_path):
    _make_log(tmp_path)
    disk_id = Store(str(tmp_path)).disk_id
    state = Store(str(tmp_path)).state
    assert state.instance == "control@a/1#1"
    assert state.hard_state == HardState(1, "a/1")
    assert state.log.last_index == 5
    assert Store(str(tmp_path)).disk_id == disk_id


@pytest.mark.parametrize("cut", [1, 5, 12, 15, HEADER_BYTES, HEADER_BYTES + 3])
def test_incomplete_record_at_the_end_is_truncated(tmp_path, cut):
    path = _make_log(tmp_path)
    size = path.stat().st_size
    os.truncate(path, size - cut)
    store = Store(str(tmp_path))
    assert store.state.log.last_index == 4
    store.write([Append(5, LogEntry(2, 0, b"again"))])
    store.close()
    assert Store(str(tmp_path)).state.log.last_term == 2


@pytest.mark.parametrize("offset", [2, 6, 14, 60, 130])
def test_corruption_before_a_valid_record_is_an_error(tmp_path, offset):
    path = _make_log(tmp_path)
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(ClayfieldError, match="Move the folder away") as info:
        Store(str(tmp_path))
    assert info.value.kind is ErrorKind.STORE_DAMAGED
    assert path.read_bytes() == data


def test_snapshot_replaces_the_log_file(tmp_path):
    _make_log(tmp_path)
    store = Store(str(tmp_path))
    store.write([Snapshot(4, 1, Members(("a/1",)), b"state")])
    store.close()
    assert [p.name for p in tmp_path.glob("log-*")] == ["log-2"]
    state = Store(str(tmp_path)).state
    assert state.log.snapshot.data == b"state"
    assert (state.log.first_index, state.log.last_index) == (5, 5)


@pytest.mark.parametrize("failing", ["write", "fdatasync"])
def test_write_error_is_raised_by_every_later_write(
    tmp_path, monkeypatch, failing
):
    _make_log(tmp_path)
    store = Store(str(tmp_path))

    def fail(*args):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, failing, fail)
    for _ in range(2):
        with pytest.raises(ClayfieldError, match="Free space") as info:
            store.write([Append(6, LogEntry(1, 0, b""))])
        assert info.value.kind is ErrorKind.STORE_FAILED


def test_log_without_identity_file_is_an_error(tmp_path):
    _make_log(tmp_path)
    (tmp_path / "made").unlink()
    with pytest.raises(ClayfieldError) as info:
        Store(str(tmp_path))
    assert info.value.kind is ErrorKind.STORE_DAMAGED


def test_gap_between_entries_is_an_error(tmp_path):
    path = _make_log(tmp_path)
    with open(path, "ab") as file:
        file.write(frame_record(Append(9, LogEntry(1, 0, b""))))
    with pytest.raises(ClayfieldError, match="Entry 9 follows entry 5"):
        Store(str(tmp_path))


def test_writes_do_not_change_the_restored_state(tmp_path):
    _make_log(tmp_path)
    store = Store(str(tmp_path))
    state = store.state
    state.log.truncate_and_append(6, LogEntry(1, 0, b"six"))
    state.log.truncate_and_append(7, LogEntry(1, 0, b"not yet written"))
    store.write([Append(6, LogEntry(1, 0, b"six"))])
    assert state.log.last_index == 7
    store.close()
    assert Store(str(tmp_path)).state.log.last_index == 6


@pytest.mark.parametrize("page", [1, 2])
def test_hole_before_a_whole_record_of_the_same_write_is_cut_off(
    tmp_path, page
):
    path = _make_log(tmp_path)
    size = path.stat().st_size
    store = Store(str(tmp_path))
    large = [Append(n, LogEntry(1, 0, b"x" * 9000)) for n in (6, 7)]
    store.write(large)
    store.close()
    data = bytearray(path.read_bytes())
    data[page * 4096 : (page + 1) * 4096] = bytes(4096)
    path.write_bytes(data)
    assert Store(str(tmp_path)).state.log.last_index == 5
    assert path.stat().st_size == size


def test_damage_before_a_torn_later_write_is_an_error(tmp_path):
    path = _make_log(tmp_path)
    data = bytearray(path.read_bytes())
    data[-_frame_size(ENTRIES[-1]) - 1] ^= 0x40
    path.write_bytes(data[:-1])
    with pytest.raises(ClayfieldError) as info:
        Store(str(tmp_path))
    assert info.value.kind is ErrorKind.STORE_DAMAGED


@pytest.mark.parametrize("offset", [40, 130, -80])
def test_damage_to_a_snapshot_file_is_an_error(tmp_path, offset):
    _make_log(tmp_path)
    store = Store(str(tmp_path))
    store.write([Snapshot(4, 1, Members(("a/1",)), b"state")])
    store.write([HardState(2, "a/1")])
    store.close()
    path = tmp_path / "log-2"
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(ClayfieldError) as info:
        Store(str(tmp_path))
    assert info.value.kind is ErrorKind.STORE_DAMAGED


def _make_old_log(folder):
    """Makes a log as earlier releases did, without writes in its frames."""
    (folder / "made").write_text("17")
    path = folder / "log-1"
    path.write_bytes(b"".join(map(_old_frame, RECORDS)))
    return path


def _old_frame(record):
    content = msgspec.msgpack.encode(record)
    checksum = xxhash.xxh3_64_intdigest(content)
    return OLD_HEADER.pack(len(content), checksum) + content


def test_log_of_an_earlier_release_is_opened_and_continued(tmp_path):
    _make_old_log(tmp_path)
    store = Store(str(tmp_path))
    assert store.disk_id == 17
    assert store.state.log.last_index == 5
    store.write([Append(6, LogEntry(2, 0, b"six"))])
    store.close()
    state = Store(str(tmp_path)).state
    assert state.hard_state == HardState(1, "a/1")
    assert (state.log.last_index, state.log.last_term) == (6, 2)


@pytest.mark.parametrize("cut", [1, 5, 12, 15])
def test_torn_log_of_an_earlier_release_is_truncated(tmp_path, cut):
    path = _make_old_log(tmp_path)
    os.truncate(path, path.stat().st_size - cut)
    assert Store(str(tmp_path)).state.log.last_index == 4


@pytest.mark.parametrize("is_continued", [False, True])
@pytest.mark.parametrize("offset", [2, 6, 14, 60, 130])
def test_corruption_of_a_log_of_an_earlier_release_is_an_error(
    tmp_path, offset, is_continued
):
    path = _make_old_log(tmp_path)
    if is_continued:
        store = Store(str(tmp_path))
        store.write([Append(6, LogEntry(2, 0, b"six"))])
        store.close()
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(ClayfieldError) as info:
        Store(str(tmp_path))
    assert info.value.kind is ErrorKind.STORE_DAMAGED
    assert path.read_bytes() == data


@pytest.mark.parametrize("missing", [["a"], ["a", "b", "c"]])
def test_each_new_folder_is_synced_in_the_folder_that_holds_it(
    tmp_path, monkeypatch, missing
):
    synced = []

    def record(fd):
        synced.append(os.fstat(fd).st_ino)

    monkeypatch.setattr(os, "fsync", record)
    folder = tmp_path.joinpath(*missing)
    Store(str(folder))
    holders = [path.stat().st_ino for path in folder.parents[: len(missing)]]
    assert set(holders) <= set(synced)


def test_folder_below_one_that_cannot_be_synced_is_opened(
    tmp_path, monkeypatch
):
    parent = tmp_path.stat().st_ino
    sync = os.fsync

    def fail_for_parent(fd):
        if os.fstat(fd).st_ino == parent:
            raise PermissionError(13, "Permission denied")
        sync(fd)

    monkeypatch.setattr(os, "fsync", fail_for_parent)
    assert Store(str(tmp_path / "data")).state.log.last_index == 0
