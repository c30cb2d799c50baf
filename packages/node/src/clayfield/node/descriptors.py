"""How the open descriptors of a process are shared by its connections."""

# Left to files, to the event loop and to connections that are being closed.
RESERVED = 200
# Readiness checks, metrics, and peers that have not sent their greeting.
MAX_SIDE_CONNECTIONS = 64


class DescriptorShares:
    """The most open connections of each kind.

    Streams to other nodes have no share of their own: their number is that of
    the nodes.

    Attributes:
        callers: connections of callers to an entry node.
        operators: connections of operators and workers to a control node.
        calls: open calls of an entry node to workers.
        idle_calls: idle connections of an entry node to workers.
    """

    __slots__ = ("callers", "calls", "idle_calls", "operators")

    def __init__(self, max_descriptors: int):
        """Divides what is left beside the reserve, half of a small number.

        Args:
            max_descriptors: descriptors that the process may open.
        """
        usable = max(max_descriptors - RESERVED, max_descriptors // 2)
        self.callers = usable // 2
        self.operators = usable * 3 // 4
        self.calls = usable // 5
        self.idle_calls = usable // 5
