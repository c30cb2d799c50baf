"""The jobs with tasks that wait for a worker, grouped by what these need.

A placement pass reads the jobs in placement order: those that can still end in
time by priority and arrival, then the late ones in the same order. Once no
worker fits what a group needs, the pass skips the rest of the group, so its
cost depends on the number of different needs and not on that of the jobs.
"""

import bisect
import heapq
from typing import NamedTuple

from clayfield.pool.needs import Need, need_of
from clayfield.pool.tasks import OpenJob

# What the ready tasks of a job need.
Needs = frozenset[Need]


class Position(NamedTuple):
    """Position of a job in the placement order; lower goes first.

    Attributes:
        is_late: whether the job can't end in time any more.
        priority: priority of the job, 0 is the highest.
        arrived_ms: time when it arrived at its first entry node.
        number: orders the jobs that arrived at the same time.
        key: key of the job.
    """

    is_late: bool
    priority: int
    arrived_ms: float
    number: int
    key: str


class WaitingJobs:
    """The waiting jobs, in one sorted list for each set of needs."""

    __slots__ = (
        "_changed",
        "_groups",
        "_heads",
        "_isolated",
        "_jobs",
        "_last_number",
        "_numbers",
        "_places",
    )

    def __init__(self) -> None:
        self._jobs: dict[str, OpenJob] = {}
        # Jobs of which the needs or the position may have changed.
        self._changed: dict[str, OpenJob] = {}
        self._last_number = 0
        self._numbers: dict[str, int] = {}
        self._places: dict[str, tuple[Needs, Position]] = {}
        self._groups: dict[Needs, list[Position]] = {}
        # The groups with a need that must be met by a worker without others.
        self._isolated: dict[Needs, list[Position]] = {}
        # The first position of each group, sorted.
        self._heads: list[Position] = []

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, key: str) -> bool:
        return key in self._jobs

    def add(self, open_job: OpenJob) -> None:
        """Adds a job, or notes that its needs or position have changed."""
        key = open_job.job.key
        if key not in self._jobs:
            self._last_number += 1
            self._numbers[key] = self._last_number
        self._jobs[key] = open_job
        self._changed[key] = open_job

    def remove(self, key: str) -> None:
        """Removes a job, if present."""
        self._jobs.pop(key, None)
        self._numbers.pop(key, None)
        self._changed.pop(key, None)
        self._take_out(key)

    def update(self) -> None:
        """Puts the changed jobs in their places; drops those with no task."""
        changed = list(self._changed.values())
        self._changed.clear()
        for open_job in changed:
            self._take_out(open_job.job.key)
            needs = frozenset(
                need_of(tasks[0]) for tasks in open_job.ready_tasks()
            )
            if needs:
                self._put(open_job, needs)
            else:
                self.remove(open_job.job.key)

    def _put(self, open_job: OpenJob, needs: Needs) -> None:
        job = open_job.job
        position = Position(
            open_job.is_late,
            job.priority,
            open_job.arrived_ms,
            self._numbers[job.key],
            job.key,
        )
        self._places[job.key] = (needs, position)
        positions = self._groups.setdefault(needs, [])
        if any(need.isolation for need in needs):
            self._isolated[needs] = positions
        head = positions[0] if positions else None
        bisect.insort(positions, position)
        self._update_head(head, positions)

    def _take_out(self, key: str) -> None:
        place = self._places.pop(key, None)
        if place is None:
            return
        needs, position = place
        positions = self._groups[needs]
        head = positions[0]
        del positions[bisect.bisect_left(positions, position)]
        if not positions:
            del self._groups[needs]
            self._isolated.pop(needs, None)
        self._update_head(head, positions)

    def _update_head(
        self, head: Position | None, positions: list[Position]
    ) -> None:
        """Replaces a group's former head after its positions changed."""
        new_head = positions[0] if positions else None
        if new_head == head:
            return
        if head is not None:
            del self._heads[bisect.bisect_left(self._heads, head)]
        if new_head is not None:
            bisect.insort(self._heads, new_head)

    # Queries.

    def job(self, key: str) -> OpenJob | None:
        """Returns a waiting job, None if the key is not that of one."""
        return self._jobs.get(key)

    def groups(self) -> dict[Needs, list[Position]]:
        """Returns the positions of the jobs by needs; not to be changed."""
        return self._groups

    def isolated_groups(self) -> dict[Needs, list[Position]]:
        """Returns the groups with tasks that must run alone."""
        return self._isolated

    def place_of(self, key: str) -> tuple[Needs, Position] | None:
        """Returns a job's needs and position, None if it has no place."""
        return self._places.get(key)

    def following(self, needs: Needs, position: Position) -> Position | None:
        """Returns the position that follows in a group, None after the last."""
        positions = self._groups.get(needs, [])
        index = bisect.bisect_right(positions, position)
        return positions[index] if index < len(positions) else None

    def scan(self, after: Position | None = None) -> "WaitingScan":
        """Returns a scan of the groups, or of those with a head after one."""
        start = bisect.bisect_right(self._heads, after) if after else 0
        return WaitingScan(self, self._heads[start:])


class WaitingScan:
    """Reads the waiting jobs in placement order, group by group.

    Of each group the first job is read, and the next one only after `proceed`.
    Jobs may be added and removed meanwhile.
    """

    __slots__ = ("_heap", "_waiting")

    def __init__(self, waiting: WaitingJobs, heads: list[Position]):
        self._waiting = waiting
        # A sorted list is a heap.
        self._heap = heads

    def next(self) -> tuple[Position, Needs] | None:
        """Returns the next job's position and needs, None after the last."""
        while self._heap:
            position = heapq.heappop(self._heap)
            place = self._waiting.place_of(position.key)
            if place and place[1] == position:
                return position, place[0]
        return None

    def proceed(self, position: Position, needs: Needs) -> None:
        """Lets the job that follows a position in its group be read."""
        following = self._waiting.following(needs, position)
        if following is not None:
            heapq.heappush(self._heap, following)
