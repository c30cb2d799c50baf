"""HTTP/1.1 client that starts tasks on workers.

A start is a POST request whose response carries the task's result. Connections
are kept alive and pooled per worker; each carries one request at a time. If a
connection cannot be opened, nothing was sent and the task did not run. If it
breaks after the request was written, the task may have run.

Responses are parsed by httptools, which costs less CPU per request than
twisted.web's client.
"""

import collections
from collections.abc import Callable

import httptools
import msgspec
from twisted.internet import error, interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python import failure

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.base.settings import parse_address
from clayfield.dispatch import StartTask, TaskOutcome, WorkerInfo

MAX_ANSWER_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_MS = 20_000.0
MS_PER_S = 1000.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
STARTED_HEADER = b"clayfield-started"
LEAVING_HEADER = b"clayfield-leaving"

OnEnd = Callable[[int, TaskOutcome, bytes, float], None]


class _StartRequest:
    """A request that starts a task, sent or waiting for a connection.

    Attributes:
        grant: number of the slot, which identifies the start.
        data: the encoded HTTP request.
        on_end: called with the outcome.
        requested_ms: time of the request, in ms.
        timeout_s: time limit once the request is sent.
        timer: the running time limit, None before the request is sent.
    """

    __slots__ = (
        "grant",
        "on_end",
        "data",
        "requested_ms",
        "timeout_s",
        "timer",
    )

    def __init__(
        self,
        grant: int,
        data: bytes,
        on_end: OnEnd,
        requested_ms: float,
        timeout_s: float,
    ):
        self.timeout_s = timeout_s
        self.grant = grant
        self.data = data
        self.on_end = on_end
        self.requested_ms = requested_ms
        self.timer: interfaces.IDelayedCall | None = None


class _Connection(protocol.Protocol):
    """One connection to a worker."""

    def __init__(self, pool: "_Pool"):
        self._pool = pool
        self._request: _StartRequest | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self.idle_since_ms = 0.0
        self.is_open = True

    def send(self, request: _StartRequest) -> None:
        """Writes a request to the connection."""
        self._request = request
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._headers.clear()
        self.transport.write(request.data)

    def on_timeout(self) -> None:
        """Closes the connection; the task may have run."""
        self.transport.abortConnection()
        self._finish(TaskOutcome.LOST, b"timed out")

    # Callbacks of twisted.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes; closes the connection if none were due."""
        if self._request is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            emit(
                Event.WORKER_ANSWER_BAD,
                worker=self._pool.name,
                error=str(exc),
            )
            self.transport.abortConnection()
            self._finish(TaskOutcome.LOST, b"broken answer")

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Ends the pending request, whose task may have run."""
        self.is_open = False
        self._pool.on_closed(self)
        self._finish(TaskOutcome.LOST, b"connection lost")

    # Callbacks of httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a response header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, up to `MAX_ANSWER_BYTES`."""
        self._body += body
        if len(self._body) > MAX_ANSWER_BYTES:
            self.transport.abortConnection()
            self._finish(TaskOutcome.FAILED, b"answer too large")

    def on_message_complete(self) -> None:
        """Ends the request; returns the connection to the pool if it can."""
        if self._request is None:
            return
        status = self._parser.get_status_code()
        is_reusable = self._parser.should_keep_alive()
        body = bytes(self._body)
        end = self._classify(status, body)
        if is_reusable and self.is_open:
            self._pool.on_idle(self)
        else:
            self.transport.loseConnection()
        self._finish(end, body)

    def _classify(self, status: int, body: bytes) -> TaskOutcome:
        """Returns the outcome of the task that a response reports."""
        if status == HTTP_OK:
            return (
                TaskOutcome.ANSWERED
                if _is_valid_json(body)
                else TaskOutcome.FAILED
            )
        did_not_start = self._headers.get(STARTED_HEADER) == b"no"
        if status == HTTP_UNAVAILABLE and did_not_start:
            is_leaving = self._headers.get(LEAVING_HEADER) == b"true"
            return TaskOutcome.LEAVING if is_leaving else TaskOutcome.REFUSED
        return TaskOutcome.FAILED

    def _finish(self, end: TaskOutcome, body: bytes) -> None:
        """Reports the outcome of the pending request, if there is one."""
        request = self._request
        if request is None:
            return
        self._request = None
        if request.timer and request.timer.active():
            request.timer.cancel()
        took_ms = self._pool.clock.now_ms() - request.requested_ms
        request.on_end(request.grant, end, body, took_ms)


def _is_valid_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True


class _Pool(protocol.Factory):
    """The pool of connections to one worker.

    Requests beyond the connection limit wait in order of arrival.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        clock: Clock,
        info: WorkerInfo,
        max_connections: int,
    ):
        self.name = info.name
        self.clock = clock
        self.max_connections = max_connections
        host, port = parse_address(info.address)
        self.address_text = info.address
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._reactor = reactor
        self._idle: list[_Connection] = []
        self._queued: collections.deque[_StartRequest] = collections.deque()
        self._connection_count = 0

    def buildProtocol(self, addr: object) -> _Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _Connection(self)

    def start(self, request: _StartRequest) -> None:
        """Sends a request on an idle or new connection, or queues it."""
        now_ms = self.clock.now_ms()
        while self._idle:
            conn = self._idle.pop()
            if now_ms - conn.idle_since_ms < MAX_IDLE_MS:
                self._send(conn, request)
                return
            conn.transport.loseConnection()
        if self._connection_count >= self.max_connections:
            self._queued.append(request)
            return
        self._connection_count += 1
        connected = self._endpoint.connect(self)
        connected.addCallbacks(
            self._on_connected, self._on_refused, (request,), {}, (request,), {}
        )

    def _on_connected(self, conn: _Connection, request: _StartRequest) -> None:
        conn.transport.setTcpNoDelay(True)
        self._send(conn, request)

    def _on_refused(
        self, reason: failure.Failure, request: _StartRequest
    ) -> None:
        self._connection_count -= 1
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        request.on_end(request.grant, TaskOutcome.UNREACHED, b"", 0.0)
        if self._queued:
            self.start(self._queued.popleft())

    def _send(self, conn: _Connection, request: _StartRequest) -> None:
        conn.send(request)
        request.timer = self._reactor.callLater(
            request.timeout_s, conn.on_timeout
        )

    def on_idle(self, conn: _Connection) -> None:
        """Uses an idle connection for a queued request, or keeps it."""
        if self._queued:
            self._reactor.callLater(0, self._send_queued, conn)
            return
        conn.idle_since_ms = self.clock.now_ms()
        self._idle.append(conn)

    def _send_queued(self, conn: _Connection) -> None:
        if self._queued and conn.is_open:
            self._send(conn, self._queued.popleft())
        elif conn.is_open:
            self.on_idle(conn)

    def on_closed(self, conn: _Connection) -> None:
        """Removes a closed connection; opens one for a queued request."""
        self._connection_count -= 1
        if conn in self._idle:
            self._idle.remove(conn)
        if self._queued:
            self.start(self._queued.popleft())

    def close(self) -> None:
        """Closes the idle connections."""
        for conn in list(self._idle):
            conn.transport.loseConnection()


class WorkerClient:
    """Starts tasks on the workers of the box's hall."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        clock: Clock,
        node: str,
        connections: int,
        on_end: OnEnd,
    ):
        """Creates a client without workers; see `set_workers`.

        Args:
            reactor: twisted's reactor.
            clock: the monotonic clock.
            node: name of this process, which makes task names unique.
            connections: largest number of connections to one worker.
            on_end: called once for each start, with the grant, the outcome,
                the response body or a reason, and the duration in ms.
        """
        self._reactor = reactor
        self._clock = clock
        self._node = node
        self._max_connections = connections
        self._on_end = on_end
        self._pools: dict[str, _Pool] = {}

    def set_workers(self, workers: list[WorkerInfo]) -> None:
        """Replaces the set of workers.

        Idle connections to addresses that are no longer listed are closed.
        """
        listed = {info.name: info for info in workers}
        for name in list(self._pools):
            info = listed.get(name)
            if info is None or info.address != self._pools[name].address_text:
                self._pools.pop(name).close()
        for name, info in listed.items():
            if name not in self._pools:
                self._pools[name] = _Pool(
                    self._reactor, self._clock, info, self._max_connections
                )

    def start(self, action: StartTask, traceparent: str) -> None:
        """Starts a task and calls `on_end` exactly once with its outcome."""
        pool = self._pools.get(action.worker)
        if pool is None:
            self._on_end(action.grant, TaskOutcome.UNREACHED, b"", 0.0)
            return
        request = _StartRequest(
            action.grant,
            _encode_request(action, self._node, traceparent),
            self._on_end,
            self._clock.now_ms(),
            action.timeout_ms / MS_PER_S,
        )
        pool.start(request)

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()


def _encode_request(action: StartTask, node: str, traceparent: str) -> bytes:
    """Returns the HTTP request that starts a task."""
    trace_header = f"traceparent: {traceparent}\r\n" if traceparent else ""
    head = (
        "POST /v1/tasks HTTP/1.1\r\n"
        "host: worker\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(action.payload)}\r\n"
        f"clayfield-task: {node}.{action.submission}.{action.task}\r\n"
        f"clayfield-attempt: {action.attempt}\r\n"
        f"clayfield-class: {action.priority}\r\n"
        f"clayfield-lease-ms: {int(action.timeout_ms)}\r\n"
        f"{trace_header}\r\n"
    )
    return head.encode() + action.payload
