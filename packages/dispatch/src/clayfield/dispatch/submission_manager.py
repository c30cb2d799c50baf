"""Manages the submissions of one box from acceptance to final answer.

A task starts only when the submission's claim is recorded by a majority of
its home hall and the scheduler has granted a slot. A claim is the registry's
record that a box runs an idempotency key; the home hall is the hall whose
registry holds it. A task that a worker may have started is started again only
if the service allows it and the submission is repeatable; otherwise the job
fails, and its problem reports that it may have run.
"""

import hashlib

from clayfield.base import Clock, ErrorKind, Problem, Ran
from clayfield.config import Configuration, Service
from clayfield.dispatch.actions import (
    Action,
    SendAnswer,
    SendState,
    SendToNode,
    SendToRegistry,
    SendToScheduler,
    StartTask,
)
from clayfield.dispatch.budget import RetryBudget
from clayfield.dispatch.counters import Counters
from clayfield.dispatch.lookups import RUNNING, PendingLookups
from clayfield.dispatch.pending_completions import PendingCompletions
from clayfield.dispatch.remote_waiter import RemoteWaiter
from clayfield.dispatch.response_bodies import (
    is_final,
    render_answers,
    render_problem,
)
from clayfield.dispatch.submission import JobRequest, Phase, Submission
from clayfield.dispatch.task_outcome import TaskOutcome
from clayfield.dispatch.workers import WorkerInfo
from clayfield.wire.messages import (
    CLAIM_CLOSED,
    CLAIM_DONE,
    CLAIM_GRANTED,
    CLAIM_LOST,
    CLAIM_OWNED,
    CLAIM_REUSED,
    CLAIM_UNAVAILABLE,
    RELEASE_UNUSED,
    AnswerFetch,
    AnswerReply,
    Claim,
    ClaimReply,
    Complete,
    HeldSlot,
    Outcome,
    SlotCancel,
    SlotGrant,
    SlotRefuse,
    SlotRelease,
    SlotRequest,
    SlotSync,
    Unclaim,
)

CLAIM_RESEND_MS = 300.0
CLAIM_TIMEOUT_MS = 3000.0
# Interval and limit of asking for a submission that another box runs.
FOLLOW_POLL_MS = 500.0
FOLLOW_TIMEOUT_MS = 1500.0
RETRY_AFTER_MS = 1000
MAX_ATTEMPTS = 8
STOPPING_RETRY_AFTER_MS = 100
DIGEST_BYTES = 16


# Errors by which the registry confirms that this request did not run.
NOT_RUN_KINDS = (ErrorKind.KEY_REUSED,)


class _HeldGrant:
    """A slot that this box holds."""

    __slots__ = ("since_ms", "submission", "worker")

    def __init__(self, worker: str, submission: Submission, since_ms: float):
        self.worker = worker
        self.submission = submission
        self.since_ms = since_ms


class SubmissionManager:
    """The submissions of one box.

    Attributes:
        actions: the actions to run; the caller empties the list.
        counters: counts since the box started.
        is_stopping: whether new submissions are rejected.
    """

    def __init__(self, clock: Clock, node: str, cfg: Configuration):
        """Makes a manager without submissions.

        Args:
            clock: source of the current time.
            node: this box's node, the owner of its claims.
            cfg: the active configuration.
        """
        self.actions: list[Action] = []
        self.counters = Counters()
        self.is_stopping = False
        self._clock = clock
        self._node = node
        self._cfg = cfg
        self._by_key: dict[str, Submission] = {}
        self._by_number: dict[int, Submission] = {}
        self._held: dict[int, _HeldGrant] = {}
        self._next_number = 1
        self._leaving_workers: set[str] = set()
        self._pending_completions = PendingCompletions()
        self._lookups = PendingLookups(node)
        self._budget = RetryBudget(cfg.limits.retry_share)

    @property
    def is_idle(self) -> bool:
        """Whether no submission, held slot or unconfirmed claim end exists."""
        return not (
            self._by_number or self._held or len(self._pending_completions)
        )

    @property
    def open_count(self) -> int:
        """Number of submissions that are not done."""
        return len(self._by_number)

    @property
    def held_count(self) -> int:
        """Number of slots that this box holds."""
        return len(self._held)

    def set_config(self, cfg: Configuration) -> None:
        """Activates a configuration and its limit on retries."""
        self._cfg = cfg
        self._budget.share = cfg.limits.retry_share

    def set_workers(self, infos: list[WorkerInfo]) -> None:
        """Updates the set of leaving workers from the worker list.

        It is needed for slots that were granted before their worker began to
        leave and are used only afterwards.
        """
        self._leaving_workers = {info.name for info in infos if info.is_leaving}

    def submit(
        self, key: str, req: JobRequest, waiter: object
    ) -> Submission | None:
        """Accepts a job, or joins the submission that has its key.

        Args:
            key: the caller's key with its member.
            req: the job.
            waiter: identifies the caller; passed back with its one answer.

        Returns:
            The submission, or None if the caller was answered at once.
        """
        digest = hashlib.blake2b(req.body, digest_size=DIGEST_BYTES).digest()
        existing = self._by_key.get(key)
        if existing:
            self._add_waiter(existing, digest, waiter)
            return existing
        completed = self._pending_completions.outcome_of(key)
        if completed:
            self._answer_completed(completed, digest, waiter)
            return None
        if self.is_stopping:
            ran = Ran.NO if req.is_first_attempt else Ran.MAYBE
            problem = Problem(
                ErrorKind.STOPPING, "", ran, STOPPING_RETRY_AFTER_MS
            )
            self.actions.append(SendAnswer(waiter, render_problem(problem)))
            return None
        return self._open_submission(key, digest, req, waiter)

    def _open_submission(
        self, key: str, digest: bytes, req: JobRequest, waiter: object
    ) -> Submission:
        """Claims the key and requests slots, both at once."""
        number = self._next_number
        self._next_number += 1
        sub = Submission(number, key, digest, req, self._clock.now_ms())
        sub.waiters.append(waiter)
        self._by_key[key] = sub
        self._by_number[number] = sub
        self.counters.submitted += 1
        self._send_claim(sub)
        if req.refusal is None:
            self._send_request(sub)
        elif req.is_first_attempt:
            self._refuse(sub, req.refusal)
        else:
            sub.refusal = req.refusal
        return sub

    def _add_waiter(
        self, sub: Submission, digest: bytes, waiter: object
    ) -> None:
        self.counters.resubmitted += 1
        if sub.digest != digest:
            problem = Problem(ErrorKind.KEY_REUSED)
            self.actions.append(SendAnswer(waiter, render_problem(problem)))
        else:
            sub.waiters.append(waiter)

    def _answer_completed(
        self, completed: tuple[bytes, Outcome], digest: bytes, waiter: object
    ) -> None:
        self.counters.resubmitted += 1
        completed_digest, outcome = completed
        if completed_digest != digest:
            outcome = render_problem(Problem(ErrorKind.KEY_REUSED))
        self.actions.append(SendAnswer(waiter, outcome))

    def submission_for_grant(self, grant: int) -> Submission | None:
        """Returns the submission of a held slot, or None.

        The submission may already be done.

        Args:
            grant: number of the grant.
        """
        held = self._held.get(grant)
        return held.submission if held else None

    def look_up_key(self, key: str, waiter: object) -> None:
        """Requests the state or the answer of a key for a caller.

        Args:
            key: the caller's key with its member.
            waiter: identifies the caller; passed back with the answer.
        """
        completed = self._pending_completions.outcome_of(key)
        if completed:
            self.actions.append(SendAnswer(waiter, completed[1]))
        elif key in self._by_key:
            self.actions.append(SendState(waiter, RUNNING))
        else:
            lookup = self._lookups.add(key, waiter, self._clock.now_ms())
            self.actions.append(SendToRegistry(lookup))

    def remove_waiter(self, key: str, waiter: object) -> None:
        """Removes a disconnected caller; its submission continues."""
        sub = self._by_key.get(key)
        if sub and waiter in sub.waiters:
            sub.waiters.remove(waiter)

    def _send_claim(self, sub: Submission) -> None:
        sub.claim_sent_ms = self._clock.now_ms()
        sub.may_be_claimed = True
        claim = Claim(sub.key, sub.digest, self._node, sub.number)
        self.actions.append(SendToRegistry(claim))

    def resend_claims(self) -> None:
        """Sends unanswered claims again; a new leader may not have them."""
        for sub in self._by_number.values():
            if sub.phase is Phase.OPEN and not sub.is_claimed:
                self._send_claim(sub)

    def on_claim_reply(self, reply: ClaimReply) -> None:
        """Handles the registry's reply to a claim, claim end or lookup."""
        if reply.verdict == CLAIM_CLOSED:
            self._pending_completions.on_confirmed(reply.key, reply.nonce)
            return
        action = self._lookups.on_reply(reply)
        if action:
            self.actions.append(action)
            return
        sub = self._by_number.get(reply.nonce)
        if sub is None or sub.key != reply.key:
            if reply.verdict == CLAIM_GRANTED:
                self._release_claim(reply.key, reply.nonce)
            return
        sub.may_be_claimed = reply.verdict == CLAIM_GRANTED
        match reply.verdict:
            case v if v == CLAIM_GRANTED:
                self._on_claimed(sub)
            case v if v == CLAIM_OWNED and reply.owner != self._node:
                self._follow_owner(sub, reply)
            case v if v == CLAIM_OWNED:
                self._release_claim(reply.key, reply.owner_nonce)
            case v if v == CLAIM_REUSED:
                self._fail(sub, Problem(ErrorKind.KEY_REUSED))
            case v if v == CLAIM_DONE:
                self._release_unused(sub)
                self._finish(sub, reply.outcome)
            case v if v == CLAIM_LOST:
                detail = "Its hall lost all claims of earlier times."
                self._fail(
                    sub, Problem(ErrorKind.CLAIMS_LOST, detail, Ran.MAYBE)
                )
            case v if v == CLAIM_UNAVAILABLE:
                self._fail(
                    sub,
                    Problem(ErrorKind.NO_REGISTRY, "", Ran.NO, RETRY_AFTER_MS),
                )

    def _on_claimed(self, sub: Submission) -> None:
        if not sub.is_claimed:
            sub.claimed_ms = self._clock.now_ms()
        sub.is_claimed = True
        sub.phase = Phase.OPEN
        if sub.refusal:
            self._refuse(sub, sub.refusal)
            return
        if not sub.has_slot_request:
            self._send_request(sub)
        self._start_granted(sub)

    def _release_claim(self, key: str, nonce: int) -> None:
        """Releases a claim whose submission is no longer open here.

        The submission was dropped before the claim was granted, so none of
        its tasks started. Claims that ended in another way are among the
        unconfirmed ones and are skipped.
        """
        is_open = nonce in self._by_number
        if not is_open and not self._pending_completions.is_pending(key, nonce):
            self._send_claim_end(Unclaim(key, self._node, nonce), b"")

    def _follow_owner(self, sub: Submission, reply: ClaimReply) -> None:
        """Requests the answer from the box that owns the claim."""
        if sub.start_count or sub.is_claimed:
            return
        now_ms = self._clock.now_ms()
        if sub.phase is not Phase.FOLLOWING:
            self._release_unused(sub)
            sub.phase = Phase.FOLLOWING
            sub.owner_contact_ms = now_ms
        sub.claim_sent_ms = now_ms
        fetch = AnswerFetch(sub.key, reply.owner_nonce)
        self.actions.append(SendToNode(reply.owner, fetch))

    def on_answer_fetch(self, node: str, fetch: AnswerFetch) -> None:
        """Handles another box's request for the answer of a claim.

        The box gets the answer later if the submission is open here.
        """
        sub = self._by_number.get(fetch.nonce)
        if sub and sub.key == fetch.key and sub.phase is Phase.OPEN:
            waiter = RemoteWaiter(node, fetch.key)
            if waiter not in sub.waiters:
                sub.waiters.append(waiter)
            reply = AnswerReply(fetch.key, None, is_pending=True)
        else:
            completed = self._pending_completions.outcome_of(fetch.key)
            reply = AnswerReply(fetch.key, completed[1] if completed else None)
            self._release_claim(fetch.key, fetch.nonce)
        self.actions.append(SendToNode(node, reply))

    def on_answer_reply(self, reply: AnswerReply) -> None:
        """Handles the owner's reply for a submission that it runs."""
        sub = self._by_key.get(reply.key)
        if sub is None or sub.phase is not Phase.FOLLOWING:
            return
        if reply.is_pending:
            sub.owner_contact_ms = self._clock.now_ms()
        if reply.outcome and is_final(reply.outcome):
            self._finish(sub, reply.outcome)

    def _send_request(self, sub: Submission) -> None:
        sub.has_slot_request = True
        self.actions.append(SendToScheduler(self._make_slot_request(sub)))

    def _make_slot_request(self, sub: Submission) -> SlotRequest:
        now_ms = self._clock.now_ms()
        has_deadline = sub.deadline_ms != float("inf")
        remaining_ms = (
            max(1.0, sub.deadline_ms - now_ms) if has_deadline else 0.0
        )
        return SlotRequest(
            sub.number,
            sub.member,
            sub.service,
            sub.priority,
            sub.missing_slots,
            remaining_ms,
            now_ms - sub.arrived_ms,
        )

    def on_grant(self, grant: SlotGrant) -> None:
        """Uses granted slots, and releases those no longer needed."""
        sub = self._by_number.get(grant.request)
        now_ms = self._clock.now_ms()
        if sub and not sub.granted_ms:
            sub.granted_ms = now_ms
        for number, worker in grant.grants:
            if number in self._held:
                continue
            is_needed = (
                sub is not None
                and sub.phase is Phase.OPEN
                and sub.missing_slots > 0
            )
            if not is_needed:
                self._release(number, worker, RELEASE_UNUSED, 0.0)
                continue
            self._held[number] = _HeldGrant(worker, sub, now_ms)
            sub.unused_grants.append((number, worker))
        if sub:
            self._start_granted(sub)

    def on_refuse(self, refuse: SlotRefuse) -> None:
        """Handles the scheduler's refusal: the job fails.

        A job that is neither claimed nor a first attempt fails only once the
        registry has replied.
        """
        sub = self._by_number.get(refuse.request)
        if sub is None or sub.phase is not Phase.OPEN or not sub.missing_slots:
            return
        kind = ErrorKind.from_code(refuse.code)
        problem = Problem(kind, refuse.detail, Ran.NO, refuse.retry_after_ms)
        sub.has_slot_request = False
        if sub.is_claimed or sub.is_first_attempt:
            self._refuse(sub, problem)
        else:
            # Another box may run this key; whether it did is known only from
            # the registry's reply.
            sub.refusal = problem

    def _refuse(self, sub: Submission, problem: Problem) -> None:
        self.counters.refused[problem.kind.code] += 1
        self._fail(sub, problem)

    def _start_granted(self, sub: Submission) -> None:
        """Starts a claimed submission's tasks on its unused grants."""
        if not sub.is_claimed or sub.phase is not Phase.OPEN:
            return
        has_leaving = False
        while sub.unused_grants and sub.unstarted_tasks:
            number, worker = sub.unused_grants.pop()
            if worker in self._leaving_workers:
                has_leaving = True
                self._release(number, worker, RELEASE_UNUSED, 0.0)
            else:
                self._start_task(sub, number, worker, sub.unstarted_tasks.pop())
        if has_leaving:
            self._cancel_request(sub)
            self._send_request(sub)

    def _start_task(
        self, sub: Submission, number: int, worker: str, task: int
    ) -> None:
        sub.running[number] = task
        sub.attempts[task] += 1
        sub.start_count += 1
        self.counters.starts += 1
        if sub.attempts[task] == 1:
            self._budget.on_first_attempt()
        service = self._cfg.services.get(sub.service, Service())
        remaining_ms = sub.deadline_ms - self._clock.now_ms()
        self.actions.append(
            StartTask(
                number,
                worker,
                sub.number,
                task,
                sub.attempts[task],
                sub.priority,
                max(1.0, min(service.timeout_ms, remaining_ms)),
                sub.tasks[task],
                sub.traceparent,
            )
        )

    def on_task_end(
        self, grant: int, end: TaskOutcome, answer: bytes, took_ms: float
    ) -> None:
        """Handles the outcome of one attempt to run a task.

        Args:
            grant: number of the slot's grant.
            end: the outcome.
            answer: the worker's answer, or a description of the failure.
            took_ms: time from start to end, in ms.
        """
        held = self._held.get(grant)
        if held is None or grant not in held.submission.running:
            self.counters.late_answers += 1
            return
        sub = held.submission
        task = sub.running.pop(grant)
        self._release(grant, held.worker, end.release_result, took_ms)
        if end is not TaskOutcome.ANSWERED:
            self.counters.wasted += 1
        if sub.phase is Phase.DONE:
            self.counters.wasted += end is TaskOutcome.ANSWERED
            return
        if end is TaskOutcome.ANSWERED:
            sub.answers[task] = answer
            sub.longest_task_ms = max(sub.longest_task_ms, took_ms)
            self.counters.answered += 1
            if sub.is_complete:
                self._finish(sub, render_answers(sub.answers))
        elif end is TaskOutcome.FAILED:
            detail = f"Task {task}: {answer.decode(errors='replace')[:200]}"
            self._fail(sub, Problem(ErrorKind.TASK_FAILED, detail, Ran.YES))
        else:
            self._retry_or_fail(sub, task, end)

    def _retry_or_fail(
        self, sub: Submission, task: int, end: TaskOutcome
    ) -> None:
        if not end.may_have_started:
            sub.start_count -= 1
        if self._may_retry(sub, task, end):
            self.counters.retries += 1
            sub.unstarted_tasks.append(task)
            self._cancel_request(sub)
            self._send_request(sub)
            return
        detail = f"Task {task} ended as {end.text}."
        if end.may_have_started:
            problem = Problem(ErrorKind.TASK_LOST, detail)
        else:
            problem = Problem(
                ErrorKind.NO_WORKER, detail, Ran.NO, RETRY_AFTER_MS
            )
        self._fail(sub, problem)

    def _may_retry(self, sub: Submission, task: int, end: TaskOutcome) -> bool:
        """Returns whether a task may be started again; spends retry budget."""
        if sub.attempts[task] >= MAX_ATTEMPTS:
            return False
        if self._clock.now_ms() >= sub.deadline_ms:
            return False
        if end.may_have_started:
            service = self._cfg.services.get(sub.service)
            if not (service and service.retry_lost and sub.is_repeatable):
                return False
        return self._budget.try_acquire()

    def _cancel_request(self, sub: Submission) -> None:
        if sub.has_slot_request:
            sub.has_slot_request = False
            self.actions.append(SendToScheduler(SlotCancel(sub.number)))

    def _release(
        self, number: int, worker: str, result: int, took_ms: float
    ) -> None:
        self._held.pop(number, None)
        self.actions.append(
            SendToScheduler(SlotRelease(number, worker, result, took_ms))
        )

    def _release_unused(self, sub: Submission) -> None:
        """Cancels the slot request and releases the slots not in use."""
        self._cancel_request(sub)
        for number, worker in sub.unused_grants:
            self._release(number, worker, RELEASE_UNUSED, 0.0)
        sub.unused_grants.clear()

    def make_sync(self) -> SlotSync:
        """Returns a report of held slots and open requests.

        A new scheduler rebuilds its state from it.
        """
        held = [
            HeldSlot(
                number, held.worker, self._make_slot_request(held.submission)
            )
            for number, held in self._held.items()
        ]
        requests = [
            self._make_slot_request(sub)
            for sub in self._by_number.values()
            if sub.has_slot_request and sub.missing_slots > 0
        ]
        return SlotSync(held, requests)

    def _fail(self, sub: Submission, problem: Problem) -> None:
        """Ends a submission with a problem.

        The problem's `ran` is raised to "maybe" unless it is certain that no
        task was started, here or by another box.
        """
        is_unknown = not (sub.is_claimed or sub.is_first_attempt)
        if problem.kind in NOT_RUN_KINDS:
            is_unknown = False
        if problem.ran is Ran.NO and (sub.start_count or is_unknown):
            problem.ran = Ran.MAYBE
        self._release_unused(sub)
        self._finish(sub, render_problem(problem))

    def _finish(self, sub: Submission, outcome: Outcome) -> None:
        sub.phase = Phase.DONE
        sub.outcome = outcome
        del self._by_key[sub.key]
        del self._by_number[sub.number]
        self._end_claim(sub, outcome)
        self.counters.on_finished(
            sub, outcome, self._clock.now_ms() - sub.arrived_ms
        )
        for waiter in sub.waiters:
            if isinstance(waiter, RemoteWaiter):
                reply = AnswerReply(waiter.key, outcome)
                self.actions.append(SendToNode(waiter.node, reply))
            else:
                self.actions.append(SendAnswer(waiter, outcome))

    def _end_claim(self, sub: Submission, outcome: Outcome) -> None:
        """Completes or gives up the claim of a submission that is done."""
        if sub.is_claimed and is_final(outcome):
            done = Complete(sub.key, self._node, sub.number, outcome)
            self._send_claim_end(done, sub.digest)
        elif sub.may_be_claimed:
            self._send_claim_end(Unclaim(sub.key, self._node, sub.number), b"")

    def _send_claim_end(
        self, message: Complete | Unclaim, digest: bytes
    ) -> None:
        """Sends a claim's end; it is repeated until confirmed."""
        self._pending_completions.add(message, digest, self._clock.now_ms())
        self.actions.append(SendToRegistry(message))

    def tick(self) -> None:
        """Runs the periodic work: sends messages again, ends overdue jobs."""
        now_ms = self._clock.now_ms()
        self._resend_unconfirmed(now_ms)
        for sub in list(self._by_number.values()):
            if sub.phase is Phase.FOLLOWING:
                self._tick_following(sub, now_ms)
            elif not sub.is_claimed:
                self._tick_unclaimed(sub, now_ms)
            if sub.phase is not Phase.DONE and now_ms >= sub.deadline_ms:
                self._expire(sub)

    def _resend_unconfirmed(self, now_ms: float) -> None:
        for message in self._pending_completions.due(now_ms):
            self.actions.append(SendToRegistry(message))
        for lookup in self._lookups.due(now_ms):
            self.actions.append(SendToRegistry(lookup))
        self.actions += self._lookups.expire(now_ms)

    def _tick_following(self, sub: Submission, now_ms: float) -> None:
        if now_ms - sub.owner_contact_ms >= FOLLOW_TIMEOUT_MS:
            detail = "It does not answer now; the claim stays recorded."
            problem = Problem(
                ErrorKind.OWNER_LOST, detail, Ran.MAYBE, RETRY_AFTER_MS
            )
            self._fail(sub, problem)
        elif now_ms - sub.claim_sent_ms >= FOLLOW_POLL_MS:
            self._send_claim(sub)

    def _tick_unclaimed(self, sub: Submission, now_ms: float) -> None:
        if now_ms - sub.arrived_ms >= CLAIM_TIMEOUT_MS:
            problem = Problem(
                ErrorKind.NO_REGISTRY,
                "It did not answer in time.",
                Ran.NO,
                RETRY_AFTER_MS,
            )
            self._fail(sub, problem)
        elif now_ms - sub.claim_sent_ms >= CLAIM_RESEND_MS:
            self._send_claim(sub)

    def _expire(self, sub: Submission) -> None:
        is_following = sub.phase is Phase.FOLLOWING
        ran = Ran.MAYBE if is_following or sub.start_count else Ran.NO
        self._fail(sub, Problem(ErrorKind.DEADLINE, "It has passed.", ran))
