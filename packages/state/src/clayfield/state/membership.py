"""What a box knows of its peers, each heard over its own heartbeats.

A peer counts as live while its lease runs, on this box's clock alone. The
incarnation tells a process from an earlier one of the same box: a higher one
proves the earlier gone; a lower one is believed only after silence.
"""

from clayfield.base import Clock
from clayfield.wire.messages import Heartbeat

LEASE_MS = 1000.0
NODE_SEPARATOR = "/"


def node_name(box: str, incarnation: int) -> str:
    """Returns the name of one incarnation of a box."""
    return f"{box}{NODE_SEPARATOR}{incarnation}"


def box_of(node: str) -> str:
    """Returns the box that a node is an incarnation of."""
    return node.partition(NODE_SEPARATOR)[0]


def incarnation_of(node: str) -> int:
    """Returns the incarnation of a node."""
    return int(node.partition(NODE_SEPARATOR)[2])


def supersedes(node: str, other: str) -> bool:
    """Tells whether a node proves that another is gone for good."""
    return box_of(node) == box_of(other) and incarnation_of(
        node
    ) > incarnation_of(other)


class Peer:
    """One peer as last heard.

    Attributes:
        node: its incarnation.
        heard_ms: when it was last heard.
        beat: its latest heartbeat, None before the first.
    """

    __slots__ = ("beat", "heard_ms", "node")

    def __init__(self, node: str, heard_ms: float):
        self.node = node
        self.heard_ms = heard_ms
        self.beat: Heartbeat | None = None


class PeerTable:
    """The peers of one box."""

    __slots__ = ("_clock", "_node", "_peers")

    def __init__(self, clock: Clock, node: str):
        self._clock = clock
        self._node = node
        self._peers: dict[str, Peer] = {}

    def accepts(self, node: str) -> bool:
        """Tells whether a message of a node is to be believed.

        A message of an earlier incarnation than the one known is late.
        """
        known = self._peers.get(box_of(node))
        if known is None or known.node == node:
            return True
        return supersedes(node, known.node) or not self.is_live(box_of(node))

    def on_heard(self, node: str) -> None:
        """Learns that a node has spoken."""
        box = box_of(node)
        known = self._peers.get(box)
        if known is None or known.node != node:
            known = self._peers[box] = Peer(node, 0.0)
        known.heard_ms = self._clock.now_ms()

    def on_closed(self, node: str) -> None:
        """Learns that a node's stream ended: its process is likely gone.

        It only shortens the wait. The node counts as live again as soon as it
        speaks.
        """
        known = self._peers.get(box_of(node))
        if known and known.node == node:
            known.heard_ms = min(
                known.heard_ms, self._clock.now_ms() - LEASE_MS
            )

    def on_heartbeat(self, node: str, beat: Heartbeat) -> None:
        """Takes a heartbeat."""
        self.on_heard(node)
        self._peers[box_of(node)].beat = beat

    def get(self, box: str) -> Peer | None:
        """Returns a peer, None if it was never heard."""
        return self._peers.get(box)

    def is_live(self, box: str) -> bool:
        """Tells whether a box was heard within its lease."""
        return self.silence_ms(box) < LEASE_MS

    def silence_ms(self, box: str) -> float:
        """Returns for how long a box was not heard."""
        peer = self._peers.get(box)
        if peer is None:
            return float("inf")
        return self._clock.now_ms() - peer.heard_ms

    def live(self) -> list[tuple[str, Peer]]:
        """Returns the live boxes that sent a heartbeat, by name."""
        return [
            (box, peer)
            for box, peer in sorted(self._peers.items())
            if peer.beat and self.is_live(box)
        ]

    def is_superseded(self, node: str) -> bool:
        """Tells whether a later incarnation of a node's box was heard."""
        if supersedes(self._node, node):
            return True
        peer = self._peers.get(box_of(node))
        return peer is not None and supersedes(peer.node, node)

    def leader_of(self, group: str) -> tuple[str, int]:
        """Returns the live node that leads a group, and its term.

        The node is "" where no live peer says that it leads.
        """
        best = ("", 0)
        for _, peer in self.live():
            term = peer.beat.leads.get(group, 0)
            if term > best[1]:
                best = (peer.node, term)
        return best
