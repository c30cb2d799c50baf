"""Takes submissions, starts their tasks on granted slots, answers whole.

A task starts only when two things hold: the submission's claim is recorded by
a majority of its home hall, and the scheduler granted a slot. A start that
may have reached a worker is never repeated unless the service allows it and
the submission is repeatable; the job fails as *may have run* instead.
"""

import hashlib

from clayfield.base import Clock, Kind, Problem, Ran
from clayfield.config import Configuration, Service
from clayfield.dispatch.actions import (
    Action,
    Answer,
    StartTask,
    Tell,
    ToNode,
    ToRegistry,
    ToScheduler,
)
from clayfield.dispatch.budget import RetryBudget
from clayfield.dispatch.counters import Counters
from clayfield.dispatch.lookups import RUNNING, Lookups
from clayfield.dispatch.rendering import (
    is_final,
    render_answers,
    render_problem,
)
from clayfield.dispatch.settlements import Settlements
from clayfield.dispatch.submission import JobRequest, Phase, Submission
from clayfield.dispatch.task_end import TaskEnd
from clayfield.dispatch.waiters import RemoteWaiter
from clayfield.dispatch.workers import WorkerInfo
from clayfield.wire.messages import (
    CLAIM_DONE,
    CLAIM_GRANTED,
    CLAIM_LOST,
    CLAIM_OWNED,
    CLAIM_REUSED,
    CLAIM_SETTLED,
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
FOLLOW_MS = 500.0
FOLLOW_TIMEOUT_MS = 1500.0
RETRY_AFTER_MS = 1000
MAX_ATTEMPTS = 8
MIN_STOP_RETRY_MS = 100
DIGEST_BYTES = 16


# Of these the registry itself says that this body did not run.
NEVER_RUN = (Kind.KEY_REUSED,)


class _Held:
    """A slot that this box holds."""

    __slots__ = ("since_ms", "submission", "worker")

    def __init__(self, worker: str, submission: Submission, since_ms: float):
        self.worker = worker
        self.submission = submission
        self.since_ms = since_ms


class Entry:
    """The submissions of one box.

    Attributes:
        actions: what is to be done; the caller empties it.
        counters: what happened so far.
        is_stopping: takes no new submissions.
    """

    def __init__(self, clock: Clock, node: str, cfg: Configuration):
        """Starts without submissions.

        Args:
            clock: the time.
            node: this box's node, the owner of its claims.
            cfg: the configuration in force.
        """
        self.actions: list[Action] = []
        self.counters = Counters()
        self.is_stopping = False
        self._clock = clock
        self._node = node
        self._cfg = cfg
        self._by_key: dict[str, Submission] = {}
        self._by_number: dict[int, Submission] = {}
        self._held: dict[int, _Held] = {}
        self._next_number = 1
        self._leaving: set[str] = set()
        self._settlements = Settlements()
        self._lookups = Lookups(node)
        self._budget = RetryBudget(cfg.limits.retry_share)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is open, runs or waits to be confirmed."""
        return not (self._by_number or self._held or len(self._settlements))

    @property
    def open_count(self) -> int:
        """How many submissions are not done."""
        return len(self._by_number)

    @property
    def held_count(self) -> int:
        """How many slots this box holds."""
        return len(self._held)

    def set_config(self, cfg: Configuration) -> None:
        """Takes the configuration in force."""
        self._cfg = cfg
        self._budget.share = cfg.limits.retry_share

    def set_workers(self, infos: list[WorkerInfo]) -> None:
        """Takes the platform list.

        A slot may have been granted before its worker began to leave, and
        only now come to be used.
        """
        self._leaving = {info.name for info in infos if info.is_leaving}

    # Submissions.

    def submit(
        self, key: str, req: JobRequest, waiter: object
    ) -> Submission | None:
        """Takes a submission; its waiter gets one answer.

        Args:
            key: the caller's key with its member.
            req: what is asked.
            waiter: given back with the answer.

        Returns:
            The submission, None when it was answered at once.
        """
        digest = hashlib.blake2b(req.body, digest_size=DIGEST_BYTES).digest()
        known = self._by_key.get(key)
        if known:
            self._join(known, digest, waiter)
            return known
        ended = self._settlements.outcome_of(key)
        if ended:
            self._answer_ended(ended, digest, waiter)
            return None
        if self.is_stopping:
            ran = Ran.NO if req.is_first else Ran.MAYBE
            problem = Problem(Kind.STOPPING, "", ran, MIN_STOP_RETRY_MS)
            self.actions.append(Answer(waiter, render_problem(problem)))
            return None
        return self._open(key, digest, req, waiter)

    def _open(
        self, key: str, digest: bytes, req: JobRequest, waiter: object
    ) -> Submission:
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
        elif req.is_first:
            self._refuse(sub, req.refusal)
        else:
            sub.refusal = req.refusal
        return sub

    def _join(self, sub: Submission, digest: bytes, waiter: object) -> None:
        self.counters.resubmitted += 1
        if sub.digest != digest:
            problem = Problem(Kind.KEY_REUSED)
            self.actions.append(Answer(waiter, render_problem(problem)))
        else:
            sub.waiters.append(waiter)

    def _answer_ended(
        self, ended: tuple[bytes, Outcome], digest: bytes, waiter: object
    ) -> None:
        self.counters.resubmitted += 1
        known_digest, outcome = ended
        if known_digest != digest:
            outcome = render_problem(Problem(Kind.KEY_REUSED))
        self.actions.append(Answer(waiter, outcome))

    def holder_of(self, grant: int) -> Submission | None:
        """Returns the submission that a slot is held for, even a done one."""
        held = self._held.get(grant)
        return held.submission if held else None

    def look_up(self, key: str, waiter: object) -> None:
        """Asks for the state or the answer of a key.

        Args:
            key: a member's key.
            waiter: given back with the answer.
        """
        ended = self._settlements.outcome_of(key)
        if ended:
            self.actions.append(Answer(waiter, ended[1]))
        elif key in self._by_key:
            self.actions.append(Tell(waiter, RUNNING))
        else:
            lookup = self._lookups.ask(key, waiter, self._clock.now_ms())
            self.actions.append(ToRegistry(lookup))

    def drop_waiter(self, key: str, waiter: object) -> None:
        """Learns that a caller hung up; its submission goes on."""
        sub = self._by_key.get(key)
        if sub and waiter in sub.waiters:
            sub.waiters.remove(waiter)

    # Claims.

    def _send_claim(self, sub: Submission) -> None:
        sub.asked_ms = self._clock.now_ms()
        sub.may_be_claimed = True
        claim = Claim(sub.key, sub.digest, self._node, sub.number)
        self.actions.append(ToRegistry(claim))

    def resend_claims(self) -> None:
        """Sends open claims again, as a new leader may not have them."""
        for sub in self._by_number.values():
            if sub.phase is Phase.OPEN and not sub.is_claimed:
                self._send_claim(sub)

    def on_claim_reply(self, reply: ClaimReply) -> None:
        """Takes the registry's word on a claim."""
        if reply.verdict == CLAIM_SETTLED:
            self._settlements.on_settled(reply.key, reply.nonce)
            return
        told = self._lookups.on_reply(reply)
        if told:
            self.actions.append(told)
            return
        sub = self._by_number.get(reply.nonce)
        if sub is None or sub.key != reply.key:
            if reply.verdict == CLAIM_GRANTED:
                self._disclaim(reply.key, reply.nonce)
            return
        sub.may_be_claimed = reply.verdict == CLAIM_GRANTED
        match reply.verdict:
            case v if v == CLAIM_GRANTED:
                self._on_claimed(sub)
            case v if v == CLAIM_OWNED and reply.owner != self._node:
                self._follow(sub, reply)
            case v if v == CLAIM_OWNED:
                self._disclaim(reply.key, reply.owner_nonce)
            case v if v == CLAIM_REUSED:
                self._fail(sub, Problem(Kind.KEY_REUSED))
            case v if v == CLAIM_DONE:
                self._withdraw(sub)
                self._finish(sub, reply.outcome)
            case v if v == CLAIM_LOST:
                detail = "Its hall lost all claims of earlier times."
                self._fail(sub, Problem(Kind.CLAIMS_LOST, detail, Ran.MAYBE))
            case v if v == CLAIM_UNAVAILABLE:
                self._fail(
                    sub, Problem(Kind.NO_REGISTRY, "", Ran.NO, RETRY_AFTER_MS)
                )

    def _on_claimed(self, sub: Submission) -> None:
        if not sub.is_claimed:
            sub.claimed_ms = self._clock.now_ms()
        sub.is_claimed = True
        sub.phase = Phase.OPEN
        if sub.refusal:
            self._refuse(sub, sub.refusal)
            return
        if not sub.is_placed:
            self._send_request(sub)
        self._start_granted(sub)

    def _disclaim(self, key: str, nonce: int) -> None:
        """Lets go of a claim under a number that is open here no more.

        Such a claim was given up before it was granted, so nothing of it
        started. One that ended otherwise is in the settlements.
        """
        is_open = nonce in self._by_number
        if not is_open and not self._settlements.is_pending(key, nonce):
            self._settle(Unclaim(key, self._node, nonce), b"")

    def _follow(self, sub: Submission, reply: ClaimReply) -> None:
        if sub.started or sub.is_claimed:
            return
        now_ms = self._clock.now_ms()
        if sub.phase is not Phase.FOLLOWING:
            self._withdraw(sub)
            sub.phase = Phase.FOLLOWING
            sub.heard_ms = now_ms
        sub.asked_ms = now_ms
        fetch = AnswerFetch(sub.key, reply.owner_nonce)
        self.actions.append(ToNode(reply.owner, fetch))

    def on_answer_fetch(self, node: str, fetch: AnswerFetch) -> None:
        """Lets another box wait for a submission that is open here."""
        sub = self._by_number.get(fetch.nonce)
        if sub and sub.key == fetch.key and sub.phase is Phase.OPEN:
            waiter = RemoteWaiter(node, fetch.key)
            if waiter not in sub.waiters:
                sub.waiters.append(waiter)
            reply = AnswerReply(fetch.key, None, is_pending=True)
        else:
            ended = self._settlements.outcome_of(fetch.key)
            reply = AnswerReply(fetch.key, ended[1] if ended else None)
            self._disclaim(fetch.key, fetch.nonce)
        self.actions.append(ToNode(node, reply))

    def on_answer_reply(self, reply: AnswerReply) -> None:
        """Takes word of a submission that another box runs."""
        sub = self._by_key.get(reply.key)
        if sub is None or sub.phase is not Phase.FOLLOWING:
            return
        if reply.is_pending:
            sub.heard_ms = self._clock.now_ms()
        if reply.outcome and is_final(reply.outcome):
            self._finish(sub, reply.outcome)

    # Slots.

    def _send_request(self, sub: Submission) -> None:
        sub.is_placed = True
        self.actions.append(ToScheduler(self._request_of(sub)))

    def _request_of(self, sub: Submission) -> SlotRequest:
        now_ms = self._clock.now_ms()
        has_deadline = sub.deadline_ms != float("inf")
        left_ms = max(1.0, sub.deadline_ms - now_ms) if has_deadline else 0.0
        return SlotRequest(
            sub.number,
            sub.member,
            sub.service,
            sub.priority,
            sub.wanted_slots,
            left_ms,
            now_ms - sub.arrived_ms,
        )

    def on_grant(self, grant: SlotGrant) -> None:
        """Takes slots; those not wanted any more go back unused."""
        sub = self._by_number.get(grant.request)
        now_ms = self._clock.now_ms()
        if sub and not sub.granted_ms:
            sub.granted_ms = now_ms
        for number, worker in grant.grants:
            if number in self._held:
                continue
            is_wanted = (
                sub is not None
                and sub.phase is Phase.OPEN
                and sub.wanted_slots > 0
            )
            if not is_wanted:
                self._release(number, worker, RELEASE_UNUSED, 0.0)
                continue
            self._held[number] = _Held(worker, sub, now_ms)
            sub.granted.append((number, worker))
        if sub:
            self._start_granted(sub)

    def on_refuse(self, refuse: SlotRefuse) -> None:
        """Takes a refusal: the whole job fails, or fails to go on."""
        sub = self._by_number.get(refuse.request)
        if sub is None or sub.phase is not Phase.OPEN or not sub.wanted_slots:
            return
        kind = Kind.from_code(refuse.code)
        problem = Problem(kind, refuse.detail, Ran.NO, refuse.retry_after_ms)
        sub.is_placed = False
        if sub.is_claimed or sub.is_first:
            self._refuse(sub, problem)
        else:
            # Another box may run this key: only the claim's answer allows
            # saying that nothing ran.
            sub.refusal = problem

    def _refuse(self, sub: Submission, problem: Problem) -> None:
        self.counters.refused[problem.kind.code] += 1
        self._fail(sub, problem)

    def _start_granted(self, sub: Submission) -> None:
        if not sub.is_claimed or sub.phase is not Phase.OPEN:
            return
        has_barred = False
        while sub.granted and sub.to_start:
            number, worker = sub.granted.pop()
            if worker in self._leaving:
                has_barred = True
                self._release(number, worker, RELEASE_UNUSED, 0.0)
            else:
                self._start(sub, number, worker, sub.to_start.pop())
        if has_barred:
            self._cancel_request(sub)
            self._send_request(sub)

    def _start(
        self, sub: Submission, number: int, worker: str, task: int
    ) -> None:
        sub.running[number] = task
        sub.attempts[task] += 1
        sub.started += 1
        self.counters.starts += 1
        if sub.attempts[task] == 1:
            self._budget.on_first()
        service = self._cfg.services.get(sub.service, Service())
        left_ms = sub.deadline_ms - self._clock.now_ms()
        self.actions.append(
            StartTask(
                number,
                worker,
                sub.number,
                task,
                sub.attempts[task],
                sub.priority,
                max(1.0, min(service.timeout_ms, left_ms)),
                sub.tasks[task],
                sub.traceparent,
            )
        )

    def on_task_end(
        self, grant: int, end: TaskEnd, answer: bytes, took_ms: float
    ) -> None:
        """Takes the end of a start.

        Args:
            grant: the slot's number.
            end: how it ended.
            answer: the worker's answer, or what to tell of the failure.
            took_ms: time from start to end.
        """
        held = self._held.get(grant)
        if held is None or grant not in held.submission.running:
            self.counters.late_answers += 1
            return
        sub = held.submission
        task = sub.running.pop(grant)
        self._release(grant, held.worker, end.release, took_ms)
        if end is not TaskEnd.ANSWERED:
            self.counters.wasted += 1
        if sub.phase is Phase.DONE:
            self.counters.wasted += end is TaskEnd.ANSWERED
            return
        if end is TaskEnd.ANSWERED:
            sub.answers[task] = answer
            sub.longest_ms = max(sub.longest_ms, took_ms)
            self.counters.answered += 1
            if sub.is_complete:
                self._finish(sub, render_answers(sub.answers))
        elif end is TaskEnd.FAILED:
            detail = f"Task {task}: {answer.decode(errors='replace')[:200]}"
            self._fail(sub, Problem(Kind.TASK_FAILED, detail, Ran.YES))
        else:
            self._retry_or_fail(sub, task, end)

    def _retry_or_fail(self, sub: Submission, task: int, end: TaskEnd) -> None:
        if not end.is_started:
            sub.started -= 1
        if self._may_retry(sub, task, end):
            self.counters.retries += 1
            sub.to_start.append(task)
            self._cancel_request(sub)
            self._send_request(sub)
            return
        detail = f"Task {task} ended as {end.text}."
        if end.is_started:
            problem = Problem(Kind.TASK_LOST, detail)
        else:
            problem = Problem(Kind.NO_WORKER, detail, Ran.NO, RETRY_AFTER_MS)
        self._fail(sub, problem)

    def _may_retry(self, sub: Submission, task: int, end: TaskEnd) -> bool:
        if sub.attempts[task] >= MAX_ATTEMPTS:
            return False
        if self._clock.now_ms() >= sub.deadline_ms:
            return False
        if end.is_started:
            service = self._cfg.services.get(sub.service)
            if not (service and service.retry_lost and sub.is_repeatable):
                return False
        return self._budget.try_retry()

    def _cancel_request(self, sub: Submission) -> None:
        if sub.is_placed:
            sub.is_placed = False
            self.actions.append(ToScheduler(SlotCancel(sub.number)))

    def _release(
        self, number: int, worker: str, result: int, took_ms: float
    ) -> None:
        self._held.pop(number, None)
        self.actions.append(
            ToScheduler(SlotRelease(number, worker, result, took_ms))
        )

    def _withdraw(self, sub: Submission) -> None:
        """Gives back all slots not in use, and asks for no more."""
        self._cancel_request(sub)
        for number, worker in sub.granted:
            self._release(number, worker, RELEASE_UNUSED, 0.0)
        sub.granted.clear()

    def sync_message(self) -> SlotSync:
        """Returns what a new scheduler must know of this box."""
        held = [
            HeldSlot(number, held.worker, self._request_of(held.submission))
            for number, held in self._held.items()
        ]
        waiting = [
            self._request_of(sub)
            for sub in self._by_number.values()
            if sub.is_placed and sub.wanted_slots > 0
        ]
        return SlotSync(held, waiting)

    # Ends.

    def _fail(self, sub: Submission, problem: Problem) -> None:
        """Ends a submission; says whether any of it may have run."""
        is_unknown = not (sub.is_claimed or sub.is_first)
        if problem.kind in NEVER_RUN:
            is_unknown = False
        if problem.ran is Ran.NO and (sub.started or is_unknown):
            problem.ran = Ran.MAYBE
        self._withdraw(sub)
        self._finish(sub, render_problem(problem))

    def _finish(self, sub: Submission, outcome: Outcome) -> None:
        sub.phase = Phase.DONE
        sub.outcome = outcome
        del self._by_key[sub.key]
        del self._by_number[sub.number]
        self._record(sub, outcome)
        self.counters.on_finished(
            sub, outcome, self._clock.now_ms() - sub.arrived_ms
        )
        for waiter in sub.waiters:
            if isinstance(waiter, RemoteWaiter):
                reply = AnswerReply(waiter.key, outcome)
                self.actions.append(ToNode(waiter.node, reply))
            else:
                self.actions.append(Answer(waiter, outcome))

    def _record(self, sub: Submission, outcome: Outcome) -> None:
        if sub.is_claimed and is_final(outcome):
            done = Complete(sub.key, self._node, sub.number, outcome)
            self._settle(done, sub.digest)
        elif sub.may_be_claimed:
            self._settle(Unclaim(sub.key, self._node, sub.number), b"")

    def _settle(self, message: Complete | Unclaim, digest: bytes) -> None:
        self._settlements.add(message, digest, self._clock.now_ms())
        self.actions.append(ToRegistry(message))

    def tick(self) -> None:
        """Lets time act: claims are sent again, deadlines pass."""
        now_ms = self._clock.now_ms()
        self._resend(now_ms)
        for sub in list(self._by_number.values()):
            if sub.phase is Phase.FOLLOWING:
                self._tick_following(sub, now_ms)
            elif not sub.is_claimed:
                self._tick_unclaimed(sub, now_ms)
            if sub.phase is not Phase.DONE and now_ms >= sub.deadline_ms:
                self._expire(sub)

    def _resend(self, now_ms: float) -> None:
        for message in self._settlements.due(now_ms):
            self.actions.append(ToRegistry(message))
        for lookup in self._lookups.due(now_ms):
            self.actions.append(ToRegistry(lookup))
        self.actions += self._lookups.expire(now_ms)

    def _tick_following(self, sub: Submission, now_ms: float) -> None:
        if now_ms - sub.heard_ms >= FOLLOW_TIMEOUT_MS:
            detail = "It does not answer now; the claim stays recorded."
            problem = Problem(
                Kind.OWNER_LOST, detail, Ran.MAYBE, RETRY_AFTER_MS
            )
            self._fail(sub, problem)
        elif now_ms - sub.asked_ms >= FOLLOW_MS:
            self._send_claim(sub)

    def _tick_unclaimed(self, sub: Submission, now_ms: float) -> None:
        if now_ms - sub.arrived_ms >= CLAIM_TIMEOUT_MS:
            problem = Problem(
                Kind.NO_REGISTRY,
                "It did not answer in time.",
                Ran.NO,
                RETRY_AFTER_MS,
            )
            self._fail(sub, problem)
        elif now_ms - sub.asked_ms >= CLAIM_RESEND_MS:
            self._send_claim(sub)

    def _expire(self, sub: Submission) -> None:
        is_following = sub.phase is Phase.FOLLOWING
        ran = Ran.MAYBE if is_following or sub.started else Ran.NO
        self._fail(sub, Problem(Kind.DEADLINE, "It has passed.", ran))
