"""How many slots to hold back for the class that goes first.

The class's own load decides: with `a` slots busy on average and arrivals at
random, more than a + z·sqrt(a·b) are seldom wanted at once, where `b` is the
size of its jobs. What is not in use of that number is held back.

A slot comes free every few ms anyway, and that wait weighs less on a longer
task; so the margin `z` shrinks with the length of the class's tasks.
docs/design/headroom.md has the measurements.
"""

import math

MARGIN = 1.3
SHORT_TASK_MS = 100.0
MEMORY_MS = 5000.0
WEIGHT = 0.05
LEAST_LOAD = 1e-3


class Headroom:
    """Follows the load of the first class of one pool."""

    __slots__ = ("_batch", "_load", "_task_ms", "_updated_ms")

    def __init__(self) -> None:
        self._load = 0.0
        self._batch = 1.0
        self._task_ms = SHORT_TASK_MS
        self._updated_ms = 0.0

    def observe(self, now_ms: float, tasks: int, task_ms: float) -> None:
        """Takes the arrival of a job of the first class."""
        self._decay(now_ms)
        self._load += tasks * task_ms / MEMORY_MS
        self._batch += WEIGHT * (tasks - self._batch)
        self._task_ms += WEIGHT * (task_ms - self._task_ms)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        self._load *= math.exp(-elapsed_ms / MEMORY_MS)
        self._updated_ms = now_ms

    def target(self, now_ms: float) -> int:
        """Returns the slots that should be busy with, or free for, it."""
        self._decay(now_ms)
        if self._load < LEAST_LOAD:
            return 0
        margin = MARGIN * min(1.0, SHORT_TASK_MS / self._task_ms)
        spread = math.sqrt(self._load * self._batch)
        return math.ceil(self._load + margin * spread)
