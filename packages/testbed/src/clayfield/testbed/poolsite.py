"""Entries and workers of a pool on a manual clock, with links that break.

Every message and call takes a fixed time. Halls can be cut off from one
another, workers can leave orders unanswered and carry them out late, fail or
stand still. What ran is recorded, so that a test can tell whether a task ever
ran twice at the same time.
"""

import random
from collections.abc import Callable

from clayfield.pool import (
    AnswerCaller,
    AnswerCancel,
    EndedRow,
    EndKind,
    Entry,
    FleetTiming,
    HoldAnswer,
    HoldWorker,
    OrderAnswer,
    OrderResult,
    RunningRow,
    StartRun,
    StopRun,
    TaskId,
    TellEntry,
)
from clayfield.testbed.timeline import Timeline
from clayfield.wire.cluster import (
    Grant,
    JobEnded,
    NodeGreeting,
    WorkersPush,
)
from clayfield.wire.jobs import (
    Job,
    Limits,
    Route,
    RoutingTable,
    Step,
    WorkerInfo,
    WorkerState,
)
from clayfield.wire.messages import Message

DELAY_MS = 1.0
TICK_MS = 20.0
ORDER_TIMEOUT_MS = 150.0
HOLD_SLACK_MS = 250.0
LEASE_MS = 1000.0
STOP_MS = 50.0
LATE_MS = 3000.0
CALLERS_PATIENCE_MS = 5000.0
PLACE_CPU = 6800


class RanTask:
    """A run that a worker carried out.

    Attributes:
        task_id: the task.
        number: of the run.
        worker: where.
        start_ms: when it began.
        end_ms: when it ended, None while it runs.
        kind: how it ended.
    """

    __slots__ = ("end_ms", "kind", "number", "start_ms", "task_id", "worker")

    def __init__(
        self, task_id: TaskId, number: int, worker: str, start_ms: float
    ):
        self.task_id = task_id
        self.number = number
        self.worker = worker
        self.start_ms = start_ms
        self.end_ms: float | None = None
        self.kind: EndKind | None = None


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
        is_guarding: whether it rejects what does not fit.
    """

    def __init__(self, site: "PoolSite", info: WorkerInfo, task_ms: float):
        self.info = info
        self.task_ms = task_ms
        self.spread = 0.0
        self.late_share = 0.0
        self.is_failing = False
        self.is_hanging = False
        self.is_gone = False
        self.is_guarding = True
        self._site = site
        self._fence = 0
        self._lease_until_ms = 0.0
        self._running: dict[TaskId, RanTask] = {}
        self._highest: dict[TaskId, int] = {}
        self._ended: list[EndedRow] = []
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
        if self._highest.get(order.task_id, 0) >= order.number:
            return OrderResult.OLD_RUN
        if len(self._running) * PLACE_CPU + PLACE_CPU > self.info.cpu:
            if self.is_guarding:
                return OrderResult.NO_ROOM
            self._site.over_room.append(order.task_id)
        self._begin(order)
        return OrderResult.DONE

    def _begin(self, order: StartRun) -> None:
        now_ms = self._site.clock.now_ms()
        ran = RanTask(order.task_id, order.number, self.info.name, now_ms)
        self._running[order.task_id] = ran
        self._highest[order.task_id] = order.number
        self._site.ran.append(ran)
        kind = EndKind.FAILED if self.is_failing else EndKind.DONE
        spread = self._site.rng.uniform(1 - self.spread, 1 + self.spread)
        if not self.is_hanging:
            took_ms = self.task_ms * spread
            self._site.after(took_ms, lambda: self._end(ran, kind))

    def _end(self, ran: RanTask, kind: EndKind) -> None:
        if self._running.get(ran.task_id) is not ran:
            return
        del self._running[ran.task_id]
        ran.end_ms = self._site.clock.now_ms()
        ran.kind = kind
        self._sequence += 1
        self._ended.append(
            EndedRow(self._sequence, ran.task_id, ran.number, kind)
        )
        waiting = self._waiting
        self._waiting = []
        for answer in waiting:
            answer()

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
        self._ended = [
            row for row in self._ended if row.sequence > order.seen_upto
        ]
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

    def _list(self) -> HoldAnswer:
        running = [
            RunningRow(ran.task_id, ran.number, 0)
            for ran in self._running.values()
        ]
        now_ms = self._site.clock.now_ms()
        return HoldAnswer(OrderResult.DONE, now_ms, running, self._ended[:])

    def _renew(self, until_ms: float) -> None:
        now_ms = self._site.clock.now_ms()
        until_ms = min(until_ms, now_ms + LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        left_ms = self._lease_until_ms - now_ms
        self._site.after(left_ms, self._let_lapse)

    def _let_lapse(self) -> None:
        if self._site.clock.now_ms() < self._lease_until_ms:
            return
        for ran in list(self._running.values()):
            self._end(ran, EndKind.LAPSED)


class PoolSite(Timeline):
    """Entries, workers and the links between them.

    Attributes:
        clock: of all of them.
        entries: by node.
        workers: by name.
        ran: every run that a worker carried out.
        over_room: tasks that were started on a full worker.
        ended: by job how it ended for its caller, and when.
    """

    def __init__(self, halls: tuple[str, ...], workers_a_hall: int, seed: int):
        super().__init__()
        self.rng = random.Random(seed)
        self.ran: list[RanTask] = []
        self.over_room: list[TaskId] = []
        self.ended: dict[str, tuple[float, JobEnded]] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.entries: dict[str, Entry] = {}
        self._cut: set[str] = set()
        self._keys: dict[int, str] = {}
        self._waiters = 0
        self._epoch = 0
        self._grant = Grant(0, "")
        self._dead: set[str] = set()
        for hall in halls:
            self._add_hall(hall, workers_a_hall)
        self._connect_all()

    def _add_hall(self, hall: str, workers: int) -> None:
        for number in range(2):
            node = f"{hall}-{number}/1"
            timing = FleetTiming(LEASE_MS, STOP_MS)
            self.entries[node] = Entry(node, hall, self.clock, timing)
            self.entries[node].on_config(_table())
            self.after(TICK_MS, lambda node=node: self._tick(node))
        for number in range(workers):
            name = f"worker-{hall}-{number}"
            info = WorkerInfo(
                name,
                "service",
                f"{name}:1",
                hall,
                WorkerState.READY,
                1,
                2 * PLACE_CPU + 100,
                1000,
                0,
            )
            self.workers[name] = FakeWorker(self, info, task_ms=60.0)

    def _connect_all(self) -> None:
        infos = tuple(worker.info for worker in self.workers.values())
        for entry in self.entries.values():
            for hall in sorted({one.hall for one in self.entries.values()}):
                entry.on_open(_control_greeting(hall))
            for other in self.entries.values():
                if other is not entry:
                    entry.on_open(_entry_greeting(other))
            entry.on_message("control", WorkersPush(infos))

    def _tick(self, node: str) -> None:
        if node in self._dead:
            return
        self.entries[node].tick()
        self._carry_out(node)
        self.after(TICK_MS, lambda: self._tick(node))

    # What tests do.

    def grant(self, holder: str, standbys: dict[str, str]) -> None:
        """Grants the workers, as the control nodes would."""
        self._epoch += 1
        self._grant = Grant(self._epoch, holder, standbys)
        for node, entry in self.entries.items():
            if entry.hall not in self._cut and node not in self._dead:
                self._deliver(node, "control", self._grant)

    def submit(
        self, node: str, key: str, count: int = 2, steps: int = 1
    ) -> None:
        """Hands a job to an entry, each step after the one before."""
        self._waiters += 1
        waiter = self._waiters
        self._keys[waiter] = key
        chain = tuple(
            Step(count, PLACE_CPU, 64, 0, 60.0, (number - 1,) if number else ())
            for number in range(steps)
        )
        job = Job(
            key,
            "queue",
            "service",
            "spec",
            chain,
            0,
            3,
            1.6,
            60.0,
            CALLERS_PATIENCE_MS,
        )
        self.entries[node].submit(job, waiter)
        self._carry_out(node)

    def cut_off(self, hall: str) -> None:
        """Cuts a hall off from all others."""
        self._cut.add(hall)
        for entry in self.entries.values():
            for other in self.entries.values():
                if self._is_cut(entry.hall, other.hall):
                    entry.on_closed(other.node)
            for name in {one.hall for one in self.entries.values()}:
                if self._is_cut(entry.hall, name):
                    entry.on_closed(f"control-{name}/1")

    def heal(self, hall: str) -> None:
        """Joins a hall with the others again."""
        self._cut.discard(hall)
        for entry in self.entries.values():
            for other in self.entries.values():
                is_near = other is entry or other.hall == entry.hall
                if not is_near and not self._is_cut(entry.hall, other.hall):
                    entry.on_open(_entry_greeting(other))
            for name in {one.hall for one in self.entries.values()}:
                if not self._is_cut(entry.hall, name):
                    entry.on_open(_control_greeting(name))
        for node, entry in self.entries.items():
            if entry.hall == hall:
                self._deliver(node, "control", self._grant)

    def kill(self, node: str) -> None:
        """Ends an entry's process."""
        self._dead.add(node)
        for other in self.entries.values():
            other.on_closed(node)

    def start_anew(self, node: str, hall: str, known_halls: set[str]) -> None:
        """Starts an entry that hears of the workers of some halls only."""
        timing = FleetTiming(LEASE_MS, STOP_MS)
        entry = Entry(node, hall, self.clock, timing)
        entry.on_config(_table())
        for name in sorted({one.hall for one in self.entries.values()}):
            if not self._is_cut(hall, name):
                entry.on_open(_control_greeting(name))
        for other in self.entries.values():
            if not self._is_cut(hall, other.hall):
                entry.on_open(_entry_greeting(other))
                other.on_open(_entry_greeting(entry))
        self.entries[node] = entry
        infos = tuple(
            worker.info
            for worker in self.workers.values()
            if worker.info.hall in known_halls
        )
        entry.on_message("control", WorkersPush(infos))
        self.after(TICK_MS, lambda: self._tick(node))

    def runs_together(self) -> list[tuple[RanTask, RanTask]]:
        """Returns pairs of runs of one task that ran at the same time."""
        by_task: dict[TaskId, list[RanTask]] = {}
        for ran in self.ran:
            by_task.setdefault(ran.task_id, []).append(ran)
        pairs: list[tuple[RanTask, RanTask]] = []
        for runs in by_task.values():
            runs.sort(key=lambda ran: ran.start_ms)
            for first, second in zip(runs, runs[1:], strict=False):
                if first.end_ms is None or first.end_ms > second.start_ms:
                    pairs.append((first, second))
        return pairs

    # Links.

    def _is_cut(self, hall: str, other: str) -> bool:
        return hall != other and (hall in self._cut or other in self._cut)

    def _deliver(self, node: str, source: str, message: Message) -> None:
        def arrive() -> None:
            if node not in self._dead:
                self.entries[node].on_message(source, message)
                self._carry_out(node)

        self.after(DELAY_MS, arrive)

    def _carry_out(self, node: str) -> None:
        entry = self.entries[node]
        for action in entry.take_actions():
            match action:
                case TellEntry(node=to, message=message):
                    self._send(entry, to, message)
                case StartRun():
                    self._start(entry, action)
                case StopRun():
                    self._stop(entry, action)
                case HoldWorker():
                    self._hold(entry, action)
                case AnswerCaller(waiter=waiter, ended=ended):
                    self._answered(waiter, ended)
                case AnswerCancel():
                    pass

    def _answered(self, waiter: int, ended: JobEnded) -> None:
        self.ended[self._keys[waiter]] = (self.clock.now_ms(), ended)

    def _send(self, entry: Entry, to: str, message: Message) -> None:
        receiver = self.entries.get(to)
        if receiver and not self._is_cut(entry.hall, receiver.hall):
            self._deliver(to, entry.node, message)

    def _reach(self, entry: Entry, name: str) -> FakeWorker | None:
        worker = self.workers[name]
        is_cut = self._is_cut(entry.hall, worker.info.hall)
        return None if is_cut else worker

    def _tell(self, entry: Entry, act: Callable[[], None]) -> None:
        def arrive() -> None:
            if entry.node not in self._dead:
                act()
                self._carry_out(entry.node)

        self.after(DELAY_MS, arrive)

    def _start(self, entry: Entry, order: StartRun) -> None:
        worker = self._reach(entry, order.worker)

        def tell(result: OrderResult) -> None:
            answer = OrderAnswer(result, self.clock.now_ms())
            self._tell(
                entry,
                lambda: entry.on_start_answer(
                    order.worker, order.task_id, order.number, answer
                ),
            )

        if worker is None:
            self.after(ORDER_TIMEOUT_MS, lambda: tell(OrderResult.LOST))
        elif self.rng.random() < worker.late_share:
            late_ms = LATE_MS * self.rng.random()
            self.after(late_ms, lambda: worker.start(order))
            self.after(ORDER_TIMEOUT_MS, lambda: tell(OrderResult.LOST))
        else:
            self.after(DELAY_MS, lambda: tell(worker.start(order)))

    def _stop(self, entry: Entry, order: StopRun) -> None:
        worker = self._reach(entry, order.worker)

        def tell(result: OrderResult) -> None:
            answer = OrderAnswer(result, self.clock.now_ms())
            self._tell(
                entry,
                lambda: entry.on_stop_answer(
                    order.worker, order.task_id, order.number, answer
                ),
            )

        if worker is None:
            self.after(ORDER_TIMEOUT_MS, lambda: tell(OrderResult.LOST))
        else:
            self.after(DELAY_MS, lambda: tell(worker.stop(order)))

    def _hold(self, entry: Entry, order: HoldWorker) -> None:
        worker = self._reach(entry, order.worker)
        sent_ms = self.clock.now_ms()

        def tell(answer: HoldAnswer) -> None:
            self._tell(
                entry,
                lambda: entry.on_hold_answer(
                    order.worker, order.call, sent_ms, answer
                ),
            )

        def tell_unless_cut(answer: HoldAnswer) -> None:
            if self._reach(entry, order.worker) is None:
                tell(HoldAnswer(OrderResult.LOST))
            else:
                tell(answer)

        if worker is None:
            lost = HoldAnswer(OrderResult.LOST)
            wait_ms = order.wait_ms + HOLD_SLACK_MS
            self.after(wait_ms, lambda: tell(lost))
        else:
            self.after(DELAY_MS, lambda: worker.hold(order, tell_unless_cut))


def _table() -> RoutingTable:
    route = Route("queue", "host", "/q/", "service", 1500.0, 60.0, 0, 3, 1.6)
    return RoutingTable(1, (route,), (), Limits())


def _control_greeting(hall: str) -> NodeGreeting:
    return NodeGreeting("test", f"control-{hall}/1", "control", hall)


def _entry_greeting(entry: Entry) -> NodeGreeting:
    return NodeGreeting("test", entry.node, "entry", entry.hall)
