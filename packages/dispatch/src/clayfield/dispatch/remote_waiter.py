"""Waiters for an answer that are not callers of this box."""


class RemoteWaiter:
    """Another box that waits for the answer of a submission.

    Attributes:
        node: node of the box.
        key: the caller's key with its member.
    """

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
