"""Counts the crashes of workers against the tasks that ran on them.

Every task with a run on a worker that crashes is a suspect: any of them may
have been the cause. A task under which workers have crashed that ran nothing
else is the cause, and fails with its job.
"""

import collections
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.fleet import Fleet
from clayfield.pool.isolation import MAX_SHARE_WITH_CRASHED
from clayfield.pool.job_table import JobTable
from clayfield.pool.kept import KeptJobs
from clayfield.pool.tasks import OpenJob, Run, Suspicion, Task, TaskState
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import Reason, Verdict

# A long-running task that has run for this time is not blamed for a crash: its
# worker may crash for other reasons in the course of its life.
MAX_BLAMED_MS = 30_000.0
# How long after a crash a task that was suspected once waits to run alone. With
# it a sound task runs again within the 3 s in which callers miss it.
MAX_ISOLATION_WAIT_MS = 2500.0
# If a quarter of the workers crash within this time, no isolation is waived. It
# is less than the wait above, which one burst of crashes must not prolong.
STORM_MS = 2000.0
# How long a suspect stays alone on a worker, which other suspects wait for.
MAX_ISOLATION_MS = 5000.0
# A task is the cause of a crash if so many more have happened under it before
# than under any other task on the worker.
MIN_LEAD = 2

Finish = Callable[[OpenJob, Verdict, Reason], None]


class CrashCounter:
    """Counts crashes against the tasks of one scheduler."""

    __slots__ = (
        "_awaiting",
        "_clock",
        "_finish",
        "_fleet",
        "_jobs",
        "_kept_jobs",
        "_suspected",
    )

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        jobs: JobTable,
        kept_jobs: KeptJobs | None,
        finish: Finish,
    ):
        """Creates a counter.

        Args:
            clock: source of the current time.
            fleet: the workers.
            jobs: the open jobs.
            kept_jobs: the kept jobs; None on a standby.
            finish: ends an open job with a verdict and a reason.
        """
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        # Tasks that are not started before their worker's end is known.
        self._awaiting: list[Task] = []
        # Suspects, with the time at which their isolation is waived.
        self._suspected: collections.deque[tuple[float, Task]] = (
            collections.deque()
        )
        self._kept_jobs = kept_jobs
        self._finish = finish

    def on_worker_crashed(self, worker: Worker, runs: list[Run]) -> None:
        """Counts a crash against the tasks that ran on the worker.

        Args:
            worker: the incarnation of the worker that has ended.
            runs: the runs that were on it.
        """
        suspects = {
            run.task.job.counted_task(run.task): run.number
            for run in runs
            if run.task is not None and not self._has_proved(run)
        }
        has_unknown = any(run.task is None for run in runs)
        causes = _likely_causes(list(suspects)) if not has_unknown else set()
        for task, number in suspects.items():
            if not task.job.is_ended and task.state is not TaskState.DONE:
                self._count(task, f"{worker.name}/{number}", task in causes)

    def await_evidence(self, task: Task, worker: Worker) -> None:
        """Holds back a task whose worker no longer replies, if need be.

        Whether the worker has crashed under it may show only later. A task
        under which several have crashed is not started before that.

        Args:
            task: a task, or one of a gang, that waits again.
            worker: the worker of its run that was lost.
        """
        is_unclear = not worker.is_reachable and not _is_end_known(worker)
        if is_unclear and task.suspicion >= Suspicion.REPEATED:
            task.awaited_worker = worker
            self._awaiting.append(task)

    def tick(self) -> None:
        """Runs the periodic work: releases tasks and ends isolations."""
        awaiting: list[Task] = []
        for task in self._awaiting:
            worker = task.awaited_worker
            if not worker.is_reachable and not _is_end_known(worker):
                awaiting.append(task)
                continue
            task.awaited_worker = None
            if not task.job.is_ended:
                self._jobs.enqueue(task.job)
        self._awaiting = awaiting
        self._waive_isolations()
        self._end_isolations()

    def _waive_isolations(self) -> None:
        """Lets tasks run beside others that have been suspected once."""
        now_ms = self._clock.now_ms()
        waiting: list[tuple[float, Task]] = []
        while self._suspected and self._suspected[0][0] <= now_ms:
            until_ms, task = self._suspected.popleft()
            if task.job.is_ended or task.suspicion is not Suspicion.ONCE:
                continue
            if self._are_many_down(task.job.job.service):
                waiting.append((until_ms, task))
                continue
            task.is_isolation_waived = True
            if task.state is TaskState.WAITING:
                self._jobs.enqueue(task.job)
        self._suspected.extendleft(reversed(waiting))

    def _are_many_down(self, service: str) -> bool:
        """Returns whether many workers have just crashed: none is risked."""
        since_ms = self._clock.now_ms() - STORM_MS
        workers = [
            worker
            for worker in self._fleet.workers.values()
            if worker.info.service == service
        ]
        crashed = sum(w.has_crashed_since(since_ms) for w in workers)
        return crashed > max(1, int(len(workers) * MAX_SHARE_WITH_CRASHED))

    def on_run_end(self, run: Run) -> None:
        """Waives the isolation of a task that ended without a crash."""
        if run.is_isolated:
            run.task.job.counted_task(run.task).is_isolation_waived = True

    def _end_isolations(self) -> None:
        """Lets others run beside suspects that have gone on for a while."""
        now_ms = self._clock.now_ms()
        for worker in self._fleet.workers.values():
            if not worker.has_suspect:
                continue
            for run in worker.runs.values():
                ran_ms = now_ms - run.commanded_ms
                if run.is_isolated and ran_ms > MAX_ISOLATION_MS:
                    worker.end_isolation(run)
                    counted = run.task.job.counted_task(run.task)
                    counted.is_isolation_waived = True

    def _has_proved(self, run: Run) -> bool:
        """Returns whether a run has gone on for too long to be blamed."""
        ran_ms = self._clock.now_ms() - run.commanded_ms
        return run.task.step.is_long_running and ran_ms > MAX_BLAMED_MS

    def _count(self, task: Task, crash: str, was_alone: bool) -> None:
        """Counts a crash against a task.

        Args:
            task: the task.
            crash: the worker and the number of the run; counts once.
            was_alone: whether no other task on the worker may be the cause.
        """
        open_job = task.job
        if not open_job.note_crash(task, crash, was_alone):
            return
        task.is_isolation_waived = False
        until_ms = self._clock.now_ms() + MAX_ISOLATION_WAIT_MS
        self._suspected.append((until_ms, task))
        emit(
            Event.TASK_SUSPECTED,
            job=task.id.job,
            step=task.id.step,
            index=task.id.index,
            crashes=list(task.crashes.runs),
            alone=task.crashes.alone,
            is_given_up=task.crashes.is_fatal,
        )
        if open_job.job.key in self._jobs.waiting:
            # What its tasks need has changed.
            self._jobs.enqueue(open_job)
        if open_job.job.is_kept:
            self._kept_jobs.on_crash(task, crash, was_alone)
        elif task.crashes.is_fatal:
            self._finish(open_job, Verdict.FAILED, Reason.CRASHES)


def _is_end_known(worker: Worker) -> bool:
    """Returns whether it is known what became of a worker."""
    return worker.crashed_ms is not None or worker.is_removed


def _likely_causes(tasks: list[Task]) -> set[Task]:
    """Returns the task that must have crashed a worker, if it is certain.

    That is the only one on it, or one under which several workers have crashed
    and far more than under any other.

    Args:
        tasks: the tasks that ran on the worker.
    """
    tasks = sorted(tasks, key=_count_crashes)
    if len(tasks) <= 1:
        return set(tasks)
    second, first = tasks[-2:]
    is_certain = _count_crashes(first) >= _count_crashes(second) + MIN_LEAD
    return {first} if is_certain else set()


def _count_crashes(task: Task) -> int:
    return len(task.crashes.runs) if task.crashes else 0
