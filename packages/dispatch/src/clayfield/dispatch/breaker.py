"""A circuit breaker for one worker that restores its slots gradually."""

FAILURES_TO_OPEN = 3
INITIAL_PAUSE_MS = 500.0
MAX_PAUSE_MS = 4000.0


class CircuitBreaker:
    """Limits the usable slots of a worker after failures.

    While closed, it allows all slots. After failures it allows none during a
    pause, then one slot, and doubles the number with each success. The pause
    doubles each time the breaker opens, up to a maximum.

    Attributes:
        slots: number of slots of the worker.
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
        self._pause_ms = INITIAL_PAUSE_MS
        self._open_until_ms = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether all slots are allowed and no pause is in progress."""
        return self._allowed >= self.slots and not self._open_until_ms

    def allowed_slots(self, now_ms: float) -> int:
        """Returns the number of slots that may be held now."""
        if now_ms < self._open_until_ms:
            return 0
        self._open_until_ms = 0.0
        return self._allowed

    def on_success(self) -> None:
        """Records a task that ended successfully."""
        self._failures = 0
        if self.is_closed:
            return
        self._allowed = min(self.slots, self._allowed * 2)
        if self.is_closed:
            self._pause_ms = INITIAL_PAUSE_MS

    def on_failure(self, now_ms: float, opens_at_once: bool) -> None:
        """Records a task whose start or answer was lost or refused.

        Args:
            now_ms: the current time, in ms.
            opens_at_once: whether this one failure opens the breaker, as a
                failed connection does.
        """
        self._failures += 1
        if now_ms < self._open_until_ms:
            return
        threshold = (
            1 if opens_at_once or not self.is_closed else FAILURES_TO_OPEN
        )
        if self._failures >= threshold:
            self._failures = 0
            self._allowed = 1
            self._open_until_ms = now_ms + self._pause_ms
            self._pause_ms = min(self._pause_ms * 2, MAX_PAUSE_MS)
