"""The job store: the replicated record of kept jobs.

A kept job is durable: once its acceptance is committed, it runs to its end.
The store holds a job from its acceptance until some time after its end. Of an
ended job it holds only the key and the state in which it ended.
"""

import msgspec

from clayfield.base import Clock
from clayfield.wire.job_store import (
    AcceptJob,
    CancelKeptJob,
    CrashTask,
    EndTask,
    JobChange,
    KeptJob,
    TaskCrashes,
    TaskFailures,
)
from clayfield.wire.jobs import JobState


class JobStoreSnapshot(msgspec.Struct, array_like=True):
    """A snapshot of the job store.

    Attributes:
        open_jobs: jobs that have not ended, oldest first.
        ended: end state of the other jobs, by key.
    """

    open_jobs: list[KeptJob] = []
    ended: dict[str, JobState] = {}


class _OpenJob:
    """A job that has not ended.

    Attributes:
        kept: the job and the progress of its tasks.
        remaining: number of tasks that are not done.
        since_ms: time of its acceptance on this node's clock, in ms.
    """

    __slots__ = ("kept", "remaining", "since_ms")

    def __init__(self, kept: KeptJob, since_ms: float):
        self.kept = kept
        self.since_ms = since_ms
        done = sum(len(indices) for indices in kept.done)
        self.remaining = kept.job.task_count - done


class _EndedJob:
    """A job that has ended.

    Attributes:
        state: state in which it ended.
        since_ms: time at which this node applied or restored the end, in ms.
    """

    __slots__ = ("since_ms", "state")

    def __init__(self, state: JobState, since_ms: float):
        self.state = state
        self.since_ms = since_ms


class JobStore:
    """The kept jobs, by key.

    The jobs and their states depend on the applied changes only. The clock
    serves for the ages of jobs; a snapshot contains those of open jobs. Ages
    do not affect how changes are applied.
    """

    __slots__ = ("_clock", "_ended_jobs", "_open_jobs")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._open_jobs: dict[str, _OpenJob] = {}
        self._ended_jobs: dict[str, _EndedJob] = {}

    # Changes.

    def apply(self, changes: tuple[JobChange, ...]) -> None:
        """Applies changes in the given order."""
        for change in changes:
            match change:
                case AcceptJob(job=job):
                    stages = job.iteration_count * len(job.steps)
                    self._accept(KeptJob(job, [[] for _ in range(stages)]))
                case EndTask():
                    self._end_task(change)
                case CrashTask():
                    self._crash_task(change)
                case CancelKeptJob(key=key):
                    if key in self._open_jobs:
                        self._end(key, JobState.CANCELLED)

    def delete_ended(self, keys: tuple[str, ...]) -> None:
        """Removes ended jobs; other keys are ignored."""
        for key in keys:
            self._ended_jobs.pop(key, None)

    def _accept(self, kept: KeptJob) -> None:
        key = kept.job.key
        if key not in self._open_jobs and key not in self._ended_jobs:
            self._open_jobs[key] = _OpenJob(kept, self._clock.now_ms())

    def _end_task(self, change: EndTask) -> None:
        entry = self._open_jobs.get(change.key)
        if entry is None:
            return
        if change.has_succeeded:
            self._record_done(entry, change)
        else:
            self._record_failure(entry, change)

    def _record_done(self, entry: _OpenJob, change: EndTask) -> None:
        job = entry.kept.job
        done = entry.kept.done[job.stage_of(change.step, change.iteration)]
        if change.index in done:
            return
        done.append(change.index)
        entry.remaining -= 1
        if not entry.remaining:
            self._end(change.key, JobState.COMPLETED)

    def _record_failure(self, entry: _OpenJob, change: EndTask) -> None:
        stage = entry.kept.job.stage_of(change.step, change.iteration)
        failures = _find_or_add_failures(entry.kept, stage, change.index)
        if change.run <= failures.last_run:
            return
        failures.last_run = change.run
        failures.count += 1
        if failures.count >= entry.kept.job.max_attempts:
            self._end(change.key, JobState.FAILED)

    def _crash_task(self, change: CrashTask) -> None:
        entry = self._open_jobs.get(change.key)
        if entry is None:
            return
        stage = entry.kept.job.stage_of(change.step, change.iteration)
        crashes = _find_or_add_crashes(entry.kept, stage, change.index)
        crashes.add(change.crash, change.was_alone)
        if crashes.is_fatal:
            self._end(change.key, JobState.FAILED)

    def _end(self, key: str, state: JobState) -> None:
        del self._open_jobs[key]
        self._ended_jobs[key] = _EndedJob(state, self._clock.now_ms())

    # Queries.

    def open_jobs(self) -> list[KeptJob]:
        """Returns the jobs that have not ended, oldest first."""
        now_ms = self._clock.now_ms()
        for entry in self._open_jobs.values():
            entry.kept.age_ms = now_ms - entry.since_ms
        return [entry.kept for entry in self._open_jobs.values()]

    def ended_states(self) -> dict[str, JobState]:
        """Returns the states of the ended jobs by key, earliest end first."""
        return {key: entry.state for key, entry in self._ended_jobs.items()}

    def find_ended_before(
        self, before_ms: float, limit: int
    ) -> tuple[str, ...]:
        """Returns the keys of jobs that ended before a time, earliest first.

        Args:
            before_ms: time on this node's clock, in ms.
            limit: maximum number of keys to return.
        """
        keys: list[str] = []
        for key, entry in self._ended_jobs.items():
            if entry.since_ms >= before_ms or len(keys) >= limit:
                break
            keys.append(key)
        return tuple(keys)

    # Snapshots.

    def snapshot(self) -> JobStoreSnapshot:
        """Returns the whole store as part of a snapshot."""
        return JobStoreSnapshot(self.open_jobs(), self.ended_states())

    def restore(self, snapshot: JobStoreSnapshot) -> None:
        """Replaces the store by one that `snapshot` returned."""
        now_ms = self._clock.now_ms()
        self._open_jobs = {
            kept.job.key: _OpenJob(kept, now_ms - kept.age_ms)
            for kept in snapshot.open_jobs
        }
        self._ended_jobs = {
            key: _EndedJob(state, now_ms)
            for key, state in snapshot.ended.items()
        }


def _find_or_add_failures(
    kept: KeptJob, stage: int, index: int
) -> TaskFailures:
    """Returns the failures of a task, added to the job if there are none."""
    for failures in kept.failures:
        if (failures.stage, failures.index) == (stage, index):
            return failures
    failures = TaskFailures(stage, index, 0, 0)
    kept.failures.append(failures)
    return failures


def _find_or_add_crashes(kept: KeptJob, stage: int, index: int) -> TaskCrashes:
    """Returns the crashes of a task, added to the job if there are none."""
    for crashes in kept.crashes:
        if (crashes.stage, crashes.index) == (stage, index):
            return crashes
    crashes = TaskCrashes(stage, index, [], 0)
    kept.crashes.append(crashes)
    return crashes
