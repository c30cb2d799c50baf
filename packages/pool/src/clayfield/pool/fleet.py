"""The workers that this node holds, and the runs on them.

Every worker always has one hold under way, which renews its lease and waits
for an end. What a worker lists settles what runs there; an order that got no
answer counts as carried out until the worker tells otherwise.
"""

import abc
import enum

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.pool.holds import HOLD_WAIT_MS, HoldSchedule
from clayfield.pool.orders import (
    EndedRow,
    EndKind,
    HoldAnswer,
    HoldWorker,
    OrderAnswer,
    OrderResult,
    PaceRun,
    PoolAction,
    RunningRow,
    StartRun,
    StopRun,
)
from clayfield.pool.pacing import choose_pace
from clayfield.pool.tasks import Run, RunState, Task, TaskId
from clayfield.pool.timing import PoolTiming
from clayfield.pool.worker import Worker
from clayfield.wire.jobs import WorkerInfo

# Between stops that get no answer.
RESTOP_MS = 150.0
# A worker that could not be reached for so long is forgotten.
FORGET_MS = 20_000.0
# How long the runs that an earlier holder began wait for their jobs.
ORPHAN_MS = 800.0
PAST_END_MS = 5000.0
PROBE_MS = 120.0
# Added to a run's number where the worker has seen a later one.
OLD_RUN_STEP = 1000
FENCED_PAUSE_MS = 500.0
CALLS_A_FENCE = 1_000_000


class RunEnd(enum.Enum):
    """How a run ended for its task: LOST says that it did not end well."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


_ENDS = {EndKind.DONE: RunEnd.DONE, EndKind.FAILED: RunEnd.FAILED}


class FleetListener(abc.ABC):
    """Who hears how runs end."""

    @abc.abstractmethod
    def on_run_end(self, run: Run, end: RunEnd, worker: Worker) -> None:
        """Learns that a run has ended and its room is free."""

    @abc.abstractmethod
    def on_foreign_end(self, row: EndedRow, worker: Worker) -> None:
        """Learns of the end of a run that an earlier holder began."""

    @abc.abstractmethod
    def on_ticket_rejected(self, run: Run, worker: Worker) -> None:
        """Learns that a worker did not take the advisor's ticket."""

    @abc.abstractmethod
    def on_fenced(self, worker: Worker) -> None:
        """Learns that a worker obeys a higher fence."""


class Fleet:
    """All workers that this node holds.

    Attributes:
        workers: by name.
        actions: orders to send; the caller empties it.
        foreign: runs that an earlier holder began, by task.
        fence: goes with every order.
        timing: the times that workers keep.
        is_standby: whether another node may claim what an earlier one began.
        confirmed_ms: until when surely no other node held the workers, and so
            none renewed a lease. A stand-by never knows.
        serves_kept: whether kept jobs are in use, as a stand-by was told.
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
        self.serves_kept = False
        self.confirmed_ms = 0.0
        self.workers: dict[str, Worker] = {}
        self.actions: list[PoolAction] = []
        self.foreign: dict[TaskId, Run] = {}
        self._gone: list[str] = []
        self._past_ends: dict[TaskId, tuple[float, EndKind]] = {}
        self._probe_at_ms: dict[str, float] = {}
        self._holds = HoldSchedule(self.workers)

    # Questions.

    def is_adopted_since(self, since_ms: float) -> bool:
        """Tells whether every worker obeys an order sent after a time.

        What runs there is then known, and no other holder can start more.
        """
        return all(
            one.is_adopted and one.obeyed_ms > since_ms
            for one in self.workers.values()
        )

    def ask_all(self) -> None:
        """Asks every worker anew what runs there, some at a time."""
        self._holds.asked_ms = self._clock.now_ms()
        self._ask_some()

    def _ask_some(self) -> None:
        for worker in self._holds.take_to_ask():
            self._hold(worker, 0)

    def take_gone(self) -> list[str]:
        """Returns the workers whose lives were over since the last call."""
        gone = self._gone
        self._gone = []
        return gone

    def past_end(self, task_id: TaskId) -> EndKind | None:
        """Returns how a run of an earlier holder ended, None if unknown."""
        known = self._past_ends.get(task_id)
        return known[1] if known else None

    # Workers that come and go.

    def on_worker(self, info: WorkerInfo) -> None:
        """Takes a worker's statement."""
        known = self.workers.get(info.name)
        if known is None:
            # Calls of an earlier part as holder must not be taken for this
            # one's, so their numbers are kept apart.
            first_call = self.fence * CALLS_A_FENCE
            now_ms = self._clock.now_ms()
            worker = Worker(info, now_ms, first_call)
            # An earlier holder may have given it a lease just now.
            worker.on_lease_sent(now_ms, self.timing.lease_ms)
            self.workers[info.name] = worker
            _log_known(info)
        elif info.sequence >= known.info.sequence:
            if info.state is not known.info.state:
                _log_known(info)
            known.info = info

    def on_worker_left(self, name: str) -> None:
        """Learns that a worker's life is over."""
        worker = self.workers.pop(name, None)
        if worker is None:
            return
        worker.is_gone = True
        self._gone.append(name)
        self._holds.on_answer(name)
        emit(Event.WORKER_GONE, worker=name, runs=len(worker.runs))
        self._probe_at_ms.pop(name, None)
        for run in list(worker.runs.values()):
            self._end(worker, run, RunEnd.LOST)

    # Orders.

    def start(
        self, worker: Worker, task: Task, work_ms: float, ticket: str = ""
    ) -> None:
        """Starts a task's next run at a worker that has room."""
        now_ms = self._clock.now_ms()
        task.last_run += 1
        run = Run(
            task.id, task.last_run, worker.name, task, RunState.STARTING, now_ms
        )
        run.expect(work_ms, worker.speed)
        task.run = run
        worker.reserve(run)
        lease_ms = self.timing.lease_ms
        worker.on_lease_sent(now_ms, lease_ms)
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
        self._hear_of_end(worker, now_ms)

    def _hear_of_end(self, worker: Worker, now_ms: float) -> None:
        """Sees to it that a hold waits for the end of what was started."""
        if worker.open_hold and worker.hold_wait_ms <= HOLD_WAIT_MS:
            return
        worker.open_hold = 0
        worker.next_hold_ms = now_ms
        self.renew(worker)

    def stop(self, run: Run) -> None:
        """Stops a run."""
        worker = self.workers.get(run.worker)
        if worker is None:
            return
        if run.state is not RunState.DOUBTFUL:
            run.state = RunState.STOPPING
        self._order_stop(worker, run)

    def _order_stop(self, worker: Worker, run: Run) -> None:
        self.actions.append(
            StopRun(
                worker.name,
                worker.info.address,
                run.task_id,
                run.number,
                self.fence,
            )
        )

    def _hold(self, worker: Worker, wait_ms: int) -> None:
        now_ms = self._clock.now_ms()
        lease_ms = self.timing.lease_ms
        until_ms: float | None = None
        if worker.is_reachable and not worker.is_lease_withheld:
            until_ms = worker.lease_until(now_ms, lease_ms)
        if until_ms is not None:
            worker.on_lease_sent(now_ms, lease_ms)
        worker.hold_call += 1
        self.actions.append(
            HoldWorker(
                worker.name,
                worker.info.address,
                worker.seen_upto,
                wait_ms,
                until_ms,
                self.fence,
                worker.hold_call,
            )
        )

    # Answers.

    def on_start_answer(
        self, name: str, task_id: TaskId, number: int, answer: OrderAnswer
    ) -> None:
        """Takes a worker's answer to a start."""
        worker = self.workers.get(name)
        if worker is None:
            return
        self._note_answer(worker, answer.clock_ms)
        run = worker.runs.get(task_id)
        is_current = run is not None and run.number == number
        if not is_current or run.state is not RunState.STARTING:
            self._note_result(worker, answer.result)
            return
        match answer.result:
            case OrderResult.DONE:
                run.state = RunState.RUNNING
                run.answered_ms = self._clock.now_ms()
                return
            case OrderResult.LOST:
                run.state = RunState.DOUBTFUL
                emit(Event.RUN_DOUBTFUL, **_names(run))
                self._order_stop(worker, run)
            case OrderResult.OLD_RUN:
                run.task.last_run += OLD_RUN_STEP
                self._end(worker, run, RunEnd.LOST)
            case OrderResult.BAD_ORDER:
                self._end(worker, run, RunEnd.FAILED)
            case OrderResult.NO_TICKET:
                self._listener.on_ticket_rejected(run, worker)
                self._end(worker, run, RunEnd.LOST)
            case _:
                self._end(worker, run, RunEnd.LOST)
        self._note_result(worker, answer.result)

    def _note_result(self, worker: Worker, result: OrderResult) -> None:
        """Draws conclusions about the worker from how it took an order."""
        match result:
            case OrderResult.FENCED:
                self._on_fenced(worker)
            case OrderResult.GONE:
                self.on_worker_left(worker.name)
            case OrderResult.UNHEALTHY | OrderResult.NO_ROOM:
                worker.set_aside(self._clock.now_ms(), result.value)
            case OrderResult.UNREACHED:
                self._on_unreachable(worker)

    def on_stop_answer(
        self, name: str, task_id: TaskId, number: int, answer: OrderAnswer
    ) -> None:
        """Takes a worker's answer to a stop."""
        worker = self.workers.get(name)
        if worker is None:
            return
        self._note_answer(worker, answer.clock_ms)
        run = worker.runs.get(task_id)
        if run is not None and run.number == number:
            self._on_stop_result(worker, run, answer.result)
        self._note_result(worker, answer.result)

    def _on_stop_result(
        self, worker: Worker, run: Run, result: OrderResult
    ) -> None:
        now_ms = self._clock.now_ms()
        if result in (OrderResult.DONE, OrderResult.OLD_RUN):
            run.stopped_ms = now_ms
            self._probe_at_ms[worker.name] = now_ms + self.timing.stop_ms + 5.0
        elif result in (OrderResult.LOST, OrderResult.UNREACHED):
            run.since_ms = now_ms

    def on_hold_answer(
        self, name: str, call: int, sent_ms: float, answer: HoldAnswer
    ) -> None:
        """Takes a worker's answer to a hold."""
        worker = self.workers.get(name)
        if worker is None:
            return
        now_ms = self._clock.now_ms()
        if call == worker.open_hold:
            worker.open_hold = 0
        self._holds.on_answer(name)
        if answer.result is not OrderResult.DONE:
            worker.next_hold_ms = now_ms + self._holds.retry_ms
            self._on_hold_failed(worker, answer.result)
            return
        self._note_answer(worker, answer.clock_ms)
        self._on_reachable(worker)
        for row in answer.ended:
            self._on_ended(worker, row)
        self._on_running(worker, answer.running, sent_ms)
        worker.next_hold_ms = now_ms + self._holds.pause_ms(worker)
        self._pace(worker, now_ms)
        worker.is_adopted = True
        worker.obeyed_ms = max(worker.obeyed_ms, sent_ms)
        self.renew(worker)

    def _pace(self, worker: Worker, now_ms: float) -> None:
        """Paces what fills by the figures of what serves beside it."""
        for run, percent in choose_pace(worker, now_ms).items():
            worker.paced_ms = now_ms
            run.percent = percent
            self.actions.append(
                PaceRun(
                    worker.name,
                    worker.info.address,
                    run.task_id,
                    run.number,
                    percent,
                    self.fence,
                )
            )
            emit(Event.RUN_PACED, **_names(run), percent=percent)

    def _on_hold_failed(self, worker: Worker, result: OrderResult) -> None:
        if result is OrderResult.LOST:
            self._on_unreachable(worker)
        else:
            self._note_result(worker, result)

    def _note_answer(self, worker: Worker, clock_ms: float | None) -> None:
        now_ms = self._clock.now_ms()
        if clock_ms is not None:
            worker.answered_ms = now_ms
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
            silent_ms=round(now_ms - worker.answered_ms),
            runs=len(worker.runs),
        )

    def _on_reachable(self, worker: Worker) -> None:
        if worker.is_reachable:
            return
        worker.is_reachable = True
        silent_ms = self._clock.now_ms() - worker.unreachable_since_ms
        emit(Event.WORKER_BACK, worker=worker.name, silent_ms=round(silent_ms))

    def _on_fenced(self, worker: Worker) -> None:
        if worker.is_adopted:
            emit(Event.WORKER_FENCED, worker=worker.name, fence=self.fence)
        worker.is_adopted = False
        worker.next_hold_ms = self._clock.now_ms() + FENCED_PAUSE_MS
        self._listener.on_fenced(worker)

    # What a worker lists.

    def _on_ended(self, worker: Worker, row: EndedRow) -> None:
        if row.sequence <= worker.noted_upto:
            return
        worker.noted_upto = row.sequence
        run = worker.runs.get(row.task_id)
        is_listed = run is not None and run.number == row.number
        if not is_listed or run.is_foreign:
            self._note_past_end(worker, row)
        if is_listed:
            run.end_sequence = row.sequence
            run.saved = row.saved
            self._end(worker, run, _ENDS.get(row.kind, RunEnd.LOST))

    def _note_past_end(self, worker: Worker, row: EndedRow) -> None:
        if row.kind not in (EndKind.DONE, EndKind.FAILED):
            return
        self._past_ends[row.task_id] = (self._clock.now_ms(), row.kind)
        self._listener.on_foreign_end(row, worker)

    def on_stored(self, name: str, sequence: int) -> None:
        """Learns that an end that a worker lists is stored."""
        worker = self.workers.get(name)
        if worker is None:
            return
        worker.on_stored(sequence)
        if not worker.has_unstored_ends and not worker.open_hold:
            worker.next_hold_ms = self._clock.now_ms()
            self.renew(worker)

    def _on_running(
        self, worker: Worker, rows: list[RunningRow], sent_ms: float
    ) -> None:
        listed = {(row.task_id, row.number): row for row in rows}
        for row in rows:
            known = worker.runs.get(row.task_id)
            if known is None:
                self._adopt(worker, row)
            elif known.number == row.number:
                known.saved = row.saved
                known.percent = row.percent
                known.figure = row.figure
                self._confirm(known)
        for run in list(worker.runs.values()):
            if (run.task_id, run.number) not in listed:
                self._on_absent(worker, run, sent_ms)

    def _confirm(self, run: Run) -> None:
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.answered_ms = self._clock.now_ms()

    def _on_absent(self, worker: Worker, run: Run, sent_ms: float) -> None:
        """Learns that a worker does not list a run, nor its end."""
        match run.state:
            case RunState.RUNNING:
                if run.answered_ms is not None and run.answered_ms < sent_ms:
                    self._end(worker, run, RunEnd.LOST)
            case RunState.DOUBTFUL | RunState.STOPPING:
                settled_ms = run.stopped_ms
                if settled_ms is None:
                    return
                if settled_ms + self.timing.stop_ms <= sent_ms:
                    self._end(worker, run, RunEnd.LOST)

    def _adopt(self, worker: Worker, row: RunningRow) -> None:
        """Notes a run whose size is not known; nothing is placed beside it."""
        run = Run(
            row.task_id,
            row.number,
            worker.name,
            None,
            RunState.RUNNING,
            self._clock.now_ms(),
        )
        run.answered_ms = run.since_ms
        run.saved = row.saved
        run.percent = row.percent
        run.figure = row.figure
        worker.reserve(run)
        self.foreign[row.task_id] = run
        if self.is_standby:
            # The holder may start the task elsewhere once the lease that it
            # gave has lapsed, so it must not be renewed here.
            worker.is_lease_withheld = True
            self.stop(run)

    def leave_to_holder(self, row: EndedRow, worker: Worker) -> None:
        """Has a worker list an end until the holder takes note of it.

        Where kept jobs are in use, the holder may start the task elsewhere
        meanwhile, so the lease that it gave must lapse first.
        """
        worker.await_storing(row.sequence)
        if self.serves_kept:
            worker.foreign_end_ms = self._clock.now_ms()

    def claim(self, task: Task, work_ms: float) -> bool:
        """Gives a run that an earlier holder began to its task.

        Returns:
            Whether there is one.
        """
        run = self.foreign.pop(task.id, None)
        if run is None:
            return False
        worker = self.workers[run.worker]
        worker.release(run)
        run.task = task
        run.expect(work_ms, worker.speed)
        run.cpu = task.step.room_cpu
        run.memory_mb = task.step.memory_mb
        run.gpu = task.step.gpu
        worker.reserve(run)
        task.run = run
        task.last_run = max(task.last_run, run.number)
        return True

    def _end(self, worker: Worker, run: Run, end: RunEnd) -> None:
        if end is not RunEnd.DONE:
            emit(
                Event.RUN_LOST,
                **_names(run),
                state=run.state.value,
                end=end.value,
                ran_ms=round(self._clock.now_ms() - run.since_ms),
            )
        worker.release(run)
        self.foreign.pop(run.task_id, None)
        self._listener.on_run_end(run, end, worker)

    # Time.

    def tick(self) -> None:
        """Lets time act: holds, stops again, lets leases lapse."""
        now_ms = self._clock.now_ms()
        for worker in self._holds.due_workers():
            self._tick_worker(worker, now_ms)
        self._ask_some()
        self._stop_orphans(now_ms)
        for task_id, (noted_ms, _) in list(self._past_ends.items()):
            if now_ms - noted_ms > PAST_END_MS:
                del self._past_ends[task_id]

    def _tick_worker(self, worker: Worker, now_ms: float) -> None:
        if not worker.is_reachable:
            silent_ms = now_ms - worker.unreachable_since_ms
            if silent_ms > FORGET_MS:
                self.on_worker_left(worker.name)
                return
            if worker.lease_ends_ms < min(now_ms, self.confirmed_ms):
                self._let_lapse(worker)
        if self.is_standby and worker.is_known:
            worker.withhold_lease(worker.foreign_end_ms, now_ms)
        self._stop_again(worker, now_ms)
        if self._is_probe_due(worker, now_ms):
            self._probe_at_ms[worker.name] = now_ms + PROBE_MS
            self._hold(worker, 0)
        self.renew(worker)

    def renew(self, worker: Worker) -> None:
        """Holds a worker again, if no hold is under way."""
        now_ms = self._clock.now_ms()
        if worker.open_hold or now_ms < worker.next_hold_ms:
            return
        if not worker.is_adopted and not self._holds.may_ask(worker):
            return
        worker.hold_wait_ms = self._holds.wait_ms(worker)
        self._hold(worker, worker.hold_wait_ms)
        worker.open_hold = worker.hold_call

    def _is_probe_due(self, worker: Worker, now_ms: float) -> bool:
        wanted_ms = self._probe_at_ms.get(worker.name)
        if any(
            run.state is RunState.DOUBTFUL or run.state is RunState.STOPPING
            for run in worker.runs.values()
        ):
            return wanted_ms is not None and now_ms >= wanted_ms
        if wanted_ms is not None and now_ms < wanted_ms:
            return False
        return worker.is_reachable and any(
            run.is_overdue(now_ms) for run in worker.runs.values()
        )

    def _let_lapse(self, worker: Worker) -> None:
        """Ends what a silent worker cannot be running any more."""
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING or run.answered_ms is not None:
                self._end(worker, run, RunEnd.LOST)

    def _stop_again(self, worker: Worker, now_ms: float) -> None:
        for run in worker.runs.values():
            is_open = run.state in (RunState.DOUBTFUL, RunState.STOPPING)
            if not is_open or run.stopped_ms is not None:
                continue
            if now_ms - run.since_ms > RESTOP_MS:
                run.since_ms = now_ms
                self._order_stop(worker, run)

    def _stop_orphans(self, now_ms: float) -> None:
        for run in list(self.foreign.values()):
            is_waiting = run.state is RunState.RUNNING
            if is_waiting and now_ms - run.since_ms > ORPHAN_MS:
                self.stop(run)


def _names(run: Run) -> dict[str, object]:
    """Returns the fields that name a run in the log."""
    return {
        "job": run.task_id.job,
        "step": run.task_id.step,
        "index": run.task_id.index,
        "run": run.number,
        "worker": run.worker,
    }


def _log_known(info: WorkerInfo) -> None:
    emit(
        Event.WORKER_KNOWN,
        worker=info.name,
        state=info.state.value,
        sequence=info.sequence,
        hall=info.hall,
    )
