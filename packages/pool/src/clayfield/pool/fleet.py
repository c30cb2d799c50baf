"""The workers that this node schedules, and the runs on them.

The node is the holder, which schedules all workers, or the standby of a hall.
It polls each worker by a request that renews the worker's lease, waits until a
run ends, and returns the worker's running and ended runs. These lists determine
the state of the runs. A start without a reply may still be executed, so its run
keeps its resources reserved until the worker has confirmed a stop, lists the
run as ended, or is removed.
"""

import math

import msgspec

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.pool.commands import (
    CommandReply,
    CommandResult,
    EndedRun,
    EndKind,
    PollReply,
    PollWorker,
    PoolAction,
    RunningRun,
    StartRun,
    StopRun,
    ThrottleRun,
)
from clayfield.pool.open_starts import OpenStarts
from clayfield.pool.polling import (
    POLL_WAIT_MS,
    UNREADABLE_PAUSE_MS,
    PollSchedule,
)
from clayfield.pool.run_ends import (
    CrashEvidence,
    EndCause,
    FleetListener,
    RunOutcome,
    outcome_of,
)
from clayfield.pool.tasks import Run, RunState, Task, TaskId
from clayfield.pool.throttling import choose_throttles
from clayfield.pool.timing import PoolTiming
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import WorkerInfo

# Time after which a stop without a reply is sent again.
STOP_RETRY_MS = 150.0
# Time after which an unreachable worker of a connected hall is removed.
UNREACHABLE_TIMEOUT_MS = 20_000.0
# Time after which an inherited run that no job has claimed is stopped.
ORPHAN_TIMEOUT_MS = 800.0
# How long the ends of inherited runs are recorded.
RECORDED_END_TTL_MS = 5000.0
PROBE_INTERVAL_MS = 120.0
# Added to a task's run number if the worker has had a later run of it.
RUN_NUMBER_SKIP = 1000
# Least number of other workers in a rack by which to tell that it is down, and
# the time within which all of them become unreachable then.
MIN_RACK_NEIGHBOURS = 2
RACK_DOWN_WINDOW_MS = 250.0
# Pause of the polls of a worker that has rejected the fencing token.
FENCED_PAUSE_MS = 500.0
# Least time between two log lines about the unreadable rows of a worker.
ROWS_LOG_INTERVAL_MS = 10_000.0
# Poll numbers that are reserved for each fencing token; more than a worker is
# ever polled under one, as a poll's number tells its token.
POLLS_PER_FENCE = 1 << 40


class Fleet:
    """All workers that this node schedules.

    Attributes:
        workers: the workers by name.
        actions: commands to send; the caller empties the list.
        inherited: runs that an earlier holder started and that no job has
            claimed yet, by task.
        fence: fencing token that is sent with every command.
        timing: lease and stop times of the workers.
        is_standby: whether this node is a standby; the holder may then claim
            inherited runs.
        sole_holder_until_ms: time until which this node was certainly the only
            holder, in ms; 0 for a standby. A hall's standby may still have
            renewed leases of the hall's workers.
        hall_connected_ms: time of the latest new connection to a node of a
            hall, by hall, in ms; without the halls that are not connected.
        may_have_kept_jobs: whether kept jobs may be in use, as far as a
            standby knows.
    """

    def __init__(
        self,
        clock: Clock,
        timing: PoolTiming,
        listener: FleetListener,
        fence: int,
        is_standby: bool = False,
    ):
        self._clock = clock
        self.timing = timing
        self._listener = listener
        self.fence = fence
        self.is_standby = is_standby
        self.may_have_kept_jobs = True
        self.sole_holder_until_ms = 0.0
        self.hall_connected_ms: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.actions: list[PoolAction] = []
        self.inherited: dict[TaskId, Run] = {}
        self.open_starts = OpenStarts()
        self._removed: list[WorkerInfo] = []
        self._recorded_ends: dict[TaskId, tuple[float, EndKind]] = {}
        self._probe_at_ms: dict[str, float] = {}
        # Workers whose last poll did not renew the lease, as the limit of a
        # run was reached.
        self._unrenewed: set[str] = set()
        self._schedule = PollSchedule(self.workers)
        self._rows_log_filter = RepeatFilter(clock, ROWS_LOG_INTERVAL_MS)

    # Queries.

    def is_synced_since(self, since_ms: float) -> bool:
        """Returns whether all runs on all workers are known since a time.

        Every worker has then replied completely to a poll sent after it, and
        no other holder can start more.
        """
        return all(
            worker.is_synced and worker.listed_ms > since_ms
            for worker in self.workers.values()
        )

    def has_unlisted_ends(self) -> bool:
        """Returns whether runs may have ended that no worker has listed yet.

        The ends on an unreachable worker no longer matter once its lease has
        lapsed: they are then recorded after the lapse.
        """
        now_ms = self._clock.now_ms()
        return any(
            worker.has_unlisted_ends
            and (worker.is_reachable or now_ms <= worker.lease_ends_ms)
            for worker in self.workers.values()
        )

    def leasable_workers(self) -> list[Worker]:
        """Returns the workers whose leases were not limited by a run lately."""
        return [
            worker
            for name, worker in self.workers.items()
            if name not in self._unrenewed
        ]

    def poll_all(self) -> None:
        """Polls every worker again, a limited number of them at a time."""
        self._schedule.sync_after_ms = self._clock.now_ms()
        self._poll_unsynced()

    def _poll_unsynced(self) -> None:
        for worker in self._schedule.take_unsynced():
            self._send_poll(worker, 0)

    def take_removed_workers(self) -> list[WorkerInfo]:
        """Returns the workers removed since the last call."""
        removed = self._removed
        self._removed = []
        return removed

    def recorded_end(self, task_id: TaskId) -> EndKind | None:
        """Returns how an inherited run of a task ended, None if unknown."""
        recorded = self._recorded_ends.get(task_id)
        return recorded[1] if recorded else None

    def renew_fence(self, fence: int) -> None:
        """Continues with a higher fencing token.

        Args:
            fence: the token of this node's next grant.
        """
        self.fence = fence
        now_ms = self._clock.now_ms()
        for worker in self.workers.values():
            worker.last_poll = fence * POLLS_PER_FENCE
            worker.next_poll_ms = now_ms

    # Addition and removal of workers.

    def on_worker_heartbeat(self, info: WorkerInfo) -> None:
        """Handles a worker's heartbeat."""
        existing = self.workers.get(info.name)
        if existing is None:
            # Replies to polls that this node sent under an earlier grant must
            # not match its present polls, so each fence has its own numbers.
            first_poll = self.fence * POLLS_PER_FENCE
            now_ms = self._clock.now_ms()
            worker = Worker(info, now_ms, first_poll)
            # Another node may have renewed the lease just now.
            worker.on_lease_renewed(now_ms, self.timing.lease_ms)
            self.workers[info.name] = worker
            _log_worker(info)
        elif not info.is_older_than(existing.info):
            if info.state is not existing.info.state:
                _log_worker(info)
            if info.born_ms > existing.info.born_ms:
                self._on_restarted(existing, info)
            else:
                existing.info = info

    def _on_restarted(self, former: Worker, info: WorkerInfo) -> Worker:
        """Replaces a worker that has started again under its name.

        The new incarnation has no state of the former one. A start that was
        sent before may reach it all the same, so the runs remain until its
        polls show which of them it has, and stops are sent again.

        Args:
            former: the former incarnation.
            info: the heartbeat of the new one.

        Returns:
            The new incarnation.
        """
        self._on_process_ended(former, CrashEvidence.RESTARTED)
        now_ms = self._clock.now_ms()
        worker = Worker(info, now_ms, former.last_poll)
        worker.on_lease_renewed(now_ms, self.timing.lease_ms)
        former.is_removed = True
        self._schedule.on_reply(info.name)
        self.workers[info.name] = worker
        emit(
            Event.WORKER_RESTARTED,
            worker=info.name,
            born_ms=info.born_ms,
            runs=len(former.runs),
        )
        for run in former.runs.values():
            worker.reserve(run)
            # Whatever becomes of the new incarnation, the run ended before it.
            run.is_blamed = True
            run.stopped_ms = None
            if run.state in (RunState.DOUBTFUL, RunState.STOPPING):
                self._send_stop(worker, run)
        return worker

    def on_worker_left(
        self, name: str, born_ms: int, left_ms: float | None = None
    ) -> None:
        """Handles that a worker leaves, unless it has started again since.

        What runs on it may go on for a while, so it is removed only when it
        runs nothing any more or when its lease, which is not renewed, has
        lapsed.

        Args:
            name: name of the worker.
            born_ms: start time of the incarnation that has left, in ms since
                1970; 0 for any.
            left_ms: when it left, in ms; None for now.
        """
        worker = self.workers.get(name)
        if worker is None or (born_ms and worker.info.born_ms > born_ms):
            return
        if worker.left_ms is None:
            worker.left_ms = (
                self._clock.now_ms() if left_ms is None else left_ms
            )
            # Another node may have renewed the lease until then.
            worker.lease_ends_ms = worker.left_ms + self.timing.max_lease_ms
            self._send_poll(worker, 0)

    def _remove_if_empty(self, worker: Worker) -> None:
        """Removes a leaving worker that certainly runs nothing.

        Runs that another node has started since the last poll may be unknown
        here, so it must have replied completely to one that was sent after it
        had left.
        """
        if worker.left_ms is None or worker.runs:
            return
        if worker.is_synced and worker.listed_ms >= worker.left_ms:
            self.on_worker_removed(worker.name)

    def on_worker_removed(self, name: str) -> None:
        """Removes a worker whose incarnation has ended; its runs are lost."""
        worker = self.workers.pop(name, None)
        if worker is None:
            return
        worker.is_removed = True
        self._removed.append(worker.info)
        self._schedule.on_reply(name)
        emit(Event.WORKER_GONE, worker=name, runs=len(worker.runs))
        self._probe_at_ms.pop(name, None)
        for run in list(worker.runs.values()):
            self._end_run(worker, run, RunOutcome.LOST, EndCause.WORKER_REMOVED)

    # Commands.

    def start(
        self, worker: Worker, task: Task, work_ms: float, ticket: str = ""
    ) -> None:
        """Starts a task's next run on a worker with enough free capacity.

        Args:
            worker: the worker.
            task: the task.
            work_ms: expected duration on a worker of usual speed, in ms.
            ticket: the advisor's ticket, "" if none is needed.
        """
        now_ms = self._clock.now_ms()
        task.last_run += 1
        run = Run(
            task.id, task.last_run, worker.name, task, RunState.STARTING, now_ms
        )
        run.set_expected_time(work_ms, worker.speed)
        task.run = run
        worker.reserve(run)
        lease_ms = max(0.0, self._lease_ms(worker, now_ms))
        worker.on_lease_renewed(now_ms, lease_ms)
        self.open_starts.add(worker.name, task.id, run.number)
        self.actions.append(
            StartRun(
                worker.name,
                worker.info.address,
                task.id,
                run.number,
                task.job.job.spec,
                worker.lease_until(now_ms, lease_ms),
                self.fence,
                task.checkpoint,
                ticket,
            )
        )
        self._ensure_short_poll(worker, now_ms)

    def renew_withheld_leases(self) -> None:
        """Polls the workers whose lease may be renewed again."""
        now_ms = self._clock.now_ms()
        for name in list(self._unrenewed):
            worker = self.workers.get(name)
            if worker is None:
                self._unrenewed.discard(name)
            elif self._lease_ms(worker, now_ms) > 0:
                worker.open_poll = 0
                worker.next_poll_ms = now_ms
                self.poll_if_due(worker)

    def _ensure_short_poll(self, worker: Worker, now_ms: float) -> None:
        """Replaces a long poll of an idle worker, to get ends in time."""
        if worker.open_poll and worker.poll_wait_ms <= POLL_WAIT_MS:
            return
        worker.open_poll = 0
        worker.next_poll_ms = now_ms
        self.poll_if_due(worker)

    def stop(self, run: Run) -> None:
        """Sends a stop request for a run to its worker."""
        worker = self.workers.get(run.worker)
        if worker is None:
            return
        if run.state is not RunState.DOUBTFUL:
            run.state = RunState.STOPPING
        self._send_stop(worker, run)

    def _send_stop(self, worker: Worker, run: Run) -> None:
        self.actions.append(
            StopRun(
                worker.name,
                worker.info.address,
                run.task_id,
                run.number,
                self.fence,
            )
        )

    def _lease_ms(self, worker: Worker, now_ms: float) -> float:
        """Returns for how long a worker's lease may be renewed from now on.

        A lease holds for all runs on a worker, so it must not outlast any of
        their limits.
        """
        if worker.left_ms is not None:
            return 0.0
        # All runs of a job have the same limit.
        runs_by_job = {
            run.task.job if run.task else run.task_id.job: run
            for run in worker.runs.values()
        }
        limit_ms = min(
            map(self._listener.lease_limit_ms, runs_by_job.values()),
            default=math.inf,
        )
        return min(self.timing.lease_ms, limit_ms - now_ms)

    def _send_poll(self, worker: Worker, wait_ms: int) -> None:
        now_ms = self._clock.now_ms()
        lease_ms = self._lease_ms(worker, now_ms)
        until_ms: float | None = None
        if worker.is_reachable:
            self._listener.before_renewal()
        is_renewed = not worker.is_lease_withheld and lease_ms > 0
        if worker.is_reachable and is_renewed:
            until_ms = worker.lease_until(now_ms, lease_ms)
        if until_ms is not None:
            worker.on_lease_renewed(now_ms, lease_ms)
        if lease_ms > 0:
            self._unrenewed.discard(worker.name)
        else:
            self._unrenewed.add(worker.name)
        worker.last_poll += 1
        self.actions.append(
            PollWorker(
                worker.name,
                worker.info.address,
                worker.acked_sequence,
                wait_ms,
                until_ms,
                self.fence,
                worker.last_poll,
            )
        )

    # Replies.

    def on_start_reply(
        self,
        name: str,
        task_id: TaskId,
        number: int,
        sent_ms: float,
        reply: CommandReply,
    ) -> None:
        """Handles a worker's reply to a start request.

        Args:
            name: name of the worker.
            task_id: the task.
            number: number of the run.
            sent_ms: time when the request was sent, in ms.
            reply: the reply, or why there is none.
        """
        self.open_starts.remove(name, task_id, number)
        worker = self.workers.get(name)
        if worker is None:
            return
        self._record_reply(worker, reply.clock_ms)
        run = worker.runs.get(task_id)
        is_current = run is not None and run.number == number
        if not is_current or run.state is not RunState.STARTING:
            self._apply_result(worker, reply.result, sent_ms)
            return
        match reply.result:
            case CommandResult.DONE:
                run.state = RunState.RUNNING
                run.confirmed_ms = self._clock.now_ms()
                return
            case CommandResult.LOST:
                run.state = RunState.DOUBTFUL
                emit(Event.RUN_DOUBTFUL, **_run_fields(run))
                self._send_stop(worker, run)
            case CommandResult.OLD_RUN:
                run.task.last_run += RUN_NUMBER_SKIP
                self._end_rejected(worker, run, RunOutcome.LOST)
            case CommandResult.BAD_ORDER:
                self._end_rejected(worker, run, RunOutcome.FAILED)
            case CommandResult.NO_TICKET:
                self._listener.on_ticket_rejected(run, worker)
                self._end_rejected(worker, run, RunOutcome.LOST)
            case _:
                self._end_rejected(worker, run, RunOutcome.LOST)
        self._apply_result(worker, reply.result, sent_ms)

    def _end_rejected(self, worker: Worker, run: Run, end: RunOutcome) -> None:
        """Ends a run whose start the worker rejected."""
        self._end_run(worker, run, end, EndCause.START_REJECTED)

    def _apply_result(
        self, worker: Worker, result: CommandResult, sent_ms: float
    ) -> None:
        """Updates a worker's state by the result of a command.

        Args:
            worker: the worker.
            result: result of the command.
            sent_ms: time when the command was sent, in ms.
        """
        match result:
            case CommandResult.FENCED:
                self._on_fenced(worker)
            case CommandResult.GONE:
                self._on_process_ended(worker, CrashEvidence.REPLACED)
                self.on_worker_removed(worker.name)
            case CommandResult.UNHEALTHY | CommandResult.NO_ROOM:
                worker.suspend(self._clock.now_ms(), result.value)
            case CommandResult.UNREACHED:
                self._on_unanswered(worker, sent_ms)
            case CommandResult.REFUSED:
                self._on_unanswered(worker, sent_ms)
                if sent_ms >= worker.synced_ms:
                    self._on_process_ended(worker, CrashEvidence.REFUSED)

    def on_stop_reply(
        self,
        name: str,
        task_id: TaskId,
        number: int,
        sent_ms: float,
        reply: CommandReply,
    ) -> None:
        """Handles a worker's reply to a stop request.

        Args:
            name: name of the worker.
            task_id: the task.
            number: number of the run.
            sent_ms: time when the request was sent, in ms.
            reply: the reply, or why there is none.
        """
        worker = self.workers.get(name)
        if worker is None:
            return
        self._record_reply(worker, reply.clock_ms)
        run = worker.runs.get(task_id)
        if run is not None and run.number == number:
            self._on_stop_result(worker, run, reply.result)
        self._apply_result(worker, reply.result, sent_ms)

    def _on_stop_result(
        self, worker: Worker, run: Run, result: CommandResult
    ) -> None:
        now_ms = self._clock.now_ms()
        if result in (CommandResult.DONE, CommandResult.OLD_RUN):
            run.stopped_ms = now_ms
            self._probe_at_ms[worker.name] = now_ms + self.timing.stop_ms + 5.0
        elif result in (
            CommandResult.LOST,
            CommandResult.UNREACHED,
            CommandResult.REFUSED,
        ):
            run.commanded_ms = now_ms

    def on_poll_reply(
        self, name: str, poll_id: int, sent_ms: float, reply: PollReply
    ) -> None:
        """Handles a worker's reply to a poll.

        Args:
            name: name of the worker.
            poll_id: number of the poll.
            sent_ms: time when the poll was sent, in ms.
            reply: the reply, or why there is none.
        """
        worker = self.workers.get(name)
        if worker is None:
            return
        if reply.born_ms > worker.info.born_ms:
            info = msgspec.structs.replace(
                worker.info, born_ms=reply.born_ms, sequence=0
            )
            worker = self._on_restarted(worker, info)
        now_ms = self._clock.now_ms()
        if poll_id == worker.open_poll:
            worker.open_poll = 0
        self._schedule.on_reply(name)
        if reply.born_ms and reply.born_ms < worker.info.born_ms:
            # The former incarnation sent it.
            return
        if reply.result is not CommandResult.DONE:
            worker.next_poll_ms = now_ms + self._schedule.retry_ms
            self._on_poll_failed(worker, reply.result, sent_ms)
            return
        self._record_reply(worker, reply.clock_ms)
        self._on_reachable(worker)
        self._log_unreadable_rows(name, reply.unreadable_rows)
        fence = poll_id // POLLS_PER_FENCE
        self._on_fence_accepted(worker, fence, now_ms)
        for row in sorted(reply.ended, key=lambda row: row.sequence):
            self._on_ended(worker, row)
        self._on_running(worker, reply.running)
        if sent_ms >= worker.synced_ms:
            worker.has_unlisted_ends = not reply.is_complete
        if reply.is_complete:
            self._end_unlisted_runs(worker, reply.running, sent_ms)
        pause_ms = self._schedule.pause_ms(worker)
        if reply.unreadable_rows:
            pause_ms = max(pause_ms, UNREADABLE_PAUSE_MS)
        worker.next_poll_ms = now_ms + pause_ms
        self._throttle(worker, now_ms)
        if fence == self.fence:
            worker.is_synced = True
            worker.synced_ms = max(worker.synced_ms, sent_ms)
            if reply.is_complete:
                worker.listed_ms = max(worker.listed_ms, sent_ms)
        self._remove_if_empty(worker)
        if not worker.is_removed:
            self.poll_if_due(worker)

    def _log_unreadable_rows(self, name: str, rows: int) -> None:
        if rows and self._rows_log_filter.is_due(name):
            emit(Event.ROWS_IGNORED, worker=name, rows=rows)

    def _on_fence_accepted(
        self, worker: Worker, fence: int, now_ms: float
    ) -> None:
        """Handles a worker's acceptance of a poll with a fencing token.

        Until the first one, another node may have renewed the worker's lease.
        """
        if fence > worker.accepted_fence:
            worker.accepted_fence = fence
            worker.on_lease_renewed(now_ms, self.timing.lease_ms)

    def _throttle(self, worker: Worker, now_ms: float) -> None:
        """Adjusts the speed of batch runs to the latencies measured there."""
        for run, speed_percent in choose_throttles(worker, now_ms).items():
            worker.throttled_ms = now_ms
            run.speed_percent = speed_percent
            self.actions.append(
                ThrottleRun(
                    worker.name,
                    worker.info.address,
                    run.task_id,
                    run.number,
                    speed_percent,
                    self.fence,
                )
            )
            emit(Event.RUN_PACED, **_run_fields(run), percent=speed_percent)

    def _on_poll_failed(
        self, worker: Worker, result: CommandResult, sent_ms: float
    ) -> None:
        """Handles a poll that was rejected or got no reply."""
        if result is CommandResult.LOST:
            self._on_unanswered(worker, sent_ms)
        else:
            self._apply_result(worker, result, sent_ms)

    def _on_unanswered(self, worker: Worker, sent_ms: float) -> None:
        """Handles a request without a reply.

        It says nothing about the worker if a later poll was accepted.
        """
        if sent_ms >= worker.synced_ms:
            self._on_unreachable(worker)

    def _record_reply(self, worker: Worker, clock_ms: float | None) -> None:
        now_ms = self._clock.now_ms()
        if clock_ms is not None:
            worker.last_reply_ms = now_ms
            worker.on_clock(clock_ms, now_ms)

    def _on_unreachable(self, worker: Worker) -> None:
        if not worker.is_reachable:
            return
        now_ms = self._clock.now_ms()
        worker.is_reachable = False
        worker.unreachable_since_ms = now_ms
        emit(
            Event.WORKER_SILENT,
            worker=worker.name,
            silent_ms=round(now_ms - worker.last_reply_ms),
            runs=len(worker.runs),
        )

    def _on_reachable(self, worker: Worker) -> None:
        if worker.is_reachable:
            return
        worker.is_reachable = True
        worker.lapsed_runs.clear()
        outage_ms = self._clock.now_ms() - worker.unreachable_since_ms
        emit(Event.WORKER_BACK, worker=worker.name, silent_ms=round(outage_ms))

    def _on_process_ended(
        self, worker: Worker, evidence: CrashEvidence
    ) -> None:
        """Handles evidence that a worker's process has ended, once.

        An end that the worker has announced, and that of a whole rack, has
        nothing to do with what ran on it. A start without a reply yet may not
        have reached it.
        """
        runs = [
            run
            for run in (*worker.runs.values(), *worker.lapsed_runs)
            if run.state is not RunState.STARTING and not run.is_blamed
        ]
        is_announced = worker.left_ms is not None or worker.is_draining
        if worker.crashed_ms is not None or is_announced or not runs:
            return
        worker.crashed_ms = self._clock.now_ms()
        for run in runs:
            run.is_blamed = True
        is_rack_down = self._is_rack_down(worker)
        emit(
            Event.WORKER_CRASHED,
            worker=worker.name,
            evidence=evidence.value,
            runs=len(runs),
            rack_down=is_rack_down,
        )
        if not is_rack_down:
            self._listener.on_worker_crashed(worker, runs)

    def _is_rack_down(self, worker: Worker) -> bool:
        """Returns whether all of a worker's rack became unreachable at once."""
        others = [
            other
            for other in self.workers.values()
            if other.info.rack == worker.info.rack and other is not worker
        ]
        return (
            bool(worker.info.rack)
            and len(others) >= MIN_RACK_NEIGHBOURS
            and all(_went_together(worker, other) for other in others)
        )

    def _on_fenced(self, worker: Worker) -> None:
        if worker.is_synced:
            emit(Event.WORKER_FENCED, worker=worker.name, fence=self.fence)
        worker.is_synced = False
        worker.next_poll_ms = self._clock.now_ms() + FENCED_PAUSE_MS
        self._listener.on_fenced(worker)

    # Runs listed by workers.

    def _on_ended(self, worker: Worker, row: EndedRun) -> None:
        if row.sequence <= worker.last_end_sequence:
            return
        worker.last_end_sequence = row.sequence
        run = worker.runs.get(row.task_id)
        is_current = run is not None and run.number == row.number
        if not is_current or run.is_inherited:
            self._record_inherited_end(worker, row)
        if is_current:
            run.end_sequence = row.sequence
            run.checkpoint = row.checkpoint
            end = outcome_of(row.kind)
            self._end_run(worker, run, end, EndCause.LISTED)

    def _record_inherited_end(self, worker: Worker, row: EndedRun) -> None:
        if row.kind not in (EndKind.DONE, EndKind.FAILED):
            return
        self._recorded_ends[row.task_id] = (self._clock.now_ms(), row.kind)
        self._listener.on_inherited_end(row, worker)

    def on_end_stored(self, worker: Worker, sequence: int) -> None:
        """Handles the confirmation that a run's end is in stable storage.

        Args:
            worker: the incarnation of the worker that lists the end.
            sequence: sequence number of the end on that worker.
        """
        worker.on_end_stored(sequence)
        if worker.is_removed:
            return
        if not worker.has_unstored_ends and not worker.open_poll:
            worker.next_poll_ms = self._clock.now_ms()
            self.poll_if_due(worker)

    def _on_running(self, worker: Worker, rows: list[RunningRun]) -> None:
        for row in rows:
            existing = worker.runs.get(row.task_id)
            if existing and existing.number < row.number:
                self._on_superseded(worker, existing)
                existing = None
            if existing is None:
                self._add_inherited(worker, row)
            elif existing.number == row.number:
                existing.checkpoint = row.checkpoint
                existing.speed_percent = row.speed_percent
                existing.tail_latency_ms = row.tail_latency_ms
                self._confirm_start(existing)

    def _end_unlisted_runs(
        self, worker: Worker, rows: list[RunningRun], sent_ms: float
    ) -> None:
        """Ends the runs that a complete reply lists nowhere.

        Args:
            worker: the worker.
            rows: the runs that the reply lists as running.
            sent_ms: time when the poll was sent, in ms.
        """
        listed = {(row.task_id, row.number) for row in rows}
        for run in list(worker.runs.values()):
            if (run.task_id, run.number) not in listed:
                self._on_unlisted(worker, run, sent_ms)

    def _on_superseded(self, worker: Worker, run: Run) -> None:
        """Ends a run whose worker lists a later run of the same task.

        Another node started the later one. A start of the former may still be
        on its way, and a stop makes the worker reject it.
        """
        self._send_stop(worker, run)
        self._end_run(worker, run, RunOutcome.LOST, EndCause.SUPERSEDED)

    def _confirm_start(self, run: Run) -> None:
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.confirmed_ms = self._clock.now_ms()

    def _on_unlisted(self, worker: Worker, run: Run, sent_ms: float) -> None:
        """Handles a run that its worker lists neither as running nor ended."""
        match run.state:
            case RunState.RUNNING:
                if run.confirmed_ms is not None and run.confirmed_ms < sent_ms:
                    self._end_run(
                        worker, run, RunOutcome.LOST, EndCause.UNLISTED
                    )
            case RunState.DOUBTFUL | RunState.STOPPING:
                stopped_ms = run.stopped_ms
                if stopped_ms is None:
                    return
                if stopped_ms + self.timing.stop_ms <= sent_ms:
                    self._end_run(
                        worker, run, RunOutcome.LOST, EndCause.UNLISTED
                    )

    def _add_inherited(self, worker: Worker, row: RunningRun) -> None:
        """Adds a run that an earlier holder started.

        Its resource usage is unknown, so nothing is placed beside it. The node
        that started it may have renewed the worker's lease until now.
        """
        now_ms = self._clock.now_ms()
        worker.on_lease_renewed(now_ms, self.timing.lease_ms)
        run = Run(
            row.task_id,
            row.number,
            worker.name,
            None,
            RunState.RUNNING,
            now_ms,
        )
        run.confirmed_ms = run.commanded_ms
        run.checkpoint = row.checkpoint
        run.speed_percent = row.speed_percent
        run.tail_latency_ms = row.tail_latency_ms
        worker.reserve(run)
        self.inherited[row.task_id] = run
        if self.is_standby:
            # The holder may start the task elsewhere once the lease that it
            # gave has lapsed, so the lease must not be renewed here.
            worker.is_lease_withheld = True
            self.stop(run)

    def defer_end_to_holder(self, row: EndedRun, worker: Worker) -> None:
        """Leaves the end of an inherited run to the holder.

        The end is not acknowledged, so the worker goes on listing it. If kept
        jobs may be in use, the holder may start the task elsewhere in the
        meantime, so the lease that it gave must lapse first.

        Args:
            row: the end.
            worker: the worker that lists it.
        """
        worker.hold_ack(row.sequence)
        if self.may_have_kept_jobs:
            worker.on_end_deferred(self._clock.now_ms())

    def claim_inherited_run(self, task: Task, work_ms: float) -> bool:
        """Assigns an inherited run to its task.

        Args:
            task: the task.
            work_ms: expected duration on a worker of usual speed, in ms.

        Returns:
            Whether there is such a run.
        """
        run = self.inherited.pop(task.id, None)
        if run is None:
            return False
        worker = self.workers[run.worker]
        worker.release(run)
        run.task = task
        run.set_expected_time(work_ms, worker.speed)
        run.cpu = task.step.reserved_cpu
        run.memory_mb = task.step.memory_mb
        run.gpu = task.step.gpu
        run.is_isolated = bool(task.isolation)
        worker.reserve(run)
        task.run = run
        task.last_run = max(task.last_run, run.number)
        lease_left_ms = worker.lease_ends_ms - self._clock.now_ms()
        emit(
            Event.RUN_CLAIMED,
            **_run_fields(run),
            lease_left_ms=round(lease_left_ms),
        )
        return True

    def _end_run(
        self, worker: Worker, run: Run, end: RunOutcome, cause: EndCause
    ) -> None:
        if end is not RunOutcome.DONE:
            emit(
                Event.RUN_LOST,
                **_run_fields(run),
                state=run.state.value,
                end=end.value,
                cause=cause.value,
                ran_ms=round(self._clock.now_ms() - run.commanded_ms),
            )
        worker.release(run)
        if cause is EndCause.LEASE_LAPSED:
            worker.lapsed_runs.append(run)
        if self.inherited.get(run.task_id) is run:
            del self.inherited[run.task_id]
        self._listener.on_run_end(run, end, worker)

    # Periodic work.

    def tick(self) -> None:
        """Runs the periodic work: polls, stop retries, expiry of leases."""
        now_ms = self._clock.now_ms()
        for worker in self._schedule.due_workers():
            self._tick_worker(worker, now_ms)
        self._poll_unsynced()
        self._stop_orphans(now_ms)
        for task_id, (recorded_ms, _) in list(self._recorded_ends.items()):
            if now_ms - recorded_ms > RECORDED_END_TTL_MS:
                del self._recorded_ends[task_id]

    def _tick_worker(self, worker: Worker, now_ms: float) -> None:
        if worker.left_ms is not None and worker.lease_ends_ms < now_ms:
            self.on_worker_removed(worker.name)
            return
        if not worker.is_reachable:
            if self._has_timed_out(worker, now_ms):
                self.on_worker_removed(worker.name)
                return
            if worker.lease_ends_ms < min(now_ms, self.sole_holder_until_ms):
                self._end_lapsed_runs(worker, now_ms)
        if self.is_standby and worker.has_known_usage:
            worker.update_lease_withholding(worker.deferred_end_ms, now_ms)
            self._release_deferred_ends(worker)
        self._retry_stops(worker, now_ms)
        if self._is_probe_due(worker, now_ms):
            self._probe_at_ms[worker.name] = now_ms + PROBE_INTERVAL_MS
            self._send_poll(worker, 0)
        self.poll_if_due(worker)

    def _release_deferred_ends(self, worker: Worker) -> None:
        """Lets a worker forget the ends that are left to the holder, if many.

        Else the ends of this node's own runs would not be listed behind them.
        The lease has lapsed since those ends, so they count no more, and the
        holder starts the tasks again.
        """
        if worker.has_unlisted_ends and not worker.is_lease_withheld:
            worker.forget_unstored_ends()

    def poll_if_due(self, worker: Worker) -> None:
        """Polls a worker if its next poll is due and none is open."""
        now_ms = self._clock.now_ms()
        if worker.open_poll or now_ms < worker.next_poll_ms:
            return
        if not worker.is_synced and not self._schedule.try_start_sync(worker):
            return
        worker.poll_wait_ms = self._schedule.wait_ms(worker)
        self._send_poll(worker, worker.poll_wait_ms)
        worker.open_poll = worker.last_poll

    def _is_probe_due(self, worker: Worker, now_ms: float) -> bool:
        """Returns whether to poll a worker without waiting for a run to end.

        This is due once a stop should have taken effect, and while a run is
        overdue.
        """
        due_ms = self._probe_at_ms.get(worker.name)
        if any(
            run.state is RunState.DOUBTFUL or run.state is RunState.STOPPING
            for run in worker.runs.values()
        ):
            return due_ms is not None and now_ms >= due_ms
        if due_ms is not None and now_ms < due_ms:
            return False
        return worker.is_reachable and any(
            run.is_overdue(now_ms) for run in worker.runs.values()
        )

    def _has_timed_out(self, worker: Worker, now_ms: float) -> bool:
        """Returns whether an unreachable worker counts as ended.

        A worker in a hall that is not connected, or was not until recently,
        may be alive, and the hall's standby may be using it.
        """
        connected_ms = self.hall_connected_ms.get(worker.info.hall)
        if connected_ms is None:
            return False
        since_ms = max(connected_ms, worker.unreachable_since_ms)
        return now_ms - since_ms > UNREACHABLE_TIMEOUT_MS

    def _end_lapsed_runs(self, worker: Worker, now_ms: float) -> None:
        """Ends the runs of an unreachable worker whose lease has lapsed.

        Unconfirmed ones are ended only after the time-out, since a start may
        be delayed.
        """
        outage_ms = now_ms - worker.unreachable_since_ms
        is_long = outage_ms > UNREACHABLE_TIMEOUT_MS
        for run in list(worker.runs.values()):
            is_confirmed = run.confirmed_ms is not None
            if is_long or is_confirmed or run.state is RunState.RUNNING:
                self._end_run(
                    worker, run, RunOutcome.LOST, EndCause.LEASE_LAPSED
                )

    def _retry_stops(self, worker: Worker, now_ms: float) -> None:
        for run in worker.runs.values():
            is_stopping = run.state in (RunState.DOUBTFUL, RunState.STOPPING)
            if not is_stopping or run.stopped_ms is not None:
                continue
            if now_ms - run.commanded_ms > STOP_RETRY_MS:
                run.commanded_ms = now_ms
                self._send_stop(worker, run)

    def _stop_orphans(self, now_ms: float) -> None:
        for run in list(self.inherited.values()):
            is_running = run.state is RunState.RUNNING
            if is_running and now_ms - run.commanded_ms > ORPHAN_TIMEOUT_MS:
                self.stop(run)


def _went_together(worker: Worker, other: Worker) -> bool:
    """Returns whether two workers became unreachable at about one time."""
    apart_ms = other.unreachable_since_ms - worker.unreachable_since_ms
    return not other.is_reachable and abs(apart_ms) <= RACK_DOWN_WINDOW_MS


def _run_fields(run: Run) -> dict[str, object]:
    """Returns the log fields that identify a run."""
    return {
        "job": run.task_id.job,
        "step": run.task_id.step,
        "index": run.task_id.index,
        "run": run.number,
        "worker": run.worker,
    }


def _log_worker(info: WorkerInfo) -> None:
    """Logs a new worker or a worker's new state."""
    emit(
        Event.WORKER_KNOWN,
        worker=info.name,
        state=info.state.value,
        sequence=info.sequence,
        hall=info.hall,
    )
