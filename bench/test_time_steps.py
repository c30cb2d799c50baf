"""Real processes whose time of day is stepped.

It watches for a fixed time, so it is run by hand:
`.venv/bin/python -m pytest bench/test_time_steps.py`.
"""

import copy
import json
import time

import pytest

from clayfield.testbed.processes import free_port, wait_for
from clayfield.testbed.stepped_node import write_offset
from tests.test_node_processes import ROUTING, Node

IN_FORCE_S = 2.0
# Above the timeout of a stream, so that a stream without keepalives ends.
OBSERVED_S = 1.5
LOSSES = ("PEER_LOST", "LEADING_ENDED")


class SteppedNode(Node):
    """A node whose time of day the test can step."""

    def __init__(self, role, name, seeds, folder, peers=None):
        self._offset_file = folder / f"{name}.offset"
        self._offset_s = 0.0
        write_offset(self._offset_file, 0.0)
        program = ("clayfield.testbed.stepped_node", str(self._offset_file))
        super().__init__(
            role, name, seeds, folder, peers=peers, program=program
        )

    def step(self, delta_s):
        self._offset_s += delta_s
        write_offset(self._offset_file, self._offset_s)

    def count(self, event):
        return self.log.read_text().count(f'"{event}"')

    def has_in_force(self, version):
        lines = [
            json.loads(line)
            for line in self.log.read_text().splitlines()
            if '"CONFIG_IN_FORCE"' in line
        ]
        return any(line["version"] == version for line in lines)


class Cluster:
    """Three control nodes and two entry nodes; each can be stepped."""

    def __init__(self, folder):
        seeds = [free_port() for _ in range(3)]
        self.controls = [
            SteppedNode("control", f"control-{n}", seeds, folder, peers=seed)
            for n, seed in enumerate(seeds)
        ]
        self.entries = [
            SteppedNode("entry", f"entry-{n}", seeds, folder) for n in range(2)
        ]
        self._version = 0

    @property
    def nodes(self):
        return (*self.controls, *self.entries)

    def write(self):
        """Writes the next configuration until a node acknowledges it."""
        self._version += 1
        routing = copy.deepcopy(ROUTING)
        routing["version"] = self._version
        routing["queues"][0]["name"] = f"queue-{self._version}"
        wait_for(lambda: self._is_written(routing), "routing accepted")
        return self._version

    def _is_written(self, routing):
        return any(
            control.request("PUT", "/v1/routing", routing)[0] == 200
            for control in self.controls
        )

    def leader(self):
        """Returns the node that serves reads of the configuration."""
        found = [
            control
            for control in self.controls
            if control.request("GET", "/v1/routing")[0] == 200
        ]
        assert len(found) == 1
        return found[0]

    def count(self, event):
        """Returns the number of log lines of an event, at all nodes."""
        return sum(node.count(event) for node in self.nodes)

    def stop(self):
        for node in self.nodes:
            node.process.kill()
            node.process.wait(20)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    started = Cluster(tmp_path_factory.mktemp("stepped"))
    try:
        started.write()
        for entry in started.entries:
            wait_for(lambda entry=entry: entry.is_ready, f"{entry.log}")
        yield started
    finally:
        started.stop()


def _select(cluster, kind):
    leader = cluster.leader()
    followers = [node for node in cluster.controls if node is not leader]
    nodes = {"entry": cluster.entries[0], "leader": leader}
    return nodes.get(kind, followers[0])


@pytest.mark.parametrize("kind", ["entry", "leader", "follower"])
@pytest.mark.parametrize("delta_s", [-10.0, -2.0, 10.0])
def test_step_of_time_of_day_ends_no_stream_or_leadership(
    cluster, kind, delta_s
):
    node = _select(cluster, kind)
    before = [cluster.count(event) for event in LOSSES]
    node.step(delta_s)
    time.sleep(OBSERVED_S)
    assert [cluster.count(event) for event in LOSSES] == before
    begin_s = time.monotonic()
    version = cluster.write()
    wait_for(
        lambda: all(entry.has_in_force(version) for entry in cluster.entries),
        "in force",
    )
    assert time.monotonic() - begin_s < IN_FORCE_S
