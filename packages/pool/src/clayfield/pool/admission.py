"""Whether jobs can be ended within their objectives.

All open jobs are laid on the places of the open workers in the order in which
they would get them; what remains tells when each would end.
"""

import math
from collections.abc import Iterable

from clayfield.pool.estimates import Estimates
from clayfield.pool.forecast import Forecast
from clayfield.pool.tasks import OpenJob, Run, Task, TaskState
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import Job, Step

# What a start and the notice of an end cost beside the task itself.
OVERHEAD_MS = 4.0
# A job that has less than this part of its longest chain left is late.
LATE_SHARE = 0.8
# The margin is moved so that about this part of a queue's jobs ends late.
WANTED_LATE = 0.05
MARGIN_STEP = 0.05
LARGEST_MARGIN = 0.3
# In how many ms a margin falls to a third where no job says otherwise.
MARGIN_DECAY_MS = 1200.0


class Admission:
    """Objectives and forecasts of the jobs of one holder."""

    def __init__(self) -> None:
        self._estimates = Estimates()
        self._margins: dict[str, tuple[float, float]] = {}

    def learn(self, queue: str, estimate_ms: float, took_ms: float) -> None:
        """Learns how long a task took on a worker of usual speed."""
        self._estimates.on_end(queue, estimate_ms, took_ms)

    def on_completed(self, opened: OpenJob, now_ms: float) -> None:
        """Learns whether a job's forecast was good enough.

        Forecasts know nothing of what comes later and goes first. Where jobs
        of a queue end late, a part of their objective is kept as a margin.
        """
        job = opened.job
        chain_ms = _chain_ms(job, opened.longest_runs_ms)
        age_ms = now_ms - opened.arrived_ms
        is_late = age_ms > job.stretch * chain_ms + job.target_ms
        moved = MARGIN_STEP * (float(is_late) - WANTED_LATE)
        margin = self._margin(job.queue, now_ms) + moved
        margin = min(LARGEST_MARGIN, max(0.0, margin))
        self._margins[job.queue] = (now_ms, margin)

    def _margin(self, queue: str, now_ms: float) -> float:
        known = self._margins.get(queue)
        if known is None:
            return 0.0
        set_ms, margin = known
        return margin * math.exp((set_ms - now_ms) / MARGIN_DECAY_MS)

    def allowed_ms(self, job: Job, now_ms: float) -> float:
        """Returns the latest forecast end with which a job is taken."""
        margin = self._margin(job.queue, now_ms)
        least_ms = self.longest_ms(job) + OVERHEAD_MS
        return max(least_ms, (1.0 - margin) * self.objective_ms(job))

    def expected_ms(self, job: Job, task: Task) -> float:
        """Returns how long a task will likely take."""
        return self._step_ms(job, task.step)

    def _step_ms(self, job: Job, step: Step) -> float:
        if step.is_lasting:
            return math.inf
        return self._estimates.expected_ms(job.queue, step.estimate_ms)

    def longest_ms(self, job: Job) -> float:
        """Returns the expected time of the longest chain of steps."""
        expected = [self._step_ms(job, step) for step in job.steps]
        return _chain_ms(job, expected)

    def objective_ms(self, job: Job) -> float:
        """Returns within which time a job is to be ended."""
        return job.stretch * self.longest_ms(job) + job.target_ms

    def late_at_ms(self, opened: OpenJob) -> float:
        """Returns when too little time is left to end a job in time."""
        job = opened.job
        if opened.is_lasting or job.schedule:
            return math.inf
        needed_ms = self.longest_ms(job) * LATE_SHARE
        return opened.arrived_ms + self.objective_ms(job) - needed_ms

    def places(
        self,
        workers: Iterable[Worker],
        size: float,
        now_ms: float,
    ) -> Forecast:
        """Returns when each place of the open workers becomes free.

        Args:
            workers: all of them.
            size: of a place, in thousandths of a core.
            now_ms: the time.
        """
        free_ms: list[float] = []
        for worker in workers:
            if not worker.is_open(now_ms):
                continue
            if not worker.is_slow:
                free_ms += [0.0] * int(worker.free_cpu // size)
            for run in worker.runs.values():
                free_ms.append(left_ms(run, now_ms))
        return Forecast(free_ms)

    def add_to(
        self, forecast: Forecast, opened: OpenJob, now_ms: float
    ) -> float:
        """Lays what is left of a job on the places; returns its end."""
        return max(
            (
                self._add_time(forecast, opened, time, now_ms)
                for time in range(opened.released)
            ),
            default=0.0,
        )

    def _add_time(
        self, forecast: Forecast, opened: OpenJob, time: int, now_ms: float
    ) -> float:
        ends: list[float] = []
        for number, step in enumerate(opened.job.steps):
            ready_ms = max((ends[n] for n in step.after), default=0.0)
            expected_ms = self._step_ms(opened.job, step)
            end_ms = 0.0
            for task in opened.tasks[opened.job.stage_of(number, time)]:
                task_end_ms = _task_end_ms(
                    forecast, task, expected_ms, ready_ms, now_ms
                )
                end_ms = max(end_ms, task_end_ms)
            ends.append(end_ms)
        return max(ends, default=0.0)


def _task_end_ms(
    forecast: Forecast,
    task: Task,
    expected_ms: float,
    ready_ms: float,
    now_ms: float,
) -> float:
    if task.state is TaskState.DONE:
        return 0.0
    if task.run is not None:
        return left_ms(task.run, now_ms)
    return forecast.add(expected_ms, ready_ms)


def _chain_ms(job: Job, times_ms: list[float]) -> float:
    """Returns the time of the longest chain, given that of each step."""
    ends: list[float] = []
    for step, own_ms in zip(job.steps, times_ms, strict=True):
        before_ms = max((ends[n] for n in step.after), default=0.0)
        ends.append(before_ms + own_ms)
    return max(ends, default=0.0)


def left_ms(run: Run, now_ms: float) -> float:
    """Returns how long a run will likely go on."""
    passed_ms = now_ms - run.since_ms
    if run.is_overdue(now_ms):
        return max(run.expected_ms, passed_ms)
    return max(0.0, run.expected_ms - passed_ms)
