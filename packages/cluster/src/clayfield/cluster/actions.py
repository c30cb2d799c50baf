"""What a control node wants done."""

import enum

from clayfield.state import Record
from clayfield.wire.messages import Grouped, Message


class WriteOutcome(enum.Enum):
    """What became of an operator's write.

    IN_FORCE says that the written version, or a higher one, is in force;
    UNKNOWN that it may or may not come into force.
    """

    IN_FORCE = "in-force"
    UNKNOWN = "unknown"


class Send:
    """Send a message to a node."""

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


class Publish:
    """Send a message to every connected entry."""

    __slots__ = ("message",)

    def __init__(self, message: Message):
        self.message = message


class Persist:
    """Store records, then send messages and report `last_index`."""

    __slots__ = ("last_index", "messages", "records")

    def __init__(
        self, records: list[Record], messages: list[Grouped], last_index: int
    ):
        self.records = records
        self.messages = messages
        self.last_index = last_index


class Settled:
    """Answer an operator's write."""

    __slots__ = ("outcome", "request", "version")

    def __init__(self, request: int, outcome: WriteOutcome, version: int):
        self.request = request
        self.outcome = outcome
        self.version = version


Action = Send | Publish | Persist | Settled
