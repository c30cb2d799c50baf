"""The faces on which clayfield meets callers, operators and workers.

Each turns bytes into typed calls and typed answers into bytes; none decides.
The product's own protocols and a platform's are implementations of these.
"""

import abc

from clayfield.node.httpclient import CallAnswer
from clayfield.node.httpserver import HttpRequest
from clayfield.pool import (
    Advice,
    AskAdvisor,
    HoldAnswer,
    HoldWorker,
    OrderAnswer,
    PaceRun,
    Routes,
    StartRun,
    StopRun,
)
from clayfield.wire.cluster import JobEnded, StateTold
from clayfield.wire.jobs import Job, RoutingTable, WorkerInfo


class HttpReply:
    """An answer.

    Attributes:
        status: the HTTP status.
        body: JSON, or nothing.
        headers: by name.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ):
        self.status = status
        self.body = body
        self.headers = headers


class SubmitCall:
    """A caller submits a job."""

    __slots__ = ("job",)

    def __init__(self, job: Job):
        self.job = job


class CancelCall:
    """A caller cancels a job."""

    __slots__ = ("key",)

    def __init__(self, key: str):
        self.key = key


class StateCall:
    """A caller asks for a job's state."""

    __slots__ = ("key",)

    def __init__(self, key: str):
        self.key = key


class CountCall:
    """A caller asks how many jobs of a queue wait."""

    __slots__ = ("queue",)

    def __init__(self, queue: str):
        self.queue = queue


CallerCall = SubmitCall | CancelCall | StateCall | CountCall | HttpReply


class CallerProtocol(abc.ABC):
    """How callers speak."""

    @abc.abstractmethod
    def read_call(self, request: HttpRequest, routes: Routes) -> CallerCall:
        """Returns what a request asks for, or its answer at once."""

    @abc.abstractmethod
    def write_ended(self, ended: JobEnded) -> HttpReply:
        """Returns the answer to the caller of a job."""

    @abc.abstractmethod
    def write_cancelled(self, is_known: bool | None) -> HttpReply:
        """Returns the answer to a cancel; None where nobody can tell."""

    @abc.abstractmethod
    def write_state(self, told: StateTold | None) -> HttpReply:
        """Returns the answer that tells where a kept job stands.

        Args:
            told: what the holder said, None where nobody can tell.
        """

    @abc.abstractmethod
    def write_count(self, waiting: int) -> HttpReply:
        """Returns the answer that tells how many jobs wait."""


class WriteCall:
    """An operator writes a configuration."""

    __slots__ = ("document", "version")

    def __init__(self, version: int, document: bytes):
        self.version = version
        self.document = document


class ReadCall:
    """An operator reads the configuration."""

    __slots__ = ()


class StatementCall:
    """A worker makes its statement."""

    __slots__ = ("info",)

    def __init__(self, info: WorkerInfo):
        self.info = info


class LeaveCall:
    """A worker takes its leave."""

    __slots__ = ("name",)

    def __init__(self, name: str):
        self.name = name


OperatorCall = WriteCall | ReadCall | StatementCall | LeaveCall | HttpReply


class OperatorProtocol(abc.ABC):
    """How operators and announcing workers speak."""

    @abc.abstractmethod
    def read_call(self, request: HttpRequest) -> OperatorCall:
        """Returns what a request asks for, or its answer at once.

        A configuration that is not valid is answered here.
        """

    @abc.abstractmethod
    def read_table(self, document: bytes) -> RoutingTable:
        """Returns the routes of a configuration that was found valid."""

    @abc.abstractmethod
    def write_moved(self, host: str, port: int, path: str) -> HttpReply:
        """Returns the answer that sends an operator to another node."""


class WorkerProtocol(abc.ABC):
    """How workers are told what to do."""

    @abc.abstractmethod
    def write_start(self, order: StartRun) -> bytes:
        """Returns the request that starts a run."""

    @abc.abstractmethod
    def write_stop(self, order: StopRun) -> bytes:
        """Returns the request that stops a run."""

    @abc.abstractmethod
    def write_pace(self, order: PaceRun) -> bytes:
        """Returns the request that sets the pace of a run."""

    @abc.abstractmethod
    def write_hold(self, order: HoldWorker) -> bytes:
        """Returns the request that renews a lease and asks what runs."""

    @abc.abstractmethod
    def write_question(self, ask: AskAdvisor, address: str) -> bytes:
        """Returns the request that asks the advisor."""

    @abc.abstractmethod
    def read_advice(self, answer: CallAnswer) -> Advice:
        """Returns what the advisor says."""

    @abc.abstractmethod
    def read_order_answer(self, answer: CallAnswer) -> OrderAnswer:
        """Returns how a worker took a start or a stop."""

    @abc.abstractmethod
    def read_hold_answer(self, answer: CallAnswer) -> HoldAnswer:
        """Returns what a worker lists."""
