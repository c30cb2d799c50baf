"""Simulates the entry nodes and workers of several halls on a manual clock.

The entry nodes are real, the workers, the leader of the control nodes and the
advisor are fakes. Every message and request takes a fixed time. Tests can
partition halls, kill entry nodes and make workers fail, hang, or leave start
requests without a reply and execute them late. Every run is recorded, so that
a test can check that no two runs of a task overlapped.
"""

import collections
import random
from collections.abc import Callable, Iterable

import msgspec

from clayfield.pool import (
    Advice,
    CommandReply,
    CommandResult,
    EndKind,
    EntryNode,
    PollReply,
    PollWorker,
    PoolTiming,
    ReplyToCaller,
    ReplyToCancel,
    ReplyToStateRequest,
    RequestAdvice,
    SendToNode,
    StartRun,
    StopRun,
    TaskId,
    ThrottleRun,
)
from clayfield.testbed.fake_advisor import FakeAdvisor
from clayfield.testbed.fake_leader import FakeLeader
from clayfield.testbed.fake_worker import (
    LEASE_MS,
    SLOT_CPU,
    STOP_DELAY_MS,
    ExecutedRun,
    FakeGang,
    FakeWorker,
)
from clayfield.testbed.timeline import Timeline
from clayfield.wire.cluster import (
    Grant,
    JobEnded,
    JobStateReply,
    NodeGreeting,
    WorkerLeft,
    WorkersPush,
)
from clayfield.wire.jobs import (
    Job,
    JobState,
    Limits,
    Route,
    RoutingTable,
    Schedule,
    Service,
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
DEFAULT_STEP = Step(1, SLOT_CPU, 64, estimate_ms=60.0)


class PoolSite(Timeline):
    """Entry nodes and workers of several halls, and the links between them.

    Attributes:
        clock: the manual clock that all of them share.
        rng: the random numbers of the simulation.
        entries: the entry nodes, by node name.
        workers: the workers, by name.
        runs: every run that a worker executed.
        over_capacity: the tasks that were started on a worker without free CPU.
        poll_count: number of polls sent to workers.
        gangs: the gangs, by job and step.
        advised_jobs: keys of the jobs that need a ticket of the advisor.
        advisor: the fake advisor.
        batch_jobs: keys of the jobs with batch tasks.
        outcomes: time and content of the reply that ended a job for its caller,
            by job.
        answers: the reply to each request that submitted a job, by the number
            of the request.
        leader: the fake leader of the control nodes, which has the job store.
        reported_states: the state last reported to the caller of a kept job, by
            job; None for an unknown job.
        unresolved_requests: number of state requests without an
            authoritative reply.
        cancelled_ms: time at which the caller got the confirmation of a cancel,
            by job.
        cancel_replies: the last reply to a request to cancel, by job; None if
            the result is unknown.
        crash_after_ms: how long after its start a task crashes its worker, in
            ms, by task.
        down_ms: how long a crashed worker is down, in ms.
        renames_workers: whether a crashed worker comes back under another name.
        is_crash_silent: whether a crashed worker does not answer while it is
            down, instead of refusing connections.
        connect_timeout_ms: time after which a request to an unreachable worker
            ends without a connection, in ms; None if its reply is lost instead.
    """

    def __init__(
        self,
        halls: tuple[str, ...],
        workers_per_hall: int,
        seed: int,
        slots: int = 2,
    ):
        """Creates a site that runs; no entry node has the grant yet.

        Args:
            halls: names of the halls, each with two entry nodes.
            workers_per_hall: number of workers in each hall.
            seed: the seed of all random numbers.
            slots: number of default tasks that fit a worker at once.
        """
        super().__init__()
        self._slots = slots
        self.rng = random.Random(seed)
        self.runs: list[ExecutedRun] = []
        self.over_capacity: list[TaskId] = []
        self.poll_count = 0
        self.gangs: dict[tuple[str, int], FakeGang] = {}
        self.advised_jobs: set[str] = set()
        self.batch_jobs: set[str] = set()
        self.advisor = FakeAdvisor(self.clock, self.call_later, self.rng)
        self.outcomes: dict[str, tuple[float, JobEnded]] = {}
        self.answers: dict[int, JobEnded] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.entries: dict[str, EntryNode] = {}
        self.leader = FakeLeader(
            self.clock, self.call_later, self._send_from_leader
        )
        self.leader.hall = halls[-1]
        self.reported_states: dict[str, JobState | None] = {}
        self.unresolved_requests = 0
        self.cancelled_ms: dict[str, float] = {}
        self.cancel_replies: dict[str, bool | None] = {}
        self.crash_after_ms: dict[TaskId, float] = {}
        self.down_ms = 3000.0
        self.renames_workers = True
        self.is_crash_silent = False
        self.connect_timeout_ms: float | None = None
        self._crashed: set[str] = set()
        self._lives: collections.Counter[str] = collections.Counter()
        self._partitioned: set[str] = set()
        self._isolated: set[str] = set()
        self._refusing: set[str] = set()
        self._message_delays_ms: dict[str, float] = {}
        self._keys_by_request: dict[int, str] = {}
        self._request_count = 0
        self._version = 1
        self._epoch = 0
        self._grant = Grant(0, "")
        self._dead: set[str] = set()
        self._frozen_until_ms: dict[str, float] = {}
        for hall in halls:
            self._add_hall(hall, workers_per_hall)
        self._connect_all()

    def _add_hall(self, hall: str, workers: int) -> None:
        for number in range(2):
            node = f"{hall}-{number}/1"
            timing = PoolTiming(LEASE_MS, STOP_DELAY_MS)
            self.entries[node] = EntryNode(node, hall, self.clock, timing)
            self.entries[node].on_config(_make_routing_table())
            self.call_later(TICK_MS, lambda node=node: self._tick(node))
        for number in range(workers):
            name = f"worker-{hall}-{number}"
            info = WorkerInfo(
                name,
                "service",
                _make_address(hall, number),
                hall,
                WorkerState.READY,
                1,
                self._slots * SLOT_CPU + 100,
                self._slots * 500,
                0,
                ("kind", f"rack-{hall}"),
                f"rack-{hall}",
            )
            self.workers[name] = FakeWorker(self, info, task_ms=60.0)

    def _connect_all(self) -> None:
        infos = tuple(worker.info for worker in self.workers.values())
        for entry in self.entries.values():
            for hall in sorted({e.hall for e in self.entries.values()}):
                entry.on_connected(_control_greeting(hall))
            for other in self.entries.values():
                if other is not entry:
                    entry.on_connected(_entry_greeting(other))
            entry.on_message("control", WorkersPush(infos))

    def _tick(self, node: str) -> None:
        if node in self._dead:
            return
        if self._frozen_ms(node):
            self.call_later(self._frozen_ms(node), lambda: self._tick(node))
            return
        self.entries[node].tick()
        self._run_actions(node)
        self.call_later(TICK_MS, lambda: self._tick(node))

    # Actions of tests.

    def grant(self, holder: str, standbys: dict[str, str]) -> None:
        """Sends a new grant to the nodes that the control nodes can reach.

        Args:
            holder: name of the entry node that schedules all workers.
            standbys: name of the standby of each hall.
        """
        self._epoch += 1
        since_epoch = self._epoch
        if holder == self._grant.holder:
            since_epoch = self._grant.since_epoch
        self._grant = Grant(self._epoch, holder, standbys, since_epoch)
        self.leader.on_grant(self._grant)
        for node, entry in self.entries.items():
            is_reachable = node not in self.leader.unreachable_from
            if is_reachable and entry.hall not in self._partitioned:
                self._deliver(node, "control", self._grant)

    def deliver_grant(self, node: str) -> None:
        """Sends the latest grant to a node that has not received it."""
        self.leader.unreachable_from.discard(node)
        self._deliver(node, "control", self._grant)

    def submit(
        self,
        node: str,
        key: str,
        count: int = 2,
        steps: int = 1,
        is_kept: bool = False,
        template: Step = DEFAULT_STEP,
        schedule: Schedule | None = None,
        is_advised: bool = False,
        priority: int = 0,
    ) -> int:
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
            priority: its priority, 0 is the highest.

        Returns:
            The number of the caller's request.
        """
        request_id = self._add_request(key)
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
            priority,
            3,
            1.6,
            60.0,
            CALLER_TIMEOUT_MS,
            is_kept,
            schedule,
            is_advised,
        )
        if is_advised:
            self.advised_jobs.add(key)
        if template.is_batch:
            self.batch_jobs.add(key)
        self.entries[node].submit(job, request_id)
        self._run_actions(node)
        return request_id

    def submit_by_route(
        self,
        node: str,
        path: str,
        key: str,
        is_kept: bool = False,
        step: Step = DEFAULT_STEP,
    ) -> bool:
        """Submits a job of one step as a caller does, by host and path.

        Args:
            node: name of the entry node that gets the job.
            path: path of the request.
            key: the job's idempotency key.
            is_kept: whether the job is kept (durable).
            step: the step of the job.

        Returns:
            Whether the entry node has a route for the path.
        """
        entry = self.entries[node]
        route = entry.routes.find("host", path)
        if route is None:
            return False
        job = route.make_job(
            key, "spec", (step,), CALLER_TIMEOUT_MS, is_kept, None
        )
        entry.submit(job, self._add_request(key))
        self._run_actions(node)
        return True

    def hang_up(self, node: str, request_id: int) -> None:
        """Ends the connection of the caller of a request.

        Args:
            node: name of the entry node.
            request_id: the number that `submit` returned.
        """
        key = self._keys_by_request[request_id]
        self.entries[node].callers.on_caller_disconnected(key, request_id)
        self._run_actions(node)

    def _add_request(self, key: str) -> int:
        """Returns the number of a new pending caller request."""
        self._request_count += 1
        self._keys_by_request[self._request_count] = key
        return self._request_count

    def request_state(self, node: str, key: str) -> None:
        """Requests a kept job's state; the reply goes to `reported_states`."""
        self.entries[node].callers.request_state(key, self._add_request(key))
        self._run_actions(node)

    def cancel(self, node: str, key: str) -> None:
        """Requests a job's cancel; a confirmation goes to `cancelled_ms`."""
        self.entries[node].callers.cancel(key, self._add_request(key))
        self._run_actions(node)

    def partition(self, hall: str, detected_after_ms: float = 0.0) -> None:
        """Partitions a hall from all others.

        Args:
            hall: the hall.
            detected_after_ms: time until the nodes treat their connections
                across the partition as lost, in ms.
        """
        self._partitioned.add(hall)
        if detected_after_ms:
            self.call_later(detected_after_ms, self._disconnect_partitioned)
        else:
            self._disconnect_partitioned()

    def _disconnect_partitioned(self) -> None:
        """Closes the connections across every present partition."""
        for entry in self.entries.values():
            for other in self.entries.values():
                if self._is_partitioned(entry.hall, other.hall):
                    entry.on_disconnected(other.node)
            for name in {e.hall for e in self.entries.values()}:
                if self._is_partitioned(entry.hall, name):
                    entry.on_disconnected(f"control-{name}/1")

    def heal(self, hall: str) -> None:
        """Ends the partition of a hall."""
        self._partitioned.discard(hall)
        for entry in self.entries.values():
            for other in self.entries.values():
                is_local = other is entry or other.hall == entry.hall
                if not is_local and not self._is_partitioned(
                    entry.hall, other.hall
                ):
                    entry.on_connected(_entry_greeting(other))
            for name in {e.hall for e in self.entries.values()}:
                if not self._is_partitioned(entry.hall, name):
                    entry.on_connected(_control_greeting(name))
        for node, entry in self.entries.items():
            if entry.hall == hall:
                self._deliver(node, "control", self._grant)

    def runs_ended_as(self, job: str, kind: EndKind) -> list[ExecutedRun]:
        """Returns the runs of a job that ended with the given kind."""
        return [
            run
            for run in self.runs
            if run.task_id.job == job and run.kind is kind
        ]

    def isolate(self, worker: str) -> None:
        """Makes a worker unreachable for all entry nodes."""
        self._isolated.add(worker)

    def rejoin(self, worker: str) -> None:
        """Makes a worker reachable again after `isolate`."""
        self._isolated.discard(worker)

    def restart_worker(self, name: str) -> None:
        """Starts a worker again under its name; its runs end."""
        self.workers[name].restart()
        self.send_heartbeat(name)

    def crash_worker(self, name: str) -> None:
        """Ends a worker's process without notice; it is back after a time."""
        if name in self._crashed or name not in self.workers:
            return
        self._crashed.add(name)
        self.workers[name].restart()
        self.call_later(self.down_ms, lambda: self._bring_back(name))

    @property
    def crashed_workers(self) -> frozenset[str]:
        """Names of the workers that have crashed and are not back yet."""
        return frozenset(self._crashed)

    def _bring_back(self, name: str) -> None:
        """Starts a crashed worker again."""
        self._crashed.discard(name)
        worker = self.workers[name]
        if not self.renames_workers:
            self.send_heartbeat(name)
            return
        worker.is_replaced = True
        base = name.partition(".")[0]
        self._lives[base] += 1
        info = msgspec.structs.replace(
            worker.info,
            name=f"{base}.{self._lives[base]}",
            sequence=1,
            state=WorkerState.READY,
        )
        self.workers[info.name] = FakeWorker(self, info, worker.task_ms)
        self.announce_worker(info.name, self.entries)

    def drain_worker(self, name: str) -> None:
        """Makes a worker announce that it accepts no new tasks."""
        worker = self.workers[name]
        worker.info = msgspec.structs.replace(
            worker.info,
            state=WorkerState.DRAINING,
            sequence=worker.info.sequence + 1,
        )
        self.send_heartbeat(name)

    def resize_worker(self, name: str, slots: int) -> None:
        """Makes a worker announce room for another number of default tasks.

        What runs there goes on.
        """
        worker = self.workers[name]
        worker.info = msgspec.structs.replace(
            worker.info, cpu=slots * SLOT_CPU, memory_mb=slots * 500
        )
        self.send_heartbeat(name)

    def leave(self, name: str) -> None:
        """Makes a worker announce that it leaves; what runs there goes on."""
        left = WorkerLeft(name, self.workers[name].info.born_ms)
        for node in self.entries:
            self._deliver(node, "control", left)

    def send_heartbeat(self, name: str) -> None:
        """Delivers a worker's next heartbeat to every entry node."""
        worker = self.workers[name]
        worker.info = msgspec.structs.replace(
            worker.info, sequence=worker.info.sequence + 1
        )
        for node in self.entries:
            self._deliver(node, "control", WorkersPush((worker.info,)))

    def send_foreign_heartbeat(self, info: WorkerInfo) -> None:
        """Delivers a heartbeat of another writer to every entry node.

        At its address no connection is possible, unless it is a worker's.
        """
        for node in self.entries:
            self._deliver(node, "control", WorkersPush((info,)))

    def name_service(self, service: str) -> None:
        """Activates a configuration that names no service but this one."""
        self._version += 1
        table = _make_routing_table(self._version, service)
        for entry in self.entries.values():
            entry.on_config(table)

    def configure(self, node: str, table: RoutingTable) -> None:
        """Activates a configuration at an entry node, if it is newer."""
        self.entries[node].on_config(table)
        self._run_actions(node)

    def add_worker(self, name: str, hall: str, service: str) -> None:
        """Starts another worker, which no node knows before it announces it.

        Args:
            name: name of the worker.
            hall: its hall.
            service: its service.
        """
        template = next(
            worker.info
            for worker in self.workers.values()
            if worker.info.hall == hall
        )
        info = msgspec.structs.replace(
            template,
            name=name,
            service=service,
            address=_make_address(hall, len(self.workers)),
        )
        self.workers[name] = FakeWorker(self, info, task_ms=DEFAULT_TASK_MS)

    def announce_worker(self, name: str, nodes: Iterable[str]) -> None:
        """Delivers a worker's present heartbeat to some entry nodes."""
        info = self.workers[name].info
        for node in nodes:
            self._deliver(node, "control", WorkersPush((info,)))

    def refuse_connections(self, worker: str) -> None:
        """Makes a worker refuse every connection; what runs there goes on."""
        self._refusing.add(worker)

    def delay_messages(self, node: str, delay_ms: float) -> None:
        """Delays what an entry node sends to other entry nodes from now on.

        Later messages overtake earlier ones that have a longer delay, as they
        may do on another connection.
        """
        self._message_delays_ms[node] = delay_ms

    def reconnect(self, node: str, other: str) -> None:
        """Breaks an entry node's connection to another and opens a new one.

        What was sent on the former connection still arrives.
        """
        self.entries[node].on_disconnected(other)
        self.entries[node].on_connected(_entry_greeting(self.entries[other]))
        self._run_actions(node)

    def kill(self, node: str) -> None:
        """Ends the process of an entry node.

        Nodes that are partitioned from it do not notice.
        """
        self._dead.add(node)
        hall = self.entries[node].hall
        for other in self.entries.values():
            if not self._is_partitioned(other.hall, hall):
                other.on_disconnected(node)

    def freeze(self, node: str, duration_ms: float) -> None:
        """Suspends the process of an entry node for a time.

        What arrives meanwhile is handled once it goes on.
        """
        self._frozen_until_ms[node] = self.clock.now_ms() + duration_ms

    def is_dead(self, node: str) -> bool:
        """Returns whether the process of an entry node was ended."""
        return node in self._dead

    def is_frozen(self, node: str) -> bool:
        """Returns whether an entry node is suspended now."""
        return self._frozen_ms(node) > 0

    def _frozen_ms(self, node: str) -> float:
        """Returns for how long an entry node is still frozen, in ms."""
        until_ms = self._frozen_until_ms.get(node, 0.0)
        return max(0.0, until_ms - self.clock.now_ms())

    def restart(self, node: str, hall: str, worker_halls: set[str]) -> None:
        """Starts an entry node that has the workers of some halls only.

        Args:
            node: its name, with the new incarnation.
            hall: its hall.
            worker_halls: the halls whose workers it gets from a control node.
        """
        timing = PoolTiming(LEASE_MS, STOP_DELAY_MS)
        entry = EntryNode(node, hall, self.clock, timing)
        entry.on_config(_make_routing_table())
        for name in sorted({e.hall for e in self.entries.values()}):
            if not self._is_partitioned(hall, name):
                entry.on_connected(_control_greeting(name))
        for other in self.entries.values():
            if not self._is_partitioned(hall, other.hall):
                entry.on_connected(_entry_greeting(other))
                other.on_connected(_entry_greeting(entry))
        self.entries[node] = entry
        infos = tuple(
            worker.info
            for worker in self.workers.values()
            if worker.info.hall in worker_halls
        )
        entry.on_message("control", WorkersPush(infos))
        self.call_later(TICK_MS, lambda: self._tick(node))

    def find_restarts_after_end(self) -> list[tuple[ExecutedRun, ExecutedRun]]:
        """Returns pairs of an acknowledged end and a later run of the task."""
        by_task: dict[TaskId, list[ExecutedRun]] = {}
        for run in self.runs:
            by_task.setdefault(run.task_id, []).append(run)
        return [
            (ended, run)
            for runs in by_task.values()
            for ended in runs
            if ended.kind is EndKind.DONE and ended.is_acked
            for run in runs
            if run.start_ms > ended.end_ms
        ]

    def find_violations(self) -> list[object]:
        """Returns every violation of an invariant, for all kinds of jobs.

        These are pairs of overlapping runs of one task, starts on a worker
        without free CPU, and runs of a gang whose other tasks never started.
        """
        alone = [run for run in self.runs if run.kind is EndKind.ALONE]
        return [*self.overlapping_runs(), *self.over_capacity, *alone]

    def overlapping_runs(self) -> list[tuple[ExecutedRun, ExecutedRun]]:
        """Returns the pairs of runs of one task that overlapped in time."""
        by_task: dict[TaskId, list[ExecutedRun]] = {}
        for run in self.runs:
            by_task.setdefault(run.task_id, []).append(run)
        pairs: list[tuple[ExecutedRun, ExecutedRun]] = []
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

    def _deliver(
        self,
        node: str,
        source: str,
        message: Message,
        delay_ms: float = DELAY_MS,
    ) -> None:
        """Delivers a message to an entry node after the delay."""

        def arrive() -> None:
            if self._frozen_ms(node):
                self.call_later(self._frozen_ms(node), arrive)
            elif node not in self._dead:
                self.entries[node].on_message(source, message)
                self._run_actions(node)

        self.call_later(delay_ms, arrive)

    def _run_actions(self, node: str) -> None:
        entry = self.entries[node]
        for action in entry.take_actions():
            match action:
                case SendToNode(node=to, message=message):
                    self._send(entry, to, message)
                case StartRun():
                    self._start_run(entry, action)
                case StopRun():
                    self._stop_run(entry, action)
                case PollWorker():
                    self._poll(entry, action)
                case ThrottleRun(worker=name):
                    worker = self._find_reachable(entry, name)
                    if worker:
                        worker.throttle(action)
                case RequestAdvice():
                    self._request_advice(entry, action)
                case ReplyToCaller(request_id=request_id, ended=ended):
                    self._record_end(request_id, ended)
                case ReplyToCancel(request_id=request_id, is_found=is_found):
                    key = self._keys_by_request[request_id]
                    self.cancel_replies[key] = is_found
                    if is_found:
                        self.cancelled_ms.setdefault(key, self.clock.now_ms())
                case ReplyToStateRequest(request_id=request_id, reply=reply):
                    self._record_state(self._keys_by_request[request_id], reply)

    def _record_end(self, request_id: int, ended: JobEnded) -> None:
        self.answers[request_id] = ended
        self.outcomes[self._keys_by_request[request_id]] = (
            self.clock.now_ms(),
            ended,
        )

    def _record_state(self, key: str, reply: JobStateReply | None) -> None:
        if reply is None or not reply.is_authoritative:
            self.unresolved_requests += 1
        else:
            self.reported_states[key] = reply.state

    def _send_from_leader(self, node: str, message: Message) -> None:
        entry = self.entries.get(node)
        if entry and not self._is_partitioned(entry.hall, self.leader.hall):
            self._deliver(node, self.leader.node, message)

    def _send(self, entry: EntryNode, to: str, message: Message) -> None:
        """Sends a message to the leader or to another entry node."""
        if to == self.leader.node:
            if not self._is_partitioned(entry.hall, self.leader.hall):
                self.call_later(
                    DELAY_MS,
                    lambda: self.leader.on_message(entry.node, message),
                )
            return
        receiver = self.entries.get(to)
        if receiver and not self._is_partitioned(entry.hall, receiver.hall):
            delay_ms = self._message_delays_ms.get(entry.node, DELAY_MS)
            self._deliver(to, entry.node, message, delay_ms)

    def _refuses(self, worker: str) -> bool:
        """Returns whether connections to a worker fail at once."""
        is_down = worker in self._crashed and not self.is_crash_silent
        return worker in self._refusing or is_down

    def _refusal(self, worker: str) -> CommandResult:
        """Returns the result of a command to a worker that is not connected."""
        if worker in self._crashed:
            return CommandResult.REFUSED
        return CommandResult.UNREACHED

    def _find_reachable(self, entry: EntryNode, name: str) -> FakeWorker | None:
        """Returns a worker, or None if the node cannot reach it."""
        worker = self.workers.get(name)
        if worker is None:
            return None
        is_unreachable = self._is_partitioned(entry.hall, worker.info.hall)
        is_unreachable = is_unreachable or name in self._isolated
        is_unreachable = is_unreachable or name in self._crashed
        return None if is_unreachable else worker

    def _deliver_reply(
        self, entry: EntryNode, handle: Callable[[], None]
    ) -> None:
        """Calls the handler of a reply at an entry node after the delay."""

        def arrive() -> None:
            if self._frozen_ms(entry.node):
                self.call_later(self._frozen_ms(entry.node), arrive)
            elif entry.node not in self._dead:
                handle()
                self._run_actions(entry.node)

        self.call_later(DELAY_MS, arrive)

    def _request_advice(self, entry: EntryNode, request: RequestAdvice) -> None:
        def reply(advice: Advice) -> None:
            self._deliver_reply(
                entry, lambda: entry.on_advice(request.request_id, advice)
            )

        self.call_later(
            DELAY_MS, lambda: self.advisor.request_tickets(request, reply)
        )

    def _fail_later(
        self, timeout_ms: float, send_reply: Callable[[CommandResult], None]
    ) -> None:
        """Ends a request to an unreachable worker.

        Args:
            timeout_ms: time after which its reply counts as lost, in ms.
            send_reply: passes the result to the sender.
        """
        if self.connect_timeout_ms is None:
            self.call_later(timeout_ms, lambda: send_reply(CommandResult.LOST))
        else:
            self.call_later(
                self.connect_timeout_ms,
                lambda: send_reply(CommandResult.UNREACHED),
            )

    def _start_run(self, entry: EntryNode, command: StartRun) -> None:
        worker = self._find_reachable(entry, command.worker)
        sent_ms = self.clock.now_ms()

        def send_reply(result: CommandResult) -> None:
            clock_ms = self.workers[command.worker].clock_ms
            reply = CommandReply(result, clock_ms)
            self._deliver_reply(
                entry,
                lambda: entry.on_start_reply(
                    command.worker,
                    command.task_id,
                    command.number,
                    sent_ms,
                    reply,
                ),
            )

        if self._refuses(command.worker):
            send_reply(self._refusal(command.worker))
        elif worker is None:
            self._fail_later(COMMAND_TIMEOUT_MS, send_reply)
        elif self.rng.random() < worker.delayed_start_share:
            late_ms = MAX_START_DELAY_MS * self.rng.random()
            born_ms = worker.info.born_ms

            def start_late() -> None:
                # A restart drops the requests that a worker has not executed.
                if worker.info.born_ms == born_ms:
                    worker.start(command)

            self.call_later(late_ms, start_late)
            self.call_later(
                COMMAND_TIMEOUT_MS, lambda: send_reply(CommandResult.LOST)
            )
        else:

            def start() -> None:
                result = worker.start(command)
                self._crash_later(command, result)
                send_reply(result)

            self.call_later(DELAY_MS, start)

    def _crash_later(self, command: StartRun, result: CommandResult) -> None:
        """Lets a task crash its worker a time after its start."""
        after_ms = self.crash_after_ms.get(command.task_id)
        if after_ms is None or result is not CommandResult.DONE:
            return
        worker = self.workers[command.worker]

        def crash() -> None:
            if worker.is_running(command.task_id, command.number):
                self.crash_worker(command.worker)

        self.call_later(after_ms, crash)

    def _stop_run(self, entry: EntryNode, command: StopRun) -> None:
        worker = self._find_reachable(entry, command.worker)
        sent_ms = self.clock.now_ms()

        def send_reply(result: CommandResult) -> None:
            clock_ms = self.workers[command.worker].clock_ms
            reply = CommandReply(result, clock_ms)
            self._deliver_reply(
                entry,
                lambda: entry.on_stop_reply(
                    command.worker,
                    command.task_id,
                    command.number,
                    sent_ms,
                    reply,
                ),
            )

        if self._refuses(command.worker):
            send_reply(self._refusal(command.worker))
        elif worker is None:
            self._fail_later(COMMAND_TIMEOUT_MS, send_reply)
        else:
            self.call_later(DELAY_MS, lambda: send_reply(worker.stop(command)))

    def _poll(self, entry: EntryNode, request: PollWorker) -> None:
        self.poll_count += 1
        worker = self._find_reachable(entry, request.worker)
        sent_ms = self.clock.now_ms()

        def send_reply(reply: PollReply) -> None:
            self._deliver_reply(
                entry,
                lambda: entry.on_poll_reply(
                    request.worker, request.poll_id, sent_ms, reply
                ),
            )

        def reply_if_reachable(reply: PollReply) -> None:
            if self._find_reachable(entry, request.worker) is None:
                send_reply(PollReply(CommandResult.LOST))
            else:
                send_reply(reply)

        is_refused = self._refuses(request.worker)
        if is_refused or request.worker not in self.workers:
            send_reply(PollReply(self._refusal(request.worker)))
        elif worker is None:
            self._fail_later(
                request.wait_ms + POLL_SLACK_MS,
                lambda result: send_reply(PollReply(result)),
            )
        else:
            self.call_later(
                DELAY_MS, lambda: worker.poll(request, reply_if_reachable)
            )


def make_granted_site(
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


def _make_routing_table(
    version: int = 1, service: str = "service"
) -> RoutingTable:
    route = Route("queue", "host", "/q/", service, 1500.0, 60.0, 0, 3, 1.6)
    services = (Service(service, 64, True),)
    return RoutingTable(version, (route,), services, Limits())


def _make_address(hall: str, number: int) -> str:
    """Returns the address of a hall's worker with a number."""
    rack, host = divmod(number, 250)
    return f"10.{HALLS.index(hall)}.{rack}.{host + 1}:80"


def _control_greeting(hall: str) -> NodeGreeting:
    return NodeGreeting("test", f"control-{hall}/1", "control", hall)


def _entry_greeting(entry: EntryNode) -> NodeGreeting:
    return NodeGreeting("test", entry.node, "entry", entry.hall)
