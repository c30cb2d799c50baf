"""A fake worker that follows the worker protocol, for tests.

It checks fencing tokens, leases, run numbers and tickets as a real worker
does. Tests can make its tasks fail or hang. Every run is recorded at the site
of the worker.
"""

import functools
import math
import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from clayfield.base import Clock
from clayfield.pool import (
    CommandResult,
    EndedRun,
    EndKind,
    PollReply,
    PollWorker,
    RunningRun,
    StartRun,
    StopRun,
    TaskId,
    ThrottleRun,
)
from clayfield.testbed.fake_advisor import FakeAdvisor
from clayfield.wire.jobs import WorkerInfo

LEASE_MS = 1000.0
STOP_DELAY_MS = 50.0
GANG_TIMEOUT_MS = 3000.0
THROTTLE_DELAY_MS = 100.0
IDLE_TAIL_MS = 50.0
SLOT_CPU = 6800
MAX_LISTED_ENDS = 500
# Sums of times differ by less than this because of rounding.
ROUNDING_MS = 1e-6


def write_checkpoint(task_id: TaskId, done_ms: float) -> str:
    """Returns the checkpoint of a task after `done_ms` of work."""
    numbers = f"{task_id.iteration}/{task_id.step}/{task_id.index}"
    return f"{task_id.job}/{numbers}/{done_ms}"


def read_checkpoint(
    text: str, task_id: TaskId, is_of_gang: bool = False
) -> float:
    """Returns the work done up to a checkpoint, in ms.

    Args:
        text: the checkpoint.
        task_id: the task that is to resume from it.
        is_of_gang: whether it may be that of any task of its step.

    Raises:
        ValueError: the checkpoint belongs to another task.
    """
    start, _, done_ms = text.rpartition("/")
    expected = write_checkpoint(task_id, 0.0).rpartition("/")[0]
    if is_of_gang:
        start = start.rpartition("/")[0]
        expected = expected.rpartition("/")[0]
    if start != expected:
        raise ValueError(f"checkpoint {text!r} does not belong to {task_id}")
    return float(done_ms)


class WorkerSite(Protocol):
    """The surroundings of a fake worker: clock, advisor and records.

    Attributes:
        clock: the clock of the worker.
        rng: varies the duration of tasks.
        runs: every run that a worker executed.
        over_capacity: the tasks that were started on a worker without free CPU.
        gangs: the gangs, by job and step.
        advised_jobs: keys of the jobs that need a ticket of the advisor.
        advisor: checks the tickets of starts.
        batch_jobs: keys of the jobs with batch tasks.
    """

    clock: Clock
    rng: random.Random
    runs: list["ExecutedRun"]
    over_capacity: list[TaskId]
    gangs: dict[tuple[str, int], "FakeGang"]
    advised_jobs: set[str]
    advisor: FakeAdvisor
    batch_jobs: set[str]

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a call after a delay."""


class FakeGang:
    """A gang: tasks that must all run at the same time.

    Attributes:
        size: number of tasks in the gang.
    """

    def __init__(self, size: int):
        self.size = size
        self._present: dict[int, list[tuple[FakeWorker, ExecutedRun]]] = {}

    def join(self, worker: "FakeWorker", run: "ExecutedRun") -> bool:
        """Adds a task of a run; returns whether all tasks have started."""
        present_runs = self._present.setdefault(run.number, [])
        present_runs.append((worker, run))
        return len(present_runs) == self.size

    def present_runs(
        self, number: int
    ) -> list[tuple["FakeWorker", "ExecutedRun"]]:
        """Returns the tasks that started in a run, with their workers."""
        return list(self._present.get(number, ()))


class ExecutedRun:
    """A run that a worker executed.

    Attributes:
        task_id: the task.
        number: the number of the run.
        worker: name of the worker.
        start_ms: time of the start.
        end_ms: time of the end, None while it runs.
        kind: how it ended, None while it runs.
        checkpoint: the checkpoint that its start brought, "" for none.
        resumed_ms: work done by earlier runs according to the checkpoint, in
            ms.
        speed_percent: speed of the run, in percent of its full speed.
        is_acked: whether its end was acknowledged before the worker's lease
            expired.
    """

    __slots__ = (
        "checkpoint",
        "end_ms",
        "resumed_ms",
        "is_acked",
        "kind",
        "number",
        "speed_percent",
        "start_ms",
        "task_id",
        "worker",
    )

    def __init__(
        self, task_id: TaskId, number: int, worker: str, start_ms: float
    ):
        self.task_id = task_id
        self.number = number
        self.worker = worker
        self.start_ms = start_ms
        self.end_ms: float | None = None
        self.kind: EndKind | None = None
        self.is_acked = False
        self.checkpoint = ""
        self.resumed_ms = 0.0
        self.speed_percent = 100


class FakeWorker:
    """A worker that follows the worker protocol.

    Attributes:
        info: its description, as announced in heartbeats.
        task_ms: mean duration of a task, in ms.
        duration_spread: largest relative deviation from that duration.
        delayed_start_share: share of the start requests that get no reply and
            are executed late.
        is_failing: whether every task fails.
        is_hung: whether tasks never end.
        is_replaced: whether another incarnation answers at its address.
        interference_ms: by how much one batch task at full speed raises the
            tail latency of the latency-sensitive tasks, in ms.
        enforces_capacity: whether it rejects a start without enough free CPU.
        max_listed_ends: most ends that one reply to a poll lists.
    """

    def __init__(self, site: WorkerSite, info: WorkerInfo, task_ms: float):
        self.info = info
        self.task_ms = task_ms
        self.duration_spread = 0.0
        self.delayed_start_share = 0.0
        self.is_failing = False
        self.is_hung = False
        self.is_replaced = False
        self.enforces_capacity = True
        self.max_listed_ends = MAX_LISTED_ENDS
        self.interference_ms = 0.0
        self._site = site
        self._started_ms = 0.0
        self._fence = 0
        self._lease_until_ms = 0.0
        self._running: dict[TaskId, ExecutedRun] = {}
        self._last_numbers: dict[TaskId, int] = {}
        self._ended: list[EndedRun] = []
        self._unacked: dict[int, ExecutedRun] = {}
        self._sequence = 0
        self._pending_polls: list[Callable[[], None]] = []

    @property
    def clock_ms(self) -> float:
        """Time on the worker's clock, which starts anew with the worker."""
        return self._site.clock.now_ms() - self._started_ms

    def restart(self) -> None:
        """Ends all runs and starts the worker again under its name.

        It then has none of its former state: no fencing token, no lease, no
        ends, and all of its numbers start anew.
        """
        now_ms = self._site.clock.now_ms()
        for run in self._running.values():
            run.end_ms = now_ms
        self.info = msgspec.structs.replace(
            self.info, sequence=1, born_ms=round(self._site.clock.wall_ms())
        )
        self._started_ms = now_ms
        self._fence = 0
        self._lease_until_ms = 0.0
        self._running = {}
        self._last_numbers = {}
        self._ended = []
        self._unacked = {}
        self._sequence = 0
        self._pending_polls = []

    def is_running(self, task_id: TaskId, number: int) -> bool:
        """Returns whether a run of a task is on the worker."""
        run = self._running.get(task_id)
        return run is not None and run.number == number

    def start(self, request: StartRun) -> CommandResult:
        """Returns the result of a start request.

        Raises:
            ValueError: the end of the lease is not finite, so that no request
                could contain it.
        """
        if not math.isfinite(request.lease_until_ms):
            raise ValueError(f"lease ends at {request.lease_until_ms}")
        if request.fence < self._fence:
            return CommandResult.FENCED
        self._fence = request.fence
        if request.lease_until_ms <= self.clock_ms:
            return CommandResult.TOO_LATE
        self._renew(request.lease_until_ms)
        running = self._running.get(request.task_id)
        if running and running.number == request.number:
            return CommandResult.DONE
        is_advised = request.task_id.job in self._site.advised_jobs
        if is_advised and not self._site.advisor.accepts(request):
            return CommandResult.NO_TICKET
        if self._last_numbers.get(request.task_id, 0) >= request.number:
            return CommandResult.OLD_RUN
        if not self._has_capacity(request.task_id):
            if self.enforces_capacity:
                return CommandResult.NO_ROOM
            self._site.over_capacity.append(request.task_id)
        self._begin(request)
        return CommandResult.DONE

    def _has_capacity(self, task_id: TaskId) -> bool:
        batch_jobs = self._site.batch_jobs
        if task_id.job in batch_jobs:
            return True
        placed = len(self._running)
        if batch_jobs:
            placed = sum(run.job not in batch_jobs for run in self._running)
        return (placed + 1) * SLOT_CPU <= self.info.cpu

    def _begin(self, request: StartRun) -> None:
        """Records a new run and schedules its end."""
        now_ms = self._site.clock.now_ms()
        run = ExecutedRun(
            request.task_id, request.number, self.info.name, now_ms
        )
        self._running[request.task_id] = run
        self._last_numbers[request.task_id] = request.number
        self._site.runs.append(run)
        gang = self._site.gangs.get((request.task_id.job, request.task_id.step))
        if request.checkpoint:
            run.checkpoint = request.checkpoint
            run.resumed_ms = read_checkpoint(
                request.checkpoint, request.task_id, gang is not None
            )
        kind = EndKind.FAILED if self.is_failing else EndKind.DONE
        spread = self._site.rng.uniform(
            1 - self.duration_spread, 1 + self.duration_spread
        )
        if gang:
            self._join_gang(gang, run, kind)
        elif not self.is_hung:
            duration_ms = max(0.0, self.task_ms * spread - run.resumed_ms)
            self._site.call_later(duration_ms, lambda: self._end(run, kind))

    def _join_gang(
        self, gang: FakeGang, run: ExecutedRun, kind: EndKind
    ) -> None:
        """Schedules the end of all tasks of a gang once all have started."""
        if not gang.join(self, run):
            expire = functools.partial(self._end_alone, gang, run)
            self._site.call_later(GANG_TIMEOUT_MS, expire)
            return
        for worker, other in gang.present_runs(run.number):
            end = functools.partial(worker._end, other, kind)
            self._site.call_later(self.task_ms, end)

    def _end_alone(self, gang: FakeGang, run: ExecutedRun) -> None:
        """Ends a run of a gang whose other tasks have not all started."""
        if len(gang.present_runs(run.number)) < gang.size:
            self._end(run, EndKind.ALONE)

    def _break_gang(self, run: ExecutedRun) -> None:
        """Ends the other tasks of a gang after one of them did not succeed."""
        gang = self._site.gangs.get((run.task_id.job, run.task_id.step))
        for worker, other in gang.present_runs(run.number) if gang else ():
            worker._end(other, EndKind.BROKEN)

    def _end(self, run: ExecutedRun, kind: EndKind) -> None:
        """Ends a run, if it is running, and replies to the pending polls."""
        if self._running.get(run.task_id) is not run:
            return
        del self._running[run.task_id]
        run.end_ms = self._site.clock.now_ms()
        run.kind = kind
        self._sequence += 1
        self._ended.append(
            EndedRun(
                self._sequence,
                run.task_id,
                run.number,
                kind,
                self._checkpoint(run),
            )
        )
        self._unacked[self._sequence] = run
        pending = self._pending_polls
        self._pending_polls = []
        for reply in pending:
            reply()
        if kind is not EndKind.DONE:
            self._break_gang(run)

    def add_foreign_end(self, task_id: TaskId, number: int = 1) -> None:
        """Lists the end of a run that was never started here."""
        self._sequence += 1
        self._ended.append(
            EndedRun(self._sequence, task_id, number, EndKind.DONE)
        )

    def stop(self, request: StopRun) -> CommandResult:
        """Handles a stop request: stops the run or bars its later start."""
        if request.fence < self._fence:
            return CommandResult.FENCED
        self._fence = request.fence
        last_number = self._last_numbers.get(request.task_id, 0)
        self._last_numbers[request.task_id] = max(last_number, request.number)
        run = self._running.get(request.task_id)
        if run and run.number == request.number:
            self._site.call_later(
                STOP_DELAY_MS, lambda: self._end(run, EndKind.STOPPED)
            )
        return CommandResult.DONE

    def throttle(self, request: ThrottleRun) -> None:
        """Handles a throttle request; it takes effect after a delay."""
        run = self._running.get(request.task_id)
        if request.fence < self._fence or run is None:
            return
        set_percent = functools.partial(
            setattr, run, "speed_percent", request.speed_percent
        )
        self._site.call_later(THROTTLE_DELAY_MS, set_percent)

    @property
    def tail_ms(self) -> float:
        """Tail latency of the latency-sensitive tasks, in ms."""
        speeds = [
            run.speed_percent / 100
            for run in self._running.values()
            if run.task_id.job in self._site.batch_jobs
        ]
        return IDLE_TAIL_MS + self.interference_ms * sum(speeds)

    def poll(
        self, request: PollWorker, send_reply: Callable[[PollReply], None]
    ) -> None:
        """Handles a poll: renews the lease and replies with the runs.

        The reply is sent at once if there are unacknowledged ends, else at the
        next end of a run or after the wait of the poll.
        """
        if self.is_replaced:
            send_reply(PollReply(CommandResult.GONE))
            return
        if request.fence < self._fence:
            send_reply(PollReply(CommandResult.FENCED))
            return
        self._fence = request.fence
        if request.lease_until_ms is not None:
            self._renew(request.lease_until_ms)
        self._drop_acked_ends(request.acked_sequence)
        if self._ended or not request.wait_ms:
            send_reply(self._make_reply())
            return
        is_pending = True

        def reply_once() -> None:
            nonlocal is_pending
            if is_pending:
                is_pending = False
                send_reply(self._make_reply())

        self._pending_polls.append(reply_once)
        self._site.call_later(request.wait_ms, reply_once)

    def _drop_acked_ends(self, acked: int) -> None:
        """Drops the acknowledged ends, up to a sequence number."""
        self._ended = [row for row in self._ended if row.sequence > acked]
        for sequence in [s for s in self._unacked if s <= acked]:
            self._unacked.pop(sequence).is_acked = True

    def _make_reply(self) -> PollReply:
        running = [
            RunningRun(
                run.task_id,
                run.number,
                run.speed_percent,
                self._checkpoint(run),
                self.tail_ms,
            )
            for run in self._running.values()
        ]
        return PollReply(
            CommandResult.DONE,
            self.clock_ms,
            running,
            self._ended[: self.max_listed_ends],
            self.info.born_ms,
            len(self._ended) < self.max_listed_ends,
        )

    def _checkpoint(self, run: ExecutedRun) -> str:
        elapsed_ms = self._site.clock.now_ms() - run.start_ms
        return write_checkpoint(run.task_id, run.resumed_ms + elapsed_ms)

    def _renew(self, until_ms: float) -> None:
        """Renews the lease and schedules the check for its expiry."""
        now_ms = self.clock_ms
        until_ms = min(until_ms, now_ms + LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        remaining_ms = max(0.0, self._lease_until_ms - now_ms)
        self._site.call_later(remaining_ms, self._expire_lease)

    def _expire_lease(self) -> None:
        """Ends all runs if the lease has expired."""
        if self._lease_until_ms - self.clock_ms > ROUNDING_MS:
            return
        self._unacked.clear()
        for run in list(self._running.values()):
            self._end(run, EndKind.LAPSED)
