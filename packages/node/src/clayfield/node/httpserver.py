"""A small HTTP/1.1 server: the httptools parser on a twisted transport.

Requests of one connection are answered in the order in which they came, one
at a time. docs/design/path.md has the figures that speak against twisted.web
on the path of requests.
"""

import collections
import http
from collections.abc import Callable

import httptools
from twisted.internet import interfaces, protocol
from twisted.python import failure

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
MAX_PIPELINED = 64


class HttpBounds:
    """The bounds of one request.

    Attributes:
        header_bytes: most bytes of its head.
        body_bytes: most bytes of its body.
        header_ms: time for the whole request to arrive once it has begun.
        idle_ms: how long a connection may rest between requests.
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
    """One request that has arrived whole.

    Attributes:
        method: in capitals.
        path: with its query.
        headers: by name in lower case.
        body: the body.
        on_disconnected: called when the caller leaves before it is answered.
        is_answered: whether it is answered already.
    """

    __slots__ = (
        "_connection",
        "body",
        "headers",
        "is_answered",
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
        self.is_answered = False

    def answer(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Answers; a second answer is dropped."""
        if self.is_answered:
            return
        self.is_answered = True
        self._connection.write_response(
            self, render_response(status, body, content_type, headers)
        )


def render_response(
    status: int,
    body: bytes,
    content_type: str,
    headers: tuple[tuple[str, str], ...],
) -> bytes:
    """Returns an answer's bytes, without the line that ends its head."""
    reason = http.HTTPStatus(status).phrase
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    if body:
        lines.append(f"Content-Type: {content_type}")
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join(lines) + "\r\n"
    return head.encode() + b"\r\n" + body


class HttpConnection(protocol.Protocol):
    """One connection of a caller."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._headers: dict[str, str] = {}
        self._path = bytearray()
        self._body = bytearray()
        self._head_bytes = 0
        self._is_begun = False
        self._is_closing = False
        self._deadline: interfaces.IDelayedCall | None = None
        self._since_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is being read or answered."""
        return self._current is None and not self._is_begun

    def connectionMade(self) -> None:  # noqa: N802 - twisted's name
        """Prepares for requests."""
        self.transport.setTcpNoDelay(True)
        self._since_s = self._server.reactor.seconds()
        self._server.connections.add(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Tells whoever works on a request that its caller is gone."""
        self._server.connections.discard(self)
        self._is_closing = True
        pending = [self._current] if self._current else []
        pending += self._waiting
        self._waiting.clear()
        self._current = None
        for request in pending:
            if not request.is_answered and request.on_disconnected:
                request.is_answered = True
                request.on_disconnected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes."""
        if self._is_closing:
            return
        self._since_s = self._server.reactor.seconds()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(http.HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError:
            self._refuse(http.HTTPStatus.BAD_REQUEST)

    def check(self, now_s: float) -> None:
        """Ends a connection that rests or dawdles for too long."""
        waited_ms = (now_s - self._since_s) * 1000.0
        bounds = self._server.bounds()
        if self._is_begun and waited_ms > bounds.header_ms:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self.is_idle and waited_ms > bounds.idle_ms:
            self.close()

    def close(self) -> None:
        """Ends the connection."""
        self._is_closing = True
        self.transport.loseConnection()

    # Calls of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._is_begun = True
        self._headers = {}
        self._path.clear()
        self._body.clear()
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the path."""
        self._path += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._count_head(len(name) + len(value))
        text = name.decode("latin-1").lower()
        self._headers[text] = value.decode("latin-1")

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.bounds().header_bytes:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        if self._is_closing:
            return
        self._body += body
        if len(self._body) > self._server.bounds().body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Takes the end of a request."""
        if self._is_closing:
            return
        self._is_begun = False
        request = HttpRequest(
            self,
            self._parser.get_method().decode("latin-1"),
            self._path.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        if len(self._waiting) >= MAX_PIPELINED:
            self._refuse(http.HTTPStatus.TOO_MANY_REQUESTS)
        elif self._current is None:
            self._serve(request)
        else:
            self._waiting.append(request)

    def _serve(self, request: HttpRequest) -> None:
        self._current = request
        self._server.handle(request)

    def write_response(self, request: HttpRequest, answer: bytes) -> None:
        """Writes the answer to the request that is being served."""
        if request is not self._current or self._is_closing:
            return
        self._current = None
        self._since_s = self._server.reactor.seconds()
        if self._server.is_closing:
            head, separator, body = answer.partition(b"\r\n\r\n")
            answer = head + b"\r\nConnection: close" + separator + body
        self.transport.write(answer)
        if self._server.is_closing:
            self.close()
        elif self._waiting:
            self._server.reactor.callLater(0, self._serve_next)

    def _serve_next(self) -> None:
        if self._waiting and self._current is None:
            self._serve(self._waiting.popleft())

    def _refuse(self, status: http.HTTPStatus) -> None:
        """Answers a request that cannot be read, and ends the connection."""
        if self._is_closing:
            return
        self._is_closing = True
        headers = (("Connection", "close"),)
        self.transport.write(render_response(status, b"", TEXT_TYPE, headers))
        self.transport.loseConnection()


class HttpServer(protocol.Factory):
    """Serves HTTP at one address.

    Attributes:
        reactor: of twisted.
        handle: called with each whole request.
        bounds: returns the bounds in force.
        connections: those that are open.
        is_closing: whether each answer is the last of its connection.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        handle: Callable[[HttpRequest], None],
        bounds: Callable[[], HttpBounds],
    ):
        self.reactor = reactor
        self.handle = handle
        self.bounds = bounds
        self.connections: set[HttpConnection] = set()
        self.is_closing = False
        self._port: interfaces.IListeningPort | None = None

    def buildProtocol(self, addr: object) -> HttpConnection:  # noqa: N802
        """Makes a connection's protocol."""
        return HttpConnection(self)

    def listen(self, place: tuple[str, int]) -> None:
        """Starts to listen.

        Raises:
            twisted.internet.error.CannotListenError: the address is taken.
        """
        host, port = place
        self._port = self.reactor.listenTCP(
            port, self, backlog=1024, interface=host
        )

    @property
    def port(self) -> int:
        """The port that it listens at."""
        return self._port.getHost().port

    def check(self) -> None:
        """Ends connections that rest or dawdle; to be called now and then."""
        now_s = self.reactor.seconds()
        for connection in list(self.connections):
            connection.check(now_s)

    def begin_close(self) -> None:
        """Makes each answer from now on the last of its connection."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Ends the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop(self) -> None:
        """Listens no more."""
        if self._port:
            self._port.stopListening()
            self._port = None
