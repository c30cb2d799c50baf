"""HTTP/1.1 with JSON bodies, as far as the stand-ins need it."""

import asyncio
import json

CONNECT_TIMEOUT_S = 1.0
NO_ANSWER = 0


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Returns start line, headers and body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def render(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a request or an answer."""
    lines = [start, f"Content-Length: {len(body)}"]
    if body:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    content: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, bytes, dict[str, str]]:
    """Sends a request on a connection of its own.

    Returns:
        Status, body and headers; status `NO_ANSWER` without a whole answer.
    """
    body = b"" if content is None else json.dumps(content).encode()
    fields = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
    request = render(f"{method} {path} HTTP/1.1", fields, body)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request)
                answer = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return NO_ANSWER, b"", {}
    if answer is None:
        return NO_ANSWER, b"", {}
    first, answer_headers, answer_body = answer
    return int(first.split()[1]), answer_body, answer_headers
