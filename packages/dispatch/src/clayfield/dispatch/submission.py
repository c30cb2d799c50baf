"""One submission: what was asked, and how far its tasks have come."""

import enum

from clayfield.base import Problem
from clayfield.wire.messages import Outcome


class Phase(enum.Enum):
    """Where a submission stands."""

    OPEN = "open"
    FOLLOWING = "following"
    DONE = "done"


class JobRequest:
    """What a caller asks for, checked for its form.

    Attributes:
        member: whose it is.
        key: the caller's key.
        body: the whole request, to tell a reused key.
        service: what its tasks need; perhaps not declared.
        priority: its class; perhaps not declared.
        tasks: the payloads, in task order.
        is_repeatable: whether the caller marked it so.
        deadline_ms: time it may take; 0 for no bound.
        is_first: the caller never sent this key before; then a refusal may
            say that nothing ran even if the registry is out of reach.
        traceparent: of the caller's trace, or "".
        refusal: why it cannot run now. It is told only once the registry has
            said that the key did not run earlier.
    """

    __slots__ = (
        "body",
        "deadline_ms",
        "is_first",
        "is_repeatable",
        "key",
        "member",
        "priority",
        "refusal",
        "service",
        "tasks",
        "traceparent",
    )

    def __init__(
        self,
        member: str,
        key: str,
        body: bytes,
        service: str,
        priority: str,
        tasks: list[bytes],
        is_repeatable: bool = False,
        deadline_ms: float = 0.0,
        is_first: bool = False,
        traceparent: str = "",
        refusal: Problem | None = None,
    ):
        self.member = member
        self.key = key
        self.body = body
        self.service = service
        self.priority = priority
        self.tasks = tasks
        self.is_repeatable = is_repeatable
        self.deadline_ms = deadline_ms
        self.is_first = is_first
        self.traceparent = traceparent
        self.refusal = refusal


class Submission:
    """A job that a caller submitted to this box.

    Attributes:
        number: this box's number for it; also its slot request's.
        key: the caller's key with its member.
        digest: of the body.
        member: whose it is.
        service: the service of all its tasks.
        priority: its class.
        is_repeatable: whether the caller marked it so.
        is_first: whether the caller says it never sent this key before.
        refusal: the scheduler's, until the claim is answered.
        deadline_ms: by when it must have ended, on this box's clock.
        tasks: the payloads, in task order.
        phase: open while run here, following while run elsewhere.
        is_claimed: whether the claim was granted.
        may_be_claimed: whether a claim may stand in the registry.
        is_placed: whether a slot request is out.
        arrived_ms: when it came.
        asked_ms: when the claim was last sent.
        claimed_ms: when the claim was granted.
        granted_ms: when the first slot was granted.
        longest_ms: the longest time of its tasks so far.
        heard_ms: when the owner it follows last spoke of it.
        granted: (grant, worker) held for tasks not yet started.
        to_start: tasks not yet started, the next one last.
        running: task index by grant.
        attempts: starts of each task.
        started: how many starts were made in all.
        answers: the answers in task order, None where missing.
        outcome: the final answer.
        waiters: who is to get it.
        traceparent: of the caller's trace, or "".
    """

    __slots__ = (
        "answers",
        "arrived_ms",
        "asked_ms",
        "attempts",
        "claimed_ms",
        "deadline_ms",
        "digest",
        "granted",
        "granted_ms",
        "heard_ms",
        "is_claimed",
        "is_first",
        "is_placed",
        "is_repeatable",
        "key",
        "longest_ms",
        "may_be_claimed",
        "member",
        "number",
        "outcome",
        "phase",
        "priority",
        "refusal",
        "running",
        "service",
        "started",
        "tasks",
        "to_start",
        "traceparent",
        "waiters",
    )

    def __init__(
        self,
        number: int,
        key: str,
        digest: bytes,
        req: JobRequest,
        now_ms: float,
    ):
        """Starts a submission.

        Args:
            number: this box's number for it.
            key: the caller's key with its member.
            digest: of the body.
            req: what was asked.
            now_ms: the time on this box's clock.
        """
        self.number = number
        self.key = key
        self.digest = digest
        self.member = req.member
        self.service = req.service
        self.priority = req.priority
        self.is_repeatable = req.is_repeatable
        self.deadline_ms = (
            now_ms + req.deadline_ms if req.deadline_ms else float("inf")
        )
        self.tasks = req.tasks
        self.phase = Phase.OPEN
        self.is_first = req.is_first
        self.refusal: Problem | None = None
        self.is_claimed = False
        self.may_be_claimed = True
        self.is_placed = False
        self.arrived_ms = now_ms
        self.asked_ms = now_ms
        self.heard_ms = now_ms
        self.claimed_ms = now_ms
        self.granted_ms = 0.0
        self.longest_ms = 0.0
        self.granted: list[tuple[int, str]] = []
        self.to_start = list(range(len(req.tasks) - 1, -1, -1))
        self.running: dict[int, int] = {}
        self.attempts = [0] * len(req.tasks)
        self.started = 0
        self.answers: list[bytes | None] = [None] * len(req.tasks)
        self.outcome: Outcome | None = None
        self.waiters: list[object] = []
        self.traceparent = req.traceparent

    @property
    def is_complete(self) -> bool:
        """Whether every task has answered."""
        return all(answer is not None for answer in self.answers)

    @property
    def wanted_slots(self) -> int:
        """How many slots are still to be asked for."""
        return len(self.to_start) - len(self.granted)
