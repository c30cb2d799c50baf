"""What an entry wants done."""

from clayfield.pool.orders import PoolAction
from clayfield.wire.cluster import JobEnded, StateTold


class AnswerCaller:
    """Answer a caller."""

    __slots__ = ("ended", "waiter")

    def __init__(self, waiter: int, ended: JobEnded):
        self.waiter = waiter
        self.ended = ended


class AnswerCancel:
    """Answer a caller that cancels a job.

    Attributes:
        is_known: whether there was such a job; None where nobody can tell.
    """

    __slots__ = ("is_known", "waiter")

    def __init__(self, waiter: int, is_known: bool | None):
        self.waiter = waiter
        self.is_known = is_known


class AnswerState:
    """Answer a caller that asks for a kept job.

    Attributes:
        told: where it stands, None where nobody can tell.
    """

    __slots__ = ("told", "waiter")

    def __init__(self, waiter: int, told: StateTold | None):
        self.waiter = waiter
        self.told = told


class Dial:
    """Keep a node connected."""

    __slots__ = ("node",)

    def __init__(self, node: str):
        self.node = node


EntryAction = PoolAction | AnswerCaller | AnswerCancel | AnswerState | Dial
