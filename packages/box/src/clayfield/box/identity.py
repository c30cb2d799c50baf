"""Who a box is, and whom it knows from its settings."""

from clayfield.state.membership import node_name


class PeerAddress:
    """A box named in the settings.

    Attributes:
        hall: where it stands.
        address: `IP:PORT` for its peers.
        is_control: whether it has a data folder and votes on configurations.
    """

    __slots__ = ("address", "hall", "is_control")

    def __init__(self, hall: str, address: str, is_control: bool):
        self.hall = hall
        self.address = address
        self.is_control = is_control


class Identity:
    """A box and its cluster.

    Attributes:
        box: the box's name.
        hall: its hall.
        incarnation: higher at every start of the process.
        disk: when its data folder was made; 0 without one.
        boxes: all boxes by name, this one included.
        node: this process as a node.
        halls: the names of all halls, sorted.
        control_boxes: the boxes that vote on configurations, sorted.
    """

    __slots__ = (
        "_boxes_in",
        "box",
        "boxes",
        "control_boxes",
        "disk",
        "hall",
        "halls",
        "incarnation",
        "node",
    )

    def __init__(
        self,
        box: str,
        incarnation: int,
        boxes: dict[str, PeerAddress],
        disk: int = 0,
    ):
        self.box = box
        self.hall = boxes[box].hall
        self.incarnation = incarnation
        self.disk = disk
        self.boxes = boxes
        self.node = node_name(box, incarnation)
        self.halls = tuple(sorted({peer.hall for peer in boxes.values()}))
        self._boxes_in = {
            hall: tuple(sorted(n for n, p in boxes.items() if p.hall == hall))
            for hall in self.halls
        }
        self.control_boxes = tuple(
            sorted(n for n, peer in boxes.items() if peer.is_control)
        )

    @property
    def control_node(self) -> str:
        """This box's data folder as a node of the control log."""
        return node_name(self.box, self.disk)

    def hall_of(self, box: str) -> str:
        """Returns the hall of a box, "" if it is not known."""
        peer = self.boxes.get(box)
        return peer.hall if peer else ""

    def boxes_in(self, hall: str) -> tuple[str, ...]:
        """Returns the boxes of a hall, sorted."""
        return self._boxes_in.get(hall, ())
