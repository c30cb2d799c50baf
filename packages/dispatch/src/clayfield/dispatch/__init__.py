"""Decides which task runs on which worker, in what order, or is refused.

The package does no I/O. `Entry` accepts a submission and requests slots,
`Scheduler` grants them, and `Entry` starts the tasks and returns the complete
answer. What is to be sent is returned as messages and actions.
"""

from clayfield.dispatch.actions import (
    Action,
    Answer,
    StartTask,
    Tell,
    ToNode,
    ToRegistry,
    ToScheduler,
)
from clayfield.dispatch.entry import Entry
from clayfield.dispatch.rendering import (
    read_problem,
    render_problem,
    retry_after_s,
)
from clayfield.dispatch.scheduler import Scheduler
from clayfield.dispatch.submission import JobRequest, Phase, Submission
from clayfield.dispatch.task_end import TaskEnd
from clayfield.dispatch.workers import WorkerInfo

__all__ = [
    "Action",
    "Answer",
    "Entry",
    "JobRequest",
    "Phase",
    "Scheduler",
    "StartTask",
    "Submission",
    "TaskEnd",
    "Tell",
    "ToNode",
    "ToRegistry",
    "ToScheduler",
    "WorkerInfo",
    "read_problem",
    "render_problem",
    "retry_after_s",
]
