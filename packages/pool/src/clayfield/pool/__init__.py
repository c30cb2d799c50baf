"""Scheduling of jobs on the pool of workers: admission, placement and leases.

The state machines of this package do no I/O. They are fed events and a clock,
and return the actions to carry out.
"""

from clayfield.pool.actions import (
    ConnectNode,
    EntryAction,
    ReplyToCaller,
    ReplyToCancel,
    ReplyToStateRequest,
)
from clayfield.pool.commands import (
    Advice,
    CommandReply,
    CommandResult,
    EndedRun,
    EndKind,
    PollReply,
    PollWorker,
    RequestAdvice,
    RunningRun,
    SendToNode,
    StartRun,
    StopRun,
    ThrottleRun,
)
from clayfield.pool.entry_node import EntryNode
from clayfield.pool.job_memory import JobMemory
from clayfield.pool.routing import Routes
from clayfield.pool.tasks import TaskId
from clayfield.pool.timing import PoolTiming

__all__ = [
    "Advice",
    "ReplyToCaller",
    "ReplyToCancel",
    "ReplyToStateRequest",
    "RequestAdvice",
    "ConnectNode",
    "EndKind",
    "EndedRun",
    "EntryNode",
    "EntryAction",
    "JobMemory",
    "PoolTiming",
    "PollReply",
    "PollWorker",
    "CommandReply",
    "CommandResult",
    "ThrottleRun",
    "Routes",
    "RunningRun",
    "StartRun",
    "StopRun",
    "TaskId",
    "SendToNode",
]
