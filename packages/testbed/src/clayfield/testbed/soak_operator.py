"""The operators of a configuration soak, and what they know afterwards."""

import json
import random
import threading
import time

from clayfield.testbed.soak_site import OPERATORS_PORT, Client, SoakSite

PATH = "/v1/routing"
CALL_TIMEOUT_S = 1.0
LARGE_CALL_TIMEOUT_S = 4.0
LARGE_BYTES = 1_000_000
LARGE_SHARE = 0.08
INVALID_SHARE = 0.15
REPEAT_SHARE = 0.1
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.3
MAX_RETRY_PAUSE_S = 0.8
WRITE_TIMEOUT_S = 60.0
TARGET_MS = 5000
STRETCH = 2.0
RETRIED_STATUSES = (0, 307, 408, 429)
SERVER_ERROR = 500
CLIENT_ERROR = 400
OK = 200


def marker(version: int) -> str:
    """Returns the name of the queue that only this version has."""
    return f"v{version}"


def _queue(name: str, service: str = "demo", timeout_ms: int = 8000) -> dict:
    return {
        "name": name,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_ms": TARGET_MS,
        "stretch": STRETCH,
    }


def make_document(version: int, size: int = 0) -> dict:
    """Returns a valid configuration of at least the given size in bytes."""
    padding = [_queue(f"{'x' * 900}-{n}") for n in range(size // 960 + 1)]
    queues = [_queue(marker(version)), _queue("steady")]
    return {
        "version": version,
        "queues": queues + (padding if size else []),
        "services": [{"name": "demo"}],
    }


def make_invalid(version: int, kind: int) -> bytes:
    """Returns an invalid configuration of one of `INVALID_KINDS` kinds."""
    document = make_document(version)
    queues = document["queues"]
    match kind:
        case 0:
            return json.dumps(document).encode()[:-9]
        case 1:
            queues.append(_queue("other", service="unknown"))
        case 2:
            queues.append(_queue("steady"))
        case 3:
            queues.append(_queue("other", timeout_ms=0))
    return json.dumps(document).encode()


INVALID_KINDS = 4


class History:
    """What was sent and acknowledged, shared by all threads.

    Attributes:
        documents: the valid configurations sent, by version.
        acked_s: time of the first acknowledgement, by version.
        invalid: versions under which only invalid content was sent.
        violations: descriptions of the violations found.
        unanswered: descriptions of the jobs without an answer.
        counts: number of calls by kind and status.
    """

    def __init__(self, started_s: float):
        self.documents: dict[int, bytes] = {}
        self.acked_s: dict[int, float] = {}
        self.invalid: set[int] = set()
        self.violations: list[str] = []
        self.unanswered: list[str] = []
        self.counts: dict[str, int] = {}
        self._started_s = started_s
        self._last_version = 0
        self._lock = threading.Lock()

    def next_version(self, rng: random.Random) -> int:
        """Returns a version above all earlier ones, in uneven steps."""
        with self._lock:
            self._last_version += rng.choice((1, 1, 2, 3, 7))
            return self._last_version

    def newest_acked(self, before_s: float) -> int:
        """Returns the highest version acknowledged before a time, or 0."""
        with self._lock:
            versions = [v for v, s in self.acked_s.items() if s < before_s]
        return max(versions, default=0)

    def acknowledge(self, version: int) -> None:
        """Records an acknowledgement."""
        with self._lock:
            self.acked_s.setdefault(version, time.monotonic())

    def count(self, name: str) -> None:
        """Counts a call."""
        with self._lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def violate(self, text: str) -> None:
        """Records a violation with its time since the start."""
        self._add(self.violations, text)

    def note_unanswered(self, text: str) -> None:
        """Records a job without an answer, with its time since the start."""
        self._add(self.unanswered, text)

    def _add(self, lines: list[str], text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        with self._lock:
            lines.append(f"{elapsed_s:.2f} s: {text}")


class Operator(threading.Thread):
    """Sends changes, one at a time, each until it has a clear answer.

    Attributes:
        is_stopping: whether it ends after the change in progress.
    """

    def __init__(self, site: SoakSite, history: History, rng: random.Random):
        super().__init__(daemon=True)
        self.is_stopping = False
        self._site = site
        self._history = history
        self._rng = rng
        self._client = Client()

    def run(self) -> None:
        """Sends bursts of changes until it is stopped."""
        while not self.is_stopping:
            self._run_step()
            time.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    def _run_step(self) -> None:
        draw = self._rng.random()
        if draw < INVALID_SHARE:
            self._send_invalid()
        elif draw < INVALID_SHARE + REPEAT_SHARE and self._history.acked_s:
            self._send_again()
        else:
            self.send_change()

    def send_change(self, timeout_s: float = WRITE_TIMEOUT_S) -> bool:
        """Sends a valid change; returns whether it was acknowledged."""
        version = self._history.next_version(self._rng)
        is_large = self._rng.random() < LARGE_SHARE
        document = make_document(version, LARGE_BYTES if is_large else 0)
        body = json.dumps(document).encode()
        self._history.documents[version] = body
        status = self._send(body, timeout_s)
        self._history.count(f"change {status}")
        if status == OK:
            self._history.acknowledge(version)
        elif status and status < SERVER_ERROR:
            self._history.violate(f"valid version {version} got {status}")
        return status == OK

    def _send_again(self) -> None:
        version = self._rng.choice(sorted(self._history.acked_s))
        status = self._send(self._history.documents[version], WRITE_TIMEOUT_S)
        self._history.count(f"repeat {status}")
        if status and status != OK and status < SERVER_ERROR:
            self._history.violate(f"repeat of version {version} got {status}")

    def _send_invalid(self) -> None:
        version = self._history.next_version(self._rng)
        kind = self._rng.randrange(INVALID_KINDS)
        self._history.invalid.add(version)
        status = self._send(make_invalid(version, kind), WRITE_TIMEOUT_S)
        self._history.count(f"invalid {status}")
        if status and not CLIENT_ERROR <= status < SERVER_ERROR:
            self._history.violate(
                f"invalid version {version} of kind {kind} got {status}"
            )

    def _send(self, body: bytes, timeout_s: float) -> int:
        """Sends a change to one control node after another.

        Returns:
            The status of the first clear answer, 0 if there was none.
        """
        end_s = time.monotonic() + timeout_s
        is_large = len(body) >= LARGE_BYTES
        call_timeout_s = LARGE_CALL_TIMEOUT_S if is_large else CALL_TIMEOUT_S
        pause_s = MIN_PAUSE_S
        while time.monotonic() < end_s:
            ip = self._rng.choice(self._site.seeds)
            status, _ = self._client.call(
                (ip, OPERATORS_PORT), "PUT", PATH, body, call_timeout_s
            )
            is_clear = status not in RETRIED_STATUSES and status < SERVER_ERROR
            if is_clear:
                return status
            time.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)
        return 0
