"""The possible outcomes of an attempt to run a task."""

import enum

from clayfield.wire.messages import (
    RELEASE_DONE,
    RELEASE_LEAVING,
    RELEASE_LOST,
    RELEASE_REFUSED,
)


class TaskOutcome(enum.Enum):
    """The outcome of an attempt, as far as the box can determine it.

    Attributes:
        text: name of the outcome in error details.
        release_result: result reported to the scheduler with the slot.
        may_have_started: whether the worker may have started the task.
    """

    ANSWERED = ("answered", RELEASE_DONE, True)
    FAILED = ("failed", RELEASE_DONE, True)
    LOST = ("lost", RELEASE_LOST, True)
    REFUSED = ("refused", RELEASE_REFUSED, False)
    LEAVING = ("leaving", RELEASE_LEAVING, False)
    UNREACHED = ("unreached", RELEASE_LOST, False)

    def __init__(self, text: str, release_result: int, may_have_started: bool):
        self.text = text
        self.release_result = release_result
        self.may_have_started = may_have_started
