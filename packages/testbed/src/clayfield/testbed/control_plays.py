"""Random plays of faults at control nodes, with a check of every read.

A read is answered by a node whose state is certain to be current. It must
return no version below any that was acknowledged before.
"""

import random
from collections.abc import Callable

from clayfield.state.membership import box_of
from clayfield.testbed.control_site import ControlSite

SETTLE_MS = 2500.0
STEP_MS = 10.0
RECOVERY_MS = 8000.0
# Least time between two losses of a disk, in which a new node takes its place.
DISK_LOSS_INTERVAL_MS = 6000.0
MAX_TROUBLE_MS = 3000.0
FAULTS = (
    "partition",
    "silence",
    "kill",
    "suspend",
    "reset",
    "transfer",
    "lose_disk",
)


class StaleRead:
    """A read of an older version than one that was acknowledged before.

    Attributes:
        at_ms: time of the read.
        version: the version that was read.
        acknowledged: the version that was acknowledged.
        age_ms: time since the first acknowledgement of a later version.
    """

    __slots__ = ("acknowledged", "age_ms", "at_ms", "version")

    def __init__(
        self, at_ms: float, version: int, acknowledged: int, age_ms: float
    ):
        self.at_ms = at_ms
        self.version = version
        self.acknowledged = acknowledged
        self.age_ms = age_ms

    def __repr__(self) -> str:
        return (
            f"read {self.version} at {self.at_ms:.0f} ms, {self.age_ms:.0f} ms"
            f" after a later version was acknowledged, {self.acknowledged} in"
            " all"
        )


class ControlPlay:
    """One seeded play of writes, reads and faults.

    Attributes:
        site: the control nodes.
        stale_reads: reads that returned too old a version.
        reads: number of reads that were answered.
        faults: number of faults of each kind.
    """

    def __init__(
        self,
        seed: int,
        duration_ms: float = 20_000.0,
        faults: tuple[str, ...] = FAULTS,
    ):
        """Sets up the play; `run` plays it.

        Args:
            seed: seed of all random numbers.
            duration_ms: time during which faults begin.
            faults: kinds of faults to play, of `FAULTS`.
        """
        self._rng = random.Random(seed)
        self.site = ControlSite(self._rng.choice((3, 3, 5)), seed)
        self.site.persist_ms = self._rng.choice((0.0, 5.0, 60.0))
        self.stale_reads: list[StaleRead] = []
        self.reads = 0
        self.faults = dict.fromkeys(faults, 0)
        self._duration_ms = duration_ms
        self._acknowledged: list[tuple[int, float]] = []
        self._last_version = 0
        self._last_request = 0
        self._troubled: set[str] = set()
        self._next_disk_loss_ms = 0.0

    def run(self) -> None:
        """Plays the faults, ends them, and lets the nodes recover."""
        site = self.site
        site.run(SETTLE_MS)
        end_ms = site.clock.now_ms() + self._duration_ms
        while site.clock.now_ms() < end_ms:
            self._step()
            if self._rng.random() < 0.02:
                self._begin_fault()
        last_ms = site.clock.now_ms() + RECOVERY_MS
        while site.clock.now_ms() < last_ms:
            self._step()

    def _step(self) -> None:
        if self._rng.random() < 0.1:
            self._write()
        self.site.run(STEP_MS * self._rng.random())
        self._note_acknowledged()
        for address in self.site.nodes:
            if not self.site.is_suspended(address):
                self.read(address)

    def _write(self) -> None:
        """Writes the next version at every node that takes writes."""
        self._last_version += 1
        for address, node in list(self.site.nodes.items()):
            if node.is_state_current and not self.site.is_suspended(address):
                self._last_request += 1
                self.site.write_config_at(
                    address, self._last_request, self._last_version
                )

    def _note_acknowledged(self) -> None:
        version = self.site.acknowledged_version
        if not self._acknowledged or self._acknowledged[-1][0] < version:
            self._acknowledged.append((version, self.site.clock.now_ms()))

    def read(self, address: str) -> None:
        """Reads at one node and checks the version, if it answers."""
        self._note_acknowledged()
        node = self.site.nodes[address]
        if not node.is_state_current:
            return
        self.reads += 1
        version = node.state.version
        newer = [at for one, at in self._acknowledged if one > version]
        if newer:
            now_ms = self.site.clock.now_ms()
            self.stale_reads.append(
                StaleRead(
                    now_ms,
                    version,
                    self._acknowledged[-1][0],
                    now_ms - newer[0],
                )
            )

    # Faults.

    def _begin_fault(self) -> None:
        kind = self._rng.choice(list(self.faults))
        address = self._rng.choice(self.site.initial_addresses)
        leader = self.site.leader()
        if leader and self._rng.random() < 0.5:
            address = box_of(leader.node)
        if address in self._troubled or address not in self.site.nodes:
            return
        begin = getattr(self, f"_begin_{kind}")
        self.faults[kind] += begin(address)

    def _end_later(self, address: str, end: Callable[[], None]) -> None:
        """Ends the trouble of a node after a random time."""
        self._troubled.add(address)

        def finish() -> None:
            self._troubled.discard(address)
            end()

        # Short troubles end while leases and election timers still run.
        max_ms = self._rng.choice((50.0, 600.0, MAX_TROUBLE_MS))
        self.site.call_later(self._rng.random() * max_ms, finish)

    def _begin_partition(self, address: str) -> bool:
        self.site.partition(address)
        self._end_later(address, lambda: self.site.heal(address))
        return True

    def _begin_silence(self, address: str) -> bool:
        self.site.silence(address)
        self._end_later(address, lambda: self.site.heal(address))
        return True

    def _begin_kill(self, address: str) -> bool:
        self.site.kill(address)
        self._end_later(address, lambda: self.site.start(address))
        return True

    def _begin_suspend(self, address: str) -> bool:
        self.site.suspend(address)

        def resume() -> None:
            self.site.resume(address)
            self.read(address)

        self._end_later(address, resume)
        return True

    def _begin_reset(self, address: str) -> bool:
        others = [a for a in self.site.nodes if a != address]
        if not others:
            return False
        other = self._rng.choice(others)
        self.site.reset(address, other)
        return True

    def _begin_transfer(self, address: str) -> bool:
        return self.site.transfer_leadership(address)

    def _begin_lose_disk(self, address: str) -> bool:
        """Replaces a node by an empty one, if all others are without fault."""
        now_ms = self.site.clock.now_ms()
        if self._troubled or now_ms < self._next_disk_loss_ms:
            return False
        leader = self.site.leader()
        if not leader or not self._is_complete(leader):
            return False
        self._next_disk_loss_ms = now_ms + DISK_LOSS_INTERVAL_MS
        self.site.kill(address)
        self.site.lose_disk(address)
        self._end_later(address, lambda: self.site.start(address))
        return True

    def _is_complete(self, leader: object) -> bool:
        """Whether the voters are the running nodes."""
        running = {node.node for node in self.site.nodes.values()}
        return set(leader.consensus.members.voters) == running
