"""Kept jobs at the holder: accepted, followed and ended by stored records.

A job's tasks are placed once its acceptance is stored. The end of a run is
written before its worker may forget it, and a job counts as ended only once
that is stored. A new holder loads the jobs of the one before; their tasks run
on where workers list them, and start anew only when no worker can be running
them any more.
"""

from collections.abc import Callable

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.admission import Admission
from clayfield.pool.fleet import Fleet, RunEnd
from clayfield.pool.jobtable import JobTable
from clayfield.pool.ledger import AUTHORITY_MS, JobLedger, StoredChange
from clayfield.pool.orders import EndedRow, EndKind, TellEntry
from clayfield.pool.tasks import OpenJob, Run, RunState, Task, TaskState
from clayfield.pool.timing import PoolTiming
from clayfield.pool.worker import CLOCK_DRIFT, TRANSIT_MS, Worker
from clayfield.wire.cluster import (
    AskState,
    CancelJob,
    JobCancelled,
    JobEnded,
    StateTold,
    SubmitJob,
)
from clayfield.wire.jobs import JobState, Reason, Verdict
from clayfield.wire.ledger import (
    AcceptJob,
    CancelAccepted,
    EndTask,
    HolderLease,
    JobsLoaded,
    JobsWritten,
    KeptJob,
)
from clayfield.wire.messages import Message

# Open kept jobs beyond which more are refused; bounds memory and disk.
MAX_OPEN = 2000
RETRY_MS = 500.0
# A node that has listened for so long has heard of every live worker.
LISTENED_MS = 3500.0
# How long the answer about a running job waits for its end.
STATE_WAIT_MS = 100.0
# Ended jobs are remembered for longer than the record keeps them.
REMEMBER_MARGIN_MS = 30_000.0
# Of the runs of one holder, numbers below those of the next.
RUNS_AN_EPOCH = 100
# What stopping and withholding leases may take beyond their own times.
MARGIN_MS = 100.0

_VERDICTS = {
    JobState.COMPLETED: Verdict.COMPLETED,
    JobState.FAILED: Verdict.FAILED,
    JobState.CANCELLED: Verdict.CANCELLED,
}
_REASONS = {
    JobState.FAILED: Reason.ATTEMPTS,
    JobState.CANCELLED: Reason.CANCELLED,
}

Finish = Callable[[OpenJob, Verdict, Reason, float], None]
Admit = Callable[[OpenJob], bool]


class _Question:
    """An entry's question about a running job."""

    __slots__ = ("ask", "asked_ms", "entry")

    def __init__(self, entry: str, ask: AskState, asked_ms: float):
        self.entry = entry
        self.ask = ask
        self.asked_ms = asked_ms


class KeptJobs:
    """The kept jobs of one holder.

    Attributes:
        ledger: what is written of them.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: JobLedger,
        fleet: Fleet,
        jobs: JobTable,
        admission: Admission,
        admit: Admit,
        finish: Finish,
        listened_since_ms: float,
    ):
        """Starts without jobs; they come when the ledger has loaded them.

        Args:
            clock: the time.
            ledger: what is written of them.
            fleet: the workers.
            jobs: all open jobs, kept or not.
            admission: knows how long they may take.
            admit: tells whether a new job is taken; else refuses it.
            finish: ends an open job.
            listened_since_ms: since when this node has heard of workers.
        """
        self.ledger = ledger
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._admission = admission
        self._admit = admit
        self._finish = finish
        self._listened_since_ms = listened_since_ms
        self._began_ms = clock.now_ms()
        self._loaded_ms = 0.0
        self._states: dict[str, tuple[float, JobState]] = {}
        self._early_submits: list[tuple[str, SubmitJob]] = []
        self._early_ends: list[tuple[EndedRow, Worker]] = []
        self._unsettled: dict[str, OpenJob] = {}
        self._cancels: dict[str, list[tuple[str, int]]] = {}
        self._questions: dict[str, list[_Question]] = {}
        self._had_authority = False
        self._lost_ms = 0.0

    # Callers.

    def on_submit(self, entry: str, submit: SubmitJob) -> None:
        """Takes a job of an entry; it is told once the job is stored."""
        key = submit.job.key
        known = self._jobs.by_key.get(key)
        if known and not known.is_stored:
            known.entries.add(entry)
        elif known or key in self._states:
            self._tell(entry, JobEnded(key, Verdict.ACCEPTED, Reason.NONE, 0.0))
        elif self.ledger.is_loaded:
            self._accept(entry, submit)
        else:
            self._await_loading(entry, submit)

    def _await_loading(self, entry: str, submit: SubmitJob) -> None:
        """Has a job wait until it is known whether it is kept already.

        One that no other holder was handed is refused where that takes long.
        """
        waited_ms = self._clock.now_ms() - self._began_ms
        is_slow = waited_ms > AUTHORITY_MS
        is_full = len(self._early_submits) >= MAX_OPEN
        if (is_slow or is_full) and not submit.was_sent:
            self._refuse(entry, submit.job.key, Reason.NOT_STORED)
        elif not is_full:
            self._early_submits.append((entry, submit))

    def _accept(self, entry: str, submit: SubmitJob) -> None:
        job = submit.job
        if not self.ledger.has_authority:
            self._refuse(entry, job.key, Reason.NOT_STORED)
            return
        if len(self._jobs.by_key) >= MAX_OPEN:
            self._refuse(entry, job.key, Reason.TOO_MANY)
            return
        arrived_ms = self._clock.now_ms() - submit.age_ms
        opened = OpenJob(job, entry, arrived_ms, 1)
        opened.is_placeable = False
        self._jobs.add(opened)
        if self._admit(opened):
            self.ledger.write(StoredChange(AcceptJob(job)))

    def _refuse(self, entry: str, key: str, reason: Reason) -> None:
        self._tell(entry, JobEnded(key, Verdict.REFUSED, reason, RETRY_MS))

    def on_cancel(self, entry: str, cancel: CancelJob) -> None:
        """Takes the wish to cancel a job that is not known as another sort."""
        key = cancel.key
        opened = self._jobs.by_key.get(key)
        if opened is None:
            self._answer_cancel(entry, cancel)
        elif opened.outcome is JobState.CANCELLED:
            self._cancels[key].append((entry, cancel.request))
        elif opened.outcome is not None:
            self._tell(entry, JobCancelled(cancel.request, True))
        else:
            opened.outcome = JobState.CANCELLED
            self._cancels[key] = [(entry, cancel.request)]
            self.ledger.write(StoredChange(CancelAccepted(key)))

    def _answer_cancel(self, entry: str, cancel: CancelJob) -> None:
        is_known = cancel.key in self._states
        is_sure = is_known or self._is_sure
        answer = JobCancelled(cancel.request, is_known if is_sure else None)
        self._tell(entry, answer)

    def on_ask(self, entry: str, ask: AskState) -> None:
        """Tells an entry where a job stands.

        Callers ask when they think that a job has just ended, so the answer
        about one that is running waits a little for its end.
        """
        question = _Question(entry, ask, self._clock.now_ms())
        if self._state_of(ask.key) is JobState.RUNNING:
            self._questions.setdefault(ask.key, []).append(question)
        else:
            self._answer(question)

    def _answer(self, question: _Question) -> None:
        ask = question.ask
        state = self._state_of(ask.key)
        is_sure = state is not None or self._is_sure
        self._tell(question.entry, StateTold(ask.request, state, is_sure))

    def _answer_waiting(self, now_ms: float) -> None:
        """Answers the questions that have waited long enough."""
        for key, questions in list(self._questions.items()):
            while questions:
                if now_ms - questions[0].asked_ms < STATE_WAIT_MS:
                    break
                self._answer(questions.pop(0))
            if not questions:
                del self._questions[key]

    def _state_of(self, key: str) -> JobState | None:
        opened = self._jobs.by_key.get(key)
        if opened is not None and opened.job.is_kept:
            return JobState.RUNNING if opened.is_offered else JobState.QUEUED
        ended = self._states.get(key)
        return ended[1] if ended else None

    @property
    def _is_sure(self) -> bool:
        """Whether a job that is not known here does not exist."""
        return self.ledger.is_loaded and self.ledger.has_authority

    @property
    def is_used(self) -> bool:
        """Whether there are kept jobs, or were some of late."""
        return bool(self._states) or bool(self._jobs.kept())

    def waiting(self) -> dict[str, int]:
        """Returns how many jobs of each queue have not begun."""
        counts: dict[str, int] = {}
        for opened in self._jobs.kept():
            if opened.is_stored and not opened.is_offered:
                queue = opened.job.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _tell(self, entry: str, message: Message) -> None:
        self.ledger.actions.append(TellEntry(entry, message))

    # Ends of runs.

    def on_run_end(self, run: Run, end: RunEnd, worker: Worker) -> None:
        """Learns that a run of a kept job's task has ended."""
        if run.task.state is TaskState.DONE:
            return
        if end is RunEnd.LOST:
            run.task.state = TaskState.WAITING
            self._jobs.enqueue(run.task.job)
            return
        self._note_end(
            run.task,
            run.number,
            end is RunEnd.DONE,
            worker,
            run.end_sequence,
        )

    def _note_end(
        self, task: Task, number: int, is_done: bool, worker: Worker, at: int
    ) -> None:
        opened = task.job
        if is_done:
            counting = opened.note_done(task)
        else:
            task.state = TaskState.WAITING
            task.avoided.add(worker.name)
            counting = [opened.note_failure(task, number)]
        if at:
            # An order that the worker rejected is not among its ends.
            worker.await_storing(at)
        for one in counting:
            change = EndTask(
                one.id.job,
                one.id.step,
                one.id.index,
                number,
                is_done,
                one.id.time,
            )
            opened.unstored_ends += 1
            self.ledger.write(StoredChange(change, worker.name, at))
        self._decide_outcome(opened, counting)
        if opened.outcome is None:
            self._jobs.enqueue(opened)

    def _decide_outcome(self, opened: OpenJob, counting: list[Task]) -> None:
        if opened.outcome is not None:
            return
        attempts = max(task.failures for task in counting)
        if opened.is_done:
            opened.outcome = JobState.COMPLETED
        elif attempts >= opened.job.max_attempts:
            opened.outcome = JobState.FAILED

    def on_foreign_end(self, row: EndedRow, worker: Worker) -> None:
        """Learns of the end of a run that an earlier holder began."""
        if self.ledger.is_loaded:
            self._take_foreign_end(row, worker)
            return
        worker.await_storing(row.sequence)
        self._early_ends.append((row, worker))

    def _take_foreign_end(self, row: EndedRow, worker: Worker) -> None:
        opened = self._jobs.by_key.get(row.task_id.job)
        if opened is None or not opened.job.is_kept:
            worker.on_stored(row.sequence)
            return
        task = opened.task_of(row.task_id)
        is_over = task.state is TaskState.DONE or task.step.is_lasting
        if is_over or task.run is not None:
            worker.on_stored(row.sequence)
            return
        opened.is_offered = True
        is_done = row.kind is EndKind.DONE
        self._note_end(task, row.number, is_done, worker, row.sequence)

    # What the leader tells.

    def on_lease(self, node: str, lease: HolderLease) -> None:
        """Learns that a leader took this node for the holder."""
        self.ledger.on_lease(node, lease)

    def on_loaded(self, node: str, loaded: JobsLoaded) -> None:
        """Takes the jobs that an earlier holder accepted."""
        if not self.ledger.on_loaded(node, loaded):
            return
        now_ms = self._clock.now_ms()
        self._loaded_ms = now_ms
        kept_jobs = self.ledger.take_open()
        for kept in kept_jobs:
            self._take_over(kept, now_ms)
        for key, state in self.ledger.take_ended().items():
            self._states[key] = (now_ms, state)
        emit(
            Event.JOBS_LOADED,
            epoch=self.ledger.epoch,
            open_jobs=len(kept_jobs),
            ended_jobs=len(self._states),
        )
        self._fleet.ask_all()
        self._take_early()

    def _take_over(self, kept: KeptJob, now_ms: float) -> None:
        first_run = 1 + self.ledger.epoch * RUNS_AN_EPOCH
        opened = OpenJob(kept.job, "", now_ms - kept.age_ms, first_run)
        opened.entries.clear()
        opened.is_stored = True
        opened.is_placeable = False
        for stage, indices in enumerate(kept.done):
            for index in indices:
                opened.tasks[stage][index].state = TaskState.DONE
                opened.is_offered = True
        for failed in kept.failures:
            task = opened.tasks[failed.stage][failed.index]
            task.failures = failed.count
            task.last_failed_run = failed.last_run
            opened.is_offered = True
        opened.late_at_ms = self._admission.late_at_ms(opened)
        self._jobs.add(opened)
        self._unsettled[kept.job.key] = opened

    def _take_early(self) -> None:
        early_ends = self._early_ends
        self._early_ends = []
        for row, worker in early_ends:
            self._take_foreign_end(row, worker)
        early_submits = self._early_submits
        self._early_submits = []
        for entry, submit in early_submits:
            self.on_submit(entry, submit)

    def on_written(self, written: JobsWritten) -> None:
        """Learns that a write is stored."""
        for stored in self.ledger.on_written(written):
            match stored.change:
                case AcceptJob(job=job):
                    self._on_accepted(job.key)
                case EndTask(key=key):
                    self._fleet.on_stored(stored.worker, stored.sequence)
                    self._on_end_stored(key)
                case CancelAccepted(key=key):
                    self._on_cancelled(key)

    def _on_accepted(self, key: str) -> None:
        opened = self._jobs.by_key.get(key)
        if opened is None or opened.is_stored:
            return
        opened.is_stored = True
        opened.is_placeable = True
        emit(
            Event.JOB_STORED,
            job=key,
            queue=opened.job.queue,
            age_ms=round(self._clock.now_ms() - opened.arrived_ms),
            open_jobs=len(self._jobs.by_key),
            epoch=self.ledger.epoch,
        )
        accepted = JobEnded(key, Verdict.ACCEPTED, Reason.NONE, 0.0)
        for entry in opened.entries:
            self._tell(entry, accepted)
        opened.entries.clear()
        self._jobs.enqueue(opened)

    def _on_end_stored(self, key: str) -> None:
        opened = self._jobs.by_key.get(key)
        if opened is None:
            return
        opened.unstored_ends -= 1
        is_ending = opened.outcome in (JobState.COMPLETED, JobState.FAILED)
        if is_ending and not opened.unstored_ends:
            self._end(opened, opened.outcome)

    def _on_cancelled(self, key: str) -> None:
        opened = self._jobs.by_key.get(key)
        if opened is not None:
            self._end(opened, JobState.CANCELLED)
        for entry, request in self._cancels.pop(key, ()):
            self._tell(entry, JobCancelled(request, True))

    def _end(self, opened: OpenJob, state: JobState) -> None:
        key = opened.job.key
        now_ms = self._clock.now_ms()
        if state is JobState.COMPLETED and not opened.job.schedule:
            self._admission.on_completed(opened, now_ms)
        self._states[key] = (now_ms, state)
        self._unsettled.pop(key, None)
        reason = _REASONS.get(state, Reason.NONE)
        self._finish(opened, _VERDICTS[state], reason, 0.0)
        for question in self._questions.pop(key, ()):
            self._answer(question)

    # Time.

    def may_place(self, opened: OpenJob) -> bool:
        """Tells whether tasks of a kept job may be started now."""
        return opened.outcome is None and self.ledger.has_authority

    def tick(self) -> None:
        """Lets time act."""
        now_ms = self._clock.now_ms()
        self._settle(now_ms)
        self._answer_waiting(now_ms)
        self._watch_authority(now_ms)
        self._forget_ended(now_ms)

    def _forget_ended(self, now_ms: float) -> None:
        keep_ms = self._fleet.timing.keep_ended_ms + REMEMBER_MARGIN_MS
        while self._states:
            key, (ended_ms, _) = next(iter(self._states.items()))
            if now_ms - ended_ms < keep_ms:
                return
            del self._states[key]

    def _settle(self, now_ms: float) -> None:
        """Finds what runs of jobs that an earlier holder accepted."""
        for run in list(self._fleet.foreign.values()):
            key = run.task_id.job
            if key in self._unsettled:
                self._claim(self._unsettled[key], run)
            elif key in self._states and run.state is RunState.RUNNING:
                self._fleet.stop(run)
        if not self._unsettled or not self._is_settled(now_ms):
            return
        for opened in self._unsettled.values():
            opened.is_placeable = True
            self._jobs.enqueue(opened)
            for run in opened.partial_gangs():
                self._fleet.stop(run)
        self._unsettled.clear()

    def _is_settled(self, now_ms: float) -> bool:
        """Tells whether all that an earlier holder began is known or over."""
        if now_ms - self._began_ms >= handover_ms(self._fleet.timing):
            return True
        has_listened = now_ms - self._listened_since_ms >= LISTENED_MS
        return has_listened and self._fleet.is_adopted_since(self._loaded_ms)

    def _claim(self, opened: OpenJob, run: Run) -> None:
        """Gives a run that an earlier holder began to its task."""
        task = opened.task_of(run.task_id)
        if task.state is not TaskState.WAITING:
            return
        expected_ms = self._admission.expected_ms(opened.job, task)
        if self._fleet.claim(task, expected_ms):
            task.state = TaskState.PLACED
            opened.is_offered = True

    def _watch_authority(self, now_ms: float) -> None:
        """Lets nothing run on that another holder may start elsewhere."""
        has_authority = self.ledger.has_authority
        if has_authority != self._had_authority:
            self._had_authority = has_authority
            self._lost_ms = now_ms
            event = Event.AUTHORITY_BACK
            if not has_authority:
                event = Event.AUTHORITY_LOST
                self._refuse_unsent()
            emit(event, epoch=self.ledger.epoch)
        for worker in self._fleet.workers.values():
            if has_authority:
                worker.is_lease_withheld = False
            else:
                self._stop_kept_runs(worker, now_ms)

    def _refuse_unsent(self) -> None:
        """Refuses the jobs whose acceptance has never been sent."""
        for job in self.ledger.withdraw_jobs():
            opened = self._jobs.by_key.get(job.key)
            if opened is not None:
                self._finish(
                    opened, Verdict.REFUSED, Reason.NOT_STORED, RETRY_MS
                )
            for entry, request in self._cancels.pop(job.key, ()):
                self._tell(entry, JobCancelled(request, False))

    def _stop_kept_runs(self, worker: Worker, now_ms: float) -> None:
        kept_runs = [run for run in worker.runs.values() if _is_kept(run)]
        if kept_runs:
            worker.is_lease_withheld = True
        elif worker.has_unstored_ends:
            worker.withhold_lease(self._lost_ms, now_ms)
        else:
            worker.is_lease_withheld = False
        for run in kept_runs:
            if run.state is RunState.RUNNING:
                self._fleet.stop(run)


def _is_kept(run: Run) -> bool:
    return run.task is not None and run.task.job.job.is_kept


def handover_ms(timing: PoolTiming) -> float:
    """Returns after which time nothing runs that an earlier holder began.

    It stops at the end of its authority; where its stops do not arrive, its
    last leases lapse.
    """
    lease_ms = timing.lease_ms * (1 + CLOCK_DRIFT) + TRANSIT_MS
    return AUTHORITY_MS + lease_ms + timing.stop_ms + MARGIN_MS
