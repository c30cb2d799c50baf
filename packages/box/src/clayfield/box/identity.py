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
    """

    __slots__ = ("box", "boxes", "disk", "hall", "incarnation")

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

    @property
    def node(self) -> str:
        """This process as a node."""
        return node_name(self.box, self.incarnation)

    @property
    def control_node(self) -> str:
        """This box's data folder as a node of the control log."""
        return node_name(self.box, self.disk)

    @property
    def halls(self) -> tuple[str, ...]:
        """The names of all halls, sorted."""
        return tuple(sorted({peer.hall for peer in self.boxes.values()}))

    @property
    def control_boxes(self) -> tuple[str, ...]:
        """The boxes that vote on configurations, sorted."""
        names = [n for n, peer in self.boxes.items() if peer.is_control]
        return tuple(sorted(names))

    def hall_of(self, box: str) -> str:
        """Returns the hall of a box, "" if it is not known."""
        peer = self.boxes.get(box)
        return peer.hall if peer else ""

    def boxes_in(self, hall: str) -> tuple[str, ...]:
        """Returns the boxes of a hall, sorted."""
        names = [n for n, peer in self.boxes.items() if peer.hall == hall]
        return tuple(sorted(names))
