"""One entry's decisions: its callers' jobs, and who holds the workers.

An entry hands each job to the holder and answers its caller when the holder
tells the end. Any entry may itself be the holder, or the stand-by that holds
its hall's workers while the hall is cut off.
"""

from clayfield.base import Clock
from clayfield.pool.actions import Dial, EntryAction
from clayfield.pool.callers import Callers, HolderLink
from clayfield.pool.dispatcher import Dispatcher
from clayfield.pool.kept import KeptJobs
from clayfield.pool.ledger import JobLedger
from clayfield.pool.orders import Advice, HoldAnswer, OrderAnswer, TellEntry
from clayfield.pool.role import CONTROL_ROLE, ENTRY_ROLE, Role
from clayfield.pool.routing import Routes
from clayfield.pool.tasks import TaskId
from clayfield.pool.timing import PoolTiming
from clayfield.wire.cluster import (
    AskState,
    CancelJob,
    ConfigPush,
    EntryStatus,
    Grant,
    JobCancelled,
    JobEnded,
    NodeGreeting,
    QueueCounts,
    StateTold,
    SubmitJob,
    WorkerLeft,
    WorkersPush,
)
from clayfield.wire.jobs import Job, Reason, RoutingTable, WorkerInfo
from clayfield.wire.ledger import HolderLease, JobsLoaded, JobsWritten
from clayfield.wire.messages import Message

STATUS_MS = 200.0
# How long jobs are kept that come before the grant that makes this node the
# holder.
EARLY_MS = 1000.0


class Entry(HolderLink):
    """The decisions of one entry.

    Attributes:
        node: its name.
        hall: where it stands.
        routes: the routes in force.
        callers: what callers wait for here.
        dispatcher: set while it holds workers.
        is_stopping: whether it is to hold nothing any more.
        is_refusing: whether it takes no jobs any more.
    """

    def __init__(self, node: str, hall: str, clock: Clock, timing: PoolTiming):
        self.node = node
        self.hall = hall
        self.routes = Routes()
        self.callers = Callers(clock, self)
        self.dispatcher: Dispatcher | None = None
        self.is_stopping = False
        self.is_refusing = False
        self._clock = clock
        self._timing = timing
        self._role = Role(node, hall, clock)
        self._holds_hall_only = False
        self._open_nodes: dict[str, NodeGreeting] = {}
        self._workers: dict[str, WorkerInfo] = {}
        self._waiting_kept: dict[str, int] = {}
        self._serves_kept = False
        self._early: list[tuple[float, str, SubmitJob]] = []
        self._actions: list[EntryAction] = []
        self._next_status_ms = 0.0
        self._started_ms = clock.now_ms()
        self._told_workers = ("", 0)

    # Questions.

    @property
    def grant(self) -> Grant:
        """The latest grant that it knows."""
        return self._role.grant

    @property
    def epoch(self) -> int:
        """Of the latest grant."""
        return self._role.grant.epoch

    @property
    def holder(self) -> str:
        """The node to hand jobs to, "" where none is known."""
        return self._role.holder

    @property
    def uses_standby(self) -> bool:
        """Whether the holder is the stand-by of a hall that is cut off."""
        return self._role.uses_standby

    @property
    def is_holder_reachable(self) -> bool:
        """Whether jobs can be handed to the holder now."""
        holder = self.holder
        if holder == self.node:
            return self.dispatcher is not None
        return bool(holder) and holder in self._open_nodes

    @property
    def is_ready(self) -> bool:
        """Whether this entry can serve callers."""
        return (
            not self.is_stopping
            and self.routes.version > 0
            and self.is_holder_reachable
        )

    @property
    def known_workers(self) -> set[str]:
        """The names of the workers that this entry has heard of."""
        return set(self._workers)

    @property
    def open_jobs(self) -> int:
        """How many jobs wait for their answer here."""
        return self.callers.open_jobs

    def waiting_of(self, queue: str) -> int:
        """Returns how many jobs of a queue wait: kept, or open here."""
        kept = self._waiting_kept.get(queue, 0)
        return kept + self.callers.waiting_of(queue)

    # Callers.

    def submit(self, job: Job, waiter: int) -> None:
        """Takes a job; `AnswerCaller` tells its end."""
        if self.is_refusing and not self.callers.has_job(job.key):
            self.callers.refuse(job, waiter, Reason.STOPPING)
        else:
            self.callers.submit(job, waiter)

    def give_up_all(self) -> None:
        """Answers every caller that still waits: the process ends."""
        self.callers.give_up_all(Reason.STOPPING)

    # The holder.

    def tell_holder(self, message: Message) -> None:
        """Sends a message to the holder."""
        holder = self.holder
        if holder == self.node:
            self.on_message(self.node, message)
        elif holder:
            self._actions.append(TellEntry(holder, message))

    def tell_workers(self) -> None:
        """Tells the holder, once a grant, of all workers known here.

        It may be new and lack those that only this hall's control node has
        heard of, while a job that comes with this runs on one of them.
        """
        told = (self.holder, self.epoch)
        if told == self._told_workers or self.holder == self.node:
            return
        self._told_workers = told
        infos = tuple(self._workers.values())
        self._actions.append(TellEntry(self.holder, WorkersPush(infos)))

    # Nodes.

    def on_open(self, greeting: NodeGreeting) -> None:
        """Learns that a node is connected."""
        self._open_nodes[greeting.node] = greeting
        self._role.note_outside(self._open_nodes.values())
        if greeting.node == self.holder:
            self.callers.hand_over_all()

    def on_closed(self, node: str) -> None:
        """Learns that a node is not connected any more."""
        self._role.note_outside(self._open_nodes.values())
        self._open_nodes.pop(node, None)
        self.callers.forget_sent_to(node)

    def on_message(self, node: str, message: Message) -> None:
        """Takes a message of a node."""
        match message:
            case Grant():
                self._on_grant(message)
            case WorkersPush(workers=workers):
                for info in workers:
                    self._on_worker(info)
            case WorkerLeft(name=name):
                self._on_worker_left(name)
            case SubmitJob():
                self._on_submit(node, message)
            case CancelJob():
                if self.dispatcher:
                    self.dispatcher.on_cancel(node, message)
            case JobEnded():
                self.callers.on_job_ended(node, message)
            case JobCancelled():
                self.callers.on_cancelled(message)
            case StateTold():
                self.callers.on_state(message)
            case QueueCounts(waiting=waiting):
                self._waiting_kept = waiting
                self._serves_kept = True
            case AskState() | HolderLease() | JobsLoaded() | JobsWritten():
                if self.dispatcher and self.dispatcher.kept:
                    _tell_kept(self.dispatcher.kept, node, message)

    def on_config(self, table: RoutingTable) -> bool:
        """Puts a configuration in force unless a version as high is."""
        if table.version <= self.routes.version:
            return False
        self.routes = Routes(table)
        return True

    def needs_config(self, push: ConfigPush) -> bool:
        """Tells whether a pushed configuration is newer than the one held."""
        return push.version > self.routes.version

    def _on_worker(self, info: WorkerInfo) -> None:
        known = self._workers.get(info.name)
        if known and known.sequence > info.sequence:
            return
        self._workers[info.name] = info
        if self.dispatcher and self._is_held(info):
            self.dispatcher.on_worker(info)

    def _on_worker_left(self, name: str) -> None:
        self._workers.pop(name, None)
        if self.dispatcher:
            self.dispatcher.fleet.on_worker_left(name)

    def _is_held(self, info: WorkerInfo) -> bool:
        return not self._holds_hall_only or info.hall == self.hall

    def _on_submit(self, node: str, submit: SubmitJob) -> None:
        if self.dispatcher and submit.epoch <= self.epoch:
            self.dispatcher.on_submit(node, submit)
        else:
            self._early.append((self._clock.now_ms(), node, submit))

    # Holding.

    def _on_grant(self, grant: Grant) -> None:
        if grant.epoch <= self.epoch:
            return
        is_same = self._role.on_grant(grant)
        self._actions.append(Dial(grant.holder))
        if self._role.standby:
            self._actions.append(Dial(self._role.standby))
        self._choose_part()
        if not is_same:
            self.callers.forget_sent_to(None)
            self.callers.hand_over_all()

    def _choose_part(self) -> None:
        """Begins or ends holding workers, as the grant and the links say."""
        is_standby = self._role.is_standby and not self.is_stopping
        if not self._role.is_holder and not is_standby:
            self.dispatcher = None
            return
        is_going_on = self.dispatcher and self._holds_hall_only == is_standby
        if is_going_on and self._goes_on_holding(self.dispatcher):
            return
        self._holds_hall_only = is_standby
        self._begin_to_hold()

    def _goes_on_holding(self, dispatcher: Dispatcher) -> bool:
        """Goes on under the present grant, unless another held between."""
        fence = self._role.fence
        if dispatcher.fleet.fence == fence:
            return True
        if not self._holds_hall_only and not dispatcher.follows(self.epoch):
            return False
        dispatcher.raise_fence(fence, self.epoch)
        return True

    def _begin_to_hold(self) -> None:
        ledger: JobLedger | None = None
        if not self._holds_hall_only:
            ledger = JobLedger(self._clock, self.epoch)
        self.dispatcher = Dispatcher(
            self._clock,
            self._timing,
            self._role.fence,
            ledger,
            self._started_ms,
        )
        self.dispatcher.fleet.serves_kept = self._serves_kept
        self._send_status()
        for info in self._workers.values():
            if self._is_held(info):
                self.dispatcher.on_worker(info)
        self.callers.forget_sent_to(self.node)
        early = self._early
        self._early = []
        for _, node, submit in early:
            self._on_submit(node, submit)
        self.callers.hand_over_all()

    @property
    def _needs_epoch(self) -> bool:
        """Whether the holder should get a higher fence.

        The stand-by of a hall that was cut off keeps the hall's workers until
        the next grant, so that its jobs end where they run.
        """
        if self._role.uses_standby:
            return not self._role.is_isolated
        return (
            self._role.is_holder
            and self.dispatcher is not None
            and self.dispatcher.is_fenced
        )

    # Time.

    def tick(self) -> None:
        """Lets time act."""
        now_ms = self._clock.now_ms()
        self._role.note_outside(self._open_nodes.values())
        self._role.tick()
        self._choose_part()
        if self.dispatcher:
            self.dispatcher.tick()
            self._spread_gone(self.dispatcher)
        self.callers.tick()
        self._early = [
            early for early in self._early if now_ms - early[0] < EARLY_MS
        ]
        if now_ms >= self._next_status_ms:
            self._next_status_ms = now_ms + STATUS_MS
            self._send_status()
            self._tell_counts()

    def _spread_gone(self, dispatcher: Dispatcher) -> None:
        """Has every entry forget the workers whose lives are over."""
        for name in dispatcher.fleet.take_gone():
            self._workers.pop(name, None)
            self._tell_all(ENTRY_ROLE, WorkerLeft(name))

    def _send_status(self) -> None:
        status = EntryStatus(
            self.routes.version,
            self.epoch,
            self.is_stopping,
            self._needs_epoch,
            self._clock.now_ms(),
        )
        self._tell_all(CONTROL_ROLE, status)

    def _tell_counts(self) -> None:
        """Tells every entry, while this node holds, how many jobs wait."""
        kept = self.dispatcher.kept if self.dispatcher else None
        if kept is None or not kept.is_used:
            return
        self._waiting_kept = kept.waiting()
        self._serves_kept = True
        self._tell_all(ENTRY_ROLE, QueueCounts(self._waiting_kept))

    def _tell_all(self, role: str, message: Message) -> None:
        for greeting in self._open_nodes.values():
            if greeting.role == role:
                self._actions.append(TellEntry(greeting.node, message))

    def begin_stop(self) -> None:
        """Asks for another holder, if it is one; takes no new part."""
        self.is_stopping = True
        self._send_status()

    # Answers of workers.

    def on_start_answer(
        self, name: str, task_id: TaskId, number: int, answer: OrderAnswer
    ) -> None:
        """Takes a worker's answer to a start."""
        if self.dispatcher:
            self.dispatcher.fleet.on_start_answer(name, task_id, number, answer)

    def on_stop_answer(
        self, name: str, task_id: TaskId, number: int, answer: OrderAnswer
    ) -> None:
        """Takes a worker's answer to a stop."""
        if self.dispatcher:
            self.dispatcher.fleet.on_stop_answer(name, task_id, number, answer)

    def on_hold_answer(
        self, name: str, call: int, sent_ms: float, answer: HoldAnswer
    ) -> None:
        """Takes a worker's answer to a hold."""
        if self.dispatcher:
            self.dispatcher.fleet.on_hold_answer(name, call, sent_ms, answer)

    def on_advice(self, call: int, advice: Advice) -> None:
        """Takes the advisor's answer."""
        if self.dispatcher:
            self.dispatcher.on_advice(call, advice)

    # Actions.

    def take_actions(self) -> list[EntryAction]:
        """Returns what is to be done since the last call."""
        if self.dispatcher:
            self.dispatcher.place()
            self._take_orders(self.dispatcher)
        actions = self._actions + self.callers.actions
        self._actions = []
        self.callers.actions = []
        return actions

    def _take_orders(self, dispatcher: Dispatcher) -> None:
        """Passes on what the dispatcher wants done; answers itself at once."""
        for order in dispatcher.take_actions():
            if isinstance(order, TellEntry) and order.node == self.node:
                self.on_message(self.node, order.message)
            else:
                self._actions.append(order)


def _tell_kept(kept: KeptJobs, node: str, message: Message) -> None:
    match message:
        case AskState():
            kept.on_ask(node, message)
        case HolderLease():
            kept.on_lease(node, message)
        case JobsLoaded():
            kept.on_loaded(node, message)
        case JobsWritten():
            kept.on_written(message)
