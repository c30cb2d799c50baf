"""The holder's open jobs, and those of them that wait for a worker."""

from collections.abc import Iterable

from clayfield.pool.job_memory import JobLedger, open_bytes
from clayfield.pool.tasks import OpenJob
from clayfield.pool.waiting_jobs import WaitingJobs

# Mean CPU of the tasks of a service without any, in thousandths of a core.
DEFAULT_CPU = 1000.0


class JobTable:
    """The jobs that have not ended.

    A job is *enqueued* while it may have tasks that wait for a worker.

    Attributes:
        by_key: all jobs, by key.
        on_time: the jobs that can still end in time, by key.
        scheduled: the jobs with a schedule, by key.
        waiting: the enqueued jobs, in placement order.
        stalled: those of which no task fits any worker, by key.
        is_changed: whether a job was enqueued since the flag was last cleared.
    """

    __slots__ = (
        "_ledger",
        "_step_totals",
        "by_key",
        "is_changed",
        "on_time",
        "scheduled",
        "stalled",
        "waiting",
    )

    def __init__(self, ledger: JobLedger | None = None):
        """Creates a table without jobs.

        Args:
            ledger: where the memory of the jobs is recorded; None for nowhere.
        """
        self._ledger = ledger or JobLedger()
        self.by_key: dict[str, OpenJob] = {}
        self.on_time: dict[str, OpenJob] = {}
        self.scheduled: dict[str, OpenJob] = {}
        self.waiting = WaitingJobs()
        self.stalled: dict[str, OpenJob] = {}
        # Number of steps and their total CPU by service, without long-running
        # steps and stalled jobs.
        self._step_totals: dict[str, tuple[int, int]] = {}
        self.is_changed = False

    # Changes.

    def add(self, open_job: OpenJob) -> None:
        """Adds a job without enqueuing it."""
        key = open_job.job.key
        self.by_key[key] = open_job
        job = open_job.job
        self._ledger.add(key, open_bytes(job), len(job.steps))
        self.on_time[key] = open_job
        if open_job.job.schedule:
            self.scheduled[key] = open_job
        self._add_to_totals(open_job, 1)

    def enqueue(self, open_job: OpenJob) -> None:
        """Enqueues a job, so that its waiting tasks are placed."""
        self.waiting.add(open_job)
        self.is_changed = True

    def dequeue(self, open_job: OpenJob) -> None:
        """Dequeues a job of which no task waits for a worker now."""
        key = open_job.job.key
        self.waiting.remove(key)
        if self.stalled.pop(key, None):
            self._add_to_totals(open_job, 1)

    def remove(self, key: str) -> None:
        """Removes a job, if present."""
        open_job = self.by_key.pop(key, None)
        self._ledger.remove(key)
        self.on_time.pop(key, None)
        self.scheduled.pop(key, None)
        self.waiting.remove(key)
        if open_job and not self.stalled.pop(key, None):
            self._add_to_totals(open_job, -1)

    def set_stalled(self, stalled_jobs: Iterable[OpenJob]) -> None:
        """Replaces the stalled jobs."""
        stalled = {open_job.job.key: open_job for open_job in stalled_jobs}
        for key in stalled.keys() - self.stalled.keys():
            self._add_to_totals(stalled[key], -1)
        for key in self.stalled.keys() - stalled.keys():
            self._add_to_totals(self.stalled[key], 1)
        self.stalled = stalled

    def _add_to_totals(self, open_job: OpenJob, sign: int) -> None:
        """Adds (sign 1) or subtracts (sign -1) a job's steps in the totals."""
        service = open_job.job.service
        count, cpu = self._step_totals.get(service, (0, 0))
        for step in open_job.job.steps:
            if not step.is_long_running:
                count += sign
                cpu += sign * step.reserved_cpu
        if count:
            self._step_totals[service] = (count, cpu)
        else:
            self._step_totals.pop(service, None)

    def mark_late(self, now_ms: float) -> None:
        """Moves the jobs that can't end in time any more behind all others."""
        for key, open_job in list(self.on_time.items()):
            if now_ms > open_job.late_at_ms:
                open_job.is_late = True
                del self.on_time[key]
                if key in self.waiting:
                    self.waiting.add(open_job)

    def release_due(self, wall_ms: float) -> None:
        """Enqueues the scheduled jobs of which an iteration has come due.

        Args:
            wall_ms: the current wall-clock time, in ms.
        """
        for open_job in self.scheduled.values():
            if open_job.release_due(wall_ms):
                self.enqueue(open_job)

    # Queries.

    @property
    def has_waiting(self) -> bool:
        """Whether any task may wait for a worker that could take it."""
        return len(self.waiting) > len(self.stalled)

    def mean_cpu(self, service: str) -> float:
        """Returns the mean CPU of a task over the steps of a service's jobs.

        Long-running steps and stalled jobs don't count. In thousandths of a
        core, at least 1; `DEFAULT_CPU` without such steps.
        """
        count, cpu = self._step_totals.get(service, (0, 0))
        return max(1.0, cpu / count) if count else DEFAULT_CPU

    def kept_jobs(self) -> list[OpenJob]:
        """Returns the kept jobs."""
        return [
            open_job
            for open_job in self.by_key.values()
            if open_job.job.is_kept
        ]

    def on_time_jobs(self) -> list[OpenJob]:
        """Returns the jobs that are on time, in placement order."""
        return sorted(
            self.on_time.values(), key=lambda open_job: open_job.sort_key
        )
