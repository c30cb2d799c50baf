"""Whether this node holds workers, and which node does for this hall.

The grant names the holder of all workers, and for each other hall a stand-by
that holds the hall's workers while the hall is cut off: while it hears neither
the holder nor a control node of another hall, and until the next grant.
"""

from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.wire.cluster import Grant, NodeGreeting

CONTROL_ROLE = "control"
ENTRY_ROLE = "entry"
# A hall counts as cut off when it has heard neither the holder nor a control
# node elsewhere for so long.
ISOLATED_MS = 300.0
FENCES_AN_EPOCH = 4
STANDBY_FENCE = 1


def holder_fence(epoch: int) -> int:
    """Returns the fence of a grant's holder."""
    return epoch * FENCES_AN_EPOCH


def standby_fence(epoch: int) -> int:
    """Returns the fence of a grant's stand-bys, above the holder's."""
    return epoch * FENCES_AN_EPOCH + STANDBY_FENCE


class Role:
    """This node's part under the latest grant.

    Attributes:
        grant: the latest grant that it knows.
        uses_standby: whether the hall's stand-by is asked, not the holder.
    """

    __slots__ = (
        "_clock",
        "_hall",
        "_node",
        "_outside_ms",
        "grant",
        "uses_standby",
    )

    def __init__(self, node: str, hall: str, clock: Clock):
        self.grant = Grant(0, "")
        self.uses_standby = False
        self._node = node
        self._hall = hall
        self._clock = clock
        self._outside_ms = clock.now_ms()

    @property
    def holder(self) -> str:
        """The node to hand jobs to, "" where none is known."""
        if self.uses_standby:
            return self.standby
        return self.grant.holder

    @property
    def standby(self) -> str:
        """The stand-by of this hall, "" where none is named."""
        return self.grant.standbys.get(self._hall, "")

    @property
    def is_holder(self) -> bool:
        """Whether this node holds all workers."""
        return self.grant.holder == self._node

    @property
    def is_standby(self) -> bool:
        """Whether this node holds its hall's workers."""
        return (
            not self.is_holder
            and self.uses_standby
            and self.standby == self._node
        )

    @property
    def fence(self) -> int:
        """The fence of this node's orders."""
        epoch = self.grant.epoch
        return holder_fence(epoch) if self.is_holder else standby_fence(epoch)

    @property
    def is_isolated(self) -> bool:
        """Whether this hall seems to be cut off."""
        return self._clock.now_ms() - self._outside_ms > ISOLATED_MS

    def on_grant(self, grant: Grant) -> bool:
        """Takes a grant; returns whether the holder stays the same."""
        is_same = grant.holder == self.grant.holder and not self.uses_standby
        self.grant = grant
        # A grant is proof of a majority that was just heard.
        self._outside_ms = self._clock.now_ms()
        self.uses_standby = False
        return is_same

    def note_outside(self, greetings: Iterable[NodeGreeting]) -> None:
        """Notes whether a node that is not cut off with this hall is heard.

        Args:
            greetings: of the nodes that are connected.
        """
        if self.is_holder or any(map(self._is_outside, greetings)):
            self._outside_ms = self._clock.now_ms()

    def _is_outside(self, greeting: NodeGreeting) -> bool:
        is_control = greeting.role == CONTROL_ROLE
        if is_control and greeting.hall != self._hall:
            return True
        return greeting.node == self.grant.holder

    def tick(self) -> None:
        """Turns to the stand-by once the hall is cut off."""
        if self.grant.epoch and self.is_isolated:
            self.uses_standby = True
