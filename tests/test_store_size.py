"""Tests of the size of a control node's data folder."""

import random

import pytest

from clayfield.daemon.store import Store
from clayfield.testbed.control_site import ControlSite
from clayfield.testbed.disk import SimulatedFolder

CAPACITY_BYTES = 128_000_000
MEBIBYTE = 1024 * 1024


class _StoredSite(ControlSite):
    """A group whose first node also writes its records to a folder."""

    def __init__(self, count, seed):
        folder = SimulatedFolder(random.Random(seed))
        folder.capacity_bytes = CAPACITY_BYTES
        self.store = Store(folder)
        super().__init__(count, seed)
        self.store.write(self._disks[self.initial_addresses[0]])

    def _persist(self, address, node, action):
        if address == self.initial_addresses[0] and action.records:
            self.store.write(action.records)
        super()._persist(address, node, action)


@pytest.mark.parametrize("size", [MEBIBYTE, 2 * MEBIBYTE, 4 * MEBIBYTE])
def test_large_configurations_in_quick_succession_do_not_fill_the_disk(size):
    site = _StoredSite(3, 1)
    site.run(2000)
    for version in range(1, 81):
        assert site.write_config(version, version, size)
        site.run(150)
    assert {node.state.version for node in site.nodes.values()} == {80}
