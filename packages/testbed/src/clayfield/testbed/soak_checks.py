"""The checks of a configuration soak, from outside, on each promise."""

import json
import random
import re
import threading
import time

from clayfield.testbed.soak_operator import PATH, History, marker
from clayfield.testbed.soak_site import (
    CALLERS_PORT,
    METRICS_PORT,
    OPERATORS_PORT,
    Client,
    SoakNode,
    SoakSite,
    read_events,
)

IN_FORCE_S = 2.0
CONTACT_S = 3.0
INTERVAL_S = 0.1
JOB_TIMEOUT_S = 5.0
OK = 200
NOT_FOUND = 404
VERSION_METRIC = re.compile(rb"^clayfield_config_version\S* (\d+)", re.M)
JOB = {"spec": "s", "steps": [{"count": 1, "cpu": 100, "estimate_ms": 20}]}


class EntryChecker(threading.Thread):
    """Checks the version that one entry node acts by.

    Attributes:
        is_stopping: whether it ends after the check in progress.
        checked: number of versions that were due and in force.
    """

    def __init__(
        self,
        site: SoakSite,
        history: History,
        node: SoakNode,
        rng: random.Random,
    ):
        super().__init__(daemon=True)
        self.is_stopping = False
        self.checked = 0
        self._site = site
        self._history = history
        self._node = node
        self._rng = rng
        self._client = Client()
        self._life = 0
        self._seen = 0
        self._jobs = 0

    def run(self) -> None:
        """Checks until it is stopped."""
        while not self.is_stopping:
            self._check()
            time.sleep(self._rng.uniform(0, 2 * INTERVAL_S))

    def _check(self) -> None:
        sent_s = time.monotonic()
        life = self._node.life
        due = self._due_version(sent_s)
        version = self._read_version()
        if version is None or life != self._node.life:
            return
        self._check_order(life, version)
        if not due or self._due_version(sent_s) != due:
            return
        if version < due:
            self._report("late", due, version)
            return
        self.checked += 1
        self._check_routes(version)

    def _due_version(self, sent_s: float) -> int:
        """Returns the lowest version that a request may be handled by."""
        nodes = [self._node, *self._site.controls]
        if min(node.calm_s(sent_s) for node in nodes) < CONTACT_S:
            return 0
        return self._history.newest_acked(sent_s - IN_FORCE_S)

    def _read_version(self) -> int | None:
        """Returns the version in force, None without an answer."""
        address = (self._node.ip, METRICS_PORT)
        _, body = self._client.call(address, "GET", "/metrics")
        matched = VERSION_METRIC.search(body)
        return int(matched.group(1)) if matched else None

    def _check_order(self, life: int, version: int) -> None:
        if life != self._life:
            self._life = life
            self._seen = 0
        if version < self._seen:
            self._report("older within a life", self._seen, version)
        if version in self._history.invalid:
            self._report("invalid one in force", 0, version)
        self._seen = max(self._seen, version)

    def _check_routes(self, version: int) -> None:
        """Checks an added and a dropped route, and sometimes a job."""
        dropped = self._history.newest_acked(
            self._history.acked_s.get(version, 0.0)
        )
        address = (self._node.ip, CALLERS_PORT)
        path = f"/v1/queues/{marker(version)}"
        status, _ = self._client.call(address, "GET", path)
        if status == NOT_FOUND and self._read_version() == version:
            self._report("added route not served", version, version)
        if 0 < dropped < version:
            path = f"/v1/queues/{marker(dropped)}"
            status, _ = self._client.call(address, "GET", path)
            if status == OK:
                self._report("dropped route served", version, dropped)
        if self._rng.random() < INTERVAL_S:
            self.submit(version)

    def submit(self, version: int) -> int:
        """Submits a job to the queue of one version; returns the status."""
        sent_s = time.monotonic()
        life = self._node.life
        self._jobs += 1
        key = f"{self._node.name}-{self._life}-{self._jobs}"
        path = f"/v1/queues/{marker(version)}/jobs/{key}"
        status, _ = self._client.call(
            (self._node.ip, CALLERS_PORT),
            "PUT",
            path,
            json.dumps(JOB).encode(),
            JOB_TIMEOUT_S,
        )
        self._history.count(f"job {status}")
        if not status:
            self._on_unanswered(key, sent_s, life)
        if status == NOT_FOUND and self._read_version() == version:
            self._report("added route runs no job", version, version)
        return status

    def _on_unanswered(self, key: str, sent_s: float, life: int) -> None:
        """Records a job without an answer; a violation if no node had a fault.

        Args:
            key: the job's key.
            sent_s: time at which it was sent.
            life: the node's number of starts at that time.
        """
        now_s = time.monotonic()
        calm_s = min(node.calm_s(now_s) for node in self._site.nodes)
        text = (
            f"{self._node.name}: job {key} got no answer in"
            f" {now_s - sent_s:.2f} s; the node was calm for"
            f" {self._node.calm_s(now_s):.1f} s, all nodes for {calm_s:.1f} s,"
            f" {self._node.life - life} starts since"
        )
        self._history.note_unanswered(text)
        if calm_s >= CONTACT_S + now_s - sent_s:
            self._history.violate(text)

    def _report(self, what: str, expected: int, version: int) -> None:
        lines = _summarize(read_events(self._node.log, "CONFIG_")[-6:])
        self._history.violate(
            f"{self._node.name}: {what}: expected {expected}, found {version};"
            f" log: {lines}"
        )


def _summarize(events: list[dict]) -> list[str]:
    """Returns time, name and version of each event."""
    return [
        f"{event['time']} {event['name']} {event.get('version')}"
        for event in events
    ]


class ReadChecker(threading.Thread):
    """Reads the configuration at all control nodes.

    Attributes:
        is_stopping: whether it ends after the read in progress.
        answered: number of reads with an answer.
    """

    def __init__(self, site: SoakSite, history: History, rng: random.Random):
        super().__init__(daemon=True)
        self.is_stopping = False
        self.answered = 0
        self._site = site
        self._history = history
        self._rng = rng
        self._client = Client()

    def run(self) -> None:
        """Reads until it is stopped."""
        while not self.is_stopping:
            self.read(self._rng.choice(self._site.seeds))
            time.sleep(self._rng.uniform(0, 2 * INTERVAL_S))

    def read(self, ip: str, after_s: float = IN_FORCE_S) -> bool:
        """Reads at one control node; returns whether it answered."""
        due = self._history.newest_acked(time.monotonic() - after_s)
        status, body = self._client.call((ip, OPERATORS_PORT), "GET", PATH)
        if status != OK:
            return False
        self.answered += 1
        version = json.loads(body)["version"]
        if version < due:
            self._history.violate(
                f"read at {ip}: expected {due}, found {version}"
            )
        if body != self._history.documents.get(version):
            self._history.violate(
                f"read at {ip}: version {version} is not what was sent"
            )
        return True
