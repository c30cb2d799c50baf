"""How workers of pools are told what to do: `/v1/runs/start|stop|hold`."""

import msgspec

from clayfield.node.faces import WorkerProtocol
from clayfield.node.httpclient import CallOutcome, CallResult
from clayfield.pool import (
    Advice,
    AskAdvisor,
    EndedRow,
    EndKind,
    HoldAnswer,
    HoldWorker,
    OrderAnswer,
    OrderResult,
    PaceRun,
    RunningRow,
    StartRun,
    StopRun,
    TaskId,
)

START_PATH = "/v1/runs/start"
STOP_PATH = "/v1/runs/stop"
PACE_PATH = "/v1/runs/pace"
HOLD_PATH = "/v1/runs/hold"
ADVICE_PATH = "/v1/advice"
HTTP_OK = 200

_ENDS_OF_CALLS = {
    CallOutcome.UNREACHED: OrderResult.UNREACHED,
    CallOutcome.LOST: OrderResult.LOST,
}


class StartBody(msgspec.Struct):
    """Starts a run."""

    worker: str
    task: TaskId
    number: int
    spec: str
    lease_until_ms: float
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Stops a run."""

    worker: str
    task: TaskId
    number: int
    fence: int


class PaceBody(msgspec.Struct):
    """Lets a run work at a share of its full pace."""

    worker: str
    task: TaskId
    number: int
    percent: int
    fence: int


class HoldBody(msgspec.Struct):
    """Renews the lease and asks what runs and what has ended."""

    worker: str
    seen_upto: int
    wait_ms: int
    fence: int
    lease_until_ms: float | None = None


class RunningItem(msgspec.Struct):
    """A run under way."""

    task: TaskId
    number: int
    percent: int = 100
    saved: str = ""
    figure: float | None = None


class EndedItem(msgspec.Struct):
    """A run that ended, numbered within the worker's life."""

    sequence: int
    task: TaskId
    number: int
    kind: EndKind
    saved: str = ""


class WorkerAnswer(msgspec.Struct):
    """What a worker answers to any order.

    Attributes:
        result: how it took the order.
        clock_ms: its clock.
        running: what runs there; holds only.
        ended: what ended there; holds only.
    """

    result: OrderResult
    clock_ms: float
    running: list[RunningItem] = []
    ended: list[EndedItem] = []


class QuestionBody(msgspec.Struct):
    """Asks the advisor which workers may run a step."""

    job: str
    time: int
    step: int
    workers: list[str]


class AdviceBody(msgspec.Struct):
    """The advisor's answer: tickets by the names of workers."""

    tickets: dict[str, str]
    valid_ms: float


_advice_decoder = msgspec.json.Decoder(AdviceBody)
_answer_decoder = msgspec.json.Decoder(WorkerAnswer)


class OwnWorkers(WorkerProtocol):
    """Orders as calls to a worker."""

    def write_start(self, order: StartRun) -> bytes:
        """Returns the request that starts a run."""
        body = StartBody(
            order.worker,
            order.task_id,
            order.number,
            order.spec,
            order.lease_until_ms,
            order.fence,
            order.checkpoint,
            order.ticket,
        )
        return _request(START_PATH, order.address, body)

    def write_stop(self, order: StopRun) -> bytes:
        """Returns the request that stops a run."""
        body = StopBody(order.worker, order.task_id, order.number, order.fence)
        return _request(STOP_PATH, order.address, body)

    def write_pace(self, order: PaceRun) -> bytes:
        """Returns the request that sets the pace of a run."""
        body = PaceBody(
            order.worker,
            order.task_id,
            order.number,
            order.percent,
            order.fence,
        )
        return _request(PACE_PATH, order.address, body)

    def write_hold(self, order: HoldWorker) -> bytes:
        """Returns the request that renews a lease and asks what runs."""
        body = HoldBody(
            order.worker,
            order.seen_upto,
            order.wait_ms,
            order.fence,
            order.lease_until_ms,
        )
        return _request(HOLD_PATH, order.address, body)

    def write_question(self, ask: AskAdvisor, address: str) -> bytes:
        """Returns the request that asks the advisor."""
        body = QuestionBody(ask.job, ask.time, ask.step, ask.workers)
        return _request(ADVICE_PATH, address, body)

    def read_advice(self, answer: CallResult) -> Advice:
        """Returns what the advisor says."""
        is_answer = answer.outcome is CallOutcome.ANSWERED
        if not is_answer or answer.status != HTTP_OK:
            return Advice(False)
        try:
            said = _advice_decoder.decode(answer.body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Advice(False)
        return Advice(True, said.tickets, said.valid_ms)

    def read_order_answer(self, answer: CallResult) -> OrderAnswer:
        """Returns how a worker took a start or a stop."""
        said = _read(answer)
        if isinstance(said, OrderResult):
            return OrderAnswer(said)
        return OrderAnswer(said.result, said.clock_ms)

    def read_hold_answer(self, answer: CallResult) -> HoldAnswer:
        """Returns what a worker lists."""
        said = _read(answer)
        if isinstance(said, OrderResult):
            return HoldAnswer(said)
        return HoldAnswer(
            said.result,
            said.clock_ms,
            [
                RunningRow(r.task, r.number, r.percent, r.saved, r.figure)
                for r in said.running
            ],
            [
                EndedRow(e.sequence, e.task, e.number, e.kind, e.saved)
                for e in said.ended
            ],
        )


def _read(answer: CallResult) -> WorkerAnswer | OrderResult:
    if answer.outcome is not CallOutcome.ANSWERED:
        return _ENDS_OF_CALLS[answer.outcome]
    if answer.status != HTTP_OK:
        return OrderResult.UNHEALTHY
    try:
        return _answer_decoder.decode(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return OrderResult.LOST


def _request(path: str, address: str, body: msgspec.Struct) -> bytes:
    content = msgspec.json.encode(body)
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {address}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content
