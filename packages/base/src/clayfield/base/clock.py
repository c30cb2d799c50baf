"""The one clock type: milliseconds that only go forward, and the time of day.

Decisions read time from a `Clock` given to them and from nothing else, so
that a test can run them with a `ManualClock`. A reading means something only
on the box that took it.
"""

import abc
import time

NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """A source of monotonic time."""

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Returns milliseconds since an arbitrary start."""

    @abc.abstractmethod
    def wall_ms(self) -> float:
        """Returns milliseconds since 1970 by the time of day.

        It may jump either way; only what callers date by it is measured so.
        """


class MonotonicClock(Clock):
    """The machine's own monotonic clock."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Returns milliseconds of the machine's monotonic clock."""
        return time.monotonic_ns() / NS_PER_MS

    def wall_ms(self) -> float:
        """Returns milliseconds of the machine's time of day."""
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when it is told to.

    Attributes:
        wall_offset_ms: by how much the time of day is ahead.
    """

    __slots__ = ("_now_ms", "wall_offset_ms")

    def __init__(self, now_ms: float = 0.0):
        self._now_ms = now_ms
        self.wall_offset_ms = 0.0

    def now_ms(self) -> float:
        """Returns the time that was last set."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Returns the time that was last set, shifted by an offset."""
        return self._now_ms + self.wall_offset_ms

    def set(self, now_ms: float) -> None:
        """Moves the clock.

        Args:
            now_ms: the new time in milliseconds.

        Raises:
            ValueError: the new time lies before the present one.
        """
        if now_ms < self._now_ms:
            raise ValueError(f"clock cannot go back to {now_ms}")
        self._now_ms = now_ms

    def advance(self, delta_ms: float) -> None:
        """Moves the clock forward by `delta_ms` milliseconds."""
        self.set(self._now_ms + delta_ms)
