"""A submission: the requested job and the progress of its tasks."""

import enum

from clayfield.base import Problem
from clayfield.wire.messages import Outcome


class Phase(enum.Enum):
    """Phase of a submission.

    OPEN: this box runs it. FOLLOWING: another box runs it, and this box waits
    for its answer. DONE: it has its final answer.
    """

    OPEN = "open"
    FOLLOWING = "following"
    DONE = "done"


class JobRequest:
    """A caller's request to run a job, syntactically valid.

    Attributes:
        member: the member that sent it.
        key: the caller's idempotency key.
        body: the complete request body, compared to detect a reused key.
        service: name of the service; may be undeclared.
        priority: name of the priority class; may be undeclared.
        tasks: payloads of the tasks, in task order.
        is_repeatable: whether the caller allows a task to run more than once.
        deadline_ms: time allowed for the job, in ms; 0 for no limit.
        is_first_attempt: whether the caller states that it never sent this key
            before; a refusal can then report that nothing ran without a reply
            of the registry.
        traceparent: W3C `traceparent` of the caller's trace; "" for none.
        refusal: why the job cannot run now, or None. Unless `is_first_attempt`,
            it is returned only once the registry confirms that the key did not
            run.
    """

    __slots__ = (
        "body",
        "deadline_ms",
        "is_first_attempt",
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
        is_first_attempt: bool = False,
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
        self.is_first_attempt = is_first_attempt
        self.traceparent = traceparent
        self.refusal = refusal


class Submission:
    """A job that a caller submitted to this box.

    Attributes:
        number: number of the submission and of its slot request, unique on
            this box.
        key: the caller's key with its member.
        digest: digest of the request body.
        member: the member that sent it.
        service: name of the service of all its tasks.
        priority: name of its priority class.
        is_repeatable: whether the caller allows a task to run more than once.
        is_first_attempt: whether the caller states that it never sent this key
            before.
        refusal: a refusal withheld until the registry replies to the claim;
            None for none.
        deadline_ms: time by which it must have ended, on this box's clock;
            infinite for none.
        tasks: payloads of the tasks, in task order.
        phase: whether it runs here, runs on another box or is done.
        is_claimed: whether the claim was granted.
        may_be_claimed: whether the registry may have recorded the claim.
        has_slot_request: whether a slot request was sent and not cancelled.
        arrived_ms: time of arrival, in ms.
        claim_sent_ms: time of the last claim or fetch sent, in ms.
        claimed_ms: time when the claim was granted, in ms.
        granted_ms: time when the first slot was granted, in ms; 0 before.
        longest_task_ms: duration of the longest task so far, in ms.
        owner_contact_ms: time of the last reply of the owner that it follows,
            in ms.
        unused_grants: (grant, worker) pairs held for tasks not yet started.
        unstarted_tasks: indices of the tasks to start, the next one last.
        running: index of the running task by grant.
        attempts: number of attempts by task.
        start_count: number of attempts that started or may have started.
        answers: answers in task order, None where missing.
        outcome: the final answer, None before.
        waiters: the callers and boxes that get the final answer.
        traceparent: W3C `traceparent` of the caller's trace; "" for none.
    """

    __slots__ = (
        "answers",
        "arrived_ms",
        "attempts",
        "claim_sent_ms",
        "claimed_ms",
        "deadline_ms",
        "digest",
        "granted_ms",
        "has_slot_request",
        "is_claimed",
        "is_first_attempt",
        "is_repeatable",
        "key",
        "longest_task_ms",
        "may_be_claimed",
        "member",
        "number",
        "outcome",
        "owner_contact_ms",
        "phase",
        "priority",
        "refusal",
        "running",
        "service",
        "start_count",
        "tasks",
        "traceparent",
        "unstarted_tasks",
        "unused_grants",
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
        """Makes an open submission.

        Args:
            number: number of the submission.
            key: the caller's key with its member.
            digest: digest of the request body.
            req: the job.
            now_ms: the current time on this box's clock, in ms.
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
        self.is_first_attempt = req.is_first_attempt
        self.refusal: Problem | None = None
        self.is_claimed = False
        self.may_be_claimed = True
        self.has_slot_request = False
        self.arrived_ms = now_ms
        self.claim_sent_ms = now_ms
        self.owner_contact_ms = now_ms
        self.claimed_ms = now_ms
        self.granted_ms = 0.0
        self.longest_task_ms = 0.0
        self.unused_grants: list[tuple[int, str]] = []
        self.unstarted_tasks = list(range(len(req.tasks) - 1, -1, -1))
        self.running: dict[int, int] = {}
        self.attempts = [0] * len(req.tasks)
        self.start_count = 0
        self.answers: list[bytes | None] = [None] * len(req.tasks)
        self.outcome: Outcome | None = None
        self.waiters: list[object] = []
        self.traceparent = req.traceparent

    @property
    def is_complete(self) -> bool:
        """Whether every task has answered."""
        return all(answer is not None for answer in self.answers)

    @property
    def missing_slots(self) -> int:
        """Number of slots still needed to start the remaining tasks."""
        return len(self.unstarted_tasks) - len(self.unused_grants)
