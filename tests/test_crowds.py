"""Tests of nodes beside crowds of clients that don't behave.

They guard against a process that runs out of memory or of descriptors, or that
no longer serves ordinary callers, because of what such clients send and hold.
Crowds and bounds are fixed; neither times nor shares of served requests count.
"""

import itertools
import json
import re
import socket
import subprocess
import sys
import threading

import pytest

from clayfield.testbed import crowds
from clayfield.testbed.crowds import Crowd, chunk, content_length, head
from clayfield.testbed.node_processes import LOOPBACK, Node
from clayfield.testbed.processes import fetch, free_port, wait_for

# What a node may use in these tests.
MEMORY_MB = 128
DESCRIPTORS = 1000
LIMITS = (f"--memory-mb={MEMORY_MB}", f"--max-descriptors={DESCRIPTORS}")
SAMPLE_INTERVAL_S = 0.01

BODY_BYTES = 262_144
DOCUMENT_BYTES = 4 * 1024 * 1024
HEAD_BYTES = 16_384
ENDLESS_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 4096
CHUNK_BYTES = 65_536
FRAME_BYTES = 16 * 1024 * 1024

ROUTING = {
    "version": 3,
    "queues": [
        {
            "name": "fast",
            "service": "demo",
            "timeout_ms": 8000,
            "target_ms": 5000,
            "max_attempts": 3,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "demo"}],
}
JOB = {
    "spec": "text",
    "steps": [{"count": 1, "cpu": 6800, "estimate_ms": 20}],
}
JOBS_PATH = b"/v1/queues/fast/jobs/"
ROUTING_PATH = b"/v1/routing"
CHUNKED = b"Transfer-Encoding: chunked"


class Site:
    """A control node, an entry node and a process of fake workers."""

    def __init__(self, folder):
        seed = free_port()
        self.control = Node(
            "control",
            "control-0",
            [seed],
            folder,
            peers=seed,
            flags=("--losses=0", *LIMITS),
        )
        self.entry = Node("entry", "entry-0", [seed], folder, flags=LIMITS)
        self._keys = itertools.count()
        self._workers = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "clayfield.testbed.pool_workers",
                f"--control={LOOPBACK}:{self.control.port}",
            ],
            stdout=subprocess.PIPE,
        )
        self._workers.stdout.readline()

    def start(self):
        wait_for(lambda: self.write(ROUTING) == 200, "routing accepted")
        wait_for(lambda: self.entry.is_ready, f"{self.entry.log}")
        wait_for(self._holds_workers, "the entry node schedules the workers")

    def write(self, routing):
        return self.control.request("PUT", "/v1/routing", routing)[0]

    def _holds_workers(self):
        text = fetch(f"http://{LOOPBACK}:{self.entry.metrics}/metrics")
        return re.search(r"clayfield_held_workers\S* 4\b", text.decode())

    def submit(self, job=JOB):
        path = f"/v1/queues/fast/jobs/{next(self._keys)}"
        return self.entry.request("PUT", path, job)

    def listener(self, name):
        """Returns the node with a listener, and the listener's port."""
        return {
            "callers": (self.entry, self.entry.port),
            "readiness": (self.entry, self.entry.ready),
            "entry-metrics": (self.entry, self.entry.metrics),
            "entry-peers": (self.entry, self.entry.peers),
            "operators": (self.control, self.control.port),
            "control-metrics": (self.control, self.control.metrics),
            "control-peers": (self.control, self.control.peers),
        }[name]

    def serves(self, name):
        """Returns whether an ordinary request at a listener is answered."""
        node, port = self.listener(name)
        if name == "callers" or name.endswith("peers"):
            return self.submit()[0] == 200
        path = ROUTING_PATH.decode() if name == "operators" else "/"
        return node.request("GET", path, port=port)[0] == 200

    def stop(self):
        for node in (self.entry, self.control):
            node.kill()
        self._workers.kill()
        self._workers.wait(20)
        self._workers.stdout.close()


@pytest.fixture
def site(tmp_path):
    started = Site(tmp_path)
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


def _put(path, *lines):
    return head(b"PUT", path, *lines)


def _unfinished_body(path, size, split_bytes=None):
    """Returns a request whose body lacks its last byte."""
    start = _put(path, content_length(size))
    body = b" " * (size - 1)
    if split_bytes:
        return lambda: itertools.chain([start], crowds.split(body, split_bytes))
    return lambda: [start, body]


def _unfinished_chunks(path, size, chunk_bytes):
    """Returns a request whose chunked body has no last chunk."""
    start = _put(path, CHUNKED)
    count, rest = divmod(size - 1, chunk_bytes)
    body = chunk(b" " * chunk_bytes) * count
    body += chunk(b" " * rest) if rest else b""
    return lambda: [start, body]


def _endless(start, part):
    """Returns a request of which one part goes on without end."""
    return lambda: itertools.chain([start], crowds.repeat(part, ENDLESS_BYTES))


def _many_headers(path):
    """Returns a head with as many headers as its size permits, but no end."""
    lines = [b"%04x:" % n for n in range(HEAD_BYTES // 4 - 96)]
    text = head(b"PUT", path, *lines, is_complete=False)
    return lambda: [text]


def _pipelined(request, count):
    return lambda: itertools.repeat(request, count)


def _padded(job, size):
    """Returns a job as JSON of a given size."""
    return json.dumps(job).encode().ljust(size)


def _put_job(key, body):
    return _put(JOBS_PATH + key, content_length(len(body))) + body


def _job_of_steps(count):
    """Returns a job whose steps run one after the other."""
    steps = [{"count": 1, "cpu": 6800}]
    steps += [{"count": 1, "cpu": 6800, "after": [n]} for n in range(count - 1)]
    return json.dumps({"spec": "", "steps": steps}, separators=(",", ":"))


def _jobs_of_steps(count):
    """Returns a script that puts a job with a key of its own each time."""
    keys = itertools.count()
    body = _job_of_steps(count).encode()
    assert len(body) <= BODY_BYTES

    def script():
        start = _put(
            JOBS_PATH + b"steps-%d" % next(keys), content_length(len(body))
        )
        return [start, body]

    return script


HEAD_VALUE = head(b"GET", b"/", is_complete=False) + b"X: "
HEAD_NAME = head(b"GET", b"/", is_complete=False)
TRAILER = _put(JOBS_PATH + b"k", CHUNKED) + chunk(b" ") + b"0\r\nX: "
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
        yield listener, "bodies", count, _unfinished_body(path, size)
        yield (
            listener,
            "bodies-in-pieces",
            count,
            _unfinished_body(path, size, PIECE_BYTES),
        )
        yield (
            listener,
            "large-chunks",
            count,
            _unfinished_chunks(path, size, CHUNK_BYTES),
        )
        yield (
            listener,
            "many-headers",
            400,
            _many_headers(path),
        )
    for listener in (
        "callers",
        "readiness",
        "entry-metrics",
        "operators",
        "control-metrics",
    ):
        yield listener, "header-value", 80, _endless(HEAD_VALUE, PIECE)
        yield listener, "header-name", 80, _endless(HEAD_NAME, PIECE)
        yield listener, "trailer", 80, _endless(TRAILER, PIECE)


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
    _check(site, listener, Crowd(port, 40, _endless(start, PIECE)))


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
    request = _put_job(b"slow", _padded(SLOW_JOB, BODY_BYTES))
    _check(
        site,
        "callers",
        Crowd(site.entry.port, 40, _pipelined(request, 20)),
    )


def test_memory_stays_within_bounds_beside_jobs_of_many_steps(site):
    # 300 jobs of legal size with 12,000 steps each took 795 MB.
    crowd = Crowd(site.entry.port, 60, _jobs_of_steps(6900))
    _check(site, "callers", crowd)


def test_memory_stays_within_bounds_beside_unread_answers(site):
    # Answers that a client does not read were kept without a bound.
    queue = ROUTING["queues"][0]
    queues = [{**queue, "name": f"queue-{n}"} for n in range(6000)]
    queues.append(queue)
    routing = {**ROUTING, "version": 4, "queues": queues}
    wait_for(lambda: site.write(routing) == 200, "large routing accepted")
    crowd = Crowd(
        site.control.port,
        10,
        _pipelined(head(b"GET", ROUTING_PATH), 64),
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
    script = _unfinished_chunks(path, BODY_BYTES // 4, 1)
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
    request = _put_job(b"wide", body.encode())
    _check(site, "callers", Crowd(site.entry.port, 1, lambda: [request]))


LARGEST_HEADERS = [
    b"X-%04d: %s" % (n, b"v" * 92) for n in range(HEAD_BYTES // 100 - 2)
]
LARGEST_BODY = _padded(JOB, BODY_BYTES)


def _lone_requests():
    """Returns name and parts of a request at each limit."""
    path = JOBS_PATH + b"lone"
    start = _put(path, content_length(BODY_BYTES))
    yield "body-whole", [start, LARGEST_BODY]
    yield "body-in-pieces", [start, *crowds.split(LARGEST_BODY, 1000)]
    for size in (1, 100, CHUNK_BYTES):
        chunks = [chunk(part) for part in crowds.split(LARGEST_BODY, size)]
        yield (
            f"chunks-of-{size}",
            [_put(path, CHUNKED), b"".join(chunks) + b"0\r\n\r\n"],
        )
    small = json.dumps(JOB).encode()
    lines = (content_length(len(small)), *LARGEST_HEADERS)
    yield "headers", [_put(path, *lines) + small]
    lines = [b"%04x:" % n for n in range(HEAD_BYTES // 4 - 96)]
    yield (
        "many-headers",
        [_put(path, content_length(len(small)), *lines) + small],
    )
    yield "many-steps", [_put_job(b"lone", _job_of_steps(50).encode())]
    yield "empty-lines-before", [b"\r\n\r\n" + _put_job(b"lone", small)]


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
    requests = [_put_job(b"one-%d" % n, body) for n in range(64)]
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
