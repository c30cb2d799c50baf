"""How a task's start can end."""

import enum

from clayfield.wire.messages import (
    RELEASE_DONE,
    RELEASE_LEAVING,
    RELEASE_LOST,
    RELEASE_REFUSED,
)


class TaskEnd(enum.Enum):
    """How a start ended, as far as its box can tell.

    Attributes:
        release: what the scheduler is told of the slot.
        is_started: whether the task may have started.
    """

    ANSWERED = ("answered", RELEASE_DONE, True)
    FAILED = ("failed", RELEASE_DONE, True)
    LOST = ("lost", RELEASE_LOST, True)
    REFUSED = ("refused", RELEASE_REFUSED, False)
    LEAVING = ("leaving", RELEASE_LEAVING, False)
    UNREACHED = ("unreached", RELEASE_LOST, False)

    def __init__(self, text: str, release: int, is_started: bool):
        self.text = text
        self.release = release
        self.is_started = is_started
