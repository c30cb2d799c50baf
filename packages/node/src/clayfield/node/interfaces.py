"""Interfaces of the protocols for callers, operators and workers.

An implementation converts HTTP requests to typed calls and typed replies to
HTTP responses; it makes no decisions. Clayfield's native protocols and those
of a platform implement these interfaces.
"""

import abc

from clayfield.node.httpclient import CallResult
from clayfield.node.httpserver import HttpRequest
from clayfield.pool import (
    Advice,
    CommandReply,
    PollReply,
    PollWorker,
    RequestAdvice,
    Routes,
    StartRun,
    StopRun,
    ThrottleRun,
)
from clayfield.wire.cluster import JobEnded, JobStateReply
from clayfield.wire.jobs import Job, RoutingTable, WorkerInfo


class HttpReply:
    """An HTTP response to a caller, an operator or a worker.

    Attributes:
        status: HTTP status code.
        body: JSON document, empty for none.
        headers: pairs of name and value.
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
    """A caller's request to run a job."""

    __slots__ = ("job",)

    def __init__(self, job: Job):
        self.job = job


class CancelCall:
    """A caller's request to cancel the job with a key."""

    __slots__ = ("key",)

    def __init__(self, key: str):
        self.key = key


class StateCall:
    """A caller's request for the state of a kept job (a durable one)."""

    __slots__ = ("key",)

    def __init__(self, key: str):
        self.key = key


class CountCall:
    """A caller's request for the number of a queue's waiting jobs."""

    __slots__ = ("queue",)

    def __init__(self, queue: str):
        self.queue = queue


CallerCall = SubmitCall | CancelCall | StateCall | CountCall | HttpReply


class CallerProtocol(abc.ABC):
    """Decodes the requests of callers and encodes the responses.

    Attributes:
        header_names: names in lower case of the headers that it reads.
    """

    header_names: tuple[str, ...] = ()

    @abc.abstractmethod
    def read_call(self, request: HttpRequest, routes: Routes) -> CallerCall:
        """Returns the decoded call of a request.

        Returns:
            The call, or the response if the request is invalid.
        """

    @abc.abstractmethod
    def write_job_reply(self, ended: JobEnded) -> HttpReply:
        """Returns the response to the caller of a job."""

    @abc.abstractmethod
    def write_cancel_reply(self, is_found: bool | None) -> HttpReply:
        """Returns the response to a cancel request.

        Args:
            is_found: whether the job was found, None if no holder replied.
        """

    @abc.abstractmethod
    def write_state_reply(self, reply: JobStateReply | None) -> HttpReply:
        """Returns the response with the state of a kept job.

        Args:
            reply: the holder's reply, None if no holder replied.
        """

    @abc.abstractmethod
    def write_count_reply(self, waiting: int) -> HttpReply:
        """Returns the response with the number of a queue's waiting jobs."""


class WriteCall:
    """An operator's request to replace the configuration.

    Attributes:
        version: version number of the new configuration.
        document: the configuration as the operator sent it.
    """

    __slots__ = ("document", "version")

    def __init__(self, version: int, document: bytes):
        self.version = version
        self.document = document


class ReadCall:
    """An operator's request for the current configuration."""

    __slots__ = ()


class HeartbeatCall:
    """A worker's heartbeat with its address, state and capacity."""

    __slots__ = ("info",)

    def __init__(self, info: WorkerInfo):
        self.info = info


class RejectedHeartbeat:
    """A heartbeat that names no worker to use.

    Attributes:
        name: name that the sender gave.
        error: what can't be used, as a sentence.
        reply: the response to the sender.
    """

    __slots__ = ("error", "name", "reply")

    def __init__(self, name: str, error: str, reply: HttpReply):
        self.name = name
        self.error = error
        self.reply = reply


class LeaveCall:
    """A worker's announcement that it leaves the pool."""

    __slots__ = ("name",)

    def __init__(self, name: str):
        self.name = name


OperatorCall = (
    WriteCall
    | ReadCall
    | HeartbeatCall
    | RejectedHeartbeat
    | LeaveCall
    | HttpReply
)


class OperatorProtocol(abc.ABC):
    """Decodes operators' requests and workers' heartbeats."""

    @abc.abstractmethod
    def read_call(self, request: HttpRequest) -> OperatorCall:
        """Returns the decoded call of a request.

        It may be called in several threads at once.

        Returns:
            The call, or the response if the request or the configuration in
            it is invalid.
        """

    @abc.abstractmethod
    def read_table(self, document: bytes) -> RoutingTable:
        """Returns the routing table of a valid configuration."""

    @abc.abstractmethod
    def write_redirect(self, host: str, port: int, path: str) -> HttpReply:
        """Returns a redirect to the same path at another node."""


class WorkerProtocol(abc.ABC):
    """Encodes requests to workers and the advisor, decodes the responses.

    The advisor is an outside service that returns tickets: which workers may
    run a step of an advised job.
    """

    @abc.abstractmethod
    def write_start(self, command: StartRun) -> bytes:
        """Returns the request that starts a run."""

    @abc.abstractmethod
    def write_stop(self, command: StopRun) -> bytes:
        """Returns the request that stops a run."""

    @abc.abstractmethod
    def write_throttle(self, command: ThrottleRun) -> bytes:
        """Returns the request that throttles a run."""

    @abc.abstractmethod
    def write_poll(self, command: PollWorker) -> bytes:
        """Returns the long-poll request to a worker.

        It renews the worker's lease and asks for its running and ended runs.
        """

    @abc.abstractmethod
    def write_advice_request(
        self, command: RequestAdvice, address: str
    ) -> bytes:
        """Returns the request to the advisor for tickets."""

    @abc.abstractmethod
    def read_advice(self, result: CallResult) -> Advice:
        """Returns the advisor's reply."""

    @abc.abstractmethod
    def read_command_reply(self, result: CallResult) -> CommandReply:
        """Returns a worker's reply to a start or stop request."""

    @abc.abstractmethod
    def read_poll_reply(self, result: CallResult) -> PollReply:
        """Returns a worker's reply to a poll."""
