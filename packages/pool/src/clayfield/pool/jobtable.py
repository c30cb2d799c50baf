"""The holder's open jobs, and the order in which their tasks are placed.

Jobs that can still end in time go by priority and arrival. Late jobs go after
them, in the same order. There may be many late jobs, so those are kept sorted
and are looked at only as far as there is room.
"""

import bisect
from collections.abc import Iterator

from clayfield.pool.tasks import OpenJob


class JobTable:
    """The jobs that have not ended.

    Attributes:
        by_key: all of them.
        on_time: those that can still end in time.
        timed: those that run at given times.
        is_changed: whether a job was enqueued since this was last cleared.
    """

    __slots__ = (
        "_late",
        "_late_keys",
        "_queue",
        "_steps",
        "_steps_cpu",
        "by_key",
        "is_changed",
        "on_time",
        "timed",
    )

    def __init__(self) -> None:
        self.by_key: dict[str, OpenJob] = {}
        self.on_time: dict[str, OpenJob] = {}
        self.timed: dict[str, OpenJob] = {}
        self.is_changed = False
        self._queue: dict[str, OpenJob] = {}
        self._late: list[tuple[int, float, str]] = []
        self._late_keys: set[str] = set()
        self._steps = 0
        self._steps_cpu = 0

    # Changes.

    def add(self, opened: OpenJob) -> None:
        """Takes a job; its tasks are not placed yet."""
        key = opened.job.key
        self.by_key[key] = opened
        self.on_time[key] = opened
        if opened.job.schedule:
            self.timed[key] = opened
        self._count(opened, 1)

    def enqueue(self, opened: OpenJob) -> None:
        """Has the waiting tasks of a job placed."""
        self._queue[opened.job.key] = opened
        self.is_changed = True
        if opened.is_late:
            self._sort_in(opened)

    def dequeue(self, opened: OpenJob) -> None:
        """Learns that no task of a job waits for a worker now."""
        self._queue.pop(opened.job.key, None)

    def remove(self, key: str) -> None:
        """Drops a job."""
        opened = self.by_key.pop(key, None)
        self.on_time.pop(key, None)
        self.timed.pop(key, None)
        self._queue.pop(key, None)
        if opened:
            self._count(opened, -1)

    def turn_late(self, now_ms: float) -> None:
        """Puts the jobs whose time has run out behind all others."""
        for key, opened in list(self.on_time.items()):
            if now_ms > opened.late_at_ms:
                opened.is_late = True
                del self.on_time[key]
                if key in self._queue:
                    self._sort_in(opened)

    def release_due(self, wall_ms: float) -> None:
        """Has the tasks placed of the times that are due now."""
        for opened in self.timed.values():
            if opened.release(wall_ms):
                self.enqueue(opened)

    def _sort_in(self, opened: OpenJob) -> None:
        key = opened.job.key
        if key not in self._late_keys:
            self._late_keys.add(key)
            bisect.insort(self._late, (*opened.turn, key))

    def _count(self, opened: OpenJob, sign: int) -> None:
        for step in opened.job.steps:
            self._steps += sign
            self._steps_cpu += sign * step.room_cpu

    # Questions.

    @property
    def has_waiting(self) -> bool:
        """Whether any task may wait for a worker."""
        return bool(self._queue)

    @property
    def usual_cpu(self) -> float:
        """What a task asks for on average, in thousandths of a core."""
        return max(1.0, self._steps_cpu / self._steps) if self._steps else 1.0

    def kept(self) -> list[OpenJob]:
        """Returns the kept jobs."""
        return [one for one in self.by_key.values() if one.job.is_kept]

    def in_turn(self) -> list[OpenJob]:
        """Returns the jobs that are on time, in their order."""
        return sorted(self.on_time.values(), key=lambda opened: opened.turn)

    def waiting(self) -> Iterator[OpenJob]:
        """Yields the jobs whose tasks may wait, in the order of placement.

        A job may be dequeued while it is the one that was yielded last.
        """
        on_time = [one for one in self._queue.values() if not one.is_late]
        yield from sorted(on_time, key=lambda opened: opened.turn)
        stale: list[tuple[int, float, str]] = []
        try:
            for entry in self._late:
                opened = self._queue.get(entry[-1])
                if opened is None:
                    stale.append(entry)
                else:
                    yield opened
        finally:
            self._drop(stale)

    def _drop(self, stale: list[tuple[int, float, str]]) -> None:
        for entry in stale:
            self._late_keys.discard(entry[-1])
            place = bisect.bisect_left(self._late, entry)
            del self._late[place]
