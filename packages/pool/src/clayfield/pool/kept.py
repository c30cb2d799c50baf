"""Kept jobs at the holder: acceptance, ends of runs, takeover and queries.

A kept job is durable: once its acceptance is on disk at a majority of the
control nodes, it runs to its end, whichever node is the holder. Its tasks are
placed only after that. The end of a run is stored before its worker may
discard it, and a job has ended only once the ends of its runs are stored.

A new holder loads the open jobs from the job store, which the control nodes
replicate. Runs that workers still list are assigned to their tasks; any other
task starts again only when no worker can still be running it.
"""

from collections.abc import Callable

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.admission import Admission
from clayfield.pool.commands import EndedRun, EndKind, SendToNode
from clayfield.pool.final_replies import FinalReplies
from clayfield.pool.fleet import Fleet
from clayfield.pool.job_memory import JobMemory, open_bytes
from clayfield.pool.job_store_client import (
    AUTHORITY_MS,
    JobChangeRecord,
    JobStoreClient,
    find_stored_size,
)
from clayfield.pool.job_table import JobTable
from clayfield.pool.run_ends import RunOutcome
from clayfield.pool.tasks import (
    OpenJob,
    Run,
    RunState,
    Suspicion,
    Task,
    TaskState,
)
from clayfield.pool.timing import (
    MAX_CLOCK_DRIFT,
    MAX_TRANSIT_MS,
    PoolTiming,
)
from clayfield.pool.worker import Worker
from clayfield.wire.cluster import (
    CancelJob,
    CancelReply,
    JobEnded,
    JobStateReply,
    JobStateRequest,
    SubmitJob,
)
from clayfield.wire.job_store import (
    AcceptJob,
    CancelKeptJob,
    CrashTask,
    EndTask,
    HolderLease,
    JobsLoaded,
    JobsWritten,
    KeptJob,
)
from clayfield.wire.jobs import JobState, Reason, Verdict
from clayfield.wire.messages import Message

# Above this number of open jobs more are refused; bounds memory and disk.
MAX_OPEN_JOBS = 2000
# When the caller of a refused job may try again.
RETRY_MS = 500.0
# Within this time a node receives a heartbeat of every live worker.
DISCOVERY_MS = 3500.0
# How long the reply about a running job is delayed in case the job ends.
STATE_REPLY_DELAY_MS = 100.0
# How long the reply to a request to cancel an unknown job may wait for the
# leader's confirmation; more than two intervals of the status messages.
CONFIRMATION_TIMEOUT_MS = 500.0
# How much longer ended jobs are retained here than in the job store.
RETENTION_MARGIN_MS = 30_000.0
# Run numbers per epoch, so that those of a later holder are higher.
RUNS_PER_EPOCH = 100
# Allowance for delays in stopping runs and withholding leases.
HANDOVER_MARGIN_MS = 100.0

_VERDICTS = {
    JobState.COMPLETED: Verdict.COMPLETED,
    JobState.FAILED: Verdict.FAILED,
    JobState.CANCELLED: Verdict.CANCELLED,
}

Finish = Callable[[OpenJob, Verdict, Reason, float], None]
Admit = Callable[[OpenJob], bool]


class _WaitingRequest:
    """An entry node's request whose reply waits.

    Attributes:
        entry: the entry node.
        message: the request as it was received.
        received_ms: time of its arrival, in ms.
    """

    __slots__ = ("entry", "message", "received_ms")

    def __init__(
        self,
        entry: str,
        message: CancelJob | JobStateRequest,
        received_ms: float,
    ):
        self.entry = entry
        self.message = message
        self.received_ms = received_ms


class KeptJobs:
    """Manages the kept jobs of one holder.

    The holder has *authority* while no other node can be the holder. Without
    it, no tasks of kept jobs are placed and their runs are stopped.

    Attributes:
        store: client of the job store.
        is_in_use: whether any kept job was loaded or admitted.
    """

    def __init__(
        self,
        clock: Clock,
        store: JobStoreClient,
        fleet: Fleet,
        jobs: JobTable,
        admission: Admission,
        replies: FinalReplies,
        memory: JobMemory,
        admit: Admit,
        finish: Finish,
        listening_since_ms: float,
    ):
        """Creates a manager without jobs; the open ones are loaded later.

        Args:
            clock: source of the current time.
            store: client of the job store.
            fleet: the workers.
            jobs: all open jobs, kept or not.
            admission: expected durations and objectives of jobs.
            replies: the final replies that this node has sent.
            memory: the memory of all jobs of the node.
            admit: returns whether a new job is admitted; refuses it if not.
            finish: ends an open job with a verdict, a reason and the time
                after which to retry, in ms.
            listening_since_ms: time since when this node has received the
                heartbeats of workers, in ms.
        """
        self.store = store
        self.is_in_use = False
        self._clock = clock
        self._fleet = fleet
        self._jobs = jobs
        self._admission = admission
        self._replies = replies
        self._memory = memory
        self._admit = admit
        self._finish = finish
        self._listening_since_ms = listening_since_ms
        self._created_ms = clock.now_ms()
        self._loaded_ms = 0.0
        self._outcomes: dict[str, tuple[float, JobState]] = {}
        self._deferred_submits: list[tuple[str, SubmitJob]] = []
        self._deferred_ends: list[tuple[EndedRun, Worker]] = []
        self._unresolved: dict[str, OpenJob] = {}
        self._cancels: dict[str, list[tuple[str, int]]] = {}
        self._unconfirmed_cancels: list[_WaitingRequest] = []
        self._state_requests: dict[str, list[_WaitingRequest]] = {}
        self._had_authority = False
        self._authority_changed_ms = 0.0

    # Requests of entry nodes.

    def on_submit(self, entry: str, submit: SubmitJob) -> None:
        """Handles a job submitted by an entry node.

        The entry node gets `Verdict.ACCEPTED` once the acceptance is stored.
        """
        key = submit.job.key
        existing = self._jobs.by_key.get(key)
        refusal = self._replies.find(entry, submit)
        if refusal:
            self._send(entry, refusal)
        elif existing and not existing.is_stored:
            existing.add_entry(entry, submit.number)
        elif existing or key in self._outcomes:
            self._send(entry, JobEnded(key, Verdict.ACCEPTED, Reason.NONE, 0.0))
        elif self.store.is_loaded:
            self._accept(entry, submit)
        else:
            self._defer_submit(entry, submit)

    def _defer_submit(self, entry: str, submit: SubmitJob) -> None:
        """Defers a job until the stored jobs are loaded.

        It may be among them. A job that was never sent to another holder is
        refused if loading takes long.
        """
        waited_ms = self._clock.now_ms() - self._created_ms
        is_slow = waited_ms > AUTHORITY_MS
        is_full = len(self._deferred_submits) >= MAX_OPEN_JOBS
        if (is_slow or is_full) and not submit.was_sent:
            self._refuse(entry, submit, Reason.NOT_STORED)
        elif not is_full:
            self._deferred_submits.append((entry, submit))

    def _accept(self, entry: str, submit: SubmitJob) -> None:
        """Opens an admitted job and writes its acceptance; else refuses it."""
        job = submit.job
        # An entry node of an earlier version may pass on any number.
        can_store = find_stored_size(AcceptJob(job)) is not None
        if not can_store or not self.store.has_authority:
            self._refuse(entry, submit, Reason.NOT_STORED)
            return
        has_memory = self._memory.has_room_for(job, open_bytes(job))
        if len(self._jobs.by_key) >= MAX_OPEN_JOBS or not has_memory:
            self._refuse(entry, submit, Reason.TOO_MANY)
            return
        arrived_ms = self._clock.now_ms() - submit.age_ms
        open_job = OpenJob(job, arrived_ms, 1)
        open_job.add_entry(entry, submit.number)
        open_job.is_placeable = False
        self._jobs.add(open_job)
        if self._admit(open_job):
            self.is_in_use = True
            self.store.write(JobChangeRecord(AcceptJob(job)))

    def _refuse(self, entry: str, submit: SubmitJob, reason: Reason) -> None:
        refusal = JobEnded(
            submit.job.key, Verdict.REFUSED, reason, RETRY_MS, submit.number
        )
        self._replies.add(entry, refusal)
        self._send(entry, refusal)

    def on_cancel(self, entry: str, cancel: CancelJob) -> None:
        """Handles a request to cancel a job that is kept or not known.

        Replies once the cancellation is stored.
        """
        key = cancel.key
        open_job = self._jobs.by_key.get(key)
        if open_job is None:
            self._cancel_unknown(entry, cancel)
        elif open_job.pending_state is JobState.CANCELLED:
            self._cancels[key].append((entry, cancel.request))
        elif open_job.pending_state is not None:
            self._send(entry, CancelReply(cancel.request, True))
        else:
            open_job.pending_state = JobState.CANCELLED
            self._cancels[key] = [(entry, cancel.request)]
            self.store.write(JobChangeRecord(CancelKeptJob(key)))

    def _cancel_unknown(self, entry: str, cancel: CancelJob) -> None:
        """Replies to a request to cancel a job that is not open.

        Whether the job exists is certain only once the leader has confirmed
        this holder after the request arrived: the next one may have accepted
        it before.
        """
        if cancel.key in self._outcomes:
            self._send(entry, CancelReply(cancel.request, True))
        elif cancel.request and self._is_authoritative:
            now_ms = self._clock.now_ms()
            self._unconfirmed_cancels.append(
                _WaitingRequest(entry, cancel, now_ms)
            )
        else:
            self._send(entry, CancelReply(cancel.request, None))

    def _reply_to_unconfirmed(self, now_ms: float) -> None:
        """Replies to the requests to cancel whose job is certain not to exist.

        Without a confirmation in time the result is unknown.
        """
        waiting: list[_WaitingRequest] = []
        for pending in self._unconfirmed_cancels:
            request = pending.message.request
            open_job = self._jobs.by_key.get(pending.message.key)
            if open_job is not None and open_job.job.is_kept:
                self.on_cancel(pending.entry, pending.message)
            elif self.store.confirmed_ms >= pending.received_ms:
                self._send(pending.entry, CancelReply(request, False))
            elif now_ms - pending.received_ms > CONFIRMATION_TIMEOUT_MS:
                self._send(pending.entry, CancelReply(request, None))
            else:
                waiting.append(pending)
        self._unconfirmed_cancels = waiting

    def on_state_request(self, entry: str, message: JobStateRequest) -> None:
        """Handles an entry node's request for the state of a job.

        Callers usually send it at about the time when a job ends, so the reply
        for a running job is delayed a little in case it ends meanwhile.
        """
        pending = _WaitingRequest(entry, message, self._clock.now_ms())
        if self._state_of(message.key) is JobState.RUNNING:
            self._state_requests.setdefault(message.key, []).append(pending)
        else:
            self._reply(pending)

    def _reply(self, pending: _WaitingRequest) -> None:
        message = pending.message
        state = self._state_of(message.key)
        is_authoritative = state is not None or self._is_authoritative
        self._send(
            pending.entry,
            JobStateReply(message.request, state, is_authoritative),
        )

    def _reply_overdue(self, now_ms: float) -> None:
        """Replies to the state requests whose delay is over."""
        for key, requests in list(self._state_requests.items()):
            while requests:
                if now_ms - requests[0].received_ms < STATE_REPLY_DELAY_MS:
                    break
                self._reply(requests.pop(0))
            if not requests:
                del self._state_requests[key]

    def _state_of(self, key: str) -> JobState | None:
        """Returns the state of a kept job, None if it is not known."""
        open_job = self._jobs.by_key.get(key)
        if open_job is not None and open_job.job.is_kept:
            return JobState.RUNNING if open_job.is_started else JobState.QUEUED
        ended = self._outcomes.get(key)
        return ended[1] if ended else None

    @property
    def _is_authoritative(self) -> bool:
        """Whether a job that is not known here certainly does not exist."""
        return self.store.is_loaded and self.store.has_authority

    def waiting_counts(self) -> dict[str, int]:
        """Returns by queue the number of stored jobs with no task started."""
        counts: dict[str, int] = {}
        for open_job in self._jobs.kept_jobs():
            if open_job.is_stored and not open_job.is_started:
                queue = open_job.job.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _send(self, entry: str, message: Message) -> None:
        self.store.actions.append(SendToNode(entry, message))

    # Ends of runs.

    def on_run_end(self, run: Run, end: RunOutcome, worker: Worker) -> None:
        """Handles the end of a run of a kept job's task."""
        if run.task.state is TaskState.DONE:
            return
        if end is RunOutcome.LOST:
            run.task.state = TaskState.WAITING
            self._jobs.enqueue(run.task.job)
            return
        self._record_end(
            run.task,
            run.number,
            end is RunOutcome.DONE,
            worker,
            run.end_sequence,
        )

    def _record_end(
        self,
        task: Task,
        number: int,
        has_succeeded: bool,
        worker: Worker,
        sequence: int,
    ) -> None:
        """Applies the end of a run to its task and writes it to the job store.

        Args:
            task: the task.
            number: the number of the run.
            has_succeeded: whether it succeeded; it failed otherwise.
            worker: the worker that reported the end.
            sequence: the worker's number of the end, 0 if it lists none.
        """
        open_job = task.job
        if has_succeeded:
            counted_tasks = open_job.note_done(task)
        else:
            task.state = TaskState.WAITING
            task.avoided_workers.add(worker.name)
            counted_tasks = [open_job.note_failure(task, number)]
        if sequence:
            # A rejected start request has no entry in the worker's list.
            worker.hold_ack(sequence)
        for counted in counted_tasks:
            change = EndTask(
                counted.id.job,
                counted.id.step,
                counted.id.index,
                number,
                has_succeeded,
                counted.id.iteration,
            )
            open_job.unstored_ends += 1
            self.store.write(JobChangeRecord(change, worker, sequence))
        self._decide_outcome(open_job, counted_tasks)
        if open_job.pending_state is None:
            self._jobs.enqueue(open_job)

    def on_crash(self, task: Task, crash: str, was_alone: bool) -> None:
        """Stores a crash that was counted at a task, and its consequence.

        Args:
            task: the task at which it was counted.
            crash: name of the worker and number of the run.
            was_alone: whether nothing else ran on the worker.
        """
        open_job = task.job
        task_id = task.id
        change = CrashTask(
            task_id.job,
            task_id.step,
            task_id.index,
            task_id.iteration,
            crash,
            was_alone,
        )
        open_job.unstored_ends += 1
        self.store.write(JobChangeRecord(change))
        if task.crashes.is_fatal and open_job.pending_state is None:
            open_job.failure = Reason.CRASHES
            open_job.pending_state = JobState.FAILED

    def _decide_outcome(
        self, open_job: OpenJob, counted_tasks: list[Task]
    ) -> None:
        """Sets the outcome if all tasks are done or one failed too often."""
        if open_job.pending_state is not None:
            return
        failure_count = max(task.failures for task in counted_tasks)
        if open_job.is_done:
            open_job.pending_state = JobState.COMPLETED
        elif failure_count >= open_job.job.max_attempts:
            open_job.pending_state = JobState.FAILED

    def on_inherited_end(self, row: EndedRun, worker: Worker) -> None:
        """Handles the end of a run that an earlier holder started."""
        if self.store.is_loaded:
            self._apply_inherited_end(row, worker)
            return
        worker.hold_ack(row.sequence)
        self._deferred_ends.append((row, worker))

    def _apply_inherited_end(self, row: EndedRun, worker: Worker) -> None:
        """Applies an inherited run's end, or ignores it if it has no effect."""
        open_job = self._jobs.by_key.get(row.task_id.job)
        is_kept = open_job is not None and open_job.job.is_kept
        task = open_job.find_task(row.task_id) if is_kept else None
        if task is None:
            worker.on_end_stored(row.sequence)
            return
        has_succeeded = row.kind is EndKind.DONE
        is_done = task.state is TaskState.DONE
        if is_done and has_succeeded and open_job.unstored_ends:
            self._await_storing(row, worker)
            return
        if is_done or task.step.is_long_running or task.run is not None:
            worker.on_end_stored(row.sequence)
            return
        open_job.is_started = True
        self._record_end(task, row.number, has_succeeded, worker, row.sequence)

    def _await_storing(self, row: EndedRun, worker: Worker) -> None:
        """Keeps a success on a worker that lists it again before it is stored.

        A worker that has left and is known again lists ends that were applied
        before. The change is written once more, which has no effect but tells
        when the end is stored.
        """
        worker.hold_ack(row.sequence)
        task_id = row.task_id
        change = EndTask(
            task_id.job,
            task_id.step,
            task_id.index,
            row.number,
            True,
            task_id.iteration,
        )
        self._jobs.by_key[task_id.job].unstored_ends += 1
        self.store.write(JobChangeRecord(change, worker, row.sequence))

    # Messages of the control log's leader.

    def on_lease(self, node: str, lease: HolderLease) -> None:
        """Handles a leader's confirmation that this node is the holder."""
        self.store.on_lease(node, lease)

    def on_loaded(self, node: str, loaded: JobsLoaded) -> None:
        """Handles a part of the stored jobs; resumes them after the last."""
        if not self.store.on_loaded(node, loaded):
            return
        now_ms = self._clock.now_ms()
        self._loaded_ms = now_ms
        kept_jobs = self.store.take_open_jobs()
        for kept_job in kept_jobs:
            self._restore_job(kept_job, now_ms)
        for key, state in self.store.take_ended_jobs().items():
            self._outcomes[key] = (now_ms, state)
        if kept_jobs or self._outcomes:
            self.is_in_use = True
        emit(
            Event.JOBS_LOADED,
            epoch=self.store.epoch,
            open_jobs=len(kept_jobs),
            ended_jobs=len(self._outcomes),
        )
        self._fleet.poll_all()
        self._process_deferred()

    def _restore_job(self, kept_job: KeptJob, now_ms: float) -> None:
        """Opens a loaded job with the progress of its tasks."""
        first_run = 1 + self.store.epoch * RUNS_PER_EPOCH
        open_job = OpenJob(kept_job.job, now_ms - kept_job.age_ms, first_run)
        open_job.is_stored = True
        open_job.is_placeable = False
        for stage, indices in enumerate(kept_job.done):
            for index in indices:
                open_job.tasks[stage][index].state = TaskState.DONE
                open_job.is_started = True
        for failed in kept_job.failures:
            task = open_job.tasks[failed.stage][failed.index]
            task.failures = failed.count
            task.last_failed_run = failed.last_run
            open_job.is_started = True
        for crashes in kept_job.crashes:
            task = open_job.tasks[crashes.stage][crashes.index]
            task.crashes = crashes
            task.is_isolation_waived = task.suspicion is Suspicion.ONCE
            open_job.is_started = True
        open_job.late_at_ms = self._admission.late_at_ms(open_job)
        self._jobs.add(open_job)
        self._unresolved[kept_job.job.key] = open_job

    def _process_deferred(self) -> None:
        """Processes the ends and submissions that arrived before loading."""
        deferred_ends = self._deferred_ends
        self._deferred_ends = []
        for row, worker in deferred_ends:
            self._apply_inherited_end(row, worker)
        deferred_submits = self._deferred_submits
        self._deferred_submits = []
        for entry, submit in deferred_submits:
            self.on_submit(entry, submit)

    def on_written(self, written: JobsWritten) -> None:
        """Handles the confirmation that a write is stored."""
        for stored in self.store.on_written(written):
            match stored.change:
                case AcceptJob(job=job):
                    self._on_accept_stored(job.key)
                case EndTask(key=key):
                    self._fleet.on_end_stored(stored.worker, stored.sequence)
                    self._on_end_stored(key)
                case CrashTask(key=key):
                    self._on_end_stored(key)
                case CancelKeptJob(key=key):
                    self._on_cancel_stored(key)

    def _on_accept_stored(self, key: str) -> None:
        open_job = self._jobs.by_key.get(key)
        if open_job is None or open_job.is_stored:
            return
        open_job.is_stored = True
        open_job.is_placeable = True
        emit(
            Event.JOB_STORED,
            job=key,
            queue=open_job.job.queue,
            age_ms=round(self._clock.now_ms() - open_job.arrived_ms),
            open_jobs=len(self._jobs.by_key),
            epoch=self.store.epoch,
        )
        accepted = JobEnded(key, Verdict.ACCEPTED, Reason.NONE, 0.0)
        for entry in open_job.entries:
            self._send(entry, accepted)
        open_job.entries.clear()
        self._jobs.enqueue(open_job)

    def _on_end_stored(self, key: str) -> None:
        """Ends a job once its outcome and all ends of its runs are stored."""
        open_job = self._jobs.by_key.get(key)
        if open_job is None:
            return
        open_job.unstored_ends -= 1
        is_ending = open_job.pending_state in (
            JobState.COMPLETED,
            JobState.FAILED,
        )
        if is_ending and not open_job.unstored_ends:
            self._end_job(open_job, open_job.pending_state)

    def _on_cancel_stored(self, key: str) -> None:
        open_job = self._jobs.by_key.get(key)
        if open_job is not None:
            self._end_job(open_job, JobState.CANCELLED)
        for entry, request in self._cancels.pop(key, ()):
            self._send(entry, CancelReply(request, True))

    def _end_job(self, open_job: OpenJob, state: JobState) -> None:
        """Ends a job whose outcome is stored."""
        key = open_job.job.key
        now_ms = self._clock.now_ms()
        if state is JobState.COMPLETED and not open_job.job.schedule:
            self._admission.on_completed(open_job, now_ms)
        self._outcomes[key] = (now_ms, state)
        self._unresolved.pop(key, None)
        reason = Reason.NONE
        if state is JobState.FAILED:
            reason = open_job.failure
        elif state is JobState.CANCELLED:
            reason = Reason.CANCELLED
        self._finish(open_job, _VERDICTS[state], reason, 0.0)
        for pending in self._state_requests.pop(key, ()):
            self._reply(pending)

    # Periodic work.

    def may_place(self, open_job: OpenJob) -> bool:
        """Returns whether tasks of a kept job may be started now."""
        return open_job.pending_state is None and self.store.has_authority

    def tick(self) -> None:
        """Runs the periodic work: takeover, replies, authority and expiry."""
        now_ms = self._clock.now_ms()
        self._resolve_inherited(now_ms)
        self._reply_overdue(now_ms)
        self._reply_to_unconfirmed(now_ms)
        self._check_authority(now_ms)
        self._expire_ended(now_ms)

    def _expire_ended(self, now_ms: float) -> None:
        """Drops the outcomes of jobs that ended long ago."""
        retention_ms = self._fleet.timing.keep_ended_ms + RETENTION_MARGIN_MS
        while self._outcomes:
            key, (ended_ms, _) = next(iter(self._outcomes.items()))
            if now_ms - ended_ms < retention_ms:
                return
            del self._outcomes[key]

    def _resolve_inherited(self, now_ms: float) -> None:
        """Stops inherited runs of ended jobs and lets loaded jobs be placed.

        The tasks of loaded jobs without a known run are placed once no unknown
        run of them can exist.
        """
        for run in list(self._fleet.inherited.values()):
            is_running = run.state is RunState.RUNNING
            if is_running and run.task_id.job in self._outcomes:
                self._fleet.stop(run)
        if not self._unresolved or not self._can_resolve(now_ms):
            return
        for open_job in self._unresolved.values():
            open_job.is_placeable = True
            self._jobs.enqueue(open_job)
            for run in open_job.runs_of_partial_gangs():
                self._fleet.stop(run)
        self._unresolved.clear()

    def _can_resolve(self, now_ms: float) -> bool:
        """Returns whether every run of an earlier holder is known or over.

        A run that has ended on a worker which could not list its end yet is
        not known, however long ago it ended.
        """
        if self._fleet.has_unlisted_ends():
            return False
        if now_ms - self._created_ms >= handover_ms(self._fleet.timing):
            return True
        is_discovery_over = now_ms - self._listening_since_ms >= DISCOVERY_MS
        return is_discovery_over and self._fleet.is_synced_since(
            self._loaded_ms
        )

    def update_authority(self) -> None:
        """Acts on the end or return of the authority since the last tick.

        A node whose process was suspended may renew leases before its next
        tick.
        """
        if self.store.has_authority != self._had_authority:
            self._check_authority(self._clock.now_ms())

    def _check_authority(self, now_ms: float) -> None:
        """Stops runs of kept jobs that another holder may start elsewhere."""
        has_authority = self.store.has_authority
        if has_authority != self._had_authority:
            self._had_authority = has_authority
            self._authority_changed_ms = now_ms
            event = Event.AUTHORITY_BACK
            if not has_authority:
                event = Event.AUTHORITY_LOST
                self._refuse_unsent()
            emit(event, epoch=self.store.epoch)
        for worker in self._fleet.workers.values():
            if has_authority:
                worker.is_lease_withheld = False
            else:
                self._stop_kept_runs(worker, now_ms)

    def _refuse_unsent(self) -> None:
        """Refuses the jobs whose acceptance was never sent to a leader."""
        for job in self.store.withdraw_unsent_jobs():
            open_job = self._jobs.by_key.get(job.key)
            if open_job is not None:
                self._finish(
                    open_job, Verdict.REFUSED, Reason.NOT_STORED, RETRY_MS
                )
            for entry, request in self._cancels.pop(job.key, ()):
                self._send(entry, CancelReply(request, False))

    def _stop_kept_runs(self, worker: Worker, now_ms: float) -> None:
        """Stops a worker's runs of kept jobs and lets its lease expire.

        The lease also expires once while ends that it lists are not stored.
        """
        kept_runs = [run for run in worker.runs.values() if _is_kept(run)]
        if kept_runs:
            worker.is_lease_withheld = True
        elif worker.has_unstored_ends:
            worker.update_lease_withholding(self._authority_changed_ms, now_ms)
        else:
            worker.is_lease_withheld = False
        for run in kept_runs:
            if run.state is RunState.RUNNING:
                self._fleet.stop(run)


def _is_kept(run: Run) -> bool:
    return run.task is not None and run.task.job.job.is_kept


def handover_ms(timing: PoolTiming) -> float:
    """Returns how long a run of an earlier holder can go on, in ms.

    The time counts from when the new holder starts to act on its grant. The
    earlier holder stops its runs when its authority ends; where a stop request
    does not arrive, the last lease expires.
    """
    lease_ms = timing.lease_ms * (1 + MAX_CLOCK_DRIFT) + MAX_TRANSIT_MS
    return AUTHORITY_MS + lease_ms + timing.stop_ms + HANDOVER_MARGIN_MS
