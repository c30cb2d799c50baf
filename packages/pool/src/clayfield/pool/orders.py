"""Commands to workers, the workers' replies, and messages to other nodes.

The holder and the standbys put commands into a list of actions; the node sends
them and passes the replies back.
"""

import enum

from clayfield.pool.tasks import TaskId
from clayfield.wire.messages import Message


class OrderResult(enum.Enum):
    """The result of a command to a worker.

    DONE: executed. NO_ROOM: the free capacity does not suffice. OLD_RUN: the
    worker has had this run of the task or a later one. TOO_LATE: the lease in
    the command had already ended. FENCED: the worker has accepted a higher
    fencing token. BAD_ORDER: the command is invalid. UNHEALTHY: the worker
    replied with an error. NO_TICKET: the worker rejected the advisor's ticket.
    GONE: another incarnation replied at the worker's address. UNREACHED: no
    byte of the command was sent. LOST: the reply is missing, and the command
    may still be executed.
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
    """How a run ended, as its worker reports it.

    DONE: successfully. FAILED: by an error. STOPPED: by a stop command.
    LAPSED: by the end of the worker's lease. BROKEN: with another run of its
    gang. ALONE: because other tasks of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow:
    """A run that a worker lists as running.

    Attributes:
        task_id: identity of the task.
        number: run number.
        percent: share of full speed at which the run may work, in percent.
        saved: the latest checkpoint of the run, "" for none.
        figure: tail latency of a latency-sensitive run, in ms; None if it is
            not reported.
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
        sequence: sequence number of the end; it rises within an incarnation
            of the worker.
        task_id: identity of the task.
        number: run number.
        kind: how the run ended.
        saved: the latest checkpoint of the run, "" for none.
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
    """A worker's reply to a start or a stop.

    Attributes:
        result: result of the command.
        clock_ms: time on the worker's clock, in ms; None if it is not
            reported.
    """

    __slots__ = ("clock_ms", "result")

    def __init__(self, result: OrderResult, clock_ms: float | None = None):
        self.result = result
        self.clock_ms = clock_ms


class HoldAnswer:
    """A worker's reply to a poll.

    Attributes:
        result: result of the command.
        clock_ms: time on the worker's clock, in ms; None if it is not
            reported.
        running: runs that are running on the worker.
        ended: runs that have ended there and are not yet acknowledged.
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
    """Starts a run on a worker.

    Attributes:
        worker: name of the worker.
        address: address of the worker.
        task_id: identity of the task.
        number: run number.
        spec: specification of the work, which only workers interpret.
        lease_until_ms: end of the worker's lease, in ms on the worker's clock;
            its runs may go on until then.
        fence: fencing token of the sender.
        checkpoint: the checkpoint from which the run resumes, "" for none.
        ticket: the advisor's ticket, "" if none is needed.
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
    """Stops a run on a worker.

    Attributes:
        worker: name of the worker.
        address: address of the worker.
        task_id: identity of the task.
        number: run number.
        fence: fencing token of the sender.
    """

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
    """Limits the speed of a batch run.

    Attributes:
        worker: name of the worker.
        address: address of the worker.
        task_id: identity of the task.
        number: run number.
        percent: share of full speed at which the run may work, in percent.
        fence: fencing token of the sender.
    """

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
    """Polls a worker: renews its lease and gets its running and ended runs.

    Attributes:
        worker: name of the worker.
        address: address of the worker.
        seen_upto: sequence number up to which the worker may discard ends.
        wait_ms: how long the worker may delay its reply until a run ends, in
            ms.
        lease_until_ms: end of the lease as in `StartRun`; None to leave the
            lease as it is.
        fence: fencing token of the sender.
        call: number of the poll.
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
    """Requests tickets for a step from the advisor.

    The advisor is an outside service. Its tickets state which workers may run
    a step of an advised job.

    Attributes:
        call: number of the request.
        job: key of the job.
        time: number of the schedule's iteration.
        step: number of the step.
        workers: names of the workers that the request is about.
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
    """The result of a request to the advisor.

    Attributes:
        is_answer: whether the advisor replied; False if it was busy or
            unresponsive.
        tickets: tickets by name of the worker; a worker without one may not
            run the step.
        valid_ms: how long the tickets are valid, in ms.
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
    """Sends a message to a node.

    Attributes:
        node: name of the node.
        message: the message.
    """

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


PoolAction = StartRun | StopRun | PaceRun | HoldWorker | AskAdvisor | TellEntry
