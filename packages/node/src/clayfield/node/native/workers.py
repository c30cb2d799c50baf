"""The native HTTP protocol to workers and to the advisor.

Workers serve `/v1/runs/start`, `stop`, `pace` (throttles a run) and `hold` (the
poll that renews the worker's lease). The advisor serves `/v1/advice`.
"""

import msgspec

from clayfield.node.httpclient import CallOutcome, CallResult
from clayfield.node.interfaces import WorkerProtocol
from clayfield.pool import (
    Advice,
    CommandReply,
    CommandResult,
    EndedRun,
    EndKind,
    PollReply,
    PollWorker,
    RequestAdvice,
    RunningRun,
    StartRun,
    StopRun,
    TaskId,
    ThrottleRun,
)
from clayfield.wire.checks import DECODE_ERRORS

START_PATH = "/v1/runs/start"
STOP_PATH = "/v1/runs/stop"
THROTTLE_PATH = "/v1/runs/pace"
POLL_PATH = "/v1/runs/hold"
ADVICE_PATH = "/v1/advice"
HTTP_OK = 200

_RESULTS_BY_OUTCOME = {
    CallOutcome.UNREACHED: CommandResult.UNREACHED,
    CallOutcome.REFUSED: CommandResult.REFUSED,
    CallOutcome.LOST: CommandResult.LOST,
}


class StartBody(msgspec.Struct):
    """Request body that starts a run, which is one attempt to run a task.

    Attributes:
        worker: name of the worker's incarnation.
        task: the task to execute.
        number: number of the run.
        spec: description of the work, opaque to clayfield.
        lease_until_ms: end of the worker's lease on the worker's clock.
        fence: fencing token; a worker rejects one lower than it has seen.
        checkpoint: checkpoint to resume from, "" for none.
        ticket: ticket of the advisor, "" for none.
    """

    worker: str
    task: TaskId
    number: int
    spec: str
    lease_until_ms: float
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Request body that stops a run."""

    worker: str
    task: TaskId
    number: int
    fence: int


class ThrottleBody(msgspec.Struct):
    """Request body that throttles a run to a percentage of its speed."""

    worker: str
    task: TaskId
    number: int
    percent: int
    fence: int


class PollBody(msgspec.Struct):
    """Request body of a poll.

    Attributes:
        worker: name of the worker's incarnation.
        seen_upto: sequence number of the last ended run that the holder has
            processed.
        wait_ms: maximum time to wait for a run to end, in ms.
        fence: fencing token; a worker rejects one lower than it has seen.
        lease_until_ms: new end of the lease on the worker's clock, None
            while that clock is unknown.
    """

    worker: str
    seen_upto: int
    wait_ms: int
    fence: int
    lease_until_ms: float | None = None


class RunningItem(msgspec.Struct):
    """A running run in the reply to a poll.

    Attributes:
        task: the task that it executes.
        number: number of the run.
        percent: speed in percent of the full speed.
        saved: checkpoint of its progress, "" for none.
        figure: tail latency of a latency-sensitive task in ms, None if
            unknown.
    """

    task: TaskId
    number: int
    percent: int = 100
    saved: str = ""
    figure: float | None = None


class EndedItem(msgspec.Struct):
    """An ended run in the reply to a poll.

    Attributes:
        sequence: number of this end within the worker's incarnation.
        task: the task that it executed.
        number: number of the run.
        kind: how the run ended.
        saved: checkpoint of its progress, "" for none.
    """

    sequence: int
    task: TaskId
    number: int
    kind: EndKind
    saved: str = ""


class WorkerReply(msgspec.Struct):
    """Response body of a worker.

    Attributes:
        result: result of the command.
        clock_ms: time on the worker's clock, in ms.
        running: the running runs; replies to polls only.
        ended: the ended runs after `seen_upto`; replies to polls only.
        born_ms: start time of the worker's incarnation, in ms since 1970; 0 if
            not announced.
        has_more: whether further runs have ended that `ended` leaves out, as
            the reply would be too long; they follow once these are seen.
    """

    result: CommandResult
    clock_ms: float
    running: list[RunningItem] = []
    ended: list[EndedItem] = []
    born_ms: int = 0
    has_more: bool = False


class AdviceRequestBody(msgspec.Struct):
    """Request body to the advisor: which workers may run a step."""

    job: str
    time: int
    step: int
    workers: list[str]


class AdviceBody(msgspec.Struct):
    """Response body of the advisor.

    Attributes:
        tickets: tickets by name of the workers that may run the step.
        valid_ms: time for which the tickets are valid, in ms.
    """

    tickets: dict[str, str]
    valid_ms: float


_advice_decoder = msgspec.json.Decoder(AdviceBody)
_reply_decoder = msgspec.json.Decoder(WorkerReply)


class NativeWorkers(WorkerProtocol):
    """Encodes requests to workers and the advisor, decodes the responses."""

    def write_start(self, command: StartRun) -> bytes:
        """Returns the request that starts a run."""
        body = StartBody(
            command.worker,
            command.task_id,
            command.number,
            command.spec,
            command.lease_until_ms,
            command.fence,
            command.checkpoint,
            command.ticket,
        )
        return _render_request(START_PATH, command.address, body)

    def write_stop(self, command: StopRun) -> bytes:
        """Returns the request that stops a run."""
        body = StopBody(
            command.worker, command.task_id, command.number, command.fence
        )
        return _render_request(STOP_PATH, command.address, body)

    def write_throttle(self, command: ThrottleRun) -> bytes:
        """Returns the request that throttles a run."""
        body = ThrottleBody(
            command.worker,
            command.task_id,
            command.number,
            command.speed_percent,
            command.fence,
        )
        return _render_request(THROTTLE_PATH, command.address, body)

    def write_poll(self, command: PollWorker) -> bytes:
        """Returns the long-poll request that renews a worker's lease."""
        body = PollBody(
            command.worker,
            command.acked_sequence,
            command.wait_ms,
            command.fence,
            command.lease_until_ms,
        )
        return _render_request(POLL_PATH, command.address, body)

    def write_advice_request(
        self, command: RequestAdvice, address: str
    ) -> bytes:
        """Returns the request to the advisor for tickets."""
        body = AdviceRequestBody(
            command.job, command.iteration, command.step, command.worker_names
        )
        return _render_request(ADVICE_PATH, address, body)

    def read_advice(self, result: CallResult) -> Advice:
        """Returns the advisor's reply."""
        is_answered = result.outcome is CallOutcome.ANSWERED
        if not is_answered or result.status != HTTP_OK:
            return Advice(False)
        try:
            reply = _advice_decoder.decode(result.body)
        except DECODE_ERRORS:
            return Advice(False)
        return Advice(True, reply.tickets, reply.valid_ms)

    def read_command_reply(self, result: CallResult) -> CommandReply:
        """Returns a worker's reply to a start or stop request."""
        reply = _read_reply(result)
        if isinstance(reply, CommandResult):
            return CommandReply(reply)
        return CommandReply(reply.result, reply.clock_ms)

    def read_poll_reply(self, result: CallResult) -> PollReply:
        """Returns a worker's reply to a poll."""
        reply = _read_reply(result)
        if isinstance(reply, CommandResult):
            return PollReply(reply)
        return PollReply(
            reply.result,
            reply.clock_ms,
            [
                RunningRun(r.task, r.number, r.percent, r.saved, r.figure)
                for r in reply.running
            ],
            [
                EndedRun(e.sequence, e.task, e.number, e.kind, e.saved)
                for e in reply.ended
            ],
            reply.born_ms,
            not reply.has_more,
        )


def _read_reply(result: CallResult) -> WorkerReply | CommandResult:
    if result.outcome is not CallOutcome.ANSWERED:
        return _RESULTS_BY_OUTCOME[result.outcome]
    if result.status != HTTP_OK:
        return CommandResult.UNHEALTHY
    try:
        return _reply_decoder.decode(result.body)
    except DECODE_ERRORS:
        return CommandResult.LOST


def _render_request(path: str, address: str, body: msgspec.Struct) -> bytes:
    content = msgspec.json.encode(body)
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {address}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content
