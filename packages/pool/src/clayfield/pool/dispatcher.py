"""Scheduling by the holder: which task runs on which worker, and when.

The holder is the entry node that schedules all workers under the current
grant. Its `Dispatcher` admits the jobs that the entry nodes submit, places
their tasks on workers and reports how each job ended. It does no I/O: it is
fed events and a clock, and returns the actions to carry out.
"""

import collections
import math

import msgspec

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.admission import Admission
from clayfield.pool.commands import (
    Advice,
    EndedRun,
    EndKind,
    PoolAction,
    SendToNode,
)
from clayfield.pool.crashes import CrashCounter
from clayfield.pool.final_replies import FinalReplies
from clayfield.pool.fleet import Fleet
from clayfield.pool.intake import MIN_RETRY_MS, NO_WORKER_RETRY_MS, Intake
from clayfield.pool.job_memory import JobMemory, open_bytes
from clayfield.pool.job_store_client import JobStoreClient
from clayfield.pool.job_table import JobTable
from clayfield.pool.kept import RUNS_PER_EPOCH, KeptJobs
from clayfield.pool.pausing import Pausing
from clayfield.pool.placer import Placer
from clayfield.pool.reserver import Reserver
from clayfield.pool.run_ends import FleetListener, RunOutcome
from clayfield.pool.stalls import StalledNeeds
from clayfield.pool.tasks import OpenJob, Run, RunState, Task, TaskState
from clayfield.pool.tickets import TicketCache
from clayfield.pool.timing import PoolTiming
from clayfield.pool.worker import Worker
from clayfield.wire.cluster import (
    CancelJob,
    CancelReply,
    Grant,
    JobEnded,
    SessionReply,
    SubmitJob,
)
from clayfield.wire.jobs import Reason, Verdict, WorkerInfo
from clayfield.wire.messages import Message

# How long a job sent to an earlier holder waits until every worker was polled.
SYNC_TIMEOUT_MS = 1200.0
# Time after which an inherited run is stopped if its job has not arrived. Until
# then its worker's lease, which holds for other runs as well, is not renewed.
UNKNOWN_JOB_TIMEOUT_MS = 250.0
# How long results are stored for jobs that are submitted again.
RESULT_RETENTION_MS = 20_000.0


class Dispatcher(FleetListener):
    """Schedules the jobs of all entry nodes on the workers of this node.

    Jobs are identified by their idempotency key.

    Attributes:
        fleet: the workers and the runs on them.
        tickets: tickets that permit workers to run advised jobs.
        kept_jobs: the kept (durable) jobs; None on a standby, which runs none.
        is_fenced: whether a worker has rejected a request because it has seen
            a higher fencing token than this holder's.
    """

    def __init__(
        self,
        clock: Clock,
        timing: PoolTiming,
        fence: int,
        store: JobStoreClient | None = None,
        listening_since_ms: float = 0.0,
        replies: FinalReplies | None = None,
        node: str = "",
        memory: JobMemory | None = None,
    ):
        """Creates a dispatcher without workers or jobs.

        Args:
            clock: source of the current time.
            timing: lease and stop durations of the workers.
            fence: fencing token sent with every request to a worker.
            store: client of the job store; None on a standby.
            listening_since_ms: time since when this node has received the
                heartbeats of workers, in ms.
            replies: the final replies that this node has sent; None for none.
            node: name of this node.
            memory: the memory of all jobs of the node; None for the default
                limit.
        """
        self._memory = memory or JobMemory()
        self._clock = clock
        is_standby = store is None
        self.fleet = Fleet(clock, timing, self, fence, is_standby)
        self.is_fenced = False
        self.tickets = TicketCache(clock, fence)
        self._jobs = JobTable(self._memory.open)
        self._pausing = Pausing(clock, timing, node, self.fleet, self._jobs)
        self._admission = Admission()
        self._replies = replies or FinalReplies(clock)
        self._stalled = StalledNeeds(clock, self.fleet, self._jobs)
        self._placer = Placer(
            clock,
            self.fleet,
            self._jobs,
            self._admission,
            self.tickets,
            self._may_place,
        )
        self._reserver = Reserver(
            clock,
            self.fleet,
            self._jobs,
            self._stalled,
            self._placer.reservations,
        )
        self._intake = Intake(
            clock,
            self.fleet,
            self._jobs,
            self._admission,
            self.tickets,
            self._stalled,
            self._placer.reservations,
            self._placer.isolation,
            self._refuse,
        )
        self.kept_jobs: KeptJobs | None = None
        if store:
            self.kept_jobs = KeptJobs(
                clock,
                store,
                self.fleet,
                self._jobs,
                self._admission,
                self._replies,
                self._memory,
                self._intake.admit,
                self._finish,
                listening_since_ms,
            )
        self._crashes = CrashCounter(
            clock, self.fleet, self._jobs, self.kept_jobs, self._finish
        )
        self._unresolved: dict[str, tuple[float, OpenJob]] = {}
        # Number of runs of ended jobs that go on, by key of the job.
        self._leftover_runs: collections.Counter[str] = collections.Counter()
        self._results: dict[str, tuple[float, JobEnded]] = {}
        self._is_changed = True
        self._must_poll = False

    @property
    def open_jobs(self) -> int:
        """Number of jobs that have not ended."""
        return len(self._jobs.by_key)

    @property
    def waiting_jobs(self) -> int:
        """Number of jobs with tasks that wait for a worker."""
        return len(self._jobs.waiting)

    @property
    def stalled_jobs(self) -> int:
        """Number of waiting jobs that no worker can take."""
        return len(self._jobs.stalled)

    @property
    def longest_stall_ms(self) -> float:
        """How long tasks have needed what no worker has, at most, in ms."""
        return self._stalled.longest_ms

    @property
    def last_pass_cost(self) -> int:
        """Number of workers examined for nothing by the last placement."""
        return self._placer.examined

    @property
    def accepting_workers(self) -> int:
        """Number of workers that accept tasks now."""
        now_ms = self._clock.now_ms()
        return sum(
            worker.accepts_tasks(now_ms)
            for worker in self.fleet.leasable_workers()
        )

    @property
    def services(self) -> set[str]:
        """Names of the services of the open jobs."""
        return {open_job.job.service for open_job in self._jobs.by_key.values()}

    def take_actions(self) -> list[PoolAction]:
        """Returns the actions collected since the last call."""
        for entry, probe in self._pausing.sessions.probes:
            self._send(entry, probe)
        self._pausing.sessions.probes.clear()
        actions = self.fleet.actions + self.tickets.actions
        self.fleet.actions.clear()
        self.tickets.actions.clear()
        if self.kept_jobs:
            self.kept_jobs.store.flush()
            actions += self.kept_jobs.store.actions
            self.kept_jobs.store.actions.clear()
        return actions

    def _send(self, entry: str, message: Message) -> None:
        self.fleet.actions.append(SendToNode(entry, message))

    # Events.

    def on_worker_heartbeat(self, info: WorkerInfo) -> None:
        """Handles a worker's heartbeat."""
        self.fleet.on_worker_heartbeat(info)
        self._is_changed = True

    def on_submit(self, entry: str, submit: SubmitJob) -> None:
        """Handles a job submitted by an entry node.

        A job that is open gets one more entry node to report to; a job that
        ended recently gets its result again. After a refusal, or another end
        that lets its caller submit it again, the job is opened only by a later
        submission.
        """
        key = submit.job.key
        if submit.job.is_kept:
            self._on_submit_kept(entry, submit)
            return
        reply = self._replies.find(entry, submit)
        if reply:
            self._send(entry, reply)
            return
        existing = self._jobs.by_key.get(key)
        if existing:
            self._add_entry(existing, entry, submit)
            return
        if key in self._results:
            ended = self._results[key][1]
            self._send(
                entry, msgspec.structs.replace(ended, number=submit.number)
            )
            return
        if not submit.was_sent and not self._memory.has_room_for(
            submit.job, open_bytes(submit.job)
        ):
            self._refuse_unopened(entry, submit)
            return
        arrived_ms = self._clock.now_ms() - submit.age_ms
        first_run = 1 + (
            submit.epoch * RUNS_PER_EPOCH if submit.was_sent else 0
        )
        open_job = OpenJob(submit.job, arrived_ms, first_run)
        self._pausing.add_entry(open_job, entry, submit)
        self._jobs.add(open_job)
        if submit.was_sent:
            open_job.was_sent_elsewhere = True
            open_job.late_at_ms = self._admission.late_at_ms(open_job)
            self._await_runs(open_job)
        elif not self._intake.admit(open_job):
            return
        self._jobs.enqueue(open_job)

    def _refuse_unopened(self, entry: str, submit: SubmitJob) -> None:
        """Refuses a new job for which there is no memory."""
        refused = JobEnded(
            submit.job.key,
            Verdict.REFUSED,
            Reason.TOO_MANY,
            NO_WORKER_RETRY_MS,
            submit.number,
        )
        self._replies.add(entry, refused)
        self._send(entry, refused)

    def _add_entry(
        self, open_job: OpenJob, entry: str, submit: SubmitJob
    ) -> None:
        """Adds an entry node that waits for a job that is open."""
        is_copy = open_job.entries.get(entry) == submit.number
        if submit.was_sent and not is_copy:
            # Another scheduler may have run it since it was opened here.
            open_job.was_sent_elsewhere = True
            self._await_runs(open_job)
        self._pausing.add_entry(open_job, entry, submit)

    def _await_runs(self, open_job: OpenJob) -> None:
        """Starts no task of a job until the runs on all workers are known."""
        self._unresolved[open_job.job.key] = (self._clock.now_ms(), open_job)
        self._must_poll = True
        open_job.is_placeable = False

    def on_session_reply(self, entry: str, reply: SessionReply) -> None:
        """Handles the confirmation that an entry node waits for its jobs."""
        self._pausing.on_reply(entry, reply)
        self._is_changed = True

    def _on_submit_kept(self, entry: str, submit: SubmitJob) -> None:
        """Passes on a kept job, or refuses it on a standby."""
        if self.kept_jobs:
            self.kept_jobs.on_submit(entry, submit)
            return
        refused = JobEnded(
            submit.job.key,
            Verdict.REFUSED,
            Reason.NO_HOLDER,
            MIN_RETRY_MS,
            submit.number,
        )
        self._send(entry, refused)

    def on_cancel(self, entry: str, cancel: CancelJob) -> None:
        """Handles a request to cancel a job, or that its caller has left."""
        open_job = self._jobs.by_key.get(cancel.key)
        if open_job and not cancel.request:
            self._on_callers_left(open_job, entry, cancel)
        elif open_job and not open_job.job.is_kept:
            self._finish(open_job, Verdict.CANCELLED, Reason.CANCELLED)
            if cancel.request:
                self._send(entry, CancelReply(cancel.request, True))
        elif self.kept_jobs:
            self.kept_jobs.on_cancel(entry, cancel)
        elif cancel.request:
            self._send(entry, CancelReply(cancel.request, None))

    def _on_callers_left(
        self, open_job: OpenJob, entry: str, cancel: CancelJob
    ) -> None:
        """Cancels a job that no caller of any entry node waits for now."""
        if cancel.number and cancel.number < open_job.entries.get(entry, 0):
            # The entry node has submitted the job again since.
            return
        if open_job.job.is_kept:
            return
        number = open_job.entries.get(entry, 0)
        left = JobEnded(cancel.key, Verdict.CANCELLED, Reason.NONE, 0.0, number)
        self._replies.add(entry, left)
        open_job.remove_entry(entry)
        if not open_job.entries:
            self._finish(open_job, Verdict.CANCELLED, Reason.NONE)

    def on_inherited_end(self, row: EndedRun, worker: Worker) -> None:
        """Handles the end of a run that an earlier holder started."""
        if self.kept_jobs:
            self.kept_jobs.on_inherited_end(row, worker)
        else:
            self.fleet.defer_end_to_holder(row, worker)

    def on_run_end(self, run: Run, end: RunOutcome, worker: Worker) -> None:
        """Handles the end of a run and updates its task and job."""
        self._is_changed = True
        task = run.task
        if task is None:
            return
        now_ms = self._clock.now_ms()
        if not task.step.is_long_running:
            self._record_run(run, end, worker, now_ms)
        if task.run is not run:
            return
        task.run = None
        task.update_checkpoint(run)
        if task.job.is_ended:
            self._on_leftover_end(task.job)
            return
        if end is RunOutcome.LOST:
            self._crashes.await_evidence(task, worker)
        else:
            self._crashes.on_run_end(run)
        if task.step.is_long_running:
            self._restart(task, worker)
            return
        if end is not RunOutcome.DONE:
            self._stop_all(task.job.runs_of_gang(task))
        if task.job.job.is_kept:
            self.kept_jobs.on_run_end(run, end, worker)
        elif task.state is not TaskState.DONE:
            self._apply_end(run, end, worker, now_ms)

    def _on_leftover_end(self, open_job: OpenJob) -> None:
        """Handles the end of a run that went on after its job had ended."""
        key = open_job.job.key
        self._leftover_runs[key] -= 1
        if self._leftover_runs[key] <= 0:
            del self._leftover_runs[key]
            open_job.drop_tasks()

    def _restart(self, task: Task, worker: Worker) -> None:
        """Enqueues a long-running task again, on another worker if possible."""
        task.state = TaskState.WAITING
        task.avoided_workers = {worker.name}
        self._jobs.enqueue(task.job)

    def _apply_end(
        self, run: Run, end: RunOutcome, worker: Worker, now_ms: float
    ) -> None:
        """Updates a task of a job that is not kept after its run ended."""
        task = run.task
        open_job = task.job
        if end is RunOutcome.DONE:
            open_job.note_done(task)
            if open_job.is_done:
                self._admission.on_completed(open_job, now_ms)
                self._finish(open_job, Verdict.COMPLETED, Reason.NONE)
            else:
                self._jobs.enqueue(open_job)
            return
        if end is RunOutcome.FAILED:
            task.avoided_workers.add(worker.name)
            counted_task = open_job.note_failure(task, run.number)
            if counted_task.failures >= open_job.job.max_attempts:
                self._finish(open_job, Verdict.FAILED, Reason.ATTEMPTS)
                return
        task.state = TaskState.WAITING
        self._jobs.enqueue(open_job)

    def _stop_all(self, runs: list[Run]) -> None:
        for run in runs:
            if run.state in (RunState.STARTING, RunState.RUNNING):
                self.fleet.stop(run)

    def _record_run(
        self, run: Run, end: RunOutcome, worker: Worker, now_ms: float
    ) -> None:
        """Updates the worker's health and speed and the queue's estimates."""
        if end is RunOutcome.FAILED:
            worker.on_failure(run.task_id.job, now_ms)
        if end is not RunOutcome.DONE or run.confirmed_ms is None:
            return
        duration_ms = now_ms - run.confirmed_ms
        worker.on_success(duration_ms, run.work_ms)
        if run.is_hung(now_ms):
            # Its duration reflects a slow worker, not the tasks of its queue.
            return
        run.task.job.note_run(run.task_id.step, duration_ms * worker.speed)
        self._admission.on_task_done(
            run.task.job.job.queue,
            run.task.step.estimate_ms,
            duration_ms * worker.speed,
        )

    def on_worker_crashed(self, worker: Worker, runs: list[Run]) -> None:
        """Counts the crash of a worker against the tasks that ran on it."""
        self._crashes.on_worker_crashed(worker, runs)
        self._is_changed = True

    def on_advice(self, request_id: int, advice: Advice) -> None:
        """Handles the advisor's reply to a ticket request."""
        self.tickets.on_advice(request_id, advice)
        self._is_changed = True

    def on_ticket_rejected(self, run: Run, worker: Worker) -> None:
        """Handles a worker's rejection of an advisor's ticket."""
        if run.task is not None:
            self.tickets.on_rejected(run.task, worker.name)

    def on_fenced(self, worker: Worker) -> None:
        """Handles a worker's rejection of this holder's fencing token."""
        self.is_fenced = True

    def before_renewal(self) -> None:
        """Withholds leases beside kept jobs if the authority has just ended."""
        if self.kept_jobs:
            self.kept_jobs.update_authority()

    def is_continued_by(self, grant: Grant) -> bool:
        """Returns whether no other node was the holder until a later grant.

        Args:
            grant: a grant to this node. A standby returns False.
        """
        return self.kept_jobs is not None and grant.continues(
            self.kept_jobs.store.epoch, grant.holder
        )

    def renew_grant(self, fence: int, epoch: int) -> None:
        """Continues under this node's next grant.

        Args:
            fence: the fencing token of the new grant.
            epoch: the epoch of the new grant.
        """
        self.fleet.renew_fence(fence)
        self.is_fenced = False
        if self.kept_jobs:
            self.kept_jobs.store.renew_epoch(epoch)

    # Periodic work.

    def tick(self) -> None:
        """Runs the periodic work: polls, timeouts, stops and admission."""
        now_ms = self._clock.now_ms()
        if self.kept_jobs:
            self.fleet.sole_holder_until_ms = self.kept_jobs.store.confirmed_ms
        self.fleet.tick()
        self._resolve_inherited(now_ms)
        self._claim_inherited()
        self._stop_unknown_runs(now_ms)
        if self.kept_jobs:
            self.kept_jobs.tick()
        for open_job in list(self._jobs.by_key.values()):
            has_timed_out = now_ms >= open_job.timeout_at_ms
            if has_timed_out and not open_job.job.is_kept:
                self._abort(open_job, Reason.TIMED_OUT)
        self._pausing.tick()
        self._jobs.release_due(self._clock.wall_ms())
        self._jobs.mark_late(now_ms)
        self._move_hung_runs(now_ms)
        self._crashes.tick()
        self._intake.review()
        self._reserver.review_if_due()
        for key, (ended_ms, _) in list(self._results.items()):
            if now_ms - ended_ms < RESULT_RETENTION_MS:
                break
            del self._results[key]
        self._replies.expire()
        self._is_changed = True

    def lease_limit_ms(self, run: Run) -> float:
        """Returns the time to which a lease may be renewed beside a run."""
        return self._pausing.lease_limit_ms(run)

    def _move_hung_runs(self, now_ms: float) -> None:
        """Stops hung and very slow runs, at most once for each task.

        The task is placed on another worker once its worker has reported the
        end of the run.
        """
        for worker in self.fleet.workers.values():
            for run in worker.runs.values():
                # All runs of a gang are as slow as its slowest one, so their
                # durations don't identify the slow worker.
                is_exempt = (
                    run.task is None
                    or run.task.was_relocated
                    or run.task.step.is_gang
                )
                is_running = run.state is RunState.RUNNING
                if is_exempt or not is_running or not run.is_hung(now_ms):
                    continue
                run.task.was_relocated = True
                run.task.avoided_workers.add(worker.name)
                elapsed_ms = now_ms - run.confirmed_ms
                worker.on_hung(elapsed_ms, run.work_ms, now_ms)
                self.fleet.stop(run)

    def _resolve_inherited(self, now_ms: float) -> None:
        """Assigns inherited runs to jobs that were sent to an earlier holder.

        Each job waits until every worker was polled after the job arrived, and
        is aborted if that takes longer than `SYNC_TIMEOUT_MS`, unless a task
        of it has a run here.
        """
        if not self._unresolved:
            return
        if self._must_poll:
            self._must_poll = False
            self.fleet.poll_all()
        for since_ms, open_job in list(self._unresolved.values()):
            if self.fleet.is_synced_since(since_ms):
                del self._unresolved[open_job.job.key]
                self._resolve(open_job, now_ms - since_ms)
            elif now_ms - since_ms < SYNC_TIMEOUT_MS or open_job.has_runs:
                continue
            else:
                self._abort(open_job, Reason.HOLDER_LOST)

    def _resolve(self, open_job: OpenJob, waited_ms: float) -> None:
        """Assigns to a job's tasks their inherited runs and recorded ends.

        Args:
            open_job: the job.
            waited_ms: how long the job waited for the polls, in ms.
        """
        claimed = self._claim_runs(open_job)
        done = 0
        for task in open_job.all_tasks():
            is_waiting = task.state is TaskState.WAITING
            if is_waiting and self.fleet.recorded_end(task.id) is EndKind.DONE:
                task.state = TaskState.DONE
                done += 1
        emit(
            Event.JOB_RESOLVED,
            job=open_job.job.key,
            waited_ms=round(waited_ms),
            workers=len(self.fleet.workers),
            claimed=claimed,
            done=done,
            fence=self.fleet.fence,
        )
        open_job.is_placeable = True
        self._stop_all(open_job.runs_of_partial_gangs())
        if open_job.is_done:
            self._finish(open_job, Verdict.COMPLETED, Reason.NONE)

    def _claim_inherited(self) -> set[str]:
        """Claims the inherited runs of open jobs.

        A task with a known run is not started again. A standby claims no runs,
        so the jobs that it has inherited runs of wait until these have ended.

        Returns:
            Keys of the jobs that must wait.
        """
        keys = {task_id.job for task_id in self.fleet.inherited}
        if self.fleet.is_standby:
            return keys
        for key in sorted(keys - self._unresolved.keys()):
            open_job = self._jobs.by_key.get(key)
            if open_job is None or not self._claim_runs(open_job):
                continue
            if open_job.is_placeable:
                self._stop_all(open_job.runs_of_partial_gangs())
        return set()

    def _stop_unknown_runs(self, now_ms: float) -> None:
        """Stops the inherited runs of jobs that no entry node has sent."""
        if self.kept_jobs and not self.kept_jobs.store.is_loaded:
            return
        for run in list(self.fleet.inherited.values()):
            is_running = run.state is RunState.RUNNING
            is_known = run.task_id.job in self._jobs.by_key
            age_ms = now_ms - run.commanded_ms
            if is_running and not is_known and age_ms > UNKNOWN_JOB_TIMEOUT_MS:
                self.fleet.stop(run)

    def _claim_runs(self, open_job: OpenJob) -> int:
        """Assigns inherited runs to a job's waiting tasks; returns how many."""
        claimed = 0
        for task in open_job.all_tasks():
            is_waiting = task.state is TaskState.WAITING
            if not is_waiting or task.id not in self.fleet.inherited:
                continue
            expected_ms = self._admission.expected_ms(open_job.job, task)
            self.fleet.claim_inherited_run(task, expected_ms)
            task.state = TaskState.PLACED
            open_job.is_started = True
            claimed += 1
        return claimed

    # Placement.

    def place_tasks(self) -> None:
        """Starts the waiting tasks that fit a worker now.

        Does nothing unless an event since the last call may have freed
        capacity or added tasks, nor while too many starts have no reply.
        """
        if not self._is_changed and not self._jobs.is_changed:
            return
        if self.fleet.open_starts.is_full:
            return
        self.before_renewal()
        self._is_changed = False
        self._jobs.is_changed = False
        blocked_keys = self._claim_inherited() | self._leftover_runs.keys()
        self._placer.run_pass(blocked_keys)
        # The rest is tried at the next call, even without an event.
        self._is_changed = self._is_changed or self._placer.is_unfinished

    def _may_place(self, open_job: OpenJob) -> bool:
        """Returns whether tasks of a job may be started now."""
        if not open_job.is_placeable:
            return False
        if open_job.job.is_kept:
            return self.kept_jobs.may_place(open_job)
        return self._pausing.may_start(open_job)

    # Ends of jobs.

    def _refuse(
        self, open_job: OpenJob, reason: Reason, retry_after_ms: float
    ) -> None:
        self._finish(open_job, Verdict.REFUSED, reason, retry_after_ms)

    def _abort(self, open_job: OpenJob, reason: Reason) -> None:
        """Ends a job: refused if surely no task was started, else abandoned."""
        verdict = Verdict.ABANDONED
        if open_job.is_surely_unstarted:
            verdict = Verdict.REFUSED
        self._finish(open_job, verdict, reason, MIN_RETRY_MS)

    def _finish(
        self,
        open_job: OpenJob,
        verdict: Verdict,
        reason: Reason,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Removes an ended job, reports its end and stops its runs."""
        key = open_job.job.key
        open_job.is_ended = True
        self._jobs.remove(key)
        self.tickets.forget_job(open_job)
        self._unresolved.pop(key, None)
        self._log_end(open_job, verdict, reason)
        ended = JobEnded(key, verdict, reason, retry_after_ms)
        # A job that nobody waits for any more has no result either.
        may_run_again = verdict in (Verdict.REFUSED, Verdict.ABANDONED)
        may_run_again = may_run_again or not open_job.entries
        if not may_run_again and not open_job.job.is_kept:
            self._results[key] = (self._clock.now_ms(), ended)
        for entry, number in open_job.entries.items():
            reply = msgspec.structs.replace(ended, number=number)
            if may_run_again:
                self._replies.add(entry, reply)
            self._send(entry, reply)
        for task in open_job.all_tasks():
            if task.run is None:
                continue
            if not open_job.job.is_kept:
                self._leftover_runs[key] += 1
            if task.run.state is not RunState.DOUBTFUL:
                self.fleet.stop(task.run)
        if not open_job.has_runs:
            open_job.drop_tasks()

    def _log_end(
        self, open_job: OpenJob, verdict: Verdict, reason: Reason
    ) -> None:
        emit(
            Event.JOB_ENDED,
            job=open_job.job.key,
            queue=open_job.job.queue,
            verdict=verdict.name.lower(),
            reason=reason.value,
            age_ms=round(self._clock.now_ms() - open_job.arrived_ms),
            objective_ms=_round_finite(
                self._admission.objective_ms(open_job.job)
            ),
            forecast_ms=_round_finite(open_job.forecast_ms),
            starts=open_job.start_count,
            workers=sorted(open_job.used_workers),
            open_jobs=len(self._jobs.by_key),
            fence=self.fleet.fence,
        )


def _round_finite(time_ms: float) -> int | None:
    """Returns a duration rounded for the log, None if it is infinite."""
    return round(time_ms) if math.isfinite(time_ms) else None
