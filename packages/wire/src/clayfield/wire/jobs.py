"""Data types of jobs, workers and routes that nodes exchange and store.

A job consists of steps, and each step of equal tasks. A job with a schedule
runs its steps several times; each repetition is called an iteration.
"""

import enum

import msgspec

# Most tasks of a job, over all its steps and iterations.
MAX_TASKS = 20_000


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A number of equal tasks within a job.

    Attributes:
        count: number of tasks.
        cpu: CPU of each task, in thousandths of a core.
        memory_mb: memory of each task, in MB.
        gpu: number of accelerators of each task.
        estimate_ms: the caller's estimate of the duration of a task, in ms.
        after: numbers of the earlier steps that must have ended before.
        required_label: label that a worker must have, "" for none.
        rack: name of the rack that holds the step's data, "" for any.
        max_per_worker: most tasks of this step on one worker, 0 for no limit.
        is_speculative: whether a task may have several runs at the same time.
        is_checkpointing: whether the progress of its tasks can be saved.
        is_gang: whether its tasks run only together: all are started with one
            run number, and succeed or fail as one.
        prefers_one_rack: whether a gang runs faster within one rack.
        is_long_running: whether its tasks run until the job is cancelled; they
            are restarted whenever they end.
        target_ms: bound for the tail latency of the requests that each
            long-running task serves, in ms; 0 if it serves none.
        is_batch: whether it is a batch step, which reserves no CPU and uses
            what other steps leave free.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_checkpointing: bool = False
    is_gang: bool = False
    prefers_one_rack: bool = False
    is_long_running: bool = False
    target_ms: float = 0.0
    is_batch: bool = False

    @property
    def reserved_cpu(self) -> int:
        """CPU that is reserved for a task, in thousandths of a core."""
        return 0 if self.is_batch else self.cpu


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """The times at which a job's steps run, by the wall clock.

    Attributes:
        repeats: number of iterations.
        start_ms: time at which the first iteration is due, in ms since 1970.
        interval_ms: time between the starts of iterations, in ms; iterations
            may overlap.
    """

    repeats: int
    start_ms: float
    interval_ms: float

    def due_ms(self, iteration: int) -> float:
        """Returns the time at which an iteration is due, in ms since 1970.

        Args:
            iteration: number of the iteration, from 0.
        """
        return self.start_ms + iteration * self.interval_ms


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A caller's job.

    Attributes:
        key: name of the job within its queue.
        queue: name of the route by which it came.
        service: name of the service whose workers run it.
        spec: description of the work, passed to the workers unchanged.
        steps: the steps; `Step.after` refers to them by position.
        priority: 0 is the highest.
        max_attempts: number of failed runs of a task that fails the job.
        stretch: the objective of the job's duration is the length of its
            longest chain of dependent steps times `stretch`, plus `target_ms`.
        target_ms: see `stretch`; in ms.
        timeout_ms: time from its arrival until its caller gives up, in ms.
        is_kept: whether the job is durable: its caller is answered once it is
            on stable storage and requests its state later. Else the caller is
            answered when the job ends.
        schedule: the times at which the steps run; None to run them once,
            immediately.
        is_advised: whether only workers named by the advisor, an outside
            service, may run it.
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
    def iteration_count(self) -> int:
        """Number of times that the steps run, 1 without a schedule."""
        return self.schedule.repeats if self.schedule else 1

    @property
    def task_count(self) -> int:
        """Number of tasks, over all steps and iterations."""
        return self.iteration_count * sum(step.count for step in self.steps)

    def stage_of(self, step: int, iteration: int) -> int:
        """Returns the number of a step among the steps of all iterations.

        Args:
            step: number of the step within the job.
            iteration: number of the iteration, from 0.
        """
        return iteration * len(self.steps) + step


class Verdict(enum.IntEnum):
    """The result of a job as sent to its caller.

    REFUSED: no task ran or will run. ABANDONED: a task may have run. ACCEPTED:
    the job is on stable storage and will run.
    """

    COMPLETED = 0
    FAILED = 1
    REFUSED = 2
    ABANDONED = 3
    CANCELLED = 4
    ACCEPTED = 5


class JobState(enum.StrEnum):
    """The state of a kept job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Reason(enum.StrEnum):
    """The reason for which a job was refused or abandoned."""

    NONE = ""
    TOO_LATE = "objective-out-of-reach"
    TIMED_OUT = "timed-out"
    NO_HOLDER = "no-holder"
    NO_WORKER = "no-worker-fits"
    STOPPING = "stopping"
    HOLDER_LOST = "holder-lost"
    ATTEMPTS = "attempts-used-up"
    CRASHES = "task-crashes-workers"
    CANCELLED = "cancelled"
    NOT_STORED = "storage-out-of-reach"
    TOO_MANY = "too-many-kept-jobs"


class WorkerState(enum.StrEnum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


class WorkerInfo(msgspec.Struct, frozen=True, array_like=True):
    """A worker's heartbeat: its address, capacity and state.

    Attributes:
        name: name of the worker.
        service: name of the service that it runs.
        address: IP:PORT at which it accepts requests.
        hall: name of its hall.
        state: whether it accepts new tasks.
        sequence: number of the heartbeat; rises within an incarnation.
        cpu: CPU capacity, in thousandths of a core.
        memory_mb: memory capacity, in MB.
        gpu: number of accelerators.
        labels: its kind and its rack, matched by `Step.required_label`.
        rack: name of its rack, "" if not announced.
        born_ms: start time of this incarnation of the worker, in ms since
            1970; 0 if not announced. A worker may start again under its name.
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
    born_ms: int = 0

    def is_same_writer(self, other: "WorkerInfo") -> bool:
        """Returns whether two heartbeats with one name have the same sender.

        Service and address stay the same while a worker runs.
        """
        writer = (self.service, self.address)
        return writer == (other.service, other.address)

    def is_older_than(self, other: "WorkerInfo") -> bool:
        """Returns whether another heartbeat of the writer was sent later.

        The numbers of heartbeats start anew with each incarnation.
        """
        number = (self.born_ms, self.sequence)
        return number < (other.born_ms, other.sequence)

    def has_other_content(self, other: "WorkerInfo") -> bool:
        """Returns whether heartbeats differ in more than their number."""
        return msgspec.structs.replace(self, sequence=0) != (
            msgspec.structs.replace(other, sequence=0)
        )


def normalize_host(text: str) -> str:
    """Returns the form of a host name in which equal hosts are equal texts.

    Host names are case-insensitive; a port and the dot of the root domain do
    not belong to the name.

    Args:
        text: a host name, or the value of a Host header.
    """
    name, colon, port = text.rpartition(":")
    has_port = colon and (port.isdecimal() or not port)
    host = name if has_port else text
    return host.removesuffix(".").lower()


class Route(msgspec.Struct, frozen=True, array_like=True):
    """A queue: the requests that belong to it and the settings of its jobs.

    Attributes:
        name: name of the queue.
        host: host name of the requests.
        prefix: start of the path of the requests.
        service: name of the service whose workers run the jobs.
        timeout_ms: see `Job.timeout_ms`.
        target_ms: see `Job.target_ms`.
        priority: see `Job.priority`.
        max_attempts: see `Job.max_attempts`.
        stretch: see `Job.stretch`.
        is_advised: see `Job.is_advised`.
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
        """Returns a job with the settings of this queue.

        Args:
            key: see `Job.key`.
            spec: see `Job.spec`.
            steps: see `Job.steps`.
            timeout_ms: see `Job.timeout_ms`; replaces that of the queue.
            is_kept: see `Job.is_kept`.
            schedule: see `Job.schedule`.
        """
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
    """The workers that run one kind of job.

    Attributes:
        name: name of the service.
        max_connections: most connections to one worker.
        enforces_capacity: whether the workers reject tasks beyond their
            capacity themselves.
    """

    name: str
    max_connections: int
    enforces_capacity: bool


class Limits(msgspec.Struct, frozen=True, array_like=True):
    """Limits of a caller's request.

    Attributes:
        header_bytes: largest header, in bytes.
        body_bytes: largest body, in bytes.
        header_ms: longest time for a request to arrive once begun, in ms.
        idle_ms: longest time a connection may be idle between requests, in ms.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class RoutingTable(msgspec.Struct, frozen=True, array_like=True):
    """A configuration of routes and services.

    Attributes:
        version: number of the configuration; the highest is the active one.
        routes: the queues.
        services: the services that the routes refer to.
        limits: the limits of callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
