"""Limits how often events about the same object are logged."""

from clayfield.base.clock import Clock

MAX_KEYS = 1000


class RepeatFilter:
    """Tells which events are due, at most one an interval for each key.

    The number of keys is bounded: a sender that makes up names can neither use
    memory without limit nor fill the log.
    """

    __slots__ = ("_clock", "_interval_ms", "_logged_ms")

    def __init__(self, clock: Clock, interval_ms: float):
        """Creates a filter that has let no event pass.

        Args:
            clock: source of the current time.
            interval_ms: least time between two events with the same key.
        """
        self._clock = clock
        self._interval_ms = interval_ms
        self._logged_ms: dict[str, float] = {}

    def is_due(self, key: str) -> bool:
        """Returns whether to log an event with a key now, and records it."""
        now_ms = self._clock.now_ms()
        last_ms = self._logged_ms.get(key)
        if last_ms is not None and now_ms - last_ms < self._interval_ms:
            return False
        if last_ms is None and len(self._logged_ms) >= MAX_KEYS:
            self._drop_old(now_ms)
            if len(self._logged_ms) >= MAX_KEYS:
                return False
        self._logged_ms[key] = now_ms
        return True

    def _drop_old(self, now_ms: float) -> None:
        self._logged_ms = {
            key: logged_ms
            for key, logged_ms in self._logged_ms.items()
            if now_ms - logged_ms < self._interval_ms
        }
