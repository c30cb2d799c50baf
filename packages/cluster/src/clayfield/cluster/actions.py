"""Actions that a control node returns to its process."""

import enum

from clayfield.state import Record
from clayfield.wire.cluster import ConfigPush
from clayfield.wire.messages import GroupMessage, Message


class WriteOutcome(enum.Enum):
    """The outcome of an operator's write of a configuration.

    Attributes:
        IN_FORCE: the written version, or a higher one, is active.
        UNKNOWN: the written version may or may not become active.
    """

    IN_FORCE = "in-force"
    UNKNOWN = "unknown"


class Send:
    """Send a message to a node.

    Attributes:
        node: name of the receiving node.
        message: the message.
    """

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


class SendConfig(Send):
    """Send the configuration to an entry node.

    Attributes:
        is_repeated: whether the node was sent this version before.
    """

    __slots__ = ("is_repeated",)

    def __init__(self, node: str, push: ConfigPush, is_repeated: bool):
        super().__init__(node, push)
        self.is_repeated = is_repeated


class Broadcast:
    """Send a message to all connected entry nodes.

    Attributes:
        message: the message.
    """

    __slots__ = ("message",)

    def __init__(self, message: Message):
        self.message = message


class Persist:
    """Store records, then send messages and report that they are stored.

    Attributes:
        records: records to store, in order.
        messages: messages to send once the records are stored.
        last_index: index to pass to `ControlNode.on_persisted` once the
            records are stored.
    """

    __slots__ = ("last_index", "messages", "records")

    def __init__(
        self,
        records: list[Record],
        messages: list[GroupMessage],
        last_index: int,
    ):
        self.records = records
        self.messages = messages
        self.last_index = last_index


class WriteFinished:
    """Answer an operator's write of a configuration.

    Attributes:
        request: number of the request that is answered.
        outcome: outcome of the write.
        version: active version, 0 if the outcome is unknown.
        requested_version: version that was to be written.
        took_ms: time since the request, in ms.
    """

    __slots__ = (
        "outcome",
        "request",
        "requested_version",
        "took_ms",
        "version",
    )

    def __init__(
        self,
        request: int,
        outcome: WriteOutcome,
        version: int,
        requested_version: int,
        took_ms: float,
    ):
        self.request = request
        self.outcome = outcome
        self.version = version
        self.requested_version = requested_version
        self.took_ms = took_ms


Action = Send | Broadcast | Persist | WriteFinished
