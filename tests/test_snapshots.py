"""Tests of the transfer of snapshots."""

import pytest

from clayfield.state import Snapshot
from clayfield.state._replication import Progress
from clayfield.state._snapshots import (
    CHUNK_BYTES,
    IncomingSnapshot,
    next_chunk,
)
from clayfield.wire.messages import Members


def _send_chunk(term, snapshot, progress, now_ms, incoming):
    chunk = next_chunk("g", term, snapshot, progress, now_ms)
    data = incoming.add_chunk(chunk)
    progress.on_chunk_reply(incoming.received_bytes, now_ms)
    return data


@pytest.mark.parametrize("second_size", [3, 1])
def test_snapshot_is_not_joined_from_those_of_two_leaders(second_size):
    incoming = IncomingSnapshot()
    first = Snapshot(9, 1, Members(()), b"a" * CHUNK_BYTES * 3)
    second = Snapshot(9, 1, Members(()), b"b" * CHUNK_BYTES * second_size)
    progress = Progress(1, 0.0)
    progress.begin_snapshot(9)
    for now_ms in (1.0, 2.0):
        assert _send_chunk(1, first, progress, now_ms, incoming) is None
    progress = Progress(1, 3.0)
    progress.begin_snapshot(9)
    data = None
    for now_ms in range(4, 12):
        data = _send_chunk(2, second, progress, float(now_ms), incoming)
        if data is not None:
            break
    assert data is not None
    assert set(data) == {ord("b")}
