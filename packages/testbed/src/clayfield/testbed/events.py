"""A queue of things to do at given times, on a manual clock."""

import heapq
from collections.abc import Callable

from clayfield.base import ManualClock


class EventQueue:
    """Runs functions in order of time.

    Attributes:
        clock: set to each event's time before it runs.
        steps: how many have run.
    """

    __slots__ = ("_heap", "_number", "clock", "steps")

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.steps = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def now_ms(self) -> float:
        """Returns the present time."""
        return self.clock.now_ms()

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Runs a function `delay_ms` from now."""
        self._number += 1
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._heap, (at_ms, self._number, act))

    def run_until(self, end_ms: float) -> None:
        """Runs what is due up to a time, and sets the clock to it."""
        while self._heap and self._heap[0][0] <= end_ms:
            at_ms, _, act = heapq.heappop(self._heap)
            self.clock.set(max(at_ms, self.clock.now_ms()))
            self.steps += 1
            act()
        self.clock.set(end_ms)
