"""Which version of the configuration is on its way to each entry node."""

from clayfield.wire.cluster import EntryStatus


class ConfigPushes:
    """Tracks the copies of the configuration that were sent to entry nodes.

    At most one copy at a time is on its way to a node. A stream delivers what
    is sent on it or ends, so a copy is sent again only after its stream has
    ended. Versions that are superseded meanwhile are skipped, so the newest
    one never waits for more than one copy.
    """

    __slots__ = ("_in_flight", "_last_sent")

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        self._last_sent: dict[str, int] = {}

    def on_connected(self, node: str) -> None:
        """Handles a new connection of an entry node."""
        self._in_flight[node] = 0

    def on_stream_lost(self, node: str) -> None:
        """Handles the loss of one of the streams to an entry node."""
        self._in_flight[node] = 0

    def on_disconnected(self, node: str) -> None:
        """Handles the end of the connection of an entry node."""
        self._in_flight.pop(node, None)
        self._last_sent.pop(node, None)

    def is_due(self, node: str, status: EntryStatus, version: int) -> bool:
        """Returns whether to send a version to a connected entry node.

        Args:
            node: the entry node.
            status: its latest heartbeat.
            version: the active version.
        """
        received = status.received_version
        if received < 0:
            received = status.config_version
        is_lacking = max(status.config_version, received) < version
        return is_lacking and self._in_flight[node] <= received

    def on_sent(self, node: str, version: int) -> bool:
        """Records that a version is sent to an entry node.

        Returns:
            Whether it was sent to the node before, on this connection.
        """
        is_repeated = version <= self._last_sent.get(node, 0)
        self._in_flight[node] = version
        self._last_sent[node] = version
        return is_repeated
