"""Scheduling of jobs on the pool of workers: admission, placement and leases.

The state machines of this package do no I/O. They are fed events and a clock,
and return the actions to carry out.
"""

from clayfield.pool.actions import (
    AnswerCaller,
    AnswerCancel,
    AnswerState,
    Dial,
    EntryAction,
)
from clayfield.pool.entry import Entry
from clayfield.pool.orders import (
    Advice,
    AskAdvisor,
    EndedRow,
    EndKind,
    HoldAnswer,
    HoldWorker,
    OrderAnswer,
    OrderResult,
    PaceRun,
    RunningRow,
    StartRun,
    StopRun,
    TellEntry,
)
from clayfield.pool.routing import Routes
from clayfield.pool.tasks import TaskId
from clayfield.pool.timing import PoolTiming

__all__ = [
    "Advice",
    "AnswerCaller",
    "AnswerCancel",
    "AnswerState",
    "AskAdvisor",
    "Dial",
    "EndKind",
    "EndedRow",
    "Entry",
    "EntryAction",
    "PoolTiming",
    "HoldAnswer",
    "HoldWorker",
    "OrderAnswer",
    "OrderResult",
    "PaceRun",
    "Routes",
    "RunningRow",
    "StartRun",
    "StopRun",
    "TaskId",
    "TellEntry",
]
