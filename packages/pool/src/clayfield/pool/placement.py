"""Which worker a task goes to."""

import itertools
from collections.abc import Iterable

from clayfield.pool.advice import Advisor
from clayfield.pool.tasks import Run, RunState, Task, TaskId
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import Job, Step

# What a rack other than the data's costs, as a share of speed.
FAR_RACK_SHARE = 0.67
# With more workers than this, only some with room are compared.
MANY_WORKERS = 64
CANDIDATES = 16


class RoomSearch:
    """Finds workers for one task after the other, at one moment.

    What found none is remembered: no task of the same kind that asks for as
    much or more will find one.
    """

    __slots__ = (
        "_advisor",
        "_is_open",
        "_misses",
        "_now_ms",
        "_turn",
        "_workers",
    )

    def __init__(
        self, workers: Iterable[Worker], advisor: Advisor, now_ms: float
    ):
        self._advisor = advisor
        self._now_ms = now_ms
        self._workers = list(workers)
        self._is_open: dict[str, bool] = {}
        self._misses: dict[tuple[str, str], list[Step]] = {}
        self._turn = int(now_ms)

    def find(self, task: Task) -> Worker | None:
        """Returns the worker for a task's next run, None when none has room.

        Of those with room: one on which it has not failed, then the fastest,
        then the one that is left with least room.
        """
        kind = (task.job.job.service, task.step.requires)
        misses = self._misses.setdefault(kind, [])
        if any(_asks_as_much(task.step, missed) for missed in misses):
            return None
        candidates = self._candidates(task)
        if not candidates:
            if task.job.job.is_advised:
                self._advisor.ask(task, self._open_workers())
            elif not task.step.max_per_worker:
                misses.append(task.step)
            return None
        return min(candidates, key=lambda worker: _score(task, worker))

    def _candidates(self, task: Task) -> list[Worker]:
        """Returns workers that may run a task now.

        Where there are many workers, a few of them that differ from task to
        task, unless the task wants one rack or the advisor names workers.
        """
        workers = self._allowed(task)
        most = len(workers)
        if most > MANY_WORKERS and not task.step.rack:
            most = CANDIDATES
            workers = self._from_next_turn(workers)
        candidates: list[Worker] = []
        for worker in workers:
            if may_run(task, worker) and self._is_open_now(worker):
                candidates.append(worker)
                if len(candidates) >= most:
                    break
        return candidates

    def _from_next_turn(self, workers: list[Worker]) -> Iterable[Worker]:
        self._turn += CANDIDATES
        start = self._turn % len(workers)
        return itertools.chain(
            itertools.islice(workers, start, None),
            itertools.islice(workers, start),
        )

    def _is_open_now(self, worker: Worker) -> bool:
        is_open = self._is_open.get(worker.name)
        if is_open is None:
            is_open = worker.is_open(self._now_ms)
            self._is_open[worker.name] = is_open
        return is_open

    def _open_workers(self) -> list[Worker]:
        return [one for one in self._workers if self._is_open_now(one)]

    def has_room_for(self, job: Job) -> bool:
        """Tells whether all tasks of a job would find room at once."""
        needed = job.task_count
        cpu = max(step.room_cpu for step in job.steps)
        for worker in self._from_next_turn(self._workers):
            is_of_service = worker.info.service == job.service
            if is_of_service and self._is_open_now(worker):
                needed -= worker.free_cpu // max(1, cpu)
            if needed <= 0:
                return True
        return False

    def _allowed(self, task: Task) -> list[Worker]:
        """Returns the workers that the advisor lets run a task."""
        if not task.job.job.is_advised:
            return self._workers
        return [
            worker
            for worker in self._workers
            if self._advisor.ticket(task, worker.name)
        ]

    def find_together(self, tasks: list[Task]) -> list[Worker] | None:
        """Returns workers for all tasks of a gang at once, None if none.

        Where the gang wants one rack, racks are tried before all workers.
        """
        allowed = [
            worker
            for worker in self._allowed(tasks[0])
            if self._is_open_now(worker)
        ]
        groups = [allowed]
        if tasks[0].step.wants_one_rack:
            groups = [*_racks(allowed), allowed]
        for group in groups:
            found = _find_all(tasks, group)
            if found:
                return found
        if tasks[0].job.job.is_advised:
            self._advisor.ask(tasks[0], self._open_workers())
        return None


def _racks(workers: list[Worker]) -> list[list[Worker]]:
    """Returns workers by rack, the rack with most room first."""
    by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.info.rack, []).append(worker)
    by_rack.pop("", None)
    return sorted(
        by_rack.values(),
        key=lambda rack: -sum(worker.free_cpu for worker in rack),
    )


def _find_all(tasks: list[Task], workers: list[Worker]) -> list[Worker] | None:
    """Returns a worker for each task, as if those before were placed."""
    found: list[tuple[Worker, Run]] = []
    for task in tasks:
        candidates = [one for one in workers if may_run(task, one)]
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


def _asks_as_much(step: Step, other: Step) -> bool:
    return (
        step.room_cpu >= other.room_cpu
        and step.memory_mb >= other.memory_mb
        and step.gpu >= other.gpu
    )


def may_run(task: Task, worker: Worker) -> bool:
    """Tells whether a worker may run a task and has room for it."""
    step = task.step
    if worker.info.service != task.job.job.service:
        return False
    if step.requires and step.requires not in worker.info.labels:
        return False
    if not worker.fits(step) or task.id in worker.runs:
        return False
    return not step.max_per_worker or (
        _placed_of_step(task, worker) < step.max_per_worker
    )


def _placed_of_step(task: Task, worker: Worker) -> int:
    return sum(
        _is_of_step(run.task_id, task.id) for run in worker.runs.values()
    )


def _spare_cpu(worker: Worker, task: Task) -> int:
    """Returns what a worker leaves to one more task that fills."""
    filling = sum(
        run.task is not None and run.task.step.fills
        for run in worker.runs.values()
    )
    return worker.free_cpu - filling * task.step.cpu


def _is_of_step(task_id: TaskId, other: TaskId) -> bool:
    """Tells whether two tasks are of one step at one time."""
    return (task_id.job, task_id.step, task_id.time) == (
        other.job,
        other.step,
        other.time,
    )


def _score(task: Task, worker: Worker) -> tuple[bool, float, int]:
    speed = worker.speed
    if task.step.rack and task.step.rack not in worker.info.labels:
        speed *= FAR_RACK_SHARE
    return (
        worker.name in task.avoided,
        -round(speed, 1),
        -_spare_cpu(worker, task) if task.step.fills else worker.free_cpu,
    )
