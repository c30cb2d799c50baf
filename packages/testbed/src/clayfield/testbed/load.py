"""A light HTTP client that submits a schedule of jobs, for measurements."""

import collections
from collections.abc import Callable

import httptools
from twisted.internet import interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from clayfield.base import Clock, MonotonicClock

OnAnswer = Callable[[int, bytes, float], None]


class _Caller(protocol.Protocol):
    """One connection, with one request at a time."""

    def __init__(self, pool: "Callers"):
        self._pool = pool
        self._parser: httptools.HttpResponseParser | None = None
        self._on_answer: OnAnswer | None = None
        self._since_ms = 0.0
        self._body = bytearray()

    def send(self, request: bytes, on_answer: OnAnswer) -> None:
        """Sends a request."""
        self._on_answer = on_answer
        self._since_ms = self._pool.clock.now_ms()
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes."""
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the answer."""
        self._body += body

    def on_message_complete(self) -> None:
        """Takes the end of the answer."""
        self._finish(self._parser.get_status_code(), bytes(self._body))
        self._pool.give_back(self)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Tells an answer that will not come as status 0."""
        self._pool.forget(self)
        self._finish(0, b"")

    def _finish(self, status: int, body: bytes) -> None:
        on_answer = self._on_answer
        self._on_answer = None
        if on_answer:
            took_ms = self._pool.clock.now_ms() - self._since_ms
            on_answer(status, body, took_ms)


class Callers(protocol.Factory):
    """Callers of one box, over as many connections as are needed."""

    def __init__(self, reactor: interfaces.IReactorTCP, port: int, token: str):
        self.clock: Clock = MonotonicClock()
        self._token = token
        self._endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
        self._free: collections.deque[_Caller] = collections.deque()

    def buildProtocol(self, addr: object) -> _Caller:  # noqa: N802
        """Makes a connection's protocol."""
        return _Caller(self)

    def submit(self, key: str, body: bytes, on_answer: OnAnswer) -> None:
        """Submits a job; `on_answer` gets status, body and time in ms."""
        request = (
            "POST /v1/submissions HTTP/1.1\r\nhost: box\r\n"
            f"authorization: Bearer {self._token}\r\n"
            f"idempotency-key: {key}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        ).encode() + body
        if self._free:
            self._free.popleft().send(request, on_answer)
            return
        connecting = self._endpoint.connect(self)
        connecting.addCallback(lambda conn: conn.send(request, on_answer))
        connecting.addErrback(lambda _: on_answer(0, b"", 0.0))

    def give_back(self, conn: _Caller) -> None:
        """Takes a connection that is free again."""
        self._free.append(conn)

    def forget(self, conn: _Caller) -> None:
        """Forgets a connection that is gone."""
        if conn in self._free:
            self._free.remove(conn)
