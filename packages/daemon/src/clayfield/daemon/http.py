"""HTTP server parts shared by the ports for callers and operators."""

import hashlib
from collections.abc import Callable

import msgspec
from twisted.internet import interfaces
from twisted.web import http, resource, server

from clayfield.base import ClayfieldError, ErrorKind, Problem
from clayfield.base.events import Event, emit
from clayfield.dispatch import render_problem, retry_after_s

JSON_TYPE = b"application/json"
PROBLEM_TYPE = b"application/problem+json"
BEARER = "Bearer "
MS_PER_S = 1000.0
HTTP_OK = 200
LINGER_S = 2.0


class LimitedRequest(server.Request):
    """A request that must arrive within the limits of `RequestLimits`."""

    def __init__(
        self, channel: http.HTTPChannel, queued: object = http._QUEUED_SENTINEL
    ):
        super().__init__(channel, queued)
        self._received_bytes = 0
        self._is_refused = False
        self._timer: interfaces.IDelayedCall | None = None

    @property
    def _limits(self) -> "RequestLimits":
        return self.channel.factory.limits

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Starts the time limit; refuses a declared length over the limit."""
        limits = self._limits
        if not self.startedWriting and self._timer is None:
            self._timer = limits.reactor.callLater(
                limits.request_ms / MS_PER_S, self._on_timeout
            )
        if length is not None and length > limits.body_bytes():
            super().gotLength(0)
            self._refuse(
                ErrorKind.TOO_LARGE,
                f"body_bytes {limits.body_bytes()}",
            )
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Stores a part of the body; refuses one over the limit."""
        self._received_bytes += len(data)
        if self._is_refused:
            return
        if self._received_bytes > self._limits.body_bytes():
            detail = f"body_bytes {self._limits.body_bytes()}"
            self._refuse(ErrorKind.TOO_LARGE, detail)
            return
        super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles a complete request."""
        self._cancel_timer()
        if self._is_refused:
            self.channel.loseConnection()
            return
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Cancels the time limit."""
        self._cancel_timer()
        super().connectionLost(reason)

    def _cancel_timer(self) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _on_timeout(self) -> None:
        self._refuse(
            ErrorKind.TOO_SLOW, f"request_ms {self._limits.request_ms}"
        )

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        """Sends an error before the request is complete, then closes.

        Further data is read and dropped for `LINGER_S`: closing a connection
        with unread data resets it, and the client may lose the response.
        """
        self._cancel_timer()
        if self.startedWriting or self.channel is None:
            return
        self._is_refused = True
        outcome = render_problem(Problem(kind, detail))
        head = (
            f"HTTP/1.1 {outcome.status} {kind.title}\r\n"
            "content-type: application/problem+json\r\n"
            f"content-length: {len(outcome.body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.startedWriting = 1
        self.channel.transport.write(head.encode() + outcome.body)
        self._timer = self._limits.reactor.callLater(LINGER_S, self._close)

    def _close(self) -> None:
        if self.channel:
            self.channel.loseConnection()


class RequestLimits:
    """Limits on the size and duration of a request.

    Attributes:
        reactor: twisted's reactor.
        body_bytes: returns the largest allowed body, in bytes.
        request_ms: time limit for the whole request to arrive, in ms.
        header_bytes: largest allowed total of the headers, in bytes.
    """

    __slots__ = ("body_bytes", "header_bytes", "reactor", "request_ms")

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        body_bytes: Callable[[], int],
        request_ms: int,
        header_bytes: int,
    ):
        self.reactor = reactor
        self.body_bytes = body_bytes
        self.request_ms = request_ms
        self.header_bytes = header_bytes


class LimitedSite(server.Site):
    """A site that applies `RequestLimits` to its requests."""

    def __init__(self, root: resource.Resource, limits: RequestLimits):
        super().__init__(root, requestFactory=LimitedRequest)
        self.limits = limits
        self.displayTracebacks = False

    def buildProtocol(self, addr: object) -> interfaces.IProtocol:  # noqa: N802
        """Returns the protocol of a new connection."""
        channel = super().buildProtocol(addr)
        channel.totalHeadersSize = self.limits.header_bytes
        return channel

    def log(self, request: http.Request) -> None:
        """Writes no access log; requests are covered by metrics and traces."""


class ProblemResource(resource.Resource):
    """A resource that reports errors as problem documents (RFC 9457)."""

    isLeaf = True  # noqa: N815 - twisted's name

    def render(self, request: http.Request) -> bytes | int:
        """Handles a request and turns exceptions into error responses."""
        try:
            method = request.method.decode("ascii", "replace")
            method_handler = getattr(self, f"render_{method}", None)
            if method_handler is None:
                request.setResponseCode(http.NOT_ALLOWED)
                return b""
            return method_handler(request)
        except ClayfieldError as exc:
            return write_problem(request, exc.problem)
        except Exception as exc:
            emit(Event.INTERNAL, error=repr(exc))
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
            return b""


class GetResource(ProblemResource):
    """A resource whose GET returns the result of a function."""

    def __init__(self, get: Callable[[http.Request], bytes]):
        super().__init__()
        self._get = get

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Returns the response body."""
        return self._get(request)


def write_problem(request: http.Request, problem: Problem) -> bytes:
    """Sets status and headers for a problem; returns the body."""
    outcome = render_problem(problem)
    request.setResponseCode(outcome.status)
    request.setHeader(b"content-type", PROBLEM_TYPE)
    if problem.retry_after_ms is not None:
        retry_after = str(retry_after_s(problem.retry_after_ms))
        request.setHeader(b"retry-after", retry_after.encode())
    return outcome.body


def write_json(request: http.Request, value: object) -> bytes:
    """Sets the headers of a JSON response; returns the body."""
    request.setHeader(b"content-type", JSON_TYPE)
    return msgspec.json.encode(value)


def read_json(body: bytes, decoder: msgspec.json.Decoder) -> object:
    """Returns the decoded value of a JSON body.

    Raises:
        ClayfieldError: of kind BAD_JSON or BAD_FIELD.
    """
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as exc:
        raise ClayfieldError(ErrorKind.BAD_FIELD, f"{exc}.") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(ErrorKind.BAD_JSON, f"{exc}.") from exc


def token_hash(request: http.Request) -> str:
    """Returns the SHA-256 of the bearer token in hex, "" without one."""
    text = request.getHeader("authorization") or ""
    if not text.startswith(BEARER):
        return ""
    token = text.removeprefix(BEARER).strip()
    return hashlib.sha256(token.encode()).hexdigest()
