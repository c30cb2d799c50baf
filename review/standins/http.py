"""A small HTTP/1.1 server and client on asyncio, for stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable

Handler = Callable[["Request"], Awaitable[tuple[int, dict | None]]]


class Request:
    """A request that has arrived completely."""

    __slots__ = ("body", "headers", "method", "path")

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body)


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[list[str], dict[str, str], bytes]:
    """Returns the parts of the first line, the headers and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split(" ", 2), headers, body


class Server:
    """A server and its open connections."""

    def __init__(self, handle: Handler):
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._on_connection, host, port, backlog=512
        )

    def abort(self) -> None:
        """Stops to listen and resets all connections, as a crash does."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection; a status of 0 gives no answer."""
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                request = Request(first[0], first[1], headers, body)
                status, content = await self._handle(request)
                if not status:
                    await reader.read()
                    return
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection; status 0 means no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
    all_headers = {"Host": f"{host}:{port}", **(headers or {})}
    if body is not None:
        all_headers["Content-Type"] = "application/json"
    lines += [f"{name}: {value}" for name, value in all_headers.items()]
    head = "\r\n".join(lines) + "\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head.encode() + data)
            first, answer_headers, content = await _read_message(reader)
            return int(first[1]), answer_headers, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()
