"""Names and addresses of a box and of its peers, from the settings."""

from clayfield.state.membership import node_name


class PeerAddress:
    """A box listed in the settings.

    Attributes:
        hall: name of its hall.
        address: `IP:PORT` at which its peers connect.
        is_control: whether it has a data folder and votes in the control log.
    """

    __slots__ = ("address", "hall", "is_control")

    def __init__(self, hall: str, address: str, is_control: bool):
        self.hall = hall
        self.address = address
        self.is_control = is_control


class Identity:
    """A box, its process and the boxes of its cluster.

    Attributes:
        box: name of the box.
        hall: name of its hall.
        incarnation: number of this start of the process; higher at each start.
        disk_id: creation time of the data folder, in ns since 1970; identifies
            the folder. 0 without one.
        boxes: all boxes by name, this one included.
        node: name of this process, BOX/INCARNATION.
        halls: names of all halls, sorted.
        control_boxes: names of the boxes that vote in the control log, sorted.
    """

    __slots__ = (
        "_boxes_in",
        "box",
        "boxes",
        "control_boxes",
        "disk_id",
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
        disk_id: int = 0,
    ):
        self.box = box
        self.hall = boxes[box].hall
        self.incarnation = incarnation
        self.disk_id = disk_id
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
        """Name of this box's data folder as a node of the control log."""
        return node_name(self.box, self.disk_id)

    def hall_of(self, box: str) -> str:
        """Returns the hall of a box, "" if the box is not configured."""
        peer = self.boxes.get(box)
        return peer.hall if peer else ""

    def boxes_in(self, hall: str) -> tuple[str, ...]:
        """Returns the names of the boxes of a hall, sorted."""
        return self._boxes_in.get(hall, ())
