"""How the holder and the leader of the control log speak of kept jobs.

The holder is the only one that writes of kept jobs. Its writes name the epoch
of its grant, and the log refuses those of an epoch that is over.
"""

import msgspec

from clayfield.wire.jobs import Job, JobState
from clayfield.wire.messages import Message


class AcceptJob(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Keeps a job; one that is known stays as it is."""

    job: Job


class EndTask(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Says that a run of a task has ended.

    Attributes:
        key: the job.
        step: the number of the step.
        index: of the task within its step.
        run: the number of the run, which rises with each run of the task.
        is_done: whether it ended well; else it failed.
        time: of the job's schedule.
    """

    key: str
    step: int
    index: int
    run: int
    is_done: bool
    time: int = 0


class CancelAccepted(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Cancels a kept job; one that has ended stays as it is."""

    key: str


JobChange = AcceptJob | EndTask | CancelAccepted


class TaskFailures(msgspec.Struct, array_like=True):
    """How often a task has failed, and the latest run that did.

    Attributes:
        stage: the number of its step among those of all times.
        index: of the task within its step.
        count: how often.
        last_run: the latest that did.
    """

    stage: int
    index: int
    count: int
    last_run: int


class KeptJob(msgspec.Struct, array_like=True):
    """A kept job that has not ended.

    Attributes:
        job: what was asked for.
        done: by stage the indices of the tasks that are done.
        failures: of its tasks that have failed.
        age_ms: how long the teller has known it.
    """

    job: Job
    done: list[list[int]]
    failures: list[TaskFailures] = []
    age_ms: float = 0.0


class HolderLease(Message, frozen=True, tag=True):
    """Tells the holder that no other held the workers at a time.

    Attributes:
        epoch: of the grant in force.
        sent_ms: of the status that this answers, on the holder's clock.
    """

    epoch: int
    sent_ms: float


class LoadJobs(Message, frozen=True, tag=True):
    """Asks the leader for all kept jobs; answered by `JobsLoaded`.

    Attributes:
        epoch: of the grant that the holder acts on.
        request: echoed in the answer.
    """

    epoch: int
    request: int


class JobsLoaded(Message, frozen=True, tag=True):
    """Brings a part of the kept jobs.

    Attributes:
        request: of the question.
        part: counts from 0.
        is_last: whether no part follows.
        open_jobs: that have not ended.
        ended: by key how others ended.
    """

    request: int
    part: int
    is_last: bool
    open_jobs: list[KeptJob]
    ended: dict[str, JobState]


class WriteJobs(Message, frozen=True, tag=True):
    """Writes changes of kept jobs; answered by `JobsWritten`.

    Attributes:
        epoch: of the grant that the holder acts on.
        sequence: numbers the writes of a holder.
        changes: in their order; each may come again and changes nothing then.
    """

    epoch: int
    sequence: int
    changes: tuple[JobChange, ...]


class JobsWritten(Message, frozen=True, tag=True):
    """Says that a write is on stable storage of a majority."""

    epoch: int
    sequence: int
