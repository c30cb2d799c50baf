"""What tasks need of a worker.

Tasks with equal needs fit the same workers, so that one attempt to place one
of them speaks for all until capacity changes.
"""

from typing import NamedTuple

from clayfield.pool.tasks import Suspicion, Task
from clayfield.pool.worker import Worker


class Need(NamedTuple):
    """What a task, or a whole gang, needs in order to be started.

    Attributes:
        service: service of the workers.
        label: label that a worker must have, "" for none.
        cpu: CPU that a task reserves, in thousandths of a core.
        memory_mb: memory of a task, in MB.
        gpu: number of accelerators of a task.
        gang_size: number of tasks that start together, 1 without a gang.
        priority: priority of the job, 0 is the highest; it decides which
            reserved workers the task may use.
        isolation: the suspicion of crashing workers for which the task must
            run alone; NONE if it needn't.
        stage: job key and stage if the choice of workers also depends on the
            other tasks of the stage or on its tickets, else "".
    """

    service: str
    label: str
    cpu: int
    memory_mb: int
    gpu: int
    gang_size: int
    priority: int
    isolation: Suspicion
    stage: str


def need_of(task: Task) -> Need:
    """Returns the need of a task.

    The tasks of a stage have the same, apart from `isolation`.
    """
    job = task.job.job
    step = task.step
    stage = ""
    if step.max_per_worker or job.is_advised:
        number = job.stage_of(task.id.step, task.id.iteration)
        stage = f"{job.key}/{number}"
    return Need(
        job.service,
        step.required_label,
        step.reserved_cpu,
        step.memory_mb,
        step.gpu,
        step.count if step.is_gang else 1,
        job.priority,
        task.isolation,
        stage,
    )


def is_of_kind(worker: Worker, need: Need) -> bool:
    """Returns whether a worker has the service and label of a need."""
    return worker.info.service == need.service and (
        not need.label or need.label in worker.info.labels
    )


def count_fitting(need: Need, cpu: int, memory_mb: int, gpu: int) -> int:
    """Returns how many tasks with a need fit a capacity, at most a gang's."""
    count = need.gang_size
    if need.cpu:
        count = min(count, cpu // need.cpu)
    if need.memory_mb:
        count = min(count, memory_mb // need.memory_mb)
    if need.gpu:
        count = min(count, gpu // need.gpu)
    return max(0, count)
