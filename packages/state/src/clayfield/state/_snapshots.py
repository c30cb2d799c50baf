"""Snapshots on their way from a leader to a follower, in chunks."""

from clayfield.state._replication import Progress
from clayfield.state.records import Snapshot
from clayfield.wire.messages import SnapshotChunk

CHUNK_BYTES = 256 * 1024


def next_chunk(
    group: str,
    term: int,
    snapshot: Snapshot,
    progress: Progress,
    now_ms: float,
) -> SnapshotChunk:
    """Returns the chunk that a follower lacks next.

    Args:
        group: the group's name.
        term: of the leader.
        snapshot: the leader's latest.
        progress: of the follower; another snapshot begins anew.
        now_ms: the time.
    """
    progress.begin_snapshot(snapshot.index)
    start = progress.snapshot_offset
    data = snapshot.data[start : start + CHUNK_BYTES]
    return SnapshotChunk(
        group,
        term,
        snapshot.index,
        snapshot.term,
        snapshot.members,
        start,
        data,
        start + len(data) >= len(snapshot.data),
        now_ms,
    )


class IncomingSnapshot:
    """A snapshot of which a follower has received a part."""

    __slots__ = ("_data", "_index")

    def __init__(self) -> None:
        self._index = 0
        self._data = bytearray()

    @property
    def received(self) -> int:
        """How many bytes have arrived."""
        return len(self._data)

    def drop(self) -> None:
        """Forgets what has arrived."""
        self._index = 0
        self._data = bytearray()

    def take(self, chunk: SnapshotChunk) -> bytes | None:
        """Takes a chunk; returns the whole data with the last one."""
        if self._index != chunk.index:
            self._index = chunk.index
            self._data = bytearray()
        if chunk.offset != len(self._data):
            return None
        self._data.extend(chunk.data)
        return bytes(self._data) if chunk.done else None
