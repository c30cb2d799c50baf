"""A leader's view of how far each follower has replicated the log."""

from clayfield.state._elections import LONG_AGO_MS

MAX_UNANSWERED_APPENDS = 8


class Progress:
    """Replication progress of one follower or learner.

    Attributes:
        next_index: index of the next entry to send.
        match_index: highest index up to which the follower's log is known to
            agree with the leader's.
        unanswered: number of append requests with entries not yet answered.
        acked_ms: time at which the latest answered request was sent, in ms;
            before that the time at which the leader began to send.
        lease_from_ms: time from which the follower grants a lease, in ms; long
            ago if it has answered no request on this connection.
        snapshot_index: index of the snapshot being sent, 0 for none.
        snapshot_offset: number of bytes of it that the follower has received.
    """

    __slots__ = (
        "_disconnected_ms",
        "_match_at_heartbeat",
        "acked_ms",
        "lease_from_ms",
        "match_index",
        "next_index",
        "snapshot_index",
        "snapshot_offset",
        "unanswered",
    )

    def __init__(self, next_index: int, now_ms: float):
        self.next_index = next_index
        self.match_index = 0
        self.unanswered = 0
        self.acked_ms = now_ms
        self.lease_from_ms = LONG_AGO_MS
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self._disconnected_ms = LONG_AGO_MS
        self._match_at_heartbeat = -1

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

    @property
    def can_send_entries(self) -> bool:
        """Whether another request with entries may be sent now."""
        return self.unanswered < MAX_UNANSWERED_APPENDS

    def begin_snapshot(self, index: int) -> None:
        """Starts sending a snapshot unless it is being sent already."""
        if index != self.snapshot_index:
            self.snapshot_index = index
            self.snapshot_offset = 0

    def on_match(self, index: int) -> None:
        """Records that the follower's log agrees up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.unanswered = max(0, self.unanswered - 1)

    def on_mismatch(self, hint: int) -> bool:
        """Moves back after a reply that the follower's log does not agree.

        Args:
            hint: highest index up to which the logs may agree.

        Returns:
            Whether earlier entries are to be sent. False if those are known
            to agree, which means that the reply is an outdated one.
        """
        previous = self.next_index
        self.next_index = (
            max(self.match_index, min(hint, self.next_index - 2)) + 1
        )
        self.unanswered = 0
        return self.next_index < previous

    def rewind_if_stalled(self) -> None:
        """Prepares to send entries again that may have been lost.

        To be called at each heartbeat; takes effect if entries are unanswered
        and no further ones have matched since the call before.
        """
        if self.unanswered and self.match_index == self._match_at_heartbeat:
            self.next_index = self.match_index + 1
            self.unanswered = 0
        self._match_at_heartbeat = self.match_index
