"""One entry's decisions: its callers' jobs, and who holds the workers.

An entry hands each job to the holder and answers its caller when the holder
tells the end. Any entry may itself be the holder, or the stand-by that holds
its hall's workers while the hall is cut off.
"""

from clayfield.base import Clock
from clayfield.pool.dispatcher import Dispatcher
from clayfield.pool.kept import KeptJobs
from clayfield.pool.ledger import JobLedger
from clayfield.pool.orders import (
    HoldAnswer,
    OrderAnswer,
    PoolAction,
    TellEntry,
)
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
from clayfield.wire.jobs import (
    Job,
    Reason,
    RoutingTable,
    Verdict,
    WorkerInfo,
)
from clayfield.wire.ledger import HolderLease, JobsLoaded, JobsWritten
from clayfield.wire.messages import Message

CONTROL_ROLE = "control"
ENTRY_ROLE = "entry"
STATUS_MS = 200.0
# A hall counts as cut off when it has heard neither the holder nor a control
# node elsewhere for so long.
ISOLATED_MS = 300.0
# How long a job that was never sent waits for a holder, as a part of its
# objective; the part for which nobody minds a refusal.
PATIENCE_SHARE = 0.2
NO_HOLDER_RETRY_MS = 500.0
# How long jobs are kept that come before the grant that makes this node the
# holder.
EARLY_MS = 1000.0
FENCES_AN_EPOCH = 4
STANDBY_FENCE = 1


def holder_fence(epoch: int) -> int:
    """Returns the fence of a grant's holder."""
    return epoch * FENCES_AN_EPOCH


def standby_fence(epoch: int) -> int:
    """Returns the fence of a grant's stand-bys, above the holder's."""
    return epoch * FENCES_AN_EPOCH + STANDBY_FENCE


class AnswerCaller:
    """Answer a caller."""

    __slots__ = ("ended", "waiter")

    def __init__(self, waiter: int, ended: JobEnded):
        self.waiter = waiter
        self.ended = ended


class AnswerCancel:
    """Answer a caller that cancels a job.

    Attributes:
        is_known: whether there was such a job; None where nobody can tell.
    """

    __slots__ = ("is_known", "waiter")

    def __init__(self, waiter: int, is_known: bool | None):
        self.waiter = waiter
        self.is_known = is_known


class AnswerState:
    """Answer a caller that asks for a kept job.

    Attributes:
        told: where it stands, None where nobody can tell.
    """

    __slots__ = ("told", "waiter")

    def __init__(self, waiter: int, told: StateTold | None):
        self.waiter = waiter
        self.told = told


class Dial:
    """Keep a node connected."""

    __slots__ = ("node",)

    def __init__(self, node: str):
        self.node = node


EntryAction = PoolAction | AnswerCaller | AnswerCancel | AnswerState | Dial


class _Pending:
    """A job whose callers wait.

    Attributes:
        sent_to: the holder that it was sent to last, "" before.
        was_sent: whether it was ever sent.
    """

    __slots__ = ("arrived_ms", "job", "sent_to", "waiters", "was_sent")

    def __init__(self, job: Job, waiter: int, arrived_ms: float):
        self.job = job
        self.waiters = [waiter]
        self.arrived_ms = arrived_ms
        self.sent_to = ""
        self.was_sent = False


class _Question:
    """What a caller wants of a job, and the holder has not answered yet."""

    __slots__ = ("is_cancel", "since_ms", "waiter")

    def __init__(self, waiter: int, since_ms: float, is_cancel: bool):
        self.waiter = waiter
        self.since_ms = since_ms
        self.is_cancel = is_cancel


class Entry:
    """The decisions of one entry.

    Attributes:
        node: its name.
        hall: where it stands.
        routes: the routes in force.
        grant: the latest grant that it knows.
        dispatcher: set while it holds workers.
        is_stopping: whether it is to hold nothing any more.
        is_refusing: whether it takes no jobs any more.
    """

    def __init__(self, node: str, hall: str, clock: Clock, timing: PoolTiming):
        self.node = node
        self.hall = hall
        self.routes = Routes()
        self.grant = Grant(0, "")
        self.dispatcher: Dispatcher | None = None
        self.is_stopping = False
        self.is_refusing = False
        self._clock = clock
        self._timing = timing
        self._is_standby = False
        self._uses_standby = False
        self._open_nodes: dict[str, NodeGreeting] = {}
        self._workers: dict[str, WorkerInfo] = {}
        self._pending: dict[str, _Pending] = {}
        self._questions: dict[int, _Question] = {}
        self._waiting_kept: dict[str, int] = {}
        self._serves_kept = False
        self._early: list[tuple[float, str, SubmitJob]] = []
        self._actions: list[EntryAction] = []
        self._next_status_ms = 0.0
        self._outside_ms = clock.now_ms()
        self._started_ms = clock.now_ms()
        self._requests = 0
        self._told_workers = ("", 0)

    # Questions.

    @property
    def holder(self) -> str:
        """The node to hand jobs to, "" where none is known."""
        if self._uses_standby:
            return self.grant.standbys.get(self.hall, "")
        return self.grant.holder

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
        """How many jobs wait for their end here."""
        return len(self._pending)

    def waiting_of(self, queue: str) -> int:
        """Returns how many jobs of a queue wait: kept, or open here."""
        open_here = sum(
            one.job.queue == queue and not one.job.is_kept
            for one in self._pending.values()
        )
        return open_here + self._waiting_kept.get(queue, 0)

    def _is_isolated(self) -> bool:
        return self._clock.now_ms() - self._outside_ms > ISOLATED_MS

    # Callers.

    def submit(self, job: Job, waiter: int) -> None:
        """Takes a job; `AnswerCaller` tells its end."""
        known = self._pending.get(job.key)
        if known:
            known.waiters.append(waiter)
            return
        pending = _Pending(job, waiter, self._clock.now_ms())
        self._pending[job.key] = pending
        if self.is_refusing:
            self._end(pending, Verdict.REFUSED, Reason.STOPPING)
        else:
            self._hand_over(pending)

    def leave(self, key: str, waiter: int) -> None:
        """Learns that a caller waits no more."""
        pending = self._pending.get(key)
        if pending is None or waiter not in pending.waiters:
            return
        pending.waiters.remove(waiter)
        if not pending.waiters and not pending.job.is_kept:
            del self._pending[key]
            self._tell_holder(CancelJob(0, key))

    def cancel(self, key: str, waiter: int) -> None:
        """Ends a job, whoever submitted it; `AnswerCancel` tells."""
        number = self._ask(waiter, is_cancel=True)
        if number:
            self._tell_holder(CancelJob(number, key))

    def ask_state(self, key: str, waiter: int) -> None:
        """Asks where a kept job stands; `AnswerState` tells."""
        number = self._ask(waiter, is_cancel=False)
        if number:
            self._tell_holder(AskState(number, key))

    def _ask(self, waiter: int, is_cancel: bool) -> int:
        """Notes a question; returns its number, 0 if nobody can be asked."""
        question = _Question(waiter, self._clock.now_ms(), is_cancel)
        if not self.is_holder_reachable:
            self._answer_unknown(question)
            return 0
        self._requests += 1
        self._questions[self._requests] = question
        return self._requests

    def _answer_unknown(self, question: _Question) -> None:
        if question.is_cancel:
            self._actions.append(AnswerCancel(question.waiter, None))
        else:
            self._actions.append(AnswerState(question.waiter, None))

    # Nodes.

    def on_open(self, greeting: NodeGreeting) -> None:
        """Learns that a node is connected."""
        self._open_nodes[greeting.node] = greeting
        self._note_outside()
        if greeting.node == self.holder:
            self._hand_over_all()

    def on_closed(self, node: str) -> None:
        """Learns that a node is not connected any more."""
        self._note_outside()
        self._open_nodes.pop(node, None)
        self._forget_sent_to(node)

    def on_message(self, node: str, message: Message) -> None:
        """Takes a message of a node."""
        match message:
            case Grant():
                self._on_grant(message)
            case WorkersPush(workers=workers):
                for info in workers:
                    self._on_worker(info)
            case WorkerLeft(name=name):
                self._workers.pop(name, None)
                if self.dispatcher:
                    self.dispatcher.fleet.on_worker_left(name)
            case SubmitJob():
                self._on_submit(node, message)
            case CancelJob():
                if self.dispatcher:
                    self.dispatcher.on_cancel(node, message)
            case JobEnded():
                self._on_job_ended(message)
            case JobCancelled(request=request, is_known=is_known):
                asked = self._questions.pop(request, None)
                if asked:
                    self._actions.append(AnswerCancel(asked.waiter, is_known))
            case StateTold(request=request):
                asked = self._questions.pop(request, None)
                if asked:
                    self._actions.append(AnswerState(asked.waiter, message))
            case QueueCounts(waiting=waiting):
                self._waiting_kept = waiting
                self._serves_kept = True
            case AskState() | HolderLease() | JobsLoaded() | JobsWritten():
                if self.dispatcher and self.dispatcher.kept:
                    self._on_kept(self.dispatcher.kept, node, message)

    def _on_kept(self, kept: KeptJobs, node: str, message: Message) -> None:
        match message:
            case AskState():
                kept.on_ask(node, message)
            case HolderLease():
                kept.on_lease(node, message)
            case JobsLoaded():
                kept.on_loaded(node, message)
            case JobsWritten():
                kept.on_written(message)

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

    def _is_held(self, info: WorkerInfo) -> bool:
        return not self._is_standby or info.hall == self.hall

    def _on_submit(self, node: str, submit: SubmitJob) -> None:
        if self.dispatcher and submit.epoch <= self.grant.epoch:
            self.dispatcher.on_submit(node, submit)
        else:
            self._early.append((self._clock.now_ms(), node, submit))

    def _on_job_ended(self, ended: JobEnded) -> None:
        pending = self._pending.pop(ended.key, None)
        if pending is None:
            return
        for waiter in pending.waiters:
            self._actions.append(AnswerCaller(waiter, ended))

    # Holding.

    def _on_grant(self, grant: Grant) -> None:
        if grant.epoch <= self.grant.epoch:
            return
        is_same = grant.holder == self.grant.holder and not self._uses_standby
        self.grant = grant
        # A grant is proof of a majority that was just heard.
        self._outside_ms = self._clock.now_ms()
        self._uses_standby = False
        self._actions.append(Dial(grant.holder))
        standby = grant.standbys.get(self.hall)
        if standby:
            self._actions.append(Dial(standby))
        self._choose_part(is_same)
        if not is_same:
            self._forget_sent_to(None)
            self._hand_over_all()

    def _choose_part(self, is_same_holder: bool = True) -> None:
        """Begins or ends holding workers, as the grant and the links say."""
        is_holder = self.grant.holder == self.node
        is_standby = not is_holder and self._should_stand_in()
        if not is_holder and not is_standby:
            self.dispatcher = None
            return
        epoch = self.grant.epoch
        fence = holder_fence(epoch) if is_holder else standby_fence(epoch)
        if self.dispatcher and self._is_standby == is_standby:
            if self.dispatcher.fleet.fence == fence:
                return
            if is_standby or self.dispatcher.follows(epoch):
                self.dispatcher.raise_fence(fence, epoch)
                return
        self._is_standby = is_standby
        self._begin_to_hold(fence)

    def _begin_to_hold(self, fence: int) -> None:
        ledger: JobLedger | None = None
        if not self._is_standby:
            ledger = JobLedger(self._clock, self.grant.epoch)
        self.dispatcher = Dispatcher(
            self._clock, self._timing, fence, ledger, self._started_ms
        )
        self.dispatcher.fleet.serves_kept = self._serves_kept
        self._send_status()
        for info in self._workers.values():
            if self._is_held(info):
                self.dispatcher.on_worker(info)
        self._forget_sent_to(self.node)
        early = self._early
        self._early = []
        for _, node, submit in early:
            self._on_submit(node, submit)
        self._hand_over_all()

    def _should_stand_in(self) -> bool:
        is_named = self.grant.standbys.get(self.hall) == self.node
        return is_named and not self.is_stopping and self._uses_standby

    @property
    def _needs_epoch(self) -> bool:
        """Whether the holder should get a higher fence.

        The stand-by of a hall that was cut off keeps the hall's workers until
        the next grant, so that its jobs end where they run.
        """
        if self._uses_standby:
            return not self._is_isolated()
        is_holder = self.grant.holder == self.node
        return (
            is_holder
            and self.dispatcher is not None
            and self.dispatcher.is_fenced
        )

    def _note_outside(self) -> None:
        """Notes that a node that is not cut off with this hall is heard."""
        if self.grant.holder == self.node:
            self._outside_ms = self._clock.now_ms()
            return
        for greeting in self._open_nodes.values():
            is_outside = (
                greeting.role == CONTROL_ROLE and greeting.hall != self.hall
            )
            if is_outside or greeting.node == self.grant.holder:
                self._outside_ms = self._clock.now_ms()
                return

    # Jobs to the holder.

    def _forget_sent_to(self, node: str | None) -> None:
        """Has the jobs that a node (None: any) was sent handed over again."""
        for pending in self._pending.values():
            if node is None or pending.sent_to == node:
                pending.sent_to = ""

    def _hand_over_all(self) -> None:
        for pending in self._pending.values():
            self._hand_over(pending)

    def _hand_over(self, pending: _Pending) -> None:
        holder = self.holder
        if pending.sent_to == holder or not self.is_holder_reachable:
            return
        is_for_holder = pending.was_sent or pending.job.is_kept
        if is_for_holder and self._uses_standby:
            # It may run on workers that the stand-by cannot reach, or be kept,
            # which takes a majority. When the hall is joined with the others
            # again, the holder will tell.
            return
        submit = SubmitJob(
            pending.job,
            self._clock.now_ms() - pending.arrived_ms,
            self.grant.epoch,
            pending.was_sent,
        )
        if pending.was_sent and holder != self.node:
            self._tell_workers(holder)
        pending.sent_to = holder
        pending.was_sent = True
        self._tell_holder(submit)

    def _tell_workers(self, holder: str) -> None:
        """Tells a holder, once a grant, of all workers known here.

        It may be new and lack those that only this hall's control node has
        heard of, while a job that comes with this runs on one of them.
        """
        told = (holder, self.grant.epoch)
        if told != self._told_workers:
            self._told_workers = told
            infos = tuple(self._workers.values())
            self._actions.append(TellEntry(holder, WorkersPush(infos)))

    def _tell_holder(self, message: Message) -> None:
        holder = self.holder
        if not holder:
            return
        if holder == self.node:
            self.on_message(self.node, message)
        else:
            self._actions.append(TellEntry(holder, message))

    # Time.

    def tick(self) -> None:
        """Lets time act."""
        now_ms = self._clock.now_ms()
        self._note_outside()
        if self.grant.epoch and self._is_isolated():
            self._uses_standby = True
        self._choose_part()
        if self.dispatcher:
            self.dispatcher.tick()
            self._spread_gone(self.dispatcher)
        for pending in list(self._pending.values()):
            self._tick_pending(pending, now_ms)
        for request, question in list(self._questions.items()):
            if now_ms - question.since_ms > QUESTION_MS:
                del self._questions[request]
                self._answer_unknown(question)
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
            for greeting in self._open_nodes.values():
                if greeting.role == ENTRY_ROLE:
                    self._actions.append(
                        TellEntry(greeting.node, WorkerLeft(name))
                    )

    def _tick_pending(self, pending: _Pending, now_ms: float) -> None:
        self._hand_over(pending)
        age_ms = now_ms - pending.arrived_ms
        job = pending.job
        if age_ms > job.timeout_ms + HOLDER_SLACK_MS:
            verdict = Verdict.ABANDONED if pending.was_sent else Verdict.REFUSED
            self._end(pending, verdict, Reason.TIMED_OUT)
        elif not pending.was_sent and age_ms > _patience_ms(job):
            self._end(pending, Verdict.REFUSED, Reason.NO_HOLDER)

    def _end(self, pending: _Pending, verdict: Verdict, reason: Reason) -> None:
        ended = JobEnded(pending.job.key, verdict, reason, NO_HOLDER_RETRY_MS)
        self._on_job_ended(ended)

    def _send_status(self) -> None:
        status = EntryStatus(
            self.routes.version,
            self.grant.epoch,
            self.is_stopping,
            self._needs_epoch,
            self._clock.now_ms(),
        )
        for greeting in self._open_nodes.values():
            if greeting.role == CONTROL_ROLE:
                self._actions.append(TellEntry(greeting.node, status))

    def _tell_counts(self) -> None:
        """Tells every entry, while this node holds, how many jobs wait."""
        if self.dispatcher is None or self.dispatcher.kept is None:
            return
        if not self.dispatcher.kept.is_used:
            return
        waiting = self.dispatcher.kept.waiting()
        self._waiting_kept = waiting
        self._serves_kept = True
        for greeting in self._open_nodes.values():
            if greeting.role == ENTRY_ROLE:
                told = QueueCounts(waiting)
                self._actions.append(TellEntry(greeting.node, told))

    def give_up_all(self) -> None:
        """Answers every caller that still waits: the process ends."""
        for pending in list(self._pending.values()):
            verdict = Verdict.ABANDONED if pending.was_sent else Verdict.REFUSED
            self._end(pending, verdict, Reason.STOPPING)

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

    # Actions.

    def take_actions(self) -> list[EntryAction]:
        """Returns what is to be done since the last call."""
        if self.dispatcher:
            self.dispatcher.place()
            self._take_orders(self.dispatcher)
        actions = self._actions
        self._actions = []
        return actions

    def _take_orders(self, dispatcher: Dispatcher) -> None:
        """Passes on what the dispatcher wants done; answers itself at once."""
        for order in dispatcher.take_actions():
            if isinstance(order, TellEntry) and order.node == self.node:
                self.on_message(self.node, order.message)
            else:
                self._actions.append(order)


# How long the holder may take to answer a question.
QUESTION_MS = 1000.0
# How much longer than the job's own time its entry waits for the holder.
HOLDER_SLACK_MS = 100.0


def _patience_ms(job: Job) -> float:
    longest_ms = sum(step.estimate_ms for step in job.steps)
    return PATIENCE_SHARE * (job.stretch * longest_ms + job.target_ms)
