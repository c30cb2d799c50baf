"""Selection of the holder and the standbys by the leader of the control nodes.

One entry node at a time, the holder, schedules all workers under a grant. It
is replaced only when it is lost or stopping, so that the grant does not
alternate between two connected nodes. A standby is an entry node that
schedules the workers of its hall while the hall is partitioned from the
holder.
"""

from clayfield.base import Clock
from clayfield.cluster.control_state import SetGrant
from clayfield.state.membership import box_of
from clayfield.wire.cluster import EntryStatus, Grant, NodeGreeting

# Time for a disconnected holder to connect again before it is replaced.
RECONNECT_GRACE_MS = 150.0
# Time for the holder to connect to a new leader before it is replaced.
NEW_LEADER_GRACE_MS = 1300.0
# Time from the first connection of an entry node to the first grant, so that
# other entry nodes can connect.
INITIAL_WAIT_MS = 600.0
# Time after which a grant that was not committed is proposed again.
PROPOSAL_TIMEOUT_MS = 1000.0
# Time for a standby to connect before another is selected.
STANDBY_GRACE_MS = 2500.0


class _EntryNode:
    """A connected entry node.

    Attributes:
        hall: hall of the node.
        since_ms: time at which it connected, in ms.
        status: latest heartbeat.
    """

    __slots__ = ("hall", "since_ms", "status")

    def __init__(self, hall: str, since_ms: float):
        self.hall = hall
        self.since_ms = since_ms
        self.status = EntryStatus(0, 0, False)


class HolderSelector:
    """Tracks the connected entry nodes and selects holder and standbys."""

    __slots__ = (
        "_clock",
        "_disconnected_since",
        "_entry_nodes",
        "_leading_since_ms",
        "_proposed_ms",
    )

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entry_nodes: dict[str, _EntryNode] = {}
        self._disconnected_since: dict[str, float] = {}
        self._leading_since_ms: float | None = None
        self._proposed_ms = -PROPOSAL_TIMEOUT_MS

    def on_connected(self, greeting: NodeGreeting) -> None:
        """Handles a new connection of an entry node."""
        now_ms = self._clock.now_ms()
        self._entry_nodes[greeting.node] = _EntryNode(greeting.hall, now_ms)
        self._disconnected_since.pop(greeting.node, None)

    def on_disconnected(self, node: str) -> None:
        """Handles the end of the connection of an entry node."""
        if self._entry_nodes.pop(node, None):
            self._disconnected_since[node] = self._clock.now_ms()

    def on_status(self, node: str, status: EntryStatus) -> None:
        """Records a heartbeat of an entry node."""
        entry = self._entry_nodes.get(node)
        if entry:
            entry.status = status

    def nodes(self) -> list[str]:
        """Returns the names of the connected entry nodes."""
        return list(self._entry_nodes)

    def status_of(self, node: str) -> EntryStatus | None:
        """Returns a node's latest heartbeat, None if it is not connected."""
        entry = self._entry_nodes.get(node)
        return entry.status if entry else None

    def on_leadership_lost(self) -> None:
        """Records that this control node is not the leader."""
        self._leading_since_ms = None

    def propose(self, grant: Grant) -> SetGrant | None:
        """Returns the grant to propose after the current one, None if none."""
        now_ms = self._clock.now_ms()
        if self._leading_since_ms is None:
            self._leading_since_ms = now_ms
        if now_ms - self._proposed_ms < PROPOSAL_TIMEOUT_MS:
            return None
        self._drop_old_disconnections(now_ms)
        holder = self._next_holder(grant, now_ms)
        if not holder:
            return None
        self._proposed_ms = now_ms
        return SetGrant(grant.epoch, holder, self._select_standbys(holder))

    def on_granted(self) -> None:
        """Allows the next proposal, as a grant was committed."""
        self._proposed_ms = -PROPOSAL_TIMEOUT_MS

    def _next_holder(self, grant: Grant, now_ms: float) -> str:
        """Returns the holder of the next grant, "" if none is needed."""
        holder = self._entry_nodes.get(grant.holder)
        if holder is None:
            is_holder_lost = self._is_holder_lost(grant, now_ms)
            return self._select_holder(grant.holder) if is_holder_lost else ""
        if holder.status.is_stopping:
            return self._select_holder(grant.holder)
        if holder.status.epoch < grant.epoch:
            return ""
        if self._is_new_epoch_requested(grant) or self._needs_standbys(
            grant, now_ms
        ):
            return grant.holder
        return ""

    def _is_new_epoch_requested(self, grant: Grant) -> bool:
        return any(
            entry.status.needs_new_epoch and entry.status.epoch == grant.epoch
            for entry in self._entry_nodes.values()
        )

    def _is_holder_lost(self, grant: Grant, now_ms: float) -> bool:
        """Returns whether a disconnected holder is to be replaced.

        Without any grant yet, returns whether the first one is due.
        """
        if not grant.holder:
            return self._is_initial_wait_over(now_ms)
        if self._is_superseded(grant.holder):
            return True
        disconnected_ms = self._disconnected_since.get(grant.holder)
        if disconnected_ms is not None:
            return now_ms - disconnected_ms >= RECONNECT_GRACE_MS
        return now_ms - self._leading_since_ms >= NEW_LEADER_GRACE_MS

    def _is_superseded(self, node: str) -> bool:
        """Returns whether another node is connected with a node's address."""
        address = box_of(node)
        return any(
            box_of(other) == address and other != node
            for other in self._entry_nodes
        )

    def _is_initial_wait_over(self, now_ms: float) -> bool:
        first_connected_ms = min(
            (entry.since_ms for entry in self._entry_nodes.values()),
            default=now_ms,
        )
        return now_ms - first_connected_ms >= INITIAL_WAIT_MS

    def _select_holder(self, excluded: str) -> str:
        """Returns the entry node to become holder, "" if there is none.

        Of all but the excluded one, it is the one that connected first in the
        hall with the most entry nodes.
        """
        candidates = [
            node
            for node, entry in self._entry_nodes.items()
            if node != excluded and not entry.status.is_stopping
        ]
        return min(candidates, key=self._rank, default="")

    def _rank(self, node: str) -> tuple[int, float, str]:
        """Returns a sort key: size of the hall, then time of connection."""
        hall = self._entry_nodes[node].hall
        hall_size = sum(
            entry.hall == hall for entry in self._entry_nodes.values()
        )
        return -hall_size, self._entry_nodes[node].since_ms, node

    def _select_standbys(self, holder: str) -> dict[str, str]:
        """Returns a standby for each hall but the holder's, by hall."""
        holder_hall = self._entry_nodes[holder].hall
        standbys: dict[str, str] = {}
        for node in sorted(self._entry_nodes, key=self._rank):
            entry = self._entry_nodes[node]
            if entry.hall != holder_hall and not entry.status.is_stopping:
                standbys.setdefault(entry.hall, node)
        return standbys

    def _needs_standbys(self, grant: Grant, now_ms: float) -> bool:
        """Returns whether a hall lacks a standby and has a node for it."""
        holder = self._entry_nodes[grant.holder]
        if now_ms - holder.since_ms < STANDBY_GRACE_MS:
            return False
        for hall, node in self._select_standbys(grant.holder).items():
            standby = grant.standbys.get(hall, "")
            if standby in self._entry_nodes:
                continue
            disconnected_ms = self._disconnected_since.get(standby, 0.0)
            if node and now_ms - disconnected_ms >= STANDBY_GRACE_MS:
                return True
        return False

    def _drop_old_disconnections(self, now_ms: float) -> None:
        cutoff_ms = now_ms - STANDBY_GRACE_MS * 4
        for node, disconnected_ms in list(self._disconnected_since.items()):
            if disconnected_ms < cutoff_ms:
                del self._disconnected_since[node]
