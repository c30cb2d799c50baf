"""Open jobs at the holder, their tasks, and the runs of these.

A job consists of steps, and a step of tasks. A job with a schedule runs its
steps once in each iteration. A run is one attempt to execute a task on a
worker. The tasks of a gang, which is a step of tasks that work jointly, start
together under one run number.
"""

import enum
import math
from typing import TYPE_CHECKING

import msgspec

from clayfield.pool.entry_sessions import EntrySession
from clayfield.wire.job_store import TaskCrashes
from clayfield.wire.jobs import Job, JobState, Reason, Step

if TYPE_CHECKING:
    from clayfield.pool.worker import Worker

# A run is overdue, so its worker is polled at once, after the expected time
# multiplied by this factor, plus the margin in ms.
OVERDUE_FACTOR = 1.4
OVERDUE_MARGIN_MS = 40.0
# A run counts as hung after the longest time of its step's other runs, or the
# expected time if none has ended, multiplied by a factor, plus the margin.
HUNG_FACTOR = 2.2
HUNG_FACTOR_ALONE = 5.0
HUNG_MARGIN_MS = 60.0
# Lower speeds are not taken into account for the expected time, so that a hung
# worker is detected.
MIN_EXPECTED_SPEED = 0.5


class TaskId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a task.

    Attributes:
        job: key of the job.
        step: number of the step within the job.
        index: number of the task within the step.
        iteration: number of the schedule's iteration, 0 without a schedule.
    """

    job: str
    step: int
    index: int
    iteration: int = 0


class RunState(enum.Enum):
    """The state of a run, as known to the holder.

    STARTING: the start was sent and not yet confirmed. RUNNING: the worker
    has confirmed the start. DOUBTFUL: the start got no reply and may have been
    executed; the run is being stopped. STOPPING: a stop was sent.
    """

    STARTING = "starting"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"


class TaskState(enum.Enum):
    """The state of a task; PLACED: a run of it is on a worker."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Suspicion(enum.IntEnum):
    """How far a task is suspected of crashing the workers that start it.

    ONCE: a worker has crashed while it and others ran there. REPEATED: several
    have. ALONE: one has while nothing else ran there.
    """

    NONE = 0
    ONCE = 1
    REPEATED = 2
    ALONE = 3


class Task:
    """One task of a job.

    Attributes:
        id: the identity of the task.
        job: the job.
        step: the step, with the resources that the task needs.
        state: the state of the task.
        failures: number of failed runs; those of a gang are counted at its
            first task.
        last_failed_run: number of the latest failed run.
        crashes: the workers that crashed under the task, None if there are
            none; those of a gang are counted at its first task.
        last_run: number of the latest run.
        run: the present run, None if there is none.
        avoided_workers: names of the workers on which a run of the task failed
            or hung.
        is_isolation_waived: whether the task may run beside others, until the
            next worker crashes under it.
        awaited_worker: the worker on which the task may have caused a crash
            that is not known yet; it is not started before. None for none.
        was_relocated: whether a hung run of the task was stopped already.
        checkpoint: the checkpoint from which the next run resumes, "" if
            there is none.
    """

    __slots__ = (
        "avoided_workers",
        "awaited_worker",
        "checkpoint",
        "crashes",
        "failures",
        "id",
        "is_isolation_waived",
        "job",
        "last_failed_run",
        "last_run",
        "run",
        "state",
        "step",
        "was_relocated",
    )

    def __init__(self, job: "OpenJob", task_id: TaskId, step: Step):
        self.id = task_id
        self.job = job
        self.step = step
        self.state = TaskState.WAITING
        self.failures = 0
        self.last_failed_run = 0
        self.crashes: TaskCrashes | None = None
        self.last_run = job.first_run - 1
        self.run: Run | None = None
        self.avoided_workers: set[str] = set()
        self.is_isolation_waived = False
        self.awaited_worker: Worker | None = None
        self.was_relocated = False
        self.checkpoint = ""

    @property
    def suspicion(self) -> Suspicion:
        """How far the task, or its gang, is suspected of crashing workers."""
        crashes = self.job.counted_task(self).crashes
        if crashes is None:
            return Suspicion.NONE
        if crashes.alone:
            return Suspicion.ALONE
        is_repeated = len(crashes.runs) > 1
        return Suspicion.REPEATED if is_repeated else Suspicion.ONCE

    @property
    def isolation(self) -> Suspicion:
        """The suspicion for which the task must run alone; NONE if it needn't.

        The higher the suspicion, the later its turn.
        """
        if self.job.counted_task(self).is_isolation_waived:
            return Suspicion.NONE
        return self.suspicion

    def update_checkpoint(self, run: "Run") -> None:
        """Takes over an ended run's checkpoint for the next run."""
        if self.step.is_checkpointing and run.checkpoint:
            self.checkpoint = run.checkpoint


class Run:
    """One attempt to execute a task on a worker.

    Times are in ms on the holder's clock.

    Attributes:
        task_id: the identity of the task.
        number: run number; it rises with each start of the task.
        worker: name of the worker.
        task: the task; None for an inherited run, which an earlier holder
            started, until its job is known.
        state: the state of the run.
        cpu: reserved CPU, in thousandths of a core.
        memory_mb: reserved memory.
        gpu: reserved number of accelerators.
        commanded_ms: time of the latest start or stop command.
        confirmed_ms: time when the start was confirmed, None before.
        work_ms: expected duration on a worker of usual speed, in ms.
        expected_ms: expected duration on its worker, in ms.
        stopped_ms: time when the worker confirmed the stop, None before.
        checkpoint: the latest checkpoint that the worker has reported, "" for
            none.
        speed_percent: share of full speed at which the run may work, in
            percent.
        tail_latency_ms: tail latency that the worker last reported for a
            latency-sensitive run, in ms; None if it has reported none.
        is_blamed: whether an end of its worker's process was taken note of.
        is_isolated: whether no other run may be placed beside it.
        end_sequence: sequence number of the run's end on its worker, 0
            before.
    """

    __slots__ = (
        "confirmed_ms",
        "cpu",
        "end_sequence",
        "is_blamed",
        "is_isolated",
        "expected_ms",
        "tail_latency_ms",
        "gpu",
        "memory_mb",
        "number",
        "speed_percent",
        "checkpoint",
        "commanded_ms",
        "state",
        "stopped_ms",
        "task",
        "task_id",
        "work_ms",
        "worker",
    )

    def __init__(
        self,
        task_id: TaskId,
        number: int,
        worker: str,
        task: Task | None,
        state: RunState,
        commanded_ms: float,
    ):
        self.task_id = task_id
        self.number = number
        self.worker = worker
        self.task = task
        self.state = state
        self.commanded_ms = commanded_ms
        self.confirmed_ms: float | None = None
        self.stopped_ms: float | None = None
        self.checkpoint = ""
        self.speed_percent = 100
        self.tail_latency_ms: float | None = None
        self.end_sequence = 0
        self.is_blamed = False
        self.is_isolated = task is not None and bool(task.isolation)
        self.work_ms = 0.0
        self.expected_ms = 0.0
        self.cpu = task.step.reserved_cpu if task else 0
        self.memory_mb = task.step.memory_mb if task else 0
        self.gpu = task.step.gpu if task else 0

    def set_expected_time(self, work_ms: float, speed: float) -> None:
        """Sets the expected duration.

        Args:
            work_ms: duration on a worker of usual speed, in ms.
            speed: speed of the run's worker, 1 for the usual speed.
        """
        self.work_ms = work_ms
        self.expected_ms = work_ms / max(speed, MIN_EXPECTED_SPEED)

    def is_overdue(self, now_ms: float) -> bool:
        """Returns whether the run takes longer than expected."""
        return self._exceeds(
            self.expected_ms, OVERDUE_FACTOR, OVERDUE_MARGIN_MS, now_ms
        )

    def is_hung(self, now_ms: float) -> bool:
        """Returns whether the run takes so long that it counts as hung.

        The limit depends on the other runs of the step where there are any,
        since the caller's estimate may be wrong for the whole job.
        """
        if self.task is None:
            return False
        sibling_ms = self.task.job.longest_runs_ms[self.task_id.step]
        if sibling_ms:
            return self._exceeds(
                sibling_ms, HUNG_FACTOR, HUNG_MARGIN_MS, now_ms
            )
        return self._exceeds(
            self.expected_ms, HUNG_FACTOR_ALONE, HUNG_MARGIN_MS, now_ms
        )

    def _exceeds(
        self, usual_ms: float, factor: float, margin_ms: float, now_ms: float
    ) -> bool:
        """Returns whether the run is confirmed and past a time limit."""
        if self.confirmed_ms is None or usual_ms <= 0:
            return False
        return now_ms - self.confirmed_ms > usual_ms * factor + margin_ms

    @property
    def is_paused(self) -> bool:
        """Whether the run is being stopped because its job is paused."""
        return self.task is not None and self.task.job.is_paused

    @property
    def is_inherited(self) -> bool:
        """Whether the run was started by an earlier holder and is unclaimed."""
        return self.task is None


class OpenJob:
    """A job that has not ended.

    Times are in ms on the holder's clock unless noted.

    Attributes:
        job: the job as submitted.
        entries: the entry nodes that wait for its end, with the number of the
            latest submission of each.
        sessions: the session of each of these entry nodes; none for a kept
            job.
        is_paused: whether its tasks are not run, as no entry node is known to
            wait for it.
        arrived_ms: time when it arrived at its first entry node.
        first_run: number of the first run of each task.
        due_iterations: number of iterations that have come due.
        tasks: tasks by stage; a stage is one step in one iteration.
        late_at_ms: time after which the job cannot end in time any more.
        is_late: whether that time has come; late jobs go after all others.
        is_started: whether any task of the job was sent to a worker.
        was_sent_elsewhere: whether another scheduler may have started a task of
            it.
        is_placeable: whether tasks of the job may be started yet.
        is_stored: whether the job is a kept job in stable storage.
        pending_state: how a kept job will have ended once that is stored, None
            while it is unfinished.
        failure: the reason for which a kept job fails.
        unstored_ends: number of ends of its runs that are not stored yet.
        is_ended: whether the job has ended and its callers got a reply.
        forecast_ms: latest forecast of the time from arrival to end, in ms.
        longest_runs_ms: longest successful run of each step, converted to a
            worker of usual speed, in ms; 0 if there is none.
        start_count: number of starts that were sent.
        used_workers: names of the workers that the starts were sent to.
    """

    __slots__ = (
        "arrived_ms",
        "entries",
        "failure",
        "first_run",
        "forecast_ms",
        "is_ended",
        "is_late",
        "is_paused",
        "is_started",
        "is_placeable",
        "is_stored",
        "job",
        "late_at_ms",
        "longest_runs_ms",
        "pending_state",
        "sessions",
        "used_workers",
        "was_sent_elsewhere",
        "due_iterations",
        "start_count",
        "tasks",
        "unstored_ends",
    )

    def __init__(self, job: Job, arrived_ms: float, first_run: int):
        """Opens a job of which nothing was started.

        Args:
            job: the job.
            arrived_ms: time when it arrived at its first entry node.
            first_run: number of the first run of each task.
        """
        self.job = job
        self.entries: dict[str, int] = {}
        self.sessions: dict[str, EntrySession] = {}
        self.is_paused = False
        self.arrived_ms = arrived_ms
        self.first_run = first_run
        self.late_at_ms = math.inf
        self.is_late = False
        self.is_started = False
        self.was_sent_elsewhere = False
        self.is_placeable = True
        self.is_stored = False
        self.pending_state: JobState | None = None
        self.failure = Reason.ATTEMPTS
        self.unstored_ends = 0
        self.is_ended = False
        self.forecast_ms = 0.0
        self.longest_runs_ms = [0.0] * len(job.steps)
        self.start_count = 0
        self.used_workers: set[str] = set()
        self.due_iterations = 0 if job.schedule else 1
        self.tasks = [
            [
                Task(self, TaskId(job.key, number, index, iteration), step)
                for index in range(step.count)
            ]
            for iteration in range(job.iteration_count)
            for number, step in enumerate(job.steps)
        ]

    @property
    def is_long_running(self) -> bool:
        """Whether the job has tasks that run until it is cancelled."""
        return any(step.is_long_running for step in self.job.steps)

    @property
    def is_surely_unstarted(self) -> bool:
        """Whether certainly no task of the job was ever started."""
        return not self.is_started and not self.was_sent_elsewhere

    @property
    def sort_key(self) -> tuple[int, float]:
        """Sort key among the jobs that are not late; lower goes first."""
        return self.job.priority, self.arrived_ms

    @property
    def timeout_at_ms(self) -> float:
        """Time when the caller stops waiting."""
        return self.arrived_ms + self.job.timeout_ms

    @property
    def confirmed_ms(self) -> float:
        """Time when an entry node was last known to wait for the job.

        Infinite for a job that runs on without one.
        """
        return max(
            (session.confirmed_ms for session in self.sessions.values()),
            default=math.inf,
        )

    @property
    def silent_since_ms(self) -> float:
        """Time of the latest sign of an entry node that waits for the job."""
        return max(
            (session.silent_since_ms for session in self.sessions.values()),
            default=math.inf,
        )

    def add_entry(
        self, entry: str, number: int, session: EntrySession | None = None
    ) -> None:
        """Adds an entry node that waits for the end of the job.

        Args:
            entry: the entry node.
            number: number of its submission.
            session: the session in which it was sent; None for a kept job.
        """
        self.entries[entry] = max(number, self.entries.get(entry, 0))
        former = self.sessions.get(entry)
        if session and (former is None or former.number <= session.number):
            self.sessions[entry] = session

    def remove_entry(self, entry: str) -> None:
        """Removes an entry node that no longer waits for the job."""
        self.entries.pop(entry, None)
        self.sessions.pop(entry, None)

    def note_run(self, step: int, took_ms: float) -> None:
        """Records the duration of a successful run.

        Args:
            step: number of the step.
            took_ms: duration, converted to a worker of usual speed, in ms.
        """
        longest = self.longest_runs_ms
        longest[step] = max(longest[step], took_ms)

    def release_due(self, wall_ms: float) -> bool:
        """Releases the iterations that are due; returns whether any was.

        Args:
            wall_ms: the time of day, in ms since 1970.
        """
        schedule = self.job.schedule
        previous = self.due_iterations
        while self.due_iterations < self.job.iteration_count:
            if wall_ms < schedule.due_ms(self.due_iterations):
                break
            self.due_iterations += 1
        return self.due_iterations > previous

    # Tasks.

    def sibling_tasks(self, task_id: TaskId) -> list[Task]:
        """Returns all tasks of a task's step and iteration."""
        return self.tasks[self.job.stage_of(task_id.step, task_id.iteration)]

    def find_task(self, task_id: TaskId) -> Task | None:
        """Returns the task with an identity, None if the job has no such one.

        Workers may list runs that were not started for this job.
        """
        job = self.job
        if not self.tasks:
            return None
        if not 0 <= task_id.iteration < job.iteration_count:
            return None
        if not 0 <= task_id.step < len(job.steps):
            return None
        if not 0 <= task_id.index < job.steps[task_id.step].count:
            return None
        return self.sibling_tasks(task_id)[task_id.index]

    def all_tasks(self) -> list[Task]:
        """Returns all tasks of the job."""
        return [task for tasks in self.tasks for task in tasks]

    @property
    def has_runs(self) -> bool:
        """Whether any task of the job has a present run."""
        return any(task.run is not None for task in self.all_tasks())

    def drop_tasks(self) -> None:
        """Drops the tasks of an ended job that has no runs.

        They refer to the job, so that thousands of them would otherwise stay in
        memory until the garbage collector looks at the oldest objects.
        """
        self.tasks = []

    def is_stage_done(self, stage: int) -> bool:
        """Returns whether all tasks of a stage are done."""
        return all(t.state is TaskState.DONE for t in self.tasks[stage])

    @property
    def is_done(self) -> bool:
        """Whether all tasks of the job are done."""
        return all(self.is_stage_done(n) for n in range(len(self.tasks)))

    def ready_tasks(self) -> list[list[Task]]:
        """Returns the waiting tasks that may be placed now, by step.

        Tasks of a step that must run alone are apart from the others. Of a gang
        these are all tasks, or none while any of them has a run.
        """
        ready: list[list[Task]] = []
        for iteration in range(self.due_iterations):
            for number, step in enumerate(self.job.steps):
                tasks = self._ready_tasks(number, step, iteration)
                ready += [tasks] if step.is_gang else _by_isolation(tasks)
        return [tasks for tasks in ready if tasks]

    def _ready_tasks(
        self, number: int, step: Step, iteration: int
    ) -> list[Task]:
        """Returns the waiting tasks of a step whose predecessors are done."""
        job = self.job
        for predecessor in step.after:
            if not self.is_stage_done(job.stage_of(predecessor, iteration)):
                return []
        waiting = [
            task
            for task in self.tasks[job.stage_of(number, iteration)]
            if task.state is TaskState.WAITING and not task.awaited_worker
        ]
        is_complete = len(waiting) == step.count
        return waiting if is_complete or not step.is_gang else []

    # Ends of runs and gangs.

    def gang_tasks(self, task: Task) -> list[Task]:
        """Returns all tasks of a task's gang, or the task alone.

        A gang whose job has dropped its tasks is over, too.
        """
        if not task.step.is_gang or not self.tasks:
            return [task]
        return self.sibling_tasks(task.id)

    def note_done(self, task: Task) -> list[Task]:
        """Marks a task, or its gang, as done; returns the marked tasks."""
        members = self.gang_tasks(task)
        for member in members:
            member.state = TaskState.DONE
        return members

    def counted_task(self, task: Task) -> Task:
        """Returns the task at which the failures of a task are counted."""
        return self.gang_tasks(task)[0]

    def note_crash(self, task: Task, crash: str, was_alone: bool) -> bool:
        """Counts a crash of a worker under a task, once for a gang.

        Args:
            task: the task, or any of its gang.
            crash: name of the worker and number of the run.
            was_alone: whether nothing else ran on the worker.

        Returns:
            Whether the crash was not counted before.
        """
        counted = self.counted_task(task)
        if counted.crashes is None:
            stage = self.job.stage_of(counted.id.step, counted.id.iteration)
            counted.crashes = TaskCrashes(stage, counted.id.index, [], 0)
        return counted.crashes.add(crash, was_alone)

    def note_failure(self, task: Task, run: int) -> Task:
        """Counts a failed run, once for a gang.

        Args:
            task: the task that failed.
            run: number of the run.

        Returns:
            The task at which the failure is counted.
        """
        counted = self.counted_task(task)
        if run > counted.last_failed_run:
            counted.last_failed_run = run
            counted.failures += 1
        return counted

    def runs_of_gang(self, task: Task) -> list["Run"]:
        """Returns the present runs of a task's gang; [] without a gang."""
        if not task.step.is_gang:
            return []
        return [
            member.run
            for member in self.gang_tasks(task)
            if member.run is not None
        ]

    def runs_of_partial_gangs(self) -> list["Run"]:
        """Returns the runs of gangs of which some tasks are not placed."""
        runs: list[Run] = []
        for tasks in self.tasks:
            is_waiting = any(task.state is TaskState.WAITING for task in tasks)
            if tasks[0].step.is_gang and is_waiting:
                runs += self.runs_of_gang(tasks[0])
        return runs


def _by_isolation(tasks: list[Task]) -> list[list[Task]]:
    """Divides tasks by whether, and for what suspicion, they run alone."""
    if all(task.crashes is None for task in tasks):
        return [tasks]
    by_isolation: dict[Suspicion, list[Task]] = {}
    for task in tasks:
        by_isolation.setdefault(task.isolation, []).append(task)
    return list(by_isolation.values())
