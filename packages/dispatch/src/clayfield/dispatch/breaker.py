"""A circuit breaker for one worker, with a slow return."""

FAILURES_TO_OPEN = 3
FIRST_PAUSE_MS = 500.0
LONGEST_PAUSE_MS = 4000.0


class Breaker:
    """Bounds the slots of a worker by how its latest starts went.

    Closed, it allows all slots. After failures it allows none for a pause
    that doubles each time; then one, and twice as many with every success.
    """

    __slots__ = (
        "_allowed",
        "_failures",
        "_open_until_ms",
        "_pause_ms",
        "slots",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self._allowed = slots
        self._failures = 0
        self._pause_ms = FIRST_PAUSE_MS
        self._open_until_ms = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether all slots are allowed, and no pause goes on."""
        return self._allowed >= self.slots and not self._open_until_ms

    def allowance(self, now_ms: float) -> int:
        """Returns how many slots may be held now."""
        if now_ms < self._open_until_ms:
            return 0
        self._open_until_ms = 0.0
        return self._allowed

    def on_success(self) -> None:
        """Learns that a task ended well."""
        self._failures = 0
        if self.is_closed:
            return
        self._allowed = min(self.slots, self._allowed * 2)
        if self.is_closed:
            self._pause_ms = FIRST_PAUSE_MS

    def on_failure(self, now_ms: float, is_certain: bool) -> None:
        """Learns that a start or its answer was lost or refused.

        Args:
            now_ms: the time.
            is_certain: one such failure is enough, as when connecting failed.
        """
        self._failures += 1
        if now_ms < self._open_until_ms:
            return
        enough = 1 if is_certain or not self.is_closed else FAILURES_TO_OPEN
        if self._failures >= enough:
            self._failures = 0
            self._allowed = 1
            self._open_until_ms = now_ms + self._pause_ms
            self._pause_ms = min(self._pause_ms * 2, LONGEST_PAUSE_MS)
