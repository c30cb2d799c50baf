"""Selects the boxes to which a box sends its heartbeats.

These are the boxes of its hall and of the groups that it replicates. The first
live box of each hall also exchanges heartbeats with the control boxes, so that
configurations reach every hall without a connection between all boxes.
"""

from collections.abc import Iterable

from clayfield.box.identity import Identity
from clayfield.state import hall_replicas
from clayfield.state.membership import PeerTable


def heartbeat_targets(
    identity: Identity, peers: PeerTable, halls: Iterable[str]
) -> list[str]:
    """Returns the boxes to send heartbeats to, sorted.

    Args:
        identity: this box and its cluster.
        peers: the last heartbeat of each peer.
        halls: names of the halls whose claims this box replicates.
    """
    hall_of = {name: peer.hall for name, peer in identity.boxes.items()}
    targets = set(identity.boxes_in(identity.hall))
    targets.update(hall_replicas(identity.hall, hall_of))
    for hall in halls:
        targets.update(identity.boxes_in(hall))
    is_control = identity.box in identity.control_boxes
    if (
        is_control
        or _first_live(identity, peers, identity.hall) == identity.box
    ):
        targets.update(identity.control_boxes)
    if is_control:
        first_live = (_first_live(identity, peers, h) for h in identity.halls)
        targets.update(first_live)
    targets.discard(identity.box)
    return sorted(targets)


def _first_live(identity: Identity, peers: PeerTable, hall: str) -> str:
    """Returns the first live box of a hall, or its first box if none is."""
    boxes = identity.boxes_in(hall)
    for box in boxes:
        if box == identity.box or peers.is_live(box):
            return box
    return boxes[0]
