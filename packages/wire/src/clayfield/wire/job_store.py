"""Messages between the holder and the leader of the control log on kept jobs.

A kept job is durable: the control nodes replicate its record. The holder is
the entry node that schedules the workers under a grant of the control nodes,
and the only node that writes these records. Each write carries the epoch of
its grant; the control log rejects writes of an earlier epoch.
"""

import msgspec

from clayfield.wire.jobs import Job, JobState
from clayfield.wire.messages import Message

# Number of workers that crash under a task, with nothing else running on them,
# after which the task fails; and of workers in all if there is one such.
MAX_CRASHES_ALONE = 2
MAX_CRASHES = 3


class AcceptJob(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Records the acceptance of a kept job; has no effect if it is recorded.

    Attributes:
        job: the job.
    """

    job: Job


class EndTask(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Records the end of a run, one attempt to execute a task.

    Attributes:
        key: key of the job.
        step: number of the step.
        index: position of the task within its step.
        run: number of the run; rises with each run of the task.
        has_succeeded: whether the run succeeded; else it failed.
        iteration: number of the iteration of the job's schedule, from 0.
    """

    key: str
    step: int
    index: int
    run: int
    has_succeeded: bool
    iteration: int = 0


class CancelKeptJob(
    msgspec.Struct, frozen=True, array_like=True, tag="CancelAccepted"
):
    """Records that a kept job is cancelled; has no effect if it has ended.

    Attributes:
        key: key of the job.
    """

    key: str


class CrashTask(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Records that a worker crashed while a run of a task was on it.

    Attributes:
        key: key of the job.
        step: number of the step.
        index: position of the task within its step.
        iteration: number of the iteration of the job's schedule, from 0.
        crash: name of the worker and number of the run; each counts once.
        was_alone: whether nothing else ran on the worker.
    """

    key: str
    step: int
    index: int
    iteration: int
    crash: str
    was_alone: bool


JobChange = AcceptJob | EndTask | CancelKeptJob | CrashTask


class TaskFailures(msgspec.Struct, array_like=True):
    """The failed runs of a task.

    Attributes:
        stage: number of its step among the steps of all iterations; see
            `Job.stage_of`.
        index: position of the task within its step.
        count: number of failed runs.
        last_run: number of the latest failed run.
    """

    stage: int
    index: int
    count: int
    last_run: int


class TaskCrashes(msgspec.Struct, array_like=True):
    """The crashes of workers while a run of a task was on them.

    Attributes:
        stage: number of its step among the steps of all iterations; see
            `Job.stage_of`.
        index: position of the task within its step.
        runs: name of the worker and number of the run, for each crash.
        alone: number of the crashes of workers on which nothing else ran.
    """

    stage: int
    index: int
    runs: list[str]
    alone: int

    def add(self, crash: str, was_alone: bool) -> bool:
        """Counts a crash; returns False if it was counted before."""
        if crash in self.runs:
            return False
        self.runs.append(crash)
        self.alone += was_alone
        return True

    @property
    def is_fatal(self) -> bool:
        """Whether the task itself makes workers crash, so that it fails."""
        is_often = self.alone and len(self.runs) >= MAX_CRASHES
        return bool(is_often) or self.alone >= MAX_CRASHES_ALONE


class KeptJob(msgspec.Struct, array_like=True):
    """A kept job that has not ended.

    Attributes:
        job: the job as submitted.
        done: for each stage the indices of the completed tasks.
        failures: the tasks that have failed runs.
        age_ms: time since the sender first recorded the job, in ms.
        crashes: the tasks under which workers have crashed.
    """

    job: Job
    done: list[list[int]]
    failures: list[TaskFailures] = []
    age_ms: float = 0.0
    crashes: list[TaskCrashes] = []


class HolderLease(Message, frozen=True, tag=True):
    """Confirms that the holder's grant was current at a time.

    Attributes:
        epoch: epoch of the current grant.
        sent_ms: `EntryStatus.sent_ms` of the status that this answers, on the
            holder's clock.
    """

    epoch: int
    sent_ms: float


class LoadJobs(Message, frozen=True, tag=True):
    """Requests all kept jobs from the leader; answered by `JobsLoaded`.

    Attributes:
        epoch: epoch of the holder's grant.
        request: number of the request, echoed in the reply.
    """

    epoch: int
    request: int


class JobsLoaded(Message, frozen=True, tag=True):
    """Carries one part of the reply to `LoadJobs`.

    Attributes:
        request: number of the request.
        part: number of this part, from 0.
        is_last: whether this is the last part.
        open_jobs: jobs that have not ended.
        ended: final states of ended jobs, by key.
    """

    request: int
    part: int
    is_last: bool
    open_jobs: list[KeptJob]
    ended: dict[str, JobState]


class WriteJobs(Message, frozen=True, tag=True):
    """Writes changes of kept jobs; answered by `JobsWritten`.

    Attributes:
        epoch: epoch of the holder's grant.
        sequence: number of the write; rises with each write of a holder.
        changes: the changes in order; a repeated change has no effect.
    """

    epoch: int
    sequence: int
    changes: tuple[JobChange, ...]


class JobsWritten(Message, frozen=True, tag=True):
    """Confirms that a write is on stable storage at a majority.

    Attributes:
        epoch: epoch of the write.
        sequence: number of the write.
    """

    epoch: int
    sequence: int
