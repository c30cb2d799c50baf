"""A simulated entry node that receives configurations over a slow link."""

from clayfield.cluster import ControlNode
from clayfield.testbed.slow_link import SlowLink
from clayfield.testbed.timeline import Timeline
from clayfield.wire.cluster import ConfigPush, EntryStatus

STATUS_MS = 200.0
REPORT_DELAY_MS = 1.0


class SlowEntry:
    """An entry node behind a slow link, which receives configurations.

    Attributes:
        link: link from all control nodes to it.
        received: versions of the copies that it received, in order.
        can_use: whether it can use the configurations.
    """

    def __init__(
        self,
        timeline: Timeline,
        controls: dict[str, ControlNode],
        node: str,
        link: SlowLink,
        can_use: bool,
    ):
        """Creates an entry node that has received nothing.

        Args:
            timeline: schedules the reports.
            controls: the running control nodes, by address.
            node: name of the entry node.
            link: link from all control nodes to it.
            can_use: whether it can use the configurations.
        """
        self._timeline = timeline
        self._controls = controls
        self._node = node
        self.link = link
        self.can_use = can_use
        self.received: list[int] = []
        self._received_from: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Highest version that the node has received."""
        return max(self.received, default=0)

    def lose_streams(self) -> None:
        """Loses the streams in use, and all on the way, beside others."""
        self.link.drop_waiting()
        for control in self._controls.values():
            control.on_stream_lost(self._node)

    def on_push(self, control: str, push: ConfigPush) -> None:
        """Handles a copy of the configuration from a control node."""
        self.received.append(push.version)
        self._received_from[control] = push.version
        self._report()

    def report_regularly(self) -> None:
        """Reports the status now and at each interval."""
        self._report()
        self._timeline.call_later(STATUS_MS, self.report_regularly)

    def _report(self) -> None:
        version = self.version if self.can_use else 0
        received_from = dict(self._received_from)

        def arrive() -> None:
            for control in self._controls.values():
                received = received_from.get(control.node, 0)
                status = EntryStatus(
                    version, 0, False, received_version=received
                )
                control.on_message(self._node, status)

        self._timeline.call_later(REPORT_DELAY_MS, arrive)
