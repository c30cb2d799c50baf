"""Who holds the workers: the leader's choice.

One entry at a time holds all workers. It is replaced only when it is gone or
asks for it, so that two nodes that are both in touch never take turns.
"""

from clayfield.base import Clock
from clayfield.cluster.directory import SetGrant
from clayfield.state.membership import box_of
from clayfield.wire.cluster import EntryStatus, Grant, NodeGreeting

# A stream that ended may be back at once; only then is its node taken for
# lost.
RECONNECT_MS = 150.0
# How long a new leader waits for the holder to connect.
TAKEOVER_MS = 1300.0
# How long the first entries are waited for, so that there is a choice.
FIRST_CHOICE_MS = 600.0
# A grant that did not come into force is proposed again after so long.
PROPOSAL_MS = 1000.0
# How long a stand-by is missed before another is named.
STANDBY_MISSED_MS = 2500.0


class _Entry:
    """An entry that is connected."""

    __slots__ = ("hall", "since_ms", "status")

    def __init__(self, hall: str, since_ms: float):
        self.hall = hall
        self.since_ms = since_ms
        self.status = EntryStatus(0, 0, False)


class HolderChoice:
    """What a leader knows of the entries, and whom it would choose."""

    __slots__ = (
        "_clock",
        "_entries",
        "_led_since_ms",
        "_missed_since",
        "_proposed_ms",
    )

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._missed_since: dict[str, float] = {}
        self._led_since_ms: float | None = None
        self._proposed_ms = -PROPOSAL_MS

    def on_open(self, greeting: NodeGreeting) -> None:
        """Learns that an entry is connected."""
        now_ms = self._clock.now_ms()
        self._entries[greeting.node] = _Entry(greeting.hall, now_ms)
        self._missed_since.pop(greeting.node, None)

    def on_closed(self, node: str) -> None:
        """Learns that an entry is not connected any more."""
        if self._entries.pop(node, None):
            self._missed_since[node] = self._clock.now_ms()

    def on_status(self, node: str, status: EntryStatus) -> None:
        """Takes an entry's heartbeat."""
        entry = self._entries.get(node)
        if entry:
            entry.status = status

    def nodes(self) -> list[str]:
        """Returns the connected entries."""
        return list(self._entries)

    def status_of(self, node: str) -> EntryStatus | None:
        """Returns an entry's latest heartbeat, None if not connected."""
        entry = self._entries.get(node)
        return entry.status if entry else None

    def on_follow(self) -> None:
        """Learns that this node does not lead."""
        self._led_since_ms = None

    def propose(self, grant: Grant) -> SetGrant | None:
        """Returns the grant that should follow the present one, if any."""
        now_ms = self._clock.now_ms()
        if self._led_since_ms is None:
            self._led_since_ms = now_ms
        if now_ms - self._proposed_ms < PROPOSAL_MS:
            return None
        self._forget_missed(now_ms)
        holder = self._next_holder(grant, now_ms)
        if not holder:
            return None
        self._proposed_ms = now_ms
        return SetGrant(grant.epoch, holder, self._standbys_beside(holder))

    def on_granted(self) -> None:
        """Learns that a grant has come into force."""
        self._proposed_ms = -PROPOSAL_MS

    def _next_holder(self, grant: Grant, now_ms: float) -> str:
        """Returns whom to grant the workers to, "" to leave them."""
        present = self._entries.get(grant.holder)
        if present is None:
            is_lost = self._is_lost(grant, now_ms)
            return self._choose(grant.holder) if is_lost else ""
        if present.status.is_stopping:
            return self._choose(grant.holder)
        if present.status.epoch < grant.epoch:
            return ""
        if self._is_epoch_wanted(grant) or self._needs_standbys(grant, now_ms):
            return grant.holder
        return ""

    def _is_epoch_wanted(self, grant: Grant) -> bool:
        return any(
            entry.status.needs_epoch and entry.status.epoch == grant.epoch
            for entry in self._entries.values()
        )

    def _is_lost(self, grant: Grant, now_ms: float) -> bool:
        if not grant.holder:
            return self._has_choice(now_ms)
        if self._is_superseded(grant.holder):
            return True
        missed_ms = self._missed_since.get(grant.holder)
        if missed_ms is not None:
            return now_ms - missed_ms >= RECONNECT_MS
        return now_ms - self._led_since_ms >= TAKEOVER_MS

    def _is_superseded(self, node: str) -> bool:
        """Tells whether a later process speaks from a node's address."""
        address = box_of(node)
        return any(
            box_of(other) == address and other != node
            for other in self._entries
        )

    def _has_choice(self, now_ms: float) -> bool:
        first_ms = min(
            (entry.since_ms for entry in self._entries.values()),
            default=now_ms,
        )
        return now_ms - first_ms >= FIRST_CHOICE_MS

    def _choose(self, not_this: str) -> str:
        """Returns the entry to hold next: one of the fullest hall."""
        candidates = [
            node
            for node, entry in self._entries.items()
            if node != not_this and not entry.status.is_stopping
        ]
        return min(candidates, key=self._rank, default="")

    def _rank(self, node: str) -> tuple[int, float, str]:
        hall = self._entries[node].hall
        beside = sum(one.hall == hall for one in self._entries.values())
        return -beside, self._entries[node].since_ms, node

    def _standbys_beside(self, holder: str) -> dict[str, str]:
        own_hall = self._entries[holder].hall
        standbys: dict[str, str] = {}
        for node in sorted(self._entries, key=self._rank):
            entry = self._entries[node]
            if entry.hall != own_hall and not entry.status.is_stopping:
                standbys.setdefault(entry.hall, node)
        return standbys

    def _needs_standbys(self, grant: Grant, now_ms: float) -> bool:
        """Tells whether a hall lacks a stand-by that it could have."""
        holder = self._entries[grant.holder]
        if now_ms - holder.since_ms < STANDBY_MISSED_MS:
            return False
        for hall, node in self._standbys_beside(grant.holder).items():
            named = grant.standbys.get(hall, "")
            if named in self._entries:
                continue
            missed_ms = self._missed_since.get(named, 0.0)
            if node and now_ms - missed_ms >= STANDBY_MISSED_MS:
                return True
        return False

    def _forget_missed(self, now_ms: float) -> None:
        horizon_ms = now_ms - STANDBY_MISSED_MS * 4
        for node, missed_ms in list(self._missed_since.items()):
            if missed_ms < horizon_ms:
                del self._missed_since[node]
