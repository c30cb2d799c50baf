"""One connection of the HTTP server."""

import collections
import http
import traceback
import typing

import httptools
from twisted.internet import interfaces, protocol
from twisted.python import failure

from clayfield.node.httpmessages import (
    TEXT_TYPE,
    HttpRequest,
    render_response,
)

if typing.TYPE_CHECKING:
    from clayfield.node.httpserver import HttpServer

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED = 64
# Least mean rate at which a body may arrive.
MIN_BODY_BYTES_PER_MS = 1.0


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
