"""Tests of control nodes whose disks take time, stall and lose power."""

import contextlib
import random

import pytest

from clayfield.cluster import WriteOutcome
from clayfield.daemon.store import Store
from clayfield.testbed.control_site import ControlSite
from clayfield.testbed.disk import ProcessKilledError, SimulatedFolder

SYNC_MS = 9.0
STALL_MS = 3500.0
WAIT_MS = 4000.0


class _Disk:
    """The disk of a node: a folder, and a queue of actions to be written.

    Attributes:
        folder: the data folder.
        store: the store of the running process.
        waiting: actions whose write has not begun.
        writing: records of the write that runs, None if none does.
        free_ms: time until which the disk does nothing.
    """

    __slots__ = ("folder", "free_ms", "store", "waiting", "writing")

    def __init__(self, folder, store):
        self.folder = folder
        self.store = store
        self.waiting = []
        self.writing = None
        self.free_ms = 0.0


class _DiskSite(ControlSite):
    """A group of control nodes with stores that take time to sync."""

    def __init__(self, count, seed):
        self._rng_disks = random.Random(seed)
        self._folders = {}
        self._running = {}
        super().__init__(count, seed)

    def _restore(self, address):
        is_new = address not in self._folders
        if is_new:
            folder = SimulatedFolder(self._rng_disks, exists=True)
            self._folders[address] = folder
        folder = self._folders[address]
        store = Store(folder, self._disk_ids[address])
        if is_new and self._disks[address]:
            store.write(self._disks[address])
            store = Store(folder)
        self._running[address] = _Disk(folder, store)
        return store.state

    def stall(self, address, duration_ms):
        self._running[address].free_ms = self.clock.now_ms() + duration_ms

    def kill(self, address, operations=1):
        """Kills a node after some operations of the write that runs."""
        disk = self._running.pop(address)
        if disk.writing:
            disk.folder.kill_after(operations)
            with contextlib.suppress(ProcessKilledError):
                disk.store.write(disk.writing)
        disk.folder.end_process()
        super().kill(address)

    def lose_power(self, address, operations=1):
        self.kill(address, operations)
        self._folders[address].lose_power()

    def lose_disk(self, address):
        del self._folders[address]
        super().lose_disk(address)

    def _persist(self, address, node, action):
        disk = self._running[address]
        is_idle = disk.writing is None and not disk.waiting
        if is_idle and not action.records:
            super()._persist(address, node, action)
            return
        disk.waiting.append(action)
        self._write_next(address, node, disk)

    def _write_next(self, address, node, disk):
        if disk.writing is not None or not disk.waiting:
            return
        batch, disk.waiting = disk.waiting, []
        disk.writing = [r for action in batch for r in action.records]
        stall_ms = max(0.0, disk.free_ms - self.clock.now_ms())

        def finish():
            if self._running.get(address) is not disk:
                return
            if disk.writing:
                disk.store.write(disk.writing)
            disk.writing = None
            for action in batch:
                super(_DiskSite, self)._persist(address, node, action)
            self._write_next(address, node, disk)
            self._run_actions(address, node)

        self.call_later(stall_ms + SYNC_MS, finish)


def _acknowledged(site):
    done = WriteOutcome.IN_FORCE
    return max(
        (n for n, o in site.write_outcomes.items() if o is done), default=0
    )


def _check_leader(site):
    leader = site.leader()
    if leader is not None:
        assert leader.state.version >= _acknowledged(site)


@pytest.mark.parametrize("how", ["leader", "follower"])
@pytest.mark.parametrize("seed", range(5))
def test_change_is_acknowledged_while_one_disk_stalls(seed, how):
    site = _DiskSite(3, seed)
    site.run(2000)
    leader = site.leader()
    address = next(
        a for a, n in site.nodes.items() if (n is leader) == (how == "leader")
    )
    site.stall(address, STALL_MS)
    assert site.write_config(1, 1)
    site.run(2000)
    assert site.write_config(2, 2)
    site.run(500)
    assert site.write_outcomes[2] is WriteOutcome.IN_FORCE
    site.run(STALL_MS)
    assert {node.state.version for node in site.nodes.values()} == {2}


@pytest.mark.parametrize("seed", range(40))
def test_acknowledged_changes_outlive_stalls_kills_and_losses_of_power(seed):
    rng = random.Random(seed)
    site = _DiskSite(3, seed)
    site.run(2000)
    for version in range(1, 40):
        site.write_config(version, version)
        site.run(rng.choice([0.0, 5.0, 12.0, 30.0, 100.0, 700.0]))
        _check_leader(site)
        _disturb(site, rng)
    _lose_power(site, rng, site.initial_addresses)
    site.run(WAIT_MS)
    assert site.leader() is not None
    _check_leader(site)


def _disturb(site, rng):
    """Stalls, kills or ends one node, or all of them."""
    address = rng.choice(site.initial_addresses)
    match rng.choice(["none", "none", "stall", "kill", "power", "all"]):
        case "stall":
            site.stall(address, rng.choice([50.0, 500.0, STALL_MS]))
        case "kill":
            site.kill(address, rng.randint(0, 2))
            site.start(address)
        case "power":
            _lose_power(site, rng, [address])
        case "all":
            _lose_power(site, rng, site.initial_addresses)


def _lose_power(site, rng, addresses):
    for address in addresses:
        site.lose_power(address, rng.randint(0, 2))
    for address in addresses:
        site.start(address)


@pytest.mark.parametrize("seed", range(10))
def test_change_acknowledged_after_a_kill_before_the_sync_is_not_lost(seed):
    site = _DiskSite(3, seed)
    site.run(2000)
    leader = site.leader()
    first, second, third = sorted(
        site.initial_addresses, key=lambda a: site.nodes[a] is not leader
    )
    site.stall(third, STALL_MS)
    assert site.write_config(1, 1)
    site.run(4)
    site.kill(second)
    site.start(second)
    site.run(200)
    assert site.write_outcomes[1] is WriteOutcome.IN_FORCE
    for address in (first, second, third):
        site.lose_power(address)
    site.lose_disk(first)
    for address in (first, second, third):
        site.start(address)
    site.run(WAIT_MS)
    assert site.leader().state.version == 1
