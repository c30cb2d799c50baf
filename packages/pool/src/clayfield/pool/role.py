"""The role of an entry node: holder, standby or neither.

A grant of the control nodes names the holder, which schedules all workers, and
for each other hall a standby. The standby schedules the hall's workers while
the hall is partitioned, that is while it has no connection to the holder or to
a control node of another hall, and from then on until the next grant.
"""

from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.wire.cluster import Grant, NodeGreeting

CONTROL_ROLE = "control"
ENTRY_ROLE = "entry"
# A hall counts as partitioned after this time without a connection to the
# holder or to a control node elsewhere.
ISOLATED_MS = 300.0
# Fencing tokens per epoch, so that those of a later grant are higher.
FENCES_PER_EPOCH = 4
# Added to the holder's fencing token for the standbys of the same grant.
STANDBY_FENCE_OFFSET = 1


def holder_fence(epoch: int) -> int:
    """Returns the fencing token of a grant's holder."""
    return epoch * FENCES_PER_EPOCH


def standby_fence(epoch: int) -> int:
    """Returns the fencing token of a grant's standbys, above the holder's."""
    return epoch * FENCES_PER_EPOCH + STANDBY_FENCE_OFFSET


class Role:
    """The role of one entry node under the latest grant.

    Attributes:
        grant: the latest grant that the node has received.
        uses_standby: whether the hall's standby takes the holder's place.
    """

    __slots__ = (
        "_clock",
        "_hall",
        "_node",
        "_last_outside_ms",
        "grant",
        "uses_standby",
    )

    def __init__(self, node: str, hall: str, clock: Clock):
        self.grant = Grant(0, "")
        self.uses_standby = False
        self._node = node
        self._hall = hall
        self._clock = clock
        self._last_outside_ms = clock.now_ms()

    @property
    def holder(self) -> str:
        """Name of the node to send jobs to, "" if none is known."""
        if self.uses_standby:
            return self.standby
        return self.grant.holder

    @property
    def standby(self) -> str:
        """Name of this hall's standby, "" if the grant has none."""
        return self.grant.standbys.get(self._hall, "")

    @property
    def is_holder(self) -> bool:
        """Whether this node is the holder."""
        return self.grant.holder == self._node

    @property
    def is_standby(self) -> bool:
        """Whether this node schedules its hall's workers as the standby."""
        return (
            not self.is_holder
            and self.uses_standby
            and self.standby == self._node
        )

    @property
    def fence(self) -> int:
        """Fencing token of this node's requests to workers."""
        epoch = self.grant.epoch
        return holder_fence(epoch) if self.is_holder else standby_fence(epoch)

    @property
    def is_isolated(self) -> bool:
        """Whether this hall seems to be partitioned from the others."""
        return self._clock.now_ms() - self._last_outside_ms > ISOLATED_MS

    def on_grant(self, grant: Grant) -> bool:
        """Handles a new grant.

        Returns:
            Whether jobs continue to be sent to the same node, and it was
            certainly the holder all the time.
        """
        is_same = not self.uses_standby and grant.continues(
            self.grant.epoch, self.grant.holder
        )
        self.grant = grant
        # A grant proves a recent connection to a majority of control nodes.
        self._last_outside_ms = self._clock.now_ms()
        self.uses_standby = False
        return is_same

    def update_reachability(self, greetings: Iterable[NodeGreeting]) -> None:
        """Records whether a node outside of this hall's partition is connected.

        Args:
            greetings: the greetings of the connected nodes.
        """
        if self.is_holder or any(map(self._is_outside, greetings)):
            self._last_outside_ms = self._clock.now_ms()

    def _is_outside(self, greeting: NodeGreeting) -> bool:
        """Returns whether a node shows that the hall is not partitioned."""
        is_control = greeting.role == CONTROL_ROLE
        if is_control and greeting.hall != self._hall:
            return True
        return greeting.node == self.grant.holder

    def tick(self) -> None:
        """Switches to the standby once the hall is partitioned."""
        if self.grant.epoch and self.is_isolated:
            self.uses_standby = True
