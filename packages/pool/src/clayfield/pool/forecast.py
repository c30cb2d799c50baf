"""Forecasts when a job would end if it were accepted now.

The workers' capacity is modeled as slots, each with the time at which it
becomes free. Tasks are assigned to the slots in order of precedence, each to
the slot that is free first.
"""

import heapq


class Forecast:
    """The slots, ordered by the time at which they become free."""

    __slots__ = ("_free_ms",)

    def __init__(self, free_ms: list[float]):
        """Creates a forecast without tasks.

        Args:
            free_ms: for each slot the time until it is free, in ms; 0 if it is
                free now.
        """
        self._free_ms = list(free_ms)
        heapq.heapify(self._free_ms)

    @property
    def has_slots(self) -> bool:
        """Whether there is any slot."""
        return bool(self._free_ms)

    def add_task(self, task_ms: float, ready_ms: float = 0.0) -> float:
        """Assigns a task to the slot that is free first.

        Args:
            task_ms: duration of the task, in ms.
            ready_ms: time until the task may start, in ms from now.

        Returns:
            When the task would end, in ms from now.
        """
        end_ms = max(self._free_ms[0], ready_ms) + task_ms
        heapq.heapreplace(self._free_ms, end_ms)
        return end_ms
