"""What an entry counts; metrics and benchmarks read it."""

import collections
from collections.abc import Callable

from clayfield.dispatch.submission import Submission
from clayfield.wire.messages import Outcome


class Counters:
    """Counts since start.

    Attributes:
        submitted: submissions taken.
        resubmitted: submissions that joined one already open here.
        starts: task starts sent.
        answered: task answers taken.
        retries: starts sent again.
        wasted: starts that brought no result.
        late_answers: answers that nobody waited for.
        refused: refusals by code.
        finished: ends by status.
        listener: told of each end: submission, outcome, response in ms.
    """

    __slots__ = (
        "answered",
        "finished",
        "late_answers",
        "listener",
        "refused",
        "resubmitted",
        "retries",
        "starts",
        "submitted",
        "wasted",
    )

    def __init__(self) -> None:
        self.submitted = 0
        self.resubmitted = 0
        self.starts = 0
        self.answered = 0
        self.retries = 0
        self.wasted = 0
        self.late_answers = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.finished: collections.Counter[int] = collections.Counter()
        self.listener: Callable[[Submission, Outcome, float], None] | None = (
            None
        )

    def on_finished(
        self, sub: Submission, outcome: Outcome, response_ms: float
    ) -> None:
        """Counts the end of a submission."""
        self.finished[outcome.status] += 1
        if self.listener:
            self.listener(sub, outcome, response_ms)
