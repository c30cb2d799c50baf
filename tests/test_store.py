"""Tests of the data folder after crashes, corruption and write errors."""

import os

import pytest

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.daemon.store import HEADER, Store, frame_record
from clayfield.state import Append, HardState, LogCreated, Snapshot
from clayfield.wire.messages import LogEntry, Members

ENTRIES = [Append(n, LogEntry(1, 0, b"x" * n)) for n in range(1, 6)]
RECORDS = [LogCreated("control@a/1#1"), HardState(1, "a/1"), *ENTRIES]


def _make_log(folder):
    store = Store(str(folder))
    store.write(RECORDS)
    store.close()
    return folder / "log-1"


def test_written_records_are_restored_on_opening(tmp_path):
    _make_log(tmp_path)
    disk_id = Store(str(tmp_path)).disk_id
    state = Store(str(tmp_path)).state
    assert state.instance == "control@a/1#1"
    assert state.hard_state == HardState(1, "a/1")
    assert state.log.last_index == 5
    assert Store(str(tmp_path)).disk_id == disk_id


@pytest.mark.parametrize("cut", [1, 5, HEADER.size, HEADER.size + 3])
def test_incomplete_record_at_the_end_is_truncated(tmp_path, cut):
    path = _make_log(tmp_path)
    size = path.stat().st_size
    os.truncate(path, size - cut)
    store = Store(str(tmp_path))
    assert store.state.log.last_index == 4
    store.write([Append(5, LogEntry(2, 0, b"again"))])
    store.close()
    assert Store(str(tmp_path)).state.log.last_term == 2


@pytest.mark.parametrize("offset", [2, 6, 14, 60])
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
