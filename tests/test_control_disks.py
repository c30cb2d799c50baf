"""Tests of control nodes whose disks take time, stall and lose power."""

import random

import pytest

from clayfield.cluster import WriteOutcome
from clayfield.testbed.control_site import ControlSite

SYNC_MS = 9.0
STALL_MS = 3500.0
WAIT_MS = 4000.0


class _Disk:
    """The disk of a node: a queue of actions, written one batch at a time.

    Attributes:
        waiting: actions whose write has not begun.
        cached: records written but not yet synced.
        is_busy: whether a write is running.
        free_ms: time until which the disk does nothing.
    """

    __slots__ = ("cached", "free_ms", "is_busy", "waiting")

    def __init__(self):
        self.waiting = []
        self.cached = []
        self.is_busy = False
        self.free_ms = 0.0


class _DiskSite(ControlSite):
    """A group of control nodes that sync their records before they send."""

    def __init__(self, count, seed):
        self._queues = {}
        super().__init__(count, seed)

    def start(self, address):
        self._queues[address] = _Disk()
        super().start(address)

    def stall(self, address, duration_ms):
        self._queues[address].free_ms = self.clock.now_ms() + duration_ms

    def kill(self, address):
        """Kills a node; what it wrote stays, since opening syncs it."""
        self._disks[address] += self._queues.pop(address).cached
        super().kill(address)

    def lose_power(self, address, kept):
        """Ends a node; of the unsynced records, `kept` stay."""
        self._disks[address] += self._queues.pop(address).cached[:kept]
        super().kill(address)

    def _persist(self, address, node, action):
        disk = self._queues[address]
        if not (action.records or disk.is_busy or disk.waiting):
            super()._persist(address, node, action)
            return
        disk.waiting.append(action)
        self._write_next(address, node, disk)

    def _write_next(self, address, node, disk):
        if disk.is_busy or not disk.waiting:
            return
        disk.is_busy = True
        batch, disk.waiting = disk.waiting, []
        disk.cached = [r for action in batch for r in action.records]
        stall_ms = max(0.0, disk.free_ms - self.clock.now_ms())

        def finish():
            if self._queues.get(address) is not disk:
                return
            disk.is_busy = False
            disk.cached = []
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
            site.kill(address)
            site.start(address)
        case "power":
            _lose_power(site, rng, [address])
        case "all":
            _lose_power(site, rng, site.initial_addresses)


def _lose_power(site, rng, addresses):
    for address in addresses:
        site.lose_power(address, rng.randint(0, 3))
    for address in addresses:
        site.start(address)
