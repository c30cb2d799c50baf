"""Simulates the entry nodes and workers of several halls on a manual clock.

The entry nodes are real, the workers, the leader of the control nodes and the
advisor are fakes. Every message and request takes a fixed time. Tests can
partition halls, kill entry nodes and make workers fail, hang, or leave start
requests without a reply and execute them late. Every run is recorded, so that
a test can check that no two runs of a task overlapped.
"""

import random
from collections.abc import Callable

import msgspec

from clayfield.pool import (
    Advice,
    AnswerCaller,
    AnswerCancel,
    AnswerState,
    AskAdvisor,
    EndKind,
    Entry,
    HoldAnswer,
    HoldWorker,
    OrderAnswer,
    OrderResult,
    PaceRun,
    PoolTiming,
    StartRun,
    StopRun,
    TaskId,
    TellEntry,
)
from clayfield.testbed.fakeadvisor import FakeAdvisor
from clayfield.testbed.fakeleader import FakeLeader
from clayfield.testbed.fakeworker import (
    LEASE_MS,
    PLACE_CPU,
    STOP_DELAY_MS,
    FakeGang,
    FakeWorker,
    RanTask,
)
from clayfield.testbed.timeline import Timeline
from clayfield.wire.cluster import (
    Grant,
    JobEnded,
    NodeGreeting,
    StateTold,
    WorkersPush,
)
from clayfield.wire.jobs import (
    Job,
    JobState,
    Limits,
    Route,
    RoutingTable,
    Schedule,
    Step,
    WorkerInfo,
    WorkerState,
)
from clayfield.wire.messages import Message

DELAY_MS = 1.0
TICK_MS = 20.0
COMMAND_TIMEOUT_MS = 150.0
POLL_SLACK_MS = 250.0
MAX_START_DELAY_MS = 3000.0
CALLER_TIMEOUT_MS = 5000.0


HALLS = ("a", "b", "c")
HOLDER = "a-0/1"
STANDBYS = {"b": "b-0/1", "c": "c-0/1"}
# Long enough for the holder to take over every worker.
SETTLE_MS = 4000.0
DEFAULT_TASK_MS = 60.0
USUAL_STEP = Step(1, PLACE_CPU, 64, estimate_ms=60.0)


class PoolSite(Timeline):
    """Entry nodes and workers of several halls, and the links between them.

    Attributes:
        clock: the manual clock that all of them share.
        rng: the random numbers of the simulation.
        entries: the entry nodes, by node name.
        workers: the workers, by name.
        ran: every run that a worker executed.
        over_room: the tasks that were started on a worker without free CPU.
        holds: number of polls sent to workers.
        gangs: the gangs, by job and step.
        advised: keys of the jobs that need a ticket of the advisor.
        advisor: the fake advisor.
        filling: keys of the jobs with batch tasks.
        ended: time and content of the reply that ended a job for its caller,
            by job.
        leader: the fake leader of the control nodes, which has the job store.
        states: the state last reported to the caller of a kept job, by job;
            None for an unknown job.
        unresolved_requests: number of state requests without an
            authoritative reply.
        cancelled: time at which the caller got the confirmation of a cancel,
            by job.
    """

    def __init__(
        self, halls: tuple[str, ...], workers_per_hall: int, seed: int
    ):
        super().__init__()
        self.rng = random.Random(seed)
        self.ran: list[RanTask] = []
        self.over_room: list[TaskId] = []
        self.holds = 0
        self.gangs: dict[tuple[str, int], FakeGang] = {}
        self.advised: set[str] = set()
        self.filling: set[str] = set()
        self.advisor = FakeAdvisor(self.clock, self.after, self.rng)
        self.ended: dict[str, tuple[float, JobEnded]] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.entries: dict[str, Entry] = {}
        self.leader = FakeLeader(self.clock, self.after, self._send_from_leader)
        self.leader.hall = halls[-1]
        self.states: dict[str, JobState | None] = {}
        self.unresolved_requests = 0
        self.cancelled: dict[str, float] = {}
        self._partitioned: set[str] = set()
        self._isolated: set[str] = set()
        self._keys_by_waiter: dict[int, str] = {}
        self._waiter_count = 0
        self._epoch = 0
        self._grant = Grant(0, "")
        self._dead: set[str] = set()
        for hall in halls:
            self._add_hall(hall, workers_per_hall)
        self._connect_all()

    def _add_hall(self, hall: str, workers: int) -> None:
        for number in range(2):
            node = f"{hall}-{number}/1"
            timing = PoolTiming(LEASE_MS, STOP_DELAY_MS)
            self.entries[node] = Entry(node, hall, self.clock, timing)
            self.entries[node].on_config(_make_routing_table())
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
                ("kind", f"rack-{hall}"),
                f"rack-{hall}",
            )
            self.workers[name] = FakeWorker(self, info, task_ms=60.0)

    def _connect_all(self) -> None:
        infos = tuple(worker.info for worker in self.workers.values())
        for entry in self.entries.values():
            for hall in sorted({e.hall for e in self.entries.values()}):
                entry.on_open(_control_greeting(hall))
            for other in self.entries.values():
                if other is not entry:
                    entry.on_open(_entry_greeting(other))
            entry.on_message("control", WorkersPush(infos))

    def _tick(self, node: str) -> None:
        if node in self._dead:
            return
        self.entries[node].tick()
        self._run_actions(node)
        self.after(TICK_MS, lambda: self._tick(node))

    # Actions of tests.

    def grant(self, holder: str, standbys: dict[str, str]) -> None:
        """Sends a new grant to the nodes that the control nodes can reach.

        Args:
            holder: name of the entry node that schedules all workers.
            standbys: name of the standby of each hall.
        """
        self._epoch += 1
        self._grant = Grant(self._epoch, holder, standbys)
        self.leader.on_grant(self._grant)
        for node, entry in self.entries.items():
            is_reachable = node not in self.leader.cut_off
            if is_reachable and entry.hall not in self._partitioned:
                self._deliver(node, "control", self._grant)

    def submit(
        self,
        node: str,
        key: str,
        count: int = 2,
        steps: int = 1,
        is_kept: bool = False,
        template: Step = USUAL_STEP,
        schedule: Schedule | None = None,
        is_advised: bool = False,
    ) -> None:
        """Submits a job whose steps run one after the other.

        Args:
            node: name of the entry node that gets the job.
            key: the job's idempotency key.
            count: number of tasks in each step.
            steps: number of steps.
            is_kept: whether the job is kept (durable).
            template: the properties of every step.
            schedule: times at which the steps run, None for once and at once.
            is_advised: whether its tasks need a ticket of the advisor.
        """
        waiter = self._add_waiter(key)
        chain = tuple(
            msgspec.structs.replace(
                template, count=count, after=(number - 1,) if number else ()
            )
            for number in range(steps)
        )
        if template.is_gang:
            for number in range(steps):
                self.gangs[(key, number)] = FakeGang(count)
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
            CALLER_TIMEOUT_MS,
            is_kept,
            schedule,
            is_advised,
        )
        if is_advised:
            self.advised.add(key)
        if template.fills:
            self.filling.add(key)
        self.entries[node].submit(job, waiter)
        self._run_actions(node)

    def _add_waiter(self, key: str) -> int:
        """Returns the number of a new pending caller request."""
        self._waiter_count += 1
        self._keys_by_waiter[self._waiter_count] = key
        return self._waiter_count

    def ask(self, node: str, key: str) -> None:
        """Requests the state of a kept job; the reply goes to `states`."""
        self.entries[node].callers.ask_state(key, self._add_waiter(key))
        self._run_actions(node)

    def cancel(self, node: str, key: str) -> None:
        """Requests a job's cancel; a confirmation goes to `cancelled`."""
        self.entries[node].callers.cancel(key, self._add_waiter(key))
        self._run_actions(node)

    def cut_off(self, hall: str) -> None:
        """Partitions a hall from all others."""
        self._partitioned.add(hall)
        for entry in self.entries.values():
            for other in self.entries.values():
                if self._is_partitioned(entry.hall, other.hall):
                    entry.on_closed(other.node)
            for name in {e.hall for e in self.entries.values()}:
                if self._is_partitioned(entry.hall, name):
                    entry.on_closed(f"control-{name}/1")

    def heal(self, hall: str) -> None:
        """Ends the partition of a hall."""
        self._partitioned.discard(hall)
        for entry in self.entries.values():
            for other in self.entries.values():
                is_local = other is entry or other.hall == entry.hall
                if not is_local and not self._is_partitioned(
                    entry.hall, other.hall
                ):
                    entry.on_open(_entry_greeting(other))
            for name in {e.hall for e in self.entries.values()}:
                if not self._is_partitioned(entry.hall, name):
                    entry.on_open(_control_greeting(name))
        for node, entry in self.entries.items():
            if entry.hall == hall:
                self._deliver(node, "control", self._grant)

    def ends(self, job: str, kind: EndKind) -> list[RanTask]:
        """Returns the runs of a job that ended with the given kind."""
        return [
            run
            for run in self.ran
            if run.task_id.job == job and run.kind is kind
        ]

    def silence(self, worker: str) -> None:
        """Makes a worker unreachable for all entry nodes."""
        self._isolated.add(worker)

    def kill(self, node: str) -> None:
        """Ends the process of an entry node."""
        self._dead.add(node)
        for other in self.entries.values():
            other.on_closed(node)

    def start_anew(self, node: str, hall: str, worker_halls: set[str]) -> None:
        """Starts an entry node that has the workers of some halls only.

        Args:
            node: its name, with the new incarnation.
            hall: its hall.
            worker_halls: the halls whose workers it gets from a control node.
        """
        timing = PoolTiming(LEASE_MS, STOP_DELAY_MS)
        entry = Entry(node, hall, self.clock, timing)
        entry.on_config(_make_routing_table())
        for name in sorted({e.hall for e in self.entries.values()}):
            if not self._is_partitioned(hall, name):
                entry.on_open(_control_greeting(name))
        for other in self.entries.values():
            if not self._is_partitioned(hall, other.hall):
                entry.on_open(_entry_greeting(other))
                other.on_open(_entry_greeting(entry))
        self.entries[node] = entry
        infos = tuple(
            worker.info
            for worker in self.workers.values()
            if worker.info.hall in worker_halls
        )
        entry.on_message("control", WorkersPush(infos))
        self.after(TICK_MS, lambda: self._tick(node))

    def started_after_done(self) -> list[tuple[RanTask, RanTask]]:
        """Returns pairs of an acknowledged end and a later run of the task."""
        done = [
            run for run in self.ran if run.kind is EndKind.DONE and run.is_noted
        ]
        return [
            (ended, run)
            for ended in done
            for run in self.ran
            if run.task_id == ended.task_id and run.start_ms > ended.end_ms
        ]

    def faults(self) -> list[object]:
        """Returns every violation of an invariant, for all kinds of jobs.

        These are pairs of overlapping runs of one task, starts on a worker
        without free CPU, and runs of a gang whose other tasks never started.
        """
        alone = [run for run in self.ran if run.kind is EndKind.ALONE]
        return [*self.runs_together(), *self.over_room, *alone]

    def runs_together(self) -> list[tuple[RanTask, RanTask]]:
        """Returns the pairs of runs of one task that overlapped in time."""
        by_task: dict[TaskId, list[RanTask]] = {}
        for run in self.ran:
            by_task.setdefault(run.task_id, []).append(run)
        pairs: list[tuple[RanTask, RanTask]] = []
        for runs in by_task.values():
            runs.sort(key=lambda run: run.start_ms)
            for first, second in zip(runs, runs[1:], strict=False):
                if first.end_ms is None or first.end_ms > second.start_ms:
                    pairs.append((first, second))
        return pairs

    # Links.

    def _is_partitioned(self, hall: str, other: str) -> bool:
        return hall != other and (
            hall in self._partitioned or other in self._partitioned
        )

    def _deliver(self, node: str, source: str, message: Message) -> None:
        """Delivers a message to an entry node after the delay."""

        def arrive() -> None:
            if node not in self._dead:
                self.entries[node].on_message(source, message)
                self._run_actions(node)

        self.after(DELAY_MS, arrive)

    def _run_actions(self, node: str) -> None:
        entry = self.entries[node]
        for action in entry.take_actions():
            match action:
                case TellEntry(node=to, message=message):
                    self._send(entry, to, message)
                case StartRun():
                    self._start_run(entry, action)
                case StopRun():
                    self._stop_run(entry, action)
                case HoldWorker():
                    self._poll(entry, action)
                case PaceRun(worker=name):
                    worker = self._find_reachable(entry, name)
                    if worker:
                        worker.pace(action)
                case AskAdvisor():
                    self._request_advice(entry, action)
                case AnswerCaller(waiter=waiter, ended=ended):
                    self._record_end(waiter, ended)
                case AnswerCancel(waiter=waiter, is_known=is_known):
                    if is_known:
                        key = self._keys_by_waiter[waiter]
                        self.cancelled.setdefault(key, self.clock.now_ms())
                case AnswerState(waiter=waiter, told=reply):
                    self._record_state(self._keys_by_waiter[waiter], reply)

    def _record_end(self, waiter: int, ended: JobEnded) -> None:
        self.ended[self._keys_by_waiter[waiter]] = (self.clock.now_ms(), ended)

    def _record_state(self, key: str, reply: StateTold | None) -> None:
        if reply is None or not reply.is_sure:
            self.unresolved_requests += 1
        else:
            self.states[key] = reply.state

    def _send_from_leader(self, node: str, message: Message) -> None:
        entry = self.entries.get(node)
        if entry and not self._is_partitioned(entry.hall, self.leader.hall):
            self._deliver(node, self.leader.node, message)

    def _send(self, entry: Entry, to: str, message: Message) -> None:
        """Sends a message to the leader or to another entry node."""
        if to == self.leader.node:
            if not self._is_partitioned(entry.hall, self.leader.hall):
                self.after(
                    DELAY_MS,
                    lambda: self.leader.on_message(entry.node, message),
                )
            return
        receiver = self.entries.get(to)
        if receiver and not self._is_partitioned(entry.hall, receiver.hall):
            self._deliver(to, entry.node, message)

    def _find_reachable(self, entry: Entry, name: str) -> FakeWorker | None:
        """Returns a worker, or None if the node cannot reach it."""
        worker = self.workers[name]
        is_unreachable = self._is_partitioned(entry.hall, worker.info.hall)
        is_unreachable = is_unreachable or name in self._isolated
        return None if is_unreachable else worker

    def _deliver_reply(self, entry: Entry, handle: Callable[[], None]) -> None:
        """Calls the handler of a reply at an entry node after the delay."""

        def arrive() -> None:
            if entry.node not in self._dead:
                handle()
                self._run_actions(entry.node)

        self.after(DELAY_MS, arrive)

    def _request_advice(self, entry: Entry, request: AskAdvisor) -> None:
        def reply(advice: Advice) -> None:
            self._deliver_reply(
                entry, lambda: entry.on_advice(request.call, advice)
            )

        self.after(DELAY_MS, lambda: self.advisor.ask(request, reply))

    def _start_run(self, entry: Entry, command: StartRun) -> None:
        worker = self._find_reachable(entry, command.worker)

        def send_reply(result: OrderResult) -> None:
            reply = OrderAnswer(result, self.clock.now_ms())
            self._deliver_reply(
                entry,
                lambda: entry.on_start_answer(
                    command.worker, command.task_id, command.number, reply
                ),
            )

        if worker is None:
            self.after(COMMAND_TIMEOUT_MS, lambda: send_reply(OrderResult.LOST))
        elif self.rng.random() < worker.late_share:
            late_ms = MAX_START_DELAY_MS * self.rng.random()
            self.after(late_ms, lambda: worker.start(command))
            self.after(COMMAND_TIMEOUT_MS, lambda: send_reply(OrderResult.LOST))
        else:
            self.after(DELAY_MS, lambda: send_reply(worker.start(command)))

    def _stop_run(self, entry: Entry, command: StopRun) -> None:
        worker = self._find_reachable(entry, command.worker)

        def send_reply(result: OrderResult) -> None:
            reply = OrderAnswer(result, self.clock.now_ms())
            self._deliver_reply(
                entry,
                lambda: entry.on_stop_answer(
                    command.worker, command.task_id, command.number, reply
                ),
            )

        if worker is None:
            self.after(COMMAND_TIMEOUT_MS, lambda: send_reply(OrderResult.LOST))
        else:
            self.after(DELAY_MS, lambda: send_reply(worker.stop(command)))

    def _poll(self, entry: Entry, request: HoldWorker) -> None:
        self.holds += 1
        worker = self._find_reachable(entry, request.worker)
        sent_ms = self.clock.now_ms()

        def send_reply(reply: HoldAnswer) -> None:
            self._deliver_reply(
                entry,
                lambda: entry.on_hold_answer(
                    request.worker, request.call, sent_ms, reply
                ),
            )

        def reply_if_reachable(reply: HoldAnswer) -> None:
            if self._find_reachable(entry, request.worker) is None:
                send_reply(HoldAnswer(OrderResult.LOST))
            else:
                send_reply(reply)

        if worker is None:
            lost = HoldAnswer(OrderResult.LOST)
            wait_ms = request.wait_ms + POLL_SLACK_MS
            self.after(wait_ms, lambda: send_reply(lost))
        else:
            self.after(
                DELAY_MS, lambda: worker.hold(request, reply_if_reachable)
            )


def granted_site(
    seed: int = 1,
    workers: int = 2,
    task_ms: float = DEFAULT_TASK_MS,
    settle_ms: float = SETTLE_MS,
) -> PoolSite:
    """Returns a running site of three halls, with the holder in the first.

    Args:
        seed: the seed of all random numbers.
        workers: number of workers in each hall.
        task_ms: duration of every task, in ms.
        settle_ms: how long the site runs after the grant, in ms.
    """
    site = PoolSite(HALLS, workers, seed)
    site.grant(HOLDER, STANDBYS)
    site.run(settle_ms)
    for worker in site.workers.values():
        worker.task_ms = task_ms
    return site


def _make_routing_table() -> RoutingTable:
    route = Route("queue", "host", "/q/", "service", 1500.0, 60.0, 0, 3, 1.6)
    return RoutingTable(1, (route,), (), Limits())


def _control_greeting(hall: str) -> NodeGreeting:
    return NodeGreeting("test", f"control-{hall}/1", "control", hall)


def _entry_greeting(entry: Entry) -> NodeGreeting:
    return NodeGreeting("test", entry.node, "entry", entry.hall)
