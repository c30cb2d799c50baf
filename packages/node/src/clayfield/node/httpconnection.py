"""One connection of the HTTP server.

Received bytes are parsed in small pieces: the parser keeps an unfinished line,
so its length has to be bounded before the parser reports it. All that is held
for the client counts against the memory budget of the process.
"""

import collections
import enum
import http
import traceback
import typing

import httptools
from twisted.internet import protocol
from twisted.python import failure

from clayfield.base.turns import Reader
from clayfield.node.budget import Holder
from clayfield.node.httpmessages import (
    TEXT_TYPE,
    HttpRequest,
    render_response,
)

if typing.TYPE_CHECKING:
    from clayfield.node.httpserver import HttpServer

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED = 64
# Least mean rate at which a body may arrive and an answer may be read.
MIN_BYTES_PER_MS = 1.0
# Most bytes that are read from the socket, and that are parsed, at once.
READ_BYTES = 16_384
PIECE_BYTES = 4096
# The parser counts separators and white space as well, and the piece that ends
# an earlier request; names and values alone count against `header_bytes`.
FED_PER_HEAD_BYTE = 2
# Memory of an open connection, and of a request besides its text.
CONNECTION_BYTES = 6144
REQUEST_BYTES = 1024
# After its last answer a connection is read for a while: closing it with unread
# data would reset it, and the client might lose the answer.
LINGER_MS = 1000.0
LINGER_BYTES = 512 * 1024
MS_PER_S = 1000.0
CLOSE = ("Connection", "close")
RETRY_SOON = ("Retry-After", "1")
# Headers that the connection itself reads.
OWN_HEADERS = frozenset(("content-length", "expect"))


class Refusal(enum.StrEnum):
    """The limit because of which a client is refused or disconnected."""

    INVALID = "invalid-request"
    HEAD = "head-size"
    TRAILERS = "trailer-size"
    EMPTY_LINES = "empty-lines"
    BODY = "body-size"
    SLOW = "request-time"
    UNREAD = "answer-time"
    MEMORY = "request-memory"
    CONNECTIONS = "connections"


class HttpConnection(protocol.Protocol, Holder, Reader):
    """One connection, also the callback target of its request parser.

    Attributes:
        last_activity_s: time of the last part of a request or of the last
            response, in s; the time of its opening before.
        has_served: whether it has answered a request.
    """

    def __init__(self, server: "HttpServer", peer: str):
        """Creates the protocol of a connection.

        Args:
            server: the server that accepted it.
            peer: address of the client, for the log.
        """
        self.last_activity_s = 0.0
        self.has_served = False
        self._server = server
        self._guard = server.guard
        self._peer = peer
        # Read for each piece of input, as the configuration may change them.
        self._limits = server.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._unparsed = b""
        self._is_paused = False
        self._queue: collections.deque[HttpRequest] = collections.deque()
        self._queue_bytes = 0
        self._current: HttpRequest | None = None
        self._reset_request()
        self._is_receiving = False
        # Bytes fed to the parser since the last request.
        self._between_fed = 0
        # Whether a request has begun or ended in the piece that is parsed.
        self._is_at_edge = False
        self._is_input_ended = False
        self._is_released = False
        self._last_response = b""
        self._lingers_since_s: float | None = None
        self._lingered_bytes = 0
        self._is_producer = False
        self._blocked_since_s: float | None = None
        self._unsent_bytes = 0

    def _reset_request(self) -> None:
        """Forgets the request that was being received."""
        self._headers: dict[str, str] = {}
        self._path = bytearray()
        self._body = bytearray()
        self._begun_s = 0.0
        self._is_head_complete = False
        self._expects_continue = False
        # Size of the path and of all names and values, also those not kept.
        self._head_bytes = 0
        # Bytes fed to the parser for the head, for all of the request, and
        # since the last byte of its body.
        self._head_fed = 0
        self._request_fed = 0
        self._framing_fed = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return (
            self._current is None
            and not self._queue
            and not self._is_receiving
            and not self._last_response
        )

    @property
    def request_bytes(self) -> int:
        """Bytes that have arrived of the request that is being received."""
        return self._request_fed + len(self._unparsed)

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Registers the connection with the server."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self._is_producer = True
        self.transport.registerProducer(self, True)
        self.last_activity_s = self._server.reactor.seconds()
        self._server.connections.add(self)
        self._update_budget()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Calls `on_disconnected` of each request without a response."""
        self._server.connections.discard(self)
        self._is_input_ended = True
        pending = [self._current] if self._current else []
        pending += self._queue
        self._queue.clear()
        self._current = None
        self._unparsed = b""
        self._reset_request()
        self._guard.budget.update(self, 0)
        for request in pending:
            if not request.has_response and request.on_disconnected:
                request.has_response = True
                request.on_disconnected()

    # Input.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received data, now or when it is this connection's turn."""
        if self._is_input_ended:
            self._drop(len(data))
            return
        self._unparsed += data
        self._guard.turns.submit(self)
        if self._unparsed:
            self._pause_reading()
            self._update_budget()

    def _drop(self, byte_count: int) -> None:
        """Drops data after the end of the input, for a while."""
        if self._lingers_since_s is None:
            # Until the requests before it are answered.
            self._pause_reading()
            return
        self._lingered_bytes += byte_count
        if self._lingered_bytes > LINGER_BYTES:
            self.transport.abortConnection()

    def _pause_reading(self) -> None:
        if not self._is_paused and not self.transport.disconnecting:
            self._is_paused = True
            self.transport.pauseProducing()

    def _resume_reading(self) -> None:
        if self._is_paused and not self.transport.disconnecting:
            self._is_paused = False
            self.transport.resumeProducing()

    @property
    def _is_queue_full(self) -> bool:
        return len(self._queue) >= MAX_PIPELINED or (
            self._queue_bytes > self._limits.body_bytes
        )

    def read_some(self) -> bool:
        """Parses a piece of the received data; rejects an invalid request."""
        if not self._can_parse:
            return False
        piece = self._unparsed[:PIECE_BYTES]
        self._unparsed = self._unparsed[PIECE_BYTES:]
        self._parse(piece)
        if not self._unparsed:
            self._resume_reading()
        return self._can_parse

    @property
    def _can_parse(self) -> bool:
        return (
            bool(self._unparsed)
            and not self._is_input_ended
            and not self._is_queue_full
        )

    def _parse(self, piece: bytes) -> None:
        self._limits = self._server.limits()
        self._is_at_edge = False
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.NOT_IMPLEMENTED, Refusal.INVALID)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST, Refusal.INVALID)
        if not self._is_input_ended:
            self._count_fed(len(piece), len(self._body) > body_bytes)
        self._continue_body()
        self._update_budget()

    def _count_fed(self, byte_count: int, has_body: bool) -> None:
        """Bounds what the parser reads without reporting it.

        Args:
            byte_count: size of the piece that was fed to the parser.
            has_body: whether a part of the body was in it.
        """
        if self._is_receiving or self._is_at_edge:
            self.last_activity_s = self._server.reactor.seconds()
            self._between_fed = 0
        else:
            self._between_fed += byte_count
        if self._is_receiving:
            self._request_fed += byte_count
        if self._is_receiving and not self._is_head_complete:
            self._head_fed += byte_count
        self._framing_fed += byte_count
        if has_body or self._is_at_edge or not self._is_head_complete:
            self._framing_fed = 0
        limit = FED_PER_HEAD_BYTE * self._limits.header_bytes
        limit += PIECE_BYTES
        too_large = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if self._head_fed > limit:
            self._reject(too_large, Refusal.HEAD, self._head_fed, limit)
        elif self._framing_fed > limit:
            self._reject(too_large, Refusal.TRAILERS, self._framing_fed, limit)
        elif self._between_fed > limit:
            self._reject(
                http.HTTPStatus.BAD_REQUEST,
                Refusal.EMPTY_LINES,
                self._between_fed,
                limit,
            )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Handles the start of a request."""
        self._is_at_edge = True
        self._reset_request()
        self._is_receiving = True
        self._begun_s = self._server.reactor.seconds()

    def on_url(self, url: bytes) -> None:
        """Handles a part of the path."""
        self._count_head(len(url))
        if not self._is_input_ended:
            self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header by its name in lower case, if it is one to keep."""
        self._count_head(len(name) + len(value))
        lower_name = name.decode("latin-1").lower()
        if self._is_head_complete or self._is_input_ended:
            return
        if lower_name in OWN_HEADERS or lower_name in self._server.header_names:
            self._headers[lower_name] = value.decode("latin-1")

    def _count_head(self, byte_count: int) -> None:
        """Adds to the size of the head and rejects one over the limit."""
        self._head_bytes += byte_count
        limit = self._limits.header_bytes
        if self._head_bytes > limit:
            self._reject(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                Refusal.HEAD,
                self._head_bytes,
                limit,
            )

    def on_headers_complete(self) -> None:
        """Records whether the client waits for an interim response."""
        self._is_head_complete = True
        self._head_fed = 0
        expectation = self._headers.get("expect", "").lower()
        self._expects_continue = (
            expectation == "100-continue"
            and self._parser.get_http_version() == "1.1"
        )

    def _continue_body(self) -> None:
        """Asks a client that waits with the body to send it, or rejects it.

        Interim responses keep to the order of the responses.
        """
        if not self._expects_continue or self._is_input_ended:
            return
        if self._current is not None or self._queue:
            return
        self._expects_continue = False
        length = int(self._headers.get("content-length", "0"))
        if length > self._limits.body_bytes:
            self._reject_body(length)
        else:
            self.transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Handles a part of the body."""
        self._expects_continue = False
        if self._is_input_ended:
            return
        self._body += body
        if len(self._body) > self._limits.body_bytes:
            self._reject_body(len(self._body))

    def _reject_body(self, byte_count: int) -> None:
        self._reject(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            Refusal.BODY,
            byte_count,
            self._limits.body_bytes,
        )

    def on_message_complete(self) -> None:
        """Handles the end of a request."""
        self._is_at_edge = True
        if self._is_input_ended:
            return
        self._is_receiving = False
        request = HttpRequest(
            self,
            self._parser.get_method().decode("latin-1"),
            self._path.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        self._reset_request()
        if self._can_serve and not self._queue:
            self._serve(request)
        else:
            self._queue.append(request)
            self._queue_bytes += _size_of(request)

    @property
    def _can_serve(self) -> bool:
        """Whether no request is handled and the client reads its answers."""
        return self._current is None and self._blocked_since_s is None

    # Answers.

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
        if request is not self._current:
            return
        self._current = None
        self.has_served = True
        self.last_activity_s = self._server.reactor.seconds()
        if self._server.is_closing:
            head, separator, body = response.partition(b"\r\n\r\n")
            response = head + b"\r\nConnection: close" + separator + body
        if request.method == "HEAD":
            head, separator, _ = response.partition(b"\r\n\r\n")
            response = head + separator
        self._unsent_bytes = len(response)
        self.transport.write(response)
        if self._server.is_closing:
            self.close()
        else:
            self._proceed()

    def _proceed(self) -> None:
        """Goes on with the next request, once the client reads its answers."""
        if self._can_serve:
            if self._queue:
                self._server.reactor.callLater(0, self._serve_next)
            elif self._last_response:
                self._send_last()
            else:
                self._continue_body()
        self._update_budget()

    def _serve_next(self) -> None:
        if not self._queue or not self._can_serve:
            return
        request = self._queue.popleft()
        self._queue_bytes -= _size_of(request)
        self._serve(request)
        if self._can_parse:
            self._guard.turns.submit(self)

    def pauseProducing(self) -> None:  # noqa: N802 - twisted's name
        """Handles that the client does not read its answers in time."""
        self._blocked_since_s = self._server.reactor.seconds()
        self._update_budget()

    def resumeProducing(self) -> None:  # noqa: N802
        """Handles that all answers are sent."""
        self._blocked_since_s = None
        self._unsent_bytes = 0
        self._proceed()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: `connectionLost` is called as well."""

    # The end of the connection.

    def close(self) -> None:
        """Closes the connection after the data already written is sent."""
        self._is_input_ended = True
        self._unregister_producer()
        self.transport.loseConnection()

    def need(self, now_s: float) -> tuple[int, float] | None:
        """Returns how much the connection is needed, for comparison.

        Least needed are those after their last answer, then idle ones, first
        those that never had an answer, then those that send slowest.

        Args:
            now_s: current time, in s.

        Returns:
            None while a request is handled.
        """
        if self._lingers_since_s is not None:
            return 0, self._lingers_since_s
        if self.is_idle:
            return 2 if self.has_served else 1, self.last_activity_s
        if self._current is None and not self._queue:
            return 3, self.rate(now_s)
        return None

    def give_up(self) -> None:
        """Ends the connection in favour of another client."""
        # With an unread answer, closing would wait for the client.
        if self.is_idle and self._blocked_since_s is None:
            self.close()
        else:
            self.transport.abortConnection()

    def _reject(
        self,
        status: http.HTTPStatus,
        reason: Refusal,
        figure: float = 0,
        limit: float = 0,
    ) -> None:
        """Ends the input with an error response, in the order of the answers.

        Args:
            status: HTTP status code.
            reason: the limit that was exceeded.
            figure: the value that exceeded it.
            limit: the limit.
        """
        if not self._is_input_ended:
            self._guard.on_refused(reason, self._peer, figure, limit)
            self._end_input(status)

    def _end_input(self, status: http.HTTPStatus) -> None:
        """Drops the unfinished request; sends an error as the last answer."""
        self._is_input_ended = True
        self._is_receiving = False
        self._unparsed = b""
        self._reset_request()
        headers = (CLOSE,)
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            headers = (CLOSE, RETRY_SOON)
        self._last_response = render_response(status, b"", TEXT_TYPE, headers)
        self._proceed()

    def _send_last(self) -> None:
        """Sends the error response, and reads on until the client closes."""
        if self._lingers_since_s is not None:
            return
        self._lingers_since_s = self._server.reactor.seconds()
        self._unregister_producer()
        self.transport.write(self._last_response)
        self.transport.loseWriteConnection()
        self._resume_reading()

    def _unregister_producer(self) -> None:
        if self._is_producer:
            self._is_producer = False
            self.transport.unregisterProducer()

    def check_timeouts(self, now_s: float) -> None:
        """Closes the connection if it is idle or takes too long."""
        limits = self._server.limits()
        elapsed_ms = (now_s - self.last_activity_s) * MS_PER_S
        if self._lingers_since_s is not None:
            if (now_s - self._lingers_since_s) * MS_PER_S > LINGER_MS:
                self.transport.abortConnection()
        elif self._blocked_since_s is not None:
            self._check_unread(now_s, limits.idle_ms)
        elif self._is_receiving and not self._is_queue_full:
            self._check_arrival(now_s, elapsed_ms, limits.header_ms)
        elif self.is_idle and elapsed_ms > limits.idle_ms:
            self.close()

    def _check_unread(self, now_s: float, limit_ms: float) -> None:
        """Disconnects a client that does not read its answers."""
        blocked_ms = (now_s - self._blocked_since_s) * MS_PER_S
        limit_ms += self._unsent_bytes / MIN_BYTES_PER_MS
        if blocked_ms > limit_ms:
            self._guard.on_refused(
                Refusal.UNREAD, self._peer, blocked_ms, limit_ms
            )
            self.transport.abortConnection()

    def _check_arrival(
        self, now_s: float, elapsed_ms: float, limit_ms: float
    ) -> None:
        """Rejects a request that arrives too slowly.

        Args:
            now_s: current time, in s.
            elapsed_ms: time since the last part of it, in ms.
            limit_ms: longest time without a part, and of the head, in ms.
        """
        arriving_ms = (now_s - self._begun_s) * MS_PER_S
        body_ms = len(self._body) / MIN_BYTES_PER_MS
        is_slow = arriving_ms > limit_ms + body_ms
        if self._unparsed:
            # It has arrived, but there was no time to read it.
            if is_slow:
                self.release()
        elif is_slow or elapsed_ms > limit_ms:
            self._reject(
                http.HTTPStatus.REQUEST_TIMEOUT,
                Refusal.SLOW,
                arriving_ms,
                limit_ms,
            )

    # The memory budget.

    def _update_budget(self) -> None:
        """Reports what is held for the client."""
        held_bytes = CONNECTION_BYTES + len(self._unparsed) + self._queue_bytes
        held_bytes += self._head_fed + self._framing_fed + len(self._body)
        if self._current is not None:
            held_bytes += _size_of(self._current)
        if self._blocked_since_s is not None:
            held_bytes += self._unsent_bytes
        if self in self._server.connections:
            self._guard.budget.update(self, held_bytes)

    @property
    def can_release(self) -> bool:
        """Whether the client sends, waits with requests, or does not read."""
        if self._lingers_since_s is not None or self._is_released:
            return False
        return (
            self._is_receiving
            or bool(self._queue)
            or bool(self._unparsed)
            or self._blocked_since_s is not None
        )

    def rate(self, now_s: float) -> float:
        """Returns how fast it has come to hold that much, in bytes a second."""
        since_s = self._begun_s or self.last_activity_s
        if self._blocked_since_s is not None:
            since_s = self._blocked_since_s
        return self.held_bytes / max(0.001, now_s - since_s)

    def release(self) -> None:
        """Frees what the client has sent, or has not read.

        The requests that wait were not begun, so that the error response holds
        for the first of them.
        """
        self._is_released = True
        self._guard.on_refused(
            Refusal.MEMORY,
            self._peer,
            self.held_bytes,
            self._guard.budget.limit_bytes,
        )
        self._queue.clear()
        self._queue_bytes = 0
        if self._blocked_since_s is not None:
            self._unsent_bytes = 0
            self.transport.abortConnection()
        else:
            self._end_input(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self._update_budget()


def _size_of(request: HttpRequest) -> int:
    """Returns the memory of a complete request, in bytes."""
    return REQUEST_BYTES + len(request.path) + len(request.body)
