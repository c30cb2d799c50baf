"""Objectives of jobs and forecasts of whether they end in time.

A forecast assigns the tasks of all open jobs, in placement order, to the slots
of the workers that accept tasks. It yields the time when each job would end.
"""

import math
from collections.abc import Iterable, Set

from clayfield.pool.estimates import DurationEstimator
from clayfield.pool.forecast import Forecast
from clayfield.pool.needs import Need, need_of
from clayfield.pool.tasks import OpenJob, Run, Task, TaskState
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import Job, Step

# Duration of a start request and the report of an end.
TASK_OVERHEAD_MS = 4.0
# A job is late when less time than this share of its longest chain of steps
# remains.
LATE_SHARE = 0.8
# Share of late jobs in a queue to which the margin is adjusted.
TARGET_LATE_SHARE = 0.05
MARGIN_STEP = 0.05
MAX_MARGIN = 0.3
# Time constant of the exponential decay of a margin.
MARGIN_DECAY_MS = 1200.0


class Admission:
    """Objectives and forecasts of the jobs of one holder."""

    def __init__(self) -> None:
        self._estimates = DurationEstimator()
        self._margins: dict[str, tuple[float, float]] = {}

    def on_task_done(
        self, queue: str, estimate_ms: float, took_ms: float
    ) -> None:
        """Updates a queue's estimates with the duration of an ended task.

        Args:
            queue: the queue of the job.
            estimate_ms: the caller's estimate, in ms.
            took_ms: the duration on a worker of normal speed, in ms.
        """
        self._estimates.add_sample(queue, estimate_ms, took_ms)

    def on_completed(self, open_job: OpenJob, now_ms: float) -> None:
        """Adjusts the margin of a queue after a job of it was completed.

        Forecasts don't include jobs that arrive later with a higher priority.
        While jobs of a queue end late, a share of their objective is therefore
        reserved as a margin.
        """
        job = open_job.job
        chain_duration_ms = _longest_chain_ms(job, open_job.longest_runs_ms)
        age_ms = now_ms - open_job.arrived_ms
        is_late = age_ms > job.stretch * chain_duration_ms + job.target_ms
        adjustment = MARGIN_STEP * (float(is_late) - TARGET_LATE_SHARE)
        margin = self._margin(job.queue, now_ms) + adjustment
        margin = min(MAX_MARGIN, max(0.0, margin))
        self._margins[job.queue] = (now_ms, margin)

    def _margin(self, queue: str, now_ms: float) -> float:
        """Returns the margin of a queue, a share of the objective."""
        entry = self._margins.get(queue)
        if entry is None:
            return 0.0
        set_ms, margin = entry
        return margin * math.exp((set_ms - now_ms) / MARGIN_DECAY_MS)

    def max_forecast_ms(self, job: Job, now_ms: float) -> float:
        """Returns the highest forecast with which a job is admitted, in ms."""
        margin = self._margin(job.queue, now_ms)
        least_ms = self.critical_path_ms(job) + TASK_OVERHEAD_MS
        return max(least_ms, (1.0 - margin) * self.objective_ms(job))

    def expected_ms(self, job: Job, task: Task) -> float:
        """Returns the expected duration of a task, in ms.

        It is infinite for a long-running task.
        """
        return self._step_ms(job, task.step)

    def _step_ms(self, job: Job, step: Step) -> float:
        """Returns the expected duration of a task of a step, in ms."""
        if step.is_long_running:
            return math.inf
        return self._estimates.expected_ms(job.queue, step.estimate_ms)

    def critical_path_ms(self, job: Job) -> float:
        """Returns the expected duration of the longest chain of steps."""
        expected = [self._step_ms(job, step) for step in job.steps]
        return _longest_chain_ms(job, expected)

    def objective_ms(self, job: Job) -> float:
        """Returns how long after its arrival a job should end, in ms."""
        return job.stretch * self.critical_path_ms(job) + job.target_ms

    def late_at_ms(self, open_job: OpenJob) -> float:
        """Returns the time from which on a job counts as late, in ms.

        It is infinite for long-running and scheduled jobs.
        """
        job = open_job.job
        if open_job.is_long_running or job.schedule:
            return math.inf
        needed_ms = self.critical_path_ms(job) * LATE_SHARE
        return open_job.arrived_ms + self.objective_ms(job) - needed_ms

    def make_forecast(
        self,
        workers: Iterable[Worker],
        size: float,
        now_ms: float,
    ) -> Forecast:
        """Returns a forecast with the slots of the workers that accept tasks.

        Args:
            workers: all workers.
            size: CPU of a slot, in thousandths of a core.
            now_ms: the current time, in ms.
        """
        free_ms: list[float] = []
        for worker in workers:
            if not worker.accepts_tasks(now_ms):
                continue
            if not worker.is_slow:
                free_ms += [0.0] * int(worker.free_cpu // size)
            for run in worker.runs.values():
                free_ms.append(remaining_ms(run, now_ms))
        return Forecast(free_ms)

    def add_to_forecast(
        self,
        forecast: Forecast,
        open_job: OpenJob,
        now_ms: float,
        stalled: Set[Need] = frozenset(),
    ) -> float:
        """Adds the remaining tasks of a job to a forecast.

        Tasks with stalled needs, and those that come after them, use no slot.

        Args:
            forecast: the forecast.
            open_job: the job.
            now_ms: the current time, in ms.
            stalled: needs that count as met by no worker.

        Returns:
            How long from now the job would end, in ms; infinite if it has such
            tasks.
        """
        return max(
            (
                self._add_iteration(
                    forecast, open_job, iteration, now_ms, stalled
                )
                for iteration in range(open_job.due_iterations)
            ),
            default=0.0,
        )

    def _add_iteration(
        self,
        forecast: Forecast,
        open_job: OpenJob,
        iteration: int,
        now_ms: float,
        stalled: Set[Need],
    ) -> float:
        """Adds one iteration of a job to a forecast; returns its end."""
        ends: list[float] = []
        for number, step in enumerate(open_job.job.steps):
            ready_ms = max((ends[n] for n in step.after), default=0.0)
            expected_ms = self._step_ms(open_job.job, step)
            end_ms = 0.0
            stage = open_job.job.stage_of(number, iteration)
            tasks = open_job.tasks[stage]
            can_start = math.isfinite(ready_ms) and not (
                stalled and need_of(tasks[0]) in stalled
            )
            for task in tasks:
                task_end_ms = _task_end_ms(
                    forecast if can_start else None,
                    task,
                    expected_ms,
                    ready_ms,
                    now_ms,
                )
                end_ms = max(end_ms, task_end_ms)
            ends.append(end_ms)
        return max(ends, default=0.0)


def _task_end_ms(
    forecast: Forecast | None,
    task: Task,
    expected_ms: float,
    ready_ms: float,
    now_ms: float,
) -> float:
    """Returns how long from now a task would end, in ms.

    A task that waits for a worker is added to the forecast; None if it can't
    be started.
    """
    if task.state is TaskState.DONE:
        return 0.0
    if task.run is not None:
        return remaining_ms(task.run, now_ms)
    if forecast is None:
        return math.inf
    return forecast.add_task(expected_ms, ready_ms)


def _longest_chain_ms(job: Job, durations_ms: list[float]) -> float:
    """Returns the duration of the longest chain of steps, in ms.

    Args:
        job: the job.
        durations_ms: the duration of each step, in ms.
    """
    ends: list[float] = []
    for step, duration_ms in zip(job.steps, durations_ms, strict=True):
        before_ms = max((ends[n] for n in step.after), default=0.0)
        ends.append(before_ms + duration_ms)
    return max(ends, default=0.0)


def remaining_ms(run: Run, now_ms: float) -> float:
    """Returns the expected remaining duration of a run, in ms.

    An overdue run is assumed to take at least as long again as so far.
    """
    elapsed_ms = now_ms - run.commanded_ms
    if run.is_overdue(now_ms):
        return max(run.expected_ms, elapsed_ms)
    return max(0.0, run.expected_ms - elapsed_ms)


def idle_in_ms(worker: Worker, now_ms: float) -> float:
    """Returns the time until all runs of a worker that end have ended."""
    return max(
        (
            remaining_ms(run, now_ms)
            for run in worker.runs.values()
            if run.task is None or not run.task.step.is_long_running
        ),
        default=0.0,
    )
