"""Which worker a task goes to."""

from collections.abc import Iterable

from clayfield.pool.tasks import Task
from clayfield.pool.worker import Worker

# What a rack other than the data's costs, as a share of speed.
FAR_RACK_SHARE = 0.67


def choose_worker(
    task: Task, workers: Iterable[Worker], now_ms: float
) -> Worker | None:
    """Returns the worker for a task's next run, None when none has room.

    Of those with room: one on which it has not failed, then the fastest, then
    the one that is left with least room.
    """
    best: Worker | None = None
    best_score: tuple[bool, float, int] | None = None
    for worker in workers:
        if not worker.is_open(now_ms) or not may_run(task, worker):
            continue
        score = _score(task, worker)
        if best_score is None or score < best_score:
            best = worker
            best_score = score
    return best


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
        run.task_id.job == task.id.job and run.task_id.step == task.id.step
        for run in worker.runs.values()
    )


def _score(task: Task, worker: Worker) -> tuple[bool, float, int]:
    speed = worker.speed
    if task.step.rack and task.step.rack not in worker.info.labels:
        speed *= FAR_RACK_SHARE
    return (
        worker.name in task.avoided,
        -round(speed, 1),
        worker.free_cpu - task.step.cpu,
    )
