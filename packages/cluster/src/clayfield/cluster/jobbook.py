"""The replicated record of kept jobs.

A job stands in it from its acceptance until it is forgotten, some time after
its end. Of an ended job only its key and how it ended are kept.
"""

import msgspec

from clayfield.base import Clock
from clayfield.wire.jobs import JobState
from clayfield.wire.ledger import (
    AcceptJob,
    CancelAccepted,
    EndTask,
    JobChange,
    KeptJob,
    TaskFailures,
)


class JobsImage(msgspec.Struct, array_like=True):
    """A whole record, as it stands in a snapshot."""

    open_jobs: list[KeptJob] = []
    ended: dict[str, JobState] = {}


class _Open:
    """A job that has not ended."""

    __slots__ = ("kept", "left", "since_ms")

    def __init__(self, kept: KeptJob, since_ms: float):
        self.kept = kept
        self.since_ms = since_ms
        done = sum(len(indices) for indices in kept.done)
        self.left = kept.job.task_count - done


class _Ended:
    """How a job ended, and since when this node knows."""

    __slots__ = ("since_ms", "state")

    def __init__(self, state: JobState, since_ms: float):
        self.state = state
        self.since_ms = since_ms


class JobBook:
    """Kept jobs by key.

    What it holds follows from the changes alone. The clock only tells since
    when this node has known of a job; a snapshot brings that of open jobs as
    their age, which decides nothing here.
    """

    __slots__ = ("_clock", "_ended", "_open")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._open: dict[str, _Open] = {}
        self._ended: dict[str, _Ended] = {}

    # Changes.

    def apply(self, changes: tuple[JobChange, ...]) -> None:
        """Applies changes in their order."""
        for change in changes:
            match change:
                case AcceptJob(job=job):
                    stages = job.times * len(job.steps)
                    self._accept(KeptJob(job, [[] for _ in range(stages)]))
                case EndTask():
                    self._end_task(change)
                case CancelAccepted(key=key):
                    if key in self._open:
                        self._end(key, JobState.CANCELLED)

    def forget(self, keys: tuple[str, ...]) -> None:
        """Drops jobs that have ended."""
        for key in keys:
            self._ended.pop(key, None)

    def _accept(self, kept: KeptJob) -> None:
        key = kept.job.key
        if key not in self._open and key not in self._ended:
            self._open[key] = _Open(kept, self._clock.now_ms())

    def _end_task(self, change: EndTask) -> None:
        known = self._open.get(change.key)
        if known is None:
            return
        if change.is_done:
            self._note_done(known, change)
        else:
            self._note_failure(known, change)

    def _note_done(self, known: _Open, change: EndTask) -> None:
        job = known.kept.job
        done = known.kept.done[job.stage_of(change.step, change.time)]
        if change.index in done:
            return
        done.append(change.index)
        known.left -= 1
        if not known.left:
            self._end(change.key, JobState.COMPLETED)

    def _note_failure(self, known: _Open, change: EndTask) -> None:
        stage = known.kept.job.stage_of(change.step, change.time)
        failures = _failures_of(known.kept, stage, change.index)
        if change.run <= failures.last_run:
            return
        failures.last_run = change.run
        failures.count += 1
        if failures.count >= known.kept.job.max_attempts:
            self._end(change.key, JobState.FAILED)

    def _end(self, key: str, state: JobState) -> None:
        del self._open[key]
        self._ended[key] = _Ended(state, self._clock.now_ms())

    # Questions.

    def open_jobs(self) -> list[KeptJob]:
        """Returns the jobs that have not ended, oldest first."""
        now_ms = self._clock.now_ms()
        for known in self._open.values():
            known.kept.age_ms = now_ms - known.since_ms
        return [known.kept for known in self._open.values()]

    def ended(self) -> dict[str, JobState]:
        """Returns how other jobs ended, the earliest end first."""
        return {key: known.state for key, known in self._ended.items()}

    def ended_before(self, before_ms: float, most: int) -> tuple[str, ...]:
        """Returns the keys of jobs whose ends were known before a time."""
        keys: list[str] = []
        for key, known in self._ended.items():
            if known.since_ms >= before_ms or len(keys) >= most:
                break
            keys.append(key)
        return tuple(keys)

    # Snapshots.

    def image(self) -> JobsImage:
        """Returns the whole record."""
        return JobsImage(self.open_jobs(), self.ended())

    def restore(self, image: JobsImage) -> None:
        """Replaces the record."""
        now_ms = self._clock.now_ms()
        self._open = {
            kept.job.key: _Open(kept, now_ms - kept.age_ms)
            for kept in image.open_jobs
        }
        self._ended = {
            key: _Ended(state, now_ms) for key, state in image.ended.items()
        }


def _failures_of(kept: KeptJob, stage: int, index: int) -> TaskFailures:
    for failures in kept.failures:
        if (failures.stage, failures.index) == (stage, index):
            return failures
    failures = TaskFailures(stage, index, 0, 0)
    kept.failures.append(failures)
    return failures
