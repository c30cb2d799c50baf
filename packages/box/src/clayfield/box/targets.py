"""Which boxes must hear this one's heartbeats.

These are the boxes of its hall and of its groups; and from the first live box
of each hall the control boxes, and back, so that configurations spread from
hall to hall without every box talking to every other.
"""

from collections.abc import Iterable

from clayfield.box.identity import Identity
from clayfield.state import hall_replicas
from clayfield.state.membership import PeerTable


def beat_targets(
    identity: Identity, peers: PeerTable, halls: Iterable[str]
) -> list[str]:
    """Returns the boxes to send heartbeats to, sorted.

    Args:
        identity: this box.
        peers: what it knows of the others.
        halls: those whose claims it replicates.
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
        firsts = (_first_live(identity, peers, h) for h in identity.halls)
        targets.update(firsts)
    targets.discard(identity.box)
    return sorted(targets)


def _first_live(identity: Identity, peers: PeerTable, hall: str) -> str:
    """Returns the first live box of a hall, or just the first if none is."""
    boxes = identity.boxes_in(hall)
    for box in boxes:
        if box == identity.box or peers.is_live(box):
            return box
    return boxes[0]
