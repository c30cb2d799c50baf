"""The holder's view of one worker: capacity, lease, clock and health.

A `Worker` is one incarnation of a back end, that is, one start of its process.
A back end that starts again may keep its name.
"""

from clayfield.base.events import Event, emit
from clayfield.pool.tasks import Run, TaskId
from clayfield.pool.timing import MAX_CLOCK_DRIFT, MAX_TRANSIT_MS
from clayfield.wire.jobs import Step, WorkerInfo, WorkerState

# Weight of a new sample in the running mean of a worker's speed.
SPEED_WEIGHT = 0.15
# The same for a sample below `SLOW_SAMPLE_SHARE` of the mean, which is a
# stronger sign of a change than other samples.
SLOW_SAMPLE_WEIGHT = 0.5
SLOW_SAMPLE_SHARE = 0.25
# Speed below which a worker counts as slow.
SLOW_SPEED = 0.5
MAX_SPEED = 3.0
MIN_SPEED = 0.1
# Number of different jobs that fail in a row before a worker is suspended.
FAILED_JOBS = 2
# Bounds of the suspension, which doubles each time.
MIN_SUSPENSION_MS = 700.0
MAX_SUSPENSION_MS = 2800.0


class Worker:
    """One incarnation of a worker.

    Times are in ms on the holder's clock unless noted.

    Attributes:
        info: the worker's latest heartbeat.
        runs: runs whose resources are reserved on the worker, by task.
        last_end_sequence: sequence number of the latest end that the worker
            has listed.
        is_lease_withheld: whether the lease is not renewed, so that it
            lapses and the runs on the worker end. Another node may be
            responsible for them.
        is_synced: whether the worker has accepted a poll of this holder,
            and no fencing error since; its running runs are then known.
        has_unlisted_ends: whether its latest reply was incomplete, so that
            runs may have ended that it has not listed.
        is_removed: whether this incarnation has certainly ended.
        left_ms: time when it announced that it leaves, None before; it gets
            no tasks and no lease from then on.
        crashed_ms: time when its process was known to have ended without
            notice, with runs on it; None before.
        lapsed_runs: runs that were ended because the lease had lapsed, and of
            which the end on the worker is not known.
        is_reachable: False after a poll without a reply or a command that
            could not be sent, until a poll succeeds.
        unreachable_since_ms: time since which the worker is unreachable.
        last_poll: number of the latest poll.
        open_poll: number of the open poll, 0 if there is none.
        poll_wait_ms: how long the worker may delay its reply to the open
            poll, in ms.
        next_poll_ms: time of the next poll.
        accepted_fence: the highest fencing token of this node with which the
            worker has accepted a poll, 0 for none.
        lease_ends_ms: time by which the last lease has certainly lapsed,
            whichever node gave it.
        throttled_ms: time of the latest change of speed of a batch run.
        raise_interval_ms: least time from then to a raise of the speed, in
            ms.
        deferred_end_ms: time when the worker last listed an end that a
            standby leaves to the holder.
        lapsed_ms: time when the lease was last known to have lapsed.
        last_reply_ms: time of the latest reply.
        synced_ms: sending time of the latest poll that the worker accepted.
        listed_ms: sending time of the latest poll with a complete reply; every
            run that had been started or had ended by then is known.
        speed: running mean of the expected duration of runs divided by the
            actual one; 1 for a worker of usual speed.
    """

    __slots__ = (
        "_clock_offset_ms",
        "_failed_jobs",
        "_isolated_runs",
        "_reserved_cpu",
        "_reserved_gpu",
        "_reserved_memory_mb",
        "_suspended_until_ms",
        "_suspension_ms",
        "_unstored_ends",
        "accepted_fence",
        "crashed_ms",
        "deferred_end_ms",
        "has_unlisted_ends",
        "info",
        "is_synced",
        "is_removed",
        "is_lease_withheld",
        "is_reachable",
        "lapsed_ms",
        "lapsed_runs",
        "last_end_sequence",
        "last_poll",
        "last_reply_ms",
        "lease_ends_ms",
        "left_ms",
        "listed_ms",
        "next_poll_ms",
        "synced_ms",
        "open_poll",
        "poll_wait_ms",
        "raise_interval_ms",
        "runs",
        "speed",
        "throttled_ms",
        "unreachable_since_ms",
    )

    def __init__(self, info: WorkerInfo, now_ms: float, first_poll: int = 0):
        """Adds a worker, which has the default speed and no runs.

        Args:
            info: the worker's heartbeat.
            now_ms: the current time.
            first_poll: number after which its polls are numbered.
        """
        self.info = info
        self.runs: dict[TaskId, Run] = {}
        self.last_end_sequence = 0
        self._unstored_ends: set[int] = set()
        self.is_lease_withheld = False
        self.lapsed_ms = 0.0
        self.throttled_ms = 0.0
        self.raise_interval_ms = 600.0
        self.deferred_end_ms = 0.0
        self.is_synced = False
        self.has_unlisted_ends = False
        self.is_removed = False
        self.crashed_ms: float | None = None
        self.lapsed_runs: list[Run] = []
        self.left_ms: float | None = None
        self.is_reachable = True
        self.unreachable_since_ms = now_ms
        self.last_poll = first_poll
        self.open_poll = 0
        self.poll_wait_ms = 0
        self.next_poll_ms = now_ms
        self.accepted_fence = 0
        self.lease_ends_ms = now_ms
        self.last_reply_ms = now_ms
        self.synced_ms = -1.0
        self.listed_ms = -1.0
        self.speed = 1.0
        self._clock_offset_ms: float | None = None
        self._reserved_cpu = 0
        self._reserved_memory_mb = 0
        self._reserved_gpu = 0
        self._isolated_runs = 0
        self._failed_jobs: list[str] = []
        self._suspension_ms = MIN_SUSPENSION_MS
        self._suspended_until_ms = 0.0

    @property
    def name(self) -> str:
        """The name, which a later incarnation may have, too."""
        return self.info.name

    @property
    def free_cpu(self) -> int:
        """Unreserved CPU, in thousandths of a core.

        Below 0 while runs go on that no longer fit, as the capacity has shrunk.
        """
        return self.info.cpu - self._reserved_cpu

    @property
    def free(self) -> tuple[int, int, int]:
        """Unreserved CPU, memory in MB and accelerators; may be below 0."""
        return (
            self.free_cpu,
            self.info.memory_mb - self._reserved_memory_mb,
            self.info.gpu - self._reserved_gpu,
        )

    @property
    def is_draining(self) -> bool:
        """Whether the worker has announced that it accepts no new tasks."""
        return self.info.state is WorkerState.DRAINING

    # Capacity.

    def fits(self, step: Step) -> bool:
        """Returns whether a task of a step fits the free capacity."""
        return (
            self._reserved_cpu + step.reserved_cpu <= self.info.cpu
            and self._reserved_memory_mb + step.memory_mb <= self.info.memory_mb
            and self._reserved_gpu + step.gpu <= self.info.gpu
        )

    def fits_when_idle(self, step: Step) -> bool:
        """Returns whether a task of a step would fit the idle worker."""
        return (
            step.reserved_cpu <= self.info.cpu
            and step.memory_mb <= self.info.memory_mb
            and step.gpu <= self.info.gpu
        )

    def has_label(self, step: Step) -> bool:
        """Returns whether the worker has the label that a step requires."""
        label = step.required_label
        return not label or label in self.info.labels

    def has_crashed_since(self, since_ms: float) -> bool:
        """Returns whether its process was found to have ended since a time."""
        return self.crashed_ms is not None and self.crashed_ms >= since_ms

    @property
    def has_suspect(self) -> bool:
        """Whether a run is on the worker that must be alone there."""
        return self._isolated_runs > 0

    def end_isolation(self, run: Run) -> None:
        """Lets other tasks be placed beside a run from now on."""
        if run.is_isolated:
            run.is_isolated = False
            self._isolated_runs -= 1

    def reserve(self, run: Run) -> None:
        """Adds a run and reserves its resources."""
        self.runs[run.task_id] = run
        self._change_reserved(run, 1)

    def release(self, run: Run) -> None:
        """Removes a run and releases its resources."""
        if self.runs.get(run.task_id) is run:
            del self.runs[run.task_id]
            self._change_reserved(run, -1)

    def _change_reserved(self, run: Run, sign: int) -> None:
        self._reserved_cpu += sign * run.cpu
        self._reserved_memory_mb += sign * run.memory_mb
        self._reserved_gpu += sign * run.gpu
        self._isolated_runs += sign * run.is_isolated

    # Ends of runs.

    @property
    def acked_sequence(self) -> int:
        """Sequence number up to which the worker may discard ends."""
        if not self._unstored_ends:
            return self.last_end_sequence
        return min(self._unstored_ends) - 1

    @property
    def has_unstored_ends(self) -> bool:
        """Whether ends must stay on the worker until they are stored."""
        return bool(self._unstored_ends)

    def hold_ack(self, sequence: int) -> None:
        """Keeps an end on the worker's list until `on_end_stored` is called."""
        self._unstored_ends.add(sequence)

    def on_end_stored(self, sequence: int) -> None:
        """Handles the confirmation that an end is in stable storage."""
        self._unstored_ends.discard(sequence)

    def forget_unstored_ends(self) -> None:
        """Allows the worker to discard all ends that it has listed."""
        self._unstored_ends.clear()

    # Clock and lease.

    def on_clock(self, clock_ms: float, now_ms: float) -> None:
        """Updates the clock offset from a reply that has just arrived."""
        self._clock_offset_ms = clock_ms - now_ms

    def lease_until(self, now_ms: float, lease_ms: float) -> float | None:
        """Returns the end of a lease from now on, on the worker's clock.

        None while the offset of that clock is unknown.
        """
        if self._clock_offset_ms is None:
            return None
        return now_ms + self._clock_offset_ms + lease_ms

    def on_lease_renewed(self, now_ms: float, lease_ms: float) -> None:
        """Records that this or another node has renewed the lease."""
        ends_ms = now_ms + lease_ms * (1 + MAX_CLOCK_DRIFT) + MAX_TRANSIT_MS
        self.lease_ends_ms = max(self.lease_ends_ms, ends_ms)

    def on_end_deferred(self, now_ms: float) -> None:
        """Withholds the lease because of an end that is left to the holder.

        Takes effect at once, so that no start or poll renews the lease before
        the next update.

        Args:
            now_ms: the current time.
        """
        self.deferred_end_ms = now_ms
        self.is_lease_withheld = True

    def update_lease_withholding(self, since_ms: float, now_ms: float) -> None:
        """Withholds the lease until it has lapsed once after a time.

        The tasks of the ends that the worker lists may then be started
        elsewhere: an end that is recorded after the lease has lapsed does
        not count.

        Args:
            since_ms: time after which the lease must lapse.
            now_ms: the current time.
        """
        if self.is_lease_withheld and now_ms > self.lease_ends_ms:
            self.lapsed_ms = now_ms
        self.is_lease_withheld = self.lapsed_ms < since_ms

    # Health.

    def on_success(self, took_ms: float, work_ms: float) -> None:
        """Updates the health and speed after a successful run.

        Args:
            took_ms: duration of the run, in ms.
            work_ms: expected duration on a worker of usual speed, in ms.
        """
        self._failed_jobs.clear()
        self._suspension_ms = MIN_SUSPENSION_MS
        if work_ms <= 0 or took_ms <= 0:
            return
        self._add_speed_sample(work_ms / took_ms)

    def on_hung(self, passed_ms: float, work_ms: float, now_ms: float) -> None:
        """Suspends the worker because of a hung run.

        Args:
            passed_ms: time that the run has taken so far, in ms.
            work_ms: expected duration on a worker of usual speed, in ms.
            now_ms: the current time.
        """
        self._add_speed_sample(work_ms / passed_ms)
        self.suspend(now_ms, "run stuck")

    def _add_speed_sample(self, sample: float) -> None:
        sample = min(MAX_SPEED, max(MIN_SPEED, sample))
        is_slow = sample < SLOW_SAMPLE_SHARE * self.speed
        weight = SLOW_SAMPLE_WEIGHT if is_slow else SPEED_WEIGHT
        self.speed += weight * (sample - self.speed)

    @property
    def is_slow(self) -> bool:
        """Whether the worker runs at less than half of the usual speed."""
        return self.speed < SLOW_SPEED

    def on_failure(self, job: str, now_ms: float) -> None:
        """Records a failed run; suspends the worker after several jobs.

        Args:
            job: key of the run's job.
            now_ms: the current time.
        """
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        if len(self._failed_jobs) >= FAILED_JOBS:
            self.suspend(now_ms, f"{len(self._failed_jobs)} jobs failed")

    def suspend(self, now_ms: float, cause: str) -> None:
        """Suspends the worker: it gets no new tasks for a while.

        The suspension doubles each time, up to a limit, until a run succeeds.

        Args:
            now_ms: the current time.
            cause: the reason, for the log.
        """
        if now_ms < self._suspended_until_ms:
            return
        emit(
            Event.WORKER_SET_ASIDE,
            worker=self.name,
            cause=cause,
            pause_ms=round(self._suspension_ms),
        )
        self._suspended_until_ms = now_ms + self._suspension_ms
        self._suspension_ms = min(MAX_SUSPENSION_MS, self._suspension_ms * 2)

    @property
    def has_known_usage(self) -> bool:
        """Whether the resource usage of all runs on the worker is known."""
        return not any(run.is_inherited for run in self.runs.values())

    def accepts_tasks(self, now_ms: float) -> bool:
        """Returns whether new tasks may be placed on the worker."""
        return (
            self.is_synced
            and self.is_reachable
            and not self.is_removed
            and self.left_ms is None
            and not self.is_draining
            and not self.is_lease_withheld
            and now_ms >= self._suspended_until_ms
            and self.has_known_usage
            and not any(
                run.is_hung(now_ms) or run.is_paused
                for run in self.runs.values()
            )
        )
