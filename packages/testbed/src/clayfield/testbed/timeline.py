"""Things that happen at their time on a manual clock."""

import heapq
from collections.abc import Callable

from clayfield.base import ManualClock


class Timeline:
    """What is to happen, in order; the base of the sites of tests.

    Attributes:
        clock: moved by `run` only.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Has something happen later."""
        self._count += 1
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, self._count, act))

    def run(self, duration_ms: float) -> None:
        """Lets time pass."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, act = heapq.heappop(self._events)
            self.clock.set(at_ms)
            act()
        self.clock.set(end_ms)
