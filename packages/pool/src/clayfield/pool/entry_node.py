"""An entry node: forwards its callers' jobs and may schedule the workers.

An entry node forwards each job to the holder, the entry node that schedules
all workers under the current grant of the control nodes, and answers the
caller when the holder reports the end of the job. Any entry node may itself be
the holder, or the standby that schedules its hall's workers while the hall is
partitioned from the holder.
"""

import msgspec

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.base.repeats import RepeatFilter
from clayfield.pool.actions import ConnectNode, EntryAction
from clayfield.pool.callers import HolderLink, PendingCallers
from clayfield.pool.commands import Advice, CommandReply, PollReply, SendToNode
from clayfield.pool.dispatcher import Dispatcher
from clayfield.pool.final_replies import FinalReplies
from clayfield.pool.job_memory import JobMemory
from clayfield.pool.job_store_client import JobStoreClient
from clayfield.pool.kept import KeptJobs
from clayfield.pool.role import CONTROL_ROLE, ENTRY_ROLE, Role
from clayfield.pool.routing import Routes
from clayfield.pool.tasks import TaskId
from clayfield.pool.timing import PoolTiming
from clayfield.pool.worker_registry import WorkerRegistry
from clayfield.pool.worker_relay import WorkerRelay
from clayfield.wire.checks import find_heartbeat_error
from clayfield.wire.cluster import (
    CancelJob,
    CancelReply,
    ConfigPush,
    EntryStatus,
    Grant,
    JobEnded,
    JobStateReply,
    JobStateRequest,
    NodeGreeting,
    QueueCounts,
    SessionProbe,
    SessionReply,
    SubmitJob,
    WorkerLeft,
    WorkersPush,
)
from clayfield.wire.heartbeats import log_ignored
from clayfield.wire.job_store import HolderLease, JobsLoaded, JobsWritten
from clayfield.wire.jobs import Job, Reason, RoutingTable, WorkerInfo
from clayfield.wire.messages import Message

# Interval between status messages.
STATUS_MS = 200.0
# Least time between two log lines about rejected heartbeats of one name.
LOG_INTERVAL_MS = 10_000.0


class EntryNode(HolderLink):
    """The state machine of one entry node.

    It does no I/O: it is fed events and a clock, and returns the actions to
    carry out.

    Attributes:
        node: name of the node.
        hall: hall of the node.
        routes: the active routing table.
        memory: the memory of all jobs of the node.
        callers: jobs and requests of callers that wait here.
        dispatcher: schedules workers; None unless this node is the holder or
            the active standby.
        is_stopping: whether a planned shutdown has started.
        rejects_jobs: whether it refuses new jobs.
    """

    def __init__(
        self,
        node: str,
        hall: str,
        clock: Clock,
        timing: PoolTiming,
        memory: JobMemory | None = None,
    ):
        self.node = node
        self.hall = hall
        self.routes = Routes()
        self.memory = memory or JobMemory()
        self.callers = PendingCallers(clock, self, timing, self.memory)
        self.dispatcher: Dispatcher | None = None
        self.is_stopping = False
        self.rejects_jobs = False
        self._clock = clock
        self._timing = timing
        self._role = Role(node, hall, clock)
        self._is_hall_only = False
        self._open_nodes: dict[str, NodeGreeting] = {}
        self._last_connected_ms: dict[str, float] = {}
        self._workers = WorkerRegistry()
        self._relay = WorkerRelay(clock)
        self._rejections = RepeatFilter(clock, LOG_INTERVAL_MS)
        # Names whose heartbeats describe no worker of a known service.
        self._unused_names: set[str] = set()
        # Workers that have left and may still run tasks, with the time.
        self._left_workers: list[tuple[float, WorkerInfo]] = []
        self._kept_counts: dict[str, int] = {}
        self._has_kept_jobs = False
        # The last node that reported, as the holder, no use of kept jobs.
        self._unused_at = ""
        # Shared by all dispatchers, since a copy of a refused job may arrive
        # after the next grant.
        self._replies = FinalReplies(clock)
        self._early_submits: list[tuple[float, str, SubmitJob]] = []
        self._min_submit_epoch = 0
        self._actions: list[EntryAction] = []
        self._next_status_ms = 0.0
        # Kept beyond a connection: the control node may notice its end later,
        # or earlier, than this node does.
        self._received_versions: dict[str, int] = {}
        self._started_ms = clock.now_ms()
        self._workers_sent_to = ("", 0)

    # Queries.

    @property
    def grant(self) -> Grant:
        """The latest grant that the node has received."""
        return self._role.grant

    @property
    def epoch(self) -> int:
        """Epoch of the latest grant."""
        return self._role.grant.epoch

    @property
    def holder(self) -> str:
        """Name of the node to send jobs to, "" if none is known."""
        return self._role.holder

    @property
    def uses_standby(self) -> bool:
        """Whether `holder` is the standby of a partitioned hall."""
        return self._role.uses_standby

    @property
    def is_holder_reachable(self) -> bool:
        """Whether jobs can be sent to the holder now."""
        holder = self.holder
        if holder == self.node:
            return self.dispatcher is not None
        return bool(holder) and holder in self._open_nodes

    @property
    def is_ready(self) -> bool:
        """Whether this node can serve callers."""
        return (
            not self.is_stopping
            and self.routes.version > 0
            and self.is_holder_reachable
        )

    @property
    def known_workers(self) -> set[str]:
        """Names of the workers that this node has received a heartbeat of."""
        return set(self._workers.names())

    @property
    def open_jobs(self) -> int:
        """Number of jobs whose callers wait here."""
        return self.callers.open_jobs

    def pending_count(self, queue: str) -> int:
        """Returns how many jobs of a queue wait.

        Counts the kept jobs of all entry nodes and the other jobs of this one.
        """
        kept_count = self._kept_counts.get(queue, 0)
        return kept_count + self.callers.pending_count(queue)

    # Callers.

    def submit(self, job: Job, request_id: int) -> None:
        """Submits a caller's job; a `ReplyToCaller` action reports its result.

        Args:
            job: the job.
            request_id: number of the caller.
        """
        if self.rejects_jobs and not self.callers.has_job(job.key):
            self.callers.refuse(job, request_id, Reason.STOPPING)
        else:
            self.callers.submit(job, request_id)

    def fail_all(self) -> None:
        """Ends all pending jobs because the process stops."""
        self.callers.fail_all(Reason.STOPPING)

    # The holder.

    def send_to_holder(self, message: Message) -> None:
        """Sends a message to the holder."""
        holder = self.holder
        if holder == self.node:
            self.on_message(self.node, message)
        elif holder:
            self._actions.append(SendToNode(holder, message))

    def send_workers(self) -> None:
        """Sends all workers known here to the holder, if it may lack them.

        They are sent once for each grant and connection. A new holder may lack
        workers whose heartbeats only the control node of this hall has
        received, while a job that is sent with this message runs on one of
        them.
        """
        recipient = (self.holder, self.epoch)
        if recipient == self._workers_sent_to or self.holder == self.node:
            return
        self._workers_sent_to = recipient
        infos = self._workers.all()
        self._actions.append(SendToNode(self.holder, WorkersPush(infos)))

    # Nodes.

    def on_connected(self, greeting: NodeGreeting) -> None:
        """Handles a new connection to a node."""
        self._open_nodes[greeting.node] = greeting
        self._last_connected_ms[greeting.hall] = self._clock.now_ms()
        if greeting.node == self._unused_at:
            # A report may have been lost with the former connection.
            self._unused_at = ""
        self._role.update_reachability(self._open_nodes.values())
        if greeting.role == ENTRY_ROLE and self.dispatcher:
            self._send(greeting.node, self._scheduled_workers())
        if greeting.node == self.holder:
            self.callers.forward_all()

    def on_disconnected(self, node: str) -> None:
        """Handles the loss of the connection to a node."""
        self._role.update_reachability(self._open_nodes.values())
        self._open_nodes.pop(node, None)
        if node == self._workers_sent_to[0]:
            self._workers_sent_to = ("", 0)
        self._relay.on_disconnected(node)
        self.callers.mark_unsent(node)

    def on_message(self, node: str, message: Message) -> None:
        """Handles a message from a node."""
        match message:
            case Grant():
                self._on_grant(message)
            case WorkersPush(workers=workers):
                for info in workers:
                    self._on_worker_heartbeat(node, info)
            case WorkerLeft():
                self._on_worker_removed(message)
            case SubmitJob():
                self._on_submit(node, message)
            case CancelJob():
                self._on_cancel(node, message)
            case SessionProbe():
                self.callers.on_probe(node, message)
            case SessionReply():
                if self.dispatcher:
                    self.dispatcher.on_session_reply(node, message)
            case JobEnded():
                self.callers.on_job_ended(node, message)
            case CancelReply():
                self.callers.on_cancel_reply(message)
            case JobStateReply():
                self.callers.on_state_reply(message)
            case QueueCounts():
                self._on_counts(node, message)
            case (
                JobStateRequest() | HolderLease() | JobsLoaded() | JobsWritten()
            ):
                if self.dispatcher and self.dispatcher.kept_jobs:
                    _route_to_kept_jobs(
                        self.dispatcher.kept_jobs, node, message
                    )
                    # Loaded jobs may be of a service that is not named.
                    self._use_waiting_workers()

    def on_config(self, table: RoutingTable) -> bool:
        """Activates a configuration if its version is newer.

        Returns:
            Whether the configuration was activated.
        """
        if table.version <= self.routes.version:
            return False
        self.routes = Routes(table)
        self._send_status()
        self._use_waiting_workers()
        return True

    def on_config_received(self, control: str, version: int) -> None:
        """Acknowledges a copy of a configuration to the control node.

        Args:
            control: the control node that sent it.
            version: version of the configuration.
        """
        received = self._received_versions.get(control, 0)
        self._received_versions[control] = max(received, version)
        self._send_status_to(control)

    def needs_config(self, push: ConfigPush) -> bool:
        """Returns whether a pushed configuration is newer than the active."""
        return push.version > self.routes.version

    def _on_worker_heartbeat(self, node: str, info: WorkerInfo) -> None:
        error = find_heartbeat_error(info)
        if error:
            # A control node of an earlier version passes it on unchecked.
            if self._rejections.is_due(info.name):
                emit(Event.HEARTBEAT_REJECTED, worker=info.name, error=error)
            return
        latest = self._workers.put(info)
        if latest:
            log_ignored(info, latest)
        else:
            self._record_source(node, info)
            self._use_workers([info.name])

    def _record_source(self, node: str, info: WorkerInfo) -> None:
        """Records whether the holder has a heartbeat or may lack it."""
        greeting = self._open_nodes.get(node)
        if greeting and greeting.role == ENTRY_ROLE:
            self._relay.on_report(node, info)
        else:
            self._relay.on_heartbeat(info)

    def _use_worker(self, dispatcher: Dispatcher, name: str) -> bool:
        """Passes the latest heartbeat of a worker to the dispatcher.

        A worker of a service that neither the configuration nor an open job
        names waits until one does; an open job goes on after a configuration
        that no longer names its service.

        Returns:
            Whether the dispatcher lacked the worker.
        """
        former = dispatcher.fleet.workers.get(name)
        in_use = former.info if former else None
        # Before the first configuration any service may be named.
        services = self.routes.services if self.routes.version else None
        info = self._workers.select(name, services, in_use)
        info = info or self._workers.select(name, dispatcher.services)
        if info is None:
            self._unused_names.add(name)
            return False
        self._unused_names.discard(name)
        if not self._is_scheduled_here(info):
            return False
        dispatcher.on_worker_heartbeat(info)
        return in_use is None

    def _use_workers(self, names: list[str]) -> None:
        """Passes workers to the dispatcher, and the new ones to other nodes."""
        if self.dispatcher is None:
            return
        fleet = self.dispatcher.fleet
        new_infos = tuple(
            fleet.workers[name].info
            for name in names
            if self._use_worker(self.dispatcher, name)
        )
        if new_infos:
            self._broadcast(ENTRY_ROLE, WorkersPush(new_infos))

    def _use_waiting_workers(self) -> None:
        """Uses the workers whose service has become known since."""
        if self._unused_names:
            self._unused_names.intersection_update(self._workers.names())
            self._use_workers(sorted(self._unused_names))

    def _on_worker_removed(self, left: WorkerLeft) -> None:
        self._forget_worker(left.name, left.born_ms, left.address)
        if self.dispatcher is None:
            return
        in_use = self.dispatcher.fleet.workers.get(left.name)
        if in_use and left.address in ("", in_use.info.address):
            self.dispatcher.fleet.on_worker_left(left.name, left.born_ms)

    def _forget_worker(self, name: str, born_ms: int, address: str) -> None:
        """Drops a worker's heartbeats, unless they are of a later incarnation.

        Args:
            name: name of the worker.
            born_ms: start time of the incarnation that has ended, in ms since
                1970; 0 for any.
            address: address of the writer that described it, "" for any.
        """
        now_ms = self._clock.now_ms()
        self._drop_ended_leases()
        for info in self._workers.remove(name, born_ms, address):
            self._left_workers.append((now_ms, info))
            self._relay.on_removed(info)
        if name in self._workers:
            self._unused_names.add(name)

    def _drop_ended_leases(self) -> None:
        """Drops the workers that have left whose leases have lapsed."""
        cutoff_ms = self._clock.now_ms() - self._timing.max_lease_ms
        self._left_workers = [
            (left_ms, info)
            for left_ms, info in self._left_workers
            if left_ms >= cutoff_ms
        ]

    def _is_scheduled_here(self, info: WorkerInfo) -> bool:
        """Returns whether a worker belongs to this node's dispatcher."""
        return not self._is_hall_only or info.hall == self.hall

    def _on_submit(self, node: str, submit: SubmitJob) -> None:
        """Passes a job to the dispatcher, or defers it until the grant.

        It is deferred for as long as its entry node waits, which does not send
        it to this node again. A job that was sent under a grant before those
        of the dispatcher is dropped: its sender forwards it again under a later
        grant.
        """
        if self.dispatcher is None or submit.epoch > self.epoch:
            self._early_submits.append((self._clock.now_ms(), node, submit))
        elif submit.epoch >= self._min_submit_epoch:
            self.dispatcher.on_submit(node, submit)
            self._use_waiting_workers()

    def _on_cancel(self, node: str, cancel: CancelJob) -> None:
        """Cancels an open job, or drops a deferred one without callers."""
        if not cancel.request:
            self._early_submits = [
                (since_ms, entry, submit)
                for since_ms, entry, submit in self._early_submits
                if (entry, submit.job.key) != (node, cancel.key)
                or 0 < cancel.number < submit.number
            ]
        if self.dispatcher:
            self.dispatcher.on_cancel(node, cancel)

    def _process_early_submits(self) -> None:
        """Processes the deferred jobs whose grant has arrived."""
        early_submits = self._early_submits
        self._early_submits = []
        for early_submit in early_submits:
            since_ms, node, submit = early_submit
            if submit.epoch > self.epoch:
                self._early_submits.append(early_submit)
                continue
            age_ms = submit.age_ms + self._clock.now_ms() - since_ms
            submit = msgspec.structs.replace(submit, age_ms=age_ms)
            self._on_submit(node, submit)

    def _drop_old_early_submits(self, now_ms: float) -> None:
        """Drops the deferred jobs that no entry node waits for any more."""
        self._early_submits = [
            (since_ms, node, submit)
            for since_ms, node, submit in self._early_submits
            if submit.age_ms + now_ms - since_ms < submit.job.timeout_ms
        ]

    # Grants and scheduling.

    def _on_grant(self, grant: Grant) -> None:
        if grant.epoch <= self.epoch:
            return
        is_same = self._role.on_grant(grant)
        self._actions.append(ConnectNode(grant.holder))
        if self._role.standby:
            self._actions.append(ConnectNode(self._role.standby))
        self._update_dispatcher()
        if not is_same:
            self.callers.mark_unsent(None)
            self.callers.forward_all()

    def _update_dispatcher(self) -> None:
        """Creates, keeps or drops the dispatcher, according to the role."""
        is_standby = self._role.is_standby and not self.is_stopping
        if not self._role.is_holder and not is_standby:
            self.dispatcher = None
            self.memory.clear_open()
            return
        has_same_scope = self.dispatcher and self._is_hall_only == is_standby
        if has_same_scope and self._renew_dispatcher(self.dispatcher):
            return
        self._is_hall_only = is_standby
        self._create_dispatcher()

    def _renew_dispatcher(self, dispatcher: Dispatcher) -> bool:
        """Continues under the current grant, if no other node came between.

        Returns:
            Whether the dispatcher continues; it must be replaced otherwise.
        """
        fence = self._role.fence
        if dispatcher.fleet.fence == fence:
            return True
        if not self._is_hall_only and not dispatcher.is_continued_by(
            self.grant
        ):
            return False
        dispatcher.renew_grant(fence, self.epoch)
        self._process_early_submits()
        return True

    def _create_dispatcher(self) -> None:
        """Creates the dispatcher for the current role and grant."""
        store: JobStoreClient | None = None
        if not self._is_hall_only:
            store = JobStoreClient(self._clock, self.epoch)
        self.memory.clear_open()
        self.dispatcher = Dispatcher(
            self._clock,
            self._timing,
            self._role.fence,
            store,
            self._started_ms,
            self._replies,
            self.node,
            self.memory,
        )
        self._send_status()
        self._unused_names.clear()
        for name in self._workers.names():
            self._use_worker(self.dispatcher, name)
        self._add_left_workers(self.dispatcher)
        self._broadcast(ENTRY_ROLE, self._scheduled_workers())
        self.callers.mark_unsent(self.node)
        # A sender that had this node as the holder under an earlier grant, and
        # no other since, does not forward its jobs again.
        self._min_submit_epoch = self.epoch
        if not self._is_hall_only:
            since_epoch = self.grant.since_epoch or self.epoch
            self._min_submit_epoch = min(since_epoch, self.epoch - 1)
        self._process_early_submits()
        self.callers.forward_all()

    def _add_left_workers(self, dispatcher: Dispatcher) -> None:
        """Adds the workers that may still run what an earlier holder started.

        Their leases were not renewed after they had left.
        """
        self._drop_ended_leases()
        for left_ms, info in reversed(self._left_workers):
            is_known = info.name in dispatcher.fleet.workers
            if not is_known and self._is_scheduled_here(info):
                dispatcher.on_worker_heartbeat(info)
                dispatcher.fleet.on_worker_left(
                    info.name, info.born_ms, left_ms
                )

    @property
    def _needs_epoch(self) -> bool:
        """Whether a new grant with a higher fencing token is needed.

        The standby of a hall keeps the hall's workers until the next grant
        after the partition, so that its jobs end where they run.
        """
        if self._role.uses_standby:
            return not self._role.is_isolated
        return (
            self._role.is_holder
            and self.dispatcher is not None
            and self.dispatcher.is_fenced
        )

    # Periodic work.

    def tick(self) -> None:
        """Runs the periodic work: role, scheduling, timeouts and status."""
        now_ms = self._clock.now_ms()
        self._role.update_reachability(self._open_nodes.values())
        self._role.tick()
        self._update_dispatcher()
        if self.dispatcher:
            self.dispatcher.fleet.hall_connected_ms = self._connected_halls()
            self.dispatcher.fleet.may_have_kept_jobs = self._may_have_kept_jobs
            self.dispatcher.tick()
            self._announce_removed_workers(self.dispatcher)
            self._use_waiting_workers()
        self.callers.tick()
        self._drop_old_early_submits(now_ms)
        if now_ms >= self._next_status_ms:
            self._next_status_ms = now_ms + STATUS_MS
            self._send_status()
            self._send_counts()
            self._relay_workers()

    def _relay_workers(self) -> None:
        """Passes on the workers that a holder elsewhere has not reported."""
        is_elsewhere = self.holder != self.node and self.is_holder_reachable
        holder = self.holder if is_elsewhere else ""
        self._relay.set_holder(holder, self._workers.all())
        infos = self._relay.take_due()
        if infos:
            self._send(holder, WorkersPush(infos))

    def _connected_halls(self) -> dict[str, float]:
        """Returns the time of the latest new connection, by connected hall."""
        halls = {greeting.hall for greeting in self._open_nodes.values()}
        return {
            hall: self._last_connected_ms.get(hall, self._started_ms)
            for hall in {*halls, self.hall}
        }

    def _announce_removed_workers(self, dispatcher: Dispatcher) -> None:
        """Notifies all entry nodes of the workers that were removed."""
        for info in dispatcher.fleet.take_removed_workers():
            left = WorkerLeft(info.name, info.born_ms, info.address)
            self._forget_worker(left.name, left.born_ms, left.address)
            self._broadcast(ENTRY_ROLE, left)

    def _send_status(self) -> None:
        for greeting in self._open_nodes.values():
            if greeting.role == CONTROL_ROLE:
                self._send_status_to(greeting.node)

    def _send_status_to(self, control: str) -> None:
        status = EntryStatus(
            self.routes.version,
            self.epoch,
            self.is_stopping,
            self._needs_epoch,
            self._clock.now_ms(),
            self._received_versions.get(control, 0),
        )
        self._send(control, status)

    @property
    def _may_have_kept_jobs(self) -> bool:
        """Whether kept jobs may be in use, as far as this node knows."""
        return self._has_kept_jobs or self._unused_at != self.grant.holder

    def _on_counts(self, node: str, counts: QueueCounts) -> None:
        """Handles the holder's report of the kept jobs."""
        self._kept_counts = counts.waiting
        if counts.has_kept_jobs:
            self._has_kept_jobs = True
        else:
            self._unused_at = node

    def _send_counts(self) -> None:
        """Sends the numbers of waiting kept jobs to all entry nodes.

        Only the holder does so, once it has loaded the stored jobs.
        """
        kept_jobs = self.dispatcher.kept_jobs if self.dispatcher else None
        if kept_jobs is None or not kept_jobs.store.is_loaded:
            return
        self._kept_counts = kept_jobs.waiting_counts()
        has_kept_jobs = self._has_kept_jobs or kept_jobs.is_in_use
        self._has_kept_jobs = has_kept_jobs
        self._broadcast(
            ENTRY_ROLE, QueueCounts(self._kept_counts, has_kept_jobs)
        )

    def _announce_first_kept_job(self, kept_jobs: KeptJobs) -> None:
        """Reports at once that kept jobs are in use, before any task starts.

        A hall's standby must know it when the hall is partitioned.
        """
        if not self._has_kept_jobs and kept_jobs.is_in_use:
            self._send_counts()

    def _scheduled_workers(self) -> WorkersPush:
        """Returns the workers that this node schedules.

        Other entry nodes must have them before a task is started there: one of
        them may be the next holder, and lack a worker that has only announced
        itself to a control node that it is not connected to.
        """
        workers = self.dispatcher.fleet.workers.values()
        return WorkersPush(tuple(worker.info for worker in workers))

    def _send(self, node: str, message: Message) -> None:
        self._actions.append(SendToNode(node, message))

    def _broadcast(self, role: str, message: Message) -> None:
        """Sends a message to all connected nodes of a role."""
        for greeting in self._open_nodes.values():
            if greeting.role == role:
                self._send(greeting.node, message)

    def begin_stop(self) -> None:
        """Starts a planned shutdown.

        The control nodes then grant the workers to another node.
        """
        self.is_stopping = True
        self._send_status()

    # Replies of workers and the advisor.

    def on_start_reply(
        self,
        name: str,
        task_id: TaskId,
        number: int,
        sent_ms: float,
        reply: CommandReply,
    ) -> None:
        """Handles a worker's reply to a start request."""
        if self.dispatcher:
            self.dispatcher.fleet.on_start_reply(
                name, task_id, number, sent_ms, reply
            )

    def on_stop_reply(
        self,
        name: str,
        task_id: TaskId,
        number: int,
        sent_ms: float,
        reply: CommandReply,
    ) -> None:
        """Handles a worker's reply to a stop request."""
        if self.dispatcher:
            self.dispatcher.fleet.on_stop_reply(
                name, task_id, number, sent_ms, reply
            )

    def on_poll_reply(
        self, name: str, poll_id: int, sent_ms: float, reply: PollReply
    ) -> None:
        """Handles a worker's reply to a poll."""
        if self.dispatcher:
            self.dispatcher.fleet.on_poll_reply(name, poll_id, sent_ms, reply)

    def on_advice(self, request_id: int, advice: Advice) -> None:
        """Handles the advisor's reply to a ticket request."""
        if self.dispatcher:
            self.dispatcher.on_advice(request_id, advice)

    # Actions.

    def take_actions(self) -> list[EntryAction]:
        """Places waiting tasks and returns the actions since the last call."""
        if self.dispatcher:
            self.dispatcher.place_tasks()
            if self.dispatcher.kept_jobs:
                self._announce_first_kept_job(self.dispatcher.kept_jobs)
            self._take_dispatcher_actions(self.dispatcher)
        actions = self._actions + self.callers.actions
        self._actions = []
        self.callers.actions = []
        return actions

    def _take_dispatcher_actions(self, dispatcher: Dispatcher) -> None:
        """Collects the dispatcher's actions.

        Messages to this node are handled directly.
        """
        for action in dispatcher.take_actions():
            if isinstance(action, SendToNode) and action.node == self.node:
                self.on_message(self.node, action.message)
            else:
                self._actions.append(action)


def _route_to_kept_jobs(
    kept_jobs: KeptJobs, node: str, message: Message
) -> None:
    """Passes a message about kept jobs to its handler."""
    match message:
        case JobStateRequest():
            kept_jobs.on_state_request(node, message)
        case HolderLease():
            kept_jobs.on_lease(node, message)
        case JobsLoaded():
            kept_jobs.on_loaded(node, message)
        case JobsWritten():
            kept_jobs.on_written(message)
