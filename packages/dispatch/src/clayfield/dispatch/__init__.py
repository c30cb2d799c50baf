"""Decides which task runs on which worker, in what order, or is refused.

The package does no I/O. `SubmissionManager` accepts a submission and requests
slots, `Scheduler` grants them, and `SubmissionManager` starts the tasks and
returns the complete answer. What is to be sent is returned as messages and
actions.
"""

from clayfield.dispatch.actions import (
    Action,
    SendAnswer,
    SendState,
    SendToNode,
    SendToRegistry,
    SendToScheduler,
    StartTask,
)
from clayfield.dispatch.response_bodies import (
    parse_problem,
    render_problem,
    retry_after_s,
)
from clayfield.dispatch.scheduler import Scheduler
from clayfield.dispatch.submission import JobRequest, Phase, Submission
from clayfield.dispatch.submission_manager import SubmissionManager
from clayfield.dispatch.task_outcome import TaskOutcome
from clayfield.dispatch.workers import WorkerInfo

__all__ = [
    "Action",
    "JobRequest",
    "Phase",
    "Scheduler",
    "SendAnswer",
    "SendState",
    "SendToNode",
    "SendToRegistry",
    "SendToScheduler",
    "StartTask",
    "Submission",
    "SubmissionManager",
    "TaskOutcome",
    "WorkerInfo",
    "parse_problem",
    "render_problem",
    "retry_after_s",
]
