"""Tests of nodes beside crowds of clients that don't behave.

They guard against a process that runs out of memory or of descriptors, or that
no longer serves ordinary callers, because of what such clients send and hold.
Crowds and bounds are fixed; neither times nor shares of served requests count.
"""

import json
import socket
import threading

import pytest

from clayfield.testbed import crowds
from clayfield.testbed.crowd_scripts import (
    BODY_BYTES,
    CHUNKED,
    ENDLESS_BYTES,
    HEAD_BYTES,
    JOBS_PATH,
    endless,
    job_of_steps,
    jobs_of_steps,
    many_headers,
    padded,
    pipelined,
    put,
    put_job,
    unfinished_body,
    unfinished_chunks,
)
from clayfield.testbed.crowds import Crowd, chunk, content_length, head
from clayfield.testbed.node_processes import LOOPBACK
from clayfield.testbed.node_site import JOB, ROUTING, ROUTING_PATH, NodeSite
from clayfield.testbed.processes import wait_for

# What a node may use in these tests.
MEMORY_MB = 128
DESCRIPTORS = 1000
LIMITS = (f"--memory-mb={MEMORY_MB}", f"--max-descriptors={DESCRIPTORS}")
SAMPLE_INTERVAL_S = 0.01

DOCUMENT_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 4096
CHUNK_BYTES = 65_536
FRAME_BYTES = 16 * 1024 * 1024


@pytest.fixture
def site(tmp_path):
    started = NodeSite(tmp_path, LIMITS)
    try:
        started.start()
        yield started
    finally:
        started.stop()


class DescriptorWatch:
    """Records the most descriptors that a process has open at once."""

    def __init__(self, node):
        self.most = 0
        self._node = node
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._ended.set()
        self._thread.join()

    def _sample(self):
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            try:
                self.most = max(self.most, self._node.descriptors)
            except OSError:
                return


HEAD_VALUE = head(b"GET", b"/", is_complete=False) + b"X: "
HEAD_NAME = head(b"GET", b"/", is_complete=False)
TRAILER = put(JOBS_PATH + b"k", CHUNKED) + chunk(b" ") + b"0\r\nX: "
PIECE = b"x" * CHUNK_BYTES
SLOW_JOB = {
    "spec": "",
    "steps": [{"count": 200, "cpu": 6800, "estimate_ms": 20}],
}


def _crowd_rows():
    """Returns listener, name, number of clients and script of each crowd."""
    key_path = JOBS_PATH + b"k"
    for listener in ("callers", "operators"):
        path = key_path if listener == "callers" else ROUTING_PATH
        size = BODY_BYTES if listener == "callers" else DOCUMENT_BYTES
        count = 600 if listener == "callers" else 40
        yield listener, "bodies", count, unfinished_body(path, size)
        yield (
            listener,
            "bodies-in-pieces",
            count,
            unfinished_body(path, size, PIECE_BYTES),
        )
        yield (
            listener,
            "large-chunks",
            count,
            unfinished_chunks(path, size, CHUNK_BYTES),
        )
        yield (
            listener,
            "many-headers",
            400,
            many_headers(path),
        )
    for listener in (
        "callers",
        "readiness",
        "entry-metrics",
        "operators",
        "control-metrics",
    ):
        yield listener, "header-value", 80, endless(HEAD_VALUE, PIECE)
        yield listener, "header-name", 80, endless(HEAD_NAME, PIECE)
        yield listener, "trailer", 80, endless(TRAILER, PIECE)


CROWDS = list(_crowd_rows())


def _check(site, listener, crowd):
    """Plays a crowd and checks what must hold beside it and after it.

    Returns:
        Number of clients that were disconnected before they had sent all.
    """
    node, _ = site.listener(listener)
    with DescriptorWatch(node) as watch:
        with crowd:
            crowd.play()
            cut_off_count = crowd.cut_off_count
            wait_for(lambda: site.serves(listener), "served beside the crowd")
            wait_for(lambda: site.serves("callers"), "a job beside the crowd")
        wait_for(lambda: site.serves(listener), "served after the crowd")
        wait_for(lambda: site.serves("callers"), "a job after the crowd")
    assert site.entry.is_running
    assert site.control.is_running
    figures = f"{node.peak_mb:.0f} MB, {watch.most} descriptors"
    assert node.peak_mb < MEMORY_MB, figures
    assert watch.most < DESCRIPTORS, figures
    # A process that stands still loses its streams to other nodes.
    for other in (site.entry, site.control):
        assert '"PEER_LOST"' not in other.log.read_text()
    return cut_off_count


@pytest.mark.parametrize(
    ("listener", "count", "script"),
    [
        pytest.param(listener, count, script, id=f"{listener}-{name}")
        for listener, name, count, script in CROWDS
    ],
)
def test_memory_stays_within_bounds_beside(site, listener, count, script):
    # A single process took 1.1 GB for 100 headers without end.
    _, port = site.listener(listener)
    _check(site, listener, Crowd(port, count, script))


@pytest.mark.parametrize(
    "listener",
    ["callers", "readiness", "entry-metrics", "operators", "control-metrics"],
)
def test_empty_lines_without_end_are_cut_off(site, listener):
    # They were read for ever: 15 GB from 100 clients in 12 s.
    _, port = site.listener(listener)
    lines = b"\r\n" * PIECE_BYTES
    crowd = Crowd(port, 40, lambda: crowds.repeat(lines, ENDLESS_BYTES))
    assert _check(site, listener, crowd) == 40


@pytest.mark.parametrize("listener", ["entry-peers", "control-peers"])
def test_memory_stays_within_bounds_beside_frames_of_strangers(site, listener):
    # Whoever connects could announce a frame of 16 MiB before its greeting.
    _, port = site.listener(listener)
    start = FRAME_BYTES.to_bytes(4, "big")
    _check(site, listener, Crowd(port, 40, endless(start, PIECE)))


@pytest.mark.parametrize(
    "listener",
    [
        "callers",
        "readiness",
        "entry-metrics",
        "entry-peers",
        "operators",
        "control-metrics",
        "control-peers",
    ],
)
def test_descriptors_stay_within_bounds_beside_open_connections(site, listener):
    # 4,300 connections that sent nothing took all descriptors.
    _, port = site.listener(listener)
    _check(site, listener, Crowd(port, 1200, list))


def test_memory_stays_within_bounds_beside_requests_that_wait(site):
    # 60 connections with 60 large requests each took 561 MB.
    request = put_job(b"slow", padded(SLOW_JOB, BODY_BYTES))
    _check(
        site,
        "callers",
        Crowd(site.entry.port, 40, pipelined(request, 20)),
    )


def test_memory_stays_within_bounds_beside_jobs_of_many_steps(site):
    # 300 jobs of legal size with 12,000 steps each took 795 MB.
    crowd = Crowd(site.entry.port, 60, jobs_of_steps(6900))
    _check(site, "callers", crowd)


def test_memory_stays_within_bounds_beside_unread_answers(site):
    # Answers that a client does not read were kept without a bound.
    queue = ROUTING["queues"][0]
    queues = [{**queue, "name": f"queue-{n}"} for n in range(6000)]
    queues.append(queue)
    routing = {**ROUTING, "version": 4, "queues": queues}
    wait_for(lambda: site.write(routing), "large routing accepted")
    crowd = Crowd(
        site.control.port,
        10,
        pipelined(head(b"GET", ROUTING_PATH), 64),
        reads=False,
    )
    _check(site, "operators", crowd)


@pytest.mark.parametrize(
    "listener", ["callers", "readiness", "entry-metrics", "operators"]
)
def test_process_goes_on_beside_chunks_of_one_byte(site, listener):
    # 600 bodies in such chunks kept the event loop from all else for 15 s.
    path = ROUTING_PATH if listener == "operators" else JOBS_PATH + b"k"
    _, port = site.listener(listener)
    script = unfinished_chunks(path, BODY_BYTES // 4, 1)
    _check(site, listener, Crowd(port, 600, script))


@pytest.mark.parametrize(
    "steps",
    [
        [{"count": 12_000, "cpu": 1}],
        [{"count": 1, "cpu": 1}] * 12_000,
    ],
    ids=["one-step", "many-steps"],
)
def test_descriptors_stay_within_bounds_beside_a_job_of_many_tasks(site, steps):
    # Each start of a task opened a connection: 4,100 for one job.
    body = json.dumps({"spec": "", "steps": steps}, separators=(",", ":"))
    request = put_job(b"wide", body.encode())
    _check(site, "callers", Crowd(site.entry.port, 1, lambda: [request]))


LARGEST_HEADERS = [
    b"X-%04d: %s" % (n, b"v" * 92) for n in range(HEAD_BYTES // 100 - 2)
]
LARGEST_BODY = padded(JOB, BODY_BYTES)


def _lone_requests():
    """Returns name and parts of a request at each limit."""
    path = JOBS_PATH + b"lone"
    start = put(path, content_length(BODY_BYTES))
    yield "body-whole", [start, LARGEST_BODY]
    yield "body-in-pieces", [start, *crowds.split(LARGEST_BODY, 1000)]
    for size in (1, 100, CHUNK_BYTES):
        chunks = [chunk(part) for part in crowds.split(LARGEST_BODY, size)]
        yield (
            f"chunks-of-{size}",
            [put(path, CHUNKED), b"".join(chunks) + b"0\r\n\r\n"],
        )
    small = json.dumps(JOB).encode()
    lines = (content_length(len(small)), *LARGEST_HEADERS)
    yield "headers", [put(path, *lines) + small]
    lines = [b"%04x:" % n for n in range(HEAD_BYTES // 4 - 96)]
    yield (
        "many-headers",
        [put(path, content_length(len(small)), *lines) + small],
    )
    yield "many-steps", [put_job(b"lone", job_of_steps(50).encode())]
    yield "empty-lines-before", [b"\r\n\r\n" + put_job(b"lone", small)]


@pytest.mark.parametrize(
    "parts",
    [pytest.param(parts, id=name) for name, parts in _lone_requests()],
)
def test_lone_request_within_the_limits_is_served(site, parts):
    # Limits on crowds must not reject what a single client may send.
    assert _answers(site.entry.port, parts, 1) == [200]
    assert site.serves("callers")


def test_lone_connection_with_64_requests_at_once_is_served(site):
    # Limits on crowds must not reject what a single client may send.
    body = json.dumps(JOB).encode()
    requests = [put_job(b"one-%d" % n, body) for n in range(64)]
    assert _answers(site.entry.port, [b"".join(requests)], 64) == [200] * 64


def _answers(port, parts, count):
    """Returns the statuses of the answers to requests on one connection."""
    with socket.create_connection((LOOPBACK, port), 30) as conn:
        for part in parts:
            conn.sendall(part)
        with conn.makefile("rb") as reader:
            return [_read_answer(reader) for _ in range(count)]


def _read_answer(reader):
    """Returns the status of the next answer, 0 if there is none."""
    status_line = reader.readline()
    if not status_line:
        return 0
    length = 0
    while (line := reader.readline()) not in (b"\r\n", b""):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    reader.read(length)
    return int(status_line.split()[1])
