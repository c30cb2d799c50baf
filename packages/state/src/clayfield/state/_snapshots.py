"""Transfer of snapshots from a leader to a follower, in chunks."""

from clayfield.state._replication import Progress
from clayfield.state.records import Snapshot
from clayfield.wire.messages import SnapshotChunk

CHUNK_BYTES = 256 * 1024
# Term of the leader and index of a snapshot, for none.
NO_SNAPSHOT = (0, 0)


def next_chunk(
    group: str,
    term: int,
    snapshot: Snapshot,
    progress: Progress,
    now_ms: float,
) -> SnapshotChunk:
    """Returns the next chunk of a snapshot to send to a follower.

    While a chunk is unanswered it is an empty one, which probes how much the
    follower has received.

    Args:
        group: name of the group.
        term: term of the leader.
        snapshot: latest snapshot of the leader.
        progress: progress of the follower in this snapshot.
        now_ms: current time, in ms.
    """
    start = progress.snapshot_offset
    size = CHUNK_BYTES
    if progress.is_chunk_unanswered:
        size = 0
    else:
        progress.on_chunk_sent(now_ms)
    data = snapshot.data[start : start + size]
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

    __slots__ = ("_data", "_source")

    def __init__(self) -> None:
        self._source = NO_SNAPSHOT
        self._data = bytearray()

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far."""
        return len(self._data)

    def clear(self) -> None:
        """Discards the data received so far."""
        self._source = NO_SNAPSHOT
        self._data = bytearray()

    def add_chunk(self, chunk: SnapshotChunk) -> bytes | None:
        """Adds a chunk if it is the next one of its snapshot.

        A chunk of another snapshot replaces the data received so far. The
        snapshots that two leaders take at one index need not be the same bytes.

        Returns:
            The data of the whole snapshot after its last chunk, else None.
        """
        source = (chunk.term, chunk.index)
        if self._source != source:
            self._source = source
            self._data = bytearray()
        if chunk.offset != len(self._data):
            return None
        self._data.extend(chunk.data)
        return bytes(self._data) if chunk.is_last else None
