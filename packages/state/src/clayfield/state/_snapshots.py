"""Transfer of snapshots from a leader to a follower, in chunks."""

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
    """Returns the next chunk of a snapshot to send to a follower.

    Args:
        group: name of the group.
        term: term of the leader.
        snapshot: latest snapshot of the leader.
        progress: progress of the follower. If it refers to another snapshot,
            the transfer starts again with this one.
        now_ms: current time, in ms.
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
    """A snapshot that a follower has partly received."""

    __slots__ = ("_data", "_index")

    def __init__(self) -> None:
        self._index = 0
        self._data = bytearray()

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far."""
        return len(self._data)

    def clear(self) -> None:
        """Discards the data received so far."""
        self._index = 0
        self._data = bytearray()

    def add_chunk(self, chunk: SnapshotChunk) -> bytes | None:
        """Adds a chunk if it is the next one of its snapshot.

        A chunk of another snapshot replaces the data received so far.

        Returns:
            The data of the whole snapshot after its last chunk, else None.
        """
        if self._index != chunk.index:
            self._index = chunk.index
            self._data = bytearray()
        if chunk.offset != len(self._data):
            return None
        self._data.extend(chunk.data)
        return bytes(self._data) if chunk.is_last else None
