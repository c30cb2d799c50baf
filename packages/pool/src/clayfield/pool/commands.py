"""Commands to workers, the workers' replies, and messages to other nodes.

The holder and the standbys put commands into a list of actions; the node sends
them and passes the replies back.
"""

import enum

from clayfield.pool.tasks import TaskId
from clayfield.wire.messages import Message


class CommandResult(enum.Enum):
    """The result of a command to a worker.

    DONE: executed. NO_ROOM: the free capacity does not suffice. OLD_RUN: the
    worker has had this run of the task or a later one. TOO_LATE: the lease in
    the command had already ended. FENCED: the worker has accepted a higher
    fencing token. BAD_ORDER: the command is invalid. UNHEALTHY: the worker
    replied with an error. NO_TICKET: the worker rejected the advisor's ticket.
    GONE: another incarnation replied at the worker's address. UNREACHED: no
    byte of the command was sent. REFUSED: likewise, as no process listens at
    the worker's address. LOST: the reply is missing, and the command
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
    REFUSED = "refused"
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


class RunningRun:
    """A run that a worker lists as running.

    Attributes:
        task_id: identity of the task.
        number: run number.
        speed_percent: share of full speed at which the run may work, in
            percent.
        checkpoint: the latest checkpoint of the run, "" for none.
        tail_latency_ms: tail latency of a latency-sensitive run, in ms; None if
            it is not reported.
    """

    __slots__ = (
        "tail_latency_ms",
        "number",
        "speed_percent",
        "checkpoint",
        "task_id",
    )

    def __init__(
        self,
        task_id: TaskId,
        number: int,
        speed_percent: int,
        checkpoint: str = "",
        tail_latency_ms: float | None = None,
    ):
        self.task_id = task_id
        self.number = number
        self.speed_percent = speed_percent
        self.checkpoint = checkpoint
        self.tail_latency_ms = tail_latency_ms


class EndedRun:
    """A run that a worker lists as ended.

    Attributes:
        sequence: sequence number of the end; it rises within an incarnation
            of the worker.
        task_id: identity of the task.
        number: run number.
        kind: how the run ended.
        checkpoint: the latest checkpoint of the run, "" for none.
    """

    __slots__ = ("kind", "number", "checkpoint", "sequence", "task_id")

    def __init__(
        self,
        sequence: int,
        task_id: TaskId,
        number: int,
        kind: EndKind,
        checkpoint: str = "",
    ):
        self.sequence = sequence
        self.task_id = task_id
        self.number = number
        self.kind = kind
        self.checkpoint = checkpoint


class CommandReply:
    """A worker's reply to a start or a stop.

    Attributes:
        result: result of the command.
        clock_ms: time on the worker's clock, in ms; None if it is not
            reported.
    """

    __slots__ = ("clock_ms", "result")

    def __init__(self, result: CommandResult, clock_ms: float | None = None):
        self.result = result
        self.clock_ms = clock_ms


class PollReply:
    """A worker's reply to a poll.

    Attributes:
        result: result of the command.
        clock_ms: time on the worker's clock, in ms; None if it is not
            reported.
        running: runs that are running on the worker.
        ended: runs that have ended there and are not yet acknowledged.
        born_ms: start time of the worker's incarnation, in ms since 1970; 0 if
            it is not reported.
        is_complete: whether no further ends wait on the worker. A run that an
            incomplete reply doesn't list may have ended.
        unreadable_rows: number of rows that could not be read and are left
            out, as they name no run that a node has started.
    """

    __slots__ = (
        "born_ms",
        "clock_ms",
        "ended",
        "is_complete",
        "result",
        "running",
        "unreadable_rows",
    )

    def __init__(
        self,
        result: CommandResult,
        clock_ms: float | None = None,
        running: list[RunningRun] | None = None,
        ended: list[EndedRun] | None = None,
        born_ms: int = 0,
        is_complete: bool = True,
        unreadable_rows: int = 0,
    ):
        self.result = result
        self.clock_ms = clock_ms
        self.running = running or []
        self.ended = ended or []
        self.born_ms = born_ms
        self.is_complete = is_complete
        self.unreadable_rows = unreadable_rows


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


class ThrottleRun:
    """Limits the speed of a batch run.

    Attributes:
        worker: name of the worker.
        address: address of the worker.
        task_id: identity of the task.
        number: run number.
        speed_percent: share of full speed at which the run may work, in
            percent.
        fence: fencing token of the sender.
    """

    __slots__ = (
        "address",
        "fence",
        "number",
        "speed_percent",
        "task_id",
        "worker",
    )

    def __init__(
        self,
        worker: str,
        address: str,
        task_id: TaskId,
        number: int,
        speed_percent: int,
        fence: int,
    ):
        self.worker = worker
        self.address = address
        self.task_id = task_id
        self.number = number
        self.speed_percent = speed_percent
        self.fence = fence


class PollWorker:
    """Polls a worker: renews its lease and gets its running and ended runs.

    Attributes:
        worker: name of the worker.
        address: address of the worker.
        acked_sequence: sequence number up to which the worker may discard ends.
        wait_ms: how long the worker may delay its reply until a run ends, in
            ms.
        lease_until_ms: end of the lease as in `StartRun`; None to leave the
            lease as it is.
        fence: fencing token of the sender.
        poll_id: number of the poll.
    """

    __slots__ = (
        "address",
        "poll_id",
        "fence",
        "lease_until_ms",
        "acked_sequence",
        "wait_ms",
        "worker",
    )

    def __init__(
        self,
        worker: str,
        address: str,
        acked_sequence: int,
        wait_ms: int,
        lease_until_ms: float | None,
        fence: int,
        poll_id: int,
    ):
        self.worker = worker
        self.address = address
        self.acked_sequence = acked_sequence
        self.wait_ms = wait_ms
        self.lease_until_ms = lease_until_ms
        self.fence = fence
        self.poll_id = poll_id


class RequestAdvice:
    """Requests tickets for a step from the advisor.

    The advisor is an outside service. Its tickets state which workers may run
    a step of an advised job.

    Attributes:
        request_id: number of the request.
        job: key of the job.
        iteration: number of the schedule's iteration.
        step: number of the step.
        worker_names: names of the workers that the request is about.
    """

    __slots__ = ("request_id", "job", "step", "iteration", "worker_names")

    def __init__(
        self,
        request_id: int,
        job: str,
        iteration: int,
        step: int,
        worker_names: list[str],
    ):
        self.request_id = request_id
        self.job = job
        self.iteration = iteration
        self.step = step
        self.worker_names = worker_names


class Advice:
    """The result of a request to the advisor.

    Attributes:
        is_reply: whether the advisor replied; False if it was busy or
            unresponsive.
        tickets: tickets by name of the worker; a worker without one may not
            run the step.
        valid_ms: how long the tickets are valid, in ms.
    """

    __slots__ = ("is_reply", "tickets", "valid_ms")

    def __init__(
        self,
        is_reply: bool,
        tickets: dict[str, str] | None = None,
        valid_ms: float = 0.0,
    ):
        self.is_reply = is_reply
        self.tickets = tickets or {}
        self.valid_ms = valid_ms


class SendToNode:
    """Sends a message to a node.

    Attributes:
        node: name of the node.
        message: the message.
    """

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


PoolAction = (
    StartRun | StopRun | ThrottleRun | PollWorker | RequestAdvice | SendToNode
)
