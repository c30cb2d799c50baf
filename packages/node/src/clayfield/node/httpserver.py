"""A small HTTP/1.1 server: the httptools parser on a twisted transport.

The requests of one connection are handled one at a time, in the order of
their arrival. It is used instead of twisted.web, which is too slow for the
request path.
"""

import collections
import http
import traceback
from collections.abc import Callable

import httptools
from twisted.internet import interfaces, protocol
from twisted.python import failure

from clayfield.base import MonotonicClock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.node.listening import Listener

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED = 64
# Least mean rate at which a body may arrive.
MIN_BODY_BYTES_PER_MS = 1.0
# Least time between two log lines about the same exception.
LOG_INTERVAL_MS = 1000.0


class HttpLimits:
    """The size and time limits of a request.

    Attributes:
        header_bytes: maximum size of the path and the headers.
        body_bytes: maximum size of the body.
        header_ms: maximum time for the head of a request to arrive, and
            without data while its body arrives.
        idle_ms: maximum idle time of a connection between requests.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_ms", "idle_ms")

    def __init__(
        self,
        header_bytes: int = 16384,
        body_bytes: int = 262144,
        header_ms: float = 3000.0,
        idle_ms: float = 15000.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_ms = header_ms
        self.idle_ms = idle_ms


class HttpRequest:
    """A request that has arrived completely.

    Attributes:
        method: HTTP method in upper case.
        path: path with the query string.
        headers: values by header name in lower case.
        body: body, empty for none.
        on_disconnected: called if the connection is lost before the response,
            None for no call.
        has_response: whether a response was given or the connection was lost.
    """

    __slots__ = (
        "_connection",
        "body",
        "headers",
        "has_response",
        "method",
        "on_disconnected",
        "path",
    )

    def __init__(
        self,
        connection: "HttpConnection",
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ):
        self._connection = connection
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.on_disconnected: Callable[[], None] | None = None
        self.has_response = False

    def respond(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Sends the response; a second one is ignored.

        Args:
            status: HTTP status code.
            body: body, empty for none.
            content_type: value of Content-Type, if there is a body.
            headers: further headers, pairs of name and value.
        """
        if self.has_response:
            return
        self.has_response = True
        self._connection.write_response(
            self, render_response(status, body, content_type, headers)
        )


def render_response(
    status: int,
    body: bytes,
    content_type: str,
    headers: tuple[tuple[str, str], ...],
) -> bytes:
    """Returns the bytes of a response.

    Args:
        status: HTTP status code.
        body: body, empty for none.
        content_type: value of Content-Type, if there is a body.
        headers: further headers, pairs of name and value.
    """
    reason = http.HTTPStatus(status).phrase
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    if body:
        lines.append(f"Content-Type: {content_type}")
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join(lines) + "\r\n"
    return head.encode() + b"\r\n" + body


class HttpConnection(protocol.Protocol):
    """One connection, also the callback target of its request parser."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._headers: dict[str, str] = {}
        self._path = bytearray()
        self._body = bytearray()
        self._head_bytes = 0
        self._is_receiving = False
        self._expects_continue = False
        self._is_closing = False
        self._deadline: interfaces.IDelayedCall | None = None
        self._last_activity_s = 0.0
        self._begun_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return self._current is None and not self._is_receiving

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Registers the connection with the server."""
        self.transport.setTcpNoDelay(True)
        self._last_activity_s = self._server.reactor.seconds()
        self._server.connections.add(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Calls `on_disconnected` of each request without a response."""
        self._server.connections.discard(self)
        self._is_closing = True
        pending = [self._current] if self._current else []
        pending += self._queue
        self._queue.clear()
        self._current = None
        for request in pending:
            if not request.has_response and request.on_disconnected:
                request.has_response = True
                request.on_disconnected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses a part of a request; rejects an invalid one."""
        if self._is_closing:
            return
        self._last_activity_s = self._server.reactor.seconds()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        self._continue_body()

    def check_timeouts(self, now_s: float) -> None:
        """Closes the connection if it is idle or receives for too long."""
        elapsed_ms = (now_s - self._last_activity_s) * 1000.0
        limits = self._server.limits()
        if self._is_receiving:
            arriving_ms = (now_s - self._begun_s) * 1000.0
            body_ms = len(self._body) / MIN_BODY_BYTES_PER_MS
            is_slow = arriving_ms > limits.header_ms + body_ms
            if is_slow or elapsed_ms > limits.header_ms:
                self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self.is_idle and elapsed_ms > limits.idle_ms:
            self.close()

    def close(self) -> None:
        """Closes the connection after the data already written is sent."""
        self._is_closing = True
        self.transport.loseConnection()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Handles the start of a request."""
        self._is_receiving = True
        self._begun_s = self._server.reactor.seconds()
        self._expects_continue = False
        self._headers = {}
        self._path.clear()
        self._body.clear()
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Handles a part of the path."""
        self._path += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header of the request by its name in lower case."""
        self._count_head(len(name) + len(value))
        lower_name = name.decode("latin-1").lower()
        self._headers[lower_name] = value.decode("latin-1")

    def _count_head(self, byte_count: int) -> None:
        """Adds to the size of the head and rejects one over the limit."""
        self._head_bytes += byte_count
        if self._head_bytes > self._server.limits().header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Records whether the client waits for an interim response."""
        expectation = self._headers.get("expect", "").lower()
        self._expects_continue = (
            expectation == "100-continue"
            and self._parser.get_http_version() == "1.1"
        )

    def _continue_body(self) -> None:
        """Asks a client that waits with the body to send it, or rejects it.

        Interim responses keep to the order of the responses.
        """
        if not self._expects_continue or self._is_closing or self._current:
            return
        self._expects_continue = False
        length = int(self._headers.get("content-length", "0"))
        if length > self._server.limits().body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self.transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Handles a part of the body."""
        self._expects_continue = False
        if self._is_closing:
            return
        self._body += body
        if len(self._body) > self._server.limits().body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Handles the end of a request."""
        if self._is_closing:
            return
        self._is_receiving = False
        self._expects_continue = False
        request = HttpRequest(
            self,
            self._parser.get_method().decode("latin-1"),
            self._path.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        if len(self._queue) >= MAX_PIPELINED:
            self._reject(http.HTTPStatus.TOO_MANY_REQUESTS)
        elif self._current is None:
            self._serve(request)
        else:
            self._queue.append(request)

    def _serve(self, request: HttpRequest) -> None:
        """Passes a request on; responds with an error if that raises."""
        self._current = request
        try:
            self._server.handle(request)
        except Exception:
            self._server.log_failure(traceback.format_exc(limit=-4))
            request.respond(http.HTTPStatus.INTERNAL_SERVER_ERROR)

    def write_response(self, request: HttpRequest, response: bytes) -> None:
        """Writes the response to the request that is being handled."""
        if request is not self._current or self._is_closing:
            return
        self._current = None
        self._last_activity_s = self._server.reactor.seconds()
        if self._server.is_closing:
            head, separator, body = response.partition(b"\r\n\r\n")
            response = head + b"\r\nConnection: close" + separator + body
        if request.method == "HEAD":
            head, separator, _ = response.partition(b"\r\n\r\n")
            response = head + separator
        self.transport.write(response)
        if self._server.is_closing:
            self.close()
        elif self._queue:
            self._server.reactor.callLater(0, self._serve_next)
        else:
            self._continue_body()

    def _serve_next(self) -> None:
        if self._queue and self._current is None:
            self._serve(self._queue.popleft())

    def _reject(self, status: http.HTTPStatus) -> None:
        """Responds with an error status and closes the connection."""
        if self._is_closing:
            return
        self._is_closing = True
        headers = (("Connection", "close"),)
        self.transport.write(render_response(status, b"", TEXT_TYPE, headers))
        self.transport.loseConnection()


class HttpServer(protocol.Factory):
    """Serves HTTP at one address.

    Attributes:
        reactor: the twisted reactor.
        handle: called with each complete request.
        limits: returns the current limits.
        connections: the open connections.
        is_closing: whether a connection closes after its next response.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        handle: Callable[[HttpRequest], None],
        limits: Callable[[], HttpLimits],
    ):
        self.reactor = reactor
        self.handle = handle
        self.limits = limits
        self.connections: set[HttpConnection] = set()
        self.is_closing = False
        self._failures = RepeatFilter(MonotonicClock(), LOG_INTERVAL_MS)
        self._listener = Listener(reactor, self)

    def buildProtocol(self, addr: object) -> HttpConnection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return HttpConnection(self)

    def listen(self, address: tuple[str, int]) -> None:
        """Starts to listen, now or as soon as the address is free.

        Args:
            address: IP address and port; port 0 for any free one.

        Raises:
            twisted.internet.error.CannotListenError: the address can't be
                used, though no other socket has it.
        """
        self._listener.start(address)

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._listener.is_listening

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self._listener.port

    def log_failure(self, error: str) -> None:
        """Logs an exception of the handler, unless done lately."""
        if self._failures.is_due(error):
            emit(Event.INTERNAL, error=error)

    def check_timeouts(self) -> None:
        """Closes connections over a time limit; to be called periodically."""
        now_s = self.reactor.seconds()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)

    def begin_close(self) -> None:
        """Makes each connection close after its next response."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop(self) -> None:
        """Stops accepting connections; the open ones stay open."""
        self._listener.stop()
