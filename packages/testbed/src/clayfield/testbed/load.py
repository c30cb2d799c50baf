"""A small HTTP client that submits jobs, for load tests."""

import collections
from collections.abc import Callable

import httptools
from twisted.internet import interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from clayfield.base import Clock, MonotonicClock

OnAnswer = Callable[[int, bytes, float], None]


class _Connection(protocol.Protocol):
    """A connection, with one request at a time."""

    def __init__(self, pool: "JobClient"):
        self._pool = pool
        self._parser: httptools.HttpResponseParser | None = None
        self._on_answer: OnAnswer | None = None
        self._sent_ms = 0.0
        self._body = bytearray()

    def send(self, request: bytes, on_answer: OnAnswer) -> None:
        """Sends a request; `on_answer` is called with the response."""
        self._on_answer = on_answer
        self._sent_ms = self._pool.clock.now_ms()
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses a part of the response."""
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Handles a part of the response body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Handles the end of the response."""
        self._finish(self._parser.get_status_code(), bytes(self._body))
        self._pool.release(self)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Reports a pending request as failed, with status 0."""
        self._pool.remove(self)
        self._finish(0, b"")

    def _finish(self, status: int, body: bytes) -> None:
        on_answer = self._on_answer
        self._on_answer = None
        if on_answer:
            elapsed_ms = self._pool.clock.now_ms() - self._sent_ms
            on_answer(status, body, elapsed_ms)


class JobClient(protocol.Factory):
    """Submits jobs to one box over as many connections as needed.

    Attributes:
        clock: measures the response times.
    """

    def __init__(self, reactor: interfaces.IReactorTCP, port: int, token: str):
        self.clock: Clock = MonotonicClock()
        self._token = token
        self._endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
        self._idle: collections.deque[_Connection] = collections.deque()

    def buildProtocol(self, addr: object) -> _Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _Connection(self)

    def submit(self, key: str, body: bytes, on_answer: OnAnswer) -> None:
        """Submits a job.

        Args:
            key: the idempotency key.
            body: the body of the request.
            on_answer: called with the status (0 if the connection fails), the
                body and the response time in ms.
        """
        request = (
            "POST /v1/submissions HTTP/1.1\r\nhost: box\r\n"
            f"authorization: Bearer {self._token}\r\n"
            f"idempotency-key: {key}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        ).encode() + body
        if self._idle:
            self._idle.popleft().send(request, on_answer)
            return
        connecting = self._endpoint.connect(self)
        connecting.addCallback(lambda conn: conn.send(request, on_answer))
        connecting.addErrback(lambda _: on_answer(0, b"", 0.0))

    def release(self, conn: _Connection) -> None:
        """Returns an idle connection to the pool."""
        self._idle.append(conn)

    def remove(self, conn: _Connection) -> None:
        """Removes a closed connection from the pool."""
        if conn in self._idle:
            self._idle.remove(conn)
