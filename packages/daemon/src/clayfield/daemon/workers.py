"""Task starts at workers, over persistent HTTP/1.1 connections.

Built on a twisted transport and the httptools parser: docs/design/path.md has
the measurement that speaks against twisted.web's client here.

A connection carries one task at a time. If it cannot be opened, no byte of
the start has left and the task did not run. If it breaks once the start was
written, the task may have run.
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
from clayfield.base.settings import address
from clayfield.dispatch import StartTask, TaskEnd, WorkerInfo

MAX_ANSWER_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
IDLE_MS = 20_000.0
MS_PER_S = 1000.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
STARTED_HEADER = b"clayfield-started"
LEAVING_HEADER = b"clayfield-leaving"

OnEnd = Callable[[int, TaskEnd, bytes, float], None]


class _Start:
    """A start in flight."""

    __slots__ = (
        "grant",
        "on_end",
        "request",
        "since_ms",
        "timeout_s",
        "timer",
    )

    def __init__(
        self,
        grant: int,
        request: bytes,
        on_end: OnEnd,
        since_ms: float,
        timeout_s: float,
    ):
        self.timeout_s = timeout_s
        self.grant = grant
        self.request = request
        self.on_end = on_end
        self.since_ms = since_ms
        self.timer: interfaces.IDelayedCall | None = None


class _Connection(protocol.Protocol):
    """One connection to a worker."""

    def __init__(self, pool: "_Pool"):
        self._pool = pool
        self._start: _Start | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self.idle_since_ms = 0.0
        self.is_open = True

    def send(self, start: _Start) -> None:
        """Writes a start."""
        self._start = start
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._headers.clear()
        self.transport.write(start.request)

    def give_up(self) -> None:
        """Ends the start in flight: whether it ran is not known."""
        self.transport.abortConnection()
        self._end(TaskEnd.LOST, b"timed out")

    # Calls of twisted.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes."""
        if self._start is None:
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
            self._end(TaskEnd.LOST, b"broken answer")

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Learns that the connection is gone."""
        self.is_open = False
        self._pool.on_closed(self)
        self._end(TaskEnd.LOST, b"connection lost")

    # Calls of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body += body
        if len(self._body) > MAX_ANSWER_BYTES:
            self.transport.abortConnection()
            self._end(TaskEnd.FAILED, b"answer too large")

    def on_message_complete(self) -> None:
        """Takes the end of the answer."""
        if self._start is None:
            return
        status = self._parser.get_status_code()
        is_kept = self._parser.should_keep_alive()
        body = bytes(self._body)
        end = self._classify(status, body)
        if is_kept and self.is_open:
            self._pool.on_idle(self)
        else:
            self.transport.loseConnection()
        self._end(end, body)

    def _classify(self, status: int, body: bytes) -> TaskEnd:
        if status == HTTP_OK:
            return TaskEnd.ANSWERED if _is_json(body) else TaskEnd.FAILED
        did_not_start = self._headers.get(STARTED_HEADER) == b"no"
        if status == HTTP_UNAVAILABLE and did_not_start:
            is_leaving = self._headers.get(LEAVING_HEADER) == b"true"
            return TaskEnd.LEAVING if is_leaving else TaskEnd.REFUSED
        return TaskEnd.FAILED

    def _end(self, end: TaskEnd, body: bytes) -> None:
        start = self._start
        if start is None:
            return
        self._start = None
        if start.timer and start.timer.active():
            start.timer.cancel()
        took_ms = self._pool.clock.now_ms() - start.since_ms
        start.on_end(start.grant, end, body, took_ms)


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True


class _Pool(protocol.Factory):
    """The connections to one worker, within this box's share of them."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        clock: Clock,
        info: WorkerInfo,
        most: int,
    ):
        self.name = info.name
        self.clock = clock
        self.most = most
        host, port = address(info.address)
        self.place = info.address
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        self._reactor = reactor
        self._idle: list[_Connection] = []
        self._waiting: collections.deque[_Start] = collections.deque()
        self._count = 0

    def buildProtocol(self, addr: object) -> _Connection:  # noqa: N802
        """Makes a connection's protocol."""
        return _Connection(self)

    def start(self, start: _Start) -> None:
        """Sends a start on an idle connection or a new one."""
        now_ms = self.clock.now_ms()
        while self._idle:
            conn = self._idle.pop()
            if now_ms - conn.idle_since_ms < IDLE_MS:
                self._send(conn, start)
                return
            conn.transport.loseConnection()
        if self._count >= self.most:
            self._waiting.append(start)
            return
        self._count += 1
        connecting = self._endpoint.connect(self)
        connecting.addCallbacks(
            self._on_connected, self._on_refused, (start,), {}, (start,), {}
        )

    def _on_connected(self, conn: _Connection, start: _Start) -> None:
        conn.transport.setTcpNoDelay(True)
        self._send(conn, start)

    def _on_refused(self, reason: failure.Failure, start: _Start) -> None:
        self._count -= 1
        reason.trap(error.ConnectError, error.ConnectionClosed, OSError)
        start.on_end(start.grant, TaskEnd.UNREACHED, b"", 0.0)
        if self._waiting:
            self.start(self._waiting.popleft())

    def _send(self, conn: _Connection, start: _Start) -> None:
        conn.send(start)
        start.timer = self._reactor.callLater(start.timeout_s, conn.give_up)

    def on_idle(self, conn: _Connection) -> None:
        """Takes back a connection that is free again."""
        if self._waiting:
            self._reactor.callLater(0, self._serve_waiting, conn)
            return
        conn.idle_since_ms = self.clock.now_ms()
        self._idle.append(conn)

    def _serve_waiting(self, conn: _Connection) -> None:
        if self._waiting and conn.is_open:
            self._send(conn, self._waiting.popleft())
        elif conn.is_open:
            self.on_idle(conn)

    def on_closed(self, conn: _Connection) -> None:
        """Forgets a connection that is gone."""
        self._count -= 1
        if conn in self._idle:
            self._idle.remove(conn)
        if self._waiting:
            self.start(self._waiting.popleft())

    def close(self) -> None:
        """Closes the idle connections."""
        for conn in list(self._idle):
            conn.transport.loseConnection()


class WorkerClient:
    """Starts tasks at workers."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        clock: Clock,
        node: str,
        connections: int,
        on_end: OnEnd,
    ):
        """Starts without workers.

        Args:
            reactor: of twisted.
            clock: the time.
            node: this process; with it a task's name is unique.
            connections: most connections of this box to one worker.
            on_end: called with grant, end, answer and time in ms.
        """
        self._reactor = reactor
        self._clock = clock
        self._node = node
        self._connections = connections
        self._on_end = on_end
        self._pools: dict[str, _Pool] = {}

    def set_workers(self, workers: list[WorkerInfo]) -> None:
        """Takes the platform list."""
        listed = {info.name: info for info in workers}
        for name in list(self._pools):
            info = listed.get(name)
            if info is None or info.address != self._pools[name].place:
                self._pools.pop(name).close()
        for name, info in listed.items():
            if name not in self._pools:
                self._pools[name] = _Pool(
                    self._reactor, self._clock, info, self._connections
                )

    def start(self, action: StartTask, traceparent: str) -> None:
        """Starts a task; `on_end` hears of its end exactly once."""
        pool = self._pools.get(action.worker)
        if pool is None:
            self._on_end(action.grant, TaskEnd.UNREACHED, b"", 0.0)
            return
        start = _Start(
            action.grant,
            _render(action, self._node, traceparent),
            self._on_end,
            self._clock.now_ms(),
            action.timeout_ms / MS_PER_S,
        )
        pool.start(start)

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()


def _render(action: StartTask, node: str, traceparent: str) -> bytes:
    trace = f"traceparent: {traceparent}\r\n" if traceparent else ""
    head = (
        "POST /v1/tasks HTTP/1.1\r\n"
        "host: worker\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(action.payload)}\r\n"
        f"clayfield-task: {node}.{action.submission}.{action.task}\r\n"
        f"clayfield-attempt: {action.attempt}\r\n"
        f"clayfield-class: {action.priority}\r\n"
        f"clayfield-lease-ms: {int(action.timeout_ms)}\r\n"
        f"{trace}\r\n"
    )
    return head.encode() + action.payload
