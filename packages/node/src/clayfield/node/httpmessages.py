"""Requests and responses of the HTTP server, and the limits of a request."""

import http
import typing
from collections.abc import Callable

if typing.TYPE_CHECKING:
    from clayfield.node.httpconnection import HttpConnection

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


class HttpLimits:
    """The size and time limits of a request.

    Attributes:
        header_bytes: maximum size of the path and of the headers' names and
            values.
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
        headers: values by header name in lower case, of the headers that the
            server was told to keep.
        body: body, empty for none; a handler that has read it may clear it.
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
