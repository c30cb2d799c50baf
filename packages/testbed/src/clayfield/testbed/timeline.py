"""Runs scheduled calls on a manual clock."""

import heapq
from collections.abc import Callable

from clayfield.base import ManualClock


class Timeline:
    """Scheduled calls in order of time; the base class of simulated sites.

    Attributes:
        clock: the manual clock, advanced only by `run`.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        self._count += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, self._count, callback))

    def run(self, duration_ms: float) -> None:
        """Advances the clock by a duration and runs the calls that are due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._events)
            self.clock.set(due_ms)
            callback()
        self.clock.set(end_ms)
