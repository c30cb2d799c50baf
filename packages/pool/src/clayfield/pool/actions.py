"""Actions of an entry node, which its process executes.

Besides the commands to workers and messages to nodes, these are replies to
callers and connections to nodes. `request_id` is the number by which the
process identifies a caller's pending request.
"""

from clayfield.pool.commands import PoolAction
from clayfield.wire.cluster import JobEnded, JobStateReply


class ReplyToCaller:
    """Sends a caller the result of its job.

    Attributes:
        request_id: number of the caller's request.
        ended: the result.
    """

    __slots__ = ("ended", "request_id")

    def __init__(self, request_id: int, ended: JobEnded):
        self.request_id = request_id
        self.ended = ended


class ReplyToCancel:
    """Sends a caller the result of its request to cancel a job.

    Attributes:
        request_id: number of the caller's request.
        is_found: whether the job was found; None if that could not be
            determined.
    """

    __slots__ = ("is_found", "request_id")

    def __init__(self, request_id: int, is_found: bool | None):
        self.request_id = request_id
        self.is_found = is_found


class ReplyToStateRequest:
    """Sends a caller the state of a kept job.

    Attributes:
        request_id: number of the caller's request.
        reply: the state; None if it could not be determined.
    """

    __slots__ = ("reply", "request_id")

    def __init__(self, request_id: int, reply: JobStateReply | None):
        self.request_id = request_id
        self.reply = reply


class ConnectNode:
    """Opens a connection to a node and keeps it open.

    Attributes:
        node: name of the node.
    """

    __slots__ = ("node",)

    def __init__(self, node: str):
        self.node = node


EntryAction = (
    PoolAction
    | ReplyToCaller
    | ReplyToCancel
    | ReplyToStateRequest
    | ConnectNode
)
