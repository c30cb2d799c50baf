"""A worker of a pool that keeps the promises of its protocol, for tests.

It can fail, stand still, leave orders unanswered and carry them out late. What
it ran is recorded at its site.
"""

import functools
import random
from collections.abc import Callable
from typing import Protocol

from clayfield.base import Clock
from clayfield.pool import (
    EndedRow,
    EndKind,
    HoldAnswer,
    HoldWorker,
    OrderResult,
    PaceRun,
    RunningRow,
    StartRun,
    StopRun,
    TaskId,
)
from clayfield.testbed.fakeadvisor import FakeAdvisor
from clayfield.wire.jobs import WorkerInfo

LEASE_MS = 1000.0
STOP_MS = 50.0
GANG_TIMEOUT_MS = 3000.0
PACE_MS = 100.0
CALM_TAIL_MS = 50.0
PLACE_CPU = 6800


def write_checkpoint(task_id: TaskId, done_ms: float) -> str:
    """Returns a checkpoint of a task."""
    numbers = f"{task_id.time}/{task_id.step}/{task_id.index}"
    return f"{task_id.job}/{numbers}/{done_ms}"


def read_checkpoint(text: str, task_id: TaskId) -> float:
    """Returns the work that a checkpoint tells of, in ms.

    Raises:
        ValueError: it is another task's.
    """
    start, _, done_ms = text.rpartition("/")
    if start != write_checkpoint(task_id, 0.0).rpartition("/")[0]:
        raise ValueError(f"{text} is not of {task_id}")
    return float(done_ms)


class WorkerSite(Protocol):
    """Where a worker stands, and what is recorded there.

    Attributes:
        clock: the worker's.
        rng: spreads how long tasks take.
        ran: every run that was carried out.
        over_room: tasks that were started on a full worker.
        gangs: the gangs at work or waiting, by job and step.
        advised: the keys of jobs that need the advisor's ticket.
        advisor: who gives tickets.
        filling: the keys of jobs that fill.
    """

    clock: Clock
    rng: random.Random
    ran: list["RanTask"]
    over_room: list[TaskId]
    gangs: dict[tuple[str, int], "FakeGang"]
    advised: set[str]
    advisor: FakeAdvisor
    filling: set[str]

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Has something happen later."""


class FakeGang:
    """The tasks of a gang, as the machines that run them know it.

    Attributes:
        size: how many tasks it has.
    """

    def __init__(self, size: int):
        self.size = size
        self._present: dict[int, list[tuple[FakeWorker, RanTask]]] = {}

    def join(self, worker: "FakeWorker", ran: "RanTask") -> bool:
        """Takes a task of a run; returns whether all are present."""
        members = self._present.setdefault(ran.number, [])
        members.append((worker, ran))
        return len(members) == self.size

    def members(self, number: int) -> list[tuple["FakeWorker", "RanTask"]]:
        """Returns the tasks of a run that were present."""
        return list(self._present.get(number, ()))


class RanTask:
    """A run that a worker carried out.

    Attributes:
        task_id: the task.
        number: of the run.
        worker: where.
        start_ms: when it began.
        end_ms: when it ended, None while it runs.
        kind: how it ended.
        from_ms: the work that was done in runs before, as its checkpoint said.
        percent: the share of its full pace at which it works.
        is_noted: whether the worker was told to forget its end, and its lease
            had not lapsed before.
    """

    __slots__ = (
        "end_ms",
        "from_ms",
        "is_noted",
        "kind",
        "number",
        "percent",
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
        self.is_noted = False
        self.from_ms = 0.0
        self.percent = 100


class FakeWorker:
    """A worker that keeps the promises of its protocol.

    Attributes:
        info: what it says of itself.
        task_ms: how long a task takes here.
        spread: by which part of that time tasks differ.
        late_share: share of starts left unanswered and carried out late.
        is_failing: whether every task fails.
        is_hanging: whether tasks stand still.
        is_gone: whether another life answers at its address.
        disturb_ms: by how much a task that fills, at its full pace, lengthens
            the tail of those that serve.
        is_guarding: whether it rejects what does not fit.
    """

    def __init__(self, site: WorkerSite, info: WorkerInfo, task_ms: float):
        self.info = info
        self.task_ms = task_ms
        self.spread = 0.0
        self.late_share = 0.0
        self.is_failing = False
        self.is_hanging = False
        self.is_gone = False
        self.is_guarding = True
        self.disturb_ms = 0.0
        self._site = site
        self._fence = 0
        self._lease_until_ms = 0.0
        self._running: dict[TaskId, RanTask] = {}
        self._highest: dict[TaskId, int] = {}
        self._ended: list[EndedRow] = []
        self._unnoted: dict[int, RanTask] = {}
        self._sequence = 0
        self._waiting: list[Callable[[], None]] = []

    def start(self, order: StartRun) -> OrderResult:
        """Starts a run, unless something speaks against it."""
        if order.fence < self._fence:
            return OrderResult.FENCED
        self._fence = order.fence
        if order.lease_until_ms <= self._site.clock.now_ms():
            return OrderResult.TOO_LATE
        self._renew(order.lease_until_ms)
        running = self._running.get(order.task_id)
        if running and running.number == order.number:
            return OrderResult.DONE
        is_advised = order.task_id.job in self._site.advised
        if is_advised and not self._site.advisor.accepts(order):
            return OrderResult.NO_TICKET
        if self._highest.get(order.task_id, 0) >= order.number:
            return OrderResult.OLD_RUN
        if not self._has_room(order.task_id):
            if self.is_guarding:
                return OrderResult.NO_ROOM
            self._site.over_room.append(order.task_id)
        self._begin(order)
        return OrderResult.DONE

    def _has_room(self, task_id: TaskId) -> bool:
        filling = self._site.filling
        if task_id.job in filling:
            return True
        placed = sum(one.job not in filling for one in self._running)
        return (placed + 1) * PLACE_CPU <= self.info.cpu

    def _begin(self, order: StartRun) -> None:
        now_ms = self._site.clock.now_ms()
        ran = RanTask(order.task_id, order.number, self.info.name, now_ms)
        self._running[order.task_id] = ran
        self._highest[order.task_id] = order.number
        self._site.ran.append(ran)
        if order.checkpoint:
            ran.from_ms = read_checkpoint(order.checkpoint, order.task_id)
        kind = EndKind.FAILED if self.is_failing else EndKind.DONE
        spread = self._site.rng.uniform(1 - self.spread, 1 + self.spread)
        gang = self._site.gangs.get((order.task_id.job, order.task_id.step))
        if gang:
            self._join(gang, ran, kind)
        elif not self.is_hanging:
            took_ms = max(0.0, self.task_ms * spread - ran.from_ms)
            self._site.after(took_ms, lambda: self._end(ran, kind))

    def _join(self, gang: FakeGang, ran: RanTask, kind: EndKind) -> None:
        """Begins to work once all tasks of the run are present."""
        if not gang.join(self, ran):
            alone = functools.partial(self._end_alone, gang, ran)
            self._site.after(GANG_TIMEOUT_MS, alone)
            return
        for worker, member in gang.members(ran.number):
            end = functools.partial(worker._end, member, kind)
            self._site.after(self.task_ms, end)

    def _end_alone(self, gang: FakeGang, ran: RanTask) -> None:
        if len(gang.members(ran.number)) < gang.size:
            self._end(ran, EndKind.ALONE)

    def _break_gang(self, ran: RanTask) -> None:
        """Ends the others of a gang of which one has ended badly."""
        gang = self._site.gangs.get((ran.task_id.job, ran.task_id.step))
        for worker, member in gang.members(ran.number) if gang else ():
            worker._end(member, EndKind.BROKEN)

    def _end(self, ran: RanTask, kind: EndKind) -> None:
        if self._running.get(ran.task_id) is not ran:
            return
        del self._running[ran.task_id]
        ran.end_ms = self._site.clock.now_ms()
        ran.kind = kind
        self._sequence += 1
        self._ended.append(
            EndedRow(
                self._sequence,
                ran.task_id,
                ran.number,
                kind,
                self._checkpoint(ran),
            )
        )
        self._unnoted[self._sequence] = ran
        waiting = self._waiting
        self._waiting = []
        for answer in waiting:
            answer()
        if kind is not EndKind.DONE:
            self._break_gang(ran)

    def stop(self, order: StopRun) -> OrderResult:
        """Stops a run; one that is not there can never start any more."""
        if order.fence < self._fence:
            return OrderResult.FENCED
        self._fence = order.fence
        known = self._highest.get(order.task_id, 0)
        self._highest[order.task_id] = max(known, order.number)
        ran = self._running.get(order.task_id)
        if ran and ran.number == order.number:
            self._site.after(STOP_MS, lambda: self._end(ran, EndKind.STOPPED))
        return OrderResult.DONE

    def pace(self, order: PaceRun) -> None:
        """Sets the pace of a run, a little later."""
        ran = self._running.get(order.task_id)
        if order.fence < self._fence or ran is None:
            return
        set_pace = functools.partial(setattr, ran, "percent", order.percent)
        self._site.after(PACE_MS, set_pace)

    @property
    def tail_ms(self) -> float:
        """The tail of the times of the answers that are given here."""
        filling = [
            ran.percent / 100
            for ran in self._running.values()
            if ran.task_id.job in self._site.filling
        ]
        return CALM_TAIL_MS + self.disturb_ms * sum(filling)

    def hold(
        self, order: HoldWorker, answer: Callable[[HoldAnswer], None]
    ) -> None:
        """Renews the lease; answers at an end or after the wait."""
        if self.is_gone:
            answer(HoldAnswer(OrderResult.GONE))
            return
        if order.fence < self._fence:
            answer(HoldAnswer(OrderResult.FENCED))
            return
        self._fence = order.fence
        if order.lease_until_ms is not None:
            self._renew(order.lease_until_ms)
        self._note_ends(order.seen_upto)
        if self._ended or not order.wait_ms:
            answer(self._list())
            return
        is_open = True

        def answer_once() -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                answer(self._list())

        self._waiting.append(answer_once)
        self._site.after(order.wait_ms, answer_once)

    def _note_ends(self, seen_upto: int) -> None:
        self._ended = [row for row in self._ended if row.sequence > seen_upto]
        for sequence in [one for one in self._unnoted if one <= seen_upto]:
            self._unnoted.pop(sequence).is_noted = True

    def _list(self) -> HoldAnswer:
        running = [
            RunningRow(
                ran.task_id,
                ran.number,
                ran.percent,
                self._checkpoint(ran),
                self.tail_ms,
            )
            for ran in self._running.values()
        ]
        now_ms = self._site.clock.now_ms()
        return HoldAnswer(OrderResult.DONE, now_ms, running, self._ended[:])

    def _checkpoint(self, ran: RanTask) -> str:
        passed_ms = self._site.clock.now_ms() - ran.start_ms
        return write_checkpoint(ran.task_id, ran.from_ms + passed_ms)

    def _renew(self, until_ms: float) -> None:
        now_ms = self._site.clock.now_ms()
        until_ms = min(until_ms, now_ms + LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        left_ms = self._lease_until_ms - now_ms
        self._site.after(left_ms, self._let_lapse)

    def _let_lapse(self) -> None:
        if self._site.clock.now_ms() < self._lease_until_ms:
            return
        self._unnoted.clear()
        for ran in list(self._running.values()):
            self._end(ran, EndKind.LAPSED)
