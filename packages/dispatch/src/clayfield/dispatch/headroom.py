"""How many slots to hold back for the class that goes first.

The class's own load decides: with `a` slots busy on average and arrivals at
random, more than a + Z·sqrt(a·b) are seldom wanted at once, where `b` is the
size of its jobs. What is not in use of that number is held back.
"""

import math

Z = 3.0
MEMORY_MS = 5000.0


class Headroom:
    """Follows the load of the first class of one pool."""

    __slots__ = ("_batch", "_load", "_updated_ms")

    def __init__(self) -> None:
        self._load = 0.0
        self._batch = 1.0
        self._updated_ms = 0.0

    def observe(self, now_ms: float, tasks: int, task_ms: float) -> None:
        """Takes the arrival of a job of the first class."""
        self._decay(now_ms)
        self._load += tasks * task_ms / MEMORY_MS
        self._batch += 0.05 * (tasks - self._batch)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        self._load *= math.exp(-elapsed_ms / MEMORY_MS)
        self._updated_ms = now_ms

    def target(self, now_ms: float) -> int:
        """Returns the slots that should be busy with, or free for, it."""
        self._decay(now_ms)
        if self._load < 1e-3:
            return 0
        return math.ceil(self._load + Z * math.sqrt(self._load * self._batch))
