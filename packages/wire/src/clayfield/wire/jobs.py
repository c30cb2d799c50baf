"""Jobs of steps, workers and routes, as nodes tell them to one another."""

import enum

import msgspec

# The most tasks that a job may have, over all its steps and times.
MAX_TASKS = 20_000


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one kind within a job.

    Attributes:
        count: how many tasks.
        cpu: thousandths of a core for each.
        memory_mb: memory for each.
        gpu: accelerators for each.
        estimate_ms: the caller's rough guess of a task's time.
        after: numbers of earlier steps that must have ended.
        requires: a label that the worker must carry, or "".
        rack: the rack that holds the data, or "".
        max_per_worker: most tasks of this step on one worker, 0 for any.
        speculative: whether copies may run beside one another.
        is_checkpointing: whether the progress of its tasks can be saved.
        is_gang: whether its tasks work only jointly: all are started with one
            run number, and end well together.
        wants_one_rack: whether a gang works faster within one rack.
        is_lasting: whether its tasks run until the job is cancelled, and are
            started again however they end.
        target_ms: tasks that last serve users of their own, and the tail of
            their answers' times is to stay below this; 0 for no users.
        fills: whether it takes no room and works with what the others leave.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    requires: str = ""
    rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    is_checkpointing: bool = False
    is_gang: bool = False
    wants_one_rack: bool = False
    is_lasting: bool = False
    target_ms: float = 0.0
    fills: bool = False

    @property
    def room_cpu(self) -> int:
        """The room that a task takes, in thousandths of a core."""
        return 0 if self.fills else self.cpu


def find_step_fault(steps: tuple[Step, ...]) -> str:
    """Returns what is wrong with the steps of a job, "" for nothing."""
    if not steps:
        return "steps: name at least one."
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"steps[{number}].count is not above 0."
        if any(not 0 <= before < number for before in step.after):
            return f"steps[{number}].after is no earlier step."
    return ""


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """When the steps of a job run, by the time of day.

    Attributes:
        repeats: how many times they run.
        start_ms: when the first time is due, since 1970.
        interval_ms: between the times; they may overlap.
    """

    repeats: int
    start_ms: float
    interval_ms: float

    def due_ms(self, time: int) -> float:
        """Returns when a time, counted from 0, is due."""
        return self.start_ms + time * self.interval_ms


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A job of steps.

    Attributes:
        key: names the job within its queue.
        queue: the name of its route.
        service: whose workers run it.
        spec: what the workers are to do.
        steps: its steps.
        priority: 0 goes first.
        max_attempts: failed runs of a task after which the job has failed.
        stretch: the objective as a multiple of the longest chain of work.
        target_ms: added to it.
        timeout_ms: when its caller stops waiting, from its arrival.
        is_kept: whether its caller is answered once it is on stable storage
            and asks for its state later; else once it has ended.
        schedule: when its steps run; None for once and at once.
        is_advised: whether only workers that the advisor names may run it.
    """

    key: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    stretch: float
    target_ms: float
    timeout_ms: float
    is_kept: bool = False
    schedule: Schedule | None = None
    is_advised: bool = False

    @property
    def times(self) -> int:
        """How many times its steps run."""
        return self.schedule.repeats if self.schedule else 1

    @property
    def task_count(self) -> int:
        """How many tasks it has, over all its steps and times."""
        return self.times * sum(step.count for step in self.steps)

    def stage_of(self, step: int, time: int) -> int:
        """Returns the number of a step at a time among those of all times."""
        return time * len(self.steps) + step


class Verdict(enum.IntEnum):
    """What the caller of a job is told.

    REFUSED says that nothing of it ran or will run; ABANDONED that something
    of it may have run; ACCEPTED that it is kept and will run.
    """

    COMPLETED = 0
    FAILED = 1
    REFUSED = 2
    ABANDONED = 3
    CANCELLED = 4
    ACCEPTED = 5


class JobState(enum.StrEnum):
    """Where a kept job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Reason(enum.StrEnum):
    """Why a job was refused or abandoned."""

    NONE = ""
    TOO_LATE = "objective-out-of-reach"
    TIMED_OUT = "timed-out"
    NO_HOLDER = "no-holder"
    NO_WORKER = "no-worker-fits"
    STOPPING = "stopping"
    HOLDER_LOST = "holder-lost"
    ATTEMPTS = "attempts-used-up"
    CANCELLED = "cancelled"
    NOT_STORED = "storage-out-of-reach"
    TOO_MANY = "too-many-kept-jobs"


class WorkerState(enum.StrEnum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerInfo(msgspec.Struct, frozen=True, array_like=True):
    """A worker's statement about itself.

    Attributes:
        name: names one life of the worker.
        service: what it runs.
        address: IP:PORT.
        hall: where it stands.
        state: whether it takes new tasks.
        sequence: rises with each statement of one life.
        cpu: thousandths of a core.
        memory_mb: memory.
        gpu: accelerators.
        labels: its kind and its rack.
        rack: where it stands, "" where that is not told.
    """

    name: str
    service: str
    address: str
    hall: str
    state: WorkerState
    sequence: int
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...] = ()
    rack: str = ""


class Route(msgspec.Struct, frozen=True, array_like=True):
    """A queue: which requests belong to it and how they are served.

    Attributes:
        is_advised: whether only workers that the advisor names may run it.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float
    target_ms: float
    priority: int
    max_attempts: int
    stretch: float
    is_advised: bool = False

    def make_job(
        self,
        key: str,
        spec: str,
        steps: tuple[Step, ...],
        timeout_ms: float,
        is_kept: bool,
        schedule: Schedule | None,
    ) -> Job:
        """Returns a job of this queue."""
        return Job(
            key,
            self.name,
            self.service,
            spec,
            steps,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_ms,
            timeout_ms,
            is_kept,
            schedule,
            self.is_advised,
        )


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A kind of worker."""

    name: str
    max_connections: int
    enforces_capacity: bool


class Limits(msgspec.Struct, frozen=True, array_like=True):
    """Bounds of one request."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class RoutingTable(msgspec.Struct, frozen=True, array_like=True):
    """A whole configuration of routes and services.

    Attributes:
        version: the highest wins.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
