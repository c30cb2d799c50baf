"""What a leader knows of each node that follows it."""

MAX_PENDING = 8


class Progress:
    """How far one follower has come.

    Attributes:
        next: index of the next entry to send.
        match: last index known to agree.
        pending: append requests with entries not yet answered.
        acked_ms: sending time of the latest request that was answered.
        snapshot_index: index of the snapshot being sent, or 0.
        snapshot_offset: bytes of it that have arrived.
    """

    __slots__ = (
        "_match_at_heartbeat",
        "acked_ms",
        "match",
        "next",
        "pending",
        "snapshot_index",
        "snapshot_offset",
    )

    def __init__(self, next_index: int, now_ms: float):
        self.next = next_index
        self.match = 0
        self.pending = 0
        self.acked_ms = now_ms
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self._match_at_heartbeat = -1

    @property
    def is_open(self) -> bool:
        """Whether more entries may be sent before an answer comes."""
        return self.pending < MAX_PENDING

    def begin_snapshot(self, index: int) -> None:
        """Sends a snapshot from its start, unless it is under way."""
        if index != self.snapshot_index:
            self.snapshot_index = index
            self.snapshot_offset = 0

    def on_match(self, index: int) -> None:
        """Learns that the follower's log agrees up to an index."""
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.pending = max(0, self.pending - 1)

    def on_mismatch(self, hint: int) -> bool:
        """Learns that the follower's log agrees at most up to a hint.

        Returns:
            Whether earlier entries are to be tried; False when they were
            known to agree, as a late answer makes it seem.
        """
        before = self.next
        self.next = max(self.match, min(hint, self.next - 2)) + 1
        self.pending = 0
        return self.next < before

    def restart_if_stuck(self) -> None:
        """Sends again when nothing was answered since the last heartbeat."""
        if self.pending and self.match == self._match_at_heartbeat:
            self.next = self.match + 1
            self.pending = 0
        self._match_at_heartbeat = self.match
