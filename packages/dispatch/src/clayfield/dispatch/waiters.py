"""Who waits for an answer, besides a box's own callers."""


class RemoteWaiter:
    """Another box that waits for an answer."""

    __slots__ = ("key", "node")

    def __init__(self, node: str, key: str):
        self.node = node
        self.key = key

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RemoteWaiter) and (self.node, self.key) == (
            other.node,
            other.key,
        )

    def __hash__(self) -> int:
        return hash((self.node, self.key))
