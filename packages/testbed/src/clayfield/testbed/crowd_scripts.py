"""What clients of a crowd send: requests that are legal, large or unfinished.

Each function returns the bytes of a request, or a script: a function that
returns the parts that one client sends.
"""

import itertools
import json

from clayfield.testbed.crowds import (
    Script,
    chunk,
    content_length,
    head,
    repeat,
    split,
)

# The limits of a request in the native configuration.
BODY_BYTES = 262_144
HEAD_BYTES = 16_384
ENDLESS_BYTES = 4 * 1024 * 1024
JOBS_PATH = b"/v1/queues/fast/jobs/"
CHUNKED = b"Transfer-Encoding: chunked"


def put(path: bytes, *lines: bytes) -> bytes:
    """Returns the head of a PUT request."""
    return head(b"PUT", path, *lines)


def unfinished_body(
    path: bytes, size: int, split_bytes: int | None = None
) -> Script:
    """Returns a request whose body lacks its last byte."""
    start = put(path, content_length(size))
    body = b" " * (size - 1)
    if split_bytes:
        return lambda: itertools.chain([start], split(body, split_bytes))
    return lambda: [start, body]


def unfinished_chunks(path: bytes, size: int, chunk_bytes: int) -> Script:
    """Returns a request whose chunked body has no last chunk."""
    start = put(path, CHUNKED)
    count, rest = divmod(size - 1, chunk_bytes)
    body = chunk(b" " * chunk_bytes) * count
    body += chunk(b" " * rest) if rest else b""
    return lambda: [start, body]


def endless(start: bytes, part: bytes) -> Script:
    """Returns a request of which one part goes on without end."""
    return lambda: itertools.chain([start], repeat(part, ENDLESS_BYTES))


def many_headers(path: bytes) -> Script:
    """Returns a head with as many headers as its size permits, but no end."""
    lines = [b"%04x:" % n for n in range(HEAD_BYTES // 4 - 96)]
    text = head(b"PUT", path, *lines, is_complete=False)
    return lambda: [text]


def pipelined(request: bytes, count: int) -> Script:
    """Returns a script that sends one request several times."""
    return lambda: itertools.repeat(request, count)


def padded(job: object, size: int) -> bytes:
    """Returns a job as JSON of a given size."""
    return json.dumps(job).encode().ljust(size)


def put_job(key: bytes, body: bytes) -> bytes:
    """Returns a request that submits a job."""
    return put(JOBS_PATH + key, content_length(len(body))) + body


def job_of_steps(count: int) -> str:
    """Returns a job whose steps run one after the other."""
    steps = [{"count": 1, "cpu": 6800}]
    steps += [{"count": 1, "cpu": 6800, "after": [n]} for n in range(count - 1)]
    return json.dumps({"spec": "", "steps": steps}, separators=(",", ":"))


def jobs_of_steps(count: int) -> Script:
    """Returns a script that puts a job with a key of its own each time."""
    keys = itertools.count()
    body = job_of_steps(count).encode()
    assert len(body) <= BODY_BYTES

    def script() -> list[bytes]:
        start = put(
            JOBS_PATH + b"steps-%d" % next(keys), content_length(len(body))
        )
        return [start, body]

    return script
