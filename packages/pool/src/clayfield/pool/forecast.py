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

    def add(self, task_ms: float, ready_ms: float = 0.0) -> float:
        """Puts a task on the place that is free first.

        Args:
            task_ms: how long it takes.
            ready_ms: in how many ms its turn comes.

        Returns:
            In how many ms it would end.
        """
        end_ms = max(self._free_ms[0], ready_ms) + task_ms
        heapq.heapreplace(self._free_ms, end_ms)
        return end_ms
