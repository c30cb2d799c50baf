"""What the holder tells workers and entries, and what workers answer."""

import enum

from clayfield.pool.tasks import TaskId
from clayfield.wire.messages import Message


class OrderResult(enum.Enum):
    """How a worker took an order.

    GONE says that another life answers at its address; UNREACHED that no
    byte of the order has left; LOST that it may yet be carried out.
    """

    DONE = "done"
    NO_ROOM = "no-room"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    FENCED = "fenced"
    BAD_ORDER = "bad-order"
    UNHEALTHY = "unhealthy"
    NO_TICKET = "no-ticket"
    GONE = "gone"
    UNREACHED = "unreached"
    LOST = "lost"


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow:
    """A run that a worker lists as under way.

    Attributes:
        task_id: the task.
        number: of the run.
        percent: the share of its full pace at which it may work.
        saved: the checkpoint of its progress, "" for none.
        figure: the tail of the times of its answers in ms, where it serves;
            None where it is not told.
    """

    __slots__ = ("figure", "number", "percent", "saved", "task_id")

    def __init__(
        self,
        task_id: TaskId,
        number: int,
        percent: int,
        saved: str = "",
        figure: float | None = None,
    ):
        self.task_id = task_id
        self.number = number
        self.percent = percent
        self.saved = saved
        self.figure = figure


class EndedRow:
    """A run that a worker lists as ended.

    Attributes:
        sequence: its number within the worker's life.
        task_id: the task.
        number: of the run.
        kind: how it ended.
        saved: the checkpoint of its progress, "" for none.
    """

    __slots__ = ("kind", "number", "saved", "sequence", "task_id")

    def __init__(
        self,
        sequence: int,
        task_id: TaskId,
        number: int,
        kind: EndKind,
        saved: str = "",
    ):
        self.sequence = sequence
        self.task_id = task_id
        self.number = number
        self.kind = kind
        self.saved = saved


class OrderAnswer:
    """A worker's answer to a start or a stop.

    Attributes:
        result: how it took the order.
        clock_ms: its clock, None where it did not tell.
    """

    __slots__ = ("clock_ms", "result")

    def __init__(self, result: OrderResult, clock_ms: float | None = None):
        self.result = result
        self.clock_ms = clock_ms


class HoldAnswer:
    """A worker's answer to a hold.

    Attributes:
        result: how it took the order.
        clock_ms: its clock, None where it did not tell.
        running: what runs there.
        ended: what has ended there since the latest end taken note of.
    """

    __slots__ = ("clock_ms", "ended", "result", "running")

    def __init__(
        self,
        result: OrderResult,
        clock_ms: float | None = None,
        running: list[RunningRow] | None = None,
        ended: list[EndedRow] | None = None,
    ):
        self.result = result
        self.clock_ms = clock_ms
        self.running = running or []
        self.ended = ended or []


class StartRun:
    """Tell a worker to start a run.

    Attributes:
        worker: the name of its life.
        address: where it is.
        task_id: the task.
        number: of the run.
        spec: what to do.
        lease_until_ms: until when the worker may run what it runs, on the
            worker's clock.
        fence: of the holder.
        checkpoint: of the progress to go on from, "" for none.
        ticket: of the advisor, "" where none is wanted.
    """

    __slots__ = (
        "address",
        "checkpoint",
        "fence",
        "lease_until_ms",
        "number",
        "spec",
        "task_id",
        "ticket",
        "worker",
    )

    def __init__(
        self,
        worker: str,
        address: str,
        task_id: TaskId,
        number: int,
        spec: str,
        lease_until_ms: float,
        fence: int,
        checkpoint: str = "",
        ticket: str = "",
    ):
        self.worker = worker
        self.address = address
        self.task_id = task_id
        self.number = number
        self.spec = spec
        self.lease_until_ms = lease_until_ms
        self.fence = fence
        self.checkpoint = checkpoint
        self.ticket = ticket


class StopRun:
    """Tell a worker to stop a run."""

    __slots__ = ("address", "fence", "number", "task_id", "worker")

    def __init__(
        self,
        worker: str,
        address: str,
        task_id: TaskId,
        number: int,
        fence: int,
    ):
        self.worker = worker
        self.address = address
        self.task_id = task_id
        self.number = number
        self.fence = fence


class PaceRun:
    """Let a run work at a share of its full pace."""

    __slots__ = ("address", "fence", "number", "percent", "task_id", "worker")

    def __init__(
        self,
        worker: str,
        address: str,
        task_id: TaskId,
        number: int,
        percent: int,
        fence: int,
    ):
        self.worker = worker
        self.address = address
        self.task_id = task_id
        self.number = number
        self.percent = percent
        self.fence = fence


class HoldWorker:
    """Renew a worker's lease and ask what runs and what has ended there.

    Attributes:
        worker: the name of its life.
        address: where it is.
        seen_upto: the latest end taken note of.
        wait_ms: how long the answer may wait for an end.
        lease_until_ms: as in `StartRun`, None while its clock is not known.
        fence: of the holder.
        call: numbers the holds of a worker.
    """

    __slots__ = (
        "address",
        "call",
        "fence",
        "lease_until_ms",
        "seen_upto",
        "wait_ms",
        "worker",
    )

    def __init__(
        self,
        worker: str,
        address: str,
        seen_upto: int,
        wait_ms: int,
        lease_until_ms: float | None,
        fence: int,
        call: int,
    ):
        self.worker = worker
        self.address = address
        self.seen_upto = seen_upto
        self.wait_ms = wait_ms
        self.lease_until_ms = lease_until_ms
        self.fence = fence
        self.call = call


class AskAdvisor:
    """Ask the advisor which workers may run a step.

    Attributes:
        call: numbers the questions.
        job: the key of the job.
        time: of the job's schedule.
        step: the number of the step.
        workers: the names of those that are asked about.
    """

    __slots__ = ("call", "job", "step", "time", "workers")

    def __init__(
        self, call: int, job: str, time: int, step: int, workers: list[str]
    ):
        self.call = call
        self.job = job
        self.time = time
        self.step = step
        self.workers = workers


class Advice:
    """The advisor's answer.

    Attributes:
        is_answer: whether it is one; else the advisor was busy or silent.
        tickets: by name, of the workers that may run the step.
        valid_ms: how long the tickets hold.
    """

    __slots__ = ("is_answer", "tickets", "valid_ms")

    def __init__(
        self,
        is_answer: bool,
        tickets: dict[str, str] | None = None,
        valid_ms: float = 0.0,
    ):
        self.is_answer = is_answer
        self.tickets = tickets or {}
        self.valid_ms = valid_ms


class TellEntry:
    """Send a message to an entry."""

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


PoolAction = StartRun | StopRun | PaceRun | HoldWorker | AskAdvisor | TellEntry
