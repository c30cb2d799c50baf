"""The callers of one entry: jobs and questions that wait for the holder."""

import abc

from clayfield.base import Clock
from clayfield.pool.actions import (
    AnswerCaller,
    AnswerCancel,
    AnswerState,
    EntryAction,
)
from clayfield.wire.cluster import (
    AskState,
    CancelJob,
    JobCancelled,
    JobEnded,
    StateTold,
    SubmitJob,
)
from clayfield.wire.jobs import Job, Reason, Verdict
from clayfield.wire.messages import Message

# How long a job that was never sent waits for a holder, as a part of its
# objective; the part for which nobody minds a refusal.
PATIENCE_SHARE = 0.2
NO_HOLDER_RETRY_MS = 500.0
# How much longer than the job's own time its entry waits for the holder.
HOLDER_SLACK_MS = 100.0
# How long the holder may take to answer a question.
QUESTION_MS = 1000.0


class HolderLink(abc.ABC):
    """The way to the holder, as the entry knows it."""

    @property
    @abc.abstractmethod
    def holder(self) -> str:
        """The node to hand jobs to, "" where none is known."""

    @property
    @abc.abstractmethod
    def is_holder_reachable(self) -> bool:
        """Whether jobs can be handed to the holder now."""

    @property
    @abc.abstractmethod
    def uses_standby(self) -> bool:
        """Whether the holder is the stand-by of a hall that is cut off."""

    @property
    @abc.abstractmethod
    def epoch(self) -> int:
        """Of the grant that names the holder."""

    @abc.abstractmethod
    def tell_holder(self, message: Message) -> None:
        """Sends a message to the holder."""

    @abc.abstractmethod
    def tell_workers(self) -> None:
        """Tells the holder, once a grant, of all workers known here."""


class _Pending:
    """A job whose callers wait.

    Attributes:
        sent_to: the holder that it was sent to last, "" before.
        was_sent: whether it was ever sent.
    """

    __slots__ = ("arrived_ms", "job", "sent_to", "waiters", "was_sent")

    def __init__(self, job: Job, waiter: int, arrived_ms: float):
        self.job = job
        self.waiters = [waiter]
        self.arrived_ms = arrived_ms
        self.sent_to = ""
        self.was_sent = False


class _Question:
    """What a caller wants of a job, and the holder has not answered yet."""

    __slots__ = ("is_cancel", "since_ms", "waiter")

    def __init__(self, waiter: int, since_ms: float, is_cancel: bool):
        self.waiter = waiter
        self.since_ms = since_ms
        self.is_cancel = is_cancel


class Callers:
    """What callers wait for at one entry.

    Attributes:
        actions: answers to give; the entry empties it.
    """

    def __init__(self, clock: Clock, link: HolderLink):
        self.actions: list[EntryAction] = []
        self._clock = clock
        self._link = link
        self._pending: dict[str, _Pending] = {}
        self._questions: dict[int, _Question] = {}
        self._requests = 0

    @property
    def open_jobs(self) -> int:
        """How many jobs wait for their answer here."""
        return len(self._pending)

    def waiting_of(self, queue: str) -> int:
        """Returns how many jobs of a queue, none to be kept, are open here."""
        return sum(
            one.job.queue == queue and not one.job.is_kept
            for one in self._pending.values()
        )

    def has_job(self, key: str) -> bool:
        """Tells whether callers wait for a job."""
        return key in self._pending

    # Jobs.

    def submit(self, job: Job, waiter: int) -> None:
        """Takes a job; `AnswerCaller` tells its end."""
        known = self._pending.get(job.key)
        if known:
            known.waiters.append(waiter)
            return
        pending = _Pending(job, waiter, self._clock.now_ms())
        self._pending[job.key] = pending
        self._hand_over(pending)

    def refuse(self, job: Job, waiter: int, reason: Reason) -> None:
        """Answers at once that a job is not taken."""
        ended = JobEnded(job.key, Verdict.REFUSED, reason, NO_HOLDER_RETRY_MS)
        self.actions.append(AnswerCaller(waiter, ended))

    def leave(self, key: str, waiter: int) -> None:
        """Learns that a caller waits no more; a job that is kept goes on."""
        pending = self._pending.get(key)
        if pending is None or waiter not in pending.waiters:
            return
        pending.waiters.remove(waiter)
        if not pending.waiters and not pending.job.is_kept:
            del self._pending[key]
            self._link.tell_holder(CancelJob(0, key))

    def on_job_ended(self, node: str, ended: JobEnded) -> None:
        """Learns from a node what the callers of a job are to be told.

        A holder that was followed may still refuse or give up a job that its
        follower has been handed meanwhile; only the follower can tell.
        """
        pending = self._pending.get(ended.key)
        if pending is None:
            return
        is_final = ended.verdict not in (Verdict.REFUSED, Verdict.ABANDONED)
        if is_final or pending.sent_to == node:
            self._answer(pending, ended)

    def _answer(self, pending: _Pending, ended: JobEnded) -> None:
        del self._pending[ended.key]
        for waiter in pending.waiters:
            self.actions.append(AnswerCaller(waiter, ended))

    def give_up_all(self, reason: Reason) -> None:
        """Answers every caller that still waits for its job."""
        for pending in list(self._pending.values()):
            self._give_up(pending, reason)

    def _give_up(self, pending: _Pending, reason: Reason) -> None:
        verdict = Verdict.ABANDONED if pending.was_sent else Verdict.REFUSED
        key = pending.job.key
        ended = JobEnded(key, verdict, reason, NO_HOLDER_RETRY_MS)
        self._answer(pending, ended)

    # Jobs to the holder.

    def forget_sent_to(self, node: str | None) -> None:
        """Has the jobs that a node (None: any) was sent handed over again."""
        for pending in self._pending.values():
            if node is None or pending.sent_to == node:
                pending.sent_to = ""

    def hand_over_all(self) -> None:
        """Hands over what the present holder has not been sent."""
        for pending in list(self._pending.values()):
            self._hand_over(pending)

    def _hand_over(self, pending: _Pending) -> None:
        link = self._link
        if pending.sent_to == link.holder or not link.is_holder_reachable:
            return
        is_for_holder = pending.was_sent or pending.job.is_kept
        if is_for_holder and link.uses_standby:
            # It may run on workers that the stand-by cannot reach, or be kept,
            # which takes a majority. When the hall is joined with the others
            # again, the holder will tell.
            return
        submit = SubmitJob(
            pending.job,
            self._clock.now_ms() - pending.arrived_ms,
            link.epoch,
            pending.was_sent,
        )
        if pending.was_sent:
            link.tell_workers()
        pending.sent_to = link.holder
        pending.was_sent = True
        link.tell_holder(submit)

    # Questions.

    def cancel(self, key: str, waiter: int) -> None:
        """Ends a job, whoever submitted it; `AnswerCancel` tells."""
        number = self._ask(waiter, is_cancel=True)
        if number:
            self._link.tell_holder(CancelJob(number, key))

    def ask_state(self, key: str, waiter: int) -> None:
        """Asks where a kept job stands; `AnswerState` tells."""
        number = self._ask(waiter, is_cancel=False)
        if number:
            self._link.tell_holder(AskState(number, key))

    def _ask(self, waiter: int, is_cancel: bool) -> int:
        """Notes a question; returns its number, 0 if nobody can be asked."""
        question = _Question(waiter, self._clock.now_ms(), is_cancel)
        if not self._link.is_holder_reachable:
            self._answer_unknown(question)
            return 0
        self._requests += 1
        self._questions[self._requests] = question
        return self._requests

    def on_cancelled(self, told: JobCancelled) -> None:
        """Takes the holder's answer to a cancel."""
        asked = self._questions.pop(told.request, None)
        if asked:
            self.actions.append(AnswerCancel(asked.waiter, told.is_known))

    def on_state(self, told: StateTold) -> None:
        """Takes the holder's answer about a kept job."""
        asked = self._questions.pop(told.request, None)
        if asked:
            self.actions.append(AnswerState(asked.waiter, told))

    def _answer_unknown(self, question: _Question) -> None:
        if question.is_cancel:
            self.actions.append(AnswerCancel(question.waiter, None))
        else:
            self.actions.append(AnswerState(question.waiter, None))

    # Time.

    def tick(self) -> None:
        """Lets time act."""
        now_ms = self._clock.now_ms()
        for pending in list(self._pending.values()):
            self._tick_pending(pending, now_ms)
        for request, question in list(self._questions.items()):
            if now_ms - question.since_ms > QUESTION_MS:
                del self._questions[request]
                self._answer_unknown(question)

    def _tick_pending(self, pending: _Pending, now_ms: float) -> None:
        self._hand_over(pending)
        age_ms = now_ms - pending.arrived_ms
        if age_ms > pending.job.timeout_ms + HOLDER_SLACK_MS:
            self._give_up(pending, Reason.TIMED_OUT)
        elif not pending.was_sent and age_ms > _patience_ms(pending.job):
            self._give_up(pending, Reason.NO_HOLDER)


def _patience_ms(job: Job) -> float:
    longest_ms = sum(step.estimate_ms for step in job.steps)
    return PATIENCE_SHARE * (job.stretch * longest_ms + job.target_ms)
