"""The clock of a simulated machine that can be suspended."""

from clayfield.base import Clock


class MachineClock(Clock):
    """The clock of a machine that can be suspended.

    Attributes:
        counts_suspension: whether the clock goes on during a suspension.
    """

    __slots__ = (
        "_clock",
        "_stood_still_ms",
        "_suspended_ms",
        "counts_suspension",
    )

    def __init__(self, clock: Clock, counts_suspension: bool):
        self.counts_suspension = counts_suspension
        self._clock = clock
        self._stood_still_ms = 0.0
        self._suspended_ms: float | None = None

    def now_ms(self) -> float:
        """Returns the time of the shared clock, less what was not counted."""
        now_ms = self._clock.now_ms()
        if self._suspended_ms is not None and not self.counts_suspension:
            now_ms = self._suspended_ms
        return now_ms - self._stood_still_ms

    def wall_ms(self) -> float:
        """Returns the wall-clock time of the shared clock, in ms."""
        return self._clock.wall_ms()

    def suspend(self) -> None:
        """Begins a suspension."""
        self._suspended_ms = self._clock.now_ms()

    def resume(self) -> None:
        """Ends a suspension."""
        if not self.counts_suspension:
            self._stood_still_ms += self._clock.now_ms() - self._suspended_ms
        self._suspended_ms = None
