"""A leader's view of how far each follower has replicated the log.

Streams deliver messages in order or end, so an unanswered request is sent again
only when the reply to a later one shows that it was lost.
"""

import collections

from clayfield.state._elections import LONG_AGO_MS

MAX_UNANSWERED_APPENDS = 8
# Bytes of unanswered entries above which no further ones are sent.
MAX_UNANSWERED_BYTES = 512 * 1024


class Progress:
    """Replication progress of one follower or learner.

    Attributes:
        next_index: index of the next entry to send.
        match_index: highest index up to which the follower's log is known to
            agree with the leader's.
        acked_ms: time at which the latest answered request was sent, in ms;
            before that the time at which the leader began to send.
        lease_from_ms: time from which the follower grants a lease, in ms; long
            ago if it has answered no request on this connection.
        snapshot_index: index of the snapshot being sent, 0 for none.
        snapshot_offset: number of bytes of it that the follower has received.
        is_chunk_unanswered: whether the latest chunk of it is unanswered.
    """

    __slots__ = (
        "_chunk_sent_ms",
        "_disconnected_ms",
        "_received_ms",
        "_rewound_ms",
        "_unanswered",
        "_unanswered_bytes",
        "acked_ms",
        "is_chunk_unanswered",
        "lease_from_ms",
        "match_index",
        "next_index",
        "snapshot_index",
        "snapshot_offset",
    )

    def __init__(self, next_index: int, now_ms: float):
        self.next_index = next_index
        self.match_index = 0
        self.acked_ms = now_ms
        self.lease_from_ms = LONG_AGO_MS
        self._disconnected_ms = LONG_AGO_MS
        self._received_ms = now_ms
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.is_chunk_unanswered = False
        self._chunk_sent_ms = LONG_AGO_MS
        self._rewound_ms = LONG_AGO_MS
        # The last index and the size of each unanswered request.
        self._unanswered: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._unanswered_bytes = 0

    # Activity.

    @property
    def last_active_ms(self) -> float:
        """Time of the latest sign of life, in ms."""
        return max(self.acked_ms, self._received_ms)

    def on_data(self, now_ms: float) -> None:
        """Records the arrival of bytes from the follower.

        They count only while it has entries or a chunk to answer, behind which
        heartbeats wait.
        """
        if self._unanswered or self.is_chunk_unanswered:
            self._received_ms = now_ms

    def on_ack(self, sent_ms: float) -> None:
        """Records that a request was answered.

        Args:
            sent_ms: time at which the request was sent, in ms.
        """
        self.acked_ms = max(self.acked_ms, sent_ms)
        if sent_ms > self._disconnected_ms:
            self.lease_from_ms = max(self.lease_from_ms, sent_ms)

    def on_disconnected(self, now_ms: float) -> None:
        """Records that the connection to the follower ended.

        The follower may vote for another leader at once.
        """
        self._disconnected_ms = now_ms
        self.lease_from_ms = LONG_AGO_MS

    # Entries.

    @property
    def can_send_entries(self) -> bool:
        """Whether another request with entries may be sent now."""
        return (
            len(self._unanswered) < MAX_UNANSWERED_APPENDS
            and self._unanswered_bytes < MAX_UNANSWERED_BYTES
        )

    def on_sent(self, count: int, size_bytes: int) -> None:
        """Records a request with entries.

        Args:
            count: number of the entries, from `next_index` on.
            size_bytes: number of bytes of their data.
        """
        self.next_index += count
        self._unanswered.append((self.next_index - 1, size_bytes))
        self._unanswered_bytes += size_bytes

    def on_match(self, index: int) -> None:
        """Records that the follower's log agrees up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self._unanswered and self._unanswered[0][0] <= self.match_index:
            _, size_bytes = self._unanswered.popleft()
            self._unanswered_bytes -= size_bytes

    def on_mismatch(self, hint: int, sent_ms: float, now_ms: float) -> bool:
        """Moves back after a reply that the follower's log does not agree.

        Args:
            hint: highest index up to which the logs may agree.
            sent_ms: time at which the answered request was sent, in ms.
            now_ms: current time, in ms.

        Returns:
            Whether earlier entries are to be sent. False if the request was
            sent before the latest move, or if the entries are known to agree,
            which means that the reply is an outdated one.
        """
        if sent_ms < self._rewound_ms:
            return False
        previous = self.next_index
        self.next_index = (
            max(self.match_index, min(hint, self.next_index - 2)) + 1
        )
        self._rewound_ms = now_ms
        self._unanswered.clear()
        self._unanswered_bytes = 0
        return self.next_index < previous

    # Snapshots.

    def begin_snapshot(self, index: int) -> None:
        """Starts sending a snapshot unless it is being sent already."""
        if index != self.snapshot_index:
            self.snapshot_index = index
            self.snapshot_offset = 0
            self.is_chunk_unanswered = False

    def on_chunk_sent(self, now_ms: float) -> None:
        """Records that the next chunk of the snapshot is sent."""
        self.is_chunk_unanswered = True
        self._chunk_sent_ms = now_ms

    def on_chunk_reply(self, offset: int, sent_ms: float) -> bool:
        """Handles a reply to a chunk or to a probe.

        Args:
            offset: number of bytes that the follower has received.
            sent_ms: time at which the chunk or probe was sent, in ms.

        Returns:
            Whether the next chunk is to be sent. False for the reply to what
            was sent before the latest chunk.
        """
        is_advanced = offset != self.snapshot_offset
        is_answer = sent_ms > self._chunk_sent_ms or (
            sent_ms == self._chunk_sent_ms and is_advanced
        )
        if is_answer:
            self.snapshot_offset = offset
            self.is_chunk_unanswered = False
        return is_answer
