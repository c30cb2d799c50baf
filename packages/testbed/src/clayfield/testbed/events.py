"""An event queue on a manual clock."""

import heapq
from collections.abc import Callable

from clayfield.base import ManualClock


class EventQueue:
    """Runs scheduled calls in order of time.

    Attributes:
        clock: the manual clock, set to the time of each call before it runs.
        steps: number of calls that have run.
    """

    __slots__ = ("_heap", "_last_number", "clock", "steps")

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.steps = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0

    def now_ms(self) -> float:
        """Returns the present time, in ms."""
        return self.clock.now_ms()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a call `delay_ms` from now."""
        self._last_number += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._heap, (due_ms, self._last_number, callback))

    def run_until(self, end_ms: float) -> None:
        """Runs all calls that are due up to a time and sets the clock to it."""
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._heap)
            self.clock.set(max(due_ms, self.clock.now_ms()))
            self.steps += 1
            callback()
        self.clock.set(end_ms)
