"""Actions of an entry node, which its process executes.

Besides the commands to workers and messages to nodes, these are replies to
callers and connections to nodes. `waiter` is the number by which the process
identifies a caller's pending request.
"""

from clayfield.pool.orders import PoolAction
from clayfield.wire.cluster import JobEnded, StateTold


class AnswerCaller:
    """Sends a caller the result of its job.

    Attributes:
        waiter: number of the caller's request.
        ended: the result.
    """

    __slots__ = ("ended", "waiter")

    def __init__(self, waiter: int, ended: JobEnded):
        self.waiter = waiter
        self.ended = ended


class AnswerCancel:
    """Sends a caller the result of its request to cancel a job.

    Attributes:
        waiter: number of the caller's request.
        is_known: whether the job was found; None if that could not be
            determined.
    """

    __slots__ = ("is_known", "waiter")

    def __init__(self, waiter: int, is_known: bool | None):
        self.waiter = waiter
        self.is_known = is_known


class AnswerState:
    """Sends a caller the state of a kept job.

    Attributes:
        waiter: number of the caller's request.
        told: the state; None if it could not be determined.
    """

    __slots__ = ("told", "waiter")

    def __init__(self, waiter: int, told: StateTold | None):
        self.waiter = waiter
        self.told = told


class Dial:
    """Opens a connection to a node and keeps it open.

    Attributes:
        node: name of the node.
    """

    __slots__ = ("node",)

    def __init__(self, node: str):
        self.node = node


EntryAction = PoolAction | AnswerCaller | AnswerCancel | AnswerState | Dial
