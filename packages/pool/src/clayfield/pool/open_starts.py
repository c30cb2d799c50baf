"""The start commands that have no reply yet.

Each takes a connection. A job may have thousands of small tasks that all fit
its workers, so their number is bounded: a task that no command can be sent for
waits as one does that no worker has room for, in the same order.
"""

import collections

from clayfield.pool.tasks import TaskId

MAX_STARTS = 256
MAX_STARTS_PER_WORKER = 32
# Once a bound is reached, this share of it has to be free again before more
# tasks are placed: a pass over a large job costs much for one start.
FREE_SHARE = 0.5


class OpenStarts:
    """Counts the open start commands, in all and for each worker."""

    __slots__ = ("_by_worker", "_full_workers", "_is_full", "_open")

    def __init__(self) -> None:
        self._open: set[tuple[str, TaskId, int]] = set()
        self._by_worker: collections.Counter[str] = collections.Counter()
        self._is_full = False
        self._full_workers: set[str] = set()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def is_full(self) -> bool:
        """Whether no further task may be placed on any worker."""
        return self._is_full

    def is_worker_full(self, worker: str) -> bool:
        """Returns whether no further task may be placed on a worker."""
        return worker in self._full_workers

    def add(self, worker: str, task_id: TaskId, number: int) -> None:
        """Adds a start command that is being sent."""
        self._open.add((worker, task_id, number))
        self._by_worker[worker] += 1
        if self._by_worker[worker] >= MAX_STARTS_PER_WORKER:
            self._full_workers.add(worker)
        self._is_full = self._is_full or len(self._open) >= MAX_STARTS

    def remove(self, worker: str, task_id: TaskId, number: int) -> None:
        """Removes a start command that has a reply, or certainly none."""
        if (worker, task_id, number) not in self._open:
            return
        self._open.discard((worker, task_id, number))
        self._by_worker[worker] -= 1
        if self._by_worker[worker] <= FREE_SHARE * MAX_STARTS_PER_WORKER:
            self._full_workers.discard(worker)
        if not self._by_worker[worker]:
            del self._by_worker[worker]
        if len(self._open) <= FREE_SHARE * MAX_STARTS:
            self._is_full = False
