"""The peers of a box: their incarnations, heartbeats and liveness.

A peer is live for `LEASE_MS` after each contact, measured on this box's clock.
Each start of a box's process has an incarnation number. A message from a higher
one proves that the earlier process has ended; messages from a lower one are
accepted only when the known one is not live any more.

A node is one incarnation of a box, named `BOX/INCARNATION`.
"""

from clayfield.base import Clock
from clayfield.wire.messages import Heartbeat

LEASE_MS = 1000.0
NODE_SEPARATOR = "/"


def node_name(box: str, incarnation: int) -> str:
    """Returns the name of the node for an incarnation of a box."""
    return f"{box}{NODE_SEPARATOR}{incarnation}"


def box_of(node: str) -> str:
    """Returns the name of the box of a node."""
    return node.partition(NODE_SEPARATOR)[0]


def incarnation_of(node: str) -> int:
    """Returns the incarnation number of a node."""
    return int(node.partition(NODE_SEPARATOR)[2])


def supersedes(node: str, other: str) -> bool:
    """Returns whether a node is a later incarnation of another's box."""
    return box_of(node) == box_of(other) and incarnation_of(
        node
    ) > incarnation_of(other)


class Peer:
    """The state of one peer.

    Attributes:
        node: name of the node, which is the known incarnation of the box.
        last_contact_ms: time of the last contact, in ms.
        heartbeat: latest heartbeat, None before the first.
    """

    __slots__ = ("heartbeat", "last_contact_ms", "node")

    def __init__(self, node: str, last_contact_ms: float):
        self.node = node
        self.last_contact_ms = last_contact_ms
        self.heartbeat: Heartbeat | None = None


class PeerTable:
    """The peers with which a box has been in contact."""

    __slots__ = ("_clock", "_node", "_peers")

    def __init__(self, clock: Clock, node: str):
        self._clock = clock
        self._node = node
        self._peers: dict[str, Peer] = {}

    def accepts(self, node: str) -> bool:
        """Returns whether messages of a node are accepted.

        Those of an earlier incarnation than the known one are outdated while
        the known one is live.
        """
        peer = self._peers.get(box_of(node))
        if peer is None or peer.node == node:
            return True
        return supersedes(node, peer.node) or not self.is_live(box_of(node))

    def on_contact(self, node: str) -> None:
        """Records contact with a node."""
        box = box_of(node)
        peer = self._peers.get(box)
        if peer is None or peer.node != node:
            peer = self._peers[box] = Peer(node, 0.0)
        peer.last_contact_ms = self._clock.now_ms()

    def on_disconnected(self, node: str) -> None:
        """Handles the end of a node's connection.

        Its process has probably ended, so it is not live until the next
        contact.
        """
        peer = self._peers.get(box_of(node))
        if peer and peer.node == node:
            peer.last_contact_ms = min(
                peer.last_contact_ms, self._clock.now_ms() - LEASE_MS
            )

    def on_heartbeat(self, node: str, heartbeat: Heartbeat) -> None:
        """Records a heartbeat of a node."""
        self.on_contact(node)
        self._peers[box_of(node)].heartbeat = heartbeat

    def get(self, box: str) -> Peer | None:
        """Returns the peer on a box, None if there was no contact with it."""
        return self._peers.get(box)

    def is_live(self, box: str) -> bool:
        """Returns whether the last contact with a box is within the lease."""
        return self.ms_since_contact(box) < LEASE_MS

    def ms_since_contact(self, box: str) -> float:
        """Returns the time since the last contact with a box, in ms.

        Infinite if there was none.
        """
        peer = self._peers.get(box)
        if peer is None:
            return float("inf")
        return self._clock.now_ms() - peer.last_contact_ms

    def live_peers(self) -> list[tuple[str, Peer]]:
        """Returns the live peers that have sent a heartbeat, by box name."""
        return [
            (box, peer)
            for box, peer in sorted(self._peers.items())
            if peer.heartbeat and self.is_live(box)
        ]

    def is_superseded(self, node: str) -> bool:
        """Returns whether a later incarnation of a node's box is known."""
        if supersedes(self._node, node):
            return True
        peer = self._peers.get(box_of(node))
        return peer is not None and supersedes(peer.node, node)

    def leader_of(self, group: str) -> tuple[str, int]:
        """Returns the live peer that leads a group, and its term.

        ("", 0) if no live peer reports that it leads.
        """
        best = ("", 0)
        for _, peer in self.live_peers():
            term = peer.heartbeat.led_terms.get(group, 0)
            if term > best[1]:
                best = (peer.node, term)
        return best
