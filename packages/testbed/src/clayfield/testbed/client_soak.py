"""Runs real node processes beside crowds of clients, signals and changes.

Crowds come at any listener and overlap; nodes are stopped, killed and reloaded
in series, and the configuration changes. Beside them callers keep using their
open connections until the process is gone. No process may end by itself, exceed
its memory or its descriptors, or be unable to serve at the end; and what a
caller is answered must be whole, with a status that the protocol knows.
Run by hand with `python -m clayfield.testbed.client_soak --seed 1 --seeds 50`.
"""

import argparse
import http.client
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable

import msgspec

from clayfield.testbed import crowd_scripts
from clayfield.testbed.crowd_scripts import JOBS_PATH
from clayfield.testbed.crowds import Crowd, Script, content_length, head
from clayfield.testbed.node_processes import LOOPBACK, Node
from clayfield.testbed.node_site import JOB, ROUTING, ROUTING_PATH, NodeSite
from clayfield.testbed.processes import START_TIMEOUT_S, wait_for

STEP_S = (0.05, 1.0)
CROWD_SIZE = (20, 200)
MAX_CROWDS = 4
# A caller that gets no answer to an ordinary request waits this long.
CALLER_TIMEOUT_S = 20.0
SAMPLE_INTERVAL_S = 0.05
# Answers to a job: it ran, was refused, or its end is not known.
KNOWN_STATUSES = frozenset((200, 408, 429, 500, 502, 503, 504))
# Exit codes after the signals that a soak sends.
STOPPED = frozenset((0, -signal.SIGKILL))


class SoakResult(msgspec.Struct):
    """What a soak found.

    Attributes:
        seed: seed of the run.
        violations: descriptions of the violations.
        steps: number of steps by name.
        answers: number of answers to ordinary jobs by status, 0 for none.
        peak_mb: most memory of a node, in MB.
        descriptors: most descriptors of a node.
    """

    seed: int
    violations: list[str]
    steps: dict[str, int]
    answers: dict[int, int]
    peak_mb: float
    descriptors: int


class _Caller(threading.Thread):
    """Submits jobs on one connection for as long as it lasts.

    Attributes:
        answers: number of answers by status, 0 for a lost connection.
        violations: answers that a caller must not get.
    """

    def __init__(self, entry: Node, name: str):
        super().__init__(daemon=True)
        self.answers: dict[int, int] = {}
        self.violations: list[str] = []
        self.is_stopping = False
        self._entry = entry
        self._prefix = name

    def run(self) -> None:
        """Submits jobs until it is told to stop."""
        number = 0
        while not self.is_stopping:
            conn = http.client.HTTPConnection(
                LOOPBACK, self._entry.port, timeout=CALLER_TIMEOUT_S
            )
            try:
                while not self.is_stopping:
                    number += 1
                    self._submit(conn, f"{self._prefix}-{number}")
            except (OSError, http.client.HTTPException):
                self._count(0)
                time.sleep(SAMPLE_INTERVAL_S)
            finally:
                conn.close()

    def _submit(self, conn: http.client.HTTPConnection, key: str) -> None:
        path = f"/v1/queues/fast/jobs/{key}"
        conn.request("PUT", path, json.dumps(JOB).encode())
        response = conn.getresponse()
        body = response.read()
        self._count(response.status)
        if response.status not in KNOWN_STATUSES:
            self.violations.append(f"{key} got {response.status}")
        if response.status == 200 and json.loads(body) != {
            "verdict": "completed"
        }:
            self.violations.append(f"{key} got {body[:80]!r}")
        if response.status in (429, 503) and not response.getheader(
            "Retry-After"
        ):
            self.violations.append(f"{key}: {response.status}, no Retry-After")

    def _count(self, status: int) -> None:
        self.answers[status] = self.answers.get(status, 0) + 1


class _Watch(threading.Thread):
    """Records the most memory and descriptors of any node, and odd exits.

    Attributes:
        peak_mb: most memory of a node, in MB.
        descriptors: most descriptors of a node.
        ended: descriptions of processes that have ended by themselves.
    """

    def __init__(self, nodes: list[Node]):
        super().__init__(daemon=True)
        self.peak_mb = 0.0
        self.descriptors = 0
        self.ended: list[str] = []
        self.is_stopping = False
        self._nodes = nodes

    def run(self) -> None:
        """Samples until it is told to stop."""
        while not self.is_stopping:
            for node in self._nodes:
                self._sample(node)
            time.sleep(SAMPLE_INTERVAL_S)

    def _sample(self, node: Node) -> None:
        code = node.process.poll()
        if code is not None:
            name = f"{node.log.stem} ended with {code}"
            if code not in STOPPED and name not in self.ended:
                self.ended.append(name)
            return
        try:
            self.peak_mb = max(self.peak_mb, node.peak_mb)
            self.descriptors = max(self.descriptors, node.descriptors)
        except (OSError, StopIteration):
            # It has ended since.
            return


class ClientSoak:
    """One run with a seed."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        entry_count: int = 2,
        memory_mb: int = 128,
        max_descriptors: int = 1000,
    ):
        """Starts the processes.

        Args:
            seed: seed of the crowds and steps.
            folder: folder for logs and stored state.
            entry_count: number of entry nodes.
            memory_mb: memory that each node may use, in MB.
            max_descriptors: descriptors that each node may open.
        """
        self._seed = seed
        self._rng = random.Random(seed)
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors
        flags = (
            f"--memory-mb={memory_mb}",
            f"--max-descriptors={max_descriptors}",
        )
        folder.mkdir(parents=True, exist_ok=True)
        self._site = NodeSite(folder, flags, 3, entry_count)
        self._version = ROUTING["version"]
        self._steps: dict[str, int] = {}
        self._violations: list[str] = []
        self._crowds: list[tuple[threading.Thread, threading.Event]] = []

    def run(self, step_count: int) -> SoakResult:
        """Runs the steps, ends all crowds and checks that jobs are served."""
        site = self._site
        try:
            site.start()
            watch = _Watch(site.nodes)
            callers = [
                _Caller(entry, f"caller-{number}-{each}")
                for number, entry in enumerate(site.entries)
                for each in range(2)
            ]
            for thread in (watch, *callers):
                thread.start()
            for _ in range(step_count):
                self._step()
                time.sleep(self._rng.uniform(*STEP_S))
            self._check_served("beside the crowds")
            self._end_crowds(0)
            self._check_served("after the crowds")
            for thread in (watch, *callers):
                thread.is_stopping = True
            for thread in (watch, *callers):
                thread.join(CALLER_TIMEOUT_S)
        finally:
            self._end_crowds(0)
            site.stop()
        return self._make_result(watch, callers)

    def _make_result(self, watch: _Watch, callers: list[_Caller]) -> SoakResult:
        violations = [*self._violations, *watch.ended]
        answers: dict[int, int] = {}
        for caller in callers:
            violations += caller.violations
            for status, count in caller.answers.items():
                answers[status] = answers.get(status, 0) + count
        if watch.peak_mb >= self._memory_mb:
            violations.append(f"{watch.peak_mb:.0f} MB")
        if watch.descriptors >= self._max_descriptors:
            violations.append(f"{watch.descriptors} descriptors")
        if not answers.get(200):
            violations.append("no ordinary job was completed")
        return SoakResult(
            self._seed,
            violations,
            self._steps,
            answers,
            round(watch.peak_mb, 1),
            watch.descriptors,
        )

    # Steps.

    def _step(self) -> None:
        step = self._rng.choice(
            [self._add_crowd] * 5
            + [self._terminate, self._kill, self._reload, self._configure]
        )
        name = step()
        self._steps[name] = self._steps.get(name, 0) + 1

    def _add_crowd(self) -> str:
        """Adds a crowd; ends the oldest one of too many."""
        name, make = self._rng.choice(list(_SCRIPTS.items()))
        node = self._rng.choice(self._site.nodes)
        ports = [node.port, node.metrics, node.peers]
        if node.role == "entry":
            ports.append(node.ready)
        size = self._rng.randint(*CROWD_SIZE)
        crowd = Crowd(self._rng.choice(ports), size, make(), name != "unread")
        ended = threading.Event()
        thread = threading.Thread(
            target=_play, args=(crowd, ended), daemon=True
        )
        thread.start()
        self._crowds.append((thread, ended))
        self._end_crowds(MAX_CROWDS)
        return name

    def _end_crowds(self, count: int) -> None:
        """Ends the oldest crowds until only some are left."""
        while len(self._crowds) > count:
            thread, ended = self._crowds.pop(0)
            ended.set()
            thread.join(START_TIMEOUT_S)

    def _terminate(self) -> str:
        """Stops a node as planned and starts it again."""
        node = self._rng.choice(self._site.nodes)
        node.terminate()
        if node.process.wait(START_TIMEOUT_S) not in STOPPED:
            self._violations.append(
                f"{node.log.stem} stopped with {node.process.returncode}"
            )
        node.start()
        return "terminate"

    def _kill(self) -> str:
        """Kills a node and starts it again."""
        node = self._rng.choice(self._site.nodes)
        node.kill()
        node.start()
        return "kill"

    def _reload(self) -> str:
        """Has a node read its settings again, several times in a row."""
        node = self._rng.choice(self._site.nodes)
        wait_for(lambda: node.heeds_reloads, f"{node.log.stem} runs")
        for _ in range(self._rng.randint(1, 5)):
            node.process.send_signal(signal.SIGHUP)
        return "reload"

    def _configure(self) -> str:
        """Writes a configuration with other limits and another queue."""
        self._version += 1
        queue = ROUTING["queues"][0]
        extra = {**queue, "name": f"queue-{self._version}"}
        routing = {
            **ROUTING,
            "version": self._version,
            "queues": [queue, extra],
            "limits": {"idle_ms": self._rng.choice([3000, 15_000])},
        }
        self._site.write(routing)
        return "configure"

    # Checks.

    def _check_served(self, when: str) -> None:
        for entry in self._site.entries:
            try:
                wait_for(
                    lambda entry=entry: (
                        self._site.submit(entry=entry)[0] == 200
                    ),
                    f"{entry.log.stem} serves {when}",
                )
            except TimeoutError as exc:
                self._violations.append(f"not so: {exc}")


def _play(crowd: Crowd, ended: threading.Event) -> None:
    """Plays a crowd and keeps its connections open until it is ended."""
    try:
        with crowd:
            crowd.play()
            ended.wait()
    except (OSError, TimeoutError):
        # The node is gone, or takes no more; the soak goes on.
        ended.wait()


def _endless(start: bytes) -> Callable[[], Script]:
    return lambda: crowd_scripts.endless(start, b"x" * 65_536)


def _unread() -> Script:
    return crowd_scripts.pipelined(head(b"GET", ROUTING_PATH), 64)


def _waiting() -> Script:
    job = {"spec": "", "steps": [{"count": 100, "cpu": 6800}]}
    body = crowd_scripts.padded(job, crowd_scripts.BODY_BYTES)
    return crowd_scripts.pipelined(crowd_scripts.put_job(b"slow", body), 5)


def _wide() -> Script:
    body = b'{"spec":"","steps":[{"count":2000,"cpu":1}]}'
    return lambda: [crowd_scripts.put_job(b"wide", body)]


_KEY_PATH = JOBS_PATH + b"k"
_BODY_BYTES = crowd_scripts.BODY_BYTES
_SCRIPTS: dict[str, Callable[[], Script]] = {
    "bodies": lambda: crowd_scripts.unfinished_body(_KEY_PATH, _BODY_BYTES),
    "pieces": lambda: crowd_scripts.unfinished_body(
        _KEY_PATH, _BODY_BYTES, 4096
    ),
    "chunks": lambda: crowd_scripts.unfinished_chunks(
        _KEY_PATH, _BODY_BYTES, 65_536
    ),
    "tiny chunks": lambda: crowd_scripts.unfinished_chunks(
        _KEY_PATH, _BODY_BYTES // 4, 1
    ),
    "documents": lambda: crowd_scripts.unfinished_body(
        ROUTING_PATH, 1024 * 1024
    ),
    "headers": lambda: crowd_scripts.many_headers(_KEY_PATH),
    "header": _endless(head(b"GET", b"/", is_complete=False) + b"X: "),
    "trailer": _endless(
        crowd_scripts.put(_KEY_PATH, crowd_scripts.CHUNKED)
        + b"1\r\n \r\n0\r\nX: "
    ),
    "empty lines": lambda: crowd_scripts.endless(b"", b"\r\n" * 4096),
    "frame": _endless((16 * 1024 * 1024).to_bytes(4, "big")),
    "silent": lambda: list,
    "unread": _unread,
    "waiting": _waiting,
    "steps": lambda: crowd_scripts.jobs_of_steps(2000),
    "wide": _wide,
    "heads": lambda: (
        lambda: [crowd_scripts.put(_KEY_PATH, content_length(_BODY_BYTES))]
    ),
}


def main() -> None:
    """Runs soaks of some seeds; exits with 1 if one found a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--steps", type=int, default=12)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--memory-mb", type=int, default=128)
    flags = parser.parse_args()
    has_failed = False
    for seed in range(flags.seed, flags.seed + flags.seeds):
        folder = pathlib.Path(tempfile.mkdtemp()) / f"soak-{seed}"
        soak = ClientSoak(seed, folder, flags.entries, flags.memory_mb)
        result = soak.run(flags.steps)
        has_failed = has_failed or bool(result.violations)
        print(msgspec.json.encode(result).decode(), folder, flush=True)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
