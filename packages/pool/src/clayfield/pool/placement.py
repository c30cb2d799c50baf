"""Selects the workers on which tasks are placed.

A task goes to a worker of its service that has the required label and enough
free capacity. A gang, whose tasks start together, is placed as a whole or not
at all. Of an advised job, a task goes only to workers for which the advisor, an
outside service, has issued a ticket.
"""

import itertools
from collections.abc import Iterable

from clayfield.pool.isolation import Isolation
from clayfield.pool.needs import Need, count_fitting, is_of_kind, need_of
from clayfield.pool.open_starts import OpenStarts
from clayfield.pool.reservations import Reservations
from clayfield.pool.tasks import Run, RunState, Task, TaskId
from clayfield.pool.tickets import TicketCache
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import Job, Step

# Share of a worker's speed that remains if a task's data is in another rack.
REMOTE_RACK_FACTOR = 0.67
# With more workers than this, only a sample of them is compared for a task.
SAMPLING_THRESHOLD = 64
SAMPLE_SIZE = 16
# Number of needs that must have missed before the largest free capacities are
# determined, which takes as long as one more miss.
INDEXED_AFTER_MISSES = 2
# Cost of a look at a need, in workers that are examined in the same time.
LOOK_COST = 4


class WorkerSelector:
    """Selects workers for a series of tasks at one point in time.

    A need that no worker meets is recorded, so that later tasks with the same
    need are not tried.

    Attributes:
        examined: number of workers that were examined for tasks that did not
            fit; the cost of a pass beside that of its starts.
    """

    __slots__ = (
        "_isolation",
        "_largest",
        "_misses",
        "_now_ms",
        "_offset",
        "_open_by_name",
        "_open_starts",
        "_reservations",
        "_tickets",
        "_workers",
        "examined",
    )

    def __init__(
        self,
        workers: Iterable[Worker],
        tickets: TicketCache,
        now_ms: float,
        reservations: Reservations | None = None,
        isolation: Isolation | None = None,
        open_starts: OpenStarts | None = None,
    ):
        """Creates a selector.

        Args:
            workers: the workers to select from.
            tickets: tickets of the advised jobs.
            now_ms: the current time.
            reservations: the workers that are reserved for jobs.
            isolation: the workers that are set aside for suspects.
            open_starts: the start commands without a reply.
        """
        self.examined = 0
        self._tickets = tickets
        self._now_ms = now_ms
        self._workers = list(workers)
        self._reservations = reservations or Reservations()
        self._isolation = isolation
        # An empty one is falsy.
        self._open_starts = OpenStarts() if open_starts is None else open_starts
        self._open_by_name: dict[str, bool] = {}
        self._misses: set[Need] = set()
        self._largest: dict[tuple[str, str], tuple[int, int, int]] | None = None
        self._offset = int(now_ms)

    def has_missed(self, need: Need) -> bool:
        """Returns whether certainly no worker meets a need now."""
        if need in self._misses:
            return True
        if len(self._misses) < INDEXED_AFTER_MISSES:
            return False
        cpu, memory_mb, gpu = self._largest_free(need)
        if need.cpu <= cpu and need.memory_mb <= memory_mb and need.gpu <= gpu:
            return False
        self._misses.add(need)
        return True

    def have_missed(self, needs: Iterable[Need]) -> bool:
        """Returns whether certainly no worker meets any of several needs."""
        self.examined += LOOK_COST
        return all(self.has_missed(need) for need in needs)

    def _largest_free(self, need: Need) -> tuple[int, int, int]:
        """Returns upper bounds of the free CPU, memory and accelerators.

        They hold for the workers of a need's service and label; all are -1 if
        there is no such worker.
        """
        if self._largest is None:
            self._largest = self._measure_largest()
        return self._largest.get((need.service, need.label), (-1, -1, -1))

    def _measure_largest(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        largest: dict[tuple[str, str], tuple[int, int, int]] = {}
        self.examined += len(self._workers)
        for worker in self._workers:
            if not self._is_open(worker):
                continue
            free = worker.free
            for label in ("", *worker.info.labels):
                kind = (worker.info.service, label)
                known = largest.get(kind, free)
                largest[kind] = tuple(map(max, known, free))
        return largest

    def find(self, task: Task, need: Need) -> Worker | None:
        """Returns the worker for a task's next run, None if none is suitable.

        Workers on which the task has neither failed nor hung come first, then
        the faster ones, then those with least free CPU.

        Args:
            task: the task.
            need: its need, which has not missed.
        """
        candidates = self._candidates(task)
        if candidates:
            return min(candidates, key=lambda worker: _score(task, worker))
        self.examined += len(self._workers)
        if task.job.job.is_advised:
            self._tickets.request_tickets(task, self._open_workers())
        # A worker that still lists a run of this task may fit another one.
        if not any(task.id in worker.runs for worker in self._workers):
            self._misses.add(need)
        return None

    def _candidates(self, task: Task) -> list[Worker]:
        """Returns workers that can run a task now.

        Of many workers it returns a sample, which differs from task to task,
        unless the task's data is in a certain rack.
        """
        workers = self._allowed(task)
        limit = len(workers)
        if limit > SAMPLING_THRESHOLD and not task.step.rack:
            limit = SAMPLE_SIZE
            workers = self._rotated(workers)
        candidates: list[Worker] = []
        for worker in workers:
            if can_run(task, worker) and self._is_usable(worker, task):
                candidates.append(worker)
                if len(candidates) >= limit:
                    break
        return candidates

    def _rotated(self, workers: list[Worker]) -> Iterable[Worker]:
        """Returns the workers from a new starting point, wrapping around."""
        self._offset += SAMPLE_SIZE
        start = self._offset % len(workers)
        return itertools.chain(
            itertools.islice(workers, start, None),
            itertools.islice(workers, start),
        )

    def _is_open(self, worker: Worker) -> bool:
        """Returns whether a worker accepts tasks; caches the result."""
        is_open = self._open_by_name.get(worker.name)
        if is_open is None:
            is_open = worker.accepts_tasks(self._now_ms)
            self._open_by_name[worker.name] = is_open
        return is_open

    def _is_usable(self, worker: Worker, task: Task) -> bool:
        """Returns whether a worker accepts a task now, apart from its room."""
        if not self._is_open(worker):
            return False
        if self._open_starts.is_worker_full(worker.name):
            return False
        if self._isolation and not self._isolation.permits(
            worker, task.isolation
        ):
            return False
        return not self._reservations.bars(worker.name, task.job.job)

    def _open_workers(self) -> list[Worker]:
        return [worker for worker in self._workers if self._is_open(worker)]

    def has_capacity_for(self, job: Job) -> bool:
        """Returns whether all tasks of a job would fit at once.

        False for a job that needs workers with a label.
        """
        if any(step.required_label for step in job.steps):
            return False
        needed = job.task_count
        cpu = max(step.reserved_cpu for step in job.steps)
        for worker in self._rotated(self._workers):
            is_of_service = worker.info.service == job.service
            if is_of_service and self._is_open(worker):
                needed -= max(0, worker.free_cpu) // max(1, cpu)
            if needed <= 0:
                return True
        return False

    def _allowed(self, task: Task) -> list[Worker]:
        """Returns the workers that may run a task by the advisor's tickets."""
        if not task.job.job.is_advised:
            return self._workers
        return [
            worker
            for worker in self._workers
            if self._tickets.ticket(task, worker.name)
        ]

    def find_for_gang(self, tasks: list[Task]) -> list[Worker] | None:
        """Returns a worker for each task of a gang, None if they do not fit.

        If the gang prefers one rack, each rack is tried before all workers.

        Args:
            tasks: all tasks of the gang.

        Returns:
            The workers in the order of the tasks.
        """
        need = need_of(tasks[0])
        if self.has_missed(need):
            return None
        allowed = [
            worker
            for worker in self._allowed(tasks[0])
            if self._is_usable(worker, tasks[0])
        ]
        self.examined += len(self._workers)
        if _has_room_for_gang(tasks[0].step, need, allowed):
            groups = [allowed]
            if tasks[0].step.prefers_one_rack:
                groups = [*_racks(allowed), allowed]
            for group in groups:
                found = _find_all(tasks, group)
                if found:
                    return found
        if tasks[0].job.job.is_advised:
            self._tickets.request_tickets(tasks[0], self._open_workers())
        self._misses.add(need)
        return None


def _racks(workers: list[Worker]) -> list[list[Worker]]:
    """Groups workers by rack, the rack with most free CPU first."""
    by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.info.rack, []).append(worker)
    by_rack.pop("", None)
    return sorted(
        by_rack.values(),
        key=lambda rack: -sum(worker.free_cpu for worker in rack),
    )


def _find_all(tasks: list[Task], workers: list[Worker]) -> list[Worker] | None:
    """Returns a worker for each task, None if not all tasks fit.

    Each task reserves its resources until all workers are selected.
    """
    found: list[tuple[Worker, Run]] = []
    for task in tasks:
        candidates = [each for each in workers if can_run(task, each)]
        if not candidates:
            break
        best = min(candidates, key=lambda worker: _score(task, worker))
        placeholder = Run(task.id, 0, best.name, task, RunState.STARTING, 0.0)
        best.reserve(placeholder)
        found.append((best, placeholder))
    for worker, placeholder in found:
        worker.release(placeholder)
    if len(found) < len(tasks):
        return None
    return [worker for worker, _ in found]


def _has_room_for_gang(
    step: Step, need: Need, workers: Iterable[Worker]
) -> bool:
    """Returns whether the free capacities may suffice for a gang."""
    missing = step.count
    for worker in workers:
        if is_of_kind(worker, need):
            missing -= count_fitting(need, *worker.free)
        if missing <= 0:
            return True
    return False


def can_run(task: Task, worker: Worker) -> bool:
    """Returns whether a worker is suitable for a task and has capacity."""
    step = task.step
    if worker.info.service != task.job.job.service:
        return False
    if not worker.has_label(step):
        return False
    if not worker.fits(step) or task.id in worker.runs:
        return False
    return not step.max_per_worker or (
        _count_of_step(task, worker) < step.max_per_worker
    )


def _count_of_step(task: Task, worker: Worker) -> int:
    """Returns how many tasks of a task's step are on a worker."""
    return sum(
        _is_of_step(run.task_id, task.id) for run in worker.runs.values()
    )


def _spare_cpu(worker: Worker, task: Task) -> int:
    """Returns the free CPU for one more batch task.

    Batch tasks reserve nothing, so those on the worker are subtracted.
    """
    batch_runs = sum(
        run.task is not None and run.task.step.is_batch
        for run in worker.runs.values()
    )
    return worker.free_cpu - batch_runs * task.step.cpu


def _is_of_step(task_id: TaskId, other: TaskId) -> bool:
    """Returns whether two tasks are of one step in one iteration."""
    return (task_id.job, task_id.step, task_id.iteration) == (
        other.job,
        other.step,
        other.iteration,
    )


def _score(task: Task, worker: Worker) -> tuple[bool, float, int]:
    """Returns the sort key of a worker for a task; lower is better."""
    speed = worker.speed
    if task.step.rack and task.step.rack not in worker.info.labels:
        speed *= REMOTE_RACK_FACTOR
    return (
        worker.name in task.avoided_workers,
        -round(speed, 1),
        -_spare_cpu(worker, task) if task.step.is_batch else worker.free_cpu,
    )
