"""Counters of a box's submissions and tasks, exported as metrics."""

import collections
from collections.abc import Callable

from clayfield.dispatch.submission import Submission
from clayfield.wire.messages import Outcome


class Counters:
    """Counts since the box started.

    Attributes:
        submitted: number of submissions accepted.
        resubmitted: number of requests whose key was open or had just ended
            here.
        starts: number of task attempts started.
        answered: number of task answers used.
        retries: number of tasks scheduled for another attempt.
        wasted: number of attempts without a used result.
        late_answers: number of outcomes for attempts that were not running.
        refused: number of refused submissions by error code.
        finished: number of finished submissions by HTTP status.
        listener: callback for each finished submission, called with the
            submission, its outcome and the response time in ms; None for
            none.
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
        """Counts a finished submission and calls the listener."""
        self.finished[outcome.status] += 1
        if self.listener:
            self.listener(sub, outcome, response_ms)
