"""Pure decisions: who runs what, where, in what order, and what is refused.

Data flows one way: `Entry` takes a submission, `Scheduler` grants it slots,
`Entry` starts its tasks and gives the whole answer.
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
