"""Clocks: monotonic time and wall-clock time, in milliseconds.

All decision code reads time only from a `Clock` passed to it, so that tests
can run it on a `ManualClock`. Monotonic readings are comparable only within
one process. They count the time for which the machine is suspended, where the
system has a clock that does, so that no lease outlasts a suspension.
"""

import abc
import time

NS_PER_MS = 1_000_000
MS_PER_S = 1000.0


class Clock(abc.ABC):
    """A source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Returns the monotonic time, in ms since an arbitrary start."""

    @abc.abstractmethod
    def wall_ms(self) -> float:
        """Returns the wall-clock time, in ms since 1970.

        It may jump forward or back, so it is used only for times that callers
        give as a date.
        """


def find_monotonic_clock() -> int:
    """Returns the system's id of the clock that `MonotonicClock` reads.

    It is CLOCK_BOOTTIME where that can be read: CLOCK_MONOTONIC stands still
    while the machine is suspended.
    """
    clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    try:
        time.clock_gettime_ns(clock_id)
    except OSError:
        return time.CLOCK_MONOTONIC
    return clock_id


class MonotonicClock(Clock):
    """The clock of the machine."""

    __slots__ = ("_clock_id",)

    def __init__(self):
        self._clock_id = find_monotonic_clock()

    def now_ms(self) -> float:
        """Returns the time of the machine's monotonic clock, in ms."""
        return time.clock_gettime_ns(self._clock_id) / NS_PER_MS

    def wall_ms(self) -> float:
        """Returns the time of the machine's wall clock, in ms since 1970."""
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that changes only by calls to `set` and `advance`.

    Attributes:
        wall_offset_ms: wall-clock time minus monotonic time, in ms.
    """

    __slots__ = ("_now_ms", "wall_offset_ms")

    def __init__(self, now_ms: float = 0.0):
        self._now_ms = now_ms
        self.wall_offset_ms = 0.0

    def now_ms(self) -> float:
        """Returns the time set last, in ms."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Returns the time set last plus `wall_offset_ms`, in ms."""
        return self._now_ms + self.wall_offset_ms

    def set(self, now_ms: float) -> None:
        """Sets the time.

        Args:
            now_ms: the new time, in ms.

        Raises:
            ValueError: the new time is before the current one.
        """
        if now_ms < self._now_ms:
            raise ValueError(f"clock cannot go back to {now_ms} ms")
        self._now_ms = now_ms

    def advance(self, delta_ms: float) -> None:
        """Advances the time by `delta_ms` milliseconds."""
        self.set(self._now_ms + delta_ms)
