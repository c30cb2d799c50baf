"""Estimates the number of slots to reserve for the top priority class.

The estimate follows the class's own load. With `a` slots busy on average,
random arrivals and jobs of `b` tasks, more than a + z·sqrt(a·b) slots are
seldom needed at once. The scheduler reserves the part that the class does not
use.

Without a reserved slot a task waits until another slot becomes free, which
delays long tasks relatively less. The margin `z` therefore shrinks with the
duration of the class's tasks.
"""

import math

# The margin `z` for tasks of up to SHORT_TASK_MS.
MARGIN = 1.3
SHORT_TASK_MS = 100.0
# Time constant of the moving average of the load.
LOAD_DECAY_MS = 5000.0
SMOOTHING = 0.05
# Loads below this, in busy slots, count as none.
MIN_LOAD = 1e-3


class Headroom:
    """Moving averages of the top class's load in one pool."""

    __slots__ = ("_job_size", "_load", "_task_ms", "_updated_ms")

    def __init__(self) -> None:
        self._load = 0.0
        self._job_size = 1.0
        self._task_ms = SHORT_TASK_MS
        self._updated_ms = 0.0

    def observe(self, now_ms: float, tasks: int, task_ms: float) -> None:
        """Records the arrival of a job of the top class.

        Args:
            now_ms: the current time, in ms.
            tasks: number of tasks of the job.
            task_ms: expected duration of a task, in ms.
        """
        self._decay(now_ms)
        self._load += tasks * task_ms / LOAD_DECAY_MS
        self._job_size += SMOOTHING * (tasks - self._job_size)
        self._task_ms += SMOOTHING * (task_ms - self._task_ms)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        self._load *= math.exp(-elapsed_ms / LOAD_DECAY_MS)
        self._updated_ms = now_ms

    def target(self, now_ms: float) -> int:
        """Returns the number of slots to use or reserve for the top class."""
        self._decay(now_ms)
        if self._load < MIN_LOAD:
            return 0
        margin = MARGIN * min(1.0, SHORT_TASK_MS / self._task_ms)
        spread = math.sqrt(self._load * self._job_size)
        return math.ceil(self._load + margin * spread)
