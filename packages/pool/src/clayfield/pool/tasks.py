"""Jobs in flight at the holder, their tasks and the runs of these."""

import enum
import math

import msgspec

from clayfield.wire.jobs import Job, JobState, Step

# How much longer than expected a run may take before it is asked after.
OVERDUE_SHARE = 1.4
OVERDUE_MS = 40.0
# How much longer than another task of its step before its worker is at fault,
# and than expected where none of them has ended yet.
STUCK_SHARE = 2.2
STUCK_ALONE_SHARE = 5.0
STUCK_MS = 60.0
# Speeds below are not counted on: a worker that stands still must be noticed.
SLOWEST_EXPECTED = 0.5


class TaskId(msgspec.Struct, frozen=True, array_like=True):
    """Names a task.

    Attributes:
        job: the key of its job.
        step: the number of its step.
        index: its own within the step.
        time: of the job's schedule, 0 where there is none.
    """

    job: str
    step: int
    index: int
    time: int = 0


class RunState(enum.Enum):
    """What the holder knows of one start of a task.

    STARTING: the order is under way. RUNNING: the worker has said so.
    DOUBTFUL: the order got no answer and may yet be carried out. STOPPING: it
    was told to stop.
    """

    STARTING = "starting"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Task:
    """One task of a job.

    Attributes:
        id: its name.
        job: what it belongs to.
        step: what it asks for.
        state: where it stands.
        failures: runs that ended by its own or the worker's fault; those of
            a gang are counted at its first task.
        last_failed_run: the number of the latest run that failed.
        last_run: the number of its latest run.
        run: the run that it is placed in, None otherwise.
        avoided: workers on which a run of it has failed or was stuck.
        was_moved: whether a stuck run of it was stopped once already.
        checkpoint: of the progress that its next run goes on from, "" for
            none.
    """

    __slots__ = (
        "avoided",
        "checkpoint",
        "failures",
        "id",
        "job",
        "last_failed_run",
        "last_run",
        "run",
        "state",
        "step",
        "was_moved",
    )

    def __init__(self, job: "OpenJob", task_id: TaskId, step: Step):
        self.id = task_id
        self.job = job
        self.step = step
        self.state = TaskState.WAITING
        self.failures = 0
        self.last_failed_run = 0
        self.last_run = job.first_run - 1
        self.run: Run | None = None
        self.avoided: set[str] = set()
        self.was_moved = False
        self.checkpoint = ""

    def keep_progress(self, run: "Run") -> None:
        """Has the next run go on from where one has ended."""
        if self.step.is_checkpointing and run.saved:
            self.checkpoint = run.saved


class Run:
    """One start of a task at a worker.

    Attributes:
        task_id: the task.
        number: rises with each start of the task.
        worker: the name of the worker.
        task: None for a run that an earlier holder began.
        state: what is known of it.
        cpu: reserved for it, in thousandths of a core.
        memory_mb: reserved for it.
        gpu: reserved for it.
        since_ms: when it was ordered.
        answered_ms: when its start was confirmed.
        work_ms: how long it should take on a worker of usual speed.
        expected_ms: how long it should take on its worker.
        stopped_ms: when the worker confirmed its stop, None before.
        saved: the checkpoint of its progress that the worker told last.
        percent: the share of its full pace at which it may work.
        figure: what the worker last told of its load: the tail of the times
            of its answers in ms, where it serves; None while not told.
        end_sequence: by which the worker numbers its end, 0 before.
    """

    __slots__ = (
        "answered_ms",
        "cpu",
        "end_sequence",
        "expected_ms",
        "figure",
        "gpu",
        "memory_mb",
        "number",
        "percent",
        "saved",
        "since_ms",
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
        since_ms: float,
    ):
        self.task_id = task_id
        self.number = number
        self.worker = worker
        self.task = task
        self.state = state
        self.since_ms = since_ms
        self.answered_ms: float | None = None
        self.stopped_ms: float | None = None
        self.saved = ""
        self.percent = 100
        self.figure: float | None = None
        self.end_sequence = 0
        self.work_ms = 0.0
        self.expected_ms = 0.0
        self.cpu = task.step.room_cpu if task else 0
        self.memory_mb = task.step.memory_mb if task else 0
        self.gpu = task.step.gpu if task else 0

    def expect(self, work_ms: float, speed: float) -> None:
        """Sets how long it should take on a worker of a speed."""
        self.work_ms = work_ms
        self.expected_ms = work_ms / max(speed, SLOWEST_EXPECTED)

    def is_overdue(self, now_ms: float) -> bool:
        """Tells whether it takes longer than it should."""
        return self._exceeds(
            self.expected_ms, OVERDUE_SHARE, OVERDUE_MS, now_ms
        )

    def is_stuck(self, now_ms: float) -> bool:
        """Tells whether it takes so long that its worker must be at fault.

        What other tasks of its step took tells more than the caller's
        estimate, which may be wrong for the whole job.
        """
        if self.task is None:
            return False
        sibling_ms = self.task.job.longest_runs_ms[self.task_id.step]
        if sibling_ms:
            return self._exceeds(sibling_ms, STUCK_SHARE, STUCK_MS, now_ms)
        return self._exceeds(
            self.expected_ms, STUCK_ALONE_SHARE, STUCK_MS, now_ms
        )

    def _exceeds(
        self, usual_ms: float, share: float, slack_ms: float, now_ms: float
    ) -> bool:
        if self.answered_ms is None or usual_ms <= 0:
            return False
        return now_ms - self.answered_ms > usual_ms * share + slack_ms

    @property
    def is_foreign(self) -> bool:
        """Whether an earlier holder began it and its job is not known."""
        return self.task is None


class OpenJob:
    """A job that has not ended.

    Attributes:
        job: what was asked for.
        entries: the entries that wait for its end.
        arrived_ms: when it arrived at its first entry.
        first_run: the number of each task's first run.
        released: how many of its times have come due.
        tasks: its tasks by stage: by step, and that for each time.
        late_at_ms: when too little time is left to end it in time.
        is_late: whether that time has come; it then goes after all others.
        is_offered: whether any task of it was given to a worker.
        is_placeable: whether its tasks may be started yet.
        is_stored: whether it is kept and on stable storage.
        outcome: how a kept job will have ended once that is stored, None
            while it goes on.
        unstored_ends: how many ends of its runs are not stored yet.
        is_ended: whether it has been answered.
        forecast_ms: its end from its arrival, as last forecast.
        longest_runs_ms: by step, the longest of its runs that ended well, at
            a worker of usual speed.
        starts: how many runs of it were ordered.
        placed_on: the workers that they were ordered from.
    """

    __slots__ = (
        "arrived_ms",
        "entries",
        "first_run",
        "forecast_ms",
        "is_ended",
        "is_late",
        "is_offered",
        "is_placeable",
        "is_stored",
        "job",
        "late_at_ms",
        "longest_runs_ms",
        "outcome",
        "placed_on",
        "released",
        "starts",
        "tasks",
        "unstored_ends",
    )

    def __init__(self, job: Job, entry: str, arrived_ms: float, first_run: int):
        self.job = job
        self.entries = {entry}
        self.arrived_ms = arrived_ms
        self.first_run = first_run
        self.late_at_ms = math.inf
        self.is_late = False
        self.is_offered = False
        self.is_placeable = True
        self.is_stored = False
        self.outcome: JobState | None = None
        self.unstored_ends = 0
        self.is_ended = False
        self.forecast_ms = 0.0
        self.longest_runs_ms = [0.0] * len(job.steps)
        self.starts = 0
        self.placed_on: set[str] = set()
        self.released = 0 if job.schedule else 1
        self.tasks = [
            [
                Task(self, TaskId(job.key, number, index, time), step)
                for index in range(step.count)
            ]
            for time in range(job.times)
            for number, step in enumerate(job.steps)
        ]

    @property
    def is_lasting(self) -> bool:
        """Whether it has tasks that run until it is cancelled."""
        return any(step.is_lasting for step in self.job.steps)

    @property
    def turn(self) -> tuple[int, float]:
        """Its place among the jobs that are not late; the least goes first."""
        return self.job.priority, self.arrived_ms

    @property
    def timeout_at_ms(self) -> float:
        """When its caller stops waiting."""
        return self.arrived_ms + self.job.timeout_ms

    def note_run(self, step: int, took_ms: float) -> None:
        """Notes how long a run took at a worker of usual speed."""
        longest = self.longest_runs_ms
        longest[step] = max(longest[step], took_ms)

    def release(self, wall_ms: float) -> bool:
        """Lets the times begin that are due; returns whether any is new."""
        schedule = self.job.schedule
        before = self.released
        while self.released < self.job.times:
            if wall_ms < schedule.due_ms(self.released):
                break
            self.released += 1
        return self.released > before

    # Tasks.

    def tasks_of(self, task_id: TaskId) -> list[Task]:
        """Returns the tasks of a task's step and time."""
        return self.tasks[self.job.stage_of(task_id.step, task_id.time)]

    def task_of(self, task_id: TaskId) -> Task:
        """Returns the task of a name."""
        return self.tasks_of(task_id)[task_id.index]

    def all_tasks(self) -> list[Task]:
        """Returns its tasks."""
        return [task for tasks in self.tasks for task in tasks]

    def is_stage_done(self, stage: int) -> bool:
        """Tells whether all tasks of a step have ended, at one time."""
        return all(t.state is TaskState.DONE for t in self.tasks[stage])

    @property
    def is_done(self) -> bool:
        """Whether all its tasks have ended."""
        return all(self.is_stage_done(n) for n in range(len(self.tasks)))

    def waiting_steps(self) -> list[list[Task]]:
        """Returns the tasks, by step, that may be placed now.

        Of a gang that is all of them, or none while a run of it goes on.
        """
        ready = [
            self._waiting_of(number, step, time)
            for time in range(self.released)
            for number, step in enumerate(self.job.steps)
        ]
        return [tasks for tasks in ready if tasks]

    def _waiting_of(self, number: int, step: Step, time: int) -> list[Task]:
        job = self.job
        for before in step.after:
            if not self.is_stage_done(job.stage_of(before, time)):
                return []
        waiting = [
            task
            for task in self.tasks[job.stage_of(number, time)]
            if task.state is TaskState.WAITING
        ]
        is_whole = len(waiting) == step.count
        return waiting if is_whole or not step.is_gang else []

    # Ends.

    def gang_of(self, task: Task) -> list[Task]:
        """Returns the tasks that work jointly with one, itself among them."""
        return self.tasks_of(task.id) if task.step.is_gang else [task]

    def note_done(self, task: Task) -> list[Task]:
        """Notes that a task has ended well; returns those that did with it."""
        members = self.gang_of(task)
        for member in members:
            member.state = TaskState.DONE
        return members

    def note_failure(self, task: Task, run: int) -> Task:
        """Counts a failed run once; returns the task that counts it."""
        counting = self.gang_of(task)[0]
        if run > counting.last_failed_run:
            counting.last_failed_run = run
            counting.failures += 1
        return counting

    def runs_of_gang(self, task: Task) -> list["Run"]:
        """Returns the runs of a gang that go on."""
        if not task.step.is_gang:
            return []
        return [one.run for one in self.gang_of(task) if one.run is not None]

    def partial_gangs(self) -> list["Run"]:
        """Returns the runs of gangs some of whose tasks are not placed."""
        runs: list[Run] = []
        for tasks in self.tasks:
            is_waiting = any(one.state is TaskState.WAITING for one in tasks)
            if tasks[0].step.is_gang and is_waiting:
                runs += self.runs_of_gang(tasks[0])
        return runs
