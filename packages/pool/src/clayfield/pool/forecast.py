"""When a job would end if it were taken now.

The room of the workers is seen as places that become free one after the
other. What goes before the job takes the places that are free first; the job
takes the next ones. Only sums and a heap: no I/O, no state.
"""

import heapq


class Forecast:
    """The places, by the time at which each becomes free."""

    __slots__ = ("_free_ms",)

    def __init__(self, free_ms: list[float]):
        """Starts.

        Args:
            free_ms: for each place how long until it is free, 0 if it is.
        """
        self._free_ms = list(free_ms)
        heapq.heapify(self._free_ms)

    @property
    def has_places(self) -> bool:
        """Whether there is any place at all."""
        return bool(self._free_ms)

    def add(self, count: int, task_ms: float) -> float:
        """Puts tasks on the places that are free first.

        Returns:
            In how many ms the last of them would end.
        """
        last_ms = 0.0
        for _ in range(count):
            end_ms = self._free_ms[0] + task_ms
            heapq.heapreplace(self._free_ms, end_ms)
            last_ms = max(last_ms, end_ms)
        return last_ms
