"""What the HTTP sides for callers and operators share."""

import hashlib
from collections.abc import Callable

import msgspec
from twisted.internet import interfaces
from twisted.web import http, resource, server

from clayfield.base import ClayfieldError, Kind, Problem
from clayfield.base.events import Event, emit
from clayfield.dispatch import render_problem, retry_after_s

JSON_TYPE = b"application/json"
PROBLEM_TYPE = b"application/problem+json"
BEARER = "Bearer "
MS_PER_S = 1000.0
HTTP_OK = 200
LINGER_S = 2.0


class LimitedRequest(server.Request):
    """A request that must arrive within its bounds."""

    def __init__(
        self, channel: http.HTTPChannel, queued: object = http._QUEUED_SENTINEL
    ):
        super().__init__(channel, queued)
        self._taken = 0
        self._is_refused = False
        self._timer: interfaces.IDelayedCall | None = None

    @property
    def _limits(self) -> "RequestLimits":
        return self.channel.factory.limits

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Learns how long the body will be, or that it is in chunks."""
        limits = self._limits
        if not self.startedWriting and self._timer is None:
            self._timer = limits.reactor.callLater(
                limits.request_ms / MS_PER_S, self._on_too_slow
            )
        if length is not None and length > limits.body_bytes():
            super().gotLength(0)
            self._refuse(Kind.TOO_LARGE, f"body_bytes {limits.body_bytes()}")
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a piece of the body."""
        self._taken += len(data)
        if self._is_refused:
            return
        if self._taken > self._limits.body_bytes():
            detail = f"body_bytes {self._limits.body_bytes()}"
            self._refuse(Kind.TOO_LARGE, detail)
            return
        super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles the request once it is whole."""
        self._cancel_timer()
        if self._is_refused:
            self.channel.loseConnection()
            return
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Learns that the caller is gone."""
        self._cancel_timer()
        super().connectionLost(reason)

    def _cancel_timer(self) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _on_too_slow(self) -> None:
        self._refuse(Kind.TOO_SLOW, f"request_ms {self._limits.request_ms}")

    def _refuse(self, kind: Kind, detail: str) -> None:
        """Answers before the request is whole, and ends the connection.

        What the caller still sends is read and dropped for a while, since
        closing at once could keep the answer from reaching it.
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
        self._timer = self._limits.reactor.callLater(LINGER_S, self._end)

    def _end(self) -> None:
        if self.channel:
            self.channel.loseConnection()


class RequestLimits:
    """The bounds of one request.

    Attributes:
        reactor: of twisted.
        body_bytes: returns the most bytes of a body.
        request_ms: time for the whole request to arrive.
        header_bytes: most bytes of headers.
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
    """A site whose requests are bounded."""

    def __init__(self, root: resource.Resource, limits: RequestLimits):
        super().__init__(root, requestFactory=LimitedRequest)
        self.limits = limits
        self.displayTracebacks = False

    def buildProtocol(self, addr: object) -> interfaces.IProtocol:  # noqa: N802
        """Makes a connection's protocol."""
        channel = super().buildProtocol(addr)
        channel.totalHeadersSize = self.limits.header_bytes
        return channel

    def log(self, request: http.Request) -> None:
        """Logs nothing: metrics count requests, and traces follow them."""


class Endpoint(resource.Resource):
    """A resource whose errors are problem documents."""

    isLeaf = True  # noqa: N815 - twisted's name

    def render(self, request: http.Request) -> bytes | int:
        """Answers a request, also when answering it fails."""
        try:
            method = request.method.decode("ascii", "replace")
            answer = getattr(self, f"render_{method}", None)
            if answer is None:
                request.setResponseCode(http.NOT_ALLOWED)
                return b""
            return answer(request)
        except ClayfieldError as exc:
            return write_problem(request, exc.problem)
        except Exception as exc:
            emit(Event.INTERNAL, error=repr(exc))
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
            return b""


class Leaf(Endpoint):
    """A resource that answers GET with what a function returns."""

    def __init__(self, get: Callable[[http.Request], bytes]):
        super().__init__()
        self._get = get

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Answers."""
        return self._get(request)


def write_problem(request: http.Request, problem: Problem) -> bytes:
    """Writes a problem's status and headers; returns its body."""
    outcome = render_problem(problem)
    request.setResponseCode(outcome.status)
    request.setHeader(b"content-type", PROBLEM_TYPE)
    if problem.retry_after_ms is not None:
        after_s = str(retry_after_s(problem.retry_after_ms))
        request.setHeader(b"retry-after", after_s.encode())
    return outcome.body


def write_json(request: http.Request, value: object) -> bytes:
    """Writes the headers of a JSON answer; returns its body."""
    request.setHeader(b"content-type", JSON_TYPE)
    return msgspec.json.encode(value)


def read_json(body: bytes, decoder: msgspec.json.Decoder) -> object:
    """Returns the value of a JSON body.

    Raises:
        ClayfieldError: of kind BAD_JSON or BAD_FIELD.
    """
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as exc:
        raise ClayfieldError(Kind.BAD_FIELD, f"{exc}.") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(Kind.BAD_JSON, f"{exc}.") from exc


def token_hash(request: http.Request) -> str:
    """Returns the hash of a request's bearer token, "" when it has none."""
    text = request.getHeader("authorization") or ""
    if not text.startswith(BEARER):
        return ""
    token = text.removeprefix(BEARER).strip()
    return hashlib.sha256(token.encode()).hexdigest()
