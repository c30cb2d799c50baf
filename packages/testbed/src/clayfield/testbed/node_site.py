"""A pool of node processes with fake workers, on loopback."""

import itertools
import pathlib
import re
import subprocess
import sys

from clayfield.testbed.node_processes import LOOPBACK, STOP_TIMEOUT_S, Node
from clayfield.testbed.processes import fetch, free_port, wait_for

ROUTING_PATH = b"/v1/routing"
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


class NodeSite:
    """Control nodes, entry nodes and a process of fake workers.

    Attributes:
        controls: the control nodes.
        entries: the entry nodes.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        flags: tuple[str, ...],
        control_count: int = 1,
        entry_count: int = 1,
    ):
        """Starts all processes; `start` waits until they serve.

        Args:
            folder: folder for logs and stored state.
            flags: further flags of each node.
            control_count: number of control nodes, an odd one.
            entry_count: number of entry nodes.
        """
        seeds = [free_port() for _ in range(control_count)]
        losses = f"--losses={control_count // 2}"
        self.controls = [
            Node(
                "control",
                f"control-{number}",
                seeds,
                folder,
                peers=seed,
                flags=(losses, *flags),
            )
            for number, seed in enumerate(seeds)
        ]
        self.entries = [
            Node("entry", f"entry-{number}", seeds, folder, flags=flags)
            for number in range(entry_count)
        ]
        self._keys = itertools.count()
        addresses = [f"{LOOPBACK}:{node.port}" for node in self.controls]
        self._workers = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "clayfield.testbed.pool_workers",
                f"--control={','.join(addresses)}",
            ],
            stdout=subprocess.PIPE,
        )
        self._workers.stdout.readline()

    @property
    def control(self) -> Node:
        """The first control node."""
        return self.controls[0]

    @property
    def entry(self) -> Node:
        """The first entry node."""
        return self.entries[0]

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return [*self.controls, *self.entries]

    def start(self) -> None:
        """Writes the configuration and waits until jobs are served."""
        wait_for(lambda: self.write(ROUTING), "routing accepted")
        for entry in self.entries:
            wait_for(lambda entry=entry: entry.is_ready, f"{entry.log}")
        wait_for(self._holds_workers, "an entry node schedules the workers")

    def write(self, routing: dict[str, object]) -> bool:
        """Returns whether a control node has accepted a configuration."""
        replies = (
            node.request("PUT", ROUTING_PATH.decode(), routing)
            for node in self.controls
        )
        return any(status == 200 for status, _, _ in replies)

    def _holds_workers(self) -> bool:
        texts = [
            fetch(f"http://{LOOPBACK}:{entry.metrics}/metrics").decode()
            for entry in self.entries
        ]
        pattern = r"clayfield_held_workers\S* 4\b"
        return any(re.search(pattern, text) for text in texts)

    def submit(
        self, job: dict[str, object] = JOB, entry: Node | None = None
    ) -> tuple[int, bytes, object]:
        """Submits a job with a key of its own; returns the response.

        Args:
            job: the job.
            entry: the entry node, None for the first one.
        """
        path = f"/v1/queues/fast/jobs/{next(self._keys)}"
        return (entry or self.entry).request("PUT", path, job)

    def listener(self, name: str) -> tuple[Node, int]:
        """Returns the node with a listener, and the listener's port."""
        entry, control = self.entry, self.control
        return {
            "callers": (entry, entry.port),
            "readiness": (entry, entry.ready),
            "entry-metrics": (entry, entry.metrics),
            "entry-peers": (entry, entry.peers),
            "operators": (control, control.port),
            "control-metrics": (control, control.metrics),
            "control-peers": (control, control.peers),
        }[name]

    def serves(self, name: str) -> bool:
        """Returns whether an ordinary request at a listener is answered."""
        node, port = self.listener(name)
        if name == "callers" or name.endswith("peers"):
            return self.submit()[0] == 200
        path = ROUTING_PATH.decode() if name == "operators" else "/"
        return node.request("GET", path, port=port)[0] == 200

    def stop(self) -> None:
        """Ends all processes at once."""
        for node in self.nodes:
            node.kill()
        self._workers.kill()
        self._workers.wait(STOP_TIMEOUT_S)
        self._workers.stdout.close()
