"""The holder's decisions: which task runs on which worker, in what order."""

import math

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.admission import Admission
from clayfield.pool.advice import Advisor
from clayfield.pool.fleet import (
    Fleet,
    FleetListener,
    RunEnd,
)
from clayfield.pool.intake import LEAST_RETRY_MS, Intake
from clayfield.pool.jobtable import JobTable
from clayfield.pool.kept import KeptJobs
from clayfield.pool.ledger import JobLedger
from clayfield.pool.orders import (
    Advice,
    EndedRow,
    EndKind,
    PoolAction,
    TellEntry,
)
from clayfield.pool.placement import RoomSearch
from clayfield.pool.tasks import OpenJob, Run, RunState, Task, TaskState
from clayfield.pool.timing import PoolTiming
from clayfield.pool.worker import Worker
from clayfield.wire.cluster import (
    CancelJob,
    JobCancelled,
    JobEnded,
    SubmitJob,
)
from clayfield.wire.jobs import Reason, Verdict, WorkerInfo
from clayfield.wire.messages import Message

# How long the jobs of an earlier holder wait for the workers to be adopted.
ADOPTION_MS = 1200.0
# Answers that are kept for callers that ask again.
KEPT_ANSWERS_MS = 20_000.0
# After so many jobs without room for any task the rest waits for a change.
MISSES_IN_A_ROW = 24


class Dispatcher(FleetListener):
    """Runs the jobs of all entries on the workers that this node holds.

    Attributes:
        fleet: the workers.
        advisor: knows which workers may run advised jobs.
        kept: the kept jobs; None for a stand-by, which runs none.
        is_fenced: whether a worker obeys a higher fence than this holder's.
    """

    def __init__(
        self,
        clock: Clock,
        timing: PoolTiming,
        fence: int,
        ledger: JobLedger | None = None,
        listened_since_ms: float = 0.0,
    ):
        """Starts without workers and jobs.

        Args:
            clock: the time.
            timing: the times that workers keep.
            fence: goes with every order.
            ledger: what is written of kept jobs; None for a stand-by.
            listened_since_ms: since when this node has heard of workers.
        """
        self._clock = clock
        is_standby = ledger is None
        self.fleet = Fleet(clock, timing, self, fence, is_standby)
        self.is_fenced = False
        self.advisor = Advisor(clock)
        self._jobs = JobTable()
        self._admission = Admission()
        self._intake = Intake(
            clock,
            self.fleet,
            self._jobs,
            self._admission,
            self.advisor,
            self._refuse,
        )
        self.kept: KeptJobs | None = None
        if ledger:
            self.kept = KeptJobs(
                clock,
                ledger,
                self.fleet,
                self._jobs,
                self._admission,
                self._intake.admit,
                self._finish,
                listened_since_ms,
            )
        self._unsettled: dict[str, tuple[float, OpenJob]] = {}
        self._answers: dict[str, tuple[float, JobEnded]] = {}
        self._is_changed = True
        self._must_ask = False

    @property
    def open_jobs(self) -> int:
        """How many jobs have not ended."""
        return len(self._jobs.by_key)

    def take_actions(self) -> list[PoolAction]:
        """Returns what is to be done since the last call."""
        actions = self.fleet.actions + self.advisor.actions
        self.fleet.actions.clear()
        self.advisor.actions.clear()
        if self.kept:
            self.kept.ledger.flush()
            actions += self.kept.ledger.actions
            self.kept.ledger.actions.clear()
        return actions

    def _tell(self, entry: str, message: Message) -> None:
        self.fleet.actions.append(TellEntry(entry, message))

    # Events.

    def on_worker(self, info: WorkerInfo) -> None:
        """Takes a worker's statement."""
        self.fleet.on_worker(info)
        self._is_changed = True

    def on_submit(self, entry: str, submit: SubmitJob) -> None:
        """Takes a job of an entry."""
        key = submit.job.key
        if submit.job.is_kept:
            self._on_submit_kept(entry, submit)
            return
        known = self._jobs.by_key.get(key)
        if known:
            known.entries.add(entry)
            return
        answered = self._answers.get(key)
        if answered and answered[1].verdict is not Verdict.REFUSED:
            self._tell(entry, answered[1])
            return
        arrived_ms = self._clock.now_ms() - submit.age_ms
        first_run = 1 + (submit.epoch * 100 if submit.was_sent else 0)
        opened = OpenJob(submit.job, entry, arrived_ms, first_run)
        self._jobs.add(opened)
        if submit.was_sent:
            opened.late_at_ms = self._admission.late_at_ms(opened)
            self._unsettled[key] = (self._clock.now_ms(), opened)
            self._must_ask = True
            opened.is_placeable = False
        elif not self._intake.admit(opened):
            return
        self._jobs.enqueue(opened)

    def _on_submit_kept(self, entry: str, submit: SubmitJob) -> None:
        if self.kept:
            self.kept.on_submit(entry, submit)
            return
        refused = JobEnded(
            submit.job.key, Verdict.REFUSED, Reason.NO_HOLDER, LEAST_RETRY_MS
        )
        self._tell(entry, refused)

    def on_cancel(self, entry: str, cancel: CancelJob) -> None:
        """Takes the wish to end a job."""
        opened = self._jobs.by_key.get(cancel.key)
        if opened and not opened.job.is_kept:
            self._finish(opened, Verdict.CANCELLED, Reason.CANCELLED)
            if cancel.request:
                self._tell(entry, JobCancelled(cancel.request, True))
        elif self.kept:
            self.kept.on_cancel(entry, cancel)
        elif cancel.request:
            self._tell(entry, JobCancelled(cancel.request, None))

    def on_foreign_end(self, row: EndedRow, worker: Worker) -> None:
        """Learns of the end of a run that an earlier holder began."""
        if self.kept:
            self.kept.on_foreign_end(row, worker)
        else:
            self.fleet.leave_to_holder(row, worker)

    def on_run_end(self, run: Run, end: RunEnd, worker: Worker) -> None:
        """Learns that a run has ended."""
        self._is_changed = True
        task = run.task
        if task is None:
            return
        now_ms = self._clock.now_ms()
        if not task.step.is_lasting:
            self._learn(run, end, worker, now_ms)
        if task.run is not run:
            return
        task.run = None
        task.keep_progress(run)
        if task.job.is_ended:
            return
        if task.step.is_lasting:
            self._start_again(task, worker)
            return
        if end is not RunEnd.DONE:
            self._stop_all(task.job.runs_of_gang(task))
        if task.job.job.is_kept:
            self.kept.on_run_end(run, end, worker)
        elif task.state is not TaskState.DONE:
            self._apply_end(run, end, worker, now_ms)

    def _start_again(self, task: Task, worker: Worker) -> None:
        """Has a task that lasts run again, elsewhere if there is room."""
        task.state = TaskState.WAITING
        task.avoided = {worker.name}
        self._jobs.enqueue(task.job)

    def _apply_end(
        self, run: Run, end: RunEnd, worker: Worker, now_ms: float
    ) -> None:
        """Applies the end of a run to a task of a job that is not kept."""
        task = run.task
        opened = task.job
        if end is RunEnd.DONE:
            opened.note_done(task)
            if opened.is_done:
                self._admission.on_completed(opened, now_ms)
                self._finish(opened, Verdict.COMPLETED, Reason.NONE)
            else:
                self._jobs.enqueue(opened)
            return
        if end is RunEnd.FAILED:
            task.avoided.add(worker.name)
            counting = opened.note_failure(task, run.number)
            if counting.failures >= opened.job.max_attempts:
                self._finish(opened, Verdict.FAILED, Reason.ATTEMPTS)
                return
        task.state = TaskState.WAITING
        self._jobs.enqueue(opened)

    def _stop_all(self, runs: list[Run]) -> None:
        for run in runs:
            if run.state in (RunState.STARTING, RunState.RUNNING):
                self.fleet.stop(run)

    def _learn(
        self, run: Run, end: RunEnd, worker: Worker, now_ms: float
    ) -> None:
        if end is RunEnd.FAILED:
            worker.on_failure(run.task_id.job, now_ms)
        if end is not RunEnd.DONE or run.answered_ms is None:
            return
        took_ms = now_ms - run.answered_ms
        worker.on_success(took_ms, run.work_ms)
        if run.is_stuck(now_ms):
            # It tells of its worker, not of its queue.
            return
        run.task.job.note_run(run.task_id.step, took_ms * worker.speed)
        self._admission.learn(
            run.task.job.job.queue,
            run.task.step.estimate_ms,
            took_ms * worker.speed,
        )

    def on_advice(self, call: int, advice: Advice) -> None:
        """Takes the advisor's answer."""
        self.advisor.on_advice(call, advice)
        self._is_changed = True

    def on_ticket_rejected(self, run: Run, worker: Worker) -> None:
        """Learns that a worker did not take the advisor's ticket."""
        if run.task is not None:
            self.advisor.on_rejected(run.task, worker.name)

    def on_fenced(self, worker: Worker) -> None:
        """Learns that a worker obeys a higher fence."""
        self.is_fenced = True

    def follows(self, epoch: int) -> bool:
        """Tells whether a grant's epoch is the next after this holder's."""
        return self.kept is not None and self.kept.ledger.epoch + 1 == epoch

    def raise_fence(self, fence: int, epoch: int) -> None:
        """Goes on under a higher fence of its own."""
        self.fleet.fence = fence
        self.is_fenced = False
        if self.kept:
            self.kept.ledger.raise_epoch(epoch)
        for worker in self.fleet.workers.values():
            worker.next_hold_ms = self._clock.now_ms()

    # Time.

    def tick(self) -> None:
        """Lets time act."""
        now_ms = self._clock.now_ms()
        if self.kept:
            self.fleet.confirmed_ms = self.kept.ledger.confirmed_ms
        self.fleet.tick()
        self._settle(now_ms)
        if self.kept:
            self.kept.tick()
        for opened in list(self._jobs.by_key.values()):
            is_over = now_ms >= opened.timeout_at_ms
            if is_over and not opened.job.is_kept:
                self._give_up(opened, Reason.TIMED_OUT)
        self._jobs.release_due(self._clock.wall_ms())
        self._jobs.turn_late(now_ms)
        self._move_stuck(now_ms)
        self._intake.review()
        for key, (answered_ms, _) in list(self._answers.items()):
            if now_ms - answered_ms < KEPT_ANSWERS_MS:
                break
            del self._answers[key]
        self._is_changed = True

    def _move_stuck(self, now_ms: float) -> None:
        """Stops runs that stand still or crawl, once a task.

        The task is placed elsewhere when its worker has told that the run
        ended.
        """
        for worker in self.fleet.workers.values():
            for run in worker.runs.values():
                # A gang is as slow as its slowest task.
                is_moved = (
                    run.task is None
                    or run.task.was_moved
                    or run.task.step.is_gang
                )
                is_under_way = run.state is RunState.RUNNING
                if is_moved or not is_under_way or not run.is_stuck(now_ms):
                    continue
                run.task.was_moved = True
                run.task.avoided.add(worker.name)
                passed_ms = now_ms - run.answered_ms
                worker.on_stuck(passed_ms, run.work_ms, now_ms)
                self.fleet.stop(run)

    def _settle(self, now_ms: float) -> None:
        """Finds what became of jobs that an earlier holder began."""
        if not self._unsettled:
            return
        if self._must_ask:
            self._must_ask = False
            self.fleet.ask_all()
        for since_ms, opened in list(self._unsettled.values()):
            if self.fleet.is_adopted_since(since_ms):
                del self._unsettled[opened.job.key]
                self._claim_runs(opened)
            elif now_ms - since_ms >= ADOPTION_MS:
                self._give_up(opened, Reason.HOLDER_LOST)

    def _claim_runs(self, opened: OpenJob) -> None:
        for task in opened.all_tasks():
            if self.fleet.claim(
                task, self._admission.expected_ms(opened.job, task)
            ):
                task.state = TaskState.PLACED
                opened.is_offered = True
            elif self.fleet.past_end(task.id) is EndKind.DONE:
                task.state = TaskState.DONE
        opened.is_placeable = True
        self._stop_all(opened.partial_gangs())
        if opened.is_done:
            self._finish(opened, Verdict.COMPLETED, Reason.NONE)

    # Placement.

    def place(self) -> None:
        """Starts what can be started now."""
        if not self._is_changed and not self._jobs.is_changed:
            return
        self._is_changed = False
        self._jobs.is_changed = False
        now_ms = self._clock.now_ms()
        workers = self.fleet.workers.values()
        room = RoomSearch(workers, self.advisor, now_ms)
        misses = 0
        for opened in self._jobs.waiting():
            if not opened.is_placeable or not self._may_place(opened):
                continue
            misses = 0 if self._place_job(opened, room) else misses + 1
            if misses >= MISSES_IN_A_ROW:
                break

    def _may_place(self, opened: OpenJob) -> bool:
        return not opened.job.is_kept or self.kept.may_place(opened)

    def _place_job(self, opened: OpenJob, room: RoomSearch) -> bool:
        """Starts tasks of a job; returns whether any was started."""
        waiting = opened.waiting_steps()
        started = 0
        for tasks in waiting:
            if tasks[0].step.is_gang:
                started += self._place_gang(tasks, room)
            else:
                started += self._place_each(tasks, room)
        if started == sum(len(tasks) for tasks in waiting):
            self._jobs.dequeue(opened)
        return started > 0

    def _place_each(self, tasks: list[Task], room: RoomSearch) -> int:
        started = 0
        for task in tasks:
            worker = room.find(task)
            if worker is not None:
                self._start(worker, task)
                started += 1
        return started

    def _place_gang(self, tasks: list[Task], room: RoomSearch) -> int:
        """Starts all tasks of a gang under one run number, or none."""
        workers = room.find_together(tasks)
        if workers is None:
            return 0
        last_run = max(task.last_run for task in tasks)
        for worker, task in zip(workers, tasks, strict=True):
            task.last_run = last_run
            self._start(worker, task)
        return len(tasks)

    def _start(self, worker: Worker, task: Task) -> None:
        opened = task.job
        expected_ms = self._admission.expected_ms(opened.job, task)
        ticket = ""
        if opened.job.is_advised:
            ticket = self.advisor.ticket(task, worker.name)
        self.fleet.start(worker, task, expected_ms, ticket)
        task.state = TaskState.PLACED
        opened.is_offered = True
        opened.starts += 1
        opened.placed_on.add(worker.name)

    # Ends.

    def _refuse(
        self, opened: OpenJob, reason: Reason, retry_after_ms: float
    ) -> None:
        self._finish(opened, Verdict.REFUSED, reason, retry_after_ms)

    def _give_up(self, opened: OpenJob, reason: Reason) -> None:
        is_clean = not opened.is_offered and opened.job.key not in (
            self._unsettled
        )
        verdict = Verdict.REFUSED if is_clean else Verdict.ABANDONED
        self._finish(opened, verdict, reason, LEAST_RETRY_MS)

    def _finish(
        self,
        opened: OpenJob,
        verdict: Verdict,
        reason: Reason,
        retry_after_ms: float = 0.0,
    ) -> None:
        key = opened.job.key
        opened.is_ended = True
        self._jobs.remove(key)
        self.advisor.forget(opened)
        self._unsettled.pop(key, None)
        self._log_end(opened, verdict, reason)
        ended = JobEnded(key, verdict, reason, retry_after_ms)
        if not opened.job.is_kept:
            self._answers[key] = (self._clock.now_ms(), ended)
        for entry in opened.entries:
            self._tell(entry, ended)
        for task in opened.all_tasks():
            if task.run and task.run.state is not RunState.DOUBTFUL:
                self.fleet.stop(task.run)

    def _log_end(
        self, opened: OpenJob, verdict: Verdict, reason: Reason
    ) -> None:
        emit(
            Event.JOB_ENDED,
            job=opened.job.key,
            queue=opened.job.queue,
            verdict=verdict.name.lower(),
            reason=reason.value,
            age_ms=round(self._clock.now_ms() - opened.arrived_ms),
            objective_ms=_whole(self._admission.objective_ms(opened.job)),
            forecast_ms=_whole(opened.forecast_ms),
            starts=opened.starts,
            workers=sorted(opened.placed_on),
            open_jobs=len(self._jobs.by_key),
            fence=self.fleet.fence,
        )


def _whole(time_ms: float) -> int | None:
    """Returns a time as it is logged, None for one without an end."""
    return round(time_ms) if math.isfinite(time_ms) else None
